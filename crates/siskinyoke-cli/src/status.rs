//! Commands that look at daemons: `status` and `usage`.

use crate::context::Context;
use siskinyoke_base::Kind;

/// Prints what each daemon tells of itself.
///
/// # Errors
///
/// A sentence if no daemon answers.
pub fn status(context: &Context) -> Result<Kind, String> {
    let mut reached = 0;
    for address in &context.addresses {
        match context.get(address, "/admin/v1/status") {
            Ok(status) => {
                reached += 1;
                print_status(context, address, &status);
            }
            Err(err) => println!("{address}: {err}"),
        }
    }
    if reached == 0 {
        return Err("no daemon answers; hint: give addresses with --address".into());
    }
    Ok(Kind::Done)
}

/// Prints what an organisation, or every one, was charged on a day.
///
/// # Errors
///
/// A sentence if no daemon answers.
pub fn usage(
    context: &Context,
    organisation: Option<&str>,
    day: Option<u32>,
) -> Result<Kind, String> {
    let query = day.map(|day| format!("?day={day}")).unwrap_or_default();
    let path = match organisation {
        Some(name) => format!("/admin/v1/usage/{name}{query}"),
        None => format!("/admin/v1/usage{query}"),
    };
    let mut failure = String::from("no address is given");
    for address in &context.addresses {
        match context.get(address, &path) {
            Ok(bill) => {
                print_bill(context, &bill);
                return Ok(Kind::Done);
            }
            Err(err) => failure = format!("{address}: {err}"),
        }
    }
    Err(failure)
}

fn print_status(context: &Context, address: &str, status: &serde_json::Value) {
    if context.json {
        println!("{status}");
        return;
    }
    println!(
        "{address}: {} revision {} preset {} jobs {} leaving {} isolated {}",
        status["instance"].as_str().unwrap_or("?"),
        status["revision"],
        status["preset"].as_str().unwrap_or("?"),
        status["jobs"],
        status["leaving"],
        status["isolated"],
    );
    for member in status["members"].as_array().into_iter().flatten() {
        println!(
            "  {} {} {} {}",
            member["instance"].as_str().unwrap_or("?"),
            member["centre"].as_str().unwrap_or("?"),
            member["state"].as_str().unwrap_or("?"),
            member["caller"].as_str().unwrap_or("?"),
        );
    }
}

fn print_bill(context: &Context, bill: &serde_json::Value) {
    if context.json {
        println!("{bill}");
        return;
    }
    println!(
        "organisation / tier / model: requests, prompt and output tokens, wasted prompt tokens"
    );
    for line in bill["lines"].as_array().into_iter().flatten() {
        let (key, counters) = (&line["line"], &line["counters"]);
        println!(
            "{} / {} / {}: {} {} {} {}",
            key["organisation"].as_str().unwrap_or("?"),
            key["tier"].as_str().unwrap_or("?"),
            key["model"].as_str().unwrap_or("?"),
            counters["requests"],
            counters["prompt"],
            counters["output"],
            counters["wasted"],
        );
    }
    if bill["damaged"] != 0 {
        println!("incomplete: {} values could not be read", bill["damaged"]);
    }
}

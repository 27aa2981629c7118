//! The command `status`.

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

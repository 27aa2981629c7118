//! The command `status`.

use std::fmt::Write as _;
use std::io;
use std::io::Write;

use serde_json::Value;

use crate::context::Context;
use siskinyoke_base::Kind;

/// Prints what each daemon tells of itself.
///
/// # Errors
///
/// A sentence if no daemon answers.
pub fn status(context: &Context) -> Result<Kind, String> {
    let mut reached = 0;
    let mut text = String::new();
    for address in &context.addresses {
        match context.get(address, "/admin/v1/status") {
            Ok(status) => {
                reached += 1;
                text += &describe(context, address, &status);
            }
            Err(err) => {
                // Writing to a text never fails.
                let _ = writeln!(text, "{address}: {err}");
            }
        }
    }
    // A reader that has seen enough closes the pipe, which is no fault.
    let _ = io::stdout().write_all(text.as_bytes());
    if reached == 0 {
        return Err("no daemon answers; hint: give addresses with --address".into());
    }
    Ok(Kind::Done)
}

/// Describes a daemon in a line, and each member that it sees in a line below.
fn describe(context: &Context, address: &str, status: &Value) -> String {
    if context.json {
        return format!("{status}\n");
    }
    let mut text = format!(
        "{address}: {} revision {} preset {} jobs {} leaving {} isolated {}\n",
        word(&status["instance"]),
        status["revision"],
        word(&status["preset"]),
        status["jobs"],
        status["leaving"],
        status["isolated"],
    );
    for member in status["members"].as_array().into_iter().flatten() {
        let fields = ["instance", "centre", "state", "caller"].map(|name| word(&member[name]));
        // Writing to a text never fails.
        let _ = writeln!(text, "  {}", fields.join(" "));
    }
    text
}

fn word(value: &Value) -> &str {
    value.as_str().unwrap_or("?")
}

//! The callers' commands `locate` and `send`.

use std::io;
use std::io::Read;
use std::io::Write;

use clap::Args;

use crate::context::Context;
use siskinyoke_base::Millis;
use siskinyoke_base::OutcomeKind;
use siskinyoke_client::ClientError;
use siskinyoke_client::Outcome;
use siskinyoke_client::Request;

/// Sends a request and prints the response as it arrives.
#[derive(Debug, Args)]
pub struct Send {
    /// The model to use.
    #[arg(long, default_value = "qalam-small", conflicts_with = "service")]
    model: String,
    /// Call a plain service instead of a model.
    #[arg(long)]
    service: Option<String>,
    /// The HTTP method of a service call.
    #[arg(long, default_value = "GET", requires = "service")]
    method: String,
    /// The path of a service call.
    #[arg(long, default_value = "/", requires = "service")]
    path: String,
    /// The maximum number of output tokens.
    #[arg(long, default_value_t = 64)]
    max_tokens: u32,
    /// Request the complete response at once instead of a stream.
    #[arg(long)]
    no_stream: bool,
    /// The request ID used in logs; generated if absent.
    #[arg(long)]
    id: Option<String>,
    /// The request may run more than once: retry it if its outcome is unknown.
    #[arg(long)]
    idempotent: bool,
    /// How long to wait, in milliseconds, if shorter than the default of the route.
    #[arg(long, value_name = "MS")]
    need: Option<u64>,
    /// The maximum number of attempts.
    #[arg(long, default_value_t = 5)]
    sendings: u32,
    /// The prompt or request body, or `-` for standard input.
    #[arg(default_value = "-")]
    text: String,
}

/// Prints the addresses of the instances to use.
///
/// # Errors
///
/// [`ClientError`] if no address responds.
pub fn locate(context: &Context) -> Result<(), ClientError> {
    let location = context.client(1, Millis::from_secs(10)).locate()?;
    if context.json {
        let ttl = location.ttl.0;
        println!(
            "{}",
            serde_json::json!({ "addresses": location.addresses, "keep_ms": ttl })
        );
        return Ok(());
    }
    let addresses = location.addresses.join(", ");
    println!("use {addresses} (valid for {})", location.ttl);
    Ok(())
}

impl Send {
    /// Sends the request, prints the response and returns the outcome.
    ///
    /// # Errors
    ///
    /// [`ClientError`] if standard input cannot be read or no address responds.
    pub fn run(&self, context: &Context) -> Result<Outcome, ClientError> {
        let text = self.read_text()?;
        let mut request = match &self.service {
            Some(name) => Request::service(name, &self.method, &self.path, text.into_bytes()),
            None => Request::chat(&self.model, &text, !self.no_stream, self.max_tokens),
        };
        request.id.clone_from(&self.id);
        request.idempotent = self.idempotent;
        request.caller_timeout = self.need.map(Millis);
        let mut client = context.client(self.sendings, Millis::from_secs(600));
        let json = context.json;
        let outcome = client.send(&request, &mut |data| {
            if !json {
                print_event(data);
            }
        })?;
        print_outcome(context, &outcome);
        Ok(outcome)
    }

    fn read_text(&self) -> Result<String, ClientError> {
        if self.text != "-" {
            return Ok(self.text.clone());
        }
        let mut text = String::new();
        io::stdin()
            .read_to_string(&mut text)
            .map_err(|err| ClientError::Input(format!("standard input: {err}")))?;
        Ok(text)
    }
}

/// Prints the output text in one event of a chat completion stream.
fn print_event(data: &str) {
    let event: serde_json::Value = serde_json::from_str(data).unwrap_or_default();
    let text = event["choices"][0]["delta"]["content"]
        .as_str()
        .unwrap_or_default();
    print!("{text}");
    // A write fails only if standard output is closed, so there is nobody to report it to.
    let _ = io::stdout().flush();
}

fn print_outcome(context: &Context, outcome: &Outcome) {
    if context.json {
        println!("{}", serde_json::json!(outcome));
        return;
    }
    match outcome.body.as_slice() {
        [body] if outcome.code != siskinyoke_base::Code::Streaming.number() => println!("{body}"),
        _ => println!(),
    }
    let summary = format!(
        "{}: code {} ({}), attempts: {}",
        outcome.id, outcome.code, outcome.kind, outcome.attempts
    );
    eprintln!("{summary}");
    if outcome.kind != OutcomeKind::Done
        && let Some(delay) = outcome.retry_after
    {
        eprintln!("retry after {delay}");
    }
}

//! Callers' commands: `locate` and `send`.

use std::io;
use std::io::Read;
use std::io::Write;

use clap::Args;

use crate::context::Context;
use siskinyoke_base::Kind;
use siskinyoke_base::Millis;
use siskinyoke_client::ClientError;
use siskinyoke_client::Outcome;
use siskinyoke_client::Request;

/// Sends a request and prints its answer as it arrives.
#[derive(Debug, Args)]
pub struct Send {
    /// The model.
    #[arg(long, default_value = "qalam-small", conflicts_with = "service")]
    model: String,
    /// A plain service instead of a model.
    #[arg(long)]
    service: Option<String>,
    /// The HTTP method, for a service.
    #[arg(long, default_value = "GET", requires = "service")]
    method: String,
    /// The path, for a service.
    #[arg(long, default_value = "/", requires = "service")]
    path: String,
    /// The most tokens of the answer.
    #[arg(long, default_value_t = 64)]
    max_tokens: u32,
    /// Ask for the whole answer at once.
    #[arg(long)]
    no_stream: bool,
    /// Its identity in logs; one is drawn if none is given.
    #[arg(long)]
    id: Option<String>,
    /// It may run more than once: send it again where its outcome is not known.
    #[arg(long)]
    idempotent: bool,
    /// A shorter need than the route's, in milliseconds.
    #[arg(long, value_name = "MS")]
    need: Option<u64>,
    /// The most sendings.
    #[arg(long, default_value_t = 5)]
    sendings: u32,
    /// The text, or `-` for standard input.
    #[arg(default_value = "-")]
    text: String,
}

/// Prints which address to use.
///
/// # Errors
///
/// [`ClientError`] if no address answers.
pub fn locate(context: &Context) -> Result<(), ClientError> {
    let location = context.client(1, Millis::from_secs(10)).locate()?;
    if context.json {
        let keep = location.ttl.0;
        println!(
            "{}",
            serde_json::json!({ "addresses": location.addresses, "keep_ms": keep })
        );
        return Ok(());
    }
    let addresses = location.addresses.join(", ");
    println!("use {addresses} (keep for {})", location.ttl);
    Ok(())
}

impl Send {
    /// Sends the request and prints the answer; returns what became of it.
    ///
    /// # Errors
    ///
    /// [`ClientError`] if no address answers.
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
            .map_err(|err| ClientError::Malformed(format!("standard input: {err}")))?;
        Ok(text)
    }
}

/// Prints the text of one event of a streamed answer.
fn print_event(data: &str) {
    let event: serde_json::Value = serde_json::from_str(data).unwrap_or_default();
    let text = event["choices"][0]["delta"]["content"]
        .as_str()
        .unwrap_or_default();
    print!("{text}");
    // A terminal that cannot be written to has no reader left.
    let _ = io::stdout().flush();
}

fn print_outcome(context: &Context, outcome: &Outcome) {
    if context.json {
        println!("{}", serde_json::json!(outcome));
        return;
    }
    match outcome.body.as_slice() {
        [whole] if outcome.code != siskinyoke_base::Code::Streaming.number() => println!("{whole}"),
        _ => println!(),
    }
    let note = format!(
        "{}: code {} ({}), sent {} times",
        outcome.id, outcome.code, outcome.kind, outcome.attempts
    );
    eprintln!("{note}");
    if outcome.kind != Kind::Done
        && let Some(after) = outcome.retry_after
    {
        eprintln!("come back in {after}");
    }
}

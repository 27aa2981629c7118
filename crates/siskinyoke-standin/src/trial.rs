//! The command `trial`: a complete system in one process that serves a few requests.

use std::io;
use std::io::Write;

use crate::error::StandinError;
use crate::fleet::Fleet;
use crate::fleet::MODEL_NAME;
use crate::fleet::SERVICE_NAME;
use siskinyoke_base::OutcomeKind;
use siskinyoke_client::Client;
use siskinyoke_client::Request;

/// Number of instances.
const INSTANCE_COUNT: usize = 3;

/// Output tokens per response.
const OUTPUT_TOKENS: u32 = 24;

/// Runs the trial and returns whether every request received a complete response.
///
/// # Errors
///
/// [`StandinError`] if a component cannot be started.
pub fn run() -> Result<bool, StandinError> {
    println!("starting a store, two engines, a plain service and {INSTANCE_COUNT} instances …");
    let fleet = Fleet::start(INSTANCE_COUNT)?;
    let mut complete = true;
    for index in 0..INSTANCE_COUNT {
        let mut client = fleet.client(index);
        println!("\nsending requests through instance {}:", index + 1);
        let request = Request::chat(
            MODEL_NAME,
            &format!("composition {index}"),
            true,
            OUTPUT_TOKENS,
        );
        complete &= send_and_print(&mut client, &request);
        let request = Request::service(SERVICE_NAME, "POST", "/submissions", b"{}".to_vec());
        complete &= send_and_print(&mut client, &request);
    }
    print_counts(&fleet);
    println!(
        "{}",
        if complete {
            "every response is complete"
        } else {
            "a response is missing or incomplete"
        }
    );
    Ok(complete)
}

fn send_and_print(client: &mut Client, request: &Request) -> bool {
    let outcome = client.send(request, &mut |data| {
        let event: serde_json::Value = serde_json::from_str(data).unwrap_or_default();
        print!(
            "{}",
            event["choices"][0]["delta"]["content"]
                .as_str()
                .unwrap_or_default()
        );
        // An error means that nobody reads the output.
        let _ = io::stdout().flush();
    });
    match outcome {
        Ok(outcome) => {
            // A response in one part was not streamed and is not printed yet.
            let body = if outcome.body.len() == 1 {
                &outcome.body[0]
            } else {
                ""
            };
            println!("{body}\n  code {} ({})", outcome.code, outcome.kind);
            outcome.kind == OutcomeKind::Done
        }
        Err(err) => {
            println!("  {err}");
            false
        }
    }
}

fn print_counts(fleet: &Fleet) {
    println!("\ncounts by component:");
    println!("  store: calls {:?}", fleet.etcd.call_counts());
    for (index, engine) in fleet.engines.iter().enumerate() {
        let counts = engine.counts();
        println!(
            "  engine {index}: dispatched {}, completed {}, cancelled {}",
            counts.dispatched, counts.completed, counts.cancelled
        );
    }
    println!(
        "  service: calls {}",
        fleet.service.executions().values().sum::<u64>()
    );
}

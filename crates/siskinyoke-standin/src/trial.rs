//! The whole path in one process: sends work through three instances and prints what each part did.

use std::io;
use std::io::Write;

use crate::error::StandinError;
use crate::fleet::Fleet;
use crate::fleet::MODEL_NAME;
use crate::fleet::SERVICE_NAME;
use siskinyoke_base::Kind;
use siskinyoke_client::Client;
use siskinyoke_client::Request;

/// Instances of the trial.
const INSTANCE_COUNT: usize = 3;

/// Tokens of each answer.
const OUTPUT_TOKENS: u32 = 24;

/// Runs the trial; returns whether every request got its whole answer.
///
/// # Errors
///
/// [`StandinError`] if a part cannot be started.
pub fn run() -> Result<bool, StandinError> {
    println!("starting a store, two engines, a plain service and {INSTANCE_COUNT} instances …");
    let fleet = Fleet::start(INSTANCE_COUNT)?;
    let mut whole = true;
    for place in 0..INSTANCE_COUNT {
        let mut client = fleet.client(place);
        println!("\nasking instance {} to mark a composition:", place + 1);
        let request = Request::chat(
            MODEL_NAME,
            &format!("composition {place}"),
            true,
            OUTPUT_TOKENS,
        );
        whole &= send_and_print(&mut client, &request);
        let request = Request::service(SERVICE_NAME, "POST", "/submissions", b"{}".to_vec());
        whole &= send_and_print(&mut client, &request);
    }
    print_counts(&fleet);
    println!(
        "{}",
        if whole {
            "every answer came whole"
        } else {
            "an answer is missing"
        }
    );
    Ok(whole)
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
        // Without a reader there is nobody to show it to.
        let _ = io::stdout().flush();
    });
    match outcome {
        Ok(outcome) => {
            let whole = if outcome.body.len() == 1 {
                &outcome.body[0]
            } else {
                ""
            };
            println!("{whole}\n  code {} ({})", outcome.code, outcome.kind);
            outcome.kind == Kind::Done
        }
        Err(err) => {
            println!("  {err}");
            false
        }
    }
}

fn print_counts(fleet: &Fleet) {
    println!("\nwhat each part did:");
    println!("  store: calls {:?}", fleet.etcd.call_counts());
    for (place, engine) in fleet.engines.iter().enumerate() {
        let counts = engine.counts();
        println!(
            "  engine {place}: dispatched {}, completed {}, cancelled {}",
            counts.dispatched, counts.completed, counts.cancelled
        );
    }
    println!(
        "  service: calls {}",
        fleet.service.executions().values().sum::<u64>()
    );
}

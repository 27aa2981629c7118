//! What a streamed answer is charged, from the engine's events to the platform's service.

use std::thread;
use std::time::Duration;

use siskinyoke_base::Kind;
use siskinyoke_base::Millis;
use siskinyoke_client::Request;
use siskinyoke_control::PlatformReply;
use siskinyoke_control::PlatformRequest;
use siskinyoke_control::platform::Versioned;
use siskinyoke_control::usage::Statement;
use siskinyoke_daemon::platform::EtcdGateway;
use siskinyoke_daemon::platform::PlatformService;
use siskinyoke_daemon::platform::PlatformSettings;
use siskinyoke_standin::fleet::Fleet;
use siskinyoke_standin::fleet::MODEL;

/// Tokens of the answer.
const OUTPUT: u32 = 20;

/// A school asks for twenty tokens and is charged for twenty-two: the engine's stream has no count
/// of its own, opens with an event that names the speaker and closes with one that gives the reason
/// of its end, and each event was taken for a token.
#[test]
fn a_streamed_answer_is_charged_by_its_tokens() {
    let fleet = Fleet::start(1).expect("the fleet comes up");
    let request = Request::chat(MODEL, "a composition", true, OUTPUT);
    let outcome = fleet
        .client(0)
        .send(&request, &mut |_| {})
        .expect("an answer");
    assert_eq!(outcome.kind, Kind::Done);
    // A leaving daemon brings its charges to safety before it exits.
    fleet.daemons[0].leave();
    let settings = PlatformSettings {
        kv: vec![fleet.platform.address().to_string()],
        instances: None,
        limit: Millis::from_secs(2),
    };
    let mut service = EtcdGateway::new(&settings);
    let lines = (0..400).find_map(|_| {
        thread::sleep(Duration::from_millis(50));
        let values = list(&mut service);
        let statement = Statement::new(&values, &[]);
        let lines: Vec<_> = statement.lines.into_values().collect();
        (!lines.is_empty()).then_some(lines)
    });
    let lines = lines.expect("the charge is written in time");
    let counted: Vec<_> = lines
        .iter()
        .map(|line| (line.requests, line.output))
        .collect();
    assert_eq!(counted, [(1, u64::from(OUTPUT))]);
    fleet.leave();
}

fn list(service: &mut EtcdGateway) -> Vec<Versioned> {
    let prefix = String::from("siskinyoke/usage/");
    let request = PlatformRequest::List { prefix, limit: 100 };
    match service.call(&request) {
        Ok(PlatformReply::Values(values)) => values,
        _ => Vec::new(),
    }
}

//! Callers of endpoints that mark no end of their responses.

use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

use crate::checker::Checker;
use crate::checker::Outcome;
use crate::checker::RequestKind;
use crate::client;

/// The paths of a short response, and of streams that are whole, break off inside an event and
/// break off between two events.
const PATHS: [&str; 4] = [
    "/safe/unmarked",
    "/stream/unmarked-events",
    "/stream/unmarked-events/line",
    "/stream/unmarked-events/between",
];

/// The pause of a caller after each request.
const PAUSE: Duration = Duration::from_millis(50);

/// Sends one request after another to random instances until `stop` is set.
pub fn run_caller(
    seed: u64,
    instances: &[SocketAddr],
    checker: &Arc<Checker>,
    stop: &Arc<AtomicBool>,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        thread::sleep(PAUSE);
        number += 1;
        let id = format!("s{seed}u{number}");
        let path = PATHS.choose(&mut rng).unwrap_or(&PATHS[0]);
        let address = instances.choose(&mut rng).copied();
        let Some(mut stream) = address.and_then(|it| TcpStream::connect(it).ok()) else {
            continue;
        };
        // The bodies differ, as content that broke connections is held back for all callers.
        let response = client::exchange(&mut stream, &id, path, &id, true);
        let kind = RequestKind::Unmarked;
        checker.add(Outcome { id, kind, response });
    }
}

/// Checks a response whose endpoint did not mark its end: it must not bear a mark, and has no more
/// or other content than the endpoint sends.
pub fn check_response(id: &str, response: &str) -> Option<String> {
    let (head, body) = response.split_once("\r\n\r\n")?;
    let is_chunked = head.contains("transfer-encoding: chunked");
    let is_marked = head.contains("content-length: ") || is_chunked && body.ends_with("0\r\n\r\n");
    if is_marked {
        return Some(format!(
            "{id}: an end that nobody marked is marked: {response:?}"
        ));
    }
    let is_valid = if head.contains("text/event-stream") {
        let lines = body.lines();
        let events: Vec<&str> = lines.filter_map(|it| it.strip_prefix("data: ")).collect();
        ["1", "2", "3", "4"].starts_with(&events)
    } else {
        is_chunked || "whole".starts_with(body)
    };
    (!is_valid).then(|| format!("{id}: content is missing or out of order: {response:?}"))
}

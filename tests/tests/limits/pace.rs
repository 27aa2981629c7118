//! Callers that send slowly.

use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;

use serde_json::json;

use crate::http;
use crate::world::World;
use crate::world::body;
use crate::world::chat;
use crate::world::check;

/// Callers that begin a header section and never end it hold a connection each. After their
/// patience the daemon closes it; other callers are served all the while.
#[test]
fn a_slow_sender_of_a_head_is_closed() {
    let world = World::new(&json!({ "patience": 700 }));
    let address = world.fleet.addresses()[0];
    let mut slow = http::connect(address);
    slow.write_all(b"POST /v1/chat/completions HTTP/1.1\r\nhost:")
        .expect("it is connected");
    world.other();
    // The daemon closes; without it the bounded read fails the test.
    let answer = read_closed(&mut slow);
    assert_eq!(answer.header("siskinyoke-code"), "", "{answer:?}");
    world.other();
}

/// A caller sends half a body and stops. It is told that nothing ran and that it may send again.
#[test]
fn a_slow_sender_of_a_body_is_refused() {
    let world = World::new(&json!({ "patience": 700 }));
    let answer = begin_and_stop(&world, &[]);
    check(&answer, 408, 2003, "not-run");
    assert_eq!(answer.header("retry-after"), "0");
    assert_eq!(answer.shown().2, 2003);
    world.other();
}

/// A first sending runs, its answer is lost on the way, and the resend comes too slowly. Told
/// "not run", the caller would send it as new and run it twice: only a sending that says it is
/// the first may be told so.
#[test]
fn a_slow_resend_is_not_told_not_run() {
    let world = World::new(&json!({ "patience": 700 }));
    let key = ("idempotency-key", "k");
    for headers in [
        &[key, ("siskinyoke-retry", "1")][..],
        &[key, ("siskinyoke-retry", "many")],
        &[("x-stainless-retry-count", "1")],
        &[key],
    ] {
        let answer = begin_and_stop(&world, headers);
        check(&answer, 503, 4006, "unknown");
    }
    let first = begin_and_stop(&world, &[key, ("siskinyoke-retry", "0")]);
    check(&first, 408, 2003, "not-run");
    world.other();
}

/// Sends all but the end of a body and waits for what the daemon says.
fn begin_and_stop(world: &World, headers: &[(&str, &str)]) -> http::Answer {
    let request = chat(headers, &body());
    let mut slow = http::connect(world.fleet.addresses()[0]);
    let (sent, _) = request.split_at(request.len() - 5);
    slow.write_all(sent).expect("it is connected");
    let before = world.dispatched();
    let answer = http::read(&mut slow);
    assert_eq!(world.dispatched(), before, "half a request was dispatched");
    answer
}

/// Reads until the daemon closes; fails if it does not within the bound.
fn read_closed(stream: &mut TcpStream) -> http::Answer {
    let mut bytes = Vec::new();
    let read = stream.read_to_end(&mut bytes);
    if let Err(err) = read {
        assert_eq!(err.kind(), ErrorKind::ConnectionReset, "not closed");
    }
    http::Answer::parse(&String::from_utf8_lossy(&bytes))
}

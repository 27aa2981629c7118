//! Requests that are too large, or come on too many connections.

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use serde_json::json;

use crate::http;
use crate::world::World;
use crate::world::body;
use crate::world::chat;
use crate::world::check;

/// A caller sends a composition larger than the daemon takes. Without a limit its body would
/// fill the memory of a small instance, and everybody's requests would end with the process.
#[test]
fn a_body_over_the_limit_is_refused() {
    let world = World::new(&json!({ "body": 2000 }));
    let long = format!("{}{}", body(), " ".repeat(4000));
    world.refused(&chat(&[], &long), 413, 2001, "not-run");
    let fitting = world.send(&chat(&[], &body()));
    assert_eq!(fitting.header("siskinyoke-code"), "1000", "{fitting:?}");
}

/// A body without a length is counted as it comes, so leaving the length out is no way round.
#[test]
fn a_chunked_body_over_the_limit_is_refused() {
    let world = World::new(&json!({ "body": 2000 }));
    let mut bytes = chat(&[("transfer-encoding", "chunked")], "");
    let text = String::from_utf8_lossy(&bytes).replace("content-length: 0\r\n", "");
    bytes = text.into_bytes();
    for _ in 0..4 {
        bytes.extend_from_slice(format!("400\r\n{}\r\n", " ".repeat(0x400)).as_bytes());
    }
    bytes.extend_from_slice(b"0\r\n\r\n");
    world.refused(&bytes, 413, 2001, "not-run");
}

/// A caller sends a header section over the limit. Up to 64 KiB it is told so with a code of
/// ours; a larger one is not kept in memory at all, and the library answers a bare 431.
#[test]
fn a_header_section_over_the_limit_is_refused() {
    let world = World::new(&json!({ "head": 1000 }));
    let long = "x".repeat(2000);
    world.refused(&chat(&[("x-long", &long)], &body()), 431, 2002, "not-run");
    let endless = "x".repeat(200_000);
    let answer = world.send(&chat(&[("x-long", &endless)], &body()));
    assert!(matches!(answer.status, 0 | 431), "{answer:?}");
    world.other();
}

/// A caller opens connections without end. Those over the limit are told to use another address,
/// a request that already has its connection goes on, and once the caller lets go, others
/// connect again.
#[test]
fn connections_over_the_limit_are_refused() {
    let world = World::new(&json!({ "connections": 4, "patience": 60_000 }));
    let address = world.fleet.addresses()[0];
    let request = chat(&[], &body());
    let mut early = http::connect(address);
    early.write_all(&request[..20]).expect("it is connected");
    let mut idle = Vec::new();
    let refused = loop {
        let mut stream = http::connect(address);
        // A connection that is served waits for the rest; one over the limit is told at once.
        stream.write_all(&request).expect("it is connected");
        let answer = http::read(&mut stream);
        if answer.status == 503 {
            break answer;
        }
        // Some may be refused in silence while the stream above is still being closed.
        idle.push(http::connect(address));
        assert!(idle.len() <= IDLE, "no connection was refused");
    };
    check(&refused, 503, 2004, "not-run");
    assert!(!refused.header("retry-after").is_empty());
    early.write_all(&request[20..]).expect("it is held");
    assert_eq!(http::read(&mut early).header("siskinyoke-code"), "1000");
    drop((early, idle));
    world.other();
}

/// A caller's first sending runs on one instance, its answer is lost, and the resend comes to
/// one with too many connections. Told "not run", the caller would draw a new key, and two
/// troupes would hold one room.
#[test]
fn a_resend_on_one_connection_too_many_is_not_told_not_run() {
    let world = World::new(&json!({ "connections": 1, "patience": 60_000 }));
    let address = world.fleet.addresses()[0];
    let held = hold(&world);
    let key = ("idempotency-key", "k");
    for headers in [
        &[key, ("siskinyoke-retry", "1")][..],
        &[("x-stainless-retry-count", "2")],
        &[key],
    ] {
        let answer = http::exchange(address, &chat(headers, &body()));
        check(&answer, 503, 4006, "unknown");
    }
    let first = chat(&[key, ("siskinyoke-retry", "0")], &body());
    check(&http::exchange(address, &first), 503, 2004, "not-run");
    drop(held);
    world.other();
}

/// Takes the daemon's only connection, and makes sure that it is served there.
fn hold(world: &World) -> TcpStream {
    let address = world.fleet.addresses()[0];
    for _ in 0..TRIES {
        let mut held = http::connect(address);
        held.write_all(b"GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n")
            .expect("it is connected");
        let mut status = [0; 12];
        held.read_exact(&mut status).expect("it is answered");
        if &status == b"HTTP/1.1 200" {
            return held;
        }
        // The connections by which the fleet was started are still being closed.
        thread::sleep(LOOK);
    }
    panic!("the only connection cannot be taken");
}

/// The most idle connections that are opened to come over a limit of four.
const IDLE: usize = 32;

/// Tries to take a connection.
const TRIES: usize = 1000;

/// Pause between two tries.
const LOOK: Duration = Duration::from_millis(10);

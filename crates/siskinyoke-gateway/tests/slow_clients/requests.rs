//! Requests that are not completed, and connections without any.

use crate::fixture::Fixture;
use crate::fixture::HOLD_TIME;
use crate::fixture::request;
use siskinyoke_soak::SlowClients;

const CLIENT_COUNT: usize = 300;

/// The number of clients that send large heads.
const HEAD_CLIENT_COUNT: usize = 1_200;

/// Size of the part of a head that is sent; the configuration allows 16 KiB.
const HEAD_BYTES: usize = 62_000;

/// How long clients open each closed connection again.
const RECONNECT_TIME: std::time::Duration = std::time::Duration::from_secs(25);

// Plays clients that send the same bytes while the process may open few descriptors.
fn check_descriptors(bytes: &[u8]) {
    let mut fixture = Fixture::start();
    fixture.limit_descriptors();
    let mut clients = SlowClients::connect(fixture.instance().caller_address, CLIENT_COUNT);
    clients.send(|_| bytes.to_vec());
    fixture.hold_within_descriptors(HOLD_TIME);
    fixture.check();
}

// Guards against heads that are held beyond the configured size, and without being counted.
#[test]
fn unfinished_heads_stay_within_the_memory() {
    let mut fixture = Fixture::start();
    let mut clients = SlowClients::connect(fixture.instance().caller_address, HEAD_CLIENT_COUNT);
    let head = format!("GET /safe/a HTTP/1.1\r\nx: {}", "x".repeat(HEAD_BYTES));
    clients.send(|_| head.clone().into_bytes());
    std::thread::sleep(HOLD_TIME);
    fixture.check();
}

// Guards against idle connections that take all descriptors.
#[test]
fn idle_connections_leave_descriptors() {
    check_descriptors(b"");
}

// Guards against unfinished heads that take all descriptors.
#[test]
fn unfinished_heads_leave_descriptors() {
    check_descriptors(b"GET /safe/a HTTP/1.1\r\nhost: h.ex");
}

// Guards against requests that take all descriptors while their bodies do not arrive.
#[test]
fn unfinished_bodies_leave_descriptors() {
    let text = "POST /safe/a HTTP/1.1\r\nhost: h.example\r\nauthorization: Bearer k1\r\n\
                siskinyoke-request-id: r1\r\ncontent-length: 1000\r\n\r\nxx";
    check_descriptors(text.as_bytes());
}

// Guards against responses that take all descriptors while they are not read.
#[test]
fn unread_responses_leave_descriptors() {
    check_descriptors(&request(1, "/safe/sized-900000"));
}

// Guards against clients that come back as soon as their idle connections are closed.
#[test]
fn idle_connections_that_are_opened_again_leave_descriptors() {
    let mut fixture = Fixture::start();
    fixture.limit_descriptors();
    let mut clients = SlowClients::connect(fixture.instance().caller_address, CLIENT_COUNT);
    clients.reconnect(b"", RECONNECT_TIME);
    fixture.check_descriptors();
    fixture.check();
}

//! Endpoints that send bytes without end in place of a response.

use std::path::Path;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use siskinyoke_soak::Endpoint;
use siskinyoke_soak::Instance;
use siskinyoke_soak::Store;
use siskinyoke_soak::configuration;

/// The number of requests that are sent at the same time, as many as both endpoints have slots.
const REQUEST_COUNT: usize = 8;

/// The longest time until a request is served by the other endpoint.
const MAX_TIME: Duration = Duration::from_millis(1_500);

/// The maximum number of bytes that the endpoint may send for one request before its connection is
/// closed, with what the sockets of both sides buffer.
const MAX_BYTES: usize = 12 * 1024 * 1024;

fn check(path: &str) {
    let store = Store::start();
    store.put("op/config", &configuration::text(3, "k1"));
    let endpoints = ["e1", "e2"].map(Endpoint::start);
    for endpoint in &endpoints {
        let key = format!("servers/{}", endpoint.id);
        store.put(&key, &endpoint.entry("ready"));
    }
    let program = Path::new(env!("CARGO_BIN_EXE_siskinyoke-gateway"));
    let instance = Instance::start(program, "i1", store.address).wait_until_ready();
    thread::scope(|scope| {
        for number in 0..REQUEST_COUNT {
            let instance = &instance;
            scope.spawn(move || call(instance, path, number));
        }
    });
    let requests = endpoints[0].requests().len();
    let bytes = endpoints[0].endless_bytes();
    println!("{path}: {bytes} bytes for {requests} requests");
    assert!(requests > 0, "{path}");
    assert!(bytes <= MAX_BYTES * requests, "{path}: {bytes}");
}

fn call(instance: &Instance, path: &str, number: usize) {
    let sent_at = Instant::now();
    let response = instance.call(&format!("r{number}"), path, "", &format!("body {number}"));
    let took = sent_at.elapsed();
    assert!(
        response.starts_with("HTTP/1.1 200") && response.ends_with("whole"),
        "{path}: {took:?} {}",
        &response[..response.len().min(200)]
    );
    assert!(took < MAX_TIME, "{path}: {took:?}");
}

// Guards against a head, or bytes that are no response, that are read until the deadline.
#[test]
fn a_head_without_end_is_not_read_to_the_deadline() {
    for path in [
        "/safe/endless-line",
        "/safe/endless-head",
        "/safe/endless-interim",
        "/safe/endless-bytes",
    ] {
        check(path);
    }
}

// Guards against the size of a chunk that is read until the deadline.
#[test]
fn a_chunk_size_without_end_is_not_read_to_the_deadline() {
    for path in ["/safe/endless-size", "/stream/endless-size"] {
        check(path);
    }
}

// Guards against an event that is buffered until the deadline.
#[test]
fn an_event_without_end_is_not_read_to_the_deadline() {
    for path in ["/stream/endless-event", "/stream/endless-open"] {
        check(path);
    }
}

// Guards against an endpoint that gets one request after another as it fails before others respond,
// which uses up the retry budget.
#[test]
fn an_endpoint_whose_events_have_no_end_gets_few_requests() {
    for path in [
        "/stream/endless-event-behind",
        "/stream/endless-open-behind",
    ] {
        check(path);
    }
}

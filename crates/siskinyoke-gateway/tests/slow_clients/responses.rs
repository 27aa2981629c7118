//! Responses that clients read slowly or not at all.

use std::thread;
use std::time::Duration;

use crate::fixture::Fixture;
use crate::fixture::HOLD_TIME;
use crate::fixture::request;
use siskinyoke_soak::SlowClients;

const CLIENT_COUNT: usize = 200;

/// The number of requests that a client sends at once.
const PIPELINED_COUNT: usize = 20;

// Plays clients that send a request each and read nothing.
fn check_unread(path: &str, count: usize) {
    let mut fixture = Fixture::start();
    let mut clients = SlowClients::connect(fixture.instance().caller_address, CLIENT_COUNT);
    clients.send(|number| {
        let requests = (0..count).map(|it| request(number * count + it, path));
        requests.collect::<Vec<_>>().concat()
    });
    thread::sleep(HOLD_TIME);
    fixture.check();
}

// Guards against complete responses that wait uncounted for clients that do not read them.
#[test]
fn buffered_responses_that_are_not_read_stay_within_the_memory() {
    check_unread("/safe/sized-900000", 1);
}

// Guards against clients that read a little of each response and so keep all of them in memory.
#[test]
fn buffered_responses_that_are_read_slowly_stay_within_the_memory() {
    let mut fixture = Fixture::start();
    let mut clients = SlowClients::connect(fixture.instance().caller_address, CLIENT_COUNT);
    clients.send(|number| request(number, "/safe/sized-900000"));
    clients.read_slowly(512, Duration::from_millis(100), HOLD_TIME);
    fixture.check();
}

// Guards against responses passed on in parts of any size to clients that do not read them.
#[test]
fn relayed_responses_that_are_not_read_stay_within_the_memory() {
    check_unread("/safe/sized-16000000", 1);
}

// Guards against queues of events that are limited by number and not by size.
#[test]
fn streams_of_large_events_that_are_not_read_stay_within_the_memory() {
    check_unread("/stream/blocks-270", 1);
}

// Guards against streams that fit into the buffers on the way to the client.
#[test]
fn short_streams_that_are_not_read_stay_within_the_memory() {
    check_unread("/stream/blocks-15", 1);
}

// Guards against events that are held uncounted until they are complete.
#[test]
fn streams_of_small_events_that_are_not_read_stay_within_the_memory() {
    check_unread("/stream/many", 1);
}

// Guards against a second response that is held while the first one is not read.
#[test]
fn responses_to_pipelined_requests_stay_within_the_memory() {
    check_unread("/safe/sized-400000", PIPELINED_COUNT);
}

// Guards against connections that stay open as long as their clients read nothing.
#[test]
fn connections_whose_responses_are_not_read_are_closed() {
    const CLOSING_TIME: Duration = Duration::from_secs(40);
    let mut fixture = Fixture::start();
    let mut clients = SlowClients::connect(fixture.instance().caller_address, CLIENT_COUNT);
    clients.send(|number| request(number, "/safe/sized-900000"));
    thread::sleep(CLOSING_TIME);
    // Reads what the operating system holds, so that the end of each connection is seen.
    clients.read_slowly(
        1024 * 1024,
        Duration::from_millis(100),
        Duration::from_secs(2),
    );
    assert_eq!(clients.open_count(), 0, "connections are still open");
    fixture.check();
}

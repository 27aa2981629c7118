//! Slow clients of an instance that reaches endpoints through a peer.

use std::thread;

use crate::fixture::Fixture;
use crate::fixture::HOLD_TIME;
use crate::fixture::request;
use siskinyoke_soak::SlowClients;

const CLIENT_COUNT: usize = 200;

fn check(path: &str) {
    let mut fixture = Fixture::start_with(2, 0);
    fixture.lose_links();
    let mut clients = SlowClients::connect(fixture.instance().caller_address, CLIENT_COUNT);
    clients.send(|number| request(number, path));
    thread::sleep(HOLD_TIME);
    fixture.check();
}

// Guards against responses that are held at either instance of a hop.
#[test]
fn responses_over_a_peer_that_are_not_read_stay_within_the_memory() {
    check("/safe/sized-900000");
}

// Guards against streams that a relay holds for a peer whose client does not read.
#[test]
fn streams_over_a_peer_that_are_not_read_stay_within_the_memory() {
    check("/stream/blocks-270");
}

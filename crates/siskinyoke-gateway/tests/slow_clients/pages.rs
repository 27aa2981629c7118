//! The listeners other than the one for callers.

use std::net::SocketAddr;

use crate::fixture::Fixture;
use crate::fixture::HOLD_TIME;
use siskinyoke_soak::SlowClients;

const CLIENT_COUNT: usize = 300;

// Plays clients that do not finish their heads while the process may open few descriptors.
fn check_descriptors(address: impl Fn(&Fixture) -> SocketAddr) {
    let mut fixture = Fixture::start();
    fixture.limit_descriptors();
    let mut clients = SlowClients::connect(address(&fixture), CLIENT_COUNT);
    clients.send(|_| b"GET / HTTP/1.1\r\nhost: h.ex".to_vec());
    fixture.hold_within_descriptors(HOLD_TIME);
    fixture.check();
}

// Guards against unfinished heads that take all descriptors by way of the directory.
#[test]
fn unfinished_heads_at_the_directory_leave_descriptors() {
    check_descriptors(|it| it.instance().directory_address);
}

// Guards against unfinished heads that take all descriptors by way of the readiness check.
#[test]
fn unfinished_heads_at_the_readiness_check_leave_descriptors() {
    check_descriptors(|it| it.instance().health_address);
}

// Guards against unfinished heads that take all descriptors by way of the port for peers.
#[test]
fn unfinished_heads_at_the_port_for_peers_leave_descriptors() {
    check_descriptors(|it| it.instance().peer_address);
}

//! The listeners other than the one for callers.

use std::io::Read;
use std::io::Result;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::thread;

use crate::fixture::Fixture;
use crate::fixture::HOLD_TIME;
use siskinyoke_soak::SlowClients;
use siskinyoke_soak::instance::wait_until;

const CLIENT_COUNT: usize = 300;

/// The number of requests that a client sends at once.
const PIPELINED_COUNT: usize = 20;

/// The number of further routes, with which a configuration is larger than a socket's buffers.
const ROUTE_COUNT: usize = 8_000;

/// The number of further entries in the store.
const ENTRY_COUNT: usize = 2_000;

// Plays clients that do not finish their heads while the process may open few descriptors.
fn check_descriptors(address: impl Fn(&Fixture) -> SocketAddr) {
    let mut fixture = Fixture::start();
    fixture.limit_descriptors();
    let mut clients = SlowClients::connect(address(&fixture), CLIENT_COUNT);
    clients.send(|_| b"GET / HTTP/1.1\r\nhost: h.ex".to_vec());
    fixture.hold_within_descriptors(HOLD_TIME);
    fixture.check();
}

// Plays clients that ask for a page often and read nothing.
fn check_memory(fixture: &mut Fixture, address: SocketAddr, path: &str) {
    let mut clients = SlowClients::connect(address, CLIENT_COUNT);
    let request = format!("GET {path} HTTP/1.1\r\nhost: x\r\n\r\n");
    clients.send(|_| request.repeat(PIPELINED_COUNT).into_bytes());
    thread::sleep(HOLD_TIME);
    fixture.check();
}

fn page_length(address: SocketAddr, path: &str) -> Result<usize> {
    let mut stream = TcpStream::connect(address)?;
    write!(
        stream,
        "GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n"
    )?;
    stream.read_to_end(&mut Vec::new())
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

// Guards against metrics pages that wait uncounted for clients that do not read them.
#[test]
fn metrics_pages_that_are_not_read_stay_within_the_memory() {
    let mut fixture = Fixture::start();
    let address = fixture.instance().metrics_address;
    check_memory(&mut fixture, address, "/metrics");
}

// Guards against a copy of the store's content for each client that does not read it.
#[test]
fn store_contents_that_are_not_read_stay_within_the_memory() {
    let mut fixture = Fixture::start();
    for number in 0..ENTRY_COUNT {
        let entry = fixture.endpoints[0].entry_of("other", fixture.endpoints[0].address, "ready");
        fixture
            .store
            .put(&format!("servers/further-{number}"), &entry);
    }
    let address = fixture.instance().peer_address;
    wait_until("the instance knows the entries", || {
        page_length(address, "/entries/0.0").is_ok_and(|it| it > ENTRY_COUNT * 100)
    });
    check_memory(&mut fixture, address, "/entries/0.0");
}

// Guards against configurations that are held for clients that do not read them.
#[test]
fn configurations_that_are_not_read_stay_within_the_memory() {
    let mut fixture = Fixture::start_with(1, ROUTE_COUNT);
    let address = fixture.instance().peer_address;
    check_memory(&mut fixture, address, "/configuration/0");
}

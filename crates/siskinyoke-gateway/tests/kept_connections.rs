//! Requests over kept connections, beside the ends of their idle limit, of their time limit for
//! heads and of the drain period.

use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::path::Path;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use rustix::process::Signal;

use siskinyoke_soak::Endpoint;
use siskinyoke_soak::Instance;
use siskinyoke_soak::Store;
use siskinyoke_soak::configuration;
use siskinyoke_soak::instance::http_get;
use siskinyoke_soak::instance::wait_until;

/// The number of connections of each test.
const CONNECTION_COUNT: usize = 20;

/// How long callers' connections are accepted and kept open after `SIGTERM`.
const DRAIN_PERIOD_MS: u64 = 2_500;

/// A whole request without a body.
const REQUEST: &str = "GET /safe/a HTTP/1.1\r\nhost: h.example\r\nauthorization: Bearer k1\r\n\
                       siskinyoke-request-id: r1\r\nsiskinyoke-deadline-ms: 4000\r\n\r\n";

/// Where the head of the request is split.
const SPLIT_BYTES: usize = 60;

struct Setup {
    store: Store,
    _endpoint: Endpoint,
    instance: Instance,
}

impl Setup {
    fn start(idle_ms: u64, head_ms: u64) -> Self {
        let store = Store::start();
        store.put("op/config", &limits(3, idle_ms, head_ms));
        let endpoint = Endpoint::start("e1");
        store.put("servers/e1", &endpoint.entry("ready"));
        let program = Path::new(env!("CARGO_BIN_EXE_siskinyoke-gateway"));
        let instance = Instance::start(program, "i1", store.address).wait_until_ready();
        Self {
            store,
            _endpoint: endpoint,
            instance,
        }
    }

    // Opens connections over each of which a request has been served.
    fn connections(&self) -> Vec<TcpStream> {
        let mut connections: Vec<_> = (0..CONNECTION_COUNT)
            .map(|_| self.instance.connect())
            .collect();
        send_all(&mut connections, REQUEST);
        assert_eq!(served(&mut connections), CONNECTION_COUNT);
        connections
    }

    fn put_limits(&self, version: u64, idle_ms: u64) {
        let text = limits(version, idle_ms, 3_000);
        self.store.put("op/config", &text);
        let begin = Instant::now();
        while self.instance.metric("what=\"configuration\"") != Some(version) {
            assert!(begin.elapsed() < Duration::from_secs(2), "not in force");
            thread::sleep(Duration::from_millis(10));
        }
    }

    // Returns how many connections of callers were closed for a reason, by its name in the metrics.
    fn closed_connections(&self, reason: &str) -> usize {
        let page = http_get(self.instance.metrics_address, "/metrics").unwrap();
        let rows = page
            .lines()
            .filter(|it| it.starts_with("siskinyoke_closed_connections"));
        let mut rows = rows.filter(|it| it.contains("listener=\"callers\""));
        let row = rows.find(|it| it.contains(&format!("reason=\"{reason}\"")));
        row.and_then(|it| it.rsplit(' ').next()?.parse().ok())
            .unwrap_or(0)
    }
}

fn limits(version: u64, idle_ms: u64, head_ms: u64) -> String {
    configuration::text(version, "k1")
        .replace(
            "\"IdleTimeoutMs\":15000",
            &format!("\"IdleTimeoutMs\":{idle_ms}"),
        )
        .replace(
            "\"HeaderTimeoutMs\":3000",
            &format!("\"HeaderTimeoutMs\":{head_ms}"),
        )
}

// Closed connections are noticed when their responses are read.
fn send_all(connections: &mut [TcpStream], text: &str) {
    for stream in connections {
        drop(stream.write_all(text.as_bytes()));
    }
}

fn served(connections: &mut [TcpStream]) -> usize {
    let responses = connections.iter_mut().map(response_text);
    responses
        .filter(|it| it.starts_with("HTTP/1.1 200"))
        .count()
}

// Returns a response with a content length, or what was received of it.
fn response_text(stream: &mut TcpStream) -> String {
    let text = read_until(stream, "\r\n\r\n");
    let mut lengths = text
        .lines()
        .filter_map(|line| line.strip_prefix("content-length: "));
    let length = lengths.next().map_or(0, |it| it.parse().unwrap());
    let mut body = vec![0; length];
    match stream.read_exact(&mut body) {
        Ok(()) => text + &String::from_utf8(body).unwrap(),
        Err(_) => text,
    }
}

// Returns what is received up to a text, or all if it is not received.
fn read_until(stream: &mut TcpStream, end: &str) -> String {
    let mut text = String::new();
    let mut byte = [0];
    while !text.ends_with(end) {
        match stream.read(&mut byte) {
            Ok(1) => text.push(char::from(byte[0])),
            _ => break,
        }
    }
    text
}

// Returns how long it takes until the connection ends, with what was received before.
fn wait_for_end(stream: &mut TcpStream) -> (Duration, String) {
    let begin = Instant::now();
    let mut text = String::new();
    if let Err(err) = stream.read_to_string(&mut text) {
        assert_eq!(err.kind(), ErrorKind::ConnectionReset);
    }
    (begin.elapsed(), text)
}

fn sleep_until(begin: Instant, offset_ms: u64) {
    let offset = Duration::from_millis(offset_ms);
    thread::sleep(offset.saturating_sub(begin.elapsed()));
}

// Guards against closing connections as idle over requests that wait in their sockets.
#[test]
fn requests_that_arrive_while_the_process_is_paused_across_the_idle_limit_are_served() {
    let setup = Setup::start(1_000, 3_000);
    let mut connections = setup.connections();
    thread::sleep(Duration::from_millis(700));
    setup.instance.send_signal(Signal::STOP);
    send_all(&mut connections, REQUEST);
    thread::sleep(Duration::from_millis(600));
    setup.instance.send_signal(Signal::CONT);
    assert_eq!(served(&mut connections), CONNECTION_COUNT);
}

// Guards against closing connections as idle over a part of a head.
#[test]
fn a_head_that_arrives_across_the_idle_limit_is_served() {
    let setup = Setup::start(1_000, 3_000);
    let mut connections = setup.connections();
    thread::sleep(Duration::from_millis(800));
    send_all(&mut connections, &REQUEST[..SPLIT_BYTES]);
    thread::sleep(Duration::from_millis(500));
    send_all(&mut connections, &REQUEST[SPLIT_BYTES..]);
    assert_eq!(served(&mut connections), CONNECTION_COUNT);
}

// Guards against closing connections over a part of a head when the drain period ends.
#[test]
fn a_head_that_arrives_across_the_end_of_the_drain_period_is_served() {
    let setup = Setup::start(15_000, 3_000);
    let mut connections = setup.connections();
    let mut idle = setup.instance.connect();
    let begin = Instant::now();
    setup.instance.send_signal(Signal::TERM);
    sleep_until(begin, DRAIN_PERIOD_MS - 500);
    send_all(&mut connections, &REQUEST[..SPLIT_BYTES]);
    sleep_until(begin, DRAIN_PERIOD_MS + 400);
    send_all(&mut connections, &REQUEST[SPLIT_BYTES..]);
    assert_eq!(served(&mut connections), CONNECTION_COUNT);
    assert_eq!(wait_for_end(&mut idle).1, "");
    setup.instance.into_log();
    let limit = Duration::from_millis(DRAIN_PERIOD_MS + 1_500);
    assert!(begin.elapsed() < limit);
}

// Guards against refusing connections that wait to be accepted when the drain period ends.
#[test]
fn connections_opened_while_the_process_is_paused_across_the_drain_period_are_served() {
    let setup = Setup::start(15_000, 3_000);
    let begin = Instant::now();
    setup.instance.send_signal(Signal::TERM);
    sleep_until(begin, DRAIN_PERIOD_MS - 500);
    setup.instance.send_signal(Signal::STOP);
    let mut connections: Vec<_> = (0..CONNECTION_COUNT)
        .map(|_| setup.instance.connect())
        .collect();
    send_all(&mut connections, REQUEST);
    sleep_until(begin, DRAIN_PERIOD_MS + 300);
    setup.instance.send_signal(Signal::CONT);
    assert_eq!(served(&mut connections), CONNECTION_COUNT);
}

// Guards against withholding a response until the next request has been received entirely.
#[test]
fn a_response_does_not_wait_for_the_rest_of_a_pipelined_request() {
    let setup = Setup::start(15_000, 3_000);
    let mut stream = setup.instance.connect();
    let timeout = Some(Duration::from_secs(2));
    stream.set_read_timeout(timeout).unwrap();
    let (first_part, rest) = REQUEST.split_at(SPLIT_BYTES);
    write!(stream, "{REQUEST}{first_part}").unwrap();
    assert!(response_text(&mut stream).starts_with("HTTP/1.1 200"));
    write!(stream, "{rest}").unwrap();
    assert!(response_text(&mut stream).starts_with("HTTP/1.1 200"));
}

// Guards against connections that are kept for ever, and against closing them without a trace.
#[test]
fn idle_connections_end_at_the_idle_limit_and_are_counted() {
    let setup = Setup::start(800, 3_000);
    let mut connections = setup.connections();
    for stream in &mut connections {
        let (duration, text) = wait_for_end(stream);
        assert!(duration < Duration::from_millis(1_200), "{duration:?}");
        assert_eq!(text, "");
    }
    assert_eq!(setup.closed_connections("idle"), CONNECTION_COUNT);
}

// Guards against parts of heads that keep connections open without a limit.
#[test]
fn a_head_that_does_not_arrive_in_time_is_refused() {
    let setup = Setup::start(15_000, 500);
    let mut connections = setup.connections();
    connections.push(setup.instance.connect());
    let begin = Instant::now();
    send_all(&mut connections, &REQUEST[..SPLIT_BYTES]);
    for stream in &mut connections {
        let text = wait_for_end(stream).1;
        assert!(text.starts_with("HTTP/1.1 408 "), "{text}");
        assert!(text.contains("connection: close\r\n"), "{text}");
    }
    assert!(begin.elapsed() >= Duration::from_millis(500));
    assert!(begin.elapsed() < Duration::from_millis(1_200));
    assert_eq!(
        setup.closed_connections("head_timeout"),
        CONNECTION_COUNT + 1
    );
}

// Guards against a limit for heads that starts before the first byte of a head.
#[test]
fn the_limit_for_heads_does_not_bind_connections_between_requests() {
    let setup = Setup::start(3_000, 300);
    let mut connections = setup.connections();
    // Some clients send an empty line after a request.
    send_all(&mut connections[..CONNECTION_COUNT / 2], "\r\n");
    thread::sleep(Duration::from_millis(900));
    send_all(&mut connections, REQUEST);
    assert_eq!(served(&mut connections), CONNECTION_COUNT);
}

// Guards against refusing a head whose rest waits in the socket when its time ends.
#[test]
fn a_head_whose_rest_arrives_while_the_process_is_paused_across_its_limit_is_served() {
    let setup = Setup::start(15_000, 500);
    let mut connections = setup.connections();
    send_all(&mut connections, &REQUEST[..SPLIT_BYTES]);
    thread::sleep(Duration::from_millis(300));
    setup.instance.send_signal(Signal::STOP);
    send_all(&mut connections, &REQUEST[SPLIT_BYTES..]);
    thread::sleep(Duration::from_millis(500));
    setup.instance.send_signal(Signal::CONT);
    assert_eq!(served(&mut connections), CONNECTION_COUNT);
}

// Guards against a process that waits for the rest of a head until it is killed.
#[test]
fn a_part_of_a_head_does_not_hold_up_a_shutdown() {
    let setup = Setup::start(15_000, 1_000);
    let mut stream = setup.instance.connect();
    let begin = Instant::now();
    setup.instance.send_signal(Signal::TERM);
    sleep_until(begin, DRAIN_PERIOD_MS - 500);
    write!(stream, "{}", &REQUEST[..SPLIT_BYTES]).unwrap();
    let text = wait_for_end(&mut stream).1;
    assert!(text.starts_with("HTTP/1.1 408 "), "{text}");
    setup.instance.into_log();
    let limit = Duration::from_millis(DRAIN_PERIOD_MS + 1_500);
    assert!(begin.elapsed() < limit);
}

// Guards against closing a connection sooner than its client could know when it was last used.
#[test]
fn a_lowered_idle_limit_does_not_bind_connections_that_are_idle_already() {
    let setup = Setup::start(2_000, 3_000);
    let begin = Instant::now();
    let mut connections: Vec<_> = (0..CONNECTION_COUNT)
        .map(|_| setup.instance.connect())
        .collect();
    sleep_until(begin, 900);
    send_all(&mut connections, REQUEST);
    assert_eq!(served(&mut connections), CONNECTION_COUNT);
    setup.put_limits(4, 400);
    // The process wakes 2,000 ms after the connections were opened.
    sleep_until(begin, 2_400);
    send_all(&mut connections, REQUEST);
    assert_eq!(served(&mut connections), CONNECTION_COUNT);
    for stream in &mut connections {
        let (duration, text) = wait_for_end(stream);
        assert!(duration < Duration::from_millis(800), "{duration:?}");
        assert_eq!(text, "");
    }
}

// Guards against closing a connection sooner than its client may know from a new configuration.
#[test]
fn a_raised_idle_limit_holds_at_once() {
    let setup = Setup::start(800, 3_000);
    let mut connections = setup.connections();
    setup.put_limits(4, 3_000);
    thread::sleep(Duration::from_millis(1_500));
    send_all(&mut connections, REQUEST);
    assert_eq!(served(&mut connections), CONNECTION_COUNT);
}

// Guards against taking a connection as idle between the parts of a response, or since its head.
#[test]
fn a_response_that_outlasts_the_idle_limit_is_complete_and_its_connection_is_kept() {
    let setup = Setup::start(220, 3_000);
    let mut connections: Vec<_> = (0..CONNECTION_COUNT / 4)
        .map(|_| setup.instance.connect())
        .collect();
    send_all(&mut connections, &REQUEST.replace("/safe/a", "/safe/nap"));
    assert_eq!(served(&mut connections), CONNECTION_COUNT / 4);
    let stream_request = REQUEST.replace("/safe/a", "/stream/versioned");
    for _ in 0..3 {
        let mut stream = setup.instance.connect();
        stream.write_all(stream_request.as_bytes()).unwrap();
        let text = read_until(&mut stream, "\r\n0\r\n\r\n");
        assert_eq!(text.matches("data: ").count(), 24, "{text}");
        thread::sleep(Duration::from_millis(60));
        send_all(std::slice::from_mut(&mut stream), REQUEST);
        assert!(response_text(&mut stream).starts_with("HTTP/1.1 200"));
    }
}

// Guards against closing a connection after a refusal that does not say so.
#[test]
fn a_refusal_sent_before_the_body_arrives_ends_its_connection_only_if_it_says_so() {
    let setup = Setup::start(15_000, 3_000);
    let mut stream = setup.instance.connect();
    let head = REQUEST.replace("GET /safe/a", "POST /none/a");
    let head = head.replace("\r\n\r\n", "\r\ncontent-length: 500\r\n\r\n");
    stream.write_all(head.as_bytes()).unwrap();
    let refusal = response_text(&mut stream);
    assert!(refusal.starts_with("HTTP/1.1 404"), "{refusal}");
    if refusal.contains("connection: close") {
        return;
    }
    send_all(std::slice::from_mut(&mut stream), &"x".repeat(500));
    thread::sleep(Duration::from_millis(50));
    send_all(std::slice::from_mut(&mut stream), REQUEST);
    assert!(response_text(&mut stream).starts_with("HTTP/1.1 200"));
}

// As above, before a configuration is known.
#[test]
fn a_refusal_without_a_configuration_ends_its_connection_only_if_it_says_so() {
    let store = Store::start();
    let program = Path::new(env!("CARGO_BIN_EXE_siskinyoke-gateway"));
    let instance = Instance::start(program, "i1", store.address);
    wait_until("the instance listens", || {
        TcpStream::connect(instance.caller_address).is_ok()
    });
    let mut stream = instance.connect();
    let head = REQUEST.replace("GET /safe/a", "POST /safe/a");
    let head = head.replace(
        "-ms: 4000\r\n\r\n",
        "-ms: 800\r\ncontent-length: 500\r\n\r\n",
    );
    stream.write_all(head.as_bytes()).unwrap();
    let refusal = response_text(&mut stream);
    assert!(refusal.starts_with("HTTP/1.1 503"), "{refusal}");
    assert!(refusal.contains("connection: close"), "{refusal}");
}

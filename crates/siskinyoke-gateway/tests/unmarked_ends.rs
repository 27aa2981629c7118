//! Responses that end with their connection, and streams that break off inside an event.

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::path::Path;
use std::thread;
use std::time::Duration;

use rustix::process::Signal;

use siskinyoke_soak::Endpoint;
use siskinyoke_soak::Instance;
use siskinyoke_soak::Store;
use siskinyoke_soak::configuration;
use siskinyoke_soak::endpoint::LARGE_BODY_BYTES;
use siskinyoke_soak::instance::http_get;
use siskinyoke_soak::instance::read_events;
use siskinyoke_soak::instance::send_request;
use siskinyoke_soak::instance::wait_until;

/// How the first and the last endpoint of a stream mark its end.
const FRAMINGS: [(&str, &str); 4] = [
    ("chunked", "chunked"),
    ("chunked", "unmarked"),
    ("unmarked", "chunked"),
    ("unmarked", "unmarked"),
];

struct Setup {
    _store: Store,
    endpoints: Vec<Endpoint>,
    instance: Instance,
}

impl Setup {
    fn start() -> Self {
        let store = Store::start();
        store.put("op/config", &configuration::text(3, "k1"));
        let endpoints: Vec<_> = ["e1", "e2"].map(Endpoint::start).into();
        for endpoint in &endpoints {
            store.put(
                &format!("servers/{}", endpoint.id),
                &endpoint.entry("ready"),
            );
        }
        let program = Path::new(env!("CARGO_BIN_EXE_siskinyoke-gateway"));
        let instance = Instance::start(program, "i1", store.address).wait_until_ready();
        Self {
            _store: store,
            endpoints,
            instance,
        }
    }

    fn set_grace_period(&mut self, seconds: u32) {
        let text = format!("\"grace_s\": {seconds}");
        self.instance.edit_settings("\"grace_s\": 8", &text);
        self.instance.kill();
        self.instance.restart();
        wait_until("the instance serves", || self.instance.serves_requests());
    }

    fn call(&self, path: &str) -> Received {
        let mut stream = self.instance.connect();
        send_request(&mut stream, "r1", path, "connection: close\r\n", "");
        Received::read(&mut stream, Vec::new())
    }

    fn request_count(&self) -> usize {
        self.endpoints.iter().map(|it| it.requests().len()).sum()
    }

    // Returns how many attempts ended in a way, by its name in the metrics.
    fn attempts(&self, outcome: &str) -> u64 {
        let page = http_get(self.instance.metrics_address, "/metrics").unwrap();
        let name = format!("outcome=\"{outcome}\"");
        let mut rows = page.lines().filter(|it| it.contains("attempts_total"));
        let row = rows.find(|it| it.contains(&name));
        let count = row.and_then(|it| it.rsplit(' ').next()?.parse().ok());
        count.unwrap_or(0)
    }
}

/// A response as a caller receives it.
#[derive(Debug)]
struct Received {
    head: String,
    body: String,
    // Whether the connection was reset.
    reset: bool,
}

impl Received {
    // Reads the rest of a response.
    fn read(stream: &mut TcpStream, mut bytes: Vec<u8>) -> Self {
        let reset = stream.read_to_end(&mut bytes).is_err();
        let text = String::from_utf8(bytes).unwrap();
        let (head, body) = text.split_once("\r\n\r\n").unwrap();
        Self {
            head: head.to_owned(),
            body: body.to_owned(),
            reset,
        }
    }

    fn events(&self) -> Vec<&str> {
        let lines = self.body.lines();
        lines.filter_map(|it| it.strip_prefix("data: ")).collect()
    }

    fn is_chunked(&self) -> bool {
        self.head.contains("transfer-encoding: chunked")
    }

    // Returns whether the end of the body is marked as the end of the response.
    fn is_marked_complete(&self) -> bool {
        if self.is_chunked() {
            self.body.ends_with("0\r\n\r\n")
        } else {
            self.head.contains("content-length: ")
        }
    }

    // Returns whether the caller takes the response for a whole one.
    fn looks_complete(&self) -> bool {
        self.is_marked_complete() || !self.is_chunked() && !self.reset
    }

    // Returns whether the caller can tell that the response broke off.
    fn is_broken(&self) -> bool {
        !self.looks_complete()
    }
}

#[test]
fn a_stream_that_broke_off_inside_an_event_is_resumed() {
    for path in [
        "/stream/unmarked-events/stub",
        "/stream/unmarked-events/line",
        "/stream/events/closed",
    ] {
        let setup = Setup::start();
        let received = setup.call(path);
        assert_eq!(received.events(), ["1", "2", "3", "4"], "{path}");
        assert_eq!(received.body.matches("id: ").count(), 4, "{received:?}");
        assert!(!received.reset, "{path}: {received:?}");
        assert_eq!(setup.attempts("broken"), 1, "{path}");
    }
}

#[test]
fn a_stream_that_broke_off_inside_an_event_never_looks_complete() {
    for (path, requests) in [
        ("/single/unmarked-events/stub", 1),
        ("/single/unmarked-events/line", 1),
        ("/single/events/closed", 1),
        ("/stream/unmarked-events/stub/again", 2),
        ("/stream/unmarked-events/line/again", 2),
    ] {
        let setup = Setup::start();
        let received = setup.call(path);
        assert_eq!(received.events(), ["1", "2"], "{path}");
        assert!(received.is_broken(), "{path}: {received:?}");
        assert_eq!(setup.request_count(), requests, "{path}");
        assert_eq!(setup.attempts("done"), 0, "{path}");
    }
}

// HTTP/1.0 has no chunks, so a stream for such a caller bears no mark at its end.
#[test]
fn a_stream_that_broke_off_does_not_look_complete_to_a_caller_without_chunks() {
    let setup = Setup::start();
    let mut stream = setup.instance.connect();
    stream
        .write_all(
            b"GET /single/events HTTP/1.0\r\nhost: h.example\r\nauthorization: Bearer k1\r\n\
              siskinyoke-request-id: r1\r\nsiskinyoke-deadline-ms: 4000\r\n\r\n",
        )
        .unwrap();
    let mut bytes = Vec::new();
    let result = stream.read_to_end(&mut bytes);
    let text = String::from_utf8_lossy(&bytes);
    assert_eq!(text.matches("data: ").count(), 2, "{text}");
    assert!(result.is_err(), "{text}");
}

#[test]
fn the_end_of_a_stream_that_no_endpoint_marked_is_not_marked() {
    for (path, events) in [
        ("/stream/unmarked-events", 4),
        ("/single/unmarked-events", 4),
        ("/stream/unmarked-events/between", 2),
        ("/single/unmarked-events/between", 2),
    ] {
        let setup = Setup::start();
        let received = setup.call(path);
        assert_eq!(received.events().len(), events, "{path}: {received:?}");
        assert!(!received.is_marked_complete(), "{path}: {received:?}");
        assert!(!received.reset, "{path}: {received:?}");
        assert_eq!(setup.request_count(), 1, "{path}");
    }
}

#[test]
fn a_response_of_unstated_length_is_passed_on_without_one() {
    let setup = Setup::start();
    for path in ["/safe/unmarked", "/once/unmarked"] {
        let received = setup.call(path);
        assert_eq!(received.body, "whole");
        assert!(!received.is_marked_complete(), "{received:?}");
        assert!(!received.reset, "{received:?}");
    }
    assert_eq!(setup.request_count(), 2);
}

// Guards against streams that look whole because their instance was killed or stopped.
#[test]
fn a_stream_without_an_end_mark_does_not_look_complete_when_its_instance_ends() {
    for (path, signal) in [
        ("/stream/unmarked-events/held", Signal::KILL),
        ("/single/unmarked-events/held", Signal::KILL),
        ("/stream/unmarked-events/held", Signal::TERM),
    ] {
        let mut setup = Setup::start();
        setup.set_grace_period(2);
        let mut stream = setup.instance.connect();
        send_request(&mut stream, "r1", path, "", "");
        let mut bytes = read_events(&mut stream, 2);
        setup.instance.send_signal(signal);
        let result = stream.read_to_end(&mut bytes);
        let text = String::from_utf8_lossy(&bytes);
        assert!(result.is_err(), "{path} {signal:?}: {text}");
    }
}

// Guards against a reset that discards what a slow caller has not read yet.
#[test]
fn a_slow_caller_receives_a_whole_response_without_an_end_mark() {
    let setup = Setup::start();
    let mut stream = setup.instance.connect();
    send_request(&mut stream, "r1", "/safe/unmarked/long", "", "");
    thread::sleep(Duration::from_millis(500));
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).unwrap();
    let text = String::from_utf8(bytes).unwrap();
    let (_, body) = text.split_once("\r\n\r\n").unwrap();
    assert_eq!(body.len(), LARGE_BODY_BYTES);
}

// Guards against whole streams that are cut, and against broken ones that look whole, where two
// endpoints mark the end of their responses differently.
#[test]
fn a_stream_of_two_endpoints_looks_complete_only_if_its_last_part_is() {
    for (first, last) in FRAMINGS {
        for (end, is_whole) in [("whole", true), ("stub", false), ("reset", false)] {
            let setup = Setup::start();
            let path = format!("/stream/joined/first-{first}/last-{last}/end-{end}");
            let received = setup.call(&path);
            let events: &[_] = if is_whole {
                &["1", "2", "3", "4"]
            } else {
                &["1", "2", "3"]
            };
            assert_eq!(received.events(), events, "{path}: {received:?}");
            assert_eq!(received.looks_complete(), is_whole, "{path}: {received:?}");
            assert_eq!(received.is_chunked(), first == "chunked", "{path}");
        }
    }
}

#[test]
fn a_stream_of_two_endpoints_does_not_look_complete_when_its_instance_is_killed() {
    for (first, last) in FRAMINGS {
        let setup = Setup::start();
        let path = format!("/stream/joined/first-{first}/last-{last}/end-held");
        let mut stream = setup.instance.connect();
        send_request(&mut stream, "r1", &path, "", "");
        let bytes = read_events(&mut stream, 3);
        setup.instance.send_signal(Signal::KILL);
        let received = Received::read(&mut stream, bytes);
        assert_eq!(received.events(), ["1", "2", "3"], "{path}");
        assert!(received.is_broken(), "{path}: {received:?}");
    }
}

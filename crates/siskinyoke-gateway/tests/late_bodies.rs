//! Requests that become whole while their instance shuts down.

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

/// The number of endpoints, each of which has four slots.
const ENDPOINT_COUNT: usize = 4;

/// The number of callers that send the rest of their bodies one after the other, and the pause
/// between two of them.
const CALLER_COUNT: u32 = 15;
const PAUSE: Duration = Duration::from_millis(500);

/// For how long a request that becomes whole has to be taken, if its response is not due too late.
const DRAIN_PERIOD: Duration = Duration::from_millis(2_500);

/// How long the instance has after `SIGTERM`, without the last moments in which it sends responses.
const GRACE_PERIOD: Duration = Duration::from_millis(7_500);

const BODY: &str = "half and half";

// What came of a request.
#[derive(Debug)]
struct Ending {
    // When the rest of its body was sent, counted from `SIGTERM`.
    sent: Duration,
    response: String,
    runs: usize,
}

impl Ending {
    fn is_served(&self) -> bool {
        self.response.starts_with("HTTP/1.1 200") && self.runs > 0
    }

    // Returns whether the caller learns that it has not run, and it has not.
    fn is_refused(&self) -> bool {
        let status = self.response.starts_with("HTTP/1.1 503");
        status && self.response.contains("retry-after: ") && self.runs == 0
    }
}

struct Setup {
    _store: Store,
    endpoints: Vec<Endpoint>,
    instance: Instance,
}

impl Setup {
    fn start(name: &str) -> Self {
        let store = Store::start();
        let text = configuration::text(3, "k1");
        store.put(
            "op/config",
            &text.replace("\"TimeoutMs\":4000", "\"TimeoutMs\":14000"),
        );
        let endpoints = (0..ENDPOINT_COUNT).map(|it| Endpoint::start(&format!("e{it}")));
        let endpoints: Vec<_> = endpoints.collect();
        for endpoint in &endpoints {
            let key = format!("servers/{}", endpoint.id);
            store.put(&key, &endpoint.entry("ready"));
        }
        let program = Path::new(env!("CARGO_BIN_EXE_siskinyoke-gateway"));
        let instance = Instance::start(program, name, store.address).wait_until_ready();
        Self {
            _store: store,
            endpoints,
            instance,
        }
    }

    // Sends a request without the rest of its body.
    fn send_half(&self, path: &str, number: u32) -> TcpStream {
        let mut stream = self.instance.connect();
        let head = format!(
            "POST {path} HTTP/1.1\r\nhost: h.example\r\nauthorization: Bearer k1\r\n\
             siskinyoke-request-id: {}\r\nsiskinyoke-deadline-ms: 14000\r\nconnection: close\r\n\
             content-length: {}\r\n\r\n{}",
            request_id(number),
            BODY.len(),
            &BODY[..BODY.len() / 2]
        );
        stream.write_all(head.as_bytes()).unwrap();
        stream
    }

    // Stops the instance, sends the rests of bodies one after the other, and returns what came of the
    // requests.
    fn stop_and_send_rests(&self, callers: Vec<TcpStream>) -> Vec<Ending> {
        self.instance.send_signal(Signal::TERM);
        let stopped_at = Instant::now();
        thread::scope(|scope| {
            let callers = (0..).zip(callers).map(|(number, stream)| {
                scope.spawn(move || {
                    let sent = PAUSE * (number + 1);
                    thread::sleep(sent.saturating_sub(stopped_at.elapsed()));
                    let response = send_rest(stream);
                    let runs = self.run_count(&request_id(number));
                    Ending {
                        sent,
                        response,
                        runs,
                    }
                })
            });
            let callers: Vec<_> = callers.collect();
            callers.into_iter().map(|it| it.join().unwrap()).collect()
        })
    }

    fn run_count(&self, id: &str) -> usize {
        let requests = self.endpoints.iter().flat_map(Endpoint::requests);
        let id_header = "siskinyoke-request-id";
        requests
            .filter(|it| it.header(id_header) == Some(id))
            .count()
    }
}

// Sends the rest of a body, and returns everything that is received.
fn send_rest(mut stream: TcpStream) -> String {
    let mut response = String::new();
    let written = stream.write_all(&BODY.as_bytes()[BODY.len() / 2..]);
    match written.and_then(|()| stream.read_to_string(&mut response)) {
        Ok(_) => response,
        Err(err) => format!("{err} after {response:?}"),
    }
}

fn request_id(number: u32) -> String {
    format!("late{number}")
}

// Plays requests that take some time at endpoints, and checks what comes of each.
fn check(route: &str, work: Duration) {
    let path = format!("/{route}/work-{}", work.as_millis());
    let name = format!("late-{route}-{}", work.as_millis());
    let setup = Setup::start(&name);
    let callers = (0..CALLER_COUNT).map(|it| setup.send_half(&path, it));
    let callers = callers.collect();
    thread::sleep(Duration::from_millis(300));
    let endings = setup.stop_and_send_rests(callers);
    let text = endings.iter().map(|it| {
        let end = it.response.lines().next();
        format!("{:?}: {} runs, {end:?}", it.sent, it.runs)
    });
    let text = format!("{path}: {:#?}", text.collect::<Vec<_>>());
    println!("{text}");
    for ending in &endings {
        assert!(ending.is_served() || ending.is_refused(), "{text}");
        if ending.sent < DRAIN_PERIOD && ending.sent + work < GRACE_PERIOD {
            assert!(ending.is_served(), "{text}");
        }
    }
}

// Guards against requests that are taken late in the grace period and cut at its end.
#[test]
fn requests_that_become_whole_late_in_the_grace_period_are_served_or_refused() {
    thread::scope(|scope| {
        for (route, work) in [
            ("once", 400),
            ("once", 3_000),
            ("once", 5_000),
            ("stream", 5_000),
        ] {
            scope.spawn(move || check(route, Duration::from_millis(work)));
        }
    });
}

// Guards against requests that still run at the end of the grace period and get no response.
#[test]
fn a_request_that_outlasts_the_grace_period_is_answered_at_its_end() {
    let setup = Setup::start("late-long");
    let stream = setup.send_half("/once/work-12000", 0);
    let response = thread::scope(|scope| {
        let response = scope.spawn(|| send_rest(stream));
        thread::sleep(Duration::from_millis(300));
        setup.instance.send_signal(Signal::TERM);
        response.join().unwrap()
    });
    assert!(response.starts_with("HTTP/1.1 504"), "{response}");
}

//! Instances that lose their links to endpoints while callers, the store and other instances still
//! reach them.

use std::io::Read;
use std::net::TcpStream;
use std::ops::Range;
use std::path::Path;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use rustix::process::Signal;

use siskinyoke_dispatch::stable_hash;
use siskinyoke_soak::Endpoint;
use siskinyoke_soak::Instance;
use siskinyoke_soak::Proxy;
use siskinyoke_soak::Store;
use siskinyoke_soak::configuration;
use siskinyoke_soak::instance::read_events;
use siskinyoke_soak::instance::send_request;
use siskinyoke_soak::instance::wait_until;
use siskinyoke_soak::process_usage::ProcessUsage;
use siskinyoke_soak::proxy::Cut;
use siskinyoke_soak::stream::Part;
use siskinyoke_soak::stream::StreamRequest;

/// How long a cut may last until the callers have to be served: the default of `settle_ms`.
const SETTLING_TIME: Duration = Duration::from_secs(3);

/// The number of requests of each kind that have to be served at the first attempt.
const REQUEST_COUNT: usize = 20;

/// The number of requests that are sent at once.
const PARALLEL_COUNT: usize = 12;

/// The number of requests after which the retry budget allows a retry for each of `PARALLEL_COUNT`
/// requests.
const BUDGETED_COUNT: usize = 60;

/// After how many unserved requests a check ends.
const MAX_UNSERVED: usize = 3;

/// The size of an upload, which no buffer on the way holds.
const UPLOAD_BYTES: usize = 4_000_000;

/// The memory of an instance, `memory_mb` in its settings.
const MAX_PEAK_KIB: u64 = 110 * 1024;

struct Fleet {
    _store: Store,
    endpoints: Vec<Endpoint>,
    proxies: Vec<Proxy>,
    // The first one is cut off.
    instances: Vec<Instance>,
}

impl Fleet {
    fn start(instances: usize) -> Self {
        let store = Store::start();
        let configuration = configuration::text_with_body_limit(3, "k1", UPLOAD_BYTES);
        store.put("op/config", &configuration);
        let endpoints: Vec<_> = (0..4)
            .map(|it| Endpoint::start(&format!("e{it}")))
            .collect();
        let proxies: Vec<_> = endpoints
            .iter()
            .map(|it| Proxy::start(it.address))
            .collect();
        for (endpoint, proxy) in endpoints.iter().zip(&proxies) {
            let entry = endpoint.entry_at(proxy.address, "ready");
            store.put(&format!("servers/{}", endpoint.id), &entry);
        }
        let program = Path::new(env!("CARGO_BIN_EXE_siskinyoke-gateway"));
        let instances: Vec<_> = (0..instances)
            .map(|it| Instance::start(program, &format!("i{it}"), store.address))
            .map(Instance::wait_until_ready)
            .collect();
        let fleet = Self {
            _store: store,
            endpoints,
            proxies,
            instances,
        };
        let peers = u64::try_from(fleet.instances.len()).unwrap() - 1;
        for instance in &fleet.instances {
            wait_until("the instance knows its peers and serves", || {
                state(instance, "peers") == peers && instance.serves_requests()
            });
        }
        fleet
    }

    // Cuts instances off from all endpoints, or ends that.
    fn set_cut(&self, instances: Range<usize>, cut: Option<Cut>) {
        for instance in &self.instances[instances] {
            for proxy in &self.proxies {
                proxy.set_cut(instance.caller_address.ip(), cut);
            }
        }
    }

    // Cuts instances off, and waits until each of them has noticed.
    fn lose_links(&self, instances: Range<usize>) {
        self.set_cut(instances.clone(), Some(Cut::Reset));
        for instance in &self.instances[instances] {
            wait_until("the links are lost", || {
                instance.call("early", "/safe/a", "", "");
                state(instance, "lost_links") == 1
            });
        }
    }

    // Sends requests of each kind to the first instance, one after the other and then at once, and
    // returns some of those that were not served.
    fn unserved(&self, name: &str) -> Vec<String> {
        let mut unserved = Vec::new();
        for path in ["/safe/a", "/once/a", "/stream/a"] {
            for number in 0..REQUEST_COUNT {
                unserved.extend(self.call(&format!("{name}{path}{number}"), path));
                if unserved.len() >= MAX_UNSERVED {
                    return unserved;
                }
            }
        }
        let at_once = thread::scope(|scope| {
            let call = |number| self.call(&format!("{name}/nap{number}"), "/once/nap");
            let calls: Vec<_> = (0..PARALLEL_COUNT)
                .map(|it| scope.spawn(move || call(it)))
                .collect();
            let results = calls.into_iter().filter_map(|it| it.join().unwrap());
            results.collect::<Vec<_>>()
        });
        unserved.extend(at_once);
        unserved
    }

    // Sends a request to the first instance, and describes the response if it was not served.
    fn call(&self, id: &str, path: &str) -> Option<String> {
        let response = self.instances[0].call(id, path, "", "");
        let served = response.starts_with("HTTP/1.1 200");
        (!served).then(|| format!("{id}: {response:?}"))
    }

    // Sends a request for a stream, or for the rest of one, to an instance.
    fn stream(
        &self,
        instance: usize,
        id: &str,
        resumes: Option<(&str, u32)>,
        max_events: usize,
    ) -> Part {
        let request = StreamRequest {
            id,
            path: "/stream/versioned",
            shared_parts: &[],
            resumes,
            max_events,
        };
        request.send(self.instances[instance].caller_address)
    }

    // Returns how often the request with this ID arrived at endpoints.
    fn arrivals(&self, id: &str) -> usize {
        let requests = self.endpoints.iter().flat_map(Endpoint::requests);
        requests
            .filter(|it| it.header("siskinyoke-request-id") == Some(id))
            .count()
    }
}

// Returns a gauge of an instance's metrics.
fn state(instance: &Instance, name: &str) -> u64 {
    let value = instance.metric(&format!("what=\"{name}\""));
    value.unwrap_or(0)
}

fn check_served_while_cut(cut: Cut) {
    let fleet = Fleet::start(3);
    fleet.set_cut(0..1, Some(cut));
    let start = Instant::now();
    // Some of the early requests need new connections.
    thread::scope(|scope| {
        for caller in 0..4 {
            let fleet = &fleet;
            scope.spawn(move || {
                while start.elapsed() < SETTLING_TIME {
                    let path = ["/safe/a", "/safe/nap"][caller % 2];
                    fleet.call(&format!("early{caller}"), path);
                }
            });
        }
    });
    let unserved = fleet.unserved("cut");
    assert!(unserved.is_empty(), "{}: {unserved:#?}", unserved.len());
    assert_eq!(fleet.arrivals("cut/once/a0"), 1);
    fleet.set_cut(0..1, None);
    thread::sleep(Duration::from_millis(100));
    let unserved = fleet.unserved("restored");
    assert!(unserved.is_empty(), "{}: {unserved:#?}", unserved.len());
}

#[test]
fn callers_of_an_instance_whose_links_to_endpoints_are_silent_are_served() {
    check_served_while_cut(Cut::Silent);
}

#[test]
fn callers_of_an_instance_whose_links_to_endpoints_are_reset_are_served() {
    check_served_while_cut(Cut::Reset);
}

#[test]
fn callers_of_an_instance_that_can_open_no_connections_to_endpoints_are_served() {
    check_served_while_cut(Cut::RefuseNew);
}

#[test]
fn a_request_is_relayed_once_and_past_peers_without_links() {
    let fleet = Fleet::start(4);
    fleet.lose_links(0..3);
    let unserved = fleet.unserved("r");
    assert!(unserved.is_empty(), "{unserved:#?}");
    assert_eq!(fleet.arrivals("r/once/a0"), 1);
}

// Guards against a relay that marks the end of what may have broken off.
#[test]
fn a_response_without_an_end_mark_is_relayed_without_one() {
    let fleet = Fleet::start(2);
    fleet.lose_links(0..1);
    for (path, events) in [
        ("/single/unmarked-events", 4),
        ("/single/unmarked-events/between", 2),
    ] {
        let response = fleet.instances[0].call("r", path, "", "");
        assert_eq!(response.matches("data: ").count(), events, "{response}");
        assert!(!response.contains("transfer-encoding"), "{response}");
    }
    let response = fleet.instances[0].call("r", "/safe/unmarked", "", "");
    assert!(response.ends_with("whole"), "{response}");
    assert!(!response.contains("content-length"), "{response}");
    let response = fleet.instances[0].call("r", "/stream/unmarked-events/stub", "", "");
    assert_eq!(response.matches("data: ").count(), 4, "{response}");
}

// Guards against whole streams that are cut after their last event.
#[test]
fn a_relayed_stream_is_complete_whichever_endpoints_mark_its_end() {
    let fleet = Fleet::start(2);
    fleet.lose_links(0..1);
    for number in 0..BUDGETED_COUNT {
        assert_eq!(fleet.call(&format!("b{number}"), "/safe/a"), None);
    }
    for (first, last) in [("chunked", "unmarked"), ("unmarked", "chunked")] {
        let path = format!("/stream/joined/first-{first}/last-{last}");
        let response = fleet.instances[0].call("r", &path, "", "");
        assert_eq!(response.matches("data: ").count(), 4, "{response}");
        let is_chunked = response.contains("transfer-encoding: chunked");
        assert_eq!(is_chunked, first == "chunked", "{response}");
        assert_eq!(response.ends_with("0\r\n\r\n"), is_chunked, "{response}");
    }
}

// Guards against a relay that takes the version of an entry for that of the process.
#[test]
fn a_stream_is_relayed_only_to_the_start_that_the_entry_names() {
    let fleet = Fleet::start(2);
    let first = fleet.stream(1, "s", None, 3);
    // A read may bring more events than were waited for.
    let last = first.events.last().unwrap().0;
    fleet.lose_links(0..1);
    let second = fleet.stream(0, "sb", Some(("s", last)), usize::MAX);
    assert!(second.is_last(), "{second:?}");
    for endpoint in &fleet.endpoints {
        endpoint.restart_as("v2");
    }
    let third = fleet.stream(0, "sc", Some(("s", last)), usize::MAX);
    assert_eq!(third.status, "503", "{third:?}");
    assert_eq!(fleet.arrivals("sc"), 0);
}

// Guards against a quarantine of content that ran nowhere twice.
#[test]
fn content_is_not_blamed_for_links_that_a_relay_has_lost() {
    let fleet = Fleet::start(2);
    fleet.lose_links(0..1);
    // The relay has not noticed yet.
    fleet.set_cut(1..2, Some(Cut::Reset));
    let responses: Vec<_> = (0..6)
        .map(|it| fleet.instances[0].call(&format!("r{it}"), "/safe/a", "", "shared"))
        .collect();
    let blamed = responses.iter().filter(|it| it.contains("suspect"));
    assert_eq!(blamed.count(), 0, "{responses:#?}");
    fleet.set_cut(0..2, None);
    wait_until("the content is served", || {
        let response = fleet.instances[0].call("later", "/safe/a", "", "shared");
        response.starts_with("HTTP/1.1 200")
    });
}

#[test]
fn callers_are_answered_at_once_while_no_instance_reaches_an_endpoint() {
    let fleet = Fleet::start(2);
    fleet.lose_links(0..2);
    let start = Instant::now();
    let response = fleet.instances[0].call("r", "/once/a", "", "");
    // The proxies reset a connection only after it is open, so that the request may have run.
    let statuses = ["HTTP/1.1 503", "HTTP/1.1 502"];
    let is_failure = statuses.iter().any(|it| response.starts_with(it));
    assert!(is_failure, "{response}");
    assert!(start.elapsed() < Duration::from_secs(1));
    assert_eq!(fleet.arrivals("r"), 0);
    fleet.set_cut(0..2, None);
    wait_until("the links are back", || {
        fleet.instances[0].serves_requests()
    });
}

#[test]
fn a_relayed_request_is_cancelled_when_its_caller_disconnects() {
    let fleet = Fleet::start(2);
    fleet.lose_links(0..1);
    let mut caller = fleet.instances[0].connect();
    send_request(&mut caller, "r", "/safe/slow", "", "");
    wait_until("the request arrives", || fleet.arrivals("r") == 1);
    drop(caller);
    let start = Instant::now();
    let disconnects = || -> u32 { fleet.endpoints.iter().map(Endpoint::disconnect_count).sum() };
    wait_until("the endpoint is told", || disconnects() == 1);
    let elapsed = start.elapsed();
    assert!(elapsed < Duration::from_millis(500), "{elapsed:?}");
}

// Guards against running a request twice, or denying that it ran, when its relay is lost.
#[test]
fn a_request_whose_relay_is_killed_is_neither_repeated_nor_reported_as_not_run() {
    let mut fleet = Fleet::start(2);
    fleet.lose_links(0..1);
    let mut caller = fleet.instances[0].connect();
    send_request(&mut caller, "r", "/once/nap", "connection: close\r\n", "");
    wait_until("the request arrives", || fleet.arrivals("r") == 1);
    fleet.instances[1].kill();
    let mut response = String::new();
    caller.read_to_string(&mut response).unwrap();
    assert!(response.starts_with("HTTP/1.1 502"), "{response}");
    assert_eq!(fleet.arrivals("r"), 1);
}

#[test]
fn a_relay_that_shuts_down_finishes_the_requests_that_it_relays() {
    let fleet = Fleet::start(3);
    fleet.lose_links(0..1);
    let responses = thread::scope(|scope| {
        let call = |number: u32| fleet.call(&format!("r{number}"), "/once/nap");
        let calls: Vec<_> = (0..8).map(|it| scope.spawn(move || call(it))).collect();
        wait_until("the requests arrive", || fleet.arrivals("r7") == 1);
        fleet.instances[1].send_signal(Signal::TERM);
        let results = calls.into_iter().filter_map(|it| it.join().unwrap());
        results.collect::<Vec<_>>()
    });
    assert!(responses.is_empty(), "{responses:#?}");
    let unserved = fleet.unserved("later");
    assert!(unserved.is_empty(), "{unserved:#?}");
}

// Endpoints may fall silent for a second and go on. Guards against giving up requests that may run
// once, and against a service that stays without endpoints after it.
#[test]
fn a_second_of_silence_costs_no_request() {
    let fleet = Fleet::start(2);
    fleet.set_cut(0..2, Some(Cut::Silent));
    let unserved = thread::scope(|scope| {
        let call = |number: usize| {
            let path = ["/once/a", "/safe/a"][number % 2];
            fleet.call(&format!("r{number}"), path)
        };
        let calls: Vec<_> = (0..PARALLEL_COUNT)
            .map(|it| scope.spawn(move || call(it)))
            .collect();
        thread::sleep(Duration::from_secs(1));
        fleet.set_cut(0..2, None);
        let results = calls.into_iter().filter_map(|it| it.join().unwrap());
        results.collect::<Vec<_>>()
    });
    assert!(unserved.is_empty(), "{unserved:#?}");
    let unserved = fleet.unserved("later");
    assert!(unserved.is_empty(), "{unserved:#?}");
}

// Guards against a stream that looks whole because the instance that relayed it was killed.
#[test]
fn a_relayed_stream_without_an_end_mark_does_not_look_complete_when_its_relay_is_killed() {
    let fleet = Fleet::start(2);
    fleet.lose_links(0..1);
    let mut stream = fleet.instances[0].connect();
    send_request(&mut stream, "r", "/single/unmarked-events/held", "", "");
    let mut bytes = read_events(&mut stream, 2);
    fleet.instances[1].send_signal(Signal::KILL);
    let result = stream.read_to_end(&mut bytes);
    assert!(result.is_err(), "{}", String::from_utf8_lossy(&bytes));
}

// The test connects from another address than the instances.
#[test]
fn an_instance_relays_nothing_for_callers() {
    let fleet = Fleet::start(2);
    let key = stable_hash(&(&*fleet.endpoints[0].id, 1_u64));
    let headers = format!("siskinyoke-relay-endpoint: {key:x}\r\nconnection: close\r\n");
    let mut stream = TcpStream::connect(fleet.instances[1].peer_address).unwrap();
    send_request(&mut stream, "r", "/once/a", &headers, "");
    let mut response = String::new();
    stream.read_to_string(&mut response).unwrap();
    assert!(response.starts_with("HTTP/1.1 502"), "{response}");
    assert!(
        response.contains("siskinyoke-relay-status: refused"),
        "{response}"
    );
    assert_eq!(fleet.arrivals("r"), 0);
    assert_eq!(state(&fleet.instances[1], "relayed"), 0);
}

// All endpoints repeat responses on their connections as the next request arrives. Guards against a
// second attempt that meets another such connection.
#[test]
fn a_retry_gets_no_response_to_another_request() {
    let fleet = Fleet::start(2);
    fleet.lose_links(0..1);
    for number in 0..BUDGETED_COUNT {
        assert_eq!(fleet.call(&format!("b{number}"), "/safe/a"), None);
    }
    thread::scope(|scope| {
        for number in 0..PARALLEL_COUNT {
            let fleet = &fleet;
            scope.spawn(move || fleet.call(&format!("d{number}"), "/safe/duplicate/brief"));
        }
    });
    thread::sleep(Duration::from_millis(10));
    for number in 0..MAX_UNSERVED {
        assert_eq!(fleet.call(&format!("x{number}"), "/safe/a"), None);
    }
}

// An endpoint repeats a response on its connection as the next request arrives. Guards against a
// relay that uses the connection again, so that each further request gets the response before it.
#[test]
fn a_relay_does_not_reuse_a_connection_with_a_response_to_another_request() {
    let fleet = Fleet::start(2);
    fleet.lose_links(0..1);
    assert_eq!(fleet.call("d", "/once/duplicate"), None);
    let unserved = (0..REQUEST_COUNT).filter_map(|number| {
        thread::sleep(Duration::from_millis(10));
        fleet.call(&format!("x{number}"), "/once/a")
    });
    let unserved: Vec<_> = unserved.collect();
    assert!(unserved.len() <= 1, "{unserved:#?}");
}

// One endpoint ends a part of its response in order before it has read the request. Guards against a
// relay that passes it on as a whole response.
#[test]
fn a_relayed_response_that_ends_before_its_request_was_sent_is_not_complete() {
    let fleet = Fleet::start(2);
    fleet.lose_links(0..1);
    let body = "x".repeat(UPLOAD_BYTES);
    let mut partial = 0;
    for number in 0..REQUEST_COUNT {
        let mut stream = fleet.instances[0].connect();
        let id = format!("u{number}");
        send_request(
            &mut stream,
            &id,
            "/once/aborted",
            "connection: close\r\n",
            &body,
        );
        let mut response = String::new();
        let read = stream.read_to_string(&mut response);
        partial += usize::from(read.is_ok() && response.ends_with("\r\n\r\nwho"));
    }
    assert_eq!(partial, 0);
}

// Guards against a relay, or the instance behind it, that holds bytes without end in place of a
// response until its memory is used up.
#[test]
fn bytes_without_end_are_bounded_over_a_relay() {
    let fleet = Fleet::start(2);
    fleet.lose_links(0..1);
    thread::scope(|scope| {
        for path in [
            "/safe/endless-line",
            "/safe/endless-head",
            "/safe/endless-interim",
            "/safe/endless-bytes",
            "/safe/endless-size",
            "/stream/endless-event",
            "/stream/endless-open",
        ] {
            for number in 0..3 {
                let fleet = &fleet;
                scope.spawn(move || {
                    let mut stream = fleet.instances[0].connect();
                    let id = format!("{path}{number}");
                    send_request(&mut stream, &id, path, "connection: close\r\n", &id);
                    let mut response = Vec::new();
                    // A response may end in a reset.
                    drop(stream.read_to_end(&mut response));
                });
            }
        }
    });
    assert!(fleet.endpoints[1].endless_bytes() > 0);
    for instance in &fleet.instances {
        let usage = ProcessUsage::of(instance.process_id()).expect("the process runs");
        println!("{usage:?}");
        assert!(usage.peak_kib < MAX_PEAK_KIB, "{usage:?}");
    }
    let unserved = fleet.unserved("later");
    assert!(unserved.is_empty(), "{unserved:#?}");
}

//! End-to-end tests of the gateway process, between stand-ins for the store and the endpoints.

use std::io::Read;
use std::net::TcpStream;
use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use rustix::process::Signal;

use siskinyoke_soak::Endpoint;
use siskinyoke_soak::Instance;
use siskinyoke_soak::Proxy;
use siskinyoke_soak::Store;
use siskinyoke_soak::configuration;
use siskinyoke_soak::endpoint::LARGE_BODY_BYTES;
use siskinyoke_soak::endpoint::LONG_STREAM_EVENTS;
use siskinyoke_soak::endpoint::RATE_LIMIT_PER_SECOND;
use siskinyoke_soak::endpoint::RETRY_AFTER_SECONDS;
use siskinyoke_soak::instance::http_get;
use siskinyoke_soak::instance::read_response;
use siskinyoke_soak::instance::send_request;
use siskinyoke_soak::instance::wait_until;
use siskinyoke_soak::proxy::Fault;
use siskinyoke_soak::store::Availability;

struct Setup {
    store: Store,
    endpoints: Vec<Endpoint>,
    instance: Instance,
}

fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_siskinyoke-gateway"))
}

fn start_setup(endpoints: &[&str]) -> Setup {
    let store = Store::start();
    store.put("op/config", &configuration::text(3, "k1"));
    // Invalid entries must not keep the valid ones from being used.
    store.put("servers/odd", "{\"Service\":7}");
    store.put("servers/odder", "\u{0}");
    let endpoints: Vec<_> = endpoints.iter().map(|id| Endpoint::start(id)).collect();
    for endpoint in &endpoints {
        store.put(
            &format!("servers/{}", endpoint.id),
            &endpoint.entry("ready"),
        );
    }
    let instance = Instance::start(program(), "i1", store.address).wait_until_ready();
    Setup {
        store,
        endpoints,
        instance,
    }
}

// Starts an instance while the store accepts calls but does not respond.
fn start_setup_with_stalled_store() -> Setup {
    let store = Store::start();
    store.put("op/config", &configuration::text(3, "k1"));
    let endpoint = Endpoint::start("e1");
    store.put("servers/e1", &endpoint.entry("ready"));
    store.set_availability(Availability::Unresponsive);
    let instance = Instance::start(program(), "i1", store.address);
    Setup {
        store,
        endpoints: vec![endpoint],
        instance,
    }
}

// Sends a request with a deadline in ms, as soon as the instance listens.
fn send_early(setup: &Setup, path: &str, deadline_ms: u32, body: &str) -> TcpStream {
    wait_until("the instance listens", || {
        TcpStream::connect(setup.instance.caller_address).is_ok()
    });
    let mut stream = setup.instance.connect();
    let header = format!("siskinyoke-deadline-ms: {deadline_ms}\r\n");
    send_request(&mut stream, "r1", path, &header, body);
    stream
}

// Sends more requests at once than an endpoint has slots, and returns the responses.
fn call_in_parallel(instance: &Instance, path: &str) -> Vec<String> {
    std::thread::scope(|scope| {
        let call = |number| instance.call(&format!("r{number}"), path, "", "");
        let calls: Vec<_> = (0..6).map(|it| scope.spawn(move || call(it))).collect();
        calls.into_iter().map(|it| it.join().unwrap()).collect()
    })
}

// Returns the version of the configuration in force, 0 if there is none.
fn configuration_version(instance: &Instance) -> u64 {
    let page = http_get(instance.metrics_address, "/metrics").unwrap_or_default();
    let line = page
        .lines()
        .find(|it| it.contains("what=\"configuration\""));
    let version = line.and_then(|it| it.rsplit(' ').next()?.parse().ok());
    version.unwrap_or(0)
}

fn request_count(setup: &Setup) -> usize {
    setup.endpoints.iter().map(|it| it.requests().len()).sum()
}

#[test]
fn a_request_reaches_an_endpoint_and_its_response_is_forwarded_unchanged() {
    let setup = start_setup(&["e1"]);
    let forged_headers = "siskinyoke-hold: h\r\nsiskinyoke-tenant: other\r\nx-own: kept\r\n";
    let response = setup
        .instance
        .call("r1", "/safe/a?b=c", forged_headers, "body");
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    assert!(
        response.contains("siskinyoke-response-seal: e1"),
        "{response}"
    );
    assert!(response.ends_with("\r\n\r\nwhole"), "{response}");
    let received = setup.endpoints[0].requests().pop().unwrap();
    assert_eq!(received.request_line, "POST /safe/a?b=c HTTP/1.1\r\n");
    assert_eq!(received.body, b"body");
    assert_eq!(received.header("siskinyoke-request-id"), Some("r1"));
    assert_eq!(received.header("siskinyoke-target-instance"), Some("e1"));
    assert_eq!(received.header("siskinyoke-tenant"), Some("school"));
    assert_eq!(received.header("x-own"), Some("kept"));
    assert_eq!(received.header("authorization"), None);
    assert_eq!(received.header("siskinyoke-hold"), None);
    let remaining_ms: u32 = received
        .header("siskinyoke-deadline-ms")
        .unwrap()
        .parse()
        .unwrap();
    assert!(remaining_ms <= 4_000);
}

// Guards against overloading an endpoint that announced a rate limit.
#[test]
fn an_endpoint_that_announces_a_limit_gets_no_more_requests_than_that() {
    let setup = start_setup(&["e1"]);
    let before = request_count(&setup);
    let start = Instant::now();
    setup.instance.call("first", "/safe/limited", "", "");
    std::thread::scope(|scope| {
        for number in 0..40 {
            let instance = &setup.instance;
            scope.spawn(move || instance.call(&format!("r{number}"), "/safe/limited", "", ""));
        }
    });
    // Allows one and a half times the rate limit for at least four seconds, plus five requests.
    let span = start.elapsed().as_secs_f64().max(4.0);
    let count = u32::try_from(request_count(&setup) - before).unwrap();
    assert!(
        f64::from(count) <= 1.5 * RATE_LIMIT_PER_SECOND * span + 5.0,
        "{count} requests in {span:.1} s"
    );
}

// Another endpoint took over the address and announces a rate limit. Guards against applying that
// limit to the endpoint that was there before.
#[test]
fn a_limit_announced_by_another_endpoint_at_the_address_is_ignored() {
    let setup = start_setup(&["e1"]);
    setup.instance.call("r1", "/safe/moved", "", "");
    assert_eq!(request_count(&setup), 1);
    let page = http_get(setup.instance.metrics_address, "/metrics").unwrap();
    let row = page.lines().find(|it| it.contains("limited_endpoints"));
    assert!(row.unwrap().ends_with(" 0"), "{row:?}");
}

// Guards against sending requests to an endpoint that leaves until the store says so, too.
#[test]
fn an_endpoint_whose_response_announces_its_departure_gets_no_more_requests() {
    let setup = start_setup(&["e1", "e2"]);
    setup.store.set_availability(Availability::Unresponsive);
    wait_until("the first endpoint responds", || {
        setup.instance.call("r", "/safe/leaving", "", "");
        !setup.endpoints[0].requests().is_empty()
    });
    let before = setup.endpoints[0].requests().len();
    for _ in 0..20 {
        let response = setup.instance.call("r", "/safe/leaving", "", "");
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    }
    assert_eq!(setup.endpoints[0].requests().len(), before);
}

// Guards against sending requests to an endpoint that asked for none for some time.
#[test]
fn an_endpoint_that_requests_a_back_off_gets_no_requests_until_it_ends() {
    let setup = start_setup(&["e1", "e2"]);
    let first = &setup.endpoints[0];
    wait_until("the first endpoint is sent a request", || {
        call_in_parallel(&setup.instance, "/safe/busy");
        !first.requests().is_empty()
    });
    let start = Instant::now();
    let before = first.requests().len();
    while start.elapsed().as_secs_f64() < RETRY_AFTER_SECONDS - 0.5 {
        for response in call_in_parallel(&setup.instance, "/safe/busy") {
            assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        }
    }
    assert_eq!(first.requests().len(), before);
    wait_until("the first endpoint is sent requests again", || {
        call_in_parallel(&setup.instance, "/safe/nap");
        first.requests().len() > before
    });
}

// Guards against holding requests that no endpoint accepts, and against a Retry-After that the
// service cannot keep.
#[test]
fn a_refusal_states_the_time_until_an_endpoint_accepts_requests_again() {
    let setup = start_setup(&["e1"]);
    setup.instance.call("r1", "/safe/busy", "", "");
    let start = Instant::now();
    let response = setup.instance.call("r2", "/safe/a", "", "");
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    let retry_after = response
        .lines()
        .find_map(|it| it.strip_prefix("retry-after: "))
        .and_then(|it| it.parse::<f64>().ok())
        .unwrap();
    let remaining = RETRY_AFTER_SECONDS - start.elapsed().as_secs_f64();
    assert!(start.elapsed() < Duration::from_millis(100));
    assert!(retry_after >= remaining - 0.1, "{retry_after} s");
    assert!(retry_after <= RETRY_AFTER_SECONDS * 1.5, "{retry_after} s");
    assert_eq!(request_count(&setup), 1);
}

#[test]
fn requests_that_cannot_be_served_are_refused_with_a_specific_status() {
    let setup = start_setup(&["e1"]);
    let status = |path: &str, body: &str| {
        let response = setup.instance.call("r", path, "", body);
        response[9..12].to_owned()
    };
    assert_eq!(status("/nowhere/", ""), "404");
    assert_eq!(status("/safe/a", &"x".repeat(1_001)), "413");
    assert_eq!(request_count(&setup), 0);
}

// An endpoint sends two responses to one request. Guards against forwarding the second one to the
// next caller whose request uses the connection.
#[test]
fn a_second_response_is_discarded() {
    let setup = start_setup(&["e1"]);
    for number in 0..5 {
        let id = format!("r{number}");
        let response = setup.instance.call(&id, "/safe/extra", "", "");
        // If the second response arrives after the next request was sent, none of the responses is
        // certain to belong to that request, and its only endpoint was already tried.
        if number > 0 && response.starts_with("HTTP/1.1 502") {
            assert!(!response.contains("siskinyoke-request-id"), "{response}");
            continue;
        }
        assert!(
            response.contains(&format!("siskinyoke-request-id: {id}\r\n")),
            "{response}"
        );
        assert!(response.ends_with("first"), "{response}");
    }
}

// An endpoint responds before it has read the body, and keeps the connection open. Guards against
// sending the next request before the rest of the body, which the endpoint would read as body.
#[test]
fn an_endpoint_that_responds_early_still_gets_the_complete_body() {
    let setup = start_setup(&["e1"]);
    for _ in 0..5 {
        let response = setup
            .instance
            .call("r", "/safe/early", "", "the whole body");
        assert!(response.ends_with("early"), "{response}");
    }
    wait_until("all requests arrived", || request_count(&setup) == 5);
    for received in setup.endpoints[0].requests() {
        assert_eq!(received.body, b"the whole body");
        assert!(
            received.request_line.starts_with("POST /safe/early"),
            "{}",
            received.request_line
        );
    }
}

// An endpoint fails in the middle of an event. The caller must receive one stream without a gap.
#[test]
fn a_stream_is_resumed_at_another_endpoint() {
    let setup = start_setup(&["e1", "e2"]);
    let response = setup.instance.call("r1", "/stream/events", "", "");
    let events: Vec<_> = response
        .lines()
        .filter(|line| line.starts_with("data: "))
        .collect();
    assert_eq!(events, ["data: 1", "data: 2", "data: 3", "data: 4"]);
    assert!(response.ends_with("0\r\n\r\n"), "{response}");
    assert_eq!(
        response.matches("id: ").count(),
        4 + 1,
        "expected one id per event and one in the response head: {response}"
    );
    let resumed: Vec<_> = setup
        .endpoints
        .iter()
        .flat_map(Endpoint::requests)
        .filter_map(|it| it.header("last-event-id").map(ToOwned::to_owned))
        .collect();
    assert_eq!(resumed, ["2"]);
}

// A stream is interrupted, and the endpoint that should resume it does not know the request.
// Guards against ending the stream with a final chunk, as if it were complete.
#[test]
fn a_stream_whose_resumption_fails_does_not_look_complete() {
    let setup = start_setup(&["e1", "e2"]);
    let response = setup.instance.call("r1", "/stream/events/lost", "", "");
    assert!(response.contains("data: 2"), "{response}");
    assert!(!response.ends_with("0\r\n\r\n"), "{response}");
}

// Guards against forwarding a response that is no stream into the stream that it should resume.
#[test]
fn a_stream_that_is_resumed_by_a_large_response_of_another_kind_holds_none_of_it() {
    let setup = start_setup(&["e1", "e2"]);
    let response = setup
        .instance
        .call("r1", "/stream/events/oversized", "", "");
    assert!(response.contains("data: 2"), "{response}");
    assert!(!response.contains("xxx"), "{} bytes", response.len());
    assert!(!response.ends_with("0\r\n\r\n"), "{response}");
}

// A caller reads slowly until the buffers on the way are full. Guards against dropping the final
// chunk when there is no room for it, which makes a complete stream look interrupted.
#[test]
fn a_slow_caller_gets_the_end_of_its_stream() {
    let setup = start_setup(&["e1"]);
    let mut stream = setup.instance.connect();
    send_request(
        &mut stream,
        "r1",
        "/single/many",
        "connection: close\r\n",
        "",
    );
    wait_until("the request arrived", || request_count(&setup) == 1);
    std::thread::sleep(Duration::from_millis(500));
    let mut response = String::new();
    stream.read_to_string(&mut response).unwrap();
    assert_eq!(response.matches("id: ").count(), LONG_STREAM_EVENTS + 1);
    assert!(response.ends_with("0\r\n\r\n"));
}

// A response exceeds the size up to which responses are buffered. Guards against treating it as a
// failed one: the request would have run, and its response would be lost.
#[test]
fn a_large_response_is_streamed_to_the_caller() {
    let setup = start_setup(&["e1"]);
    let response = setup.instance.call("r1", "/once/large", "", "");
    assert!(
        response.starts_with("HTTP/1.1 200"),
        "{}",
        &response[..100.min(response.len())]
    );
    assert!(response.matches('x').count() >= LARGE_BODY_BYTES);
    assert_eq!(request_count(&setup), 1);
}

// A stream that must not be resumed is interrupted. It must not look complete, and the request must
// not run again.
#[test]
fn a_stream_that_cannot_be_resumed_does_not_look_complete() {
    let setup = start_setup(&["e1", "e2"]);
    let response = setup.instance.call("r1", "/single/events", "", "");
    assert!(response.contains("data: 2"), "{response}");
    assert!(!response.ends_with("0\r\n\r\n"), "{response}");
    assert_eq!(request_count(&setup), 1);
}

// Guards against accepting request heads of any length, as a faulty client's cookies produce.
// Thousands of them exhaust the memory of a small instance, which then crashes and interrupts all
// its requests.
#[test]
fn a_head_over_the_operators_limit_is_refused() {
    let setup = start_setup(&["e1"]);
    let header = |length| format!("x-own: {}\r\n", "x".repeat(length));
    let response = setup.instance.call("r1", "/safe/a", &header(15_000), "");
    assert!(response.ends_with("whole"), "{response}");
    let response = setup.instance.call("r2", "/safe/a", &header(17_000), "");
    assert!(response.starts_with("HTTP/1.1 431"), "{response}");
    assert_eq!(request_count(&setup), 1);
}

// The connection is lost after a non-idempotent request was sent. The request may have run, so the
// caller must not be told that it has not, and it must not be retried at another endpoint.
#[test]
fn a_request_that_may_have_run_is_not_retried_or_reported_as_not_run() {
    let setup = start_setup(&["e1", "e2"]);
    let response = setup.instance.call("r1", "/once/cut", "", "");
    assert!(response.starts_with("HTTP/1.1 502"), "{response}");
    assert!(!response.contains("response-seal"), "{response}");
    assert_eq!(request_count(&setup), 1);
}

#[test]
fn a_request_that_a_full_endpoint_rejects_is_served_by_another() {
    let setup = start_setup(&["e1", "e2"]);
    for _ in 0..6 {
        let response = setup.instance.call("r1", "/once/full", "", "");
        assert!(response.ends_with("whole"), "{response}");
    }
}

#[test]
fn a_request_gets_a_response_when_its_route_timeout_expires() {
    let setup = start_setup(&["e1"]);
    let response = setup.instance.call("r1", "/short/slow", "", "");
    assert!(response.starts_with("HTTP/1.1 504"), "{response}");
}

// Guards against an endpoint that continues with a request whose caller has disconnected.
#[test]
fn a_request_is_cancelled_when_its_caller_disconnects() {
    let setup = start_setup(&["e1"]);
    for number in 1..6 {
        let mut stream = setup.instance.connect();
        send_request(&mut stream, "r1", "/safe/slow", "", "");
        wait_until("the request arrived", || request_count(&setup) == number);
        drop(stream);
        wait_until("its endpoint is disconnected", || {
            setup.endpoints[0].disconnect_count() as usize == number
        });
    }
    // The endpoint has four slots: those of the cancelled requests must be free again.
    let response = setup.instance.call("r", "/safe/a", "", "");
    assert!(response.ends_with("whole"), "{response}");
}

// The connection to the only endpoint is lost while it runs a request, and no other endpoint can
// serve it. The caller must not be told that the request has not run.
#[test]
fn a_request_that_ran_at_the_only_endpoint_is_not_reported_as_not_run() {
    let setup = start_setup(&["e1"]);
    let response = setup.instance.call("r1", "/safe/cut", "", "");
    assert!(response.starts_with("HTTP/1.1 502"), "{response}");
}

#[test]
fn a_revoked_key_is_refused_over_an_open_connection() {
    let setup = start_setup(&["e1"]);
    let mut stream = setup.instance.connect();
    send_request(&mut stream, "r1", "/safe/a", "", "");
    assert!(read_response(&mut stream).starts_with("HTTP/1.1 200"));
    setup.store.put("op/config", &configuration::text(4, "k2"));
    wait_until("the key is refused", || {
        send_request(&mut stream, "r2", "/safe/a", "", "");
        read_response(&mut stream).starts_with("HTTP/1.1 401")
    });
    // An older version that arrives late must be ignored.
    setup.store.put("op/config", &configuration::text(3, "k1"));
    setup.store.put("servers/later", "x");
    std::thread::sleep(Duration::from_millis(100));
    send_request(&mut stream, "r3", "/safe/a", "", "");
    assert!(read_response(&mut stream).starts_with("HTTP/1.1 401"));
}

// Guards against waiting for a watch at the store's previous address until its time limit.
#[test]
fn changes_are_read_from_a_new_address_of_the_store_at_once() {
    let store = Store::start();
    store.put("op/config", &configuration::text(3, "k1"));
    let [previous, new] = [(); 2].map(|()| Proxy::start(store.address));
    let instance = Instance::start(program(), "i1", previous.address);
    wait_until("the first configuration is applied", || {
        configuration_version(&instance) == 3
    });
    // The next watch is sent after the changes of the first read have been batched.
    store.put("op/config", &configuration::text(4, "k1"));
    wait_until("the second configuration is applied", || {
        configuration_version(&instance) == 4
    });
    std::thread::sleep(Duration::from_millis(700));
    previous.set_fault(Fault::DropAll);
    instance.edit_settings(&previous.address.to_string(), &new.address.to_string());
    instance.send_signal(Signal::HUP);
    store.put("op/config", &configuration::text(5, "k1"));
    let changed_at = Instant::now();
    wait_until("the third configuration is applied", || {
        configuration_version(&instance) == 5
    });
    let took = changed_at.elapsed();
    assert!(took < Duration::from_secs(1), "{took:?}");
}

// Guards against calling a store without a pause while it closes each connection.
#[test]
fn a_store_that_closes_connections_is_called_a_few_times_a_second() {
    let store = Store::start();
    store.put("op/config", &configuration::text(3, "k1"));
    let proxy = Proxy::start(store.address);
    let instance = Instance::start(program(), "i1", proxy.address);
    wait_until("the configuration is applied", || {
        configuration_version(&instance) == 3
    });
    proxy.set_fault(Fault::Reset);
    store.put("op/config", &configuration::text(4, "k1"));
    std::thread::sleep(Duration::from_millis(500));
    let before = proxy.connection_count();
    std::thread::sleep(Duration::from_secs(2));
    let count = proxy.connection_count() - before;
    assert!(count <= 40, "{count} connections in two seconds");
}

// Guards against endpoints that stay in use because their entries cannot be read any more.
#[test]
fn an_endpoint_whose_entry_becomes_unreadable_gets_no_new_requests() {
    for entry in [
        "{\"Service\":\"lm\",\"State\":\"draining\"}".to_owned(),
        Endpoint::start("e1").entry("retired"),
        "\u{0}".to_owned(),
    ] {
        let setup = start_setup(&["e1"]);
        wait_until("it is used", || setup.instance.serves_requests());
        setup.store.put("servers/e1", &entry);
        check_unused_after_the_last_change(&setup);
    }
}

#[test]
fn a_draining_endpoint_gets_no_new_requests() {
    let setup = start_setup(&["e1", "e2"]);
    setup
        .store
        .put("servers/e1", &setup.endpoints[0].entry("draining"));
    check_unused_after_the_last_change(&setup);
}

// Checks that the first endpoint gets no requests once the last change of the store is applied.
fn check_unused_after_the_last_change(setup: &Setup) {
    // Changes are applied in order, so an instance with this version has also seen the last one.
    setup.store.put("op/config", &configuration::text(4, "k1"));
    wait_until("the configuration is applied", || {
        configuration_version(&setup.instance) == 4
    });
    let before = setup.endpoints[0].requests().len();
    for _ in 0..20 {
        setup.instance.call("r", "/safe/a", "", "");
    }
    assert_eq!(setup.endpoints[0].requests().len(), before);
}

// The store is unavailable, and has lost its history when it returns. Requests must be served
// meanwhile, and the changes are then taken from a full read.
#[test]
fn requests_are_served_during_a_store_outage() {
    let setup = start_setup(&["e1", "e2"]);
    setup.store.set_availability(Availability::Unavailable);
    for _ in 0..5 {
        let response = setup.instance.call("r", "/safe/a", "", "");
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    }
    setup.store.remove("servers/e1");
    setup.store.compact();
    setup.store.set_availability(Availability::Available);
    wait_until("only e2 receives requests", || {
        let before = setup.endpoints[0].requests().len();
        for _ in 0..8 {
            setup.instance.call("r", "/safe/a", "", "");
        }
        setup.endpoints[0].requests().len() == before
    });
}

#[test]
fn instances_find_each_other_and_are_listed_for_callers() {
    let setup = start_setup(&["e1"]);
    let other = Instance::start(program(), "i2", setup.store.address).wait_until_ready();
    wait_until("the directory lists both instances", || {
        let response = http_get(
            setup.instance.directory_address,
            "/api/resolve?Name=h&Zone=a",
        )
        .unwrap();
        response.contains(&other.caller_address.to_string())
            && response.contains(&setup.instance.caller_address.to_string())
    });
    wait_until("both instances are registered", || {
        setup.store.keys("instances/") == ["instances/i1", "instances/i2"]
    });
    let page = http_get(other.metrics_address, "/metrics").unwrap();
    assert!(page.contains("siskinyoke_state"), "{page}");
}

// An instance starts while the store is unavailable. It must get the configuration and the
// endpoints from a seed peer in its settings, and serve requests.
#[test]
fn an_instance_that_starts_without_the_store_gets_its_state_from_a_peer() {
    let setup = start_setup(&["e1"]);
    setup.store.set_availability(Availability::Unavailable);
    let seeds = [setup.instance.peer_address];
    let other =
        Instance::start_with_seeds(program(), "i2", setup.store.address, &seeds).wait_until_ready();
    let response = other.call("r1", "/safe/a", "", "");
    assert!(response.ends_with("whole"), "{response}");
}

// A request arrives at a new instance while the store does not respond. Guards against refusing
// it although the store responds a moment later.
#[test]
fn a_request_before_the_first_configuration_is_held_and_served_once() {
    let setup = start_setup_with_stalled_store();
    let mut stream = send_early(&setup, "/safe/a", 60_000, "body");
    setup.store.set_availability(Availability::Available);
    let response = read_response(&mut stream);
    assert!(response.ends_with("whole"), "{response}");
    let requests = setup.endpoints[0].requests();
    assert_eq!(requests.len(), 1);
    assert_eq!(requests[0].body, b"body");
}

// A held request whose route or key turns out to be unknown must be refused like any other.
#[test]
fn a_held_request_is_checked_once_the_configuration_is_known() {
    let setup = start_setup_with_stalled_store();
    let mut stream = send_early(&setup, "/nowhere/", 60_000, "");
    setup.store.set_availability(Availability::Available);
    let response = read_response(&mut stream);
    assert!(response.starts_with("HTTP/1.1 404"), "{response}");
    assert_eq!(request_count(&setup), 0);
}

// Guards against running a held request whose caller has disconnected: it would take a slot from a
// queued one.
#[test]
fn a_held_request_whose_caller_disconnected_never_runs() {
    let setup = start_setup_with_stalled_store();
    drop(send_early(&setup, "/safe/a", 60_000, ""));
    std::thread::sleep(Duration::from_millis(100));
    setup.store.set_availability(Availability::Available);
    let setup = Setup {
        instance: setup.instance.wait_until_ready(),
        ..setup
    };
    let response = setup.instance.call("r2", "/safe/b", "", "");
    assert!(response.ends_with("whole"), "{response}");
    assert_eq!(request_count(&setup), 1);
}

// The store does not respond for longer than a request is held. Guards against holding the request
// until its caller has no time left for a retry.
#[test]
fn a_held_request_is_refused_with_a_retry_after_while_its_caller_still_waits() {
    let setup = start_setup_with_stalled_store();
    let mut stream = send_early(&setup, "/safe/a", 400, "");
    let response = read_response(&mut stream);
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    assert!(response.contains("retry-after: "), "{response}");
    assert_eq!(request_count(&setup), 0);
}

// A rollout order shifts a service to another version gradually. Without an order, the endpoints of
// the new version would receive an equal share of the requests at once.
#[test]
fn a_rollout_order_moves_a_service_to_the_new_version() {
    let setup = start_setup(&["e1", "e2", "n1", "n2"]);
    let version = |at: usize, version: &str| {
        let endpoint = &setup.endpoints[at];
        let entry = endpoint.entry("ready");
        let entry = entry.replace("\"Slots\"", &format!("\"Version\":\"{version}\",\"Slots\""));
        setup.store.put(&format!("servers/{}", endpoint.id), &entry);
    };
    version(0, "v1");
    version(1, "v1");
    setup.store.put(
        "op/rollout/lm",
        r#"{"Service":"lm","To":"v2","DurationS":2}"#,
    );
    version(2, "v2");
    version(3, "v2");
    let state = || setup.store.value("status/rollout/lm").unwrap_or_default();
    wait_until("the rollout is running", || state().contains("running"));
    wait_until("the rollout is completed", || {
        setup.instance.call("r", "/safe/a", "", "");
        assert!(!state().contains("rolled_back"), "{}", state());
        state().contains("completed")
    });
    assert!(state().contains("v2"), "{}", state());
    let old_version_requests =
        || setup.endpoints[0].requests().len() + setup.endpoints[1].requests().len();
    let before = old_version_requests();
    for _ in 0..10 {
        let response = setup.instance.call("r", "/safe/a", "", "");
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    }
    assert_eq!(old_version_requests(), before);
}

// An instance receives `SIGTERM` while it serves a request. The request must complete, the
// readiness page must send new callers elsewhere, and the log must show the shutdown.
#[test]
fn an_instance_that_shuts_down_finishes_its_requests() {
    let setup = start_setup(&["e1"]);
    let mut stream = setup.instance.connect();
    send_request(&mut stream, "r1", "/safe/nap", "", "");
    wait_until("the request arrived", || request_count(&setup) == 1);
    setup.instance.send_signal(Signal::TERM);
    let health = setup.instance.health_address;
    wait_until("the instance is not ready", || {
        setup.instance.http_status(health, "/api/readyz") == Some(503)
    });
    let response = read_response(&mut stream);
    assert!(response.ends_with("whole"), "{response}");
    assert!(response.contains("connection: close"), "{response}");
    let mut rest = String::new();
    stream.read_to_string(&mut rest).unwrap();
    assert!(rest.is_empty(), "{rest}");
    let log = setup.instance.into_log();
    for event in [
        "start",
        "store_regained",
        "attempt",
        "answer",
        "leaving",
        "stop",
    ] {
        assert!(
            log.contains(&format!("\"event\":\"{event}\"")),
            "{event}: {log}"
        );
    }
}

#[test]
fn a_reload_signal_does_not_end_the_process() {
    let setup = start_setup(&["e1"]);
    setup.instance.send_signal(Signal::HUP);
    std::thread::sleep(Duration::from_millis(50));
    let response = setup.instance.call("r", "/safe/a", "", "");
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
}

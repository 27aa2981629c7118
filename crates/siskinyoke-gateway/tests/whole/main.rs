//! The whole path, with the gateway as a process of its own between small stand-ins.

use std::io::Read;
use std::net::TcpStream;
use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use rustix::process::Signal;

use siskinyoke_soak::Endpoint;
use siskinyoke_soak::Instance;
use siskinyoke_soak::Store;
use siskinyoke_soak::configuration;
use siskinyoke_soak::endpoint::LARGE;
use siskinyoke_soak::endpoint::LIMIT;
use siskinyoke_soak::endpoint::MANY;
use siskinyoke_soak::instance::get;
use siskinyoke_soak::instance::read_answer;
use siskinyoke_soak::instance::send;
use siskinyoke_soak::instance::until;
use siskinyoke_soak::store::Mood;

struct World {
    store: Store,
    endpoints: Vec<Endpoint>,
    instance: Instance,
}

fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_siskinyoke-gateway"))
}

fn world(endpoints: &[&str]) -> World {
    let store = Store::start();
    store.put("op/config", &configuration::text(3, "k1"));
    // Entries of other writers must not keep the sound ones from being used.
    store.put("servers/odd", "{\"Service\":7}");
    store.put("servers/odder", "\u{0}");
    let endpoints: Vec<_> = endpoints.iter().map(|id| Endpoint::start(id)).collect();
    for endpoint in &endpoints {
        store.put(
            &format!("servers/{}", endpoint.id),
            &endpoint.entry("ready"),
        );
    }
    let instance = Instance::start(program(), "i1", store.address).ready();
    World {
        store,
        endpoints,
        instance,
    }
}

// An instance that has just started, and a store that answers nothing.
fn silent_world() -> World {
    let store = Store::start();
    store.put("op/config", &configuration::text(3, "k1"));
    let endpoint = Endpoint::start("e1");
    store.put("servers/e1", &endpoint.entry("ready"));
    store.set_mood(Mood::Silent);
    let instance = Instance::start(program(), "i1", store.address);
    World {
        store,
        endpoints: vec![endpoint],
        instance,
    }
}

// Sends a request, whose caller waits for so many ms, to an instance that may not listen yet.
fn send_early(world: &World, path: &str, deadline: u32, body: &str) -> TcpStream {
    until("it listens", || {
        TcpStream::connect(world.instance.callers).is_ok()
    });
    let mut stream = world.instance.open();
    let header = format!("siskinyoke-deadline-ms: {deadline}\r\n");
    send(&mut stream, "r1", path, &header, body);
    stream
}

fn arrived(world: &World) -> usize {
    world.endpoints.iter().map(|it| it.arrivals().len()).sum()
}

#[test]
fn a_request_reaches_an_endpoint_and_its_answer_comes_back_unchanged() {
    let world = world(&["e1"]);
    let forged = "siskinyoke-hold: h\r\nsiskinyoke-tenant: other\r\nx-own: kept\r\n";
    let answer = world.instance.call("r1", "/safe/a?b=c", forged, "body");
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(answer.contains("siskinyoke-response-seal: e1"), "{answer}");
    assert!(answer.ends_with("\r\n\r\nwhole"), "{answer}");
    let arrival = world.endpoints[0].arrivals().pop().unwrap();
    assert_eq!(arrival.line, "POST /safe/a?b=c HTTP/1.1\r\n");
    assert_eq!(arrival.body, b"body");
    assert_eq!(arrival.header("siskinyoke-request-id"), Some("r1"));
    assert_eq!(arrival.header("siskinyoke-target-instance"), Some("e1"));
    assert_eq!(arrival.header("siskinyoke-tenant"), Some("school"));
    assert_eq!(arrival.header("x-own"), Some("kept"));
    assert_eq!(arrival.header("authorization"), None);
    assert_eq!(arrival.header("siskinyoke-hold"), None);
    let left: u32 = arrival
        .header("siskinyoke-deadline-ms")
        .unwrap()
        .parse()
        .unwrap();
    assert!(left <= 4_000);
}

// Guards against an endpoint in need being sent more than it asks for.
#[test]
fn an_endpoint_that_names_a_limit_gets_no_more_requests_than_that() {
    let world = world(&["e1"]);
    let before = arrived(&world);
    let start = Instant::now();
    world.instance.call("first", "/safe/limited", "", "");
    std::thread::scope(|scope| {
        for number in 0..40 {
            let instance = &world.instance;
            scope.spawn(move || instance.call(&format!("r{number}"), "/safe/limited", "", ""));
        }
    });
    // Half as much again as the limit allows in four seconds or more, and five requests.
    let span = start.elapsed().as_secs_f64().max(4.0);
    let count = u32::try_from(arrived(&world) - before).unwrap();
    assert!(
        f64::from(count) <= 1.5 * LIMIT * span + 5.0,
        "{count} requests in {span:.1} s"
    );
}

// Guards against the limit of an endpoint that took over an address being held for that of the one before.
#[test]
fn the_limit_of_another_endpoint_at_an_address_is_not_taken() {
    let world = world(&["e1"]);
    world.instance.call("r1", "/safe/moved", "", "");
    assert_eq!(arrived(&world), 1);
    let page = get(world.instance.metrics, "/metrics").unwrap();
    let row = page.lines().find(|it| it.contains("limited_endpoints"));
    assert!(row.unwrap().ends_with(" 0"), "{row:?}");
}

#[test]
fn what_cannot_be_served_is_refused_with_a_clear_status() {
    let world = world(&["e1"]);
    let status = |path: &str, body: &str| {
        let answer = world.instance.call("r", path, "", body);
        answer[9..12].to_owned()
    };
    assert_eq!(status("/nowhere/", ""), "404");
    assert_eq!(status("/safe/a", &"x".repeat(1_001)), "413");
    assert_eq!(arrived(&world), 0);
}

// An endpoint answers a request and sends a second answer after it. The next caller over the
// same connection would get it.
#[test]
fn a_second_answer_reaches_nobody() {
    let world = world(&["e1"]);
    for number in 0..5 {
        let id = format!("r{number}");
        let answer = world.instance.call(&id, "/safe/extra", "", "");
        // The second answer may arrive when the next request is on its way already. That request
        // then has no answer that is surely its own, and its only endpoint was tried.
        if number > 0 && answer.starts_with("HTTP/1.1 502") {
            assert!(!answer.contains("siskinyoke-request-id"), "{answer}");
            continue;
        }
        assert!(
            answer.contains(&format!("siskinyoke-request-id: {id}\r\n")),
            "{answer}"
        );
        assert!(answer.ends_with("first"), "{answer}");
    }
}

// An endpoint answers before it has read the body, keeps the connection and reads on. Anything
// else than the rest of that body would be read as a part of it.
#[test]
fn an_endpoint_that_answers_early_still_gets_the_whole_body() {
    let world = world(&["e1"]);
    for _ in 0..5 {
        let answer = world
            .instance
            .call("r", "/safe/early", "", "the whole body");
        assert!(answer.ends_with("early"), "{answer}");
    }
    until("all bodies arrived", || arrived(&world) == 5);
    for arrival in world.endpoints[0].arrivals() {
        assert_eq!(arrival.body, b"the whole body");
        assert!(
            arrival.line.starts_with("POST /safe/early"),
            "{}",
            arrival.line
        );
    }
}

// An endpoint dies in the middle of an event. The caller sees one stream without a gap.
#[test]
fn a_stream_goes_on_at_another_endpoint() {
    let world = world(&["e1", "e2"]);
    let answer = world.instance.call("r1", "/stream/events", "", "");
    let events: Vec<_> = answer
        .lines()
        .filter(|line| line.starts_with("data: "))
        .collect();
    assert_eq!(events, ["data: 1", "data: 2", "data: 3", "data: 4"]);
    assert!(answer.ends_with("0\r\n\r\n"), "{answer}");
    assert_eq!(
        answer.matches("id: ").count(),
        4 + 1,
        "one a event, one in the head: {answer}"
    );
    let resumed: Vec<_> = world
        .endpoints
        .iter()
        .flat_map(Endpoint::arrivals)
        .filter_map(|it| it.header("last-event-id").map(ToOwned::to_owned))
        .collect();
    assert_eq!(resumed, ["2"]);
}

// A stream breaks off, and the endpoint that should go on answers that it knows nothing of it. That
// answer ended the stream with an end mark, as if the events so far were all.
#[test]
fn a_stream_that_is_not_gone_on_with_does_not_look_whole() {
    let world = world(&["e1", "e2"]);
    let answer = world.instance.call("r1", "/stream/events/lost", "", "");
    assert!(answer.contains("data: 2"), "{answer}");
    assert!(!answer.ends_with("0\r\n\r\n"), "{answer}");
}

// A caller reads slowly, and the buffers on the way fill. The end mark found no room behind the last
// events and was dropped, so that a whole stream looked broken off.
#[test]
fn a_slow_caller_gets_the_end_of_its_stream() {
    let world = world(&["e1"]);
    let mut stream = world.instance.open();
    send(
        &mut stream,
        "r1",
        "/single/many",
        "connection: close\r\n",
        "",
    );
    until("the request arrived", || arrived(&world) == 1);
    std::thread::sleep(Duration::from_millis(500));
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    assert_eq!(answer.matches("id: ").count(), MANY + 1);
    assert!(answer.ends_with("0\r\n\r\n"));
}

// An answer is longer than what is held back. Taken for a broken one, it ran and was lost.
#[test]
fn a_large_answer_is_passed_on_as_it_comes() {
    let world = world(&["e1"]);
    let answer = world.instance.call("r1", "/once/large", "", "");
    assert!(
        answer.starts_with("HTTP/1.1 200"),
        "{}",
        &answer[..100.min(answer.len())]
    );
    assert!(answer.matches('x').count() >= LARGE);
    assert_eq!(arrived(&world), 1);
}

// A stream that may not be resumed breaks off. It must not look whole, and must not run again.
#[test]
fn a_stream_that_cannot_go_on_does_not_look_whole() {
    let world = world(&["e1", "e2"]);
    let answer = world.instance.call("r1", "/single/events", "", "");
    assert!(answer.contains("data: 2"), "{answer}");
    assert!(!answer.ends_with("0\r\n\r\n"), "{answer}");
    assert_eq!(arrived(&world), 1);
}

// A caller sends a head of any length, as a faulty client's cookies do. Thousands of them fill the memory
// of a small instance, which ends and cuts off all that it serves.
#[test]
fn a_head_over_the_operators_limit_is_refused() {
    let world = world(&["e1"]);
    let row = |length| format!("x-own: {}\r\n", "x".repeat(length));
    let answer = world.instance.call("r1", "/safe/a", &row(15_000), "");
    assert!(answer.ends_with("whole"), "{answer}");
    let answer = world.instance.call("r2", "/safe/a", &row(17_000), "");
    assert!(answer.starts_with("HTTP/1.1 431"), "{answer}");
    assert_eq!(arrived(&world), 1);
}

// The connection breaks after a booking was sent. It may stand, so nobody is told that it has
// not run, and it is sent nowhere else.
#[test]
fn what_may_have_run_is_neither_repeated_nor_denied() {
    let world = world(&["e1", "e2"]);
    let answer = world.instance.call("r1", "/once/cut", "", "");
    assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
    assert!(!answer.contains("response-seal"), "{answer}");
    assert_eq!(arrived(&world), 1);
}

#[test]
fn a_full_endpoint_is_not_asked_twice_and_another_serves() {
    let world = world(&["e1", "e2"]);
    for _ in 0..6 {
        let answer = world.instance.call("r1", "/once/full", "", "");
        assert!(answer.ends_with("whole"), "{answer}");
    }
}

#[test]
fn a_route_s_time_ends_a_request_with_an_answer() {
    let world = world(&["e1"]);
    let answer = world.instance.call("r1", "/short/slow", "", "");
    assert!(answer.starts_with("HTTP/1.1 504"), "{answer}");
}

// A caller gives up. Its endpoint would go on working for nobody.
#[test]
fn a_caller_that_leaves_is_followed_by_its_request() {
    let world = world(&["e1"]);
    for number in 1..6 {
        let mut stream = world.instance.open();
        send(&mut stream, "r1", "/safe/slow", "", "");
        until("the request arrived", || arrived(&world) == number);
        drop(stream);
        until("its endpoint was told", || {
            world.endpoints[0].left() as usize == number
        });
    }
    // The endpoint runs four at once: the places of those that left are free again.
    let answer = world.instance.call("r", "/safe/a", "", "");
    assert!(answer.ends_with("whole"), "{answer}");
}

// The only endpoint breaks off, and no other could serve. The caller is not told that nothing ran.
#[test]
fn what_ran_at_the_only_endpoint_is_not_denied() {
    let world = world(&["e1"]);
    let answer = world.instance.call("r1", "/safe/cut", "", "");
    assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
}

#[test]
fn a_revoked_key_is_refused_over_an_open_connection() {
    let world = world(&["e1"]);
    let mut stream = world.instance.open();
    send(&mut stream, "r1", "/safe/a", "", "");
    assert!(read_answer(&mut stream).starts_with("HTTP/1.1 200"));
    world.store.put("op/config", &configuration::text(4, "k2"));
    until("the key is refused", || {
        send(&mut stream, "r2", "/safe/a", "", "");
        read_answer(&mut stream).starts_with("HTTP/1.1 401")
    });
    // An older version that comes late changes nothing.
    world.store.put("op/config", &configuration::text(3, "k1"));
    world.store.put("servers/later", "x");
    std::thread::sleep(Duration::from_millis(100));
    send(&mut stream, "r3", "/safe/a", "", "");
    assert!(read_answer(&mut stream).starts_with("HTTP/1.1 401"));
}

#[test]
fn a_draining_endpoint_gets_no_new_work() {
    let world = world(&["e1", "e2"]);
    world
        .store
        .put("servers/e1", &world.endpoints[0].entry("draining"));
    // Changes come in their order: whoever has this version knows of the drain before it.
    world.store.put("op/config", &configuration::text(4, "k1"));
    until("the version is in force", || {
        let page = get(world.instance.metrics, "/metrics").unwrap_or_default();
        let version = page
            .lines()
            .find(|it| it.contains("what=\"configuration\""));
        version.is_some_and(|it| it.ends_with(" 4"))
    });
    let before = world.endpoints[0].arrivals().len();
    for _ in 0..20 {
        world.instance.call("r", "/safe/a", "", "");
    }
    assert_eq!(world.endpoints[0].arrivals().len(), before);
}

// The store is away, and its history is gone when it returns. Work goes on meanwhile, and what
// changed is taken up from a whole reading.
#[test]
fn an_outage_of_the_store_stops_nothing() {
    let world = world(&["e1", "e2"]);
    world.store.set_mood(Mood::Busy);
    for _ in 0..5 {
        let answer = world.instance.call("r", "/safe/a", "", "");
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
    world.store.remove("servers/e1");
    world.store.forget_history();
    world.store.set_mood(Mood::Well);
    until("only e2 serves", || {
        let before = world.endpoints[0].arrivals().len();
        for _ in 0..8 {
            world.instance.call("r", "/safe/a", "", "");
        }
        world.endpoints[0].arrivals().len() == before
    });
}

#[test]
fn instances_find_each_other_and_are_named_to_callers() {
    let world = world(&["e1"]);
    let other = Instance::start(program(), "i2", world.store.address).ready();
    until("both are named", || {
        let answer = get(world.instance.directory, "/api/resolve?Name=h&Zone=a").unwrap();
        answer.contains(&other.callers.to_string())
            && answer.contains(&world.instance.callers.to_string())
    });
    until("both have their entries", || {
        world.store.keys("instances/") == ["instances/i1", "instances/i2"]
    });
    let page = get(other.metrics, "/metrics").unwrap();
    assert!(page.contains("siskinyoke_state"), "{page}");
}

// An instance starts while the store is away. It takes configuration and endpoints from a peer that
// its settings name, and serves.
#[test]
fn an_instance_that_starts_without_the_store_learns_from_a_peer() {
    let world = world(&["e1"]);
    world.store.set_mood(Mood::Busy);
    let seeds = [world.instance.peers];
    let other = Instance::start_with(program(), "i2", world.store.address, &seeds).ready();
    let answer = other.call("r1", "/safe/a", "", "");
    assert!(answer.ends_with("whole"), "{answer}");
}

// An instance starts while the store is silent, and a request comes before it knows anything. The request was
// rejected although the store was back a moment later.
#[test]
fn a_request_before_the_first_configuration_is_held_and_served_once() {
    let world = silent_world();
    let mut stream = send_early(&world, "/safe/a", 60_000, "body");
    world.store.set_mood(Mood::Well);
    let answer = read_answer(&mut stream);
    assert!(answer.ends_with("whole"), "{answer}");
    let arrivals = world.endpoints[0].arrivals();
    assert_eq!(arrivals.len(), 1);
    assert_eq!(arrivals[0].body, b"body");
}

// A held request whose route or key turns out to be unknown is rejected as any other.
#[test]
fn a_held_request_is_checked_once_the_configuration_is_known() {
    let world = silent_world();
    let mut stream = send_early(&world, "/nowhere/", 60_000, "");
    world.store.set_mood(Mood::Well);
    let answer = read_answer(&mut stream);
    assert!(answer.starts_with("HTTP/1.1 404"), "{answer}");
    assert_eq!(arrived(&world), 0);
}

// The caller of a held request leaves. Run all the same, it would take a slot from somebody who waits.
#[test]
fn a_held_request_whose_caller_left_never_runs() {
    let world = silent_world();
    drop(send_early(&world, "/safe/a", 60_000, ""));
    std::thread::sleep(Duration::from_millis(100));
    world.store.set_mood(Mood::Well);
    let world = World {
        instance: world.instance.ready(),
        ..world
    };
    let answer = world.instance.call("r2", "/safe/b", "", "");
    assert!(answer.ends_with("whole"), "{answer}");
    assert_eq!(arrived(&world), 1);
}

// The store stays silent. A request that is held until its caller has no time left cannot be retried.
#[test]
fn a_held_request_is_rejected_with_a_retry_after_while_its_caller_still_waits() {
    let world = silent_world();
    let mut stream = send_early(&world, "/safe/a", 400, "");
    let answer = read_answer(&mut stream);
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("retry-after: "), "{answer}");
    assert_eq!(arrived(&world), 0);
}

// An order moves a service to another version. Without one, new endpoints would get their even part at once.
#[test]
fn a_service_moves_to_the_version_that_was_ordered() {
    let world = world(&["e1", "e2", "n1", "n2"]);
    let version = |at: usize, version: &str| {
        let endpoint = &world.endpoints[at];
        let entry = endpoint.entry("ready");
        let entry = entry.replace("\"Slots\"", &format!("\"Version\":\"{version}\",\"Slots\""));
        world.store.put(&format!("servers/{}", endpoint.id), &entry);
    };
    version(0, "v1");
    version(1, "v1");
    world.store.put(
        "op/rollout/lm",
        r#"{"Service":"lm","To":"v2","DurationS":2}"#,
    );
    version(2, "v2");
    version(3, "v2");
    let state = || world.store.value("status/rollout/lm").unwrap_or_default();
    until("it runs", || state().contains("running"));
    until("it is completed", || {
        world.instance.call("r", "/safe/a", "", "");
        assert!(!state().contains("rolled_back"), "{}", state());
        state().contains("completed")
    });
    assert!(state().contains("v2"), "{}", state());
    let old = || world.endpoints[0].arrivals().len() + world.endpoints[1].arrivals().len();
    let before = old();
    for _ in 0..10 {
        let answer = world.instance.call("r", "/safe/a", "", "");
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
    assert_eq!(old(), before);
}

// An instance is told to stop while it serves. The request ends whole; new callers are sent
// elsewhere, and the log tells what happened.
#[test]
fn an_instance_that_leaves_finishes_what_it_serves() {
    let world = world(&["e1"]);
    let mut stream = world.instance.open();
    send(&mut stream, "r1", "/safe/nap", "", "");
    until("the request arrived", || arrived(&world) == 1);
    world.instance.signal(Signal::TERM);
    let health = world.instance.health;
    until("not ready", || {
        world.instance.status(health, "/api/readyz") == Some(503)
    });
    let answer = read_answer(&mut stream);
    assert!(answer.ends_with("whole"), "{answer}");
    assert!(answer.contains("connection: close"), "{answer}");
    let mut rest = String::new();
    stream.read_to_string(&mut rest).unwrap();
    assert!(rest.is_empty(), "{rest}");
    let log = world.instance.log();
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
    let world = world(&["e1"]);
    world.instance.signal(Signal::HUP);
    std::thread::sleep(Duration::from_millis(50));
    let answer = world.instance.call("r", "/safe/a", "", "");
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

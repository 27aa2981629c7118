//! Streams that go on while a service has endpoints of two versions.

use std::collections::BTreeSet;
use std::path::Path;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use rustix::process::Signal;

use siskinyoke_soak::Endpoint;
use siskinyoke_soak::Instance;
use siskinyoke_soak::Proxy;
use siskinyoke_soak::Store;
use siskinyoke_soak::configuration;
use siskinyoke_soak::instance::wait_until;
use siskinyoke_soak::proxy::Fault;
use siskinyoke_soak::stream::Part;
use siskinyoke_soak::stream::StreamRequest;

/// The number of streams that are begun and taken up.
const STREAM_COUNT: usize = 20;

/// The number of events after which a caller breaks a stream off.
const EVENTS_BEFORE_BREAK: usize = 3;

/// The number of streams that are sent at once.
const PARALLEL_COUNT: usize = 10;

/// How soon streams go on after a restart of all instances: less than the time for which a stream
/// can last.
const RESUMPTION_TIMEOUT: Duration = Duration::from_secs(4);

/// How soon the store holds the versions of streams that begin.
const SAVE_TIME: Duration = Duration::from_secs(1);

/// For how long a service must have one version for a stream to be of that one: more than the
/// route's timeout and the time by which views may differ.
const STREAM_LIFETIME: Duration = Duration::from_secs(10);

/// How soon instances use endpoints that join.
const JOIN_TIME: Duration = Duration::from_millis(700);

struct Fleet {
    store: Store,
    endpoints: Vec<Endpoint>,
    instances: Vec<Instance>,
}

impl Fleet {
    fn start(instances: usize, versions: &[&str]) -> Self {
        let store = Store::start();
        store.put("op/config", &configuration::text(3, "k1"));
        let endpoints = start_endpoints(&store, 0, versions);
        let program = Path::new(env!("CARGO_BIN_EXE_siskinyoke-gateway"));
        let instances: Vec<_> = (0..instances)
            .map(|it| Instance::start(program, &format!("i{it}"), store.address))
            .map(Instance::wait_until_ready)
            .collect();
        let fleet = Self {
            store,
            endpoints,
            instances,
        };
        fleet.wait_for_peers();
        fleet
    }

    fn add_endpoints(&mut self, versions: &[&str]) {
        let added = start_endpoints(&self.store, self.endpoints.len(), versions);
        self.endpoints.extend(added);
    }

    // Starts another instance whose link to the store can fail.
    fn start_over_link(&self) -> (Instance, Proxy) {
        let link = Proxy::start(self.store.address);
        let program = Path::new(env!("CARGO_BIN_EXE_siskinyoke-gateway"));
        let instance = Instance::start(program, "linked", link.address).wait_until_ready();
        let peers = u64::try_from(self.instances.len()).unwrap();
        wait_until("the instance knows its peers", || {
            state(&instance, "peers") == peers
        });
        (instance, link)
    }

    fn wait_for_peers(&self) {
        let peers = u64::try_from(self.instances.len()).unwrap() - 1;
        for instance in &self.instances {
            wait_until("the instance knows its peers and serves", || {
                state(instance, "peers") == peers && instance.serves_requests()
            });
        }
    }

    // Begins a stream at the first instance, and breaks it off.
    fn begin(&self, id: &str) -> Part {
        let request = StreamRequest {
            shared_parts: &[],
            id,
            path: "/stream/versioned",
            resumes: None,
            max_events: EVENTS_BEFORE_BREAK,
        };
        request.send(self.instances[0].caller_address)
    }

    fn begin_all(&self) -> Vec<Part> {
        parallel(STREAM_COUNT, |number| self.begin(&format!("s{number}")))
    }

    // Takes streams up at the other instances.
    fn take_up_all(&self, first: &[Part]) -> Vec<Part> {
        parallel(first.len(), |number| {
            let others = &self.instances[1..];
            let instance = &others[number % others.len()];
            let last = first[number].events.last().unwrap().0;
            take_up(instance, &format!("s{number}"), last)
        })
    }

    fn arrivals(&self, id: &str) -> usize {
        let requests = self.endpoints.iter().flat_map(Endpoint::requests);
        let sent = requests.filter(|it| it.header("siskinyoke-request-id") == Some(id));
        sent.count()
    }
}

// Starts endpoints of the given versions and registers them.
fn start_endpoints(store: &Store, first: usize, versions: &[&str]) -> Vec<Endpoint> {
    let numbered = versions.iter().enumerate();
    let endpoints = numbered.map(|(i, version)| {
        let endpoint = Endpoint::start_with_version(&format!("e{}", first + i), Some(version));
        store.put(
            &format!("servers/{}", endpoint.id),
            &endpoint.entry("ready"),
        );
        endpoint
    });
    endpoints.collect()
}

// Takes a stream up that began as the request with an ID.
fn take_up(instance: &Instance, id: &str, last_event: u32) -> Part {
    take_up_as(instance, id, (id, last_event))
}

// Takes a stream up whose caller names the request that began it, or does not.
fn take_up_as(instance: &Instance, id: &str, resumes: (&str, u32)) -> Part {
    let request = StreamRequest {
        shared_parts: &[],
        id: &format!("{id}b"),
        path: "/stream/versioned",
        resumes: Some(resumes),
        max_events: usize::MAX,
    };
    request.send(instance.caller_address)
}

fn parallel<T: Send>(count: usize, call: impl Fn(usize) -> T + Sync) -> Vec<T> {
    let mut all = Vec::new();
    for start in (0..count).step_by(PARALLEL_COUNT) {
        let numbers = start..count.min(start + PARALLEL_COUNT);
        all.extend(thread::scope(|scope| {
            let call = &call;
            let calls: Vec<_> = numbers.map(|it| scope.spawn(move || call(it))).collect();
            let results = calls.into_iter().map(|it| it.join().unwrap());
            results.collect::<Vec<_>>()
        }));
    }
    all
}

// Returns a gauge of an instance's metrics.
fn state(instance: &Instance, name: &str) -> u64 {
    let value = instance.metric(&format!("what=\"{name}\""));
    value.unwrap_or(0)
}

fn versions<'a>(parts: impl IntoIterator<Item = &'a Part>) -> BTreeSet<&'a str> {
    let events = parts.into_iter().flat_map(|it| &it.events);
    events.map(|it| &*it.1).collect()
}

// Checks that no stream holds events of two versions, and that most go on.
fn check_parts(first: &[Part], second: &[Part]) {
    let pairs = first.iter().zip(second);
    let mixed = pairs.filter(|pair| versions([pair.0, pair.1]).len() > 1);
    let went_on = second.iter().filter(|it| it.is_last()).count();
    let mixed = mixed.count();
    assert_eq!(mixed, 0, "{went_on} streams went on: {second:#?}");
    assert!(went_on >= STREAM_COUNT * 4 / 5, "{went_on}: {second:#?}");
}

#[test]
fn a_stream_that_is_taken_up_at_another_instance_stays_at_its_version() {
    let fleet = Fleet::start(7, &["v1", "v1", "v1.1", "v1.1"]);
    let first = fleet.begin_all();
    assert_eq!(versions(&first).len(), 2, "both versions get new streams");
    let second = fleet.take_up_all(&first);
    check_parts(&first, &second);
}

#[test]
fn a_stream_whose_instance_was_killed_stays_at_its_version() {
    let mut fleet = Fleet::start(7, &["v1", "v1", "v1.1", "v1.1"]);
    let first = fleet.begin_all();
    fleet.instances[0].kill();
    let second = fleet.take_up_all(&first);
    check_parts(&first, &second);
}

#[test]
fn a_stream_that_its_endpoint_breaks_off_stays_at_its_version() {
    let fleet = Fleet::start(3, &["v1", "v1", "v1.1", "v1.1"]);
    let parts = parallel(STREAM_COUNT, |number| {
        let id = format!("s{number}");
        let response = fleet.instances[0].call(&id, "/stream/versioned/broken", "", &id);
        Part::parse(response.as_bytes())
    });
    let mixed: Vec<_> = parts
        .iter()
        .filter(|it| versions([*it]).len() > 1)
        .collect();
    assert!(mixed.is_empty(), "{mixed:#?}");
    assert!(parts.iter().any(Part::is_last), "{parts:#?}");
}

// Guards against a guess, and against a promise that nothing ran where something did.
#[test]
fn a_stream_of_unknown_version_is_refused_without_having_run() {
    let fleet = Fleet::start(3, &["v1", "v1.1"]);
    for instance in &fleet.instances {
        let part = take_up(instance, "unknown", 3);
        assert_eq!(part.status, "503", "{part:?}");
        assert!(part.retry_after.is_some_and(|it| it <= 1.0), "{part:?}");
    }
    assert_eq!(fleet.arrivals("unknownb"), 0);
}

#[test]
fn a_stream_whose_version_is_gone_is_refused_at_once() {
    let fleet = Fleet::start(3, &["v1", "v1.1"]);
    let first = fleet.begin_all();
    let gone = &fleet.endpoints[0];
    fleet
        .store
        .put(&format!("servers/{}", gone.id), &gone.entry("draining"));
    thread::sleep(Duration::from_secs(2));
    let start = Instant::now();
    let second = fleet.take_up_all(&first);
    let elapsed = start.elapsed();
    assert!(elapsed < Duration::from_secs(2), "{elapsed:?}");
    for (first, second) in first.iter().zip(&second) {
        let expected = first.events[0].1 == "v1.1";
        assert_eq!(second.is_last(), expected, "{first:?} {second:?}");
        if !expected {
            assert_eq!(second.status, "503", "{second:?}");
        }
    }
}

#[test]
fn a_service_of_one_version_needs_no_record_of_a_stream() {
    let fleet = Fleet::start(3, &["v1", "v1"]);
    thread::sleep(STREAM_LIFETIME);
    let part = take_up(&fleet.instances[1], "unknown", 3);
    assert!(part.is_last(), "{part:?}");
}

// Kills all instances, so that no record of a stream is left, and starts them again.
fn restart_all(fleet: &mut Fleet, while_down: impl Fn(&Fleet)) {
    for instance in &mut fleet.instances {
        instance.kill();
    }
    while_down(fleet);
    for instance in &mut fleet.instances {
        instance.restart();
    }
    fleet.wait_for_peers();
}

fn wait_for_note(fleet: &Fleet, versions: &str) {
    wait_until("the store holds a note of the versions", || {
        let note = fleet.store.value("versions/lm");
        note.is_some_and(|it| it.contains(versions))
    });
}

// Guards against refusing streams for as long as they can last, where the service has one version.
#[test]
fn a_stream_goes_on_soon_after_all_instances_were_killed() {
    let mut fleet = Fleet::start(2, &["v1", "v1"]);
    wait_for_note(&fleet, r#"["v1"]"#);
    let first = fleet.begin("s");
    restart_all(&mut fleet, |_| {});
    let start = Instant::now();
    let mut second = take_up(&fleet.instances[1], "s", first.events.last().unwrap().0);
    while !second.is_last() && start.elapsed() < RESUMPTION_TIMEOUT {
        assert_eq!(second.status, "503", "{second:?}");
        thread::sleep(Duration::from_millis(300));
        second = take_up(&fleet.instances[1], "s", first.events.last().unwrap().0);
    }
    assert!(second.is_last(), "{second:?}");
    assert_eq!(versions([&first, &second]).len(), 1);
}

// Suspends an instance and cuts it off from the store while endpoints of a second version join,
// begins streams at another one, silences all others, and takes the streams up at the instance, each
// of them unnamed and named. `fault` is that of its link to the store from then on.
fn take_up_after_suspension(
    silence: impl Fn(&mut Instance),
    fault: Fault,
) -> Vec<(Part, [Part; 2])> {
    let mut fleet = Fleet::start(3, &["v1", "v1"]);
    let (outdated, link) = fleet.start_over_link();
    thread::sleep(STREAM_LIFETIME);
    link.set_fault(Fault::DropAll);
    outdated.send_signal(Signal::STOP);
    fleet.add_endpoints(&["v2", "v2"]);
    thread::sleep(JOIN_TIME);
    let first = fleet.begin_all();
    assert_eq!(versions(&first).len(), 2, "both versions get new streams");
    fleet.instances.iter_mut().for_each(silence);
    link.set_fault(fault);
    outdated.send_signal(Signal::CONT);
    let second = parallel(first.len(), |number| {
        let last = first[number].events.last().unwrap().0;
        let id = format!("s{number}");
        let unnamed = take_up_as(&outdated, &format!("{id}u"), ("", last));
        [unnamed, take_up(&outdated, &id, last)]
    });
    for instance in &fleet.instances {
        instance.send_signal(Signal::CONT);
    }
    first.into_iter().zip(second).collect()
}

fn check_unmixed(parts: &[(Part, [Part; 2])]) {
    let mixed = parts.iter().filter(|(first, second)| {
        let of_one = |it: &Part| versions([first, it]).len() == 1;
        !second.iter().all(of_one)
    });
    let mixed: Vec<_> = mixed.collect();
    assert!(mixed.is_empty(), "{} mixed: {mixed:#?}", mixed.len());
}

// Guards against taking the only version of an outdated view for that of a stream.
#[test]
fn a_stream_taken_up_where_a_version_was_missed_stays_at_its_version_while_others_are_gone() {
    check_unmixed(&take_up_after_suspension(Instance::kill, Fault::DropAll));
}

// Guards against taking the silence of other instances for their agreement.
#[test]
fn a_stream_taken_up_where_a_version_was_missed_stays_at_its_version_while_others_are_silent() {
    let silence = |instance: &mut Instance| instance.send_signal(Signal::STOP);
    check_unmixed(&take_up_after_suspension(silence, Fault::DropAll));
}

// Guards against deciding before the view has caught up.
#[test]
fn a_stream_taken_up_where_a_version_was_missed_stays_at_its_version_while_the_view_catches_up() {
    check_unmixed(&take_up_after_suspension(
        Instance::kill,
        Fault::DelayMs(100),
    ));
}

// Guards against concluding from a state of the store what was there before it.
#[test]
fn a_stream_without_a_record_is_refused_after_the_store_was_read_anew() {
    let fleet = Fleet::start(1, &["v1"]);
    let (instance, link) = fleet.start_over_link();
    wait_for_note(&fleet, r#"["v1"]"#);
    thread::sleep(STREAM_LIFETIME);
    fleet.instances[0].send_signal(Signal::STOP);
    assert!(take_up(&instance, "known", 3).is_last());
    link.set_fault(Fault::Reset);
    fleet.store.put("other", "changed");
    thread::sleep(JOIN_TIME);
    fleet.store.compact();
    link.set_fault(Fault::None);
    let start = Instant::now();
    while start.elapsed() < Duration::from_millis(1_500) {
        let part = take_up(&instance, "unknown", 3);
        assert_eq!(part.status, "503", "{part:?} {:?}", start.elapsed());
        thread::sleep(Duration::from_millis(100));
    }
    wait_until("streams go on again", || {
        take_up(&instance, "later", 3).is_last()
    });
    fleet.instances[0].send_signal(Signal::CONT);
}

// Guards against refusing all streams of a service with two versions after a kill of all instances.
#[test]
fn streams_of_two_versions_go_on_after_all_instances_were_killed() {
    let mut fleet = Fleet::start(2, &["v1", "v1", "v1.1"]);
    let first = fleet.begin_all();
    assert_eq!(versions(&first).len(), 2);
    thread::sleep(SAVE_TIME);
    restart_all(&mut fleet, |_| {});
    let start = Instant::now();
    let mut second = fleet.take_up_all(&first);
    while !second.iter().all(Part::is_last) && start.elapsed() < RESUMPTION_TIMEOUT {
        thread::sleep(Duration::from_millis(300));
        second = fleet.take_up_all(&first);
    }
    check_parts(&first, &second);
}

// A version's endpoints leave while all instances are down. Guards against continuing its streams
// at the only version that is left.
#[test]
fn a_noted_version_that_is_gone_keeps_streams_from_going_on_at_another_one() {
    let mut fleet = Fleet::start(2, &["v1", "v1.1"]);
    wait_for_note(&fleet, r#"["v1","v1.1"]"#);
    restart_all(&mut fleet, |fleet| fleet.store.remove("servers/e0"));
    let start = Instant::now();
    while start.elapsed() < RESUMPTION_TIMEOUT {
        let second = take_up(&fleet.instances[1], "s", 3);
        assert_eq!(second.status, "503", "{second:?}");
        thread::sleep(Duration::from_millis(300));
    }
}

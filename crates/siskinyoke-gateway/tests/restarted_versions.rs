//! Streams whose endpoints start again under their IDs and addresses as another version.

use std::collections::BTreeSet;
use std::path::Path;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use rustix::process::Signal;

use siskinyoke_soak::Endpoint;
use siskinyoke_soak::Instance;
use siskinyoke_soak::Store;
use siskinyoke_soak::configuration;
use siskinyoke_soak::endpoint::report::Report;
use siskinyoke_soak::instance::wait_until;
use siskinyoke_soak::stream::Part;
use siskinyoke_soak::stream::StreamRequest;

/// The number of streams that are sent at once: as many as the endpoints run.
const STREAM_COUNT: usize = 8;

/// The number of events after which a caller breaks a stream off.
const EVENTS_BEFORE_BREAK: usize = 3;

/// Time after which streams that were sent have begun and none has ended.
const TIME_IN_STREAM: Duration = Duration::from_millis(120);

/// How soon a connection is used for another request.
const IDLE_TIME: Duration = Duration::from_millis(20);

/// How soon instances use changed entries of endpoints.
const JOIN_TIME: Duration = Duration::from_millis(700);

/// How soon a stream is refused whose endpoints do not report.
const REFUSAL_TIME: Duration = Duration::from_secs(2);

// Two instances and two endpoints of one version.
struct Fleet {
    store: Store,
    endpoints: [Endpoint; 2],
    instances: [Instance; 2],
}

impl Fleet {
    fn start() -> Self {
        let store = Store::start();
        store.put("op/config", &configuration::text(3, "k1"));
        let endpoints = ["e0", "e1"].map(|id| Endpoint::start_with_version(id, Some("v1")));
        let program = Path::new(env!("CARGO_BIN_EXE_siskinyoke-gateway"));
        let fleet = Self {
            instances: ["i1", "i2"].map(|id| Instance::start(program, id, store.address)),
            store,
            endpoints,
        };
        fleet.register();
        for instance in &fleet.instances {
            wait_until("the instance knows its peer and serves", || {
                instance.metric("what=\"peers\"") == Some(1) && instance.serves_requests()
            });
        }
        fleet
    }

    // Writes the endpoints' entries as they are now.
    fn register(&self) {
        for endpoint in &self.endpoints {
            self.store.put(&key(endpoint), &endpoint.entry("ready"));
        }
    }

    fn restart_all_as(&self, version: &str) {
        for endpoint in &self.endpoints {
            endpoint.restart_as(version);
        }
    }

    fn report_count(&self) -> usize {
        self.endpoints.iter().map(Endpoint::report_count).sum()
    }

    // Begins streams at the first instance that their callers break off.
    fn begin_all(&self) -> Vec<Part> {
        parallel(|number| self.send(0, &format!("s{number}"), None))
    }

    // Takes streams up at the second instance.
    fn take_up_all(&self, first: &[Part]) -> Vec<Part> {
        parallel(|number| self.take_up(number, &first[number]))
    }

    fn take_up(&self, number: usize, first: &Part) -> Part {
        let id = format!("s{number}");
        let last_event = first.events.last().unwrap().0;
        self.send(1, &format!("{id}b"), Some((&id, last_event)))
    }

    fn send(&self, instance: usize, id: &str, resumes: Option<(&str, u32)>) -> Part {
        let max_events = resumes.map_or(EVENTS_BEFORE_BREAK, |_| usize::MAX);
        let request = StreamRequest {
            id,
            path: "/stream/versioned",
            shared_parts: &[],
            resumes,
            max_events,
        };
        request.send(self.instances[instance].caller_address)
    }

    // Returns the number of requests that endpoints ran to go on with streams.
    fn resumption_count(&self) -> usize {
        let requests = self.endpoints.iter().flat_map(Endpoint::requests);
        requests
            .filter(|it| it.header("last-event-id").is_some())
            .count()
    }
}

fn key(endpoint: &Endpoint) -> String {
    format!("servers/{}", endpoint.id)
}

fn parallel<T: Send>(call: impl Fn(usize) -> T + Sync) -> Vec<T> {
    thread::scope(|scope| {
        let call = &call;
        let calls: Vec<_> = (0..STREAM_COUNT)
            .map(|it| scope.spawn(move || call(it)))
            .collect();
        let results = calls.into_iter().map(|it| it.join().unwrap());
        results.collect()
    })
}

fn versions<'a>(parts: impl IntoIterator<Item = &'a Part>) -> BTreeSet<&'a str> {
    let events = parts.into_iter().flat_map(|it| &it.events);
    events.map(|it| &*it.1).collect()
}

fn check_unmixed(first: &[Part], second: &[Part]) {
    let pairs = first.iter().zip(second);
    let mixed: Vec<_> = pairs
        .filter(|pair| versions([pair.0, pair.1]).len() > 1)
        .collect();
    assert!(mixed.is_empty(), "{} mixed: {mixed:#?}", mixed.len());
}

fn check_all_went_on(first: &[Part], second: &[Part]) {
    check_unmixed(first, second);
    assert!(second.iter().all(Part::is_last), "{second:#?}");
}

// Sends streams that are not broken off, and calls something while they run.
fn during_streams(fleet: &Fleet, call: impl FnOnce()) -> Vec<Part> {
    thread::scope(|scope| {
        let streams = scope.spawn(|| {
            parallel(|number| {
                let id = format!("s{number}");
                let response = fleet.instances[0].call(&id, "/stream/versioned", "", &id);
                Part::parse(response.as_bytes())
            })
        });
        thread::sleep(TIME_IN_STREAM);
        call();
        streams.join().unwrap()
    })
}

// Guards against taking the version of an entry for that of the process at its address.
#[test]
fn a_stream_broken_off_by_restarts_as_another_version_does_not_go_on_in_its_response() {
    let fleet = Fleet::start();
    let parts = during_streams(&fleet, || fleet.restart_all_as("v2"));
    assert!(parts.iter().any(|it| !it.events.is_empty()), "{parts:#?}");
    check_unmixed(&parts, &parts);
    assert!(!parts.iter().any(Part::is_last), "{parts:#?}");
}

// The same while the entries change.
#[test]
fn a_stream_broken_off_by_registered_restarts_does_not_go_on_in_its_response() {
    let fleet = Fleet::start();
    let parts = during_streams(&fleet, || {
        fleet.restart_all_as("v2");
        fleet.register();
    });
    check_unmixed(&parts, &parts);
}

#[test]
fn a_stream_broken_off_by_its_endpoint_goes_on_at_another_of_its_version() {
    let fleet = Fleet::start();
    let parts = during_streams(&fleet, || fleet.endpoints[0].restart_as("v2"));
    check_unmixed(&parts, &parts);
    let whole = parts.iter().filter(|it| it.is_last()).count();
    assert_eq!(whole, STREAM_COUNT, "{parts:#?}");
}

#[test]
fn a_stream_taken_up_at_a_suspended_instance_does_not_go_on_at_restarted_endpoints() {
    let fleet = Fleet::start();
    let first = fleet.begin_all();
    fleet.instances[1].send_signal(Signal::STOP);
    fleet.restart_all_as("v2");
    fleet.register();
    fleet.instances[1].send_signal(Signal::CONT);
    let second = fleet.take_up_all(&first);
    check_unmixed(&first, &second);
}

#[test]
fn a_stream_taken_up_before_the_entries_of_restarted_endpoints_change_is_refused() {
    let fleet = Fleet::start();
    let first = fleet.begin_all();
    fleet.restart_all_as("v2");
    let second = fleet.take_up_all(&first);
    check_unmixed(&first, &second);
    assert!(second.iter().all(|it| it.status == "503"), "{second:#?}");
    assert_eq!(fleet.resumption_count(), 0);
}

// Guards against a connection to the later start that another request has opened.
#[test]
fn a_stream_is_taken_up_over_no_connection_of_other_requests() {
    let fleet = Fleet::start();
    let first = fleet.begin_all();
    fleet.restart_all_as("v2");
    let served = parallel(|_| fleet.instances[1].serves_requests());
    assert!(served.iter().any(|it| *it));
    thread::sleep(IDLE_TIME);
    let second = fleet.take_up_all(&first);
    check_unmixed(&first, &second);
    assert!(second.iter().all(|it| it.status == "503"), "{second:#?}");
}

// Guards against a call for each stream to an endpoint that is known to have started again.
#[test]
fn a_restarted_endpoint_gets_no_further_streams_until_its_entry_changes() {
    let fleet = Fleet::start();
    let first = fleet.begin_all();
    let restarted = &fleet.endpoints[0];
    restarted.restart_as("v2");
    let numbered = first.iter().enumerate();
    let second: Vec<_> = numbered.map(|row| fleet.take_up(row.0, row.1)).collect();
    check_all_went_on(&first, &second);
    assert_eq!(restarted.report_count(), 1);
    restarted.restart_as("v1");
    fleet.register();
    thread::sleep(JOIN_TIME);
    let third = fleet.take_up_all(&first);
    check_all_went_on(&first, &third);
    assert!(restarted.report_count() > 1, "it gets streams again");
}

// Guards against refusing streams whose endpoints start again as the same version.
#[test]
fn a_stream_goes_on_at_endpoints_that_started_again_as_its_version() {
    let fleet = Fleet::start();
    let first = fleet.begin_all();
    fleet.restart_all_as("v1");
    fleet.register();
    thread::sleep(JOIN_TIME);
    check_all_went_on(&first, &fleet.take_up_all(&first));
}

#[test]
fn requests_that_go_on_with_no_stream_cause_no_further_calls() {
    let fleet = Fleet::start();
    let before = fleet.report_count();
    fleet.begin_all();
    assert!(fleet.instances.iter().all(Instance::serves_requests));
    assert_eq!(fleet.report_count(), before);
}

#[test]
fn a_stream_is_refused_where_endpoints_do_not_confirm_the_start_that_they_registered() {
    for report in [Report::WithoutStart, Report::Unanswered] {
        let fleet = Fleet::start();
        let first = fleet.begin_all();
        for endpoint in &fleet.endpoints {
            endpoint.set_report(report);
        }
        let start = Instant::now();
        let second = fleet.take_up(0, &first[0]);
        assert_eq!(second.status, "503", "{report:?}: {second:?}");
        assert!(start.elapsed() < REFUSAL_TIME, "{:?}", start.elapsed());
        assert_eq!(fleet.resumption_count(), 0);
    }
}

// Guards against binding endpoints to what only some of them state.
#[test]
fn a_stream_goes_on_at_endpoints_whose_entries_state_no_start() {
    let fleet = Fleet::start();
    for endpoint in &fleet.endpoints {
        endpoint.set_report(Report::Unanswered);
        let entry = endpoint.entry("ready").replace(r#","born":1"#, "");
        fleet.store.put(&key(endpoint), &entry);
    }
    thread::sleep(JOIN_TIME);
    let first = fleet.begin_all();
    check_all_went_on(&first, &fleet.take_up_all(&first));
}

#[test]
fn a_stream_goes_on_where_the_connection_ends_after_the_first_report() {
    let fleet = Fleet::start();
    let first = fleet.begin_all();
    let [left, removed] = &fleet.endpoints;
    fleet.store.remove(&key(removed));
    thread::sleep(JOIN_TIME);
    left.set_report(Report::ClosedOnce);
    let second = fleet.take_up(0, &first[0]);
    check_all_went_on(&first[..1], &[second]);
    assert_eq!(left.report_count(), 2);
}

// Guards against a record of the version of an entry that is outdated.
#[test]
fn a_stream_that_begins_before_the_entry_of_its_endpoint_changes_stays_at_its_version() {
    let fleet = Fleet::start();
    fleet.endpoints[0].restart_as("v2");
    let first = fleet.begin_all();
    assert_eq!(versions(&first).len(), 2, "{first:#?}");
    check_unmixed(&first, &fleet.take_up_all(&first));
}

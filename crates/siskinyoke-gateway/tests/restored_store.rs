//! A store that comes back from an earlier copy, with lower revisions.

use std::path::Path;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use siskinyoke_soak::Endpoint;
use siskinyoke_soak::Instance;
use siskinyoke_soak::Store;
use siskinyoke_soak::configuration;
use siskinyoke_soak::instance::http_get;
use siskinyoke_soak::instance::wait_until;
use siskinyoke_soak::store::Availability;

/// The time within which changes have to be in force.
const BOUND: Duration = Duration::from_secs(2);

/// How long the store is away before it comes back from the copy.
const AWAY: Duration = Duration::from_millis(600);

/// The duration of a rollout.
const ROLLOUT_TIME: Duration = Duration::from_secs(2);

/// The time within which an instance has read a change.
const READ_TIME: Duration = Duration::from_millis(500);

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
    let endpoints: Vec<_> = endpoints.iter().map(|id| Endpoint::start(id)).collect();
    for endpoint in &endpoints {
        let key = format!("servers/{}", endpoint.id);
        store.put(&key, &endpoint.entry("ready"));
    }
    let instance = Instance::start(program(), "i1", store.address).wait_until_ready();
    wait_until("the instance is registered", || {
        !store.keys("instances/").is_empty()
    });
    Setup {
        store,
        endpoints,
        instance,
    }
}

impl Setup {
    // Writes values that the copy does not have, so that its revisions are lower.
    fn write_more(&self) {
        for version in 4..9 {
            let text = configuration::text(version, "k1");
            self.store.put("op/config", &text);
        }
        self.wait_for_configuration(8, Duration::from_secs(10));
    }

    fn restore(&self, copy: siskinyoke_soak::store::Copy) {
        self.store.set_availability(Availability::Unavailable);
        thread::sleep(AWAY);
        self.store.restore(copy);
        self.store.set_availability(Availability::Available);
    }

    fn configuration_version(&self) -> u64 {
        let page = http_get(self.instance.metrics_address, "/metrics").unwrap_or_default();
        let row = page
            .lines()
            .find(|it| it.contains("what=\"configuration\""));
        row.and_then(|it| it.rsplit(' ').next()?.parse().ok())
            .unwrap_or(0)
    }

    fn wait_for_configuration(&self, version: u64, limit: Duration) {
        let begin = Instant::now();
        while self.configuration_version() < version {
            let elapsed = begin.elapsed();
            assert!(elapsed < limit, "not in force after {elapsed:?}");
            thread::sleep(Duration::from_millis(10));
        }
    }

    // Sends requests for a while, and returns how many were not served.
    fn failures(&self, period: Duration) -> usize {
        let begin = Instant::now();
        let mut failures = 0;
        while begin.elapsed() < period {
            let response = self.instance.call("r", "/safe/a", "", "");
            failures += usize::from(!response.starts_with("HTTP/1.1 200"));
            thread::sleep(Duration::from_millis(10));
        }
        failures
    }

    fn received(&self, index: usize) -> usize {
        self.endpoints[index].requests().len()
    }
}

// Guards against ignoring everything until the store has passed the old revision again.
#[test]
fn a_configuration_written_after_a_restore_is_applied_in_time() {
    let setup = start_setup(&["e1"]);
    let copy = setup.store.copy();
    setup.write_more();
    for version in [10, 11] {
        setup.restore(copy.clone());
        let text = configuration::text(version, "k1");
        setup.store.put("op/config", &text);
        setup.wait_for_configuration(version, BOUND);
    }
}

// Guards against sending requests to an endpoint that leaves after the store came back.
#[test]
fn an_endpoint_that_drains_after_a_restore_gets_no_more_requests() {
    let setup = start_setup(&["e1", "e2"]);
    let copy = setup.store.copy();
    setup.write_more();
    setup.restore(copy);
    let entry = setup.endpoints[0].entry("draining");
    setup.store.put("servers/e1", &entry);
    thread::sleep(BOUND);
    let before = setup.received(0);
    assert_eq!(setup.failures(Duration::from_millis(500)), 0);
    assert_eq!(setup.received(0), before);
}

// Guards against an old entry that makes an endpoint available again that has left.
#[test]
fn an_endpoint_that_had_left_does_not_return_with_a_copy() {
    for drains in [true, false] {
        let setup = start_setup(&["e1", "e2"]);
        let copy = setup.store.copy();
        setup.write_more();
        if drains {
            let entry = setup.endpoints[0].entry("draining");
            setup.store.put("servers/e1", &entry);
        }
        setup.store.remove("servers/e1");
        thread::sleep(BOUND);
        setup.restore(copy);
        // A change shows that the copy has been read.
        setup.store.put("op/config", &configuration::text(10, "k1"));
        setup.wait_for_configuration(10, BOUND);
        let before = setup.received(0);
        assert_eq!(setup.failures(Duration::from_secs(1)), 0);
        assert_eq!(setup.received(0), before, "drains: {drains}");
    }
}

// Guards against dropping an endpoint that the copy does not have before it could write its entry
// again.
#[test]
fn an_endpoint_that_a_copy_does_not_have_stays_in_use_until_it_has_registered_again() {
    let setup = start_setup(&["e1"]);
    setup.store.remove("servers/e1");
    let copy = setup.store.copy();
    let entry = setup.endpoints[0].entry("ready");
    setup.store.put("servers/e1", &entry);
    setup.write_more();
    setup.restore(copy);
    assert_eq!(setup.failures(Duration::from_millis(1_200)), 0);
    setup.store.put("servers/e1", &entry);
    assert_eq!(setup.failures(Duration::from_secs(2)), 0);
}

// Guards against a status whose writer does not know yet that the store came back.
#[test]
fn a_rollout_status_is_not_written_before_its_writer_knows_of_a_restore() {
    let setup = start_setup(&["e1", "e2"]);
    for (endpoint, version) in setup.endpoints.iter().zip(["v1", "v2"]) {
        let entry = endpoint.entry("ready");
        let entry = entry.replace("\"Slots\"", &format!("\"Version\":\"{version}\",\"Slots\""));
        setup.store.put(&format!("servers/{}", endpoint.id), &entry);
    }
    let order = r#"{"Service":"lm","To":"v2","DurationS":2}"#;
    setup.store.put("op/rollout/lm", order);
    let status = || setup.store.value("status/rollout/lm").unwrap_or_default();
    wait_until("the rollout is running", || status().contains("running"));
    thread::sleep(READ_TIME);
    setup.store.set_availability(Availability::WritesOnly);
    // Open watches end in the earlier era.
    thread::sleep(Duration::from_millis(200));
    setup.store.restore(setup.store.copy());
    let end = Instant::now() + 2 * ROLLOUT_TIME;
    while Instant::now() < end {
        setup.instance.call("r", "/safe/a", "", "");
        assert!(status().contains("running"), "{}", status());
    }
    setup.store.set_availability(Availability::Available);
    wait_until("the rollout is completed", || {
        setup.instance.call("r", "/safe/a", "", "");
        status().contains("completed")
    });
}

// Guards against an instance that other instances and callers do not find.
#[test]
fn an_instance_registers_again_after_a_restore() {
    let setup = start_setup(&["e1"]);
    let mut copy = setup.store.copy();
    copy.remove_prefix("instances/");
    setup.write_more();
    setup.restore(copy);
    let begin = Instant::now();
    while setup.store.keys("instances/").is_empty() {
        assert!(begin.elapsed() < BOUND, "not registered");
        thread::sleep(Duration::from_millis(10));
    }
}

// Guards against a value of the header that stops an instance from applying changes.
#[test]
fn changes_are_applied_whatever_the_header_says() {
    let setup = start_setup(&["e1"]);
    let mut version = 3;
    for era in [
        "",
        "x",
        "-1",
        "0",
        "18446744073709551615",
        "99999999999999999999",
        "1",
    ] {
        setup.store.set_era(era);
        version += 1;
        let text = configuration::text(version, "k1");
        setup.store.put("op/config", &text);
        thread::sleep(Duration::from_millis(200));
    }
    setup.wait_for_configuration(version, BOUND);
    let copy = setup.store.copy();
    setup.write_more();
    setup.restore(copy);
    setup.store.put("op/config", &configuration::text(20, "k1"));
    setup.wait_for_configuration(20, BOUND);
}

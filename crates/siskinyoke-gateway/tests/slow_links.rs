//! Large values over links that need longer for them than the time limit of a call.

use std::path::Path;
use std::thread;
use std::time::Duration;

use siskinyoke_soak::Endpoint;
use siskinyoke_soak::Instance;
use siskinyoke_soak::Proxy;
use siskinyoke_soak::Store;
use siskinyoke_soak::configuration;
use siskinyoke_soak::instance::http_get;
use siskinyoke_soak::instance::wait_until;
use siskinyoke_soak::proxy::Fault;

/// A rate at which the large configuration takes about four seconds, in bytes per ms.
const SLOW_RATE: u64 = 90;

const ROUTE_COUNT: usize = 1_500;

/// The time within which a departure has to be applied.
const DEPARTURE_BOUND: Duration = Duration::from_secs(2);

fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_siskinyoke-gateway"))
}

fn start_store(configuration: &str) -> (Store, Endpoint, Proxy) {
    let store = Store::start();
    store.put("op/config", configuration);
    let endpoint = Endpoint::start("e1");
    store.put("servers/e1", &endpoint.entry("ready"));
    let proxy = Proxy::start(store.address);
    (store, endpoint, proxy)
}

// Returns the version of the configuration in force, 0 if there is none.
fn configuration_version(instance: &Instance) -> u64 {
    let page = http_get(instance.metrics_address, "/metrics").unwrap_or_default();
    let row = page
        .lines()
        .find(|it| it.contains("what=\"configuration\""));
    row.and_then(|it| it.rsplit(' ').next()?.parse().ok())
        .unwrap_or(0)
}

fn wait_for_configuration(instance: &Instance, version: u64) {
    wait_until("the configuration is in force", || {
        configuration_version(instance) == version
    });
}

// Guards against a first read that is given up and begun again while its response arrives.
#[test]
fn an_instance_starts_with_a_configuration_that_outlasts_a_call() {
    let large = configuration::text_with_routes(3, "k1", ROUTE_COUNT);
    let (_store, _endpoint, proxy) = start_store(&large);
    proxy.set_fault(Fault::LimitRate(SLOW_RATE));
    let instance = Instance::start(program(), "i1", proxy.address);
    wait_for_configuration(&instance, 3);
}

// Guards against a watch that is given up and sent again while its response arrives.
#[test]
fn a_configuration_that_outlasts_a_watch_is_applied() {
    let (store, _endpoint, proxy) = start_store(&configuration::text(3, "k1"));
    let instance = Instance::start(program(), "i1", proxy.address).wait_until_ready();
    proxy.set_fault(Fault::LimitRate(SLOW_RATE));
    let large = configuration::text_with_routes(4, "k1", ROUTE_COUNT);
    store.put("op/config", &large);
    wait_for_configuration(&instance, 4);
}

// Guards against a departure that is not known until the configuration before it has arrived.
#[test]
fn a_departure_is_applied_while_a_large_configuration_arrives() {
    let (store, first, proxy) = start_store(&configuration::text(3, "k1"));
    let second = Endpoint::start("e2");
    store.put("servers/e2", &second.entry("ready"));
    let instance = Instance::start(program(), "i1", proxy.address).wait_until_ready();
    proxy.set_fault(Fault::LimitRate(SLOW_RATE));
    let large = configuration::text_with_routes(4, "k1", ROUTE_COUNT);
    store.put("op/config", &large);
    store.put("servers/e1", &first.entry("draining"));
    thread::sleep(DEPARTURE_BOUND);
    let before = first.requests().len();
    for _ in 0..20 {
        instance.call("r", "/safe/a", "", "");
    }
    assert_eq!(first.requests().len(), before);
    assert_eq!(configuration_version(&instance), 3);
    wait_for_configuration(&instance, 4);
}

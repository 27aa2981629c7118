//! Large values over links that need longer for them than the time limit of a call.

use std::path::Path;

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

fn wait_for_configuration(instance: &Instance, version: u64) {
    let value = format!(" {version}");
    wait_until("the configuration is in force", || {
        let page = http_get(instance.metrics_address, "/metrics").unwrap_or_default();
        let row = page
            .lines()
            .find(|it| it.contains("what=\"configuration\""));
        row.is_some_and(|it| it.ends_with(&value))
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

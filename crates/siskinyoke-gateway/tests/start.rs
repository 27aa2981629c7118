//! The first state that a process gets from the store.

mod common;

use serde_json::json;

use siskinyoke_base::Millis;
use siskinyoke_dispatch::core::IncomingRequest;
use siskinyoke_gateway::cluster_view;
use siskinyoke_gateway::replica::Update;
use siskinyoke_gateway::shell::Shell;
use siskinyoke_interface::Item;
use siskinyoke_soak::configuration;

/// Units of the bucket's capacity: the organisation's burst, or its rate for a second.
const CAPACITY_UNITS: u64 = 30_000;

const FLEET_SIZE: u64 = 300;

fn item(key: &str, value: &str) -> Item {
    Item {
        key: key.to_owned(),
        revision: 1.into(),
        value: Some(value.as_bytes().to_vec()),
    }
}

// Returns the units that an instance grants at once.
fn granted_units(shell: &Shell) -> u64 {
    let request = IncomingRequest {
        host: "h.example",
        path: "/safe/a",
        hold_time: Millis::ZERO,
        key: Some("k"),
        timeout: None,
        tokens: Some((1, 0)),
        output_estimate: None,
        id_hash: 0,
    };
    let now = shell.now();
    let mut core = shell.core.borrow_mut();
    let mut granted = 0;
    while granted < CAPACITY_UNITS && core.route(now, request).is_ok() {
        granted += 1;
    }
    granted
}

// Guards against full buckets after a restart of all instances, which grant the quota twice.
#[test]
fn the_first_configuration_is_applied_with_the_size_of_the_fleet() {
    let shell = common::shell(common::PLATFORM_SETTINGS);
    let instances = (0..FLEET_SIZE).map(|index| {
        let location = json!({ "front": "a:1", "inner": "127.0.0.1:2", "centre": "a" });
        item(&format!("instances/i{index}"), &location.to_string())
    });
    let quota = format!(r#""Unit":"tokens","RatePerS":{CAPACITY_UNITS},"Burst":{CAPACITY_UNITS},"#);
    let configuration =
        configuration::text(3, "k").replace(r#""ApiKeys""#, &format!(r#"{quota}"ApiKeys""#));
    let update = Update {
        revision: 2.into(),
        full: true,
        items: [item("op/config", &configuration)]
            .into_iter()
            .chain(instances)
            .collect(),
    };
    cluster_view::apply_from_store(&shell, update);
    assert_eq!(shell.core.borrow().configuration_version(), 3);
    // A bucket starts less than a fifth full, and this is one instance's share of it.
    let granted = granted_units(&shell);
    assert!(
        granted <= CAPACITY_UNITS / FLEET_SIZE / 5 + 1,
        "{granted} units"
    );
}

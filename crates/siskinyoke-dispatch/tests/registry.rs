//! Endpoints that come, leave, lapse and return.

mod common;

use crate::common::endpoint;
use siskinyoke_base::Millis;
use siskinyoke_dispatch::Endpoint;
use siskinyoke_dispatch::StoreUpdate;
use siskinyoke_dispatch::registry::Registry;

fn fit(registry: &Registry) -> Vec<String> {
    registry
        .eligible("lm")
        .iter()
        .map(|it| it.id.to_string())
        .collect()
}

#[test]
fn a_draining_endpoint_gets_no_new_work_and_stays_so() {
    let mut registry = Registry::default();
    let draining = Endpoint {
        draining: true,
        ..endpoint("e", 1)
    };
    registry.put(Millis(0), draining);
    assert!(fit(&registry).is_empty());
    // An older entry of the same start arrives late, from a peer or another replica.
    registry.put(Millis(5), endpoint("e", 1));
    assert!(fit(&registry).is_empty());
}

#[test]
fn a_new_start_under_the_same_identity_is_another_endpoint() {
    let mut registry = Registry::default();
    registry.put(
        Millis(0),
        Endpoint {
            draining: true,
            ..endpoint("e", 1)
        },
    );
    registry.put(
        Millis(9),
        Endpoint {
            started_ms: 2,
            ..endpoint("e", 1)
        },
    );
    assert_eq!(fit(&registry), ["e"]);
}

#[test]
fn an_entry_that_goes_while_the_store_is_well_is_gone_at_once() {
    let mut registry = Registry::default();
    registry.put(Millis(0), endpoint("e", 1));
    registry.remove(Millis(100), "e");
    assert!(fit(&registry).is_empty());
}

// The store is away for longer than leases last, and entries run out. On its return a reading
// finds none; living endpoints write theirs anew within two seconds. Taken for gone at once,
// every request would be refused until then.
#[test]
fn entries_that_lapsed_in_an_outage_are_used_until_they_had_time_to_return() {
    let mut registry = Registry::default();
    registry.put(Millis(0), endpoint("back", 1));
    registry.put(Millis(0), endpoint("gone", 1));
    registry.store_unreachable();
    registry.store_reachable(Millis(9_000));
    let gone = ["back", "gone"].map(|id| StoreUpdate::EndpointRemoved(id.to_owned()));
    registry.apply_updates(Millis(9_000), gone.into());
    assert_eq!(fit(&registry), ["back", "gone"]);
    registry.put(Millis(10_500), endpoint("back", 1));
    registry.remove_expired(Millis(11_400));
    assert_eq!(fit(&registry), ["back"]);
}

#[test]
fn a_peer_tells_that_an_endpoint_left() {
    let mut registry = Registry::default();
    registry.put(Millis(0), endpoint("e", 1));
    registry.record_departure(Millis(1), endpoint("e", 1).key());
    assert!(fit(&registry).is_empty());
}

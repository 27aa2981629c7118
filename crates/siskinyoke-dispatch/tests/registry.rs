//! Endpoints that register, leave, expire and return.

mod common;

use crate::common::core;
use crate::common::endpoint;
use crate::common::request;
use siskinyoke_base::Millis;
use siskinyoke_dispatch::Endpoint;
use siskinyoke_dispatch::StoreUpdate;
use siskinyoke_dispatch::registry::Registry;

fn eligible_ids(registry: &Registry) -> Vec<String> {
    registry
        .eligible("lm")
        .iter()
        .map(|it| it.id.to_string())
        .collect()
}

#[test]
fn a_draining_endpoint_gets_no_new_requests_and_stays_draining() {
    let mut registry = Registry::default();
    let draining = Endpoint {
        draining: true,
        ..endpoint("e", 1)
    };
    registry.put(Millis(0), draining);
    assert!(eligible_ids(&registry).is_empty());
    // An older entry of the same start arrives late, from a peer or another replica of the store.
    registry.put(Millis(5), endpoint("e", 1));
    assert!(eligible_ids(&registry).is_empty());
}

#[test]
fn a_restart_under_the_same_id_is_a_new_endpoint() {
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
    assert_eq!(eligible_ids(&registry), ["e"]);
}

#[test]
fn an_entry_removed_while_the_store_is_reachable_is_dropped_at_once() {
    let mut registry = Registry::default();
    registry.put(Millis(0), endpoint("e", 1));
    registry.remove(Millis(100), "e");
    assert!(eligible_ids(&registry).is_empty());
}

// Leases expire while the store is unavailable for longer than they last, so the first read after
// the outage finds no entries. Live endpoints register again within two seconds. Guards against
// dropping the entries at once, which would refuse every request until then.
#[test]
fn entries_that_expired_in_an_outage_are_kept_until_they_can_be_renewed() {
    let mut registry = Registry::default();
    registry.put(Millis(0), endpoint("back", 1));
    registry.put(Millis(0), endpoint("gone", 1));
    registry.mark_store_unreachable();
    registry.mark_store_reachable(Millis(9_000));
    let removals = ["back", "gone"].map(|id| StoreUpdate::EndpointRemoved(id.to_owned()));
    registry.apply_updates(Millis(9_000), removals.into());
    assert_eq!(eligible_ids(&registry), ["back", "gone"]);
    registry.put(Millis(10_500), endpoint("back", 1));
    registry.remove_expired(Millis(11_400));
    assert_eq!(eligible_ids(&registry), ["back"]);
}

// Guards against treating a lost call that is noticed late as an outage, which keeps endpoints that
// left in use.
#[test]
fn a_single_failed_call_keeps_no_removed_entries() {
    let mut core = core("a", 1);
    core.store_call_succeeded();
    core.store_call_failed(Millis(1_000));
    core.update_store_availability(Millis(1_200));
    assert!(core.store_available());
    core.store_call_succeeded();
    assert_eq!(core.update_store_availability(Millis(1_300)), None);
    core.registry().remove(Millis(1_400), "e1");
    assert!(eligible_ids(core.registry()).is_empty());
}

// Guards against dropping all entries at once if the outage ends before it was recorded.
#[test]
fn an_outage_that_ends_between_two_sweeps_keeps_removed_entries() {
    let mut core = core("a", 1);
    core.store_call_failed(Millis(1_000));
    core.store_call_succeeded();
    assert_eq!(core.update_store_availability(Millis(1_500)), Some(false));
    core.registry().remove(Millis(1_500), "e1");
    assert_eq!(eligible_ids(core.registry()), ["e1"]);
}

#[test]
fn an_endpoint_that_a_peer_reports_as_leaving_gets_no_new_requests() {
    let mut registry = Registry::default();
    registry.put(Millis(0), endpoint("e", 1));
    registry.record_departure(Millis(1), endpoint("e", 1).key());
    assert!(eligible_ids(&registry).is_empty());
}

// An endpoint said in a response that it leaves, and its entry does not say so yet.
#[test]
fn an_announced_departure_ends_with_the_next_start_under_the_same_id() {
    let mut core = core("a", 1);
    assert!(core.announce_departure(Millis(1), &endpoint("e1", 1), Millis(0)));
    assert!(!core.announce_departure(Millis(2), &endpoint("e1", 1), Millis(0)));
    core.registry().put(Millis(3), endpoint("e1", 1));
    assert!(eligible_ids(core.registry()).is_empty());
    let restarted = Endpoint {
        started_ms: 2,
        ..endpoint("e1", 1)
    };
    core.registry().put(Millis(4), restarted);
    assert_eq!(eligible_ids(core.registry()), ["e1"]);
    // A response of the previous start arrives late.
    core.announce_departure(Millis(5), &endpoint("e1", 1), Millis(0));
    assert_eq!(eligible_ids(core.registry()), ["e1"]);
}

#[test]
fn an_endpoint_that_announced_its_departure_is_not_used_over_a_borrowed_slot() {
    let mut core = core("a", 1);
    let routed = core.route(Millis(0), request("/safe/x")).unwrap();
    let ticket = core.admit(Millis(0), &routed, 1).unwrap();
    let key = endpoint("e1", 1).key();
    core.announce_departure(Millis(1), &endpoint("e1", 1), Millis(0));
    assert!(core.slot_granted(Millis(2), ticket, key).is_none());
    assert!(core.decide(Millis(2)).is_empty());
}

// Guards against peers that remind each other of old departures, so that a new one is never among
// the few that a report has room for.
#[test]
fn a_new_departure_is_reported_before_those_that_peers_report() {
    let keys = |from: u32| (from..from + 16).map(|it| endpoint(&format!("old{it}"), 1).key());
    let mut registry = Registry::default();
    keys(0).for_each(|key| _ = registry.record_departure(Millis(0), key));
    let new = endpoint("new", 1).key();
    registry.record_departure(Millis(10), new);
    keys(0).for_each(|key| _ = registry.record_departure(Millis(20), key));
    assert!(registry.recent_departures(Millis(30)).contains(&new));
    assert!(registry.recent_departures(Millis(400_000)).is_empty());
}

// Entries need not state the time of the start. Guards against binding an endpoint that returns
// under its ID to what the previous start said.
#[test]
fn an_entry_that_returns_after_its_removal_is_another_start() {
    let mut registry = Registry::default();
    let key = endpoint("e1", 1).key();
    registry.put(Millis(0), endpoint("e1", 1));
    assert!(registry.announce_departure(Millis(100), key, Millis(50)));
    registry.remove(Millis(3_000), "e1");
    registry.put(Millis(5_000), endpoint("e1", 1));
    assert_eq!(eligible_ids(&registry), ["e1"]);
    // A peer that lags behind, and a late response of the previous start.
    assert!(!registry.record_departure(Millis(6_000), key));
    assert!(!registry.announce_departure(Millis(6_000), key, Millis(2_000)));
    assert_eq!(eligible_ids(&registry), ["e1"]);
    // The new start leaves too.
    assert!(registry.announce_departure(Millis(7_000), key, Millis(6_900)));
    assert!(eligible_ids(&registry).is_empty());
}

// Guards against using a leaving endpoint whose lease expired in an outage as if it had restarted.
#[test]
fn an_entry_that_returns_after_an_outage_is_the_same_start() {
    let mut registry = Registry::default();
    let key = endpoint("e1", 1).key();
    registry.put(Millis(0), endpoint("e1", 1));
    registry.announce_departure(Millis(100), key, Millis(50));
    registry.mark_store_unreachable();
    registry.mark_store_reachable(Millis(9_000));
    registry.remove(Millis(9_000), "e1");
    registry.put(Millis(10_000), endpoint("e1", 1));
    assert!(eligible_ids(&registry).is_empty());
}

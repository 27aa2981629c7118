//! Simulations of fleets in which few instances watch the store and the others follow them.
//!
//! Instances freeze, are killed, or lose links in one direction, and the store rejects some of them
//! or does not respond. `SEEDS=FROM..TO` replaces the default seeds.

#[path = "../common/mod.rs"]
mod common;
mod fleet;
mod links;
mod store_history;

use crate::common::seeds;
use crate::fleet::Faults;
use crate::fleet::Fleet;

/// The largest fleet that operators run.
const LARGEST_FLEET: usize = 300;

/// How long calls are counted.
const DURATION_S: u64 = 30;

// Several watchers in a row freeze, die, are rejected by the store or get no response from it.
// Guards against a healthy instance with a reporting peer applying a change later than the promised
// three seconds.
#[test]
fn changes_reach_every_healthy_instance_in_time() {
    for seed in seeds(0..8) {
        let mut fleet = Fleet::new(seed, 26, Faults::Mixed);
        fleet.run(30_000);
        assert!(
            fleet.violations.is_empty(),
            "seed {seed}: {:#?}",
            fleet.violations
        );
    }
}

// Guards against waiting for a watch that was lost in an outage as if the store merely had no
// changes.
#[test]
fn changes_are_applied_soon_after_a_store_outage() {
    for size in [7, 26] {
        for seed in seeds(0..8) {
            let mut fleet = Fleet::new(seed, size, Faults::StoreOutages);
            fleet.run(60_000);
            assert!(
                fleet.violations.is_empty(),
                "{size} instances, seed {seed}: {:#?}",
                fleet.violations
            );
        }
    }
}

// Guards against keeping the entries of endpoints that left for as long after the instance noticed
// the end of an outage as after the end itself.
#[test]
fn departed_endpoints_are_not_used_once_an_outage_has_settled() {
    for size in [7, 26] {
        for seed in seeds(0..8).chain([13]) {
            let mut fleet = Fleet::new(seed, size, Faults::StoreOutages);
            fleet.run(60_000);
            assert!(
                fleet.late_departures.is_empty(),
                "{size} instances, seed {seed}: {:#?}",
                fleet.late_departures
            );
        }
    }
}

// Guards against waits that are bounded one by one, but whose sum grows with the number of shards.
#[test]
fn the_largest_fleet_applies_changes_and_departures_after_an_outage() {
    for seed in seeds(0..1) {
        let mut fleet = Fleet::new(seed, LARGEST_FLEET, Faults::StoreOutages);
        fleet.run(30_000);
        let violations = [fleet.violations, fleet.late_departures].concat();
        assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
    }
}

/// The largest configuration that the store accepts, in bytes.
const LARGEST_CONFIGURATION: u32 = 1_048_576;

// Guards against small changes that wait behind a large one, and transfers of it that are given up
// and repeated until links carry nothing else.
#[test]
fn departures_are_known_in_time_while_a_large_configuration_spreads() {
    for faults in [Faults::LargeChanges, Faults::LargeChangesAndFreezes] {
        let late = |fleet: Fleet| [fleet.late_departures, fleet.violations].concat();
        check_large_changes(faults(LARGEST_CONFIGURATION), late);
    }
}

// Guards against a large configuration that spreads at the rate of one link.
#[test]
fn a_large_configuration_is_applied_everywhere_in_time() {
    for faults in [Faults::LargeChanges, Faults::LargeChangesAndFreezes] {
        let late = |fleet: Fleet| fleet.late_configurations;
        check_large_changes(faults(LARGEST_CONFIGURATION), late);
    }
}

fn check_large_changes(faults: Faults, violations: impl Fn(Fleet) -> Vec<String>) {
    for (size, seeds) in [(66, seeds(1..3)), (LARGEST_FLEET, seeds(1..2))] {
        for seed in seeds {
            let mut fleet = Fleet::new(seed, size, faults);
            fleet.run(14_000);
            let violations = violations(fleet);
            assert!(
                violations.is_empty(),
                "{faults:?}, {size} instances, seed {seed}: {violations:#?}"
            );
        }
    }
}

// Something changes every second, as in a rolling replacement of endpoints. Guards against every
// instance watching the store, when each change costs one paid call per instance.
#[test]
fn store_calls_do_not_grow_with_instances_times_changes() {
    let calls = |size| {
        let mut fleet = Fleet::new(1, size, Faults::None);
        fleet.run(DURATION_S * 1_000);
        assert!(fleet.violations.is_empty(), "{:#?}", fleet.violations);
        fleet.calls
    };
    let [medium, large] = [68, 295].map(calls);
    assert!(medium < 68 * DURATION_S / 5, "{medium} calls");
    assert!(large < 295 * DURATION_S / 5, "{large} calls");
    // The large fleet has over four times as many instances.
    assert!(large < medium * 2, "{medium} and {large} calls");
}

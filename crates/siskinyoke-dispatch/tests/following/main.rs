//! Fleets that hear of the store's changes through few of their instances, in virtual time.
//!
//! Instances freeze, are killed, are cut off from each other one way, and the store refuses some or goes silent
//! for them. `SEEDS=FROM..TO` plays other seeds than those of every run.

#[path = "../common/mod.rs"]
mod common;
mod fleet;

use crate::common::seeds;
use crate::fleet::Fleet;
use crate::fleet::Trouble;

/// How long the calls are counted, in seconds.
const LENGTH: u64 = 30;

// Watchers freeze, die, are refused or lose the store without a word, several in a row. An instance that is well
// and hears a peer must have each change in force within the time that operators count on, three seconds.
#[test]
fn changes_reach_every_sound_instance_in_time() {
    for seed in seeds(0..8) {
        let mut fleet = Fleet::new(seed, 26, Trouble::Wild);
        fleet.run(30_000);
        assert!(fleet.broken.is_empty(), "seed {seed}: {:#?}", fleet.broken);
    }
}

// Guards against a call that was lost in an outage being waited for as if the store only had nothing to tell.
#[test]
fn changes_are_in_force_soon_after_an_outage_of_the_store() {
    for size in [7, 26] {
        for seed in seeds(0..8) {
            let mut fleet = Fleet::new(seed, size, Trouble::Outages);
            fleet.run(60_000);
            assert!(
                fleet.broken.is_empty(),
                "{size} instances, seed {seed}: {:#?}",
                fleet.broken
            );
        }
    }
}

// Something changes every second for a while, as in a rolling replacement of endpoints. When each instance
// watched for itself, each change cost a call for each of them; operators pay for each.
#[test]
fn calls_of_the_store_do_not_grow_with_fleet_times_changes() {
    let calls = |size| {
        let mut fleet = Fleet::new(1, size, Trouble::None);
        fleet.run(LENGTH * 1_000);
        assert!(fleet.broken.is_empty(), "{:#?}", fleet.broken);
        fleet.calls
    };
    let [middle, large] = [68, 295].map(calls);
    assert!(middle < 68 * LENGTH / 5, "{middle}");
    assert!(large < 295 * LENGTH / 5, "{large}");
    // Four times the instances.
    assert!(large < middle * 2, "{middle} {large}");
}

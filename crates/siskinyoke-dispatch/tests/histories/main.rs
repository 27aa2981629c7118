//! Random histories of several instances in front of shared endpoints, in virtual time.
//!
//! Instances are killed, restarted and partitioned, and reports between them are lost; endpoints
//! crash and restart. What callers and endpoints observe is checked against the guarantees.
//! `SEEDS=FROM..TO` runs other seeds than the default ones.

#[path = "../common/mod.rs"]
mod common;
mod world;

use std::ops::Range;

use crate::common::seeds;
use crate::world::Scenario;
use crate::world::Simulation;

fn check_histories(default_seeds: Range<u64>, scenario: Scenario) {
    for seed in seeds(default_seeds) {
        let mut simulation = Simulation::new(seed, scenario);
        simulation.run();
        let violations = simulation.violations();
        assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
    }
}

#[test]
fn histories_with_random_faults_keep_the_guarantees() {
    check_histories(0..150, Scenario::RandomFaults);
}

// Guards against a request that crashes every endpoint that runs it. Its callers keep sending it to
// random instances, and each crash aborts the other requests on the endpoint. Unless instances report
// the crashes to each other, this never stops.
#[test]
fn histories_with_a_poison_request_keep_the_guarantees() {
    check_histories(0..150, Scenario::PoisonRequest);
}

// The arrival rate exceeds the capacity of the endpoints for the whole history.
#[test]
fn overloaded_histories_keep_the_guarantees() {
    check_histories(0..100, Scenario::Overload);
}

//! Random histories of several instances before shared endpoints, in virtual time.
//!
//! Instances are killed, start again, are cut off from each other and lose reports; endpoints crash
//! and come back as new starts. What callers and endpoints see is checked against the promises.
//! `SEEDS=FROM..TO` plays other seeds than those of every run.

#[path = "../common/mod.rs"]
mod common;
mod world;

use std::ops::Range;

use crate::common::seeds;
use crate::world::Scenario;
use crate::world::Simulation;

fn check_histories(usual: Range<u64>, trouble: Scenario) {
    for seed in seeds(usual) {
        let mut world = Simulation::new(seed, trouble);
        world.run();
        let broken = world.violations();
        assert!(broken.is_empty(), "seed {seed}: {broken:#?}");
    }
}

#[test]
fn histories_with_random_faults_keep_the_guarantees() {
    check_histories(0..150, Scenario::RandomFaults);
}

// One request crashes each endpoint that runs it, and its caller sends it again, elsewhere. Each
// crash takes down what runs beside it; without the news between instances it goes on for ever.
#[test]
fn histories_with_a_poison_request_keep_the_guarantees() {
    check_histories(0..150, Scenario::PoisonRequest);
}

// More arrives than endpoints can take, for as long as the history lasts.
#[test]
fn overloaded_histories_keep_the_guarantees() {
    check_histories(0..100, Scenario::Overload);
}

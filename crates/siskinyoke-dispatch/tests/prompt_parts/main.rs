//! Parts of prompts that crash the endpoints that respond to them, in virtual time.
//!
//! `SEEDS=FROM..TO` replaces the default seeds; odd ones play other faults beside the poisoned parts.

#![expect(clippy::cast_precision_loss, reason = "small numbers of a test")]

#[path = "../common/mod.rs"]
mod common;
mod record;
mod scenario;
mod world;

use crate::common::seeds;
use crate::scenario::Faults;
use crate::scenario::Scenario;
use crate::world::Fleet;

// Plays scenarios, and reports all that break a rule.
fn check(scenarios: impl Iterator<Item = (u64, Scenario)>) {
    let mut violations = Vec::new();
    for (seed, scenario) in scenarios {
        let found = Fleet::run(seed, &scenario).violations().into_iter();
        violations.extend(found.map(|it| format!("seed {seed}, {scenario:?}: {it}")));
    }
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}

// Guards against requests that share nothing but a part of their prompts and crash one endpoint
// after the other.
#[test]
fn parts_that_crash_endpoints_are_refused_by_a_sound_fleet() {
    let seeds = seeds(0..60).filter(|it| it % 2 == 0);
    check(seeds.map(|it| (it, Scenario::poisoned(it, Faults::None))));
}

// As above, while instances restart and lose links and reports, and endpoints fail on their own.
#[test]
fn parts_that_crash_endpoints_are_refused_under_other_faults() {
    let seeds = seeds(0..60).filter(|it| it % 2 == 1);
    check(seeds.map(|it| (it, Scenario::poisoned(it, Faults::Mixed))));
}

// Guards against parts that are quarantined because of faults that have another cause.
#[test]
fn other_faults_quarantine_no_part() {
    check(seeds(0..60).map(|it| (it, Scenario::sound(it))));
}

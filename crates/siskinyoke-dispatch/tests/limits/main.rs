//! Endpoints that name a rate limit, before a fleet in virtual time.
//!
//! `SEEDS=FROM..TO` plays other seeds than those of every run.

#[path = "../common/mod.rs"]
mod common;
mod fleet;

use crate::common::seeds;
use crate::fleet::Fleet;
use crate::fleet::Plan;

const CALM: Plan = Plan {
    size: 8,
    rate: 1.5,
    endpoints: 4,
    per_s: 60.0,
    wild: false,
    pause: false,
};

// Guards against each instance keeping to a limit alone, and against many instances' first requests.
#[test]
fn all_instances_together_keep_to_a_limit() {
    for size in [1, 3, 8, 11] {
        for rate in [0.2, 1.2, 1.5, 6.3, 25.0] {
            for seed in seeds(0..2) {
                let plan = Plan { size, rate, ..CALM };
                let fleet = Fleet::play(seed, plan);
                assert!(
                    fleet.broken.is_empty(),
                    "{plan:?} {seed}: {:#?}",
                    fleet.broken
                );
            }
        }
    }
}

// Guards against tokens that all instances gathered in a calm and spend at the same moment.
#[test]
fn a_limit_holds_at_the_end_of_a_calm() {
    for rate in [0.5, 0.8, 1.5] {
        for seed in seeds(0..5) {
            let plan = Plan {
                size: 11,
                rate,
                per_s: 110.0,
                pause: true,
                ..CALM
            };
            let fleet = Fleet::play(seed, plan);
            assert!(
                fleet.broken.is_empty(),
                "{plan:?} {seed}: {:#?}",
                fleet.broken
            );
        }
    }
}

// Guards against a limit that is exceeded where instances start anew, freeze, are cut off or lose reports.
#[test]
fn a_limit_holds_while_instances_come_and_go() {
    for rate in [0.5, 1.5, 6.3, 25.0] {
        for seed in seeds(0..10) {
            let plan = Plan {
                rate,
                wild: true,
                ..CALM
            };
            let fleet = Fleet::play(seed, plan);
            assert!(
                fleet.broken.is_empty(),
                "{plan:?} {seed}: {:#?}",
                fleet.broken
            );
        }
    }
}

// Guards against a limit that starves the endpoint, or that outlives its naming.
#[test]
fn an_endpoint_gets_what_it_takes_and_all_again_afterwards() {
    for rate in [1.5, 6.3, 25.0] {
        for seed in seeds(0..3) {
            let plan = Plan {
                rate,
                per_s: 110.0,
                ..CALM
            };
            let fleet = Fleet::play(seed, plan);
            let expected = rate.min(20.0);
            assert!(
                fleet.used >= expected * 0.6,
                "{plan:?} {seed}: {} a second",
                fleet.used
            );
            assert!(
                fleet.after >= 10.0,
                "{plan:?} {seed}: {} a second afterwards",
                fleet.after
            );
        }
    }
}

//! Simulated rollouts of good and bad versions by whole fleets, in virtual time.

#[path = "../common/mod.rs"]
mod common;
mod world;

use self::common::seeds;
use self::world::DURATION_MS;
use self::world::Fault;
use self::world::ORDERED_MS;
use self::world::Scenario;
use self::world::Simulation;
use siskinyoke_dispatch::rollout::State;

/// Fleet sizes: one shard, and several.
const SMALL_FLEET: usize = 8;
const LARGE_FLEET: usize = 40;

/// Requests per second that take a quarter and three quarters of the endpoints' slots.
const LOW_RATE_PER_SECOND: f64 = 220.0;
const HIGH_RATE_PER_SECOND: f64 = 650.0;

/// Seeds with which a good version was rolled back when all endpoints slowed down.
const SLOWDOWN_SEEDS: [u64; 4] = [13, 22, 81, 83];

/// Seeds with which a version that fails on one route got too many requests.
const EXPOSURE_SEEDS: [u64; 2] = [184, 253];

/// Seeds with which a good version had no outcome under random faults.
const NO_OUTCOME_SEEDS: [u64; 51] = [
    4, 14, 36, 38, 44, 55, 66, 81, 84, 88, 95, 99, 103, 124, 129, 131, 137, 141, 147, 155, 159,
    162, 167, 173, 176, 198, 200, 210, 211, 226, 244, 255, 268, 269, 272, 285, 308, 315, 317, 329,
    334, 336, 352, 357, 368, 376, 378, 384, 386, 394, 397,
];

const ALL_FAULTS: [Fault; 6] = [
    Fault::Fails(0.3),
    Fault::Fails(1.0),
    Fault::Slow(5.0),
    Fault::FailsLater(0.4, 3_000),
    Fault::FailsOnRoute(0.8),
    Fault::FailsUnderLoad(0.6),
];

fn simulate(seed: u64, size: usize, rate: f64, fault: Fault, scenario: Scenario) -> Simulation {
    let mut simulation = Simulation::new(seed, size, rate, fault, scenario);
    simulation.run();
    simulation
}

// Guards against rolling back a good version, or never completing its rollout: it must then be
// rolled out again by hand.
#[test]
fn a_good_version_is_rolled_out_by_its_deadline() {
    for seed in seeds(0..1) {
        for (size, rate) in [
            (SMALL_FLEET, LOW_RATE_PER_SECOND),
            (SMALL_FLEET, HIGH_RATE_PER_SECOND),
            (LARGE_FLEET, HIGH_RATE_PER_SECOND),
        ] {
            let simulation = simulate(seed, size, rate, Fault::None, Scenario::None);
            let case = format!("seed {seed}, {size} instances at {rate}");
            let Some((at, state)) = simulation.outcome() else {
                panic!("{case}: no outcome");
            };
            assert_eq!(state, State::Completed, "{case}");
            assert!(at <= ORDERED_MS + DURATION_MS, "{case}: {at}");
            assert_eq!(simulation.observed.aborted, 0, "{case}: requests aborted");
            assert!(
                simulation.observed.violations.is_empty(),
                "{case}: {:?}",
                simulation.observed.violations
            );
        }
    }
}

// All endpoints slow down while a good version takes over. Guards against comparing its responses
// with earlier ones of the stable version, which rolls it back.
#[test]
fn a_good_version_is_not_rolled_back_for_a_general_slowdown() {
    for seed in seeds(0..2).chain(SLOWDOWN_SEEDS) {
        for from in [20, 60, 72, 78, 85] {
            let simulation = simulate(
                seed,
                SMALL_FLEET,
                LOW_RATE_PER_SECOND / 4.0,
                Fault::None,
                Scenario::GeneralSlowdown(from),
            );
            let state = simulation.outcome().map(|outcome| outcome.1);
            assert_eq!(state, Some(State::Completed), "seed {seed}, from {from}");
        }
    }
}

// Guards against sending a bad version too large a share of the traffic, or traffic for too long.
#[test]
fn a_bad_version_is_rolled_back_within_the_bounds() {
    for seed in seeds(0..1) {
        for fault in ALL_FAULTS {
            check_rolled_back(seed, SMALL_FLEET, LOW_RATE_PER_SECOND, fault);
        }
    }
    for seed in EXPOSURE_SEEDS {
        let fault = Fault::FailsOnRoute(0.8);
        check_rolled_back(seed, SMALL_FLEET, LOW_RATE_PER_SECOND, fault);
    }
}

// Guards against missing a bad version because each shard of a large fleet sees only a few of its
// responses.
#[test]
fn a_bad_version_is_detected_by_a_fleet_of_many_shards() {
    for seed in seeds(0..1) {
        check_rolled_back(seed, LARGE_FLEET, HIGH_RATE_PER_SECOND, Fault::Fails(0.3));
    }
}

// Guards against instances writing different outcomes, or reverting an outcome that was written.
#[test]
fn random_faults_lead_to_exactly_one_outcome() {
    for seed in seeds(0..3) {
        for fault in [Fault::None, Fault::Fails(0.3)] {
            check_one_outcome(seed, fault);
        }
    }
    for seed in NO_OUTCOME_SEEDS {
        check_one_outcome(seed, Fault::None);
    }
}

// Prints how often the outcome is wrong, how long it takes and how many requests are exposed. Run
// it by hand with `--ignored` and SEEDS.
#[test]
#[ignore = "prints a table and checks nothing"]
fn table_of_verdicts() {
    for (size, rate) in [
        (SMALL_FLEET, LOW_RATE_PER_SECOND),
        (SMALL_FLEET, HIGH_RATE_PER_SECOND),
        (LARGE_FLEET, HIGH_RATE_PER_SECOND),
    ] {
        for fault in [Fault::None].iter().chain(&ALL_FAULTS) {
            let mut times = Vec::new();
            let mut exposures = Vec::new();
            let mut violating_runs = 0;
            let mut states = [0, 0, 0];
            for seed in seeds(0..20) {
                let simulation = simulate(seed, size, rate, *fault, Scenario::None);
                let Some((at, state)) = simulation.outcome() else {
                    states[0] += 1;
                    continue;
                };
                states[if state == State::Completed { 1 } else { 2 }] += 1;
                times.push(at - ORDERED_MS);
                exposures.push(simulation.observed.exposed * 1_000 / simulation.observed.total);
                violating_runs += usize::from(!simulation.observed.violations.is_empty());
            }
            times.sort_unstable();
            exposures.sort_unstable();
            println!(
                "{size} instances at {rate}/s, {fault:?}: no outcome, completed, rolled back \
                 {states:?}; median and maximum ms {:?} {:?}; median and maximum exposure in \
                 thousandths {:?} {:?}; runs with violations {violating_runs}",
                times.get(times.len() / 2),
                times.last(),
                exposures.get(exposures.len() / 2),
                exposures.last(),
            );
        }
    }
}

fn check_one_outcome(seed: u64, fault: Fault) {
    let simulation = simulate(
        seed,
        SMALL_FLEET,
        LOW_RATE_PER_SECOND,
        fault,
        Scenario::RandomFaults,
    );
    let violations = &simulation.observed.violations;
    let case = format!("seed {seed}, {fault:?}");
    assert!(simulation.outcome().is_some(), "{case}: no outcome");
    assert!(violations.is_empty(), "{case}: {violations:?}");
}

fn check_rolled_back(seed: u64, size: usize, rate: f64, fault: Fault) {
    let simulation = simulate(seed, size, rate, fault, Scenario::None);
    let state = simulation.outcome().map(|outcome| outcome.1);
    let case = format!("seed {seed}, {fault:?}, {size} instances at {rate}");
    assert_eq!(
        state,
        Some(State::RolledBack),
        "{case}: {:?}",
        simulation.observed.states
    );
    assert!(
        simulation.observed.violations.is_empty(),
        "{case}: {:?}",
        simulation.observed.violations
    );
}

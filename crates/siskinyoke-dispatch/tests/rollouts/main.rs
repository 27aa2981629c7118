//! Rollouts of good and bad versions by whole fleets, played in virtual time.

#[path = "../common/mod.rs"]
mod common;
mod world;

use self::common::seeds;
use self::world::Fault;
use self::world::ORDERED;
use self::world::SPAN;
use self::world::Trouble;
use self::world::World;
use siskinyoke_dispatch::rollout::State;

/// Instances of one shard, and of several.
const SMALL: usize = 8;
const LARGE: usize = 40;

/// Requests a second that take a quarter of the endpoints' slots, and three quarters.
const CALM: f64 = 220.0;
const FULL: f64 = 650.0;

const FAULTS: [Fault; 6] = [
    Fault::Fails(0.3),
    Fault::Fails(1.0),
    Fault::Slow(5.0),
    Fault::Later(0.4, 3_000),
    Fault::OneRoute(0.8),
    Fault::Loaded(0.6),
];

fn play(seed: u64, size: usize, rate: f64, fault: Fault, trouble: Trouble) -> World {
    let mut world = World::new(seed, size, rate, fault, trouble);
    world.run();
    world
}

// A good version that is rolled back, or left on trial, has to be rolled out again by hand.
#[test]
fn a_good_version_is_in_force_by_its_deadline() {
    for seed in seeds(0..1) {
        for (size, rate) in [(SMALL, CALM), (SMALL, FULL), (LARGE, FULL)] {
            let world = play(seed, size, rate, Fault::None, Trouble::None);
            let case = format!("seed {seed}, {size} instances at {rate}");
            let Some((at, state)) = world.outcome() else {
                panic!("{case}: no outcome");
            };
            assert_eq!(state, State::Completed, "{case}");
            assert!(at <= ORDERED + SPAN, "{case}: {at}");
            assert_eq!(world.seen.cut, 0, "{case}: cut off");
            assert!(
                world.seen.broken.is_empty(),
                "{case}: {:?}",
                world.seen.broken
            );
        }
    }
}

// All endpoints slow down while a good version takes over. Its answers were compared with those that the standing one
// had given before, and it was rolled back.
#[test]
fn a_good_version_is_not_blamed_for_what_slows_all_down() {
    for seed in seeds(0..2) {
        for from in [20, 60, 72, 78, 85] {
            let world = play(seed, SMALL, CALM / 4.0, Fault::None, Trouble::Slow(from));
            let state = world.outcome().map(|it| it.1);
            assert_eq!(state, Some(State::Completed), "seed {seed}, from {from}");
        }
    }
}

// A bad version gets a large part of the traffic, or gets some for long.
#[test]
fn a_bad_version_is_rolled_back_within_the_bounds() {
    for seed in seeds(0..1) {
        for fault in FAULTS {
            check_bad(seed, SMALL, CALM, fault);
        }
    }
}

// Each shard of a large fleet sees a small part of the answers, and nobody sees enough.
#[test]
fn a_bad_version_is_found_by_a_fleet_of_many_shards() {
    for seed in seeds(0..1) {
        check_bad(seed, LARGE, FULL, Fault::Fails(0.3));
    }
}

// Two instances write different outcomes, or one takes back what another wrote.
#[test]
fn there_is_one_outcome_whatever_happens() {
    for seed in seeds(0..3) {
        for fault in [Fault::None, Fault::Fails(0.3)] {
            let world = play(seed, SMALL, CALM, fault, Trouble::Wild);
            let broken = &world.seen.broken;
            let case = format!("seed {seed}, {fault:?}");
            assert!(world.outcome().is_some(), "{case}: no outcome");
            assert!(broken.is_empty(), "{case}: {broken:?}");
        }
    }
}

// Prints how often verdicts are false, how long they take and what they cost: by hand, with `--ignored` and SEEDS.
#[test]
#[ignore = "a table, not a check"]
fn table_of_verdicts() {
    for (size, rate) in [(SMALL, CALM), (SMALL, FULL), (LARGE, FULL)] {
        for fault in [Fault::None].iter().chain(&FAULTS) {
            let mut times = Vec::new();
            let mut parts = Vec::new();
            let mut broken = 0;
            let mut states = [0, 0, 0];
            for seed in seeds(0..20) {
                let world = play(seed, size, rate, *fault, Trouble::None);
                let Some((at, state)) = world.outcome() else {
                    states[0] += 1;
                    continue;
                };
                states[if state == State::Completed { 1 } else { 2 }] += 1;
                times.push(at - ORDERED);
                parts.push(world.seen.exposed * 1_000 / world.seen.all);
                broken += usize::from(!world.seen.broken.is_empty());
            }
            times.sort_unstable();
            parts.sort_unstable();
            println!(
                "{size} at {rate}, {fault:?}: none, completed, rolled back {states:?}; ms {:?} {:?}; exposed, in thousandths {:?} {:?}; broken {broken}",
                times.get(times.len() / 2),
                times.last(),
                parts.get(parts.len() / 2),
                parts.last(),
            );
        }
    }
}

fn check_bad(seed: u64, size: usize, rate: f64, fault: Fault) {
    let world = play(seed, size, rate, fault, Trouble::None);
    let state = world.outcome().map(|it| it.1);
    let case = format!("seed {seed}, {fault:?}, {size} instances at {rate}");
    assert_eq!(
        state,
        Some(State::RolledBack),
        "{case}: {:?}",
        world.seen.states
    );
    assert!(
        world.seen.broken.is_empty(),
        "{case}: {:?}",
        world.seen.broken
    );
}

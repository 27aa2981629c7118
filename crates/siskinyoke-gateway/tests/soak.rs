//! Randomized soak tests: seeds 0 and 1 in a fleet of one shard, seed 0 in a fleet of two shards,
//! or the seeds given by `SEEDS=FROM..TO`. `SOAK_LOGS` names a directory in which the instances' logs
//! are kept.

use std::ops::Range;
use std::path::Path;

use siskinyoke_soak::run;
use siskinyoke_soak::run::FleetSize;

/// Regression seeds, each with the failure it guards against.
///
/// 541: a rollout back to the old version was ordered and withdrawn, which left no endpoint.
const REGRESSION_SEEDS: [u64; 1] = [541];

/// A regression seed with all steps: an instance without links received responses to other requests.
const LOST_LINKS_SEED: u64 = 15;

#[test]
fn guarantees_hold_under_overlapping_faults() {
    let mut seeds = seeds(0..2);
    if !seeds.contains(&LOST_LINKS_SEED) {
        seeds.push(LOST_LINKS_SEED);
    }
    check_seeds(&seeds, FleetSize::ONE_SHARD);
}

// As above, but most instances get the store's changes from a peer, which may freeze, die or lose
// its connection to the store.
#[test]
fn guarantees_hold_where_one_instance_watches_for_others() {
    check_seeds(&seeds(0..1), FleetSize::TWO_SHARDS);
}

// The seeds play the steps with which they failed.
#[test]
fn regression_seeds_find_no_violation() {
    for size in [FleetSize::ONE_SHARD, FleetSize::TWO_SHARDS] {
        let size = FleetSize {
            endpoint_steps: false,
            store_steps: false,
            link_steps: false,
            chat_endpoints: 0,
            ..size
        };
        check_seeds(&REGRESSION_SEEDS, size);
    }
}

fn check_seeds(seeds: &[u64], size: FleetSize) {
    let program = Path::new(env!("CARGO_BIN_EXE_siskinyoke-gateway"));
    let mut violations = Vec::new();
    for &seed in seeds {
        let report = run::run_seed(seed, program, size);
        println!(
            "seed {seed}: {} requests served, {} not served, {} of {} streams went on, {} rollout \
             states, {} crashes",
            report.served,
            report.unserved,
            report.went_on,
            report.resumed,
            report.rollout_statuses,
            report.crashes
        );
        assert!(report.served > 0, "seed {seed}: no request was served");
        violations.extend(
            report
                .violations
                .iter()
                .map(|it| format!("seed {seed}: {it}")),
        );
    }
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}

fn seeds(default: Range<u64>) -> Vec<u64> {
    let Ok(text) = std::env::var("SEEDS") else {
        return default.collect();
    };
    let (from, to) = text
        .split_once("..")
        .expect("SEEDS must have the form FROM..TO");
    let parse = |it: &str| it.parse::<u64>().expect("SEEDS must contain two numbers");
    (parse(from)..parse(to)).collect()
}

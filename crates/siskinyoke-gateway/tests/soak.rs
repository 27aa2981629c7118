//! The randomized soak: seeds 0 and 1, or those that `SEEDS=FROM..TO` names.

use std::path::Path;

use siskinyoke_soak::run;

/// Seeds that failed once, each with its cause.
const FAILED: [u64; 0] = [];

#[test]
fn promises_hold_under_overlapping_faults() {
    let program = Path::new(env!("CARGO_BIN_EXE_siskinyoke-gateway"));
    let mut broken = Vec::new();
    for seed in seeds() {
        let verdict = run::play(seed, program);
        println!(
            "seed {seed}: {} served, {} otherwise",
            verdict.good, verdict.other
        );
        assert!(verdict.good > 0, "seed {seed} served nothing");
        broken.extend(verdict.broken.iter().map(|it| format!("seed {seed}: {it}")));
    }
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

fn seeds() -> Vec<u64> {
    let Ok(text) = std::env::var("SEEDS") else {
        return (0..2).chain(FAILED).collect();
    };
    let (from, to) = text.split_once("..").expect("SEEDS is FROM..TO");
    let number = |it: &str| it.parse::<u64>().expect("SEEDS holds two numbers");
    (number(from)..number(to)).collect()
}

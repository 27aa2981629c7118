//! Loads played against a small model of an engine: what callers get.
//!
//! The engines are unlike, a third of them four times as slow, and requests differ a hundredfold in prompt and
//! output. Each bound is what callers were promised, and each figure was measured by the test itself.

#![expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "small figures of a test"
)]

#[path = "../common/mod.rs"]
mod common;
mod engine;
mod world;

use crate::world::Class;
use crate::world::End;
use crate::world::Job;
use crate::world::World;

/// Six engines, two of them slow: 48 usual places and 24 slow ones.
const PACES: [f64; 6] = [1.0, 1.0, 1.0, 1.0, 4.4, 4.4];

/// Drafts from long prompts, and short classifications behind them: some half of the places.
const CLASSES: [Class; 2] = [
    Class {
        priority: 0,
        rate: 6.0,
        prompt: (3_500.0, 1.2),
        output: (200.0, 1.0),
    },
    Class {
        priority: 1,
        rate: 9.0,
        prompt: (500.0, 0.8),
        output: (150.0, 1.0),
    },
];

/// How often the usual rate comes in a peak: more than all places can serve.
const PEAK: f64 = 3.5;

fn served(job: &Job) -> bool {
    matches!(job.end, End::InTime | End::LateFirst | End::LatePause)
}

fn played(seed: u64, window: f64) -> World {
    let mut world = World::new(seed, &CLASSES, &PACES);
    world.play(5_000, 1.0);
    world.play(15_000, window);
    world.play(15_000, 0.0);
    world
}

// A coordinator's draft comes late on a calm day, though engines idle: its long prompt went to a slow one, or
// held up the answers beside it, or was given up while it was read.
// In time before work was told apart by its tokens: 0.93 of the drafts; now 0.99.
#[test]
fn a_calm_day_is_served_in_time() {
    for seed in 0..4 {
        let world = played(seed, 1.0);
        for class in 0..CLASSES.len() {
            let good = world.part(class, |job| job.end == End::InTime);
            assert!(good >= 0.95, "kind {class}, seed {seed}: {good}");
        }
    }
}

// An engine that reads a long prompt says nothing for a while. Held against the mean of its service, it is
// given up when half is read, and the next one begins anew.
#[test]
fn no_sound_engine_is_given_up_while_it_reads() {
    for seed in 0..4 {
        let world = played(seed, 1.0);
        let given_up = world.jobs.iter().filter(|job| job.given_up > 0).count();
        assert!(given_up * 200 <= world.jobs.len(), "{given_up}");
    }
}

// An engine takes requests and answers none. Its callers leave a stream that is silent for three seconds;
// another engine needs a part of that.
#[test]
fn a_dark_engine_is_left_in_time_for_another() {
    let mut world = World::new(1, &CLASSES, &PACES);
    world.play(5_000, 1.0);
    world.engines[0].dark = true;
    world.play(5_000, 1.0);
    assert!(world.jobs.iter().any(|job| job.given_up > 0));
    assert!(world.longest <= 2_000, "{} ms", world.longest);
}

// Many come at once. If drafts wait first come first served, each one served is late and makes the next one
// late too, while the places serve the last tier between them.
#[test]
fn in_a_peak_the_top_tier_is_in_time_first() {
    for seed in 0..4 {
        let world = played(seed, PEAK);
        let good = world.part(0, |job| job.end == End::InTime);
        let late = world.part(0, |job| job.end == End::LateFirst);
        assert!(good >= 0.6, "seed {seed}: in time {good}");
        assert!(late <= good / 2.0, "seed {seed}: late {late}");
        let last = world.part(1, served);
        assert!(last <= world.part(0, served), "seed {seed}: {last}");
    }
}

// Short work first serves more callers; carried too far, nobody with a long draft is ever served in a peak.
#[test]
fn long_work_is_not_starved_in_a_peak() {
    for seed in 0..4 {
        let world = played(seed, PEAK);
        let mut outputs: Vec<u32> = world.jobs.iter().map(|job| job.output).collect();
        outputs.sort_unstable();
        let long = outputs[outputs.len() * 9 / 10];
        let all = world.part(0, served);
        let theirs = world.part(0, |job| job.output >= long && served(job));
        let share = world.part(0, |job| job.output >= long);
        assert!(
            theirs / share >= all / 2.0,
            "seed {seed}: {} of {all}",
            theirs / share
        );
    }
}

// The last tier has no chance in a peak. Held for three seconds before it was told so, its callers lost the
// time in which they could have tried elsewhere.
#[test]
fn what_has_no_chance_is_told_so_at_once() {
    for seed in 0..4 {
        let world = played(seed, PEAK);
        let refused: Vec<&Job> = world
            .jobs
            .iter()
            .filter(|job| job.end == End::Refused)
            .collect();
        assert!(refused.len() > 20, "seed {seed}: no window");
        let held = refused.iter().filter(|job| job.held > 800).count();
        assert!(
            held * 10 <= refused.len(),
            "seed {seed}: {held} of {}",
            refused.len()
        );
    }
}

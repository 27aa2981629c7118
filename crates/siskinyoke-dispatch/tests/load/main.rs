//! Service quality for callers, simulated with a simplified engine.
//!
//! A third of the engines are over four times as slow as the others, and requests differ a
//! hundredfold in prompt and output tokens. The bounds are those promised to callers.

#![expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "the simulated values are small"
)]

#[path = "../common/mod.rs"]
mod common;
mod engine;
mod world;

use crate::world::Job;
use crate::world::JobOutcome;
use crate::world::RequestClass;
use crate::world::World;

/// Six engines, two of them slow: 48 slots of usual speed and 24 slow ones.
const ENGINE_SLOWDOWN_FACTORS: [f64; 6] = [1.0, 1.0, 1.0, 1.0, 4.4, 4.4];

/// Drafts from long prompts, and short classifications of lower priority; at the usual rate they
/// occupy about half of the slots.
const REQUEST_CLASSES: [RequestClass; 2] = [
    RequestClass {
        priority: 0,
        rate: 6.0,
        prompt: (3_500.0, 1.2),
        output: (200.0, 1.0),
    },
    RequestClass {
        priority: 1,
        rate: 9.0,
        prompt: (500.0, 0.8),
        output: (150.0, 1.0),
    },
];

/// The multiple of the usual request rate in a peak: more than all slots can serve.
const PEAK_LOAD_FACTOR: f64 = 3.5;

/// A third of the engines three times as fast as the others, as where two generations of hardware
/// serve side by side.
const MIXED_SLOWDOWN_FACTORS: [f64; 6] = [1.0, 1.0, 3.0, 3.0, 3.0, 3.0];

/// Short drafts, and chats of lower priority that need up to the whole of their callers' time at the
/// slower engines.
const MIXED_REQUEST_CLASSES: [RequestClass; 2] = [
    RequestClass {
        priority: 0,
        rate: 10.0,
        prompt: (1_500.0, 0.8),
        output: (60.0, 0.8),
    },
    RequestClass {
        priority: 1,
        rate: 10.0,
        prompt: (500.0, 0.8),
        output: (220.0, 1.0),
    },
];

/// The multiple of the usual request rate in a sustained overload.
const SUSTAINED_LOAD_FACTOR: f64 = 2.5;

/// The smallest share of the long requests that is served, as a multiple of that of all requests of
/// their class.
const MIN_LONG_RATIO: f64 = 0.8;

fn served(job: &Job) -> bool {
    matches!(
        job.outcome,
        JobOutcome::InTime | JobOutcome::LateFirstPart | JobOutcome::LongPause
    )
}

fn simulated(seed: u64, load_factor: f64) -> World {
    let mut world = World::new(seed, &REQUEST_CLASSES, &ENGINE_SLOWDOWN_FACTORS);
    world.simulate(5_000, 1.0);
    world.simulate(15_000, load_factor);
    world.simulate(15_000, 0.0);
    world
}

// Guards against late drafts at the usual load while engines idle: a long prompt went to a slow
// engine, delayed the responses beside it, or was abandoned during prefill. Without regard to token
// counts 0.93 of the drafts are in time, with it 0.99.
#[test]
fn the_usual_load_is_served_in_time() {
    for seed in 0..4 {
        let world = simulated(seed, 1.0);
        for class in 0..REQUEST_CLASSES.len() {
            let in_time = world.fraction(class, |job| job.outcome == JobOutcome::InTime);
            assert!(
                in_time >= 0.95,
                "class {class}, seed {seed}: {in_time} in time"
            );
        }
    }
}

// An engine sends nothing while it prefills a long prompt. Guards against a stall timeout by the
// mean of the service, which abandons the attempt halfway through and starts over at the next
// engine.
#[test]
fn no_healthy_engine_is_abandoned_during_prefill() {
    for seed in 0..4 {
        let world = simulated(seed, 1.0);
        let abandoned = world.jobs.iter().filter(|job| job.abandoned > 0).count();
        assert!(
            abandoned * 200 <= world.jobs.len(),
            "seed {seed}: {abandoned} jobs abandoned"
        );
    }
}

// An engine accepts requests without responding. Callers abandon a stream after three seconds
// without an event, and another engine needs part of that time.
#[test]
fn an_unresponsive_engine_is_abandoned_in_time_for_another() {
    let mut world = World::new(1, &REQUEST_CLASSES, &ENGINE_SLOWDOWN_FACTORS);
    world.simulate(5_000, 1.0);
    world.engines[0].unresponsive = true;
    world.simulate(5_000, 1.0);
    assert!(world.jobs.iter().any(|job| job.abandoned > 0));
    assert!(world.longest_stall <= 2_000, "{} ms", world.longest_stall);
}

// Guards against first-come-first-served queueing of drafts in a peak: every draft that is served
// is late and delays the next one, while slots that become free meanwhile go to the lowest
// priority.
#[test]
fn in_a_peak_the_highest_priority_is_served_in_time_first() {
    for seed in 0..4 {
        let world = simulated(seed, PEAK_LOAD_FACTOR);
        let in_time = world.fraction(0, |job| job.outcome == JobOutcome::InTime);
        let late = world.fraction(0, |job| job.outcome == JobOutcome::LateFirstPart);
        assert!(in_time >= 0.6, "seed {seed}: in time {in_time}");
        assert!(late <= in_time / 2.0, "seed {seed}: late {late}");
        let low_priority = world.fraction(1, served);
        assert!(
            low_priority <= world.fraction(0, served),
            "seed {seed}: {low_priority} of the lowest priority served"
        );
    }
}

// Serving short requests first serves more callers. Guards against starving long drafts in a peak
// by this order.
#[test]
fn long_requests_are_not_starved_in_a_peak() {
    for seed in 0..4 {
        let world = simulated(seed, PEAK_LOAD_FACTOR);
        let mut outputs: Vec<u32> = world.jobs.iter().map(|job| job.output).collect();
        outputs.sort_unstable();
        let long = outputs[outputs.len() * 9 / 10];
        let all = world.fraction(0, served);
        let served_long = world.fraction(0, |job| job.output >= long && served(job));
        let long_fraction = world.fraction(0, |job| job.output >= long);
        assert!(
            served_long / long_fraction >= all / 2.0,
            "seed {seed}: {} of the long requests served, {all} of all",
            served_long / long_fraction
        );
    }
}

// Requests of the lowest priority have no chance of being served in a peak. Guards against refusing
// them only after three seconds, in which their callers could have tried elsewhere.
#[test]
fn requests_without_a_chance_are_refused_at_once() {
    for seed in 0..4 {
        let world = simulated(seed, PEAK_LOAD_FACTOR);
        let refused: Vec<&Job> = world
            .jobs
            .iter()
            .filter(|job| job.outcome == JobOutcome::Refused)
            .collect();
        assert!(refused.len() > 20, "seed {seed}: no overload");
        let queued = refused.iter().filter(|job| job.queued > 800).count();
        assert!(
            queued * 10 <= refused.len(),
            "seed {seed}: {queued} of {} refused only after 800 ms",
            refused.len()
        );
    }
}

// Guards against losses of long requests in queue order, admission, placement and retries that add
// up: refused more often than others, and sent where they cannot complete before their deadline.
#[test]
fn long_requests_are_served_like_others_under_sustained_overload() {
    for seed in 0..4 {
        let mut world = World::new(seed, &MIXED_REQUEST_CLASSES, &MIXED_SLOWDOWN_FACTORS)
            .with_caller_retries(1);
        world.simulate(5_000, 1.0);
        world.simulate(60_000, SUSTAINED_LOAD_FACTOR);
        world.simulate(15_000, 0.0);
        for class in 0..MIXED_REQUEST_CLASSES.len() {
            let all = world.fraction(class, served);
            let bands = [(0.7, 0.9), (0.9, 1.0)];
            let ratios = bands.map(|band| world.band_fraction(class, band, served) / all);
            assert!(
                ratios.iter().all(|ratio| *ratio >= MIN_LONG_RATIO),
                "seed {seed}, class {class}: {all} served, long requests {ratios:?} as often"
            );
        }
    }
}

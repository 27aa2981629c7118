//! The most that any policy could reach on a load: capacity over work, the first tiers first.
//!
//! Per second, all endpoints give so many answer tokens in full batches and compute so many prompt
//! tokens, less while one is slow or frozen. For every window of whole seconds the work of a tier
//! and those before it that arrives in it has to fit into the window and the longest of its needs
//! behind it; the largest part that fits no window is out of reach for the last of these tiers.
//! A request holds its slot while its prompt is computed too: that time counts as the answer tokens
//! that the slot does not give meanwhile, at the ratio of the endpoint where it costs least.
//! Prompts count only as far as no earlier request shares their blocks. A policy that picks the
//! smallest requests can pass this bound by some hundredths; none can beat it by capacity.

use std::collections::BTreeSet;

use crate::convert;
use crate::load::Load;
use crate::load::SPAN;
use crate::request::BLOCK;
use crate::request::Request;
use crate::site::Site;
use siskinyoke_base::ModelId;

/// Seconds looked at: the span of arrivals and the longest need.
const SECONDS: usize = 110;

/// Prompt tokens that cost a slot as much time as one answer token in a full batch: prompts run a
/// hundred times as fast as one answer alone, and sixteen neighbours slow it to a part of 1.6.
const PROMPT_COST: f64 = 160.0;

/// Returns the part of each tier's requests for `target` that could be answered in time.
pub fn reachable(site: &Site, load: &Load, requests: &[Request], target: &ModelId) -> Vec<f64> {
    let ranks = requests
        .iter()
        .map(|request| request.rank)
        .max()
        .unwrap_or(0);
    let (decode, prefill) = capacity(site, load, target);
    let mut parts = Vec::new();
    let mut missed_before = 0.0;
    for rank in 0..=ranks {
        let work = Work::of(requests, rank, target);
        let own = Work::of_one(requests, rank, target);
        let by_output = work.missed(&work.output, &decode);
        let by_prompt = work.missed(&work.prompt, &prefill);
        let by_slots = work.missed(&work.slots(), &decode);
        let missed = by_output.max(by_prompt).max(by_slots);
        let extra = (missed - missed_before).max(0.0);
        missed_before = missed.max(missed_before);
        let all: f64 = work.output.iter().sum();
        let this: f64 = own.output.iter().sum();
        let lost = if this > 0.0 { extra * all / this } else { 0.0 };
        parts.push((1.0 - lost).clamp(0.0, 1.0));
    }
    parts
}

/// Work by the second of its arrival.
struct Work {
    output: Vec<f64>,
    prompt: Vec<f64>,
    need: usize,
}

impl Work {
    fn of(requests: &[Request], rank: u8, target: &ModelId) -> Self {
        Self::sum(requests, target, |request| request.rank <= rank)
    }

    fn of_one(requests: &[Request], rank: u8, target: &ModelId) -> Self {
        Self::sum(requests, target, |request| request.rank == rank)
    }

    fn sum(requests: &[Request], target: &ModelId, fits: impl Fn(&Request) -> bool) -> Self {
        let mut work = Self {
            output: vec![0.0; SECONDS],
            prompt: vec![0.0; SECONDS],
            need: 0,
        };
        let mut seen = BTreeSet::new();
        for request in requests {
            if request.target != *target || !fits(request) {
                continue;
            }
            let second = convert::index(request.arrived.as_secs());
            let known = request
                .prefix
                .iter()
                .filter(|digest| !seen.insert(**digest));
            let shared = convert::number(known.count()) * f64::from(BLOCK);
            work.output[second] += f64::from(request.output);
            work.prompt[second] += f64::from(request.prompt) - shared;
            let need = convert::index(request.need.as_secs().ceil());
            work.need = work.need.max(need);
        }
        work
    }

    /// Returns answer tokens with those that slots do not give while they compute prompts.
    fn slots(&self) -> Vec<f64> {
        let both = self.output.iter().zip(&self.prompt);
        both.map(|(output, prompt)| output + prompt / PROMPT_COST)
            .collect()
    }

    /// Returns the part of all work that fits no window.
    fn missed(&self, work: &[f64], capacity: &[f64]) -> f64 {
        let all: f64 = work.iter().sum();
        if all <= 0.0 {
            return 0.0;
        }
        let span = convert::index(SPAN.as_secs());
        let mut most: f64 = 0.0;
        for from in 0..span {
            let mut sum = 0.0;
            let mut room: f64 = capacity[from..(from + self.need).min(SECONDS)].iter().sum();
            for (second, arrived) in work.iter().enumerate().take(span).skip(from) {
                sum += arrived;
                room += capacity.get(second + self.need).copied().unwrap_or(0.0);
                most = most.max(sum - room);
            }
        }
        most / all
    }
}

/// Returns answer and prompt tokens of all endpoints, second by second.
fn capacity(site: &Site, load: &Load, target: &ModelId) -> (Vec<f64>, Vec<f64>) {
    let mut decode = vec![0.0; SECONDS];
    let mut prefill = vec![0.0; SECONDS];
    for (number, engine) in site.engines.iter().enumerate() {
        if !engine.endpoint.targets.contains(target) {
            continue;
        }
        for second in 0..SECONDS {
            let factor = factor(load, number, second);
            decode[second] += engine.decode() * factor;
            prefill[second] += f64::from(engine.endpoint.prefill) * factor;
        }
    }
    (decode, prefill)
}

fn factor(load: &Load, number: usize, second: usize) -> f64 {
    let changes = load.changes.iter();
    let mut found = changes.filter(|(engine, from, to, _)| {
        let at = convert::number(second);
        *engine == number && at >= from.as_secs() && at < to.as_secs()
    });
    found.next().map_or(1.0, |(_, _, _, factor)| *factor)
}

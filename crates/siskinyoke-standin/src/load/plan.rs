//! Draws what is sent and when, before anything is sent.

use std::fmt::Write as _;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::file::CallerProfile;
use super::file::LoadFile;
use super::file::Phase;
use siskinyoke_base::Millis;

/// Characters that count as one token of a prompt.
const CHARS_PER_TOKEN: usize = 4;

/// Microseconds of a millisecond.
const MICROS_PER_MILLI: f64 = 1000.0;

/// One request to be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedRequest {
    /// When it is due, in microseconds from the start.
    pub due_micros: u64,
    /// Number of its phase.
    pub phase: usize,
    /// Number of its kind of work.
    pub caller: usize,
    /// A number that picks the address.
    pub address_draw: usize,
    /// Name of the request.
    pub request_id: String,
    /// The content that is its own.
    pub content: String,
    /// Words of the answer that is asked for.
    pub output_tokens: u32,
    /// Whether it streams.
    pub stream: bool,
}

/// Draws all requests of a load in the order in which they are due.
///
/// Arrivals are independent of one another and of answers: a slow system meets the same load as a
/// fast one, so that its delays show in the figures and do not thin out what is measured.
pub fn plan(load: &LoadFile) -> Vec<PlannedRequest> {
    let mut rng = ChaCha8Rng::seed_from_u64(load.seed);
    let mut requests = Vec::new();
    let mut start = Millis::ZERO;
    for (index, phase) in load.phases.iter().enumerate() {
        let end = start + phase.duration;
        let mut at = to_micros(start);
        loop {
            at += arrival_gap_micros(&mut rng, phase.rate);
            if at >= to_micros(end) || requests.len() >= load.max_requests {
                break;
            }
            requests.push(planned_request(&mut rng, load, index, phase, at));
        }
        start = end;
    }
    requests
}

/// Returns the beginning that the prompts of one kind of work share.
pub fn shared_prefix(profile: &CallerProfile) -> String {
    pad_to_tokens(
        &format!("{} asks. ", profile.name),
        profile.prefix,
        "common ",
    )
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "times are positive and far below 2^52 microseconds"
)]
fn planned_request(
    rng: &mut ChaCha8Rng,
    load: &LoadFile,
    index: usize,
    phase: &Phase,
    at: f64,
) -> PlannedRequest {
    let caller = draw_caller(rng, load, phase);
    let profile = &load.callers[caller];
    let name = format!("{:016x}", rng.random::<u64>());
    let tokens = rng.random_range(profile.prompt[0]..=profile.prompt[1]);
    PlannedRequest {
        due_micros: at as u64,
        phase: index,
        caller,
        address_draw: rng.random::<u32>() as usize,
        content: pad_to_tokens(&format!("{name} "), tokens, "own "),
        request_id: name,
        output_tokens: rng.random_range(profile.output[0]..=profile.output[1]),
        stream: rng.random_bool(profile.stream),
    }
}

fn draw_caller(rng: &mut ChaCha8Rng, load: &LoadFile, phase: &Phase) -> usize {
    let eligible =
        |profile: &CallerProfile| phase.callers.is_empty() || phase.callers.contains(&profile.name);
    let profiles = || {
        load.callers
            .iter()
            .enumerate()
            .filter(|(_, profile)| eligible(profile))
    };
    let total_weight: f64 = profiles().map(|(_, profile)| profile.weight).sum();
    let mut remaining = rng.random::<f64>() * total_weight;
    let mut last = 0;
    for (index, profile) in profiles() {
        last = index;
        remaining -= profile.weight;
        if remaining < 0.0 {
            break;
        }
    }
    last
}

/// Draws the time to the next arrival in microseconds; never, if there is no rate.
fn arrival_gap_micros(rng: &mut ChaCha8Rng, rate: f64) -> f64 {
    if rate == 0.0 {
        return f64::INFINITY;
    }
    let uniform: f64 = rng.random();
    -(1.0 - uniform).ln() / rate * MICROS_PER_MILLI * MICROS_PER_MILLI
}

#[expect(clippy::cast_precision_loss, reason = "spans stay far below 2^52 ms")]
fn to_micros(at: Millis) -> f64 {
    at.0 as f64 * MICROS_PER_MILLI
}

/// Fills a text up to a number of tokens; a text that has more keeps its own.
fn pad_to_tokens(text_start: &str, tokens: u32, word: &str) -> String {
    let mut text = String::new();
    let length = usize::try_from(tokens).unwrap_or(usize::MAX) * CHARS_PER_TOKEN;
    if length == 0 {
        return text;
    }
    text.push_str(text_start);
    while text.len() < length {
        // Writing to a string cannot fail.
        let _ = write!(text, "{word}");
    }
    text
}

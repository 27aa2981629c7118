//! Generates the requests and their send times before a run starts.

use std::fmt::Write as _;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::file::CallerProfile;
use super::file::LoadFile;
use super::file::Phase;
use siskinyoke_base::Millis;

/// Bytes of a prompt that count as one token.
const BYTES_PER_TOKEN: usize = 4;

/// Microseconds per millisecond.
const MICROS_PER_MILLI: f64 = 1000.0;

/// A request to be sent at a fixed time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedRequest {
    /// Send time in microseconds since the start of the run.
    pub due_micros: u64,
    /// Index of its phase.
    pub phase: usize,
    /// Index of its caller profile.
    pub caller: usize,
    /// Random number that selects the target address.
    pub address_draw: usize,
    /// Unique id of the request.
    pub request_id: String,
    /// Content of the user message, unique to the request.
    pub content: String,
    /// Requested length of the completion, in tokens.
    pub output_tokens: u32,
    /// Whether the response is streamed.
    pub stream: bool,
}

/// Generates all requests of a load in order of their send times.
///
/// Arrivals form a Poisson process that is independent of responses: a slow system receives the
/// same load as a fast one, so its delays appear in the latencies instead of reducing the number
/// of samples.
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

/// Returns the prefix that all prompts of a caller share.
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

/// Draws the time to the next arrival in microseconds; infinite at rate 0.
fn arrival_gap_micros(rng: &mut ChaCha8Rng, rate: f64) -> f64 {
    if rate == 0.0 {
        return f64::INFINITY;
    }
    let uniform: f64 = rng.random();
    -(1.0 - uniform).ln() / rate * MICROS_PER_MILLI * MICROS_PER_MILLI
}

#[expect(
    clippy::cast_precision_loss,
    reason = "durations stay far below 2^52 ms"
)]
fn to_micros(at: Millis) -> f64 {
    at.0 as f64 * MICROS_PER_MILLI
}

/// Appends `word` until the text has at least the given tokens; the text itself is not truncated.
fn pad_to_tokens(text_start: &str, tokens: u32, word: &str) -> String {
    let mut text = String::new();
    let length = usize::try_from(tokens).unwrap_or(usize::MAX) * BYTES_PER_TOKEN;
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

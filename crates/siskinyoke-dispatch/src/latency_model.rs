//! How long requests of one service take, as this instance sees it.

use crate::TokenCounts;
use crate::regression::LinearRegression;
use siskinyoke_base::Millis;

/// How much a new observation counts in a running mean.
///
/// A twentieth follows the last twenty requests of an instance, about a second under load.
const MEAN_WEIGHT: f64 = 0.05;

/// The time on an endpoint that is assumed before any was seen, in ms.
const INITIAL_SERVICE_TIME_MS: f64 = 200.0;

/// The time to the first part that is assumed before any was seen, in ms: of no prompt, and of a
/// long one of so many tokens.
const INITIAL_FIRST_PART_MS: [(f64, f64); 2] = [(0.0, 50.0), (5_000.0, 100.0)];

/// The time between two parts of an answer that is assumed before any was seen, in ms.
const INITIAL_PART_INTERVAL_MS: f64 = 20.0;

/// How far the longest pause follows one beyond it, and falls with one below.
///
/// In balance, one in thirty lies beyond.
const PAUSE_RISE_RATIO: f64 = 0.25;
const PAUSE_FALL_RATIO: f64 = 0.005;

/// The parts that a token of output makes, assumed before any was seen: engines send several tokens
/// in one part.
const INITIAL_PARTS_PER_TOKEN: f64 = 0.2;

/// How long requests of one service take, as this instance sees it.
///
/// Requests of one service differ a hundredfold in prompt and output. One mean for all of them cuts
/// long prompts off while they are read and is wrong about
/// every wait; so each request's own time is worked out from its tokens.
#[derive(Debug, Clone, Copy)]
pub struct LatencyModel {
    service_time: f64,
    first_part: LinearRegression,
    part_interval: f64,
    // The pause between two parts that only one in thirty answers goes beyond.
    long_pause: f64,
    // Means of the parts that answers had, and of the tokens that had been expected of them.
    mean_parts: f64,
    mean_tokens: f64,
}

impl Default for LatencyModel {
    fn default() -> Self {
        Self {
            service_time: INITIAL_SERVICE_TIME_MS,
            first_part: LinearRegression::through(
                INITIAL_FIRST_PART_MS[0],
                INITIAL_FIRST_PART_MS[1],
            ),
            part_interval: INITIAL_PART_INTERVAL_MS,
            long_pause: INITIAL_PART_INTERVAL_MS,
            mean_parts: INITIAL_PARTS_PER_TOKEN,
            mean_tokens: 1.0,
        }
    }
}

impl LatencyModel {
    /// Takes note that the first part of an answer came after this time.
    pub fn record_first_part(&mut self, work: &TokenCounts, first: Millis) {
        self.first_part.record(work.prompt, millis_to_f64(first));
    }

    /// Takes note of a finished stay whose answer had so many parts.
    pub fn record_completion(
        &mut self,
        work: &TokenCounts,
        first: Millis,
        took: Millis,
        parts: u32,
    ) {
        self.service_time += (millis_to_f64(took) - self.service_time) * MEAN_WEIGHT;
        if parts > 1 {
            let piece = millis_to_f64(took.since(first)) / f64::from(parts - 1);
            self.part_interval += (piece - self.part_interval) * MEAN_WEIGHT;
        }
        if work.output > 0.0 && parts > 0 {
            self.mean_parts += (f64::from(parts) - self.mean_parts) * MEAN_WEIGHT;
            self.mean_tokens += (work.output - self.mean_tokens) * MEAN_WEIGHT;
        }
    }

    /// Takes note of the longest pause in an answer, as it would be at the usual pace.
    pub fn record_pause(&mut self, pause: f64) {
        if pause > self.long_pause {
            self.long_pause += (pause - self.long_pause) * PAUSE_RISE_RATIO;
        } else {
            self.long_pause -= self.long_pause * PAUSE_FALL_RATIO;
        }
    }

    /// Returns how long the answers at an endpoint of the usual pace pause while it reads so many tokens.
    ///
    /// Engines put parts of the answers that they write between those of the prompts that they read; so the
    /// pause grows with the prompt, up to the longest that is seen.
    pub fn expected_pause(&self, prompt: f64) -> f64 {
        (self.part_interval + self.first_part.slope() * prompt).min(self.long_pause)
    }

    /// Returns the usual time on an endpoint.
    pub fn mean_service_time(&self) -> Millis {
        millis_from_f64(self.service_time)
    }

    /// Returns the expected time to the first part of a request's answer.
    pub fn first_part_time(&self, work: &TokenCounts) -> Millis {
        millis_from_f64(self.first_part.predict(work.prompt))
    }

    /// Returns the expected time between the first and the last part of an answer of so many parts.
    pub fn remaining_time(&self, parts: f64) -> Millis {
        millis_from_f64(self.part_interval * (parts - 1.0).max(0.0))
    }

    /// Returns the expected time of a request on an endpoint.
    pub fn service_time_of(&self, work: &TokenCounts) -> Millis {
        self.first_part_time(work) + self.remaining_time(self.expected_parts(work))
    }

    /// Returns the expected parts of an answer.
    pub fn expected_parts(&self, work: &TokenCounts) -> f64 {
        work.output * self.mean_parts / self.mean_tokens
    }
}

#[expect(
    clippy::cast_possible_truncation,
    reason = "spans stay far below 2^52 ms"
)]
#[expect(clippy::cast_sign_loss, reason = "means of positive values")]
pub(crate) fn millis_from_f64(value: f64) -> Millis {
    Millis(value.max(0.0) as u64)
}

/// Returns a span in ms as a number to reckon with.
pub(crate) fn millis_to_f64(span: Millis) -> f64 {
    span.as_secs() * 1000.0
}

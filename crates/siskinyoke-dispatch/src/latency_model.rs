//! Model of the latency of a service's requests, as observed by this instance.
//!
//! A streamed response arrives in parts, each of which holds one or more output tokens.

use crate::TokenCounts;
use crate::endpoint_speed::EndpointSpeed;
use crate::regression::LinearRegression;
use siskinyoke_base::Millis;

/// The weight of a new observation in an exponential moving average.
///
/// A twentieth averages over about the last twenty requests of an instance, a second under load.
const MEAN_WEIGHT: f64 = 0.05;

/// The service time that is assumed before the first observation.
const INITIAL_SERVICE_TIME_MS: f64 = 200.0;

/// The time to the first part that is assumed before the first observation: two pairs of prompt
/// tokens and ms.
const INITIAL_FIRST_PART_MS: [(f64, f64); 2] = [(0.0, 50.0), (5_000.0, 100.0)];

/// The interval between two parts that is assumed before the first observation.
const INITIAL_PART_INTERVAL_MS: f64 = 20.0;

/// How far the long pause moves towards an observation above it, as a share of the difference.
///
/// Together with the fall, it settles where one pause in thirty lies above it.
const PAUSE_RISE_RATIO: f64 = 0.25;

/// How far the long pause falls with an observation below it, as a share of itself.
const PAUSE_FALL_RATIO: f64 = 0.005;

/// What is left of the longest service time with each further response.
const LONG_SERVICE_TIME_DECAY: f64 = 0.995;

/// The weight of a new observation in the mean of the parts per output token, which is a property of
/// the service and hardly changes.
const RATIO_WEIGHT: f64 = 0.02;

/// The number of parts per output token that is assumed before the first observation: engines send
/// several tokens in one part.
const INITIAL_PARTS_PER_TOKEN: f64 = 0.2;

/// Model of the latency of a service's requests, as observed by this instance.
///
/// Requests of one service differ a hundredfold in their prompt and output tokens. A single mean
/// would time out long prompts while the endpoint still processes them, and would make every wait
/// estimate wrong. Each request's latency is therefore estimated from its token counts.
#[derive(Debug, Clone, Copy)]
pub struct LatencyModel {
    service_time: f64,
    first_part: LinearRegression,
    part_interval: f64,
    // The pause between two parts that one response in thirty exceeds.
    long_pause: f64,
    // The mean logarithm of the parts per output token that had been expected.
    log_parts_per_token: f64,
    // The longest of the last service times, if there was one.
    long_service_time: Option<f64>,
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
            log_parts_per_token: INITIAL_PARTS_PER_TOKEN.ln(),
            long_service_time: None,
        }
    }
}

impl LatencyModel {
    /// Records the time to the first part of a response.
    pub fn record_first_part(&mut self, tokens: &TokenCounts, time: Millis) {
        self.first_part.record(tokens.prompt, millis_to_f64(time));
    }

    /// Records a complete response: the times to its first part and to its end, and its parts.
    pub fn record_completion(
        &mut self,
        tokens: &TokenCounts,
        first_latency: Millis,
        total: Millis,
        parts: u32,
    ) {
        let total_ms = millis_to_f64(total);
        let before = self.long_service_time.unwrap_or(0.0) * LONG_SERVICE_TIME_DECAY;
        self.long_service_time = Some(total_ms.max(before));
        self.service_time += (millis_to_f64(total) - self.service_time) * MEAN_WEIGHT;
        if parts > 1 {
            let interval = millis_to_f64(total.since(first_latency)) / f64::from(parts - 1);
            self.part_interval += (interval - self.part_interval) * MEAN_WEIGHT;
        }
        if tokens.output > 0.0 && parts > 0 {
            let log_ratio = (f64::from(parts) / tokens.output).ln();
            self.log_parts_per_token += (log_ratio - self.log_parts_per_token) * RATIO_WEIGHT;
        }
    }

    /// Records the longest pause in a response, divided by the speed factor of its endpoint.
    pub fn record_pause(&mut self, pause: f64) {
        if pause > self.long_pause {
            self.long_pause += (pause - self.long_pause) * PAUSE_RISE_RATIO;
        } else {
            self.long_pause -= self.long_pause * PAUSE_FALL_RATIO;
        }
    }

    /// Returns how long responses at an endpoint with a speed factor of 1 pause while it processes
    /// a prompt.
    ///
    /// Engines interleave prompt processing with output generation, so the pause grows with the
    /// prompt, up to the long pause observed.
    pub fn expected_pause(&self, prompt_tokens: f64) -> f64 {
        (self.part_interval + self.first_part.slope() * prompt_tokens).min(self.long_pause)
    }

    /// Returns the service time that few of the last responses exceeded, if there were any.
    pub fn long_service_time(&self) -> Option<Millis> {
        self.long_service_time.map(millis_from_f64)
    }

    /// Returns the mean service time.
    pub fn mean_service_time(&self) -> Millis {
        millis_from_f64(self.service_time)
    }

    /// Returns the expected time to the first part of a request's response.
    pub fn first_part_time(&self, tokens: &TokenCounts) -> Millis {
        millis_from_f64(self.first_part.predict(tokens.prompt))
    }

    /// Returns the expected time between the first and the last part of a response.
    pub fn remaining_time(&self, parts: f64) -> Millis {
        millis_from_f64(self.part_interval * (parts - 1.0).max(0.0))
    }

    /// Returns the expected service time of a request.
    pub fn service_time_of(&self, tokens: &TokenCounts) -> Millis {
        self.first_part_time(tokens) + self.remaining_time(self.expected_parts(tokens))
    }

    /// Returns the expected service time of a request at an endpoint, in ms.
    pub fn service_time_at(&self, tokens: &TokenCounts, speed: EndpointSpeed) -> f64 {
        let interval = speed
            .part_interval
            .unwrap_or(self.part_interval * speed.factor);
        let further_parts = (self.expected_parts(tokens) - 1.0).max(0.0);
        self.first_part.predict(tokens.prompt) * speed.factor + interval * further_parts
    }

    /// Returns the expected number of parts of a request's response: as many as half of such responses
    /// have.
    ///
    /// The ratio of parts to expected tokens is averaged by its logarithm. In a ratio of means, a single
    /// response of a hundred times the usual length would outweigh all others.
    pub fn expected_parts(&self, tokens: &TokenCounts) -> f64 {
        tokens.output * self.log_parts_per_token.exp()
    }
}

#[expect(
    clippy::cast_possible_truncation,
    reason = "durations stay far below 2^52 ms"
)]
#[expect(clippy::cast_sign_loss, reason = "clamped to zero")]
pub(crate) fn millis_from_f64(value: f64) -> Millis {
    Millis(value.max(0.0) as u64)
}

/// Returns a duration in ms as a floating-point number.
pub(crate) fn millis_to_f64(duration: Millis) -> f64 {
    duration.as_secs() * 1000.0
}

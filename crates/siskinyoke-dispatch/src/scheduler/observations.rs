//! Observations of responses: latencies of services and speeds of endpoints.

use super::Scheduler;
use crate::EndpointKey;
use crate::ScheduledRequest;
use crate::latency_model::millis_to_f64;
use siskinyoke_base::Millis;

/// The number of parts that a response must exceed for its timing to show the endpoint's speed.
///
/// Fewer parts arrive together, or are delayed by a single prompt that is processed at the same
/// time.
const MIN_PARTS_FOR_SPEED: u32 = 4;

impl Scheduler {
    // Records the time to the first part of a response.
    pub(super) fn record_first_part(
        &mut self,
        key: EndpointKey,
        request: &ScheduledRequest,
        first_latency: Millis,
    ) {
        let latency = self.latencies.entry(request.service.clone()).or_default();
        self.selector
            .record_speed(key, first_latency, latency.first_part_time(&request.tokens));
        latency.record_first_part(&request.tokens, first_latency);
    }

    // Records the time from the first to the last part of a response, and its longest pause.
    pub(super) fn record_remaining_parts(
        &mut self,
        key: EndpointKey,
        request: &ScheduledRequest,
        remaining: Millis,
        parts: u32,
        longest_pause: Millis,
    ) {
        if parts <= MIN_PARTS_FOR_SPEED {
            return;
        }
        let latency = self.latencies.entry(request.service.clone()).or_default();
        self.selector
            .record_speed(key, remaining, latency.remaining_time(f64::from(parts)));
        self.selector
            .record_part_interval(key, millis_to_f64(remaining) / f64::from(parts - 1));
        let pause_ms = millis_to_f64(longest_pause);
        self.selector
            .record_stall(key, request.route.misses_gap_target(pause_ms));
        latency.record_pause(pause_ms / self.selector.speed_factor(key));
    }

    // Subtracts the prompt tokens of a request that the endpoint has processed or no longer has to.
    pub(super) fn remove_prefill_tokens(&mut self, key: EndpointKey, request: &ScheduledRequest) {
        if let Some(row) = self.in_flight.get_mut(&key) {
            row.prefill_tokens = row
                .prefill_tokens
                .saturating_sub(request.tokens.prompt_tokens());
        }
    }
}

//! What answers tell of their endpoints and of their service.

use super::Scheduler;
use crate::EndpointKey;
use crate::ScheduledRequest;
use crate::latency_model::millis_to_f64;
use siskinyoke_base::Millis;

/// Parts of an answer beyond which their pauses tell the endpoint's pace.
///
/// Fewer come together, or with the pauses of one prompt that is read beside them.
const MIN_PARTS_FOR_SPEED: u32 = 4;

impl Scheduler {
    pub(super) fn record_first_part(
        &mut self,
        key: EndpointKey,
        pending: &ScheduledRequest,
        first: Millis,
    ) {
        let load = self.latencies.entry(pending.service.clone()).or_default();
        self.selector
            .record_speed(key, first, load.first_part_time(&pending.tokens));
        load.record_first_part(&pending.tokens, first);
    }

    pub(super) fn record_remaining_parts(
        &mut self,
        key: EndpointKey,
        pending: &ScheduledRequest,
        rest: Millis,
        parts: u32,
        pause: Millis,
    ) {
        if parts <= MIN_PARTS_FOR_SPEED {
            return;
        }
        let load = self.latencies.entry(pending.service.clone()).or_default();
        self.selector
            .record_speed(key, rest, load.remaining_time(f64::from(parts)));
        self.selector
            .record_stall(key, pause > pending.route.gap_target);
        load.record_pause(millis_to_f64(pause) / self.selector.speed_factor(key));
    }

    // The prompt of a request at an endpoint is read, or no longer to be read.
    pub(super) fn remove_prefill_tokens(&mut self, key: EndpointKey, pending: &ScheduledRequest) {
        if let Some(busy) = self.in_flight.get_mut(&key) {
            busy.prefill_tokens = busy
                .prefill_tokens
                .saturating_sub(pending.tokens.prompt_tokens());
        }
    }
}

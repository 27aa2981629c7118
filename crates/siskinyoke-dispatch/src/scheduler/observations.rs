//! What answers tell of their endpoints and of their service.

use super::Scheduler;
use crate::EndpointKey;
use crate::Pending;
use crate::latency_model::float;
use siskinyoke_base::Millis;

/// Parts of an answer beyond which their pauses tell the endpoint's pace.
///
/// Fewer come together, or with the pauses of one prompt that is read beside them.
const FEW: u32 = 4;

impl Scheduler {
    pub(super) fn saw_first(&mut self, key: EndpointKey, pending: &Pending, first: Millis) {
        let load = self.loads.entry(pending.service.clone()).or_default();
        self.placing.paced(key, first, load.first_of(&pending.work));
        load.began(&pending.work, first);
    }

    pub(super) fn saw_rest(
        &mut self,
        key: EndpointKey,
        pending: &Pending,
        rest: Millis,
        parts: u32,
        pause: Millis,
    ) {
        if parts <= FEW {
            return;
        }
        let load = self.loads.entry(pending.service.clone()).or_default();
        self.placing.paced(key, rest, load.rest(f64::from(parts)));
        self.placing.paused(key, pause > pending.route.max_gap);
        load.paused(float(pause) / self.placing.pace(key));
    }

    // The prompt of a request at an endpoint is read, or no longer to be read.
    pub(super) fn read(&mut self, key: EndpointKey, pending: &Pending) {
        if let Some(busy) = self.counts.get_mut(&key) {
            busy.prefill_tokens = busy.prefill_tokens.saturating_sub(pending.work.unread());
        }
    }
}

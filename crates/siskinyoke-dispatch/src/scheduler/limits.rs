//! What the rate limits of endpoints mean for requests that are to be placed.

use super::Scheduler;
use crate::Endpoint;
use crate::EndpointKey;
use crate::load::Load;
use crate::load::float;
use crate::rate_limits::LimitChange;
use crate::rate_limits::RateLimits;
use crate::report::LimitRow;
use siskinyoke_base::Millis;

const MS_PER_S: f64 = 1_000.0;

impl Scheduler {
    /// Returns the rate limits that are known.
    pub fn limits(&self) -> &RateLimits {
        &self.limits
    }

    /// Takes in an answer of an endpoint to a request that was sent at `sent`, with the limit that it names.
    pub fn limit(&mut self, now: Millis, key: EndpointKey, sent: Millis, rate: Option<f64>) {
        match rate {
            Some(rate) => self.limits.named(now, key, rate),
            None => self.limits.unnamed(now, key, sent),
        }
    }

    /// Takes in the limits that a peer knows.
    pub fn hear_limits(&mut self, now: Millis, rows: &[LimitRow]) {
        self.limits.heard(now, rows);
    }

    /// Returns the limits that were named, changed or lifted since this was last asked.
    pub fn limit_changes(&mut self) -> Vec<LimitChange> {
        self.limits.changes()
    }

    // The slots of an endpoint, each counted by its pace, of which a limit leaves as many as it keeps busy.
    pub(super) fn capacity(&self, endpoint: &Endpoint, load: &Load) -> f64 {
        let key = endpoint.key();
        let slots = f64::from(endpoint.slots) / self.placing.pace(key);
        let limit = self.limits.throughput(key);
        limit.map_or(slots, |rate| {
            slots.min(rate * float(load.stay()) / MS_PER_S)
        })
    }
}

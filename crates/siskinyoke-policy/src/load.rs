//! What a tier's work asks of a target's endpoints.

use crate::rate::Rate;
use siskinyoke_base::Millis;

/// Work offered of late, let in or not: a tier that is refused asks for as much as before.
#[derive(Debug)]
pub(crate) struct Load {
    count: Rate,
    seconds: Rate,
}

impl Default for Load {
    fn default() -> Self {
        Self {
            count: Rate::steady(),
            seconds: Rate::steady(),
        }
    }
}

impl Load {
    /// Adds a request by its expected seconds on an endpoint.
    pub(crate) fn add(&mut self, now: Millis, service: f64) {
        self.count.add(now, 1.0);
        self.seconds.add(now, service);
    }

    /// Returns the slots that it would fill on average.
    pub(crate) fn slots(&self, now: Millis) -> f64 {
        self.seconds.value(now)
    }

    /// Returns the average expected seconds of a request.
    pub(crate) fn service(&self, now: Millis) -> f64 {
        self.seconds.value(now) / self.count.value(now).max(f64::MIN_POSITIVE)
    }
}

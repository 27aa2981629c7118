//! A rate over the last seconds, so that estimates follow a burst within a second or two.

use crate::units;
use siskinyoke_base::Millis;

/// Half-life of past amounts: short enough to see a burst within the shortest need (2 s), long
/// enough to hold some tens of arrivals at today's rates.
const HALF: Millis = Millis::from_secs(2);

/// An amount a second, with the past fading.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Rate {
    sum: f64,
    seen: Millis,
}

impl Rate {
    /// Adds an amount.
    pub(crate) fn add(&mut self, now: Millis, amount: f64) {
        self.sum = self.faded(now) + amount;
        self.seen = now;
    }

    /// Returns the amount a second.
    pub(crate) fn value(&self, now: Millis) -> f64 {
        self.faded(now) * std::f64::consts::LN_2 / HALF.as_secs()
    }

    fn faded(&self, now: Millis) -> f64 {
        self.sum * units::decay(now.since(self.seen), HALF)
    }
}

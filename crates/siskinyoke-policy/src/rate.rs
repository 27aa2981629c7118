//! A rate over the last seconds, so that estimates follow a burst within a second or two.

use crate::units;
use siskinyoke_base::Millis;

/// Half-life of past amounts: short enough to see a burst within the shortest need (2 s), long
/// enough to hold some tens of arrivals at today's rates.
const HALF: Millis = Millis::from_secs(2);

/// Half-life of rates by which capacity is shared: longer than most work stays on an endpoint, as
/// shares that follow each swing shrink below what runs, and nothing urgent can start there.
const STEADY: Millis = Millis::from_secs(15);

/// The shortest time over which a rate is taken, against a first request that looks like a burst.
const LEAST: Millis = Millis::from_secs(1);

/// An amount a second, with the past fading.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Rate {
    sum: f64,
    seen: Millis,
    half: Millis,
    start: Option<Millis>,
}

impl Default for Rate {
    fn default() -> Self {
        Self {
            sum: 0.0,
            seen: Millis::ZERO,
            half: HALF,
            start: None,
        }
    }
}

impl Rate {
    /// Makes a rate that follows slowly.
    pub(crate) fn steady() -> Self {
        Self {
            half: STEADY,
            ..Self::default()
        }
    }

    /// Adds an amount.
    pub(crate) fn add(&mut self, now: Millis, amount: f64) {
        self.start.get_or_insert(now);
        self.sum = self.faded(now) + amount;
        self.seen = now;
    }

    /// Returns the amount a second.
    ///
    /// A rate that was begun a moment ago is taken over that moment alone: over its whole span a
    /// new daemon would believe for half a minute that little arrives, and let in too much.
    pub(crate) fn value(&self, now: Millis) -> f64 {
        let Some(start) = self.start else {
            return 0.0;
        };
        let watched = now.since(start).max(LEAST);
        let part = 1.0 - units::decay(watched, self.half);
        self.faded(now) * std::f64::consts::LN_2 / self.half.as_secs() / part
    }

    fn faded(&self, now: Millis) -> f64 {
        self.sum * units::decay(now.since(self.seen), self.half)
    }
}

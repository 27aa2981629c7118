//! Learned speed of one endpoint for one target.
//!
//! Load pattern: unlike engines, one of which turns four times slower without saying so. Without
//! this, work goes on to an endpoint that can no longer finish it in time, since configured
//! speeds stay what they were. Observed times are held as a ratio to the configured ones, so a
//! sample of any length teaches about work of every other length.

use crate::units;
use siskinyoke_base::Millis;

/// Weight of a new sample: some ten samples (about a second of work) change the view.
const GAIN: f64 = 0.2;

/// Half-life of a bad ratio while nothing is sent: an endpoint found slow is tried again after
/// some tens of seconds, neither forgotten for good nor tried by every request.
const FORGET: Millis = Millis::from_secs(10);

/// Bounds of a ratio: one outlier may not close an endpoint for minutes.
const BOUNDS: (f64, f64) = (0.1, 40.0);

/// How much longer than configured an endpoint takes.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Speed {
    first: f64,
    rest: f64,
    seen: Millis,
}

impl Speed {
    /// Starts at the configured speed.
    pub(crate) fn new(now: Millis) -> Self {
        Self {
            first: 1.0,
            rest: 1.0,
            seen: now,
        }
    }

    /// Returns the ratio for the first piece.
    pub(crate) fn first(&self, now: Millis) -> f64 {
        self.faded(now, self.first)
    }

    /// Returns the ratio for the answer behind the first piece.
    pub(crate) fn rest(&self, now: Millis) -> f64 {
        self.faded(now, self.rest)
    }

    /// Learns from the time of a first piece.
    pub(crate) fn learn_first(&mut self, now: Millis, ratio: f64) {
        self.first = self.blend(now, self.first(now), ratio);
        self.seen = now;
    }

    /// Learns from the time behind a first piece.
    pub(crate) fn learn_rest(&mut self, now: Millis, ratio: f64) {
        self.rest = self.blend(now, self.rest(now), ratio);
        self.seen = now;
    }

    fn blend(&self, now: Millis, old: f64, ratio: f64) -> f64 {
        let stale = 1.0 - units::decay(now.since(self.seen), FORGET);
        let gain = GAIN.max(stale);
        let sample = ratio.clamp(BOUNDS.0, BOUNDS.1);
        old + gain * (sample - old)
    }

    fn faded(&self, now: Millis, ratio: f64) -> f64 {
        if ratio <= 1.0 {
            return ratio;
        }
        1.0 + (ratio - 1.0) * units::decay(now.since(self.seen), FORGET)
    }
}

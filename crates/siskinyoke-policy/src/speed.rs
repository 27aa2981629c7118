//! Learned speed of one endpoint for one target.
//!
//! Load pattern: unlike engines, one of which turns four times slower without saying so. Without
//! this, work goes on to an endpoint that can no longer finish it in time, since configured
//! speeds stay what they were. The time to a first piece is learned as a ratio to the configured
//! time plus a delay: a slow endpoint stretches every prompt, while other instances' prompts hold
//! up a short one as long as a long one. With a ratio alone, a short prompt that waited a second
//! behind a long one would make the endpoint look thirty times slower for every prompt.

use crate::units;
use siskinyoke_base::Millis;

/// Weight of a new sample: some ten samples (about a second of work) change the view.
const GAIN: f64 = 0.2;

/// Half-life of a bad ratio while nothing is sent: an endpoint found slow is tried again after
/// some tens of seconds, neither forgotten for good nor tried by every request.
const FORGET: Millis = Millis::from_secs(10);

/// Bounds of a ratio: one outlier may not close an endpoint for minutes.
const BOUNDS: (f64, f64) = (0.1, 40.0);

/// Seconds of prompt at which a surprise is put down to ratio and delay alike; shorter prompts
/// teach mostly about the delay. It is the time of a usual prompt on a usual endpoint.
const EVEN: f64 = 0.3;

/// How much longer than configured an endpoint takes.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Speed {
    ratio: f64,
    delay: f64,
    rest: f64,
    seen: Millis,
}

impl Speed {
    /// Starts at the configured speed.
    pub(crate) fn new(now: Millis) -> Self {
        Self {
            ratio: 1.0,
            delay: 0.0,
            rest: 1.0,
            seen: now,
        }
    }

    /// Returns the seconds to the first piece of work that should take `plan`.
    pub(crate) fn first(&self, now: Millis, plan: f64) -> f64 {
        let kept = units::decay(now.since(self.seen), FORGET);
        plan * faded(self.ratio, kept) + self.delay * kept
    }

    /// Returns the ratio for the answer behind the first piece.
    pub(crate) fn rest(&self, now: Millis) -> f64 {
        faded(self.rest, units::decay(now.since(self.seen), FORGET))
    }

    /// Learns that the first piece of work that should take `plan` took `took` seconds.
    pub(crate) fn learn_first(&mut self, now: Millis, plan: f64, took: f64) {
        let surprise = took - self.first(now, plan);
        let gain = self.gain(now);
        let kept = units::decay(now.since(self.seen), FORGET);
        let (by_plan, by_delay) = (plan * plan, EVEN * EVEN);
        let step = gain * surprise / (by_plan + by_delay);
        self.ratio = (faded(self.ratio, kept) + step * plan).clamp(BOUNDS.0, BOUNDS.1);
        self.delay = (self.delay * kept + step * by_delay).max(0.0);
        self.rest = faded(self.rest, kept);
        self.seen = now;
    }

    /// Learns from the time behind a first piece.
    pub(crate) fn learn_rest(&mut self, now: Millis, ratio: f64) {
        let sample = ratio.clamp(BOUNDS.0, BOUNDS.1);
        let gain = self.gain(now);
        let kept = units::decay(now.since(self.seen), FORGET);
        let old = faded(self.rest, kept);
        self.rest = old + gain * (sample - old);
        self.ratio = faded(self.ratio, kept);
        self.delay *= kept;
        self.seen = now;
    }

    /// Returns the weight of a sample: the longer nothing was seen, the more it counts.
    fn gain(&self, now: Millis) -> f64 {
        GAIN.max(1.0 - units::decay(now.since(self.seen), FORGET))
    }
}

/// Moves a bad ratio back towards the configured speed, as far as it is no longer kept.
fn faded(ratio: f64, kept: f64) -> f64 {
    if ratio <= 1.0 {
        return ratio;
    }
    1.0 + (ratio - 1.0) * kept
}

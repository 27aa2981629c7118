//! Learned length of answers against what callers allow.
//!
//! Load pattern: callers name the most tokens that an answer may take, and answers end sooner.
//! Without this every time on an endpoint is taken too long, and work is refused that would have
//! been in time.

use crate::Work;
use crate::queue::LaneKey;
use siskinyoke_base::Map;

/// Weight of a new answer: some thirty answers change the view, as lengths spread widely.
const GAIN: f64 = 0.03;

/// Bounds of one answer's ratio, as services may report no tokens or more than were allowed.
const BOUNDS: (f64, f64) = (0.05, 2.0);

/// Ratios of true to allowed tokens, by tier and target.
#[derive(Debug, Default)]
pub(crate) struct Lengths {
    ratios: Map<LaneKey, f64>,
}

impl Lengths {
    /// Returns the tokens that an answer will probably take.
    pub(crate) fn guess(&self, work: &Work) -> f64 {
        let ratio = self.ratios.get(&LaneKey::of(work)).copied().unwrap_or(1.0);
        f64::from(work.output) * ratio
    }

    /// Learns the tokens that an answer took.
    pub(crate) fn learn(&mut self, work: &Work, output: u32) {
        let sample = f64::from(output) / f64::from(work.output.max(1));
        let sample = sample.clamp(BOUNDS.0, BOUNDS.1);
        let ratio = self.ratios.entry(LaneKey::of(work)).or_insert(1.0);
        *ratio += GAIN * (sample - *ratio);
    }
}

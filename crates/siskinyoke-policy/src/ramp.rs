//! The preset in force, with its shares moving at a bounded speed.
//!
//! Load pattern: operators switch the preset at the peak. Without a bound the whole load of a
//! tier moves within one poll: a queue of seconds is evicted or a herd let in. Shares move by at
//! most `shift` a second, and what waits is never refused because of the switch.

use crate::PresetSpec;
use crate::TierWeights;
use siskinyoke_base::Millis;

/// Waiting requests allowed before any preset is known.
const USUAL_QUEUE: u32 = 256;

/// Shares by tier on their way to those of the preset in force.
#[derive(Debug)]
pub(crate) struct Ramp {
    target: Option<PresetSpec>,
    now: Vec<Shares>,
    seen: Millis,
}

#[derive(Debug, Clone, Copy)]
struct Shares {
    reserve: f64,
    open: f64,
}

impl Ramp {
    /// Starts with every tier open and nothing kept.
    pub(crate) fn new() -> Self {
        Self {
            target: None,
            now: Vec::new(),
            seen: Millis::ZERO,
        }
    }

    /// Sets the preset to move to; the first one holds at once.
    pub(crate) fn set(&mut self, now: Millis, preset: &PresetSpec) {
        self.advance(now);
        let first = self.target.is_none();
        self.target = Some(preset.clone());
        if first {
            self.now = preset.tiers.iter().map(Shares::of).collect();
        }
        self.seen = now;
    }

    /// Moves the shares on to `now`.
    pub(crate) fn advance(&mut self, now: Millis) {
        let Some(target) = &self.target else {
            return;
        };
        let step = target.shift * now.since(self.seen).as_secs();
        self.seen = now;
        let len = self.now.len().max(target.tiers.len());
        self.now.resize(len, Shares::OPEN);
        for (shares, rank) in self.now.iter_mut().zip(0..) {
            let goal = target.tiers.get(rank).map_or(Shares::OPEN, Shares::of);
            shares.reserve = approach(shares.reserve, goal.reserve, step);
            shares.open = approach(shares.open, goal.open, step);
        }
    }

    /// Returns the share of slots that a rank may fill.
    pub(crate) fn usable(&self, rank: u8) -> f64 {
        let above = self.now.iter().take(usize::from(rank));
        let kept: f64 = above.map(|shares| shares.reserve).sum();
        (1.0 - kept).clamp(0.0, 1.0)
    }

    /// Returns the part of a rank's requests that is let in.
    pub(crate) fn open(&self, rank: u8) -> f64 {
        self.now
            .get(usize::from(rank))
            .map_or(1.0, |shares| shares.open)
    }

    /// Returns the largest part that is let in of a rank or any later one.
    pub(crate) fn open_from(&self, rank: u8) -> f64 {
        let from = usize::from(rank).min(self.now.len());
        let later = self.now[from..].iter().map(|shares| shares.open);
        later.reduce(f64::max).unwrap_or(1.0)
    }

    /// Returns the most requests that may wait.
    pub(crate) fn queue(&self) -> u32 {
        self.target
            .as_ref()
            .map_or(USUAL_QUEUE, |target| target.queue)
    }

    /// Returns how much wasted prefill weighs, from 0 to 1.
    pub(crate) fn prefill_weight(&self) -> f64 {
        self.target
            .as_ref()
            .map_or(0.5, |target| target.prefill_weight.clamp(0.0, 1.0))
    }

    /// Counts the ranks that the preset names.
    pub(crate) fn ranks(&self) -> usize {
        self.now.len()
    }
}

impl Shares {
    const OPEN: Self = Self {
        reserve: 0.0,
        open: 1.0,
    };

    fn of(weights: &TierWeights) -> Self {
        Self {
            reserve: weights.reserve,
            open: if weights.open { 1.0 } else { 0.0 },
        }
    }
}

fn approach(value: f64, goal: f64, step: f64) -> f64 {
    value + (goal - value).clamp(-step, step)
}

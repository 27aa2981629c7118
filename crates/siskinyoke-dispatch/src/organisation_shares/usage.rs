//! Slot time of one organisation at one service, decaying with age.

use crate::decay;
use crate::latency_model::millis_to_f64;
use siskinyoke_base::Millis;

/// The time constant with which slot time decays.
///
/// Long enough to average over several requests of a small organisation, and shorter than a load
/// peak, which lasts a few seconds.
pub const DECAY_TIME: Millis = Millis(2_000);

/// Slot time of one organisation at one service, in ms, decaying with age.
#[derive(Debug, Default, Clone, Copy)]
pub struct Usage {
    updated_at: Millis,
    /// The slot time that its requests have used.
    pub used: f64,
    /// The slot time that its requests asked for, refused ones included.
    pub offered: f64,
}

impl Usage {
    /// Returns the values at a time.
    #[must_use]
    pub fn at(self, now: Millis) -> Self {
        let factor = remaining_ratio(now.since(self.updated_at));
        Self {
            updated_at: now,
            used: self.used * factor,
            offered: self.offered * factor,
        }
    }

    /// Adds slot time; corrections are negative.
    pub fn add(&mut self, now: Millis, used: f64, offered: f64) {
        let current = self.at(now);
        *self = Self {
            updated_at: now,
            used: (current.used + used).max(0.0),
            offered: (current.offered + offered).max(0.0),
        };
    }

    /// Multiplies the used slot time.
    pub fn scale_used(&mut self, now: Millis, factor: f64) {
        *self = self.at(now);
        self.used *= factor;
    }
}

/// Returns the part of slot time that is left at this age.
pub fn remaining_ratio(age: Millis) -> f64 {
    decay::remaining_ratio(age, DECAY_TIME)
}

/// Returns the number of slots that were busy on average if this slot time is left of them.
pub fn mean_slots(slot_time: f64) -> f64 {
    slot_time / millis_to_f64(DECAY_TIME)
}

//! This daemon's share of an endpoint's slots, by capacity lease or by a local fallback.
//!
//! Load pattern: several instances fill the same endpoints. Without a shared limit each believes
//! the endpoint free, all send to it, and work waits inside it where no tier is known.

use siskinyoke_base::Millis;

/// A share of slots.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Share {
    units: u32,
    until: Millis,
}

impl Share {
    /// Takes a capacity lease.
    pub(crate) fn grant(&mut self, units: u32, until: Millis) {
        self.units = units;
        self.until = until;
    }

    /// Returns the slots that may be used now.
    ///
    /// Without a lease each daemon keeps an equal part, and at least one slot: the sum may then
    /// pass the limit by less than one slot a daemon, which costs some speed and never a promise.
    pub(crate) fn limit(&self, now: Millis, slots: u32, instances: u32) -> u32 {
        if now < self.until {
            return self.units.min(slots);
        }
        (slots / instances.max(1)).max(1).min(slots)
    }
}

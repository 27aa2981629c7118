//! Weighted fair turns between organisations, by estimated tokens.
//!
//! Load pattern: one organisation sends most of the load. Without this, first come first served
//! gives it most of the slots and the small ones miss their needs. Each organisation's virtual
//! counter grows by the tokens dispatched for it, divided by its weight; the least counter is
//! next (the virtual token counter of LLM serving). Counters are kept apart by tier and target,
//! since a turn at one engine pool says nothing of another.

use std::collections::BTreeMap;

use siskinyoke_base::OrganisationId;

/// Counters kept before those that no longer matter are dropped; four times today's largest size
/// to come for the organisations active at once in one daemon.
const KEPT: usize = 1024;

/// Virtual token counters of one lane.
#[derive(Debug, Default)]
pub(crate) struct Turns {
    used: BTreeMap<OrganisationId, f64>,
    floor: f64,
}

impl Turns {
    /// Returns an organisation's counter; the least is next.
    ///
    /// No counter lies below the last one served: an organisation that was quiet for an hour
    /// would otherwise hold every slot until its counter has caught up.
    pub(crate) fn used(&self, id: &OrganisationId) -> f64 {
        let used = self.used.get(id).copied().unwrap_or_default();
        used.max(self.floor)
    }

    /// Charges an organisation of `weight` for work that is dispatched.
    pub(crate) fn charge(&mut self, id: &OrganisationId, weight: f64, tokens: f64) {
        let used = self.used(id);
        self.floor = used;
        self.used.insert(id.clone(), used + tokens / weight);
        if self.used.len() > KEPT {
            let floor = self.floor;
            self.used.retain(|_, used| *used > floor);
        }
    }
}

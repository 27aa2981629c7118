//! Shares of organisations against one another.

use std::collections::BTreeMap;

use siskinyoke_base::OrganisationId;

/// Weights by organisation; one that is not named weighs 1.
#[derive(Debug, Default)]
pub(crate) struct Weights {
    weights: BTreeMap<OrganisationId, u32>,
}

impl Weights {
    /// Sets an organisation's weight.
    pub(crate) fn set(&mut self, id: &OrganisationId, weight: u32) {
        self.weights.insert(id.clone(), weight.max(1));
    }

    /// Returns an organisation's weight.
    pub(crate) fn get(&self, id: &OrganisationId) -> f64 {
        f64::from(self.weights.get(id).copied().unwrap_or(1))
    }
}

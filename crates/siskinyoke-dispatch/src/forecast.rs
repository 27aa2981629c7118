//! How long a waiting request is expected to wait.

use crate::latency_model::millis_from_f64;
use siskinyoke_base::Millis;

/// The smallest part of the places that is taken to be left for a rank.
///
/// Demand is measured over seconds, so that a peak that ends now still counts; a twentieth keeps the
/// forecast finite, and far beyond what any caller waits.
const MIN_CAPACITY_RATIO: f64 = 0.05;

/// What the places of a service are up against.
///
/// More urgent requests go on arriving while one waits. Where they take nine tenths of the places, it waits
/// ten times as long as the queue before it suggests. Without that, requests of the last tiers are held for
/// seconds in a peak and refused then.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WaitForecast {
    /// Places, each counted by its endpoint's pace.
    pub capacity: f64,
    /// Places that the requests keep busy which go before this one and are still to arrive.
    pub future_demand: f64,
}

impl WaitForecast {
    /// Returns how long a request waits behind so much work, in ms of one place of the usual pace.
    pub fn wait(&self, queued_ms: f64) -> Millis {
        let available =
            (self.capacity - self.future_demand).max(self.capacity * MIN_CAPACITY_RATIO);
        millis_from_f64(queued_ms / available.max(MIN_CAPACITY_RATIO))
    }
}

//! Forecast of the time that a request waits in the queue.

use crate::latency_model::millis_from_f64;
use siskinyoke_base::Millis;

/// The smallest share of a service's capacity that is assumed to be available to a priority.
///
/// Demand is averaged over seconds and still includes a peak that has just ended. With a twentieth
/// the forecast stays finite, but far longer than any caller waits.
const MIN_CAPACITY_RATIO: f64 = 0.05;

/// The capacity of a service, and the demand that a waiting request competes with.
///
/// Requests of higher priority keep arriving while a request waits. If they take nine tenths of the
/// slots, it waits ten times as long as the queue ahead of it suggests. Without this, requests of
/// the lowest priorities are queued for seconds during a peak, and refused in the end.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WaitForecast {
    /// The number of slots, each divided by the speed factor of its endpoint.
    pub capacity: f64,
    /// Slots kept busy by requests that are still to arrive and go before this one.
    pub future_demand: f64,
}

impl WaitForecast {
    /// Returns the expected wait behind queued requests whose service times at a speed factor of 1
    /// add up to `queued_ms`.
    pub fn wait(&self, queued_ms: f64) -> Millis {
        let available =
            (self.capacity - self.future_demand).max(self.capacity * MIN_CAPACITY_RATIO);
        millis_from_f64(queued_ms / available.max(MIN_CAPACITY_RATIO))
    }
}

//! Demand for a service by queue order.

use std::collections::BTreeMap;

use crate::decay::remaining_ratio;
use crate::latency_model::millis_to_f64;
use crate::scheduled_request::QueueOrder;
use siskinyoke_base::Millis;

/// The time constant with which recorded work decays.
///
/// Long enough to smooth out bursts of arrivals, and shorter than a load peak, which lasts a few
/// seconds.
const DECAY_TIME: Millis = Millis(2_000);

/// Demand for a service by queue order, as the mean number of slots that it keeps busy.
#[derive(Debug, Clone, Default)]
pub struct Demand {
    // When the demand was last updated, and its value then.
    by_order: BTreeMap<QueueOrder, (Millis, f64)>,
}

impl Demand {
    /// Records the arrival of a request with the given service time.
    pub fn record(&mut self, now: Millis, order: QueueOrder, service_time: Millis) {
        let row = self.by_order.entry(order).or_insert((now, 0.0));
        *row = (
            now,
            decayed(*row, now) + millis_to_f64(service_time) / millis_to_f64(DECAY_TIME),
        );
    }

    /// Returns the demand that goes before a new request. Requests arrive before they are late, so
    /// that a late one also has the demand of its own priority before it.
    pub fn slots_before(&self, now: Millis, order: QueueOrder) -> f64 {
        let rows = self.by_order.range(..order);
        rows.map(|row| decayed(*row.1, now)).sum()
    }
}

fn decayed((updated_at, slots): (Millis, f64), now: Millis) -> f64 {
    slots * remaining_ratio(now.since(updated_at), DECAY_TIME)
}

//! Demand for a service by priority.

use std::collections::BTreeMap;

use crate::Priority;
use crate::latency_model::millis_to_f64;
use siskinyoke_base::Millis;

/// The time constant with which recorded work decays.
///
/// Long enough to smooth out bursts of arrivals, and shorter than a load peak, which lasts a few
/// seconds.
const DECAY_TIME: Millis = Millis(2_000);

/// Demand for a service by priority, as the mean number of slots that it keeps busy.
#[derive(Debug, Clone, Default)]
pub struct Demand {
    // When the demand was last updated, and its value then.
    by_priority: BTreeMap<Priority, (Millis, f64)>,
}

impl Demand {
    /// Records the arrival of a request with the given service time.
    pub fn record(&mut self, now: Millis, priority: Priority, service_time: Millis) {
        let row = self.by_priority.entry(priority).or_insert((now, 0.0));
        *row = (
            now,
            decayed(*row, now) + millis_to_f64(service_time) / millis_to_f64(DECAY_TIME),
        );
    }

    /// Returns the demand that goes before a new request: that of higher priorities, and of its own
    /// priority too if the request is late.
    pub fn slots_before(&self, now: Millis, priority: Priority, late: bool) -> f64 {
        let rows = self.by_priority.range(..=priority);
        let rows = rows.filter(|row| late || *row.0 < priority);
        rows.map(|row| decayed(*row.1, now)).sum()
    }
}

fn decayed((updated_at, slots): (Millis, f64), now: Millis) -> f64 {
    slots * (-millis_to_f64(now.since(updated_at)) / millis_to_f64(DECAY_TIME)).exp()
}

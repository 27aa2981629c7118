//! How much work is asked of a service, by rank.

use std::collections::BTreeMap;

use crate::Priority;
use crate::latency_model::millis_to_f64;
use siskinyoke_base::Millis;

/// How long work counts after it arrived.
///
/// Long enough to smooth the clumps in which requests come, and shorter than a peak, which lasts some
/// seconds.
const DECAY_TIME: Millis = Millis(2_000);

/// How much work is asked of a service, by rank, in places that it would keep busy.
#[derive(Debug, Clone, Default)]
pub struct Demand {
    by_priority: BTreeMap<Priority, (Millis, f64)>,
}

impl Demand {
    /// Takes note of a request that would take so long.
    pub fn record(&mut self, now: Millis, priority: Priority, service_time: Millis) {
        let row = self.by_priority.entry(priority).or_insert((now, 0.0));
        *row = (
            now,
            decayed(*row, now) + millis_to_f64(service_time) / millis_to_f64(DECAY_TIME),
        );
    }

    /// Returns the work of requests that go before a new one: of more urgent ranks, and of its own rank
    /// too if its answer will be late.
    pub fn slots_before(&self, now: Millis, rank: Priority, late: bool) -> f64 {
        let ranks = self.by_priority.range(..=rank);
        let ranks = ranks.filter(|row| late || *row.0 < rank);
        ranks.map(|row| decayed(*row.1, now)).sum()
    }
}

fn decayed((at, busy): (Millis, f64), now: Millis) -> f64 {
    busy * (-millis_to_f64(now.since(at)) / millis_to_f64(DECAY_TIME)).exp()
}

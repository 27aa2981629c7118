//! How many requests of one route arrived and were served, and their service time.

use crate::decay::remaining_ratio;
use crate::report::SizeShareRow;
use siskinyoke_base::Millis;

/// The time constant with which the counts decay.
///
/// Long enough for several of the longest requests, and shorter than most overloads.
const DECAY_TIME: Millis = Millis(8_000);

/// How many requests of one route arrived and were served, and the sums of their expected service
/// times in ms, decaying with age.
#[derive(Debug, Default, Clone, Copy)]
pub struct ServedWork {
    updated_at: Millis,
    offered: f64,
    served: f64,
    offered_time: f64,
    served_time: f64,
}

impl ServedWork {
    /// Returns the counts at a time.
    #[must_use]
    pub fn at(self, now: Millis) -> Self {
        let factor = remaining_ratio(now.since(self.updated_at), DECAY_TIME);
        Self {
            updated_at: now,
            offered: self.offered * factor,
            served: self.served * factor,
            offered_time: self.offered_time * factor,
            served_time: self.served_time * factor,
        }
    }

    /// Records that a request arrived.
    pub fn record_offered(&mut self, now: Millis, service_time: f64) {
        *self = self.at(now);
        self.offered += 1.0;
        self.offered_time += service_time;
    }

    /// Records that a request is being served.
    pub fn record_served(&mut self, now: Millis, service_time: f64) {
        *self = self.at(now);
        self.served += 1.0;
        self.served_time += service_time;
    }

    /// Records that a request that counted as served was not completed.
    pub fn record_lost(&mut self, now: Millis, service_time: f64) {
        *self = self.at(now);
        self.served = (self.served - 1.0).max(0.0);
        self.served_time = (self.served_time - service_time).max(0.0);
    }

    /// Adds the counts that a peer reports.
    pub fn add_row(&mut self, row: &SizeShareRow) {
        self.offered += f64::from(row.offered);
        self.served += f64::from(row.served);
        self.offered_time += f64::from(row.offered_time);
        self.served_time += f64::from(row.served_time);
    }

    /// Returns the row of a route for a report.
    #[expect(
        clippy::cast_possible_truncation,
        reason = "reports need no more precision"
    )]
    pub fn row(self, route: u32) -> SizeShareRow {
        SizeShareRow {
            route,
            offered: self.offered as f32,
            served: self.served as f32,
            offered_time: self.offered_time as f32,
            served_time: self.served_time as f32,
        }
    }

    /// Returns the number of requests that arrived.
    pub fn offered(self) -> f64 {
        self.offered
    }

    /// Returns the mean of their expected service times, in ms.
    pub fn mean_service_time(self) -> f64 {
        self.offered_time / self.offered
    }

    /// Returns how often requests are served that are weighted by their service times, as a multiple
    /// of how often they are served by number. It is 1 if long requests are served as often as others.
    pub fn long_ratio(self) -> f64 {
        let by_time = self.served_time * self.offered;
        let by_number = self.served * self.offered_time;
        if by_number > 0.0 {
            by_time / by_number
        } else {
            1.0
        }
    }
}

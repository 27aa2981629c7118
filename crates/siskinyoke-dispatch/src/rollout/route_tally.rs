//! Recent responses of both versions on one route, by second.

use std::collections::BTreeSet;
use std::collections::VecDeque;

use super::analysis::COUNT_STEPS_PER_UNIT;
use super::analysis::Counts;
use super::analysis::ResponseSample;
use crate::latency_model::millis_to_f64;
use crate::report::CanaryRow;
use siskinyoke_base::Millis;

/// The length of the slices in which responses of both versions are compared.
///
/// A slowdown that affects both versions begins within one slice, and a slice of a route under load
/// holds several responses of the stable version.
const SLICE_LENGTH: Millis = Millis::from_secs(1);

/// The number of slices that are kept; the oldest one has a twentieth of the newest one's weight.
const MAX_SLICES: usize = 18;

/// The time constant with which counts of either version decay.
const DECAY_TIME: Millis = Millis::from_secs(6);

/// The maximum number of endpoints with bad responses that are reported to peers.
const MAX_REPORTED_ENDPOINTS: usize = 4;

/// Recent responses of both versions on one route.
#[derive(Debug, Default)]
pub struct RouteTally {
    // The oldest slice comes first.
    slices: VecDeque<Slice>,
    bad_endpoints: BTreeSet<u32>,
}

// The responses of one period.
#[derive(Debug, Default, Clone, Copy)]
struct Slice {
    started_at: Millis,
    new: Counts,
    stable: Counts,
}

impl RouteTally {
    /// Counts a response.
    pub fn add(&mut self, now: Millis, sample: ResponseSample) {
        let slice = self.slice_at(now);
        let counts = if sample.new {
            &mut slice.new
        } else {
            &mut slice.stable
        };
        counts.total += 1.0;
        counts.bad += f64::from(u8::from(sample.bad));
        if sample.new && sample.bad && self.bad_endpoints.len() < MAX_REPORTED_ENDPOINTS {
            self.bad_endpoints.insert(sample.endpoint);
        }
    }

    /// Returns the counts as reported to peers.
    pub fn row(&self, now: Millis, route: u32) -> CanaryRow {
        let mut new = Counts::default();
        let mut stable = Counts::default();
        for slice in &self.slices {
            let factor = slice.remaining_weight(now);
            new.add(slice.new, factor);
            stable.add(slice.stable, factor);
        }
        CanaryRow {
            route,
            new: new.to_row(),
            stable: self.weighted(now, stable, new.total).to_row(),
            endpoints: self.bad_endpoints.iter().copied().collect(),
        }
    }

    // Returns the stable version's counts with its ratio of bad responses weighted like the new
    // version's responses over time.
    //
    // The share of the new version grows during a rollout. When all endpoints slow down, most of
    // its responses are therefore later than most of the stable version's, and would look worse.
    fn weighted(&self, now: Millis, stable: Counts, new_total: f64) -> Counts {
        let mut bad_ratio = 0.0;
        for (index, slice) in self.slices.iter().enumerate() {
            let factor = slice.remaining_weight(now);
            let weight = slice.new.total * factor / new_total;
            if weight > 0.0
                && let Some(nearest) = self.nearest_stable(index)
            {
                bad_ratio += weight * nearest.bad / nearest.total;
            }
        }
        if new_total > 0.0 {
            Counts {
                bad: stable.total * bad_ratio,
                ..stable
            }
        } else {
            stable
        }
    }

    // Returns the stable version's counts of a slice and, if there are none, of those around it.
    fn nearest_stable(&self, index: usize) -> Option<Counts> {
        (0..self.slices.len())
            .map(|radius| {
                let nearby = index.saturating_sub(radius)..=index + radius;
                let slices = nearby.filter_map(|it| self.slices.get(it));
                let mut sum = Counts::default();
                slices.for_each(|it| sum.add(it.stable, 1.0));
                sum
            })
            .find(|sum| sum.total > 0.0)
    }

    fn slice_at(&mut self, now: Millis) -> &mut Slice {
        let started_at = Millis(now.0 - now.0 % SLICE_LENGTH.0);
        if self
            .slices
            .back()
            .is_none_or(|it| it.started_at < started_at)
        {
            self.slices.push_back(Slice {
                started_at,
                ..Slice::default()
            });
        }
        if self.slices.len() > MAX_SLICES {
            self.slices.pop_front();
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }
}

impl Slice {
    // Returns the weight of its responses, which are taken to be as old as its middle.
    fn remaining_weight(&self, now: Millis) -> f64 {
        let age = now.since(self.started_at + Millis(SLICE_LENGTH.0 / 2));
        (-millis_to_f64(age) / millis_to_f64(DECAY_TIME)).exp()
    }
}

impl Counts {
    fn add(&mut self, other: Self, factor: f64) {
        self.total += other.total * factor;
        self.bad += other.bad * factor;
    }

    fn to_row(self) -> (u16, u16) {
        (to_steps(self.total), to_steps(self.bad))
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "clamped to the range of the field"
)]
fn to_steps(count: f64) -> u16 {
    (count * COUNT_STEPS_PER_UNIT).clamp(0.0, f64::from(u16::MAX)) as u16
}

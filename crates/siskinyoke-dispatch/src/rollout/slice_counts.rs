//! Responses of both versions in one slice of time.

use std::collections::BTreeSet;

use super::ResponseSample;
use crate::report::CanarySlice;

/// The maximum number of endpoints with bad responses that are counted by one instance.
const MAX_BAD_ENDPOINTS: usize = 4;

/// Responses, and how many of them were bad.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub(super) struct Counts {
    pub(super) total: u32,
    pub(super) bad: u32,
}

impl Counts {
    pub(super) fn bad_and_good(self) -> [f64; 2] {
        [self.bad, self.total.saturating_sub(self.bad)].map(f64::from)
    }

    pub(super) fn add(&mut self, other: Self) {
        self.total += other.total;
        self.bad += other.bad;
    }

    fn to_row(self) -> (u16, u16) {
        let limited = |count: u32| u16::try_from(count).unwrap_or(u16::MAX);
        (limited(self.total), limited(self.bad))
    }

    fn from_row(row: (u16, u16)) -> Self {
        Self {
            total: row.0.into(),
            bad: row.1.into(),
        }
    }
}

/// Responses of both versions in one slice of time.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub(super) struct SliceCounts {
    pub(super) new: Counts,
    pub(super) stable: Counts,
    /// Short keys of endpoints of the new version that gave bad responses.
    pub(super) bad_endpoints: BTreeSet<u32>,
}

impl SliceCounts {
    /// Counts a response.
    pub(super) fn add_sample(&mut self, sample: ResponseSample) {
        let counts = if sample.new {
            &mut self.new
        } else {
            &mut self.stable
        };
        counts.add(Counts {
            total: 1,
            bad: sample.bad.into(),
        });
        if sample.new && sample.bad && self.bad_endpoints.len() < MAX_BAD_ENDPOINTS {
            self.bad_endpoints.insert(sample.endpoint);
        }
    }

    /// Adds what was counted elsewhere.
    pub(super) fn add(&mut self, other: &Self) {
        self.new.add(other.new);
        self.stable.add(other.stable);
        self.bad_endpoints.extend(&other.bad_endpoints);
    }

    /// Returns the counts as reported to peers.
    pub(super) fn to_row(&self, number: u32, route: u32) -> CanarySlice {
        CanarySlice {
            number,
            route,
            new: self.new.to_row(),
            stable: self.stable.to_row(),
            endpoints: self.bad_endpoints.iter().copied().collect(),
        }
    }

    /// Returns the counts that a peer reports.
    pub(super) fn from_row(row: &CanarySlice) -> Self {
        Self {
            new: Counts::from_row(row.new),
            stable: Counts::from_row(row.stable),
            bad_endpoints: row.endpoints.iter().copied().collect(),
        }
    }
}

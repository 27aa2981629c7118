//! Recent responses of both versions, as counted by the instances of a shard.

use std::collections::BTreeMap;

use super::ResponseSample;
use super::analysis::Evidence;
use super::slice_counts::SliceCounts;
use crate::report::CanarySlice;

/// The number of slices that are kept.
const MAX_SLICES: u32 = 18;

/// The number of slices that are reported, the current one included.
///
/// A finished slice is reported for as long as one lasts, so single reports may be lost.
const REPORTED_SLICES: u32 = 2;

// A slice of the time since the order on one route, and the peer process that counted its
// responses; `None` stands for this instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct SliceKey {
    number: u32,
    route: u32,
    source: Option<u64>,
}

/// Recent responses of both versions by slice of time and route.
///
/// An instance alone sees too few responses of the stable version to compare with, so the counts of
/// all instances of the shard are added up before versions are compared.
#[derive(Debug, Default)]
pub struct ResponseTally {
    slices: BTreeMap<SliceKey, SliceCounts>,
}

impl ResponseTally {
    /// Counts a response in the current slice.
    pub fn add(&mut self, current: u32, sample: ResponseSample) {
        let key = SliceKey {
            number: current,
            route: sample.route,
            source: None,
        };
        self.slices.entry(key).or_default().add_sample(sample);
        self.remove_old(current);
    }

    /// Records what a peer has counted, and returns whether it has seen more bad responses of the
    /// new version.
    pub fn receive(&mut self, current: u32, source: u64, rows: &[CanarySlice]) -> bool {
        let mut more_bad = false;
        for row in rows.iter().filter(|it| it.number <= current + 1) {
            let key = SliceKey {
                number: row.number,
                route: row.route,
                source: Some(source),
            };
            let counts = SliceCounts::from_row(row);
            let bad = counts.new.bad;
            let previous = self.slices.insert(key, counts);
            more_bad |= bad > previous.map_or(0, |it| it.new.bad);
        }
        self.remove_old(current);
        more_bad
    }

    /// Returns this instance's counts as reported to peers.
    pub fn rows(&self, current: u32) -> Vec<CanarySlice> {
        let own = self.slices.iter().filter(|row| row.0.source.is_none());
        let recent = own.filter(|row| row.0.number + REPORTED_SLICES > current);
        recent
            .map(|(key, counts)| counts.to_row(key.number, key.route))
            .collect()
    }

    /// Returns whether the new version fails, on one route or over all.
    pub fn is_worse(&self) -> bool {
        let mut all = Evidence::default();
        let mut routes: BTreeMap<u32, Evidence> = BTreeMap::new();
        for sums in self.sums_by_slice().values() {
            let mut total = SliceCounts::default();
            for (route, counts) in sums {
                routes.entry(*route).or_default().add(counts);
                total.add(counts);
            }
            all.add(&total);
        }
        all.is_conclusive() || routes.values().any(Evidence::is_conclusive)
    }

    // Returns the counts of all instances together, by slice and route.
    fn sums_by_slice(&self) -> BTreeMap<u32, BTreeMap<u32, SliceCounts>> {
        let mut sums: BTreeMap<u32, BTreeMap<u32, SliceCounts>> = BTreeMap::new();
        for (key, counts) in &self.slices {
            let routes = sums.entry(key.number).or_default();
            routes.entry(key.route).or_default().add(counts);
        }
        sums
    }

    fn remove_old(&mut self, current: u32) {
        while let Some(first) = self.slices.first_entry()
            && first.key().number + MAX_SLICES <= current
        {
            first.remove();
        }
    }
}

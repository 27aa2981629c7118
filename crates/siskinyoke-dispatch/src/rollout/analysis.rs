//! Canary analysis: whether the new version is worse than the stable one.
//!
//! A sequential likelihood-ratio test compares the ratios of bad responses of both versions, in the
//! same seconds and on the same route. Faults, slow data centres and long prompts that affect both
//! versions therefore do not fail the new one.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::route_tally::RouteTally;
use crate::report::CanaryRow;
use siskinyoke_base::Millis;

/// The minimum share of its otherwise good responses that a bad version turns bad.
const MIN_EXCESS_RATIO: f64 = 0.15;

/// The minimum ratio of bad responses that is assumed for the stable version.
const MIN_STABLE_BAD_RATIO: f64 = 0.02;

/// The logarithm of the odds at which a version fails: ten thousand to one.
///
/// The odds are high because every shard of a large fleet evaluates the version by itself, again
/// with every response.
const LOG_ODDS_THRESHOLD: f64 = 9.2;

/// The minimum number of the new version's endpoints that must have given bad responses.
///
/// A single endpoint that crashed or is in an unreachable data centre is no evidence against its
/// version.
const MIN_BAD_ENDPOINTS: usize = 2;

/// Steps per response in reported counts, which decay to fractions.
pub(super) const COUNT_STEPS_PER_UNIT: f64 = 16.0;

/// A response, as a sample for the comparison of versions.
#[derive(Debug, Clone, Copy)]
pub struct ResponseSample {
    /// The hash of the route's name.
    pub route: u32,
    /// Whether it came from an endpoint of the new version.
    pub new: bool,
    /// Whether it failed or took several times as long as expected.
    pub bad: bool,
    /// The endpoint's short key.
    pub endpoint: u32,
}

/// Recent responses of both versions by route, as seen by this instance.
#[derive(Debug, Default)]
pub struct ResponseTally {
    routes: BTreeMap<u32, RouteTally>,
}

/// Responses, and how many of them were bad; fractions result from decay.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct Counts {
    pub(super) total: f64,
    pub(super) bad: f64,
}

impl ResponseTally {
    /// Counts a response.
    pub fn add(&mut self, now: Millis, sample: ResponseSample) {
        self.routes
            .entry(sample.route)
            .or_default()
            .add(now, sample);
    }

    /// Returns the counts as reported to peers.
    pub fn rows(&self, now: Millis) -> Vec<CanaryRow> {
        let rows = self.routes.iter();
        rows.map(|(route, tally)| tally.row(now, *route)).collect()
    }
}

impl Counts {
    fn add_row(&mut self, row: (u16, u16)) {
        self.total += f64::from(row.0) / COUNT_STEPS_PER_UNIT;
        self.bad += f64::from(row.1) / COUNT_STEPS_PER_UNIT;
    }
}

/// Returns whether the new version fails by the counts of several instances, on one route or over
/// all.
pub fn is_worse<'a>(rows: impl Iterator<Item = &'a CanaryRow>) -> bool {
    let mut routes: BTreeMap<u32, Evidence> = BTreeMap::new();
    let mut all = Evidence::default();
    for row in rows {
        routes.entry(row.route).or_default().add(row);
        all.add(row);
    }
    all.is_conclusive() || routes.values().any(Evidence::is_conclusive)
}

#[derive(Debug, Default)]
struct Evidence {
    new: Counts,
    stable: Counts,
    bad_endpoints: BTreeSet<u32>,
}

impl Evidence {
    fn add(&mut self, row: &CanaryRow) {
        self.new.add_row(row.new);
        self.stable.add_row(row.stable);
        self.bad_endpoints.extend(&row.endpoints);
    }

    fn is_conclusive(&self) -> bool {
        self.bad_endpoints.len() >= MIN_BAD_ENDPOINTS && self.log_odds() >= LOG_ODDS_THRESHOLD
    }

    // Returns the logarithm of the odds that the new version is worse.
    fn log_odds(&self) -> f64 {
        let stable = self.stable_bad_ratio();
        let worse = stable + MIN_EXCESS_RATIO * (1.0 - stable);
        let bad_weight = (worse / stable).ln();
        let good_weight = ((1.0 - worse) / (1.0 - stable)).ln();
        self.new.bad * bad_weight + (self.new.total - self.new.bad).max(0.0) * good_weight
    }

    // Returns the ratio of bad responses of the stable version, plus one standard error.
    fn stable_bad_ratio(&self) -> f64 {
        let total = self.stable.total + 1.0;
        let ratio = (self.stable.bad + 0.5) / total;
        let standard_error = (ratio * (1.0 - ratio).max(0.0) / total).sqrt();
        (ratio + standard_error).clamp(MIN_STABLE_BAD_RATIO, 0.9)
    }
}

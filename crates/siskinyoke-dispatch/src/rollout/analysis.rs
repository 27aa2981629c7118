//! Whether a version on trial is worse than the standing one.
//!
//! A sequential likelihood-ratio test compares the share of bad answers of the new version with that of the
//! standing one, over the same seconds and the same route, so that faults, slow data centres and long prompts that
//! meet both versions condemn neither.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::latency_model::millis_to_f64;
use crate::report::CanaryRow;
use siskinyoke_base::Millis;

/// How long an answer counts, of either version.
///
/// Of what slows all endpoints down, both versions' answers tell alike only as far as they are of the same time.
const DECAY_TIME: Millis = Millis::from_secs(6);

/// By how much more of its answers, among those that would be good, a bad version spoils at least.
const MIN_EXCESS_RATIO: f64 = 0.15;

/// The share of bad answers of a standing version that is taken at least.
const MIN_STABLE_BAD_RATIO: f64 = 0.02;

/// The logarithm of the odds at which a version is condemned: ten thousand to one.
///
/// Each shard of a large fleet judges by itself, again with each answer.
const LOG_ODDS_THRESHOLD: f64 = 9.2;

/// Endpoints of the new version that must have given bad answers.
///
/// One that crashed or lies in a cut data centre says nothing of its version.
const MIN_BAD_ENDPOINTS: usize = 2;

/// Endpoints with bad answers that are named to peers.
const MAX_NAMED_ENDPOINTS: usize = 4;

/// Fractions of an answer in which faded counts are told.
const COUNT_STEPS_PER_UNIT: f64 = 16.0;

/// One answer.
#[derive(Debug, Clone, Copy)]
pub struct ResponseSample {
    /// The hash of its route.
    pub route: u32,
    /// Whether an endpoint of the new version gave it.
    pub new: bool,
    /// Whether it failed, or took several times as long as is usual.
    pub bad: bool,
    /// The endpoint's shortened key.
    pub endpoint: u32,
}

/// The answers of both versions by route, as this instance saw them lately.
#[derive(Debug, Default)]
pub struct ResponseTally {
    routes: BTreeMap<u32, RouteTally>,
}

#[derive(Debug, Default)]
struct RouteTally {
    updated: Millis,
    new: Counts,
    stable: Counts,
    bad_endpoints: BTreeSet<u32>,
}

#[derive(Debug, Default, Clone, Copy)]
struct Counts {
    total: f64,
    bad: f64,
}

impl ResponseTally {
    /// Counts an answer.
    pub fn add(&mut self, now: Millis, sample: ResponseSample) {
        let route = self.routes.entry(sample.route).or_default();
        route.decay(now);
        let counts = if sample.new {
            &mut route.new
        } else {
            &mut route.stable
        };
        counts.total += 1.0;
        counts.bad += f64::from(u8::from(sample.bad));
        if sample.new && sample.bad && route.bad_endpoints.len() < MAX_NAMED_ENDPOINTS {
            route.bad_endpoints.insert(sample.endpoint);
        }
    }

    /// Returns the counts as peers are told them.
    pub fn rows(&self, now: Millis) -> Vec<CanaryRow> {
        let rows = self.routes.iter().map(|(route, counts)| {
            let factor = decay_factor(now.since(counts.updated));
            CanaryRow {
                route: *route,
                new: counts.new.to_row(factor),
                stable: counts.stable.to_row(factor),
                endpoints: counts.bad_endpoints.iter().copied().collect(),
            }
        });
        rows.collect()
    }
}

impl RouteTally {
    fn decay(&mut self, now: Millis) {
        let factor = decay_factor(now.since(self.updated));
        self.updated = now;
        self.new.decay(factor);
        self.stable.decay(factor);
    }
}

impl Counts {
    fn decay(&mut self, factor: f64) {
        self.total *= factor;
        self.bad *= factor;
    }

    fn to_row(self, factor: f64) -> (u16, u16) {
        (to_steps(self.total * factor), to_steps(self.bad * factor))
    }

    fn add_row(&mut self, row: (u16, u16)) {
        self.total += f64::from(row.0) / COUNT_STEPS_PER_UNIT;
        self.bad += f64::from(row.1) / COUNT_STEPS_PER_UNIT;
    }
}

/// Returns whether the answers of several instances condemn the new version, on one route or over all.
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

    // The logarithm of the odds that the new version is worse, by its answers.
    fn log_odds(&self) -> f64 {
        let stable = self.stable_bad_ratio();
        let worse = stable + MIN_EXCESS_RATIO * (1.0 - stable);
        let bad = (worse / stable).ln();
        let good = ((1.0 - worse) / (1.0 - stable)).ln();
        self.new.bad * bad + (self.new.total - self.new.bad).max(0.0) * good
    }

    // The share of bad answers of the standing version, with one standard error.
    fn stable_bad_ratio(&self) -> f64 {
        let total = self.stable.total + 1.0;
        let share = (self.stable.bad + 0.5) / total;
        let error = (share * (1.0 - share).max(0.0) / total).sqrt();
        (share + error).clamp(MIN_STABLE_BAD_RATIO, 0.9)
    }
}

// What is left of an answer that came so long ago.
fn decay_factor(age: Millis) -> f64 {
    (-millis_to_f64(age) / millis_to_f64(DECAY_TIME)).exp()
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "held to what the field holds"
)]
fn to_steps(count: f64) -> u16 {
    (count * COUNT_STEPS_PER_UNIT).clamp(0.0, f64::from(u16::MAX)) as u16
}

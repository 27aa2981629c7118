//! Canary analysis: whether the new version is worse than the stable one.
//!
//! A sequential likelihood-ratio test compares the ratios of bad responses of both versions, in the
//! same slices of time and on the same route. Faults, slow data centres and long prompts that
//! affect both versions therefore do not fail the new one.

use std::collections::BTreeSet;

use super::slice_counts::Counts;
use super::slice_counts::SliceCounts;

/// The shares of its otherwise good responses that a bad version turns bad, from the minimum on.
///
/// Each is a hypothesis of its own, as responses that nearly all fail are unlikely with a low share.
const EXCESS_RATIOS: [f64; 3] = [0.15, 0.4, 0.8];

/// The range of the ratio of bad responses that is assumed for the stable version.
const STABLE_BAD_RATIOS: [f64; 2] = [0.02, 0.9];

/// By how much the logarithm of the likelihood of the stable version's responses rises if their
/// ratio of bad ones is taken to have changed, from which it counts as changed.
const MIN_CHANGE_EVIDENCE: f64 = 2.0;

/// The number of bisections in the search for the likeliest ratio, which give it to five digits.
const MAX_BISECTIONS: usize = 17;

/// The logarithm of the odds at which a version fails: ten thousand to one.
///
/// The odds are high because every shard of a large fleet evaluates the version by itself, again
/// with every response.
const LOG_ODDS_THRESHOLD: f64 = 9.2;

/// The logarithm of the odds that must follow from each slice of time by itself: a hundred and fifty
/// to one.
///
/// A change that affects both versions may show first in responses of the new version. Until it shows
/// in those of the stable version too, earlier ones of that would mislead.
const SLICE_ODDS_THRESHOLD: f64 = 5.0;

/// The minimum number of the new version's endpoints that must have given bad responses.
///
/// A single endpoint that crashed or is in an unreachable data centre is no evidence against its
/// version.
const MIN_BAD_ENDPOINTS: usize = 2;

/// The evidence that the new version is worse, from one slice of time after another.
#[derive(Debug, Default)]
pub(super) struct Evidence {
    // From the new version's responses and those of the stable version since its ratio of bad ones
    // last changed, and from those of the same slice only.
    pooled: LogOdds,
    by_slice: LogOdds,
    // Endpoints of the new version that gave bad responses since the odds were last even.
    bad_endpoints: BTreeSet<u32>,
    // The stable version's responses since its ratio of bad ones last changed.
    stable: Counts,
}

impl Evidence {
    /// Adds the responses of the next slice of time.
    pub(super) fn add(&mut self, counts: &SliceCounts) {
        if has_changed(self.stable, counts.stable) {
            self.stable = Counts::default();
        }
        self.stable.add(counts.stable);
        if counts.new.total == 0 {
            return;
        }
        self.pooled.add(counts.new, self.stable);
        self.by_slice.add(counts.new, counts.stable);
        if self.pooled.is_even() {
            self.bad_endpoints.clear();
        } else {
            self.bad_endpoints.extend(&counts.bad_endpoints);
        }
    }

    /// Returns whether the new version fails.
    pub(super) fn is_conclusive(&self) -> bool {
        self.bad_endpoints.len() >= MIN_BAD_ENDPOINTS
            && self.pooled.max() >= LOG_ODDS_THRESHOLD
            && self.by_slice.max() >= SLICE_ODDS_THRESHOLD
    }
}

// The logarithms of the odds that the new version is worse, by the share of its otherwise good
// responses that it turns bad.
//
// They do not fall below zero, as a version may turn bad after any number of good responses: this is
// Page's cumulative sum test.
#[derive(Debug, Default)]
struct LogOdds([f64; EXCESS_RATIOS.len()]);

impl LogOdds {
    // Adds responses of both versions.
    //
    // The stable version's ratio of bad responses is not known. Each hypothesis is given the one with
    // which it explains the responses of both versions best, so few responses of the stable version
    // are little evidence.
    fn add(&mut self, new: Counts, stable: Counts) {
        let equal = max_log_likelihood(new, stable, 0.0);
        for (odds, excess) in self.0.iter_mut().zip(EXCESS_RATIOS) {
            let worse = max_log_likelihood(new, stable, excess);
            *odds = (*odds + worse - equal).max(0.0);
        }
    }

    fn max(&self) -> f64 {
        self.0.iter().copied().fold(0.0, f64::max)
    }

    fn is_even(&self) -> bool {
        self.max() <= 0.0
    }
}

// Returns whether the ratio of bad responses differs between two periods.
fn has_changed(before: Counts, after: Counts) -> bool {
    let mut both = before;
    both.add(after);
    let separate = own_log_likelihood(before) + own_log_likelihood(after);
    separate - own_log_likelihood(both) >= MIN_CHANGE_EVIDENCE
}

// Returns the logarithm of the likelihood of responses with their own ratio of bad ones.
fn own_log_likelihood(counts: Counts) -> f64 {
    let term = |count: f64| {
        if count > 0.0 {
            count * (count / f64::from(counts.total)).ln()
        } else {
            0.0
        }
    };
    counts.bad_and_good().map(term).iter().sum()
}

// Returns the logarithm of the likelihood of the responses with the likeliest ratio of bad ones, if
// the new version turns a share of its otherwise good responses bad.
fn max_log_likelihood(new: Counts, stable: Counts, excess: f64) -> f64 {
    let [new_bad, new_good] = new.bad_and_good();
    let [stable_bad, stable_good] = stable.bad_and_good();
    let worse = |ratio: f64| excess + (1.0 - excess) * ratio;
    // The slope falls with the ratio.
    let slope = |ratio: f64| {
        new_bad * (1.0 - excess) / worse(ratio) + stable_bad / ratio
            - (new_good + stable_good) / (1.0 - ratio)
    };
    let [mut low, mut high] = STABLE_BAD_RATIOS;
    for _ in 0..MAX_BISECTIONS {
        let middle = f64::midpoint(low, high);
        if slope(middle) > 0.0 {
            low = middle;
        } else {
            high = middle;
        }
    }
    let ratio = f64::midpoint(low, high);
    new_bad * worse(ratio).ln()
        + new_good * (1.0 - worse(ratio)).ln()
        + stable_bad * ratio.ln()
        + stable_good * (1.0 - ratio).ln()
}

//! Counts of how requests ended.

use std::ops::AddAssign;

use serde::Deserialize;
use serde::Serialize;

/// How a request ended, as its caller sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// Answered whole, within its need.
    Within,
    /// Answered whole, but past its need.
    Late,
    /// Refused, shed or given up without having run.
    Refused,
    /// Broken off, or with an outcome that is not known.
    Broken,
}

/// Counts by outcome.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Requests answered within their need.
    pub within: u64,
    /// Requests answered late.
    pub late: u64,
    /// Requests refused.
    pub refused: u64,
    /// Requests broken off.
    pub broken: u64,
    /// Prompt tokens computed and thrown away.
    pub wasted: u64,
}

impl Tally {
    /// Counts a request.
    pub fn count(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::Within => self.within += 1,
            Outcome::Late => self.late += 1,
            Outcome::Refused => self.refused += 1,
            Outcome::Broken => self.broken += 1,
        }
    }

    /// Returns the requests that missed their objective.
    pub fn bad(&self) -> u64 {
        self.late + self.refused + self.broken
    }

    /// Returns all requests.
    pub fn requests(&self) -> u64 {
        self.within + self.bad()
    }

    /// Returns the share answered within need, in parts of 1; `None` without requests.
    #[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
    pub fn share(&self) -> Option<f64> {
        let requests = self.requests();
        (requests > 0).then(|| self.within as f64 / requests as f64)
    }

    /// Returns how many times faster than allowed the error budget is used: 1 uses it up just in
    /// time, 0 not at all.
    pub fn burn(&self, objective: f64) -> f64 {
        // An objective of 1 leaves no budget; any miss then shows as a very high rate.
        let budget = (1.0 - objective).max(LEAST_BUDGET);
        self.share().map_or(0.0, |share| (1.0 - share) / budget)
    }
}

impl AddAssign for Tally {
    fn add_assign(&mut self, other: Self) {
        self.within += other.within;
        self.late += other.late;
        self.refused += other.refused;
        self.broken += other.broken;
        self.wasted += other.wasted;
    }
}

/// The smallest error budget reckoned with, in parts of 1.
const LEAST_BUDGET: f64 = 0.000_1;

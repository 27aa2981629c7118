//! The times of one path at one number of requests in flight.

use std::time::Duration;

use crate::load::shot::Outcome;
use crate::load::shot::Verdict;

/// How requests go to the engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Path {
    /// From the client to the engine.
    Straight,
    /// Through the daemon.
    Through,
}

/// The times of one path.
#[derive(Debug, Default)]
pub struct Point {
    whole: u32,
    other: Vec<String>,
    first: Vec<Duration>,
    gaps: Vec<Duration>,
}

impl Point {
    /// Takes an outcome in.
    pub fn add(&mut self, outcome: Outcome) {
        if outcome.verdict != Verdict::Whole {
            self.other.push(outcome.code);
            return;
        }
        self.whole += 1;
        self.first.extend(outcome.first);
        self.gaps.extend(outcome.gaps);
    }

    /// Takes the times of another block in.
    pub fn merge(&mut self, other: Self) {
        self.whole += other.whole;
        self.other.extend(other.other);
        self.first.extend(other.first);
        self.gaps.extend(other.gaps);
    }

    /// Returns the whole answers.
    pub fn whole(&self) -> u32 {
        self.whole
    }

    /// Prints the times.
    pub fn print(&self, flight: usize, path: &str) {
        let (first, gaps) = (spread(&self.first), spread(&self.gaps));
        println!(
            "{flight} | {path} | {} | {:.2}, {:.2} | {:.2}, {:.2}",
            self.whole, first.0, first.1, gaps.0, gaps.1
        );
        if !self.other.is_empty() {
            println!("{flight} | {path} | not whole: {:?}", self.other);
        }
    }

    /// Prints how much longer things took than by another path.
    pub fn print_ratios(&self, flight: usize, base: &Self) {
        let (first, gaps) = (spread(&self.first), spread(&self.gaps));
        let (base_first, base_gaps) = (spread(&base.first), spread(&base.gaps));
        println!(
            "{flight} | ratio | | {:.2}, {:.2} | {:.3}, {:.3}",
            first.0 / base_first.0,
            first.1 / base_first.1,
            gaps.0 / base_gaps.0,
            gaps.1 / base_gaps.1
        );
    }
}

/// Returns the median and the 99th percentile, in milliseconds.
fn spread(times: &[Duration]) -> (f64, f64) {
    let mut sorted = times.to_vec();
    sorted.sort();
    let at = |percent: usize| {
        let place = (sorted.len() * percent / 100).min(sorted.len().saturating_sub(1));
        let time = sorted.get(place).copied().unwrap_or_default();
        time.as_secs_f64() * 1000.0
    };
    (at(50), at(99))
}

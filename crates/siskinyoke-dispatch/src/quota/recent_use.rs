//! Use of a bucket within the time that passes until the loss of a peer is noticed.

use std::collections::VecDeque;

use crate::peers::REPORT_TTL;
use siskinyoke_base::Millis;

/// How long uses are added up before a new sum is started.
const SLICE_LENGTH: Millis = Millis(50);

/// The units taken in the last `REPORT_TTL`.
///
/// Peers whose reports have stopped reported nothing in that time, so the units were taken by this
/// instance and by the peers that still report.
#[derive(Debug, Default)]
pub struct RecentUse {
    // The start of each slice and the units taken in it, the oldest first.
    slices: VecDeque<(Millis, f64)>,
}

impl RecentUse {
    /// Records units taken, or returned if negative.
    pub fn add(&mut self, now: Millis, units: f64) {
        match self.slices.back_mut() {
            Some(slice) if now.since(slice.0) < SLICE_LENGTH => slice.1 += units,
            _ => {
                self.slices.retain(|it| is_recent(now, it.0));
                self.slices.push_back((now, units));
            }
        }
    }

    /// Returns the units taken in the last `REPORT_TTL`.
    pub fn sum(&self, now: Millis) -> f64 {
        let recent = self.slices.iter().filter(|it| is_recent(now, it.0));
        recent.map(|it| it.1).sum()
    }
}

fn is_recent(now: Millis, start: Millis) -> bool {
    now.since(start) <= REPORT_TTL
}

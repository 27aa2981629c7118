//! What is known of one part.

use crate::PromptPart;
use crate::report::PartCrash;
use crate::report::PartRow;
use siskinyoke_base::Millis;

/// The maximum number of crashes kept for a part.
const MAX_CRASHES: usize = 16;

/// Crashes that are this close together count as one: endpoints that fail at the same moment more
/// likely share another cause, such as a rack.
const CORRELATED_CRASH_PERIOD: Millis = Millis(150);

/// Crashes of endpoint starts, each with its time, in the order in which they were recorded.
#[derive(Debug, Clone, Default)]
pub(super) struct CrashList(Vec<(u32, Millis)>);

impl CrashList {
    /// Adds the crash of an endpoint start unless it is known.
    pub(super) fn add(&mut self, endpoint: u32, at: Millis) {
        if self.0.len() < MAX_CRASHES && !self.contains(endpoint) {
            self.0.push((endpoint, at));
        }
    }

    /// Removes the crash of an endpoint that responded to a request sent after it.
    pub(super) fn acquit(&mut self, endpoint: u32, sent_at: Millis) {
        self.0.retain(|it| it.0 != endpoint || it.1 >= sent_at);
    }

    pub(super) fn retain_before(&mut self, end: Millis) {
        self.0.retain(|it| it.1 < end);
    }

    pub(super) fn retain_after(&mut self, start: Millis) {
        self.0.retain(|it| it.1 > start);
    }

    /// Returns the crashes before `end`.
    pub(super) fn before(&self, end: Millis) -> Self {
        let mut before = self.clone();
        before.retain_before(end);
        before
    }

    /// Returns the crashes of endpoints that `other` does not contain.
    pub(super) fn without(&self, other: &Self) -> Self {
        let rest = self.0.iter().filter(|it| !other.contains(it.0));
        Self(rest.copied().collect())
    }

    pub(super) fn extend(&mut self, other: &Self) {
        self.0.extend(&other.0);
    }

    pub(super) fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns the number of crashes, of which those at the same moment count as one.
    pub(super) fn distinct_count(&self) -> usize {
        let mut times: Vec<Millis> = self.0.iter().map(|it| it.1).collect();
        times.sort_unstable();
        let mut last: Option<Millis> = None;
        times.retain(|at| {
            let counts = last.is_none_or(|it| at.since(it) >= CORRELATED_CRASH_PERIOD);
            if counts {
                last = Some(*at);
            }
            counts
        });
        times.len()
    }

    /// Returns the time of the latest crash.
    pub(super) fn last(&self) -> Option<Millis> {
        self.0.iter().map(|it| it.1).max()
    }

    fn contains(&self, endpoint: u32) -> bool {
        self.0.iter().any(|it| it.0 == endpoint)
    }
}

/// What is known of one part.
#[derive(Debug)]
pub(super) struct PartRecord {
    pub(super) crashes: CrashList,
    /// Its lowest position in the prompts in which it was suspected.
    pub(super) position: u8,
    /// When a response last showed that endpoints bear it.
    pub(super) sound_at: Option<Millis>,
    /// The fingerprint of the request that is tried with it, and when that was admitted.
    pub(super) trial: Option<(u64, Millis)>,
    created_at: Millis,
}

impl PartRecord {
    pub(super) fn new(now: Millis, position: u8) -> Self {
        Self {
            crashes: CrashList::default(),
            position,
            sound_at: None,
            trial: None,
            created_at: now,
        }
    }

    /// Records a response at `at` that shows that endpoints bear the part.
    pub(super) fn clear(&mut self, at: Millis) {
        self.sound_at = self.sound_at.max(Some(at));
        self.crashes.retain_after(at);
        self.trial = None;
    }

    /// Adds a crash that a peer reports, unless the part was cleared since.
    pub(super) fn add_reported(&mut self, endpoint: u32, at: Millis) {
        if self.sound_at.is_none_or(|sound_at| sound_at < at) {
            self.crashes.add(endpoint, at);
        }
    }

    /// Returns whether nothing new was recorded for `ttl`. Parts that may be quarantined stay until
    /// a trial clears them.
    pub(super) fn is_expired(&self, now: Millis, ttl: Millis) -> bool {
        let latest = self.crashes.last().max(self.sound_at);
        let age = now.since(latest.unwrap_or(self.created_at));
        age >= ttl && self.crashes.len() < super::CRASHES_TO_QUARANTINE
    }

    /// Returns its row for a report, without the crashes since `doubt`.
    pub(super) fn report_row(
        &self,
        now: Millis,
        part: PromptPart,
        doubt: Option<Millis>,
    ) -> PartRow {
        let age = |at: Millis| u32::try_from(now.since(at).0).unwrap_or(u32::MAX);
        let crashes = doubt.map_or_else(|| self.crashes.clone(), |it| self.crashes.before(it));
        PartRow {
            part,
            position: self.position,
            sound_age: self.sound_at.map(age),
            crashes: crashes
                .0
                .iter()
                .map(|&(endpoint, at)| PartCrash {
                    endpoint,
                    age: age(at),
                })
                .collect(),
        }
    }
}

//! What is known of one part.

use crate::PromptPart;
use crate::crash_list::Crash;
use crate::crash_list::CrashList;
use crate::report::PartRow;
use crate::report::age;
use siskinyoke_base::Millis;

/// By how much later a response may seem that a peer reports again. It dates it by its age, so that
/// the delay of each report is added.
const MAX_REPORT_DELAY: Millis = Millis(500);

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
    /// The number of trials here after which the endpoint crashed.
    pub(super) failed_trials: u32,
    created_at: Millis,
}

impl PartRecord {
    pub(super) fn new(now: Millis, position: u8, sound_at: Option<Millis>) -> Self {
        Self {
            crashes: CrashList::default(),
            position,
            sound_at,
            trial: None,
            failed_trials: 0,
            created_at: now,
        }
    }

    /// Records a response at `at` that shows that endpoints bear the part.
    pub(super) fn clear(&mut self, at: Millis) {
        self.sound_at = self.sound_at.max(Some(at));
        self.crashes.retain_after(at);
        self.trial = None;
        self.failed_trials = 0;
    }

    /// Records a response at `at` that a peer reports, unless it is one that is known already.
    pub(super) fn clear_reported(&mut self, at: Millis) {
        let known = self.sound_at;
        if known.is_none_or(|sound_at| at > sound_at + MAX_REPORT_DELAY) {
            self.clear(at);
        }
    }

    /// Adds a crash that a peer reports, unless the part was cleared since.
    pub(super) fn add_reported(&mut self, crash: Crash) {
        if self.sound_at.is_none_or(|sound_at| sound_at < crash.at) {
            self.crashes.add(crash);
        }
    }

    /// Returns the number of crashes beyond those after which it is quarantined.
    pub(super) fn extra_crashes(&self) -> u32 {
        let extra = self
            .crashes
            .len()
            .saturating_sub(super::CRASHES_TO_QUARANTINE);
        u32::try_from(extra).unwrap_or(u32::MAX)
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
        let crashes = self.crashes.counted(doubt).observed();
        PartRow {
            part,
            position: self.position,
            sound_age: self.sound_at.map(|at| age(now, at)),
            crashes: crashes.iter().map(|it| it.to_row(now)).collect(),
        }
    }
}

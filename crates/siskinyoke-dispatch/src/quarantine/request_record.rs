//! What is known of one request that ran beside crashes.

use super::CRASHES_AT_ONCE;
use super::CRASHES_OF_SOUND_REQUEST;
use super::CRASHES_TO_QUARANTINE;
use crate::crash_list::Crash;
use crate::crash_list::CrashList;
use crate::crash_list::CrashState;
use siskinyoke_base::Millis;

/// The maximum number of dismissed crashes kept; the oldest is dropped first.
const MAX_DISMISSED: usize = 32;

/// What is known of one request that ran beside crashes.
#[derive(Debug, Default)]
pub(super) struct RequestRecord {
    pub(super) crashes: CrashList,
    /// When the last crash was recorded, whether or not it still counts.
    pub(super) last_crash: Millis,
    /// When an endpoint last completed the request.
    pub(super) sound_at: Option<Millis>,
    /// The number of crashes when the record was last written to the store.
    pub(super) saved_crashes: usize,
    // Endpoint starts whose crash no longer counts against the request. Peers report crashes without
    // a time, and may report these again.
    dismissed: Vec<u32>,
}

impl RequestRecord {
    /// Adds the crash of an endpoint that was observed here.
    pub(super) fn add(&mut self, now: Millis, endpoint: u32) {
        self.dismissed.retain(|it| *it != endpoint);
        self.add_crash(now, endpoint, CrashState::Observed);
    }

    /// Adds a crash that a peer reports, whose links work, unless it was dismissed.
    pub(super) fn add_reported(&mut self, now: Millis, endpoint: u32) {
        if !self.dismissed.contains(&endpoint) {
            self.add_crash(now, endpoint, CrashState::Confirmed);
        }
    }

    fn add_crash(&mut self, now: Millis, endpoint: u32, state: CrashState) {
        if !self.crashes.contains(endpoint) {
            self.last_crash = self.last_crash.max(now);
        }
        self.crashes.add(Crash::new(endpoint, now, true, state));
    }

    /// Adds the crash of an endpoint that fell silent, unless the request was completed since.
    pub(super) fn add_silent(&mut self, crash: Crash) {
        if self.sound_at.is_none_or(|sound_at| sound_at < crash.at) {
            self.last_crash = self.last_crash.max(crash.at);
            self.crashes.add(crash);
        }
    }

    /// Dismisses all crashes.
    pub(super) fn dismiss_all(&mut self) {
        self.dismiss(|it| *it = CrashList::default());
    }

    /// Records that an endpoint completed the request.
    pub(super) fn clear(&mut self, at: Millis) {
        self.sound_at = self.sound_at.max(Some(at));
        self.dismiss(|it| it.retain_after(at));
    }

    /// Dismisses the crash of an endpoint that responded to a request sent after it.
    pub(super) fn acquit(&mut self, endpoint: u32, sent_at: Millis) {
        if self.crashes.contains(endpoint) {
            self.dismiss(|it| it.acquit(endpoint, sent_at));
        }
    }

    /// Returns whether the crashes would suffice to quarantine a request that was not completed
    /// before.
    pub(super) fn is_suspected(&self) -> bool {
        self.crashes.len() >= CRASHES_TO_QUARANTINE
    }

    /// Returns whether the crashes suffice for a quarantine. If links are in doubt, those recorded
    /// since then do not count, and those that parts of prompts explain never do.
    pub(super) fn is_unsound(&self, doubt: Option<Millis>, explained: Option<&CrashList>) -> bool {
        let counted = self.crashes.counted(doubt);
        let crashes = match explained {
            Some(explained) => counted.without(explained),
            None => counted,
        };
        if self.sound_at.is_some() {
            crashes.distinct_count() >= CRASHES_OF_SOUND_REQUEST
        } else {
            crashes.weight() >= CRASHES_TO_QUARANTINE || crashes.len() >= CRASHES_AT_ONCE
        }
    }

    /// Returns whether the last crash was recorded at least `ttl` ago.
    pub(super) fn is_expired(&self, now: Millis, ttl: Millis) -> bool {
        now.since(self.last_crash) >= ttl
    }

    // Dismisses the crashes that a change removes.
    fn dismiss(&mut self, remove: impl FnOnce(&mut CrashList)) {
        let before: Vec<u32> = self.crashes.iter().map(|it| it.endpoint).collect();
        remove(&mut self.crashes);
        let crashes = &self.crashes;
        let removed = before.into_iter().filter(|it| !crashes.contains(*it));
        self.dismissed.extend(removed);
        let excess = self.dismissed.len().saturating_sub(MAX_DISMISSED);
        self.dismissed.drain(..excess);
    }
}

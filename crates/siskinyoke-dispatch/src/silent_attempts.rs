//! Attempts under which endpoints fell silent that are gone.

use std::collections::VecDeque;

use crate::PromptParts;
use crate::crash_list::Crash;
use crate::report::SilentAttemptRow;
use crate::report::age;
use siskinyoke_base::Millis;

/// How long an attempt is kept and reported.
const ATTEMPT_TTL: Millis = Millis::from_secs(120);

/// The maximum number of attempts kept; the oldest is dropped first.
const MAX_ATTEMPTS: usize = 256;

/// The maximum number of attempts in a report.
const MAX_REPORTED_ATTEMPTS: usize = 16;

/// The maximum number of prompt parts in a report, so that it fits into a datagram. One attempt is
/// reported whatever the number of its parts.
const MAX_REPORTED_PARTS: usize = 32;

/// An attempt under which an endpoint fell silent that is gone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SilentAttempt {
    /// The fingerprint of the request.
    pub fingerprint: u64,
    /// The parts of its prompt that no response has cleared.
    pub parts: PromptParts,
    /// What is known of the crash.
    pub(crate) crash: Crash,
}

impl SilentAttempt {
    /// Returns the short key of the endpoint.
    pub fn endpoint(&self) -> u32 {
        self.crash.endpoint
    }

    /// Returns the span within which the endpoint crashed.
    pub fn span(&self) -> Millis {
        self.crash.gone_at.since(self.crash.alive_at)
    }

    fn to_row(&self, now: Millis) -> SilentAttemptRow {
        SilentAttemptRow {
            fingerprint: self.fingerprint,
            parts: self.parts.clone(),
            endpoint: self.crash.endpoint,
            alive_age: age(now, self.crash.alive_at),
            sent_age: age(now, self.crash.sent_at),
            age: age(now, self.crash.at),
            gone_age: age(now, self.crash.gone_at),
        }
    }
}

/// Attempts under which endpoints fell silent that are gone, as this instance saw them.
#[derive(Debug, Default)]
pub struct SilentAttempts {
    attempts: VecDeque<SilentAttempt>,
    // Those that the log has not been given yet.
    new: Vec<SilentAttempt>,
}

impl SilentAttempts {
    /// Adds an attempt, and returns whether it is new.
    pub fn insert(&mut self, attempt: SilentAttempt) -> bool {
        let key = |it: &SilentAttempt| (it.fingerprint, it.crash.endpoint);
        if self.attempts.iter().any(|it| key(it) == key(&attempt)) {
            return false;
        }
        if self.attempts.len() >= MAX_ATTEMPTS {
            self.attempts.pop_back();
        }
        self.new.push(attempt.clone());
        self.attempts.push_front(attempt);
        true
    }

    /// Returns the attempts that were added since the last call.
    pub fn take_new(&mut self) -> Vec<SilentAttempt> {
        std::mem::take(&mut self.new)
    }

    /// Returns whether an attempt was added after a time.
    pub fn has_since(&self, time: Millis) -> bool {
        self.attempts.iter().any(|it| it.crash.gone_at > time)
    }

    /// Returns the rows for the next report to peers. Each report continues where the last one ended,
    /// so that several together contain every attempt.
    pub fn next_rows(&mut self, now: Millis) -> Vec<SilentAttemptRow> {
        let mut part_count = 0;
        let fitting = self.attempts.iter().enumerate().take_while(|(index, it)| {
            part_count += it.parts.len();
            *index == 0 || part_count <= MAX_REPORTED_PARTS
        });
        let rows = fitting.take(MAX_REPORTED_ATTEMPTS);
        let rows: Vec<_> = rows.map(|(_, it)| it.to_row(now)).collect();
        self.attempts.rotate_left(rows.len());
        rows
    }

    /// Forgets the attempts that are too old to matter.
    pub fn prune(&mut self, now: Millis) {
        self.attempts
            .retain(|it| now.since(it.crash.at) < ATTEMPT_TTL);
        self.new.truncate(MAX_ATTEMPTS);
    }
}

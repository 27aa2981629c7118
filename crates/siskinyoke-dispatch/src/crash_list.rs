//! Crashes of endpoints under one request or prompt part.

use crate::report;
use crate::report::PartCrashRow;
use siskinyoke_base::Millis;

/// The maximum number of crashes kept.
const MAX_CRASHES: usize = 16;

/// Crashes that are this close together count as one: endpoints that fail at the same moment more
/// likely share another cause, such as a rack.
const CORRELATED_CRASH_PERIOD: Millis = Millis(40);

/// What is known of a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CrashState {
    /// The endpoint broke the connection.
    Observed,
    /// The links of this instance were lost at the time, so that they may have broken.
    LinksLost,
    /// The endpoint is gone, no instance has a link to it, or a peer reports the crash.
    Confirmed,
    /// The endpoint fell silent under the request and is gone. When it crashed is not known.
    Silent,
}

/// The crash of an endpoint while it ran a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Crash {
    /// The endpoint start, by its short key.
    pub(crate) endpoint: u32,
    /// When the endpoint is last known to have been alive; the time of the crash if that was observed.
    pub(crate) alive_at: Millis,
    /// When the request was sent; the time of the crash if that was observed.
    pub(crate) sent_at: Millis,
    /// The time of the crash if that was observed; when the attempt ended otherwise.
    pub(crate) at: Millis,
    /// When the endpoint was known to be gone; the time of the crash if that was observed.
    pub(crate) gone_at: Millis,
    /// Whether one of the requests had no part after the suspected one that other requests may share.
    pub(crate) alone: bool,
    pub(crate) state: CrashState,
}

impl Crash {
    /// Returns a crash that a peer reports.
    pub(crate) fn from_row(now: Millis, row: PartCrashRow) -> Self {
        let at = now.since(Millis(row.age.into()));
        Self::new(row.endpoint, at, row.alone, CrashState::Observed)
    }

    /// Returns a crash whose time is known.
    pub(crate) fn new(endpoint: u32, at: Millis, alone: bool, state: CrashState) -> Self {
        Self {
            endpoint,
            alive_at: at,
            sent_at: at,
            at,
            gone_at: at,
            alone,
            state,
        }
    }

    fn is_silent(&self) -> bool {
        self.state == CrashState::Silent
    }

    // Returns whether two silent crashes hardly share another cause: they cannot have happened at the
    // same moment, or both endpoints ran the request at the same time. A request that was sent to one
    // after the other may have met two that had failed together.
    fn is_independent(&self, other: &Self) -> bool {
        let at_once = self.alive_at < other.gone_at && other.alive_at < self.gone_at;
        let in_turn = self.sent_at >= other.at || other.sent_at >= self.at;
        !at_once || !in_turn
    }

    // Returns whether it may be the fault of lost links.
    fn is_unconfirmed(&self) -> bool {
        self.state == CrashState::LinksLost
    }

    // Returns whether it counts if the links of this instance are in doubt since `doubt`.
    fn counts(self, doubt: Option<Millis>) -> bool {
        match self.state {
            CrashState::Observed => doubt.is_none_or(|since| self.at < since),
            CrashState::LinksLost => false,
            CrashState::Confirmed | CrashState::Silent => true,
        }
    }

    /// Returns its row for a report.
    pub(crate) fn to_row(self, now: Millis) -> PartCrashRow {
        PartCrashRow {
            endpoint: self.endpoint,
            age: report::age(now, self.at),
            alone: self.alone,
        }
    }
}

/// Crashes of endpoint starts, in the order in which they were recorded.
#[derive(Debug, Clone, Default)]
pub(crate) struct CrashList(Vec<Crash>);

impl CrashList {
    /// Adds the crash of an endpoint start, or what is new of it.
    pub(crate) fn add(&mut self, crash: Crash) {
        let mut known = self.0.iter_mut();
        if let Some(known) = known.find(|it| it.endpoint == crash.endpoint) {
            let alone = known.alone | crash.alone;
            // It was observed by a peer, whose links were not in doubt, or at another connection.
            if known.state == CrashState::LinksLost || (known.is_silent() && !crash.is_silent()) {
                *known = crash;
            }
            known.alone = alone;
            return;
        }
        if self.0.len() >= MAX_CRASHES {
            self.remove_unconfirmed();
        }
        if self.0.len() < MAX_CRASHES {
            self.0.push(crash);
        }
    }

    // Removes the first crash that may be the fault of lost links, if there is one.
    fn remove_unconfirmed(&mut self) {
        let unconfirmed = self.0.iter().position(Crash::is_unconfirmed);
        if let Some(index) = unconfirmed {
            self.0.remove(index);
        }
    }

    /// Removes the crash of an endpoint that responded to a request sent after it.
    pub(crate) fn acquit(&mut self, endpoint: u32, sent_at: Millis) {
        self.0
            .retain(|it| it.endpoint != endpoint || it.at >= sent_at);
    }

    /// Marks the crashes since the links were lost.
    pub(crate) fn links_lost(&mut self, since: Millis) {
        let observed = self.0.iter_mut();
        for crash in observed.filter(|it| it.at >= since && it.state == CrashState::Observed) {
            crash.state = CrashState::LinksLost;
        }
    }

    /// Marks the crashes of endpoints that failed.
    pub(crate) fn confirm(&mut self, has_failed: &impl Fn(u32) -> bool) {
        let observed = self.0.iter_mut().filter(|it| !it.is_silent());
        for crash in observed.filter(|it| has_failed(it.endpoint)) {
            crash.state = CrashState::Confirmed;
        }
    }

    pub(crate) fn retain_after(&mut self, start: Millis) {
        self.0.retain(|it| it.at > start);
    }

    /// Returns the number of crashes that may be the fault of lost links.
    pub(crate) fn unconfirmed_count(&self) -> usize {
        self.0.iter().filter(|it| it.is_unconfirmed()).count()
    }

    /// Returns the crashes that count if the links of this instance are in doubt since `doubt`.
    pub(crate) fn counted(&self, doubt: Option<Millis>) -> Self {
        let rows = self.iter().filter(|it| it.counts(doubt));
        Self(rows.collect())
    }

    /// Returns the crashes that were observed here or by peers, without those that are concluded from
    /// a silence.
    pub(crate) fn observed(&self) -> Self {
        let rows = self.iter().filter(|it| !it.is_silent());
        Self(rows.collect())
    }

    /// Returns the crashes before `end`.
    pub(crate) fn before(&self, end: Millis) -> Self {
        let rows = self.iter().filter(|it| it.at < end);
        Self(rows.collect())
    }

    /// Returns the crashes of endpoints that `other` does not contain.
    pub(crate) fn without(&self, other: &Self) -> Self {
        let rows = self.iter().filter(|it| !other.contains(it.endpoint));
        Self(rows.collect())
    }

    /// Returns the crashes under requests without a later part.
    pub(crate) fn alone(&self) -> Self {
        let rows = self.iter().filter(|it| it.alone);
        Self(rows.collect())
    }

    pub(crate) fn extend(&mut self, other: &Self) {
        self.0.extend(&other.0);
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = Crash> {
        self.0.iter().copied()
    }

    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns the number of crashes, of which silent ones that may share another cause count as one.
    pub(crate) fn weight(&self) -> usize {
        self.observed().len() + self.distinct_silences()
    }

    /// Returns the number of crashes, of which those at the same moment count as one.
    pub(crate) fn distinct_count(&self) -> usize {
        let observed = self.observed();
        let mut times: Vec<Millis> = observed.iter().map(|it| it.at).collect();
        times.sort_unstable();
        let mut last: Option<Millis> = None;
        times.retain(|at| {
            let counts = last.is_none_or(|it| at.since(it) >= CORRELATED_CRASH_PERIOD);
            if counts {
                last = Some(*at);
            }
            counts
        });
        times.len() + self.distinct_silences()
    }

    // Returns the number of silent crashes that are independent of each other.
    fn distinct_silences(&self) -> usize {
        let mut silent: Vec<Crash> = self.iter().filter(Crash::is_silent).collect();
        silent.sort_unstable_by_key(|it| (it.gone_at, it.endpoint));
        let mut distinct: Vec<Crash> = Vec::new();
        for crash in silent {
            if distinct.iter().all(|it| it.is_independent(&crash)) {
                distinct.push(crash);
            }
        }
        distinct.len()
    }

    /// Returns the time of the latest crash.
    pub(crate) fn last(&self) -> Option<Millis> {
        self.iter().map(|it| it.at).max()
    }

    /// Returns whether it contains the crash of an endpoint.
    pub(crate) fn contains(&self, endpoint: u32) -> bool {
        self.iter().any(|it| it.endpoint == endpoint)
    }
}

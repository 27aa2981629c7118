//! Quarantine of prompt parts that crash the endpoints that begin a response to them.
//!
//! All requests that run at an endpoint when it crashes are suspected, with all parts of their
//! prompts. A part is cleared by each response that was completed with it. Of the parts that were
//! not cleared, those that explain the most crashes are quarantined; a few crashes that one
//! of them explains do not count against the others.

mod candidate;
mod part_record;

use std::cmp::Reverse;

use self::candidate::Candidate;
use self::part_record::PartRecord;
use crate::PromptPart;
use crate::PromptParts;
use crate::crash_list::Crash;
use crate::crash_list::CrashList;
use crate::crash_list::CrashState;
use crate::recent_successes::RecentSuccesses;
use crate::report::PartRow;
use siskinyoke_base::Map;
use siskinyoke_base::Millis;

/// The number of crashes that no other part explains after which a part is quarantined with which
/// no response was completed before.
///
/// Two crashes within a few seconds are common where several endpoints fail for another reason.
const CRASHES_TO_QUARANTINE: usize = 3;

/// The number of crashes of requests without a later part after which a part is quarantined even if
/// other parts explain them. Of two parts that crash endpoints, one could otherwise hide behind the
/// other.
///
/// It is the number that the platform's rules tolerate, and so it is wanted, too, for parts with
/// which responses were completed before. Crashes that other parts explain never count against
/// these: a part that most requests share runs beside all crashes.
const MAX_TOLERATED_CRASHES: usize = 5;

/// The maximum number of parts of which those to be quarantined are selected.
const MAX_CANDIDATES: usize = 32;

/// How long after a crash it begins to count. An endpoint that only broke a connection has usually
/// responded to another request by then.
const CONFIRMATION_DELAY: Millis = Millis(300);

/// The interval at which parts that may have to be quarantined are checked.
const CHECK_INTERVAL: Millis = Millis(50);

/// How long after the last crash the first request with a quarantined part is tried again. The delay
/// doubles with each further crash.
const TRIAL_DELAY: Millis = Millis::from_secs(30);

/// How long after the last crash the first request is tried with a part whose crashes other parts
/// explain, or with which responses were completed before. The delay doubles with each trial that
/// fails.
const EXPLAINED_TRIAL_DELAY: Millis = Millis::from_secs(3);

/// How often the trial delay doubles at most.
const MAX_TRIAL_DOUBLINGS: u32 = 6;

/// How long a trial may take before another request may be tried.
const TRIAL_TIMEOUT: Millis = Millis::from_secs(20);

/// How long a part with too few crashes to be quarantined, or one that was cleared, is kept.
const RECORD_TTL: Millis = Millis::from_secs(120);

/// The maximum number of parts kept; those with the fewest crashes are evicted first.
const MAX_RECORDS: usize = 256;

/// How long a part with which a response was completed counts as sound before.
const SOUND_TTL: Millis = Millis::from_secs(600);

/// The maximum number of parts in a report.
const MAX_REPORTED_PARTS: usize = 16;

/// The maximum number of their crashes in a report, so that it fits into a datagram.
const MAX_REPORTED_CRASHES: usize = 96;

/// A part that was quarantined or released.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PartChange {
    /// The part.
    pub part: PromptPart,
    /// Whether requests with it are refused from now on.
    pub quarantined: bool,
    /// The number of crashes that count against it.
    pub crashes: usize,
}

// A part that is in quarantine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct UnsoundPart {
    part: PromptPart,
    // Whether other quarantined parts explain its crashes as well, or responses were completed with
    // it before.
    doubtful: bool,
}

/// Parts of prompts that were being processed when endpoints crashed.
#[derive(Debug)]
pub struct PartQuarantine {
    records: Map<PromptPart, PartRecord>,
    // The parts with which responses were completed here.
    sound: RecentSuccesses<PromptPart>,
    // When the latest request was sent to which each endpoint has responded, by short key.
    responses: Map<u32, Millis>,
    quarantined: Vec<UnsoundPart>,
    // The crashes under the parts in quarantine.
    explained: CrashList,
    changes: Vec<PartChange>,
    checked_at: Option<Millis>,
}

impl Default for PartQuarantine {
    fn default() -> Self {
        Self {
            records: Map::default(),
            sound: RecentSuccesses::new(SOUND_TTL),
            responses: Map::default(),
            quarantined: Vec::new(),
            explained: CrashList::default(),
            changes: Vec::new(),
            checked_at: None,
        }
    }
}

impl PartQuarantine {
    /// Records that an endpoint crashed, or broke the connection, while it ran a request with these
    /// parts.
    pub fn record_crash(&mut self, now: Millis, parts: &PromptParts, endpoint: u32) {
        self.record_failed_trials(parts);
        let last = parts.iter().last();
        for (position, part) in parts.positions() {
            let alone = Some(part) == last;
            let crash = Crash::new(endpoint, now, alone, CrashState::Observed);
            self.record_mut(now, part, position).crashes.add(crash);
        }
        self.evict(now);
    }

    /// Records that a request with these parts ended with a failure of its endpoint.
    pub fn record_failed_trials(&mut self, parts: &PromptParts) {
        for part in parts.iter() {
            if let Some(record) = self.records.get_mut(&part) {
                record.failed_trials += u32::from(record.trial.take().is_some());
            }
        }
    }

    /// Records that an endpoint fell silent while it ran a request with these parts, and is gone.
    pub(crate) fn record_silence(&mut self, now: Millis, parts: &PromptParts, crash: Crash) {
        let last = parts.iter().last();
        for (position, part) in parts.positions() {
            let alone = Some(part) == last;
            let record = self.record_mut(now, part, position);
            record.add_reported(Crash { alone, ..crash });
        }
        self.evict(now);
    }

    /// Returns when the latest request was sent to which an endpoint has responded.
    pub(crate) fn last_response(&self, endpoint: u32) -> Option<Millis> {
        self.responses.get(&endpoint).copied()
    }

    /// Records a response that shows that endpoints bear these parts.
    pub fn record_sound(&mut self, now: Millis, parts: &PromptParts) {
        for part in parts.iter() {
            self.sound.insert(now, part);
            if let Some(record) = self.records.get_mut(&part) {
                record.clear(now);
            }
        }
    }

    /// Records that an endpoint responded to a request sent at `sent_at`, so that what broke its
    /// connections before that was no crash.
    pub fn record_response(&mut self, endpoint: u32, sent_at: Millis) {
        let latest = self.responses.entry(endpoint).or_default();
        *latest = sent_at.max(*latest);
        for record in self.records.values_mut() {
            record.crashes.acquit(endpoint, sent_at);
        }
    }

    /// Records that the links of this instance were lost at this time, so that crashes recorded
    /// since then count only where the endpoint is gone.
    pub fn links_lost(&mut self, since: Millis) {
        for record in self.records.values_mut() {
            record.crashes.links_lost(since);
        }
    }

    /// Counts the crashes of endpoints that failed, also those since the links were lost; `has_failed`
    /// tells that by the short key.
    pub(crate) fn confirm(&mut self, has_failed: impl Fn(u32) -> bool) {
        for record in self.records.values_mut() {
            record.crashes.confirm(&has_failed);
        }
    }

    /// Returns the quarantined parts of a request.
    pub fn quarantined_parts<'a>(
        &'a self,
        parts: &'a PromptParts,
    ) -> impl Iterator<Item = PromptPart> + 'a {
        let is_quarantined = |part| self.quarantined.iter().any(|it| it.part == part);
        parts.iter().filter(move |it| is_quarantined(*it))
    }

    /// Returns whether no part is quarantined.
    pub fn is_empty(&self) -> bool {
        self.quarantined.is_empty()
    }

    /// Returns whether a request has a quarantined part and is not the one that is tried with it.
    pub fn is_refused(&self, parts: &PromptParts, fingerprint: u64) -> bool {
        let mut quarantined = self.quarantined_parts(parts);
        quarantined.any(|it| !self.is_trial(it, fingerprint))
    }

    /// Starts the trial of a quarantined part with this request if one is due, and returns whether
    /// it is.
    pub fn try_start_trial(&mut self, now: Millis, part: PromptPart, fingerprint: u64) -> bool {
        let doubtful = self
            .quarantined
            .iter()
            .any(|it| it.part == part && it.doubtful);
        let Some(record) = self.records.get_mut(&part) else {
            return false;
        };
        let Some(last_crash) = record.crashes.last() else {
            return false;
        };
        let delay = if doubtful {
            EXPLAINED_TRIAL_DELAY.0 << record.failed_trials.min(MAX_TRIAL_DOUBLINGS)
        } else {
            TRIAL_DELAY.0 << record.extra_crashes().min(MAX_TRIAL_DOUBLINGS)
        };
        let is_running = record
            .trial
            .is_some_and(|trial| now.since(trial.1) < TRIAL_TIMEOUT);
        if is_running || now.since(last_crash).0 < delay {
            return false;
        }
        record.trial = Some((fingerprint, now));
        true
    }

    /// Returns whether [`Self::update`] is due.
    pub fn is_due(&self, now: Millis) -> bool {
        let is_recent = |at| now.since(at) < CHECK_INTERVAL;
        !self.records.is_empty() && !self.checked_at.is_some_and(is_recent)
    }

    /// Decides which parts are quarantined. If links of this instance are in doubt, the crashes
    /// recorded since then do not count yet, except of endpoints that are gone; `is_gone` tells that
    /// by the short key.
    pub fn update(&mut self, now: Millis, doubt: Option<Millis>, is_gone: impl Fn(u32) -> bool) {
        if !self.is_due(now) {
            return;
        }
        self.checked_at = Some(now);
        self.confirm(is_gone);
        let quarantined = self.unsound_parts(now.since(CONFIRMATION_DELAY), doubt);
        let before = std::mem::replace(&mut self.quarantined, quarantined);
        self.explained = self.crashes_in_quarantine();
        self.record_changes(&before);
    }

    /// Returns the crashes under the parts in quarantine.
    pub(crate) fn all_explained_crashes(&self) -> &CrashList {
        &self.explained
    }

    /// Returns the crashes that parts in quarantine explain for a request with these parts, unless it
    /// has such a part itself: then it has crashed these endpoints, whichever of both is at fault.
    pub(crate) fn explained_crashes(&self, parts: &PromptParts) -> Option<&CrashList> {
        let quarantined = self.quarantined_parts(parts).next();
        quarantined.is_none().then_some(&self.explained)
    }

    /// Forgets what is too old to matter.
    pub fn prune(&mut self, now: Millis) {
        self.records.retain(|_, it| !it.is_expired(now, RECORD_TTL));
        self.responses
            .retain(|_, sent_at| now.since(*sent_at) < RECORD_TTL);
    }

    /// Returns the parts that were quarantined or released since the last call.
    pub fn take_changes(&mut self) -> Vec<PartChange> {
        std::mem::take(&mut self.changes)
    }

    /// Returns the rows for a report to peers: the parts with the most crashes first. The crashes
    /// since `doubt` are left out.
    pub fn report_rows(&self, now: Millis, doubt: Option<Millis>) -> Vec<PartRow> {
        let mut all: Vec<_> = self.records.iter().collect();
        all.sort_by_key(|(part, record)| {
            let latest = record.crashes.last().max(record.sound_at);
            (Reverse(record.crashes.len()), Reverse(latest), **part)
        });
        all.truncate(MAX_REPORTED_PARTS);
        let rows = all.into_iter();
        let mut crash_count = 0;
        rows.map(|(part, record)| record.report_row(now, *part, doubt))
            .take_while(|row| {
                crash_count += row.crashes.len();
                crash_count <= MAX_REPORTED_CRASHES
            })
            .collect()
    }

    /// Adds what a peer reports.
    pub fn merge(&mut self, now: Millis, rows: &[PartRow]) {
        for row in rows {
            let record = self.record_mut(now, row.part, row.position);
            if let Some(age) = row.sound_age {
                record.clear_reported(now.since(Millis(age.into())));
            }
            for crash in &row.crashes {
                let crash = Crash::from_row(now, *crash);
                let responded = self.responses.get(&crash.endpoint);
                if responded.is_none_or(|sent_at| *sent_at <= crash.at) {
                    self.record_mut(now, row.part, row.position)
                        .add_reported(crash);
                }
            }
        }
        self.evict(now);
    }

    // Returns the parts that explain the crashes before `end`. A part that another one explains is
    // considered after it, and so is one that was sound before and that all others together explain.
    fn unsound_parts(&self, end: Millis, doubt: Option<Millis>) -> Vec<UnsoundPart> {
        let (mut remaining, mut later) = split_explained(self.candidates(end, doubt));
        let mut explained = CrashList::default();
        let mut unsound = Vec::new();
        loop {
            if remaining.is_empty() {
                remaining.append(&mut later);
            }
            if remaining.is_empty() {
                return unsound;
            }
            let independent = remaining
                .iter()
                .position(|it| !remaining.iter().any(|other| other.explains(it)));
            let candidate = remaining.remove(independent.unwrap_or(0));
            let unexplained = candidate.crashes.without(&explained);
            let alone = candidate.crashes.alone();
            if candidate.is_unsound(&unexplained) {
                explained.extend(&unexplained);
                unsound.push(UnsoundPart {
                    part: candidate.part,
                    doubtful: candidate.was_sound,
                });
            } else if !candidate.was_sound && alone.len() >= MAX_TOLERATED_CRASHES {
                unsound.push(UnsoundPart {
                    part: candidate.part,
                    doubtful: true,
                });
            }
        }
    }

    fn crashes_in_quarantine(&self) -> CrashList {
        let quarantined = self.quarantined.iter();
        let records = quarantined.filter_map(|it| self.records.get(&it.part));
        let mut crashes = CrashList::default();
        for record in records {
            crashes.extend(&record.crashes.without(&crashes));
        }
        crashes
    }

    // Returns the parts that may have to be quarantined, those with the most crashes first.
    fn candidates(&self, end: Millis, doubt: Option<Millis>) -> Vec<Candidate> {
        let records = self.records.iter();
        let mut candidates: Vec<Candidate> = records
            .filter(|row| row.1.crashes.len() >= CRASHES_TO_QUARANTINE)
            .map(|(part, record)| Candidate {
                part: *part,
                position: record.position,
                crashes: record.crashes.counted(doubt).before(end),
                was_sound: record.sound_at.is_some() || self.sound.get(*part).is_some(),
            })
            .filter(|it| it.is_unsound(&it.crashes))
            .collect();
        candidates.sort_by_key(|it| (Reverse(it.crashes.len()), Reverse(it.position), it.part));
        candidates.truncate(MAX_CANDIDATES);
        candidates
    }

    fn is_trial(&self, part: PromptPart, fingerprint: u64) -> bool {
        let trial = self.records.get(&part).and_then(|it| it.trial);
        trial.is_some_and(|it| it.0 == fingerprint)
    }

    fn record_mut(&mut self, now: Millis, part: PromptPart, position: u8) -> &mut PartRecord {
        let sound_at = self.sound.get(part);
        let new = || PartRecord::new(now, position, sound_at);
        self.records.entry(part).or_insert_with(new)
    }

    fn record_changes(&mut self, before: &[UnsoundPart]) {
        let contains = |all: &[UnsoundPart], part| all.iter().any(|it| it.part == part);
        let added = self.quarantined.iter().map(|it| (it.part, true));
        let removed = before.iter().map(|it| (it.part, false));
        for (part, quarantined) in added.chain(removed) {
            if contains(before, part) != contains(&self.quarantined, part) {
                let record = self.records.get(&part);
                self.changes.push(PartChange {
                    part,
                    quarantined,
                    crashes: record.map_or(0, |it| it.crashes.len()),
                });
            }
        }
    }

    fn evict(&mut self, now: Millis) {
        self.records.retain(|_, it| !it.is_expired(now, RECORD_TTL));
        while self.records.len() > MAX_RECORDS {
            let weakest = self.records.iter().min_by_key(|(part, record)| {
                let latest = record.crashes.last().max(record.sound_at);
                (record.crashes.len(), latest, **part)
            });
            let Some(part) = weakest.map(|row| *row.0) else {
                return;
            };
            self.records.remove(&part);
        }
    }
}

// Separates the candidates that were sound before and whose crashes the others together explain.
fn split_explained(candidates: Vec<Candidate>) -> (Vec<Candidate>, Vec<Candidate>) {
    let mut of_others = CrashList::default();
    for candidate in candidates.iter().filter(|it| !it.was_sound) {
        of_others.extend(&candidate.crashes.without(&of_others));
    }
    let is_independent = |it: &Candidate| !it.was_sound || !it.is_explained_by(&of_others);
    candidates.into_iter().partition(is_independent)
}

//! Quarantine of poison requests, which crash the endpoints that run them.
//!
//! All requests that run at an endpoint when it crashes are suspected. A complete response clears a
//! request, at all instances.

mod request_record;

use std::cmp::Reverse;

use self::request_record::RequestRecord;
use crate::crash_list::Crash;
use crate::crash_list::CrashList;
use crate::recent_successes::RecentSuccesses;
use crate::report::SoundRequestRow;
use crate::report::age;
use crate::report_turns::ReportTurns;
use siskinyoke_base::Map;
use siskinyoke_base::Millis;

/// The number of crashes after which a request is quarantined.
///
/// After one crash the endpoint itself is the likelier cause; a second crash of another endpoint
/// under the same request points to the request. The platform's rules tolerate three crashes. A
/// limit of two leaves a margin for retries that start before a crash is reported to all instances.
const CRASHES_TO_QUARANTINE: usize = 2;

/// The number of crashes after which a request is quarantined even if all endpoints may have failed
/// at the same moment. The attempts of one caller seldom reach that many of them.
const CRASHES_AT_ONCE: usize = 3;

/// The number of crashes after which a request is quarantined that an endpoint has completed before.
///
/// A poison request completes nowhere, so the cause is likelier another one.
const CRASHES_OF_SOUND_REQUEST: usize = 5;

/// How long a request stays quarantined after its last crash.
const RECORD_TTL: Millis = Millis::from_secs(120);

/// The maximum number of fingerprints kept; the one with the oldest crash is evicted first.
const MAX_FINGERPRINTS: usize = 256;

/// Fingerprints of requests that were running when endpoints crashed.
#[derive(Debug)]
pub struct Quarantine {
    records: Map<u64, RequestRecord>,
    // The requests that were completed, here or as far as peers report it.
    sound: RecentSuccesses<u64>,
    crash_turns: ReportTurns,
    sound_turns: ReportTurns,
}

impl Default for Quarantine {
    fn default() -> Self {
        Self {
            records: Map::default(),
            sound: RecentSuccesses::new(RECORD_TTL),
            crash_turns: ReportTurns::default(),
            sound_turns: ReportTurns::default(),
        }
    }
}

impl Quarantine {
    /// Records that an endpoint crashed while it ran a request, and returns whether the crashes
    /// suffice to quarantine a request that was not completed before.
    pub fn record_crash(&mut self, now: Millis, fingerprint: u64, endpoint: u32) -> bool {
        let record = self.record_mut(now, fingerprint);
        record.add(now, endpoint);
        let suspected = record.is_suspected();
        self.evict_oldest();
        suspected
    }

    /// Records that an endpoint fell silent under a request and is gone.
    pub fn record_silence(&mut self, now: Millis, fingerprint: u64, crash: Crash) {
        self.record_mut(now, fingerprint).add_silent(crash);
        self.evict_oldest();
    }

    /// Adds the crashes that a peer reports.
    pub fn merge_crashes(&mut self, now: Millis, rows: &[(u64, Vec<u32>)]) {
        for (fingerprint, endpoints) in rows {
            let record = self.record_mut(now, *fingerprint);
            for endpoint in endpoints {
                record.add_reported(now, *endpoint);
            }
            self.evict_oldest();
        }
    }

    /// Records that a request ran to completion.
    pub fn record_sound(&mut self, now: Millis, fingerprint: u64) {
        self.sound.insert(now, fingerprint);
        if let Some(record) = self.records.get_mut(&fingerprint) {
            record.clear(now);
        }
    }

    /// Records that an endpoint responded to a request sent at `sent_at`, so that what broke its
    /// connections before that was no crash.
    pub fn record_response(&mut self, endpoint: u32, sent_at: Millis) {
        for record in self.records.values_mut() {
            record.acquit(endpoint, sent_at);
        }
    }

    /// Records that the links of this instance were lost at this time, so that crashes recorded
    /// since then count only once they are confirmed, or a peer reports them.
    pub fn links_lost(&mut self, since: Millis) {
        for record in self.records.values_mut() {
            record.crashes.links_lost(since);
        }
    }

    /// Counts the crashes of endpoints that failed, also those since the links were lost; `has_failed`
    /// tells that by the short key.
    pub fn confirm(&mut self, has_failed: impl Fn(u32) -> bool) {
        for record in self.records.values_mut() {
            record.crashes.confirm(&has_failed);
        }
    }

    /// Returns the requests in quarantine that were not returned since their last crash, each with the
    /// endpoints that it crashed. Crashes since `doubt`, and those that parts of prompts explain, do
    /// not count.
    pub fn take_unsaved(
        &mut self,
        now: Millis,
        doubt: Option<Millis>,
        explained: &CrashList,
    ) -> Vec<(u64, Vec<u32>)> {
        let records = self.records.iter_mut();
        let unsaved = records.filter_map(|(fingerprint, record)| {
            let is_due = !record.is_expired(now, RECORD_TTL)
                && record.saved_crashes != record.crashes.len()
                && record.is_unsound(doubt, Some(explained));
            is_due.then(|| {
                record.saved_crashes = record.crashes.len();
                let endpoints = record.crashes.iter().map(|it| it.endpoint);
                (*fingerprint, endpoints.collect())
            })
        });
        unsaved.collect()
    }

    /// Returns whether no crash is known.
    pub fn is_clear(&self) -> bool {
        self.records.values().all(|it| it.crashes.len() == 0)
    }

    /// Returns the number of crashes that do not count, as the links of this instance were lost.
    pub fn unconfirmed_count(&self) -> usize {
        let records = self.records.values();
        records.map(|it| it.crashes.unconfirmed_count()).sum()
    }

    /// Returns whether a request must not be run. If the links of this instance are in doubt, the
    /// crashes recorded since then do not count yet. Those that parts of prompts explain do not
    /// count.
    pub fn is_quarantined(
        &self,
        now: Millis,
        fingerprint: u64,
        doubt: Option<Millis>,
        explained: Option<&CrashList>,
    ) -> bool {
        self.records
            .get(&fingerprint)
            .is_some_and(|it| !it.is_expired(now, RECORD_TTL) && it.is_unsound(doubt, explained))
    }

    /// Returns whether no request is quarantined, without a look at each waiting one.
    pub fn is_empty(&self, now: Millis) -> bool {
        let mut records = self.records.values();
        records.all(|it| it.is_expired(now, RECORD_TTL) || !it.is_suspected())
    }

    /// Returns the crashes for a report to peers: the latest ones, and the others in turn. If links of
    /// this instance are in doubt, those recorded since then are left out.
    pub fn next_crash_rows(
        &mut self,
        now: Millis,
        limit: usize,
        doubt: Option<Millis>,
    ) -> Vec<(u64, Vec<u32>)> {
        let records = self.latest_records().into_iter();
        let recent = records.filter(|it| !it.1.is_expired(now, RECORD_TTL));
        let rows = recent.map(|(fingerprint, record)| {
            let crashes = record.crashes.counted(doubt).observed();
            (fingerprint, crashes.iter().map(|it| it.endpoint).collect())
        });
        let rows = rows.filter(|row: &(u64, Vec<u32>)| !row.1.is_empty());
        let rows = rows.collect();
        self.crash_turns.select(rows, limit)
    }

    /// Returns the requests for a report to peers that were completed although they ran beside crashes:
    /// those with the latest crashes, and the others in turn.
    pub fn next_sound_rows(&mut self, now: Millis, limit: usize) -> Vec<SoundRequestRow> {
        let records = self.latest_records().into_iter();
        let rows = records.filter_map(|(fingerprint, record)| {
            Some(SoundRequestRow {
                fingerprint,
                age: age(now, record.sound_at?),
            })
        });
        let rows = rows.collect();
        self.sound_turns.select(rows, limit)
    }

    /// Adds the requests that a peer reports as completed.
    pub fn merge_sound(&mut self, now: Millis, rows: &[SoundRequestRow]) {
        for row in rows {
            let at = now.since(Millis(row.age.into()));
            self.record_sound(at, row.fingerprint);
        }
    }

    // Returns the records, those with the latest crashes first.
    fn latest_records(&self) -> Vec<(u64, &RequestRecord)> {
        let records = self.records.iter();
        let mut all: Vec<_> = records.map(|(key, record)| (*key, record)).collect();
        all.sort_by_key(|(fingerprint, record)| (Reverse(record.last_crash), *fingerprint));
        all
    }

    // Returns the record of a request, without crashes that are too old to count.
    fn record_mut(&mut self, now: Millis, fingerprint: u64) -> &mut RequestRecord {
        let sound_at = self.sound.get(fingerprint);
        let record = self.records.entry(fingerprint).or_default();
        record.sound_at = record.sound_at.max(sound_at);
        if record.is_expired(now, RECORD_TTL) {
            record.dismiss_all();
        }
        record
    }

    fn evict_oldest(&mut self) {
        if self.records.len() <= MAX_FINGERPRINTS {
            return;
        }
        let oldest = self
            .records
            .iter()
            .min_by_key(|(fingerprint, record)| (record.last_crash, **fingerprint));
        if let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) {
            self.records.remove(&fingerprint);
        }
    }
}

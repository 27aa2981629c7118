//! Quarantine of poison requests, which crash the endpoints that run them.

use siskinyoke_base::Map;
use siskinyoke_base::Millis;

/// The number of crashes after which a request is quarantined.
///
/// After one crash the endpoint itself is the likelier cause; a second crash of another endpoint
/// under the same request points to the request. The platform's rules tolerate three crashes. A
/// limit of two leaves a margin for retries that start before a crash is reported to all instances.
const CRASHES_TO_QUARANTINE: usize = 2;

/// How long a request stays quarantined after its last crash.
const RECORD_TTL: Millis = Millis::from_secs(120);

/// The maximum number of fingerprints kept; the one with the oldest crash is evicted first.
const MAX_FINGERPRINTS: usize = 256;

#[derive(Debug, Clone, Default)]
struct CrashRecord {
    // Endpoint starts that crashed while running the request, by short key. Instances report these
    // rather than a count: if three instances each saw one crash at the same time, merged counts
    // would remain at one.
    endpoints: Vec<u32>,
    // When the last crash was recorded.
    last_crash: Millis,
}

/// Fingerprints of requests that were running when endpoints crashed.
#[derive(Debug, Default)]
pub struct Quarantine {
    records: Map<u64, CrashRecord>,
}

impl Quarantine {
    /// Records that an endpoint crashed while it ran a request, as observed here or reported by a
    /// peer, and returns whether the request is quarantined for it.
    pub fn record_crash(&mut self, now: Millis, fingerprint: u64, endpoint: u32) -> bool {
        let record = self.records.entry(fingerprint).or_default();
        if record.endpoints.len() >= CRASHES_TO_QUARANTINE || record.endpoints.contains(&endpoint) {
            return false;
        }
        record.endpoints.push(endpoint);
        record.last_crash = now;
        let quarantined = record.endpoints.len() >= CRASHES_TO_QUARANTINE;
        self.evict_oldest();
        quarantined
    }

    /// Forgets a request that ran to completion.
    pub fn clear(&mut self, fingerprint: u64) {
        self.records.remove(&fingerprint);
    }

    /// Forgets the requests whose last crash was recorded at this time or later.
    pub fn forget_since(&mut self, since: Millis) {
        self.records.retain(|_, it| it.last_crash < since);
    }

    /// Returns whether a request must not be run. If the links of this instance are in doubt, the
    /// crashes recorded since then do not count yet.
    pub fn is_quarantined(&self, now: Millis, fingerprint: u64, doubt: Option<Millis>) -> bool {
        self.records.get(&fingerprint).is_some_and(|it| {
            it.endpoints.len() >= CRASHES_TO_QUARANTINE
                && now.since(it.last_crash) < RECORD_TTL
                && doubt.is_none_or(|since| it.last_crash < since)
        })
    }

    /// Returns whether no crashes are recorded.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the most recent crashes, which are reported to peers, latest first.
    pub fn recent_crashes(&self, limit: usize) -> Vec<(u64, Vec<u32>)> {
        let mut all: Vec<_> = self.records.iter().collect();
        all.sort_by_key(|(key, record)| (std::cmp::Reverse(record.last_crash), **key));
        all.iter()
            .take(limit)
            .map(|(fingerprint, record)| (**fingerprint, record.endpoints.clone()))
            .collect()
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

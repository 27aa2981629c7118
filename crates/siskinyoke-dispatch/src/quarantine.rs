//! Work that crashes the endpoints that run it, kept from the rest.

use siskinyoke_base::Map;
use siskinyoke_base::Millis;

/// Crashes after which the same work is refused.
///
/// One crash is most often the endpoint's own end; a second one on another endpoint, with the
/// same work, is not. Three are tolerated by the platform's rules, so two keep a margin for
/// resends that cross the news between instances.
const MAX_CRASHES: usize = 2;

/// How long suspect work is remembered.
const QUARANTINE_TIME: Millis = Millis::from_secs(120);

/// The most fingerprints that are kept; the oldest go first.
const MAX_FINGERPRINTS: usize = 256;

#[derive(Debug, Clone, Default)]
struct CrashRecord {
    // Starts of endpoints that died under it. Instances tell which ones, not how many: three that see
    // one crash each at the same moment would else all count one.
    endpoints: Vec<u32>,
    last_crash: Millis,
}

/// Fingerprints of work that was running when endpoints died.
#[derive(Debug, Default)]
pub struct Quarantine {
    records: Map<u64, CrashRecord>,
}

impl Quarantine {
    /// Takes note that an endpoint died while it ran this work, as seen here or told by a peer.
    pub fn record_crash(&mut self, now: Millis, fingerprint: u64, endpoint: u32) {
        let record = self.records.entry(fingerprint).or_default();
        if record.endpoints.len() >= MAX_CRASHES || record.endpoints.contains(&endpoint) {
            return;
        }
        record.endpoints.push(endpoint);
        record.last_crash = now;
        self.evict_oldest();
    }

    /// Forgets work that ran to its end.
    pub fn clear(&mut self, fingerprint: u64) {
        self.records.remove(&fingerprint);
    }

    /// Returns whether this work must not run any more.
    pub fn is_quarantined(&self, now: Millis, fingerprint: u64) -> bool {
        self.records.get(&fingerprint).is_some_and(|record| {
            record.endpoints.len() >= MAX_CRASHES && now.since(record.last_crash) < QUARANTINE_TIME
        })
    }

    /// Returns whether nothing is suspected.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns what peers should know, latest first.
    pub fn recent_crashes(&self, most: usize) -> Vec<(u64, Vec<u32>)> {
        let mut all: Vec<_> = self.records.iter().collect();
        all.sort_by_key(|(fingerprint, record)| {
            (std::cmp::Reverse(record.last_crash), **fingerprint)
        });
        all.iter()
            .take(most)
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

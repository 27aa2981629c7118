//! Work that crashes the endpoints that run it, kept from the rest.

use siskinyoke_base::Map;
use siskinyoke_base::Millis;

/// Crashes after which the same work is refused.
///
/// One crash is most often the endpoint's own end; a second one on another endpoint, with the
/// same work, is not. Three are tolerated by the platform's rules, so two keep a margin for
/// resends that cross the news between instances.
const MOST: usize = 2;

/// How long suspect work is remembered.
const MEMORY: Millis = Millis::from_secs(120);

/// The most fingerprints that are kept; the oldest go first.
const KEPT: usize = 256;

#[derive(Debug, Clone, Default)]
struct Suspect {
    // Starts of endpoints that died under it. Instances tell which ones, not how many: three that see
    // one crash each at the same moment would else all count one.
    endpoints: Vec<u32>,
    last: Millis,
}

/// Fingerprints of work that was running when endpoints died.
#[derive(Debug, Default)]
pub struct Quarantine {
    known: Map<u64, Suspect>,
}

impl Quarantine {
    /// Takes note that an endpoint died while it ran this work, as seen here or told by a peer.
    pub fn crashed(&mut self, now: Millis, fingerprint: u64, endpoint: u32) {
        let suspect = self.known.entry(fingerprint).or_default();
        if suspect.endpoints.len() >= MOST || suspect.endpoints.contains(&endpoint) {
            return;
        }
        suspect.endpoints.push(endpoint);
        suspect.last = now;
        self.bound();
    }

    /// Forgets work that ran to its end.
    pub fn cleared(&mut self, fingerprint: u64) {
        self.known.remove(&fingerprint);
    }

    /// Returns whether this work must not run any more.
    pub fn refuses(&self, now: Millis, fingerprint: u64) -> bool {
        self.known
            .get(&fingerprint)
            .is_some_and(|known| known.endpoints.len() >= MOST && now.since(known.last) < MEMORY)
    }

    /// Returns whether nothing is suspected.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Returns what peers should know, latest first.
    pub fn news(&self, most: usize) -> Vec<(u64, Vec<u32>)> {
        let mut all: Vec<_> = self.known.iter().collect();
        all.sort_by_key(|(print, suspect)| (std::cmp::Reverse(suspect.last), **print));
        all.iter()
            .take(most)
            .map(|(print, suspect)| (**print, suspect.endpoints.clone()))
            .collect()
    }

    fn bound(&mut self) {
        if self.known.len() <= KEPT {
            return;
        }
        let oldest = self
            .known
            .iter()
            .min_by_key(|(print, suspect)| (suspect.last, **print));
        if let Some(print) = oldest.map(|(print, _)| *print) {
            self.known.remove(&print);
        }
    }
}

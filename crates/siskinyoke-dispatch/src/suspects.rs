//! Work that crashes the endpoints that run it, kept from the rest.

use siskinyoke_base::Map;
use siskinyoke_base::Millis;

/// Crashes after which the same work is refused.
///
/// One crash is most often the endpoint's own end; a second one on another endpoint, with the
/// same work, is not. Three are tolerated by the platform's rules, so two keep a margin for
/// resends that cross the news between instances.
const MOST: u8 = 2;

/// How long suspect work is remembered.
const MEMORY: Millis = Millis::from_secs(120);

/// The most fingerprints that are kept; the oldest go first.
const KEPT: usize = 256;

#[derive(Debug, Clone, Copy)]
struct Suspect {
    crashes: u8,
    last: Millis,
}

/// Fingerprints of work that was running when endpoints died.
#[derive(Debug, Default)]
pub struct Suspects {
    known: Map<u64, Suspect>,
}

impl Suspects {
    /// Counts a crash of an endpoint that ran this work.
    pub fn crashed(&mut self, now: Millis, fingerprint: u64) {
        let crashes = self
            .known
            .get(&fingerprint)
            .map_or(0, |suspect| suspect.crashes);
        self.learn(now, fingerprint, crashes.saturating_add(1));
    }

    /// Takes over a peer's count, if it is higher.
    pub fn heard(&mut self, now: Millis, fingerprint: u64, crashes: u8) {
        if self
            .known
            .get(&fingerprint)
            .is_none_or(|known| known.crashes < crashes)
        {
            self.learn(now, fingerprint, crashes);
        }
    }

    /// Forgets work that ran to its end.
    pub fn cleared(&mut self, fingerprint: u64) {
        self.known.remove(&fingerprint);
    }

    /// Returns whether this work must not run any more.
    pub fn refuses(&self, now: Millis, fingerprint: u64) -> bool {
        self.known
            .get(&fingerprint)
            .is_some_and(|known| known.crashes >= MOST && now.since(known.last) < MEMORY)
    }

    /// Returns what peers should know, latest first.
    pub fn news(&self, most: usize) -> Vec<(u64, u8)> {
        let mut all: Vec<_> = self.known.iter().collect();
        all.sort_by_key(|(print, suspect)| (std::cmp::Reverse(suspect.last), **print));
        all.iter()
            .take(most)
            .map(|(print, suspect)| (**print, suspect.crashes))
            .collect()
    }

    fn learn(&mut self, now: Millis, fingerprint: u64, crashes: u8) {
        self.known
            .insert(fingerprint, Suspect { crashes, last: now });
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

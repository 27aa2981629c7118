//! What succeeded recently, and when.

use std::hash::Hash;

use siskinyoke_base::Map;
use siskinyoke_base::Millis;

/// The maximum number of keys kept; the older half is evicted first.
const MAX_KEYS: usize = 4_096;

/// The time of the latest success for each key.
#[derive(Debug)]
pub(crate) struct RecentSuccesses<K> {
    times: Map<K, Millis>,
    ttl: Millis,
}

impl<K: Copy + Eq + Hash> RecentSuccesses<K> {
    /// Creates an empty set of which keys are evicted `ttl` after their latest success.
    pub(crate) fn new(ttl: Millis) -> Self {
        Self {
            times: Map::default(),
            ttl,
        }
    }

    /// Records a success.
    pub(crate) fn insert(&mut self, now: Millis, key: K) {
        let latest = self.times.entry(key).or_default();
        *latest = now.max(*latest);
        if self.times.len() > MAX_KEYS {
            self.evict(now);
        }
    }

    /// Returns the time of the latest success for a key, if that is known.
    pub(crate) fn get(&self, key: K) -> Option<Millis> {
        self.times.get(&key).copied()
    }

    fn evict(&mut self, now: Millis) {
        self.times.retain(|_, at| now.since(*at) < self.ttl);
        if self.times.len() > MAX_KEYS {
            let mut times: Vec<Millis> = self.times.values().copied().collect();
            times.sort_unstable();
            let median = times[times.len() / 2];
            self.times.retain(|_, at| *at > median);
        }
    }
}

//! Store entries that expire unless their writer renews their lease.

use std::collections::BTreeMap;
use std::sync::Arc;

use siskinyoke_base::Millis;

/// How long entries may be missing after an outage of the store or its return from a copy.
///
/// Their leases may have expired during the outage, or they are later than the copy, and live writers register again within two
/// seconds of its end. Without the grace period, all requests would be refused until then. Together
/// with the time until the end is noticed, it is shorter than the settling time, as some of these
/// entries belong to endpoints that left.
const OUTAGE_GRACE: Millis = Millis(2_100);

#[derive(Debug, Clone)]
struct Entry<T> {
    value: T,
    // Set while the entry is missing from the store: the entry is kept until this time.
    expires: Option<Millis>,
}

/// Store entries that expire unless their writer renews their lease.
#[derive(Debug)]
pub struct LeasedEntries<T> {
    entries: BTreeMap<Arc<str>, Entry<T>>,
    store_unreachable: bool,
    // When the last outage of the store ended, or its return from a copy was noticed.
    reachable_since: Option<Millis>,
}

impl<T> Default for LeasedEntries<T> {
    fn default() -> Self {
        Self {
            entries: BTreeMap::new(),
            store_unreachable: false,
            reachable_since: None,
        }
    }
}

impl<T> LeasedEntries<T> {
    /// Records that the store cannot be reached.
    pub fn mark_store_unreachable(&mut self) {
        self.store_unreachable = true;
        self.reachable_since = None;
    }

    /// Records that the store can be reached again.
    pub fn mark_store_reachable(&mut self, now: Millis) {
        if self.store_unreachable {
            self.store_unreachable = false;
            self.reachable_since = Some(now);
        }
    }

    /// Records that the store came back from an earlier copy, in which live entries may be missing.
    pub fn mark_restored(&mut self, now: Millis) {
        self.reachable_since = Some(now);
    }

    /// Adds or replaces an entry.
    pub fn put(&mut self, name: &str, value: T) {
        self.entries.insert(
            name.into(),
            Entry {
                value,
                expires: None,
            },
        );
    }

    /// Removes an entry that is gone from the store, after the grace period if there is one.
    pub fn remove(&mut self, now: Millis, name: &str) {
        let grace = self.grace(now);
        let Some(entry) = self.entries.get_mut(name) else {
            return;
        };
        entry.expires.get_or_insert(now + grace);
        self.remove_expired(now);
    }

    /// Removes entries whose grace period has ended and returns whether there were any.
    pub fn remove_expired(&mut self, now: Millis) -> bool {
        let before = self.entries.len();
        self.entries
            .retain(|_, entry| entry.expires.is_none_or(|until| now < until));
        self.entries.len() < before
    }

    /// Returns how long an entry that is removed now stays in use.
    pub fn grace(&self, now: Millis) -> Millis {
        match self.reachable_since {
            _ if self.store_unreachable => OUTAGE_GRACE,
            Some(reachable_since) => OUTAGE_GRACE.since(now.since(reachable_since)),
            None => Millis::ZERO,
        }
    }

    /// Returns an entry.
    pub fn get(&self, name: &str) -> Option<&T> {
        self.entries.get(name).map(|entry| &entry.value)
    }

    /// Returns the entries, ordered by name.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &T)> {
        self.entries
            .iter()
            .map(|(name, entry)| (&**name, &entry.value))
    }
}

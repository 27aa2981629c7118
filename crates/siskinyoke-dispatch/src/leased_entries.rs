//! Entries of the store that live as long as their writer renews them.

use std::collections::BTreeMap;
use std::sync::Arc;

use siskinyoke_base::Millis;

/// How long entries may be missing after the store came back from an outage.
///
/// Their leases may have run out while the store was away; living writers are back within two
/// seconds of its return. Dropping their entries at once would refuse all work for that time.
const OUTAGE_GRACE: Millis = Millis(2_300);

#[derive(Debug, Clone)]
struct Entry<T> {
    value: T,
    // Set while the entry is missing from the store: believed until then.
    expires: Option<Millis>,
}

/// Entries of the store that live as long as their writer renews them.
#[derive(Debug)]
pub struct LeasedEntries<T> {
    entries: BTreeMap<Arc<str>, Entry<T>>,
    unreachable: bool,
    regained: Option<Millis>,
}

impl<T> Default for LeasedEntries<T> {
    fn default() -> Self {
        Self {
            entries: BTreeMap::new(),
            unreachable: false,
            regained: None,
        }
    }
}

impl<T> LeasedEntries<T> {
    /// Takes note that the store could not be reached.
    pub fn store_unreachable(&mut self) {
        self.unreachable = true;
        self.regained = None;
    }

    /// Takes note that the store answers again.
    pub fn store_reachable(&mut self, now: Millis) {
        if self.unreachable {
            self.unreachable = false;
            self.regained = Some(now);
        }
    }

    /// Adds an entry or replaces it.
    pub fn put(&mut self, name: &str, value: T) {
        self.entries.insert(
            name.into(),
            Entry {
                value,
                expires: None,
            },
        );
    }

    /// Takes note that an entry is gone.
    pub fn remove(&mut self, now: Millis, name: &str) {
        let grace = self.grace(now);
        let Some(entry) = self.entries.get_mut(name) else {
            return;
        };
        entry.expires.get_or_insert(now + grace);
        self.remove_expired(now);
    }

    /// Drops entries whose time is over, and returns whether there were any.
    pub fn remove_expired(&mut self, now: Millis) -> bool {
        let before = self.entries.len();
        self.entries
            .retain(|_, entry| entry.expires.is_none_or(|until| now < until));
        self.entries.len() < before
    }

    /// Returns the entries, in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &T)> {
        self.entries
            .iter()
            .map(|(name, entry)| (&**name, &entry.value))
    }

    fn grace(&self, now: Millis) -> Millis {
        match self.regained {
            _ if self.unreachable => OUTAGE_GRACE,
            Some(regained) => OUTAGE_GRACE.since(now.since(regained)),
            None => Millis::ZERO,
        }
    }
}

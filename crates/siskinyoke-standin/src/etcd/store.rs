//! Keys, revisions and leases as etcd keeps them.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use siskinyoke_base::Millis;

/// Events kept for watches that start in the past; older ones count as compacted.
const MAX_HISTORY_EVENTS: usize = 4096;

/// A key with its value and numbers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The key.
    pub key: Vec<u8>,
    /// The value.
    pub value: Vec<u8>,
    /// Revision of the write that made the key.
    pub create_revision: i64,
    /// Revision of the last write.
    pub mod_revision: i64,
    /// Writes since it was made.
    pub version: i64,
    /// The lease that it lives under, or 0.
    pub lease: i64,
}

/// One change of one key.
#[derive(Debug, Clone)]
pub struct Event {
    /// The key after the change; a removed one has no value.
    pub entry: Entry,
    /// Whether it was removed.
    pub deleted: bool,
}

/// A range of keys: one key, or all from it up to an end.
#[derive(Debug, Clone, Default)]
pub struct KeyRange {
    /// The first key.
    pub key: Vec<u8>,
    /// Empty for the one key, `[0]` for all that follow.
    pub end: Vec<u8>,
}

impl KeyRange {
    /// Says whether a key lies within the range.
    pub fn contains(&self, key: &[u8]) -> bool {
        if self.end.is_empty() {
            return key == self.key;
        }
        key >= self.key.as_slice() && (self.end == [0] || key < self.end.as_slice())
    }
}

#[derive(Debug)]
struct Lease {
    ttl: Millis,
    expires_at: Millis,
}

/// The store; time comes in from outside.
#[derive(Debug)]
pub struct Store {
    revision: i64,
    entries: BTreeMap<Vec<u8>, Entry>,
    leases: BTreeMap<i64, Lease>,
    events: VecDeque<Event>,
    compacted_revision: i64,
    lease_count: i64,
}

impl Default for Store {
    fn default() -> Self {
        Self {
            revision: 1,
            entries: BTreeMap::new(),
            leases: BTreeMap::new(),
            events: VecDeque::new(),
            compacted_revision: 0,
            lease_count: 0,
        }
    }
}

impl Store {
    /// Returns the revision of the last write.
    pub fn revision(&self) -> i64 {
        self.revision
    }

    /// Returns the last revision whose events are no longer kept.
    pub fn compacted_revision(&self) -> i64 {
        self.compacted_revision
    }

    /// Returns one key.
    pub fn get(&self, key: &[u8]) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// Returns the keys of a range in their order.
    pub fn range(&self, span: &KeyRange) -> Vec<&Entry> {
        let from = self.entries.range(span.key.clone()..);
        let within = from.take_while(|(key, _)| span.contains(key));
        within.map(|(_, entry)| entry).collect()
    }

    /// Begins a write, and returns its revision.
    pub fn next_revision(&mut self) -> i64 {
        self.revision += 1;
        self.revision
    }

    /// Writes a key under a revision.
    pub fn put(&mut self, revision: i64, key: Vec<u8>, value: Vec<u8>, lease: i64) {
        let before = self.entries.get(&key);
        let entry = Entry {
            create_revision: before.map_or(revision, |entry| entry.create_revision),
            version: before.map_or(0, |entry| entry.version) + 1,
            mod_revision: revision,
            key: key.clone(),
            value,
            lease,
        };
        self.record_event(entry.clone(), false);
        self.entries.insert(key, entry);
    }

    /// Removes the keys of a range under a revision, and returns how many there were.
    pub fn delete_range(&mut self, revision: i64, span: &KeyRange) -> usize {
        let found = self.range(span);
        let keys: Vec<Vec<u8>> = found.iter().map(|entry| entry.key.clone()).collect();
        for key in &keys {
            self.delete_key(revision, key);
        }
        keys.len()
    }

    /// Returns the changes of a range from a revision on.
    pub fn events_since(&self, span: &KeyRange, from: i64) -> Vec<Event> {
        let later = self
            .events
            .iter()
            .filter(|event| event.entry.mod_revision >= from);
        let within = later.filter(|event| span.contains(&event.entry.key));
        within.cloned().collect()
    }

    /// Makes a lease and returns its name; `wanted` of 0 leaves the name to the store.
    pub fn grant_lease(&mut self, now: Millis, wanted: i64, ttl: Millis) -> i64 {
        self.lease_count += 1;
        let name = if wanted == 0 {
            self.lease_count
        } else {
            wanted
        };
        let lapse = now + ttl;
        self.leases.insert(
            name,
            Lease {
                ttl,
                expires_at: lapse,
            },
        );
        name
    }

    /// Keeps a lease alive and returns its span, unless it has lapsed.
    pub fn keep_alive(&mut self, now: Millis, name: i64) -> Option<Millis> {
        let lease = self.leases.get_mut(&name)?;
        lease.expires_at = now + lease.ttl;
        Some(lease.ttl)
    }

    /// Says whether a lease is alive.
    pub fn has_lease(&self, name: i64) -> bool {
        self.leases.contains_key(&name)
    }

    /// Ends a lease with its keys, and says whether it was alive.
    pub fn revoke_lease(&mut self, name: i64) -> bool {
        if self.leases.remove(&name).is_none() {
            return false;
        }
        let held = self.entries.values().filter(|entry| entry.lease == name);
        let keys: Vec<Vec<u8>> = held.map(|entry| entry.key.clone()).collect();
        if keys.is_empty() {
            return true;
        }
        let revision = self.next_revision();
        for key in &keys {
            self.delete_key(revision, key);
        }
        true
    }

    /// Ends the leases whose time is over, and says whether there were any.
    pub fn expire_leases(&mut self, now: Millis) -> bool {
        let over = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_at <= now);
        let names: Vec<i64> = over.map(|(name, _)| *name).collect();
        for name in &names {
            self.revoke_lease(*name);
        }
        !names.is_empty()
    }

    /// Ends all leases.
    pub fn revoke_all_leases(&mut self) {
        let names: Vec<i64> = self.leases.keys().copied().collect();
        for name in names {
            self.revoke_lease(name);
        }
    }

    fn delete_key(&mut self, revision: i64, key: &[u8]) {
        let Some(mut entry) = self.entries.remove(key) else {
            return;
        };
        entry.mod_revision = revision;
        entry.value.clear();
        self.record_event(entry, true);
    }

    fn record_event(&mut self, entry: Entry, removed: bool) {
        self.events.push_back(Event {
            entry,
            deleted: removed,
        });
        if self.events.len() > MAX_HISTORY_EVENTS
            && let Some(old) = self.events.pop_front()
        {
            self.compacted_revision = old.entry.mod_revision;
        }
    }
}

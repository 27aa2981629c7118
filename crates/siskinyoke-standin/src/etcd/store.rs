//! Keys, revisions and leases with the semantics of etcd.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use siskinyoke_base::Millis;

/// Number of events kept for watches that start in the past. Older events are compacted.
const MAX_HISTORY_EVENTS: usize = 4096;

/// A key with its value and metadata.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The key.
    pub key: Vec<u8>,
    /// The value.
    pub value: Vec<u8>,
    /// The revision of the write that created the key.
    pub create_revision: i64,
    /// The revision of the last write.
    pub mod_revision: i64,
    /// The number of writes since the key was created.
    pub version: i64,
    /// The ID of the lease that the key is attached to, or 0.
    pub lease: i64,
}

/// A change of a key.
#[derive(Debug, Clone)]
pub struct Event {
    /// The entry after the change; the value of a deleted key is empty.
    pub entry: Entry,
    /// Whether the key was deleted.
    pub deleted: bool,
}

/// A single key, or all keys from a first key up to an exclusive end.
#[derive(Debug, Clone, Default)]
pub struct KeyRange {
    /// The first key.
    pub key: Vec<u8>,
    /// The exclusive end; empty for a single key, `[0]` for all keys from the first one on.
    pub end: Vec<u8>,
}

impl KeyRange {
    /// Returns whether a key is in the range.
    pub fn contains(&self, key: &[u8]) -> bool {
        if self.end.is_empty() {
            return key == self.key;
        }
        key >= self.key.as_slice() && (self.end == [0] || key < self.end.as_slice())
    }
}

#[derive(Debug, Clone)]
struct Lease {
    ttl: Millis,
    expires_at: Millis,
}

/// An in-memory store. Callers pass the current time.
#[derive(Debug, Clone)]
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

    /// Returns the last compacted revision.
    pub fn compacted_revision(&self) -> i64 {
        self.compacted_revision
    }

    /// Returns the entry of a key.
    pub fn get(&self, key: &[u8]) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// Returns the entries of a range in key order.
    pub fn range(&self, range: &KeyRange) -> Vec<&Entry> {
        let from = self.entries.range(range.key.clone()..);
        let within = from.take_while(|(key, _)| range.contains(key));
        within.map(|(_, entry)| entry).collect()
    }

    /// Advances the revision for a write and returns it.
    pub fn next_revision(&mut self) -> i64 {
        self.revision += 1;
        self.revision
    }

    /// Writes a key at a revision.
    pub fn put(&mut self, revision: i64, key: Vec<u8>, value: Vec<u8>, lease: i64) {
        let previous = self.entries.get(&key);
        let entry = Entry {
            create_revision: previous.map_or(revision, |entry| entry.create_revision),
            version: previous.map_or(0, |entry| entry.version) + 1,
            mod_revision: revision,
            key: key.clone(),
            value,
            lease,
        };
        self.record_event(entry.clone(), false);
        self.entries.insert(key, entry);
    }

    /// Deletes the keys of a range at a revision and returns their number.
    pub fn delete_range(&mut self, revision: i64, range: &KeyRange) -> usize {
        let found = self.range(range);
        let keys: Vec<Vec<u8>> = found.iter().map(|entry| entry.key.clone()).collect();
        for key in &keys {
            self.delete_key(revision, key);
        }
        keys.len()
    }

    /// Returns the events of a range from a revision on.
    pub fn events_since(&self, range: &KeyRange, from: i64) -> Vec<Event> {
        let later = self
            .events
            .iter()
            .filter(|event| event.entry.mod_revision >= from);
        let within = later.filter(|event| range.contains(&event.entry.key));
        within.cloned().collect()
    }

    /// Grants a lease and returns its ID. If `requested_id` is 0, the store assigns the ID.
    pub fn grant_lease(&mut self, now: Millis, requested_id: i64, ttl: Millis) -> i64 {
        self.lease_count += 1;
        let id = if requested_id == 0 {
            self.lease_count
        } else {
            requested_id
        };
        let expires_at = now + ttl;
        self.leases.insert(id, Lease { ttl, expires_at });
        id
    }

    /// Renews a lease and returns its TTL, unless it has expired.
    pub fn keep_alive(&mut self, now: Millis, id: i64) -> Option<Millis> {
        let lease = self.leases.get_mut(&id)?;
        lease.expires_at = now + lease.ttl;
        Some(lease.ttl)
    }

    /// Returns whether a lease exists.
    pub fn has_lease(&self, id: i64) -> bool {
        self.leases.contains_key(&id)
    }

    /// Revokes a lease, deletes its keys and returns whether the lease existed.
    pub fn revoke_lease(&mut self, id: i64) -> bool {
        if self.leases.remove(&id).is_none() {
            return false;
        }
        let attached = self.entries.values().filter(|entry| entry.lease == id);
        let keys: Vec<Vec<u8>> = attached.map(|entry| entry.key.clone()).collect();
        if keys.is_empty() {
            return true;
        }
        let revision = self.next_revision();
        for key in &keys {
            self.delete_key(revision, key);
        }
        true
    }

    /// Revokes leases whose TTL has passed and returns whether there were any.
    pub fn expire_leases(&mut self, now: Millis) -> bool {
        let expired = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_at <= now);
        let ids: Vec<i64> = expired.map(|(id, _)| *id).collect();
        for id in &ids {
            self.revoke_lease(*id);
        }
        !ids.is_empty()
    }

    /// Revokes all leases.
    pub fn revoke_all_leases(&mut self) {
        let ids: Vec<i64> = self.leases.keys().copied().collect();
        for id in ids {
            self.revoke_lease(id);
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

    fn record_event(&mut self, entry: Entry, deleted: bool) {
        self.events.push_back(Event { entry, deleted });
        if self.events.len() > MAX_HISTORY_EVENTS
            && let Some(oldest) = self.events.pop_front()
        {
            self.compacted_revision = oldest.entry.mod_revision;
        }
    }
}

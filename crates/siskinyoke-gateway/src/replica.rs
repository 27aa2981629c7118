//! What the store said, kept so that peers can take it from here.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use siskinyoke_interface::Batch;
use siskinyoke_interface::Item;

/// Removed items that are remembered for peers.
///
/// A peer asks within a second or two. A rolling restart of a fleet removes some hundred items in that
/// time; a peer that lacks more is given everything.
const MAX_TOMBSTONES: usize = 1_024;

/// What a peer lacks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The revision up to which the items speak.
    pub revision: u64,
    /// Whether they are everything there is, so that what is not among them is gone.
    #[serde(rename = "whole")]
    pub full: bool,
    /// The items.
    pub items: Vec<Item>,
}

#[derive(Debug)]
struct Entry {
    item: Item,
    // The revision that was reached by taking it in; a reading page by page may run ahead of it.
    applied_revision: u64,
}

/// What the store said, up to a revision.
#[derive(Debug, Default)]
pub struct Replica {
    revision: u64,
    // The last word on each key, also on removed ones.
    entries: BTreeMap<String, Entry>,
    // The revision from which on no removal is missing among these: that of the last state that came whole,
    // or of a removal that was forgotten since.
    complete_since: u64,
    // The revision of the first state that came whole.
    first_revision: u64,
}

impl Replica {
    /// Returns the revision up to which everything is known; 0 before anything was read.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Takes in what the store or a peer said, and returns what is news.
    pub fn apply_update(&mut self, update: Update) -> Vec<Item> {
        let batch = Batch {
            items: update.items,
            revision: update.revision,
            has_more: false,
        };
        if update.full {
            self.replace_all(batch)
        } else {
            self.apply_changes(batch)
        }
    }

    /// Takes in changes that follow the known revision, and returns those that are news.
    ///
    /// The same changes may come from the store and from peers; what is not later than the known
    /// revision is no news.
    pub fn apply_changes(&mut self, batch: Batch) -> Vec<Item> {
        if batch.revision <= self.revision {
            return Vec::new();
        }
        let known = self.revision;
        let mut changed = batch.items;
        changed.retain(|item| item.revision > known);
        self.record(batch.revision, &changed);
        changed
    }

    /// Takes in everything there is at a revision, and returns what differs from what was known.
    ///
    /// A state no later than the known one is passed over.
    pub fn replace_all(&mut self, batch: Batch) -> Vec<Item> {
        if batch.revision <= self.revision {
            return Vec::new();
        }
        // What came and went in between is not seen here, and a peer may know it.
        self.complete_since = batch.revision;
        if self.revision == 0 {
            self.first_revision = batch.revision;
        }
        let mut missing: BTreeMap<&str, &Item> =
            self.live_items().map(|it| (&*it.key, it)).collect();
        let mut changed = batch.items;
        changed.retain(|item| {
            let known = missing.remove(&*item.key);
            known.is_none_or(|known| known.revision < item.revision)
        });
        changed.extend(missing.into_keys().map(|key| Item {
            key: key.to_owned(),
            revision: batch.revision,
            value: None,
        }));
        self.record(batch.revision, &changed);
        changed
    }

    /// Returns what a peer lacks that knows everything up to a revision.
    ///
    /// Nothing is returned to one that knows what was before this instance began to: it has the changes from
    /// the store for one call. Instances that start together are all in that position, and a whole state
    /// from each to each fills their links for seconds.
    pub fn changes_since(&self, known: u64) -> Option<Update> {
        let full = known < self.complete_since;
        if full && known > 0 && self.complete_since == self.first_revision {
            return None;
        }
        let items = if full {
            self.live_items().cloned().collect()
        } else {
            let later = self
                .entries
                .values()
                .filter(|it| it.applied_revision > known);
            later.map(|it| it.item.clone()).collect()
        };
        Some(Update {
            revision: self.revision,
            full,
            items,
        })
    }

    fn live_items(&self) -> impl Iterator<Item = &Item> {
        let items = self.entries.values().map(|it| &it.item);
        items.filter(|item| item.value.is_some())
    }

    fn record(&mut self, revision: u64, changed: &[Item]) {
        self.revision = revision;
        for item in changed {
            let entry = Entry {
                item: item.clone(),
                applied_revision: revision,
            };
            self.entries.insert(item.key.clone(), entry);
        }
        self.prune_tombstones();
    }

    // Forgets the removals that are longest past.
    fn prune_tombstones(&mut self) {
        let removed = self.entries.values().filter(|it| it.item.value.is_none());
        let mut revisions: Vec<u64> = removed.map(|it| it.applied_revision).collect();
        if revisions.len() <= MAX_TOMBSTONES {
            return;
        }
        revisions.sort_unstable();
        let before = revisions[revisions.len() - MAX_TOMBSTONES];
        self.entries
            .retain(|_, it| it.item.value.is_some() || it.applied_revision >= before);
        self.complete_since = self.complete_since.max(before - 1);
    }
}

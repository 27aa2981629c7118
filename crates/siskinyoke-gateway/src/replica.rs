//! A replica of the store's contents, from which peers fetch changes.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use siskinyoke_base::Revision;
use siskinyoke_interface::Batch;
use siskinyoke_interface::Item;

/// Maximum number of removed items kept for peers.
///
/// A peer fetches changes within a second or two. A rolling restart of a fleet removes a few
/// hundred items in that time; a peer that misses more receives the full state.
const MAX_TOMBSTONES: usize = 1_024;

/// Changes since a revision, or the full state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The store revision that the update leads to.
    pub revision: Revision,
    /// Whether the items are the full state, so that all other items have been removed.
    #[serde(rename = "whole")]
    pub full: bool,
    /// The changed items, or all existing ones.
    pub items: Vec<Item>,
}

#[derive(Debug)]
struct Entry {
    item: Item,
    // The replica's revision after the item was applied. The item's own revision may be higher, as
    // a paged read is no snapshot.
    applied_revision: Revision,
}

/// The store's contents up to a revision, other than the configuration.
///
/// The configuration has a revision of its own: it may be a thousand times as large as any other
/// value, and other changes do not wait for it.
#[derive(Debug, Default)]
pub struct Replica {
    revision: Revision,
    // The last change of each key, including removals.
    entries: BTreeMap<String, Entry>,
    // The revision since which `entries` has every removal: that of the last full state, or of a
    // removal pruned after it.
    complete_since: Revision,
    // The revision of the first full state.
    first_revision: Revision,
    // The revision up to which the configuration in force is known to be the newest.
    configuration_revision: Revision,
}

impl Replica {
    /// Returns the revision up to which all changes are known; zero before the first read.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the revision up to which the configuration in force is known to be the newest.
    pub fn configuration_revision(&self) -> Revision {
        self.configuration_revision
    }

    /// Records that the configuration in force is the newest one up to a revision.
    pub fn record_configuration(&mut self, revision: Revision) {
        self.configuration_revision = self.configuration_revision.max(revision);
    }

    /// Returns the revision up to which everything is known, from which the store is watched.
    pub fn watch_revision(&self) -> Revision {
        self.revision.min(self.configuration_revision)
    }

    /// Applies an update from the store or a peer, and returns the items that differ.
    pub fn apply_update(&mut self, update: Update) -> Vec<Item> {
        let batch = Batch {
            items: update.items,
            revision: update.revision,
            ..Batch::default()
        };
        if update.full {
            self.replace_all(batch)
        } else {
            self.apply_changes(batch)
        }
    }

    /// Applies changes that follow the known revision, and returns the new ones.
    ///
    /// The same changes may come from the store and from peers; those up to the known revision are
    /// skipped, and so are changes of another era, which follow another history.
    pub fn apply_changes(&mut self, batch: Batch) -> Vec<Item> {
        if batch.revision <= self.revision || batch.revision.era != self.revision.era {
            return Vec::new();
        }
        let known = self.revision;
        let mut changed = batch.items;
        changed.retain(|item| item.revision > known);
        self.record(batch.revision, &changed);
        changed
    }

    /// Applies the full state at a revision, and returns the items that differ.
    ///
    /// A state that is not newer than the known one is ignored.
    pub fn replace_all(&mut self, batch: Batch) -> Vec<Item> {
        if batch.revision <= self.revision {
            return Vec::new();
        }
        // Items created and removed in between do not appear here, but a peer may have them.
        self.complete_since = batch.revision;
        if self.revision.is_zero() {
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

    /// Returns the update for a peer that knows all changes up to a revision.
    ///
    /// Returns `None` if the peer's state is older than the first one of this replica: the peer
    /// gets the changes from the store with one call. Instances that start together are all in this
    /// situation, and sending full states to each other would saturate their links for seconds.
    pub fn changes_since(&self, known: Revision) -> Option<Update> {
        let full = known < self.complete_since;
        if full
            && !known.is_zero()
            && known.era == self.revision.era
            && self.complete_since == self.first_revision
        {
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

    // Returns the items that have not been removed.
    fn live_items(&self) -> impl Iterator<Item = &Item> {
        let items = self.entries.values().map(|it| &it.item);
        items.filter(|item| item.value.is_some())
    }

    // Stores changed items and the revision to which they lead.
    fn record(&mut self, revision: Revision, changed: &[Item]) {
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

    // Removes the oldest tombstones beyond the limit.
    fn prune_tombstones(&mut self) {
        let removed = self.entries.values().filter(|it| it.item.value.is_none());
        let mut revisions: Vec<Revision> = removed.map(|it| it.applied_revision).collect();
        if revisions.len() <= MAX_TOMBSTONES {
            return;
        }
        revisions.sort_unstable();
        let before = revisions[revisions.len() - MAX_TOMBSTONES];
        self.entries
            .retain(|_, it| it.item.value.is_some() || it.applied_revision >= before);
        let pruned = Revision::new(before.era, before.number.saturating_sub(1));
        self.complete_since = self.complete_since.max(pruned);
    }
}

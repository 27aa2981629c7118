//! This instance's view of the store, and whether it watches the store itself.

use crate::Registry;
use crate::StoreUpdate;
use crate::core::Core;
use crate::store_era::EraCheck;
use crate::store_era::StoreEra;
use crate::watch::MAX_PROBES;
use crate::watchers::StoreRole;
use crate::watchers::WatcherCandidate;
use crate::watchers::select_watcher;
use siskinyoke_base::Millis;
use siskinyoke_base::Revision;
use siskinyoke_base::Set;

/// How long a new process waits for reports of peers before it watches the store itself.
///
/// Peers listed in the first read report within 100 ms, and instances that start together report
/// within 300 ms.
const PEER_DISCOVERY_TIME: Millis = Millis(300);

/// Interval at which the other instances of a shard also call the store while none can reach it.
///
/// The store may come back for some instances but not for the selected watcher.
const STORE_RETRY_INTERVAL: Millis = Millis::from_secs(3);

/// How long a peer's revision may be ahead before this instance reads the store itself.
///
/// Fetching changes from a peer takes tens of milliseconds. If it fails for this long, the peer's
/// reports arrive but the peer cannot be called.
const MAX_PEER_LAG: Millis = Millis(1_500);

/// How long peers may have a newer configuration before this instance reads the store itself.
///
/// Peers pass on the largest configuration in little more than a second. An instance that reads it
/// from the store transfers several times as many bytes.
const MAX_CONFIGURATION_LAG: Millis = Millis(2_500);

/// How long the store must have been unreachable to count as unavailable.
///
/// A single lost call, which may be noticed long after the disturbance that caused it, is followed
/// by one that is answered sooner than this.
const OUTAGE_CONFIRMATION: Millis = Millis(400);

/// An instance's view of the store.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct StoreView {
    /// Store revision up to which all changes are known.
    pub(super) revision: Revision,
    // The latest known era of the store.
    era: StoreEra,
    /// Whether the last call to the store succeeded.
    pub(super) reachable: bool,
    // Whether no instance of the shard has reached the store for a while.
    unavailable: bool,
    // Since when no instance of the shard has reached the store.
    unreachable_since: Option<Millis>,
    // When the first changes were received.
    first_known: Option<Millis>,
    // When a call to the store last failed.
    last_failure: Option<Millis>,
    // Since when a peer's revision has been ahead.
    behind_since: Option<Millis>,
    // The newest version of the configuration that a peer has reported.
    peer_configuration: u64,
    // Since when a peer has had a newer configuration.
    outdated_since: Option<Millis>,
    // Whether a read was requested because peers that are ahead could not provide the changes.
    read_requested: bool,
}

// Returns whether an endpoint is removed whose entry has not been seen.
fn removes_unseen(registry: &Registry, updates: &[StoreUpdate]) -> bool {
    let mut added = Set::default();
    updates.iter().any(|update| match update {
        StoreUpdate::Endpoint(endpoint) => {
            added.insert(&*endpoint.id);
            false
        }
        StoreUpdate::EndpointRemoved(id) => !registry.contains(id) && !added.contains(&**id),
        _ => false,
    })
}

impl Core {
    /// Applies the changes of the store up to a revision.
    ///
    /// Shards and eligible endpoints are recomputed once after all changes: this takes time for
    /// each endpoint, and the first read contains hundreds.
    ///
    /// The first changes of a later era are the contents of an earlier copy. What has left since the
    /// copy was made stays away, and what is missing in it gets time to register again.
    pub fn apply_updates(&mut self, now: Millis, revision: Revision, updates: Vec<StoreUpdate>) {
        self.store_view.first_known.get_or_insert(now);
        let known = self.store_view.revision;
        let restored = !known.is_zero() && revision.era > known.era;
        if restored {
            self.begin_restore(now);
        }
        if revision > self.store_view.revision {
            self.store_view.revision = revision;
            self.store_view.behind_since = None;
            self.store_view.read_requested = false;
        }
        let mut fleet_changed = false;
        let mut endpoints = Vec::new();
        let mut statuses = Vec::new();
        // Changes from a peer hold only the last one of each key.
        if !restored && removes_unseen(&self.registry, &updates) {
            self.versions.interrupt();
        }
        for update in updates {
            match update {
                StoreUpdate::Instance(name, location) => {
                    self.instance_listed(&name, location);
                    fleet_changed = true;
                }
                StoreUpdate::InstanceRemoved(name) => {
                    self.instance_unlisted(now, &name);
                    fleet_changed = true;
                }
                StoreUpdate::RolloutOrder(order) => self.begin_rollout(now, order),
                // An order that is missing from a copy was marked so already.
                StoreUpdate::RolloutOrderRemoved(_) if restored => {}
                StoreUpdate::RolloutOrderRemoved(service) => {
                    if let Some(rollout) = self.registry.rollout(&service) {
                        rollout.withdraw();
                    }
                }
                StoreUpdate::VersionNote(note) => self.versions.record_note(now, note),
                StoreUpdate::VersionNoteRemoved(service) => self.versions.remove_note(&service),
                StoreUpdate::RolloutStatus(service, status) => statuses.push((service, status)),
                StoreUpdate::Endpoint(ref endpoint) => {
                    // It may be removed by a later change of the same batch.
                    self.versions.record(now, endpoint);
                    endpoints.push(update);
                }
                StoreUpdate::EndpointRemoved(_) => endpoints.push(update),
            }
        }
        // A status has no effect before its order is known.
        for (service, status) in statuses {
            self.registry.apply_status(&service, status);
        }
        if fleet_changed {
            self.update_shards();
        }
        if restored {
            self.registry.apply_copy(now, endpoints);
        } else if !endpoints.is_empty() {
            self.registry.apply_updates(now, endpoints);
        }
        self.record_versions(now);
    }

    /// Returns the latest known era of the store.
    pub fn store_era(&self) -> u64 {
        self.store_view.era.known()
    }

    /// Checks the era that a response of the store states, and records it if it is later than the
    /// known one.
    pub fn observe_store_era(&mut self, stated: Option<u64>) -> EraCheck {
        self.store_view.era.observe(stated)
    }

    /// Begins the next era, as the store states none but its revision has gone back.
    pub fn begin_store_era(&mut self) {
        self.store_view.era.begin_next();
    }

    /// Returns the store revision up to which all changes are known.
    pub fn store_revision(&self) -> Revision {
        self.store_view.revision
    }

    /// Returns whether any instance of the shard reaches the store, or did so until a moment ago.
    pub fn store_available(&self) -> bool {
        !self.store_view.unavailable
    }

    /// Returns whether this instance's last call to the store succeeded.
    pub fn reaches_store(&self) -> bool {
        self.store_view.reachable
    }

    /// Records that a call to the store succeeded.
    pub fn store_call_succeeded(&mut self) {
        self.store_view.reachable = true;
    }

    /// Records that a call to the store failed.
    pub fn store_call_failed(&mut self, now: Millis) {
        self.store_view.reachable = false;
        self.store_view.last_failure = Some(now);
        if self.is_store_unreachable(now) {
            self.store_view.unreachable_since.get_or_insert(now);
        }
    }

    /// Records the store revision that a peer has reached, and returns whether it is ahead of this
    /// instance.
    pub fn record_peer_revision(&mut self, now: Millis, revision: Revision) -> bool {
        let ahead = revision > self.store_view.revision
            && self.store_view.era.observe(Some(revision.era)) != EraCheck::Rejected;
        if ahead {
            self.store_view.behind_since.get_or_insert(now);
        }
        ahead
    }

    /// Records the version of a peer's configuration.
    pub fn record_peer_configuration(&mut self, now: Millis, version: u64) {
        if version > self.configuration_version() {
            let view = &mut self.store_view;
            view.peer_configuration = view.peer_configuration.max(version);
            view.outdated_since.get_or_insert(now);
        }
    }

    /// Returns whether the first read of the store is in progress and no call has failed yet.
    pub fn is_first_read(&self) -> bool {
        self.store_view.revision.is_zero() && self.store_view.last_failure.is_none()
    }

    /// Returns whether a peer's revision has been ahead for longer than fetching changes takes.
    pub(super) fn lags_behind_peers(&self, now: Millis) -> bool {
        let since = self.store_view.behind_since;
        since.is_some_and(|it| now.since(it) >= MAX_PEER_LAG)
    }

    /// Requests a read of the store because a peer that is ahead cannot provide the changes.
    pub fn request_store_read(&mut self) {
        self.store_view.read_requested = true;
    }

    /// Returns the name of the instance that watches the store for this one, possibly this one.
    pub fn watcher(&self, now: Millis) -> &str {
        let own = WatcherCandidate {
            name: &self.identity.name,
            store_reachable: self.store_view.reachable,
        };
        let peers = self
            .peers
            .fresh(now)
            .filter(|peer| !peer.report.shutting_down);
        let peers = peers.map(|peer| WatcherCandidate {
            name: &peer.info.name,
            store_reachable: peer.report.store_reachable,
        });
        select_watcher(own, peers)
    }

    /// Returns how often a watch after a failed call is sent before it counts as failed too.
    ///
    /// Instances that try the store although another one is selected to watch it send it once:
    /// there may be hundreds of them.
    pub fn max_probes(&self, now: Millis) -> u32 {
        let selected = self.shard_count == 1 || self.watcher(now) == self.identity.name;
        if selected { MAX_PROBES } else { 1 }
    }

    /// Decides whether this instance watches the store itself.
    ///
    /// In a fleet of a single shard every instance watches: there is no other shard that would
    /// report changes if the watcher's connection stalled.
    pub fn store_role(&self, now: Millis) -> StoreRole {
        let view = &self.store_view;
        let within = |since: Option<Millis>, span| since.is_some_and(|it| now.since(it) < span);
        let alone = self.peers.instance_count(now) == 1;
        let watches = if view.revision.is_zero() {
            true
        } else if alone && within(view.first_known, PEER_DISCOVERY_TIME) {
            false
        } else if self.shard_count == 1 || self.watcher(now) == self.identity.name {
            true
        } else if view.reachable {
            let exceeds = |since: Option<Millis>, span| since.is_some() && !within(since, span);
            view.read_requested
                || self.lags_behind_peers(now)
                || exceeds(view.outdated_since, MAX_CONFIGURATION_LAG)
        } else {
            self.is_store_unreachable(now) && !within(view.last_failure, STORE_RETRY_INTERVAL)
        };
        if watches {
            StoreRole::Watcher
        } else {
            StoreRole::Follower
        }
    }

    /// Updates whether the store is unavailable to the whole shard, and returns the new value if it
    /// changed.
    ///
    /// Entries that are missing after an outage may return, as their leases expired during it.
    pub fn update_store_availability(&mut self, now: Millis) -> Option<bool> {
        let before = self.store_view.unreachable_since;
        let confirmed = before.is_some_and(|since| now.since(since) >= OUTAGE_CONFIRMATION);
        let mut changed = None;
        if confirmed && !self.store_view.unavailable {
            self.store_view.unavailable = true;
            self.registry.mark_store_unreachable();
            self.instances.mark_store_unreachable();
            changed = Some(true);
        }
        if self.is_store_unreachable(now) {
            self.store_view.unreachable_since.get_or_insert(now);
            return changed;
        }
        self.store_view.unreachable_since = None;
        if self.store_view.unavailable {
            self.store_view.unavailable = false;
            self.registry.mark_store_reachable(now);
            self.instances.mark_store_reachable(now);
            changed = Some(false);
        }
        changed
    }

    fn begin_restore(&mut self, now: Millis) {
        self.registry.mark_restored(now);
        self.instances.mark_restored(now);
        for rollout in self.registry.rollouts_mut() {
            rollout.mark_restored(now);
        }
    }

    // Ends the time for which a newer configuration has been missing, if there is none any more.
    pub(super) fn configuration_applied(&mut self) {
        if self.configuration_version() >= self.store_view.peer_configuration {
            self.store_view.outdated_since = None;
        }
    }

    pub(super) fn is_store_unreachable(&self, now: Millis) -> bool {
        !self.store_view.reachable
            && !self
                .peers
                .fresh(now)
                .any(|peer| peer.report.store_reachable)
    }
}

//! What this instance knows of the store, and whether it watches it itself.

use crate::StoreUpdate;
use crate::core::Core;
use crate::watchers::Candidate;
use crate::watchers::StoreRole;
use crate::watchers::select_watcher;
use siskinyoke_base::Millis;

/// How long a process that started waits to hear of its peers before it watches the store itself.
///
/// Reports of those that the first reading named come within a tenth of a second, and instances that
/// start together do so within three tenths.
const PEER_DISCOVERY_TIME: Millis = Millis(300);

/// How often an instance that is not the first of its shard tries the store while nobody there
/// reaches it: the store may be back for some instances and not for the first.
const STORE_RETRY_INTERVAL: Millis = Millis::from_secs(3);

/// How long a peer may know more than this instance before it asks the store itself.
///
/// Taking changes from a peer takes some tens of milliseconds; where it fails for so long, the peer
/// is heard but cannot be asked.
const MAX_PEER_LAG: Millis = Millis(1_500);

/// What an instance knows of the store.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct StoreView {
    /// The store's revision up to which everything is known.
    pub(super) revision: u64,
    /// Whether the last call of the store succeeded.
    pub(super) reachable: bool,
    // Whether nobody of the shard reaches the store.
    unavailable: bool,
    // When something of the store was first known.
    first_known: Option<Millis>,
    // When the store was last asked in vain.
    last_failure: Option<Millis>,
    // Since when a peer has been known to know more.
    behind_since: Option<Millis>,
    // Whether no peer could say what it knows more.
    read_requested: bool,
}

impl Core {
    /// Takes in what changed in the store up to a revision.
    ///
    /// All changes are taken in before shards and endpoints are worked out anew: that takes time for
    /// each endpoint, and the first reading names hundreds.
    pub fn apply_updates(&mut self, now: Millis, revision: u64, news: Vec<StoreUpdate>) {
        self.store_view.first_known.get_or_insert(now);
        if revision > self.store_view.revision {
            self.store_view.revision = revision;
            self.store_view.behind_since = None;
            self.store_view.read_requested = false;
        }
        let mut fleet = false;
        let mut endpoints = Vec::new();
        let mut progress = Vec::new();
        for item in news {
            match item {
                StoreUpdate::Instance(name, place) => {
                    self.instance_listed(&name, place);
                    fleet = true;
                }
                StoreUpdate::InstanceRemoved(name) => {
                    self.instance_unlisted(now, &name);
                    fleet = true;
                }
                StoreUpdate::RolloutOrder(order) => self.begin_rollout(now, order),
                StoreUpdate::RolloutOrderRemoved(service) => {
                    if let Some(rollout) = self.registry.rollout(&service) {
                        rollout.withdraw();
                    }
                }
                StoreUpdate::RolloutStatus(service, status) => progress.push((service, status)),
                StoreUpdate::Endpoint(_) | StoreUpdate::EndpointRemoved(_) => endpoints.push(item),
            }
        }
        // A state says nothing before its order is known.
        for (service, status) in progress {
            self.registry.apply_status(&service, status);
        }
        if fleet {
            self.update_shards();
        }
        if !endpoints.is_empty() {
            self.registry.apply_updates(now, endpoints);
        }
    }

    /// Returns the store's revision up to which everything is known.
    pub fn store_revision(&self) -> u64 {
        self.store_view.revision
    }

    /// Returns whether anybody of the shard reaches the store.
    pub fn store_available(&self) -> bool {
        !self.store_view.unavailable
    }

    /// Returns whether this instance's last call of the store succeeded.
    pub fn reaches_store(&self) -> bool {
        self.store_view.reachable
    }

    /// Takes note that a call of the store succeeded.
    pub fn store_call_succeeded(&mut self) {
        self.store_view.reachable = true;
    }

    /// Takes note that a call of the store failed.
    pub fn store_call_failed(&mut self, now: Millis) {
        self.store_view.reachable = false;
        self.store_view.last_failure = Some(now);
    }

    /// Takes note that a peer knows the store up to a revision; returns whether that is more than is
    /// known here.
    pub fn record_peer_revision(&mut self, now: Millis, revision: u64) -> bool {
        let ahead = revision > self.store_view.revision;
        if ahead {
            self.store_view.behind_since.get_or_insert(now);
        }
        ahead
    }

    /// Returns whether the store is being read for the first time, as far as it is not known to be away.
    pub fn is_first_read(&self) -> bool {
        self.store_view.revision == 0 && self.store_view.last_failure.is_none()
    }

    /// Takes note that a peer which knows more cannot say what: the store is asked.
    pub fn request_store_read(&mut self) {
        self.store_view.read_requested = true;
    }

    /// Returns the instance that watches the store for this one, which may be this one.
    pub fn watcher(&self, now: Millis) -> &str {
        let me = Candidate {
            name: &self.identity.name,
            store_reachable: self.store_view.reachable,
        };
        let peers = self.peers.fresh(now).filter(|peer| !peer.report.leaving);
        let peers = peers.map(|peer| Candidate {
            name: &peer.info.name,
            store_reachable: peer.report.store_reachable,
        });
        select_watcher(me, peers)
    }

    /// Decides whether this instance watches the store itself.
    ///
    /// The only shard of a small fleet has no other to hear of changes from if its watcher's connection
    /// goes silent, so each of its instances watches.
    pub fn store_role(&self, now: Millis) -> StoreRole {
        let view = &self.store_view;
        let within = |since: Option<Millis>, span| since.is_some_and(|it| now.since(it) < span);
        let alone = self.peers.instance_count(now) == 1;
        let watches = if view.revision == 0 {
            true
        } else if alone && within(view.first_known, PEER_DISCOVERY_TIME) {
            false
        } else if self.shard_count == 1 || self.watcher(now) == self.identity.name {
            true
        } else if view.reachable {
            view.read_requested
                || (view.behind_since.is_some() && !within(view.behind_since, MAX_PEER_LAG))
        } else {
            self.store_unreachable(now) && !within(view.last_failure, STORE_RETRY_INTERVAL)
        };
        if watches {
            StoreRole::Watcher
        } else {
            StoreRole::Follower
        }
    }

    /// Works out whether the store is away for the whole shard, and returns it if that changed.
    ///
    /// What goes from the list while it is away may be back: its lease ran out in the meantime.
    pub fn update_store_availability(&mut self, now: Millis) -> Option<bool> {
        let away = self.store_unreachable(now);
        if away == self.store_view.unavailable {
            return None;
        }
        self.store_view.unavailable = away;
        if away {
            self.registry.store_unreachable();
            self.instances.store_unreachable();
        } else {
            self.registry.store_reachable(now);
            self.instances.store_reachable(now);
        }
        Some(away)
    }

    fn store_unreachable(&self, now: Millis) -> bool {
        !self.store_view.reachable
            && !self
                .peers
                .fresh(now)
                .any(|peer| peer.report.store_reachable)
    }
}

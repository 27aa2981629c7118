//! Which instances there are, and which of them share endpoints with this one.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::core::Core;
use crate::directory;
use crate::report::InstanceLocation;
use crate::shards;
use crate::watch;
use siskinyoke_base::Millis;

/// The fewest instances among which the retries beside the budget's ratio are shared out.
///
/// A few more than the smallest deployments have, as the list may lag behind machines added.
const MIN_FLEET_SIZE: usize = 12;

/// How long changes of the store are gathered before the next look.
///
/// Changes come in bursts: when a fleet starts, each instance's entry is a change.
const UPDATE_BATCH_DELAY: Millis = Millis(500);

/// How much longer each shard's watcher waits than that of the shard before it in turn.
///
/// If all looked again at once, each change would cost a call for each shard. One shard looks at a time, and
/// the others hear of it from there; where its watcher is gone, the next one's turn comes soon.
const SHARD_STAGGER: Millis = Millis(500);

/// How long an instance that went still counts for the making of shards.
///
/// A restart takes some seconds. If shards changed with each one, a rolling restart of the fleet
/// would move endpoints several times a second, and no count of what runs there would hold.
const RESTART_GRACE: Millis = Millis::from_secs(15);

/// Peers that one report names, so that it stays short.
const MAX_REPORTED_PEERS: usize = 8;

impl Core {
    /// Takes note of an instance's entry in the store.
    pub fn add_instance(&mut self, name: &str, place: InstanceLocation) {
        self.instance_listed(name, place);
        self.update_shards();
    }

    /// Takes note that an instance's entry is gone.
    pub fn remove_instance(&mut self, now: Millis, name: &str) {
        self.instance_unlisted(now, name);
        self.update_shards();
    }

    /// Returns the listed instances, with whether each belongs to this one's shard.
    pub fn other_instances(&self) -> impl Iterator<Item = (&InstanceLocation, bool)> {
        let others = self
            .instances
            .iter()
            .filter(|row| row.0 != self.identity.name);
        others.map(|(name, place)| (place, self.in_shard(name)))
    }

    /// Returns the listed instances of the other shards, shard by shard.
    pub fn instances_by_other_shard(&self) -> Vec<Vec<&InstanceLocation>> {
        let mut shards: BTreeMap<usize, Vec<&InstanceLocation>> = BTreeMap::new();
        for (name, place) in self.instances.iter() {
            let home = shards::shard_of(name, self.shard_count);
            if home != self.shard {
                shards.entry(home).or_default().push(place);
            }
        }
        shards.into_values().collect()
    }

    /// Chooses the instances that a caller of a data centre is told to use.
    pub fn caller_addresses(&self, now: Millis, centre: &str) -> Vec<String> {
        let own = self.instance_info(now);
        let peers = self
            .peers
            .fresh(now)
            .filter(|it| it.report.ready && !it.report.leaving);
        let members = peers.map(|peer| &peer.info.location);
        let others = self.other_instances().filter(|row| !row.1).map(|row| row.0);
        let others = others.filter(|_| self.shard_count > 1);
        let ready = members
            .chain(self.ready().then_some(&own.location))
            .chain(others);
        directory::select_instances(centre, ready)
    }

    /// Returns how long the store may hold a watch.
    pub fn watch_timeout(&self) -> Millis {
        watch::watch_timeout(
            self.identity.settling_time,
            self.reaches_store(),
            self.shard_count,
        )
    }

    /// Returns how long changes of the store should be gathered before the next look.
    ///
    /// Cells take turns, another one first after each change.
    pub fn update_batch_delay(&self) -> Millis {
        let shards = u64::try_from(self.shard_count).unwrap_or(1).max(1);
        let own = u64::try_from(self.shard).unwrap_or(0);
        UPDATE_BATCH_DELAY + Millis(SHARD_STAGGER.0 * ((own + self.store_revision()) % shards))
    }

    pub(super) fn instance_listed(&mut self, name: &str, place: InstanceLocation) {
        self.departed.remove(name);
        self.instances.put(name, place);
    }

    pub(super) fn instance_unlisted(&mut self, now: Millis, name: &str) {
        self.departed.insert(name.to_owned(), now);
        self.instances.remove(now, name);
    }

    // A few peers, others with each report, so that all get to know all.
    pub(super) fn reported_peers(&self, now: Millis) -> Vec<String> {
        let all: Vec<&String> = self
            .peers
            .fresh(now)
            .map(|peer| &peer.info.location.peer_address)
            .collect();
        let skip = usize::try_from(self.report_number).unwrap_or(0) % all.len().max(1);
        all.iter()
            .cycle()
            .skip(skip)
            .take(all.len().min(MAX_REPORTED_PEERS))
            .map(|it| (*it).clone())
            .collect()
    }

    // The instances that shards are made of: those listed, and those that may be restarting.
    pub(super) fn fleet_members(&self) -> BTreeSet<&str> {
        let listed = self.instances.iter().map(|row| row.0);
        listed
            .chain(self.departed.keys().map(String::as_str))
            .collect()
    }

    // Finds out which shard of the fleet this instance belongs to.
    pub(super) fn update_shards(&mut self) {
        self.peers.set_listed_count(self.fleet_members().len());
        let shards = shards::count(self.fleet_members().len());
        let mut sizes = vec![0; shards];
        for name in self.fleet_members() {
            sizes[shards::shard_of(name, shards)] += 1;
        }
        self.shard = shards::shard_of(&self.identity.name, shards);
        self.shard_count = shards;
        self.registry.set_shards(self.shard, sizes);
        if shards > 1 {
            let own = self.shard;
            self.peers
                .retain(|name| shards::shard_of(name, shards) == own);
        }
    }

    pub(super) fn in_shard(&self, name: &str) -> bool {
        shards::shard_of(name, self.shard_count) == self.shard
    }

    // The part of the retries beside the budget's ratio that is this instance's.
    pub(super) fn min_retries(&self) -> f64 {
        let fleet = self.instances.iter().count().max(MIN_FLEET_SIZE);
        self.identity.retry_slack / 2.0 / f64::from(u32::try_from(fleet).unwrap_or(u32::MAX))
    }

    // Drops instances whose time is over.
    pub(super) fn expire_departed(&mut self, now: Millis) {
        let before = self.departed.len();
        self.departed
            .retain(|_, since| now.since(*since) < RESTART_GRACE);
        if self.instances.remove_expired(now) || self.departed.len() < before {
            self.update_shards();
        }
    }
}

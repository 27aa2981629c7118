//! Membership of the fleet and its division into shards.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::IpAddr;
use std::net::SocketAddr;

use crate::core::Core;
use crate::directory;
use crate::report::InstanceLocation;
use crate::shards;
use crate::watch;
use siskinyoke_base::Millis;

/// Minimum fleet size assumed when the retry slack is divided among instances.
///
/// Slightly above the size of the smallest deployments, as the list may lag behind added instances.
const MIN_FLEET_SIZE: usize = 12;

/// How long changes of the store are batched before the next watch call.
///
/// Changes come in bursts: when a fleet starts, each instance's entry is a change.
const UPDATE_BATCH_DELAY: Millis = Millis(500);

/// Additional delay of each shard's watcher after that of the preceding shard.
///
/// If all watchers called at once, each change would cost one call per shard. With staggered calls
/// one shard reads a change and forwards it to the others. If its watcher is gone, that of the next
/// shard follows shortly.
const SHARD_STAGGER: Millis = Millis(500);

/// How long a removed instance still counts as a member when shards are computed.
///
/// A restart takes several seconds. If each one changed the shards, a rolling restart of the fleet
/// would move endpoints several times a second and make the counts of running requests wrong.
const RESTART_GRACE: Millis = Millis::from_secs(15);

/// Maximum number of peer addresses in one report, which limits its size.
const MAX_REPORTED_PEERS: usize = 8;

impl Core {
    /// Adds or updates a listed instance and recomputes the shards.
    pub fn add_instance(&mut self, name: &str, location: InstanceLocation) {
        self.instance_listed(name, location);
        self.update_shards();
    }

    /// Removes a listed instance and recomputes the shards.
    pub fn remove_instance(&mut self, now: Millis, name: &str) {
        self.instance_unlisted(now, name);
        self.update_shards();
    }

    /// Returns the other listed instances, each with whether it belongs to this instance's shard.
    pub fn other_instances(&self) -> impl Iterator<Item = (&InstanceLocation, bool)> {
        let others = self
            .instances
            .iter()
            .filter(|row| row.0 != self.identity.name);
        others.map(|(name, location)| (location, self.in_shard(name)))
    }

    /// Returns the peer addresses for one round of discovery: those of the listed instances of the
    /// shard, and those from which its instances have said since the last round that they receive
    /// reports.
    ///
    /// Instances whose entries have expired are listed nowhere. They find each other through a third
    /// one.
    pub fn discovery_addresses(&mut self) -> BTreeSet<String> {
        let mut addresses = std::mem::take(&mut self.advertised);
        let members = self.other_instances().filter(|row| row.1);
        addresses.extend(members.map(|row| row.0.peer_address.clone()));
        addresses
    }

    /// Returns whether another instance has this IP address.
    pub fn is_instance_address(&self, address: IpAddr) -> bool {
        let listed = self.other_instances().map(|row| row.0);
        let peers = self.peers.all().map(|peer| &peer.info.location);
        let mut addresses = listed
            .chain(peers)
            .filter_map(|it| it.peer_address.parse::<SocketAddr>().ok());
        addresses.any(|it| it.ip() == address)
    }

    /// Returns the listed instances of the other shards, grouped by shard.
    pub fn instances_by_other_shard(&self) -> Vec<Vec<&InstanceLocation>> {
        let mut shards: BTreeMap<usize, Vec<&InstanceLocation>> = BTreeMap::new();
        for (name, location) in self.instances.iter() {
            let shard = shards::shard_of(name, self.shard_count);
            if shard != self.shard {
                shards.entry(shard).or_default().push(location);
            }
        }
        shards.into_values().collect()
    }

    /// Selects the instance addresses returned to a caller in a data centre.
    pub fn caller_addresses(&self, now: Millis, centre: &str) -> Vec<String> {
        let own = self.instance_info(now);
        let peers = self
            .peers
            .fresh(now)
            .filter(|it| it.report.ready && !it.report.shutting_down);
        let members = peers.map(|peer| &peer.info.location);
        let others = self.other_instances().filter(|row| !row.1).map(|row| row.0);
        let others = others.filter(|_| self.shard_count > 1);
        let ready = members
            .chain(self.ready(now).then_some(&own.location))
            .chain(others);
        directory::select_instances(centre, ready)
    }

    /// Returns how long the store may keep a watch call open.
    pub fn watch_timeout(&self) -> Millis {
        watch::watch_timeout(
            self.identity.settling_time,
            self.reaches_store(),
            self.shard_count,
        )
    }

    /// Returns how long to batch changes of the store before the next watch call.
    ///
    /// Shards call in a rotating order, a different one first after each change. A response that
    /// took as long to receive as changes are batched is followed by the next call at once, as there
    /// may be changes that nobody has read meanwhile.
    pub fn update_batch_delay(&self, received_in: Millis) -> Millis {
        if received_in >= UPDATE_BATCH_DELAY {
            return Millis::ZERO;
        }
        let shards = u64::try_from(self.shard_count).unwrap_or(1).max(1);
        let own = u64::try_from(self.shard).unwrap_or(0);
        UPDATE_BATCH_DELAY
            + Millis(SHARD_STAGGER.0 * ((own + self.store_revision().number) % shards))
    }

    pub(super) fn instance_listed(&mut self, name: &str, location: InstanceLocation) {
        self.departed.remove(name);
        self.instances.put(name, location);
    }

    pub(super) fn instance_unlisted(&mut self, now: Millis, name: &str) {
        self.departed.insert(name.to_owned(), now);
        self.instances.remove(now, name);
    }

    // Returns a few peer addresses, rotating with each report so that all are included in turn.
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

    // Returns the instances that are divided into shards: those listed and those that may be
    // restarting.
    pub(super) fn fleet_members(&self) -> BTreeSet<&str> {
        let listed = self.instances.iter().map(|row| row.0);
        listed
            .chain(self.departed.keys().map(String::as_str))
            .collect()
    }

    // Recomputes the shards of the fleet and the shard of this instance.
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
        let members = self.fleet_members().into_iter();
        let members = members.filter(|it| self.in_shard(it)).map(str::to_owned);
        let members = members.collect();
        self.peers.set_listed_members(members);
        if shards > 1 {
            let shard = self.shard;
            self.peers
                .retain(|name| shards::shard_of(name, shards) == shard);
        }
    }

    pub(super) fn in_shard(&self, name: &str) -> bool {
        shards::shard_of(name, self.shard_count) == self.shard
    }

    // Returns this instance's part of the retry slack for one window of the retry budget, which is
    // half as long as the operators' window.
    pub(super) fn min_retries(&self) -> f64 {
        let instances = self.instances.iter().count().max(MIN_FLEET_SIZE);
        self.identity.retry_slack / 2.0 / f64::from(u32::try_from(instances).unwrap_or(u32::MAX))
    }

    // Removes instances whose grace period has ended. It does not end while the store cannot be read:
    // an instance that could not renew its entry may have returned since.
    pub(super) fn expire_departed(&mut self, now: Millis) {
        let before = self.departed.len();
        if self.is_store_unreachable(now) {
            self.departed.values_mut().for_each(|it| *it = now);
        }
        self.departed
            .retain(|_, since| now.since(*since) < RESTART_GRACE);
        if self.instances.remove_expired(now) || self.departed.len() < before {
            self.update_shards();
        }
    }
}

//! Registry of the known endpoints and of those that this instance may use.

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use crate::Endpoint;
use crate::EndpointKey;
use crate::ScheduledRequest;
use crate::StoreUpdate;
use crate::VersionKey;
use crate::leased_entries::LeasedEntries;
use crate::report::short_hash;
use crate::rollout::EndpointRole;
use crate::rollout::Order;
use crate::rollout::Rollout;
use crate::rollout::Status;
use crate::shards;
use crate::stable_hash;
use siskinyoke_base::Map;
use siskinyoke_base::Millis;

/// The maximum number of leaving or removed endpoints reported to peers. The latest ones suffice,
/// as the store delivers the same information within seconds.
const MAX_REPORTED_DEPARTURES: usize = 16;

/// How long an endpoint start that left is remembered. Updates of its entry are never delayed for
/// that long.
const DEPARTURE_RETENTION: Millis = Millis::from_secs(600);

/// How long a departure is reported to peers.
///
/// It is shorter than the retention, as peers would otherwise remind each other of it forever.
const DEPARTURE_REPORT_PERIOD: Millis = Millis::from_secs(300);

/// How long after the restart of an endpoint peers may still report that it is leaving.
///
/// They stop when they learn of the restart, which takes a few seconds at most.
const RESTART_PROPAGATION: Millis = Millis::from_secs(10);

/// The minimum number of endpoints per shard and service, so that a failed request can be retried
/// on another one.
const MIN_SHARD_ENDPOINTS: usize = 2;

// An endpoint that is leaving or gone.
#[derive(Debug, Clone, Copy)]
struct Departure {
    known_since: Millis,
    // Whether its entry was removed since.
    removed: bool,
}

impl Departure {
    fn new(now: Millis) -> Self {
        Self {
            known_since: now,
            removed: false,
        }
    }
}

/// The known endpoints, by their key in the store.
#[derive(Debug, Default)]
pub struct Registry {
    entries: LeasedEntries<Arc<Endpoint>>,
    departures: Map<EndpointKey, Departure>,
    // Endpoints whose entries were removed, and when.
    removed: Map<EndpointKey, Millis>,
    // Listed starts that have ended, as a later start reported at their address. Their entries'
    // versions are not those of the processes.
    outdated: BTreeSet<EndpointKey>,
    // When each listed endpoint start was first seen.
    first_seen: Map<EndpointKey, Millis>,
    // Incremented with each change of the listed or leaving endpoints.
    generation: u64,
    // Departed endpoints whose entries returned after their removal, and when: another start with
    // the same key.
    restarts: Map<EndpointKey, Millis>,
    shard: usize,
    // The number of instances in each shard.
    shard_sizes: Vec<usize>,
    // The endpoints that this instance may use, by service.
    eligible: BTreeMap<Arc<str>, Vec<Arc<Endpoint>>>,
    // The endpoints that get the canary share of the requests, by service.
    canaries: BTreeMap<Arc<str>, Vec<Arc<Endpoint>>>,
    rollouts: BTreeMap<Arc<str>, Rollout>,
    // The shards that use each endpoint of this shard, by the endpoint's short key; more than one
    // if the shards share it.
    sharing_shards: Map<u32, Vec<usize>>,
}

impl Registry {
    /// Records that the store cannot be reached.
    pub fn mark_store_unreachable(&mut self) {
        self.entries.mark_store_unreachable();
    }

    /// Records that the store can be reached again.
    pub fn mark_store_reachable(&mut self, now: Millis) {
        self.entries.mark_store_reachable(now);
    }

    /// Records that the store came back from an earlier copy.
    pub fn mark_restored(&mut self, now: Millis) {
        self.entries.mark_restored(now);
    }

    /// Sets this instance's shard and the number of instances in each shard.
    pub fn set_shards(&mut self, shard: usize, sizes: Vec<usize>) {
        if self.shard != shard || self.shard_sizes != sizes {
            self.shard = shard;
            self.shard_sizes = sizes;
            self.update_eligible();
        }
    }

    /// Adds an endpoint or replaces its entry.
    pub fn put(&mut self, now: Millis, endpoint: Endpoint) {
        self.add(now, endpoint);
        self.update_eligible();
    }

    /// Applies several changes of endpoints' entries at once.
    pub fn apply_updates(&mut self, now: Millis, updates: Vec<StoreUpdate>) {
        for update in updates {
            match update {
                StoreUpdate::Endpoint(endpoint) => self.add(now, endpoint),
                StoreUpdate::EndpointRemoved(id) => self.remove_entry(now, &id),
                StoreUpdate::Instance(..)
                | StoreUpdate::InstanceRemoved(_)
                | StoreUpdate::RolloutOrder(_)
                | StoreUpdate::RolloutOrderRemoved(_)
                | StoreUpdate::RolloutStatus(..)
                | StoreUpdate::VersionNote(_)
                | StoreUpdate::VersionNoteRemoved(_) => {}
            }
        }
        self.update_eligible();
    }

    /// Applies the endpoints of an earlier copy of the store.
    ///
    /// An endpoint that has been removed since the copy was made is not added again: only an entry
    /// that is written later shows that it has returned.
    pub fn apply_copy(&mut self, now: Millis, mut updates: Vec<StoreUpdate>) {
        updates.retain(|update| match update {
            StoreUpdate::Endpoint(endpoint) => !self.removed.contains_key(&endpoint.key()),
            _ => true,
        });
        self.apply_updates(now, updates);
    }

    /// Returns whether the entry of an endpoint is known, or was until a moment ago.
    pub fn contains(&self, id: &str) -> bool {
        self.entries.get(id).is_some()
    }

    /// Removes an endpoint whose entry is gone from the store.
    pub fn remove(&mut self, now: Millis, id: &str) {
        self.remove_entry(now, id);
        self.update_eligible();
    }

    /// Returns how long an endpoint whose entry is removed now stays in use.
    pub fn removal_grace(&self, now: Millis) -> Millis {
        self.entries.grace(now)
    }

    /// Records that an endpoint is leaving or gone, as reported by a peer, and returns whether that
    /// was not known yet.
    pub fn record_departure(&mut self, now: Millis, key: EndpointKey) -> bool {
        let restarted = self.restarts.get(&key);
        if restarted.is_some_and(|at| now.since(*at) < RESTART_PROPAGATION) {
            return false;
        }
        self.insert_departure(now, key)
    }

    /// Records that a response to a request sent at `sent_at` said that its endpoint is leaving, and
    /// returns whether that was not known yet.
    pub fn announce_departure(&mut self, now: Millis, key: EndpointKey, sent_at: Millis) -> bool {
        let restarted = self.restarts.get(&key);
        if restarted.is_some_and(|at| sent_at < *at) {
            return false;
        }
        self.insert_departure(now, key)
    }

    /// Records that a later start of an endpoint than its entry names responds at its address. It gets
    /// no streams that began before, until its entry changes.
    pub fn record_later_start(&mut self, key: EndpointKey) {
        self.outdated.insert(key);
        self.generation += 1;
    }

    /// Returns whether a service has an endpoint whose entry states a version and is outdated.
    pub fn has_outdated(&self, service: &str, version: VersionKey) -> bool {
        let mut outdated = self.all().filter(|it| self.outdated.contains(&it.key()));
        outdated.any(|it| *it.service == *service && it.version_key() == version)
    }

    /// Removes expired entries.
    pub fn remove_expired(&mut self, now: Millis) {
        self.departures
            .retain(|_, it| now.since(it.known_since) < DEPARTURE_RETENTION);
        for times in [&mut self.restarts, &mut self.removed] {
            times.retain(|_, at| now.since(*at) < DEPARTURE_RETENTION);
        }
        if self.entries.remove_expired(now) {
            self.update_eligible();
        }
        if self.first_seen.len() > self.entries.iter().count() {
            let listed: BTreeSet<EndpointKey> = self.all().map(|it| it.key()).collect();
            self.first_seen.retain(|key, _| listed.contains(key));
            self.outdated.retain(|key| listed.contains(key));
        }
    }

    /// Returns the endpoints of a service that this instance may use, in a fixed order.
    pub fn eligible(&self, service: &str) -> &[Arc<Endpoint>] {
        self.eligible.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns whether a service has an endpoint of a version that accepts streams of that version.
    pub fn serves_version(&self, service: &str, version: VersionKey) -> bool {
        self.accepting(service, version).next().is_some()
    }

    /// Returns the endpoints at which a request may run: those of the version at which its stream
    /// began, or those that this instance may use.
    pub fn targets(&self, request: &ScheduledRequest) -> Cow<'_, [Arc<Endpoint>]> {
        match request.version {
            Some(version) => Cow::Owned(self.of_version(&request.service, version)),
            None => Cow::Borrowed(self.eligible(&request.service)),
        }
    }

    // Returns the endpoints of a version at which its streams may go on.
    //
    // A rollout moves no streams, so it does not matter which requests the version gets otherwise.
    // Endpoints of other shards are used only if this shard has none of the version, and for one
    // request at a time: the instances of the other shards do not know of it.
    fn of_version(&self, service: &str, version: VersionKey) -> Vec<Arc<Endpoint>> {
        let own = self.eligible(service).iter().chain(self.canaries(service));
        let own = own.filter(|it| it.version_key() == version);
        let own = own.filter(|it| !self.outdated.contains(&it.key()));
        let own: Vec<_> = own.cloned().collect();
        if !own.is_empty() {
            return own;
        }
        let sharded = self.is_sharded();
        let all = self.accepting(service, version);
        all.map(|endpoint| {
            if !sharded {
                return endpoint.clone();
            }
            Arc::new(Endpoint {
                slots: endpoint.slots.min(1),
                ..(**endpoint).clone()
            })
        })
        .collect()
    }

    /// Returns the services that have endpoints that this instance may use.
    pub fn services(&self) -> Vec<Arc<str>> {
        self.eligible.keys().cloned().collect()
    }

    /// Returns the endpoints that get the canary share of a service's requests.
    pub fn canaries(&self, service: &str) -> &[Arc<Endpoint>] {
        self.canaries.get(service).map_or(&[], Vec::as_slice)
    }

    /// Starts the rollout of an order, unless it is older than the known one; `initial_credit` is a
    /// random fraction of a request, from 0 to 1.
    pub fn apply_order(&mut self, now: Millis, order: Order, initial_credit: f64) {
        let current = self.rollouts.get_mut(&order.service);
        if let Some(current) = current
            && (current.order().revision >= order.revision || current.adopt(&order))
        {
            return;
        }
        let service = order.service.clone();
        let previous = self.rollouts.remove(&service);
        let rollout = Rollout::begin(now, order, previous, initial_credit);
        self.rollouts.insert(service, rollout);
        self.update_eligible();
    }

    /// Applies the status of a service's rollout.
    pub fn apply_status(&mut self, service: &str, status: Status) {
        if let Some(rollout) = self.rollouts.get_mut(service) {
            rollout.set_status(status);
        }
    }

    /// Returns the rollout of a service.
    pub fn rollout(&mut self, service: &str) -> Option<&mut Rollout> {
        self.rollouts.get_mut(service)
    }

    /// Returns all rollouts for updates.
    pub fn rollouts_mut(&mut self) -> impl Iterator<Item = &mut Rollout> {
        self.rollouts.values_mut()
    }

    /// Returns all rollouts.
    pub fn rollouts(&self) -> impl Iterator<Item = &Rollout> {
        self.rollouts.values()
    }

    /// Advances all rollouts to the current time and returns the services whose rollout changed
    /// phase.
    pub fn advance_rollouts(&mut self, now: Millis) -> Vec<Arc<str>> {
        let rollouts = self.rollouts.iter_mut();
        let changed = rollouts.filter_map(|row| row.1.advance(now).then(|| row.0.clone()));
        let changed: Vec<_> = changed.collect();
        if !changed.is_empty() {
            self.update_eligible();
        }
        changed
    }

    /// Returns whether the fleet is divided into shards that have their own endpoints.
    pub fn is_sharded(&self) -> bool {
        self.shard_sizes.len() > 1
    }

    /// Returns the service whose name has this hash, if it has endpoints here.
    pub fn find_service(&self, name_hash: u32) -> Option<Arc<str>> {
        let found = self.eligible.keys().find(|it| short_hash(it) == name_hash);
        found.cloned()
    }

    /// Returns an endpoint of any shard that accepts new requests.
    pub fn find_accepting(&self, key: EndpointKey) -> Option<&Arc<Endpoint>> {
        self.find(key).filter(|it| !self.is_leaving(it))
    }

    /// Returns a known endpoint of any shard.
    pub fn find(&self, key: EndpointKey) -> Option<&Arc<Endpoint>> {
        self.all().find(|it| it.key() == key)
    }

    /// Returns this shard's share of an endpoint's rate limit.
    ///
    /// At most `holders` of the shards that share the endpoint hold a part of its limit. The share
    /// is 0 if the endpoint belongs to other shards.
    pub(crate) fn limit_share(&self, endpoint: u32, holders: usize) -> f64 {
        let Some(shards) = self.sharing_shards.get(&endpoint) else {
            return 0.0;
        };
        let shard_hash = |shard: &usize| stable_hash(&(endpoint, shard));
        let preceding = shards
            .iter()
            .filter(|it| shard_hash(it) < shard_hash(&self.shard));
        let holders = holders.min(shards.len());
        if preceding.count() >= holders {
            return 0.0;
        }
        1.0 / f64::from(u32::try_from(holders).unwrap_or(u32::MAX))
    }

    /// Returns how many slots of an endpoint this shard may use at most, together with the shards
    /// that share the endpoint.
    pub(crate) fn shard_slots(&self, endpoint: &Endpoint) -> u32 {
        let key = endpoint.key();
        let slots = self.find(key).map_or(endpoint.slots, |it| it.slots);
        let Some(shards) = self.sharing_shards.get(&key.short_key()) else {
            return endpoint.slots;
        };
        let hash = |shard: &usize| stable_hash(&(key.short_key(), shard));
        let preceding = shards.iter().filter(|it| hash(it) < hash(&self.shard));
        let count = |number: usize| u32::try_from(number).unwrap_or(u32::MAX);
        let rank = count(preceding.count());
        let part = slots.saturating_add(count(shards.len().max(1)) - 1);
        let part = part.saturating_sub(rank);
        endpoint.slots.min(part / count(shards.len().max(1)))
    }

    /// Returns a number that changes with the listed or leaving endpoints.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns the endpoint starts, by short key, of which nothing shows that they ended without
    /// having announced it: those that are listed, unless a later start has taken over their address
    /// or has responded there, and those that are leaving or have left.
    pub(crate) fn unfailed_starts(&self) -> BTreeSet<u32> {
        let mut latest: Map<&str, Option<Millis>> = Map::default();
        for endpoint in self.all() {
            let seen = latest.entry(&endpoint.address).or_default();
            *seen = self.first_seen(endpoint.key()).max(*seen);
        }
        let is_current = |it: &&Arc<Endpoint>| {
            latest.get(&*it.address).copied().flatten() == self.first_seen(it.key())
                && !self.outdated.contains(&it.key())
        };
        let listed = self.all().filter(is_current).map(|it| it.key());
        let starts = listed.chain(self.departures.keys().copied());
        starts.map(EndpointKey::short_key).collect()
    }

    /// Returns whether an endpoint is leaving or has left.
    pub(crate) fn has_departed(&self, key: EndpointKey) -> bool {
        self.departures.contains_key(&key)
    }

    /// Returns whether a later start has taken over the address of a listed one.
    pub(crate) fn is_superseded(&self, key: EndpointKey) -> bool {
        let Some(endpoint) = self.find(key) else {
            return false;
        };
        let mut others = self.all().filter(|it| it.address == endpoint.address);
        others.any(|it| self.first_seen(it.key()) > self.first_seen(key))
    }

    fn first_seen(&self, key: EndpointKey) -> Option<Millis> {
        self.first_seen.get(&key).copied()
    }

    /// Returns all known endpoints.
    pub fn all(&self) -> impl Iterator<Item = &Arc<Endpoint>> {
        self.entries.iter().map(|row| row.1)
    }

    /// Returns the latest endpoints known to be leaving or gone, which are reported to peers.
    pub fn recent_departures(&self, now: Millis) -> Vec<EndpointKey> {
        let all = self.departures.iter();
        let all = all.map(|(key, departure)| (departure.known_since, *key));
        let recent = all.filter(|row| now.since(row.0) < DEPARTURE_REPORT_PERIOD);
        let mut all: Vec<_> = recent.collect();
        all.sort_unstable_by(|a, b| b.cmp(a));
        all.into_iter()
            .take(MAX_REPORTED_DEPARTURES)
            .map(|(_, key)| key)
            .collect()
    }

    // Returns the endpoints of a version, of any shard, that accept streams of that version.
    fn accepting(
        &self,
        service: &str,
        version: VersionKey,
    ) -> impl Iterator<Item = &Arc<Endpoint>> {
        let all = self.all().filter(move |it| {
            *it.service == *service && it.version_key() == version && !self.is_leaving(it)
        });
        all.filter(|it| !self.outdated.contains(&it.key()))
    }

    fn insert_departure(&mut self, now: Millis, key: EndpointKey) -> bool {
        let is_new = !self.departures.contains_key(&key);
        if is_new {
            self.departures.insert(key, Departure::new(now));
            self.update_eligible();
        }
        is_new
    }

    // Removes an entry. An entry that expired in an outage may return without a restart.
    fn remove_entry(&mut self, now: Millis, id: &str) {
        let key = self.entries.get(id).map(|it| it.key());
        if let Some(key) = key
            && self.entries.grace(now) == Millis::ZERO
        {
            self.removed.insert(key, now);
            if let Some(departure) = self.departures.get_mut(&key) {
                departure.removed = true;
            }
        }
        self.entries.remove(now, id);
    }

    fn add(&mut self, now: Millis, endpoint: Endpoint) {
        let key = endpoint.key();
        self.removed.remove(&key);
        if self.departures.get(&key).is_some_and(|it| it.removed) {
            self.departures.remove(&key);
            self.restarts.insert(key, now);
        }
        if endpoint.draining {
            let departure = self.departures.entry(key);
            departure.or_insert_with(|| Departure::new(now));
        }
        self.first_seen.entry(key).or_insert(now);
        let id = endpoint.id.clone();
        self.entries.put(&id, Arc::new(endpoint));
    }

    fn update_eligible(&mut self) {
        self.generation += 1;
        let mut services: BTreeMap<Arc<str>, Vec<Arc<Endpoint>>> = BTreeMap::new();
        for endpoint in self.entries.iter().map(|row| row.1) {
            if !self.is_leaving(endpoint) {
                services
                    .entry(endpoint.service.clone())
                    .or_default()
                    .push(endpoint.clone());
            }
        }
        self.canaries.clear();
        let mut sharing_shards = Map::default();
        for (service, rollout) in &mut self.rollouts {
            let endpoints = services.get(service).into_iter().flatten();
            rollout.update_slots(endpoints.map(|it| &**it));
        }
        for (service, endpoints) in &mut services {
            if let Some(rollout) = self.rollouts.get(service) {
                let mut new = endpoints.clone();
                new.retain(|it| rollout.role(it) == EndpointRole::Canary);
                let mut new = self.own_endpoints(&new, &mut sharing_shards);
                new.truncate(rollout.max_canaries());
                endpoints.retain(|it| rollout.role(it) == EndpointRole::Serving);
                self.canaries.insert(service.clone(), new);
            }
            *endpoints = self.own_endpoints(endpoints, &mut sharing_shards);
        }
        self.eligible = services;
        let own = self
            .eligible
            .values()
            .chain(self.canaries.values())
            .flatten();
        for endpoint in own {
            let shards = sharing_shards.entry(endpoint.key().short_key());
            shards.or_insert_with(|| vec![self.shard]);
        }
        self.sharing_shards = sharing_shards;
    }

    // Returns the endpoints of a service that belong to this instance's shard.
    fn own_endpoints(
        &self,
        endpoints: &[Arc<Endpoint>],
        sharing_shards: &mut Map<u32, Vec<usize>>,
    ) -> Vec<Arc<Endpoint>> {
        if self.shard_sizes.len() <= 1 || endpoints.is_empty() {
            return endpoints.to_vec();
        }
        if endpoints.len() < MIN_SHARD_ENDPOINTS * self.shard_sizes.len() {
            return self.shared_endpoints(endpoints, sharing_shards);
        }
        let rows: Vec<_> = endpoints.iter().map(|it| (&*it.centre, &*it.id)).collect();
        let assigned = shards::assign(&rows, &self.shard_sizes);
        let is_own = |it: &&Arc<Endpoint>| assigned.get(&*it.id) == Some(&self.shard);
        endpoints.iter().filter(is_own).cloned().collect()
    }

    // Returns this shard's endpoints if there are too few for each shard to have its own. Each
    // shard uses half as many slots again as its even share, because shards are seldom overloaded
    // at the same time.
    fn shared_endpoints(
        &self,
        endpoints: &[Arc<Endpoint>],
        sharing_shards: &mut Map<u32, Vec<usize>>,
    ) -> Vec<Arc<Endpoint>> {
        let count = endpoints.len();
        let shards = self.shard_sizes.len();
        let all: Vec<Vec<usize>> = (0..shards)
            .map(|shard| shared_indices(shard, shards, count))
            .collect();
        shared_indices(self.shard, shards, count)
            .into_iter()
            .map(|index| {
                let endpoint = &endpoints[index];
                let users: Vec<usize> =
                    (0..shards).filter(|it| all[*it].contains(&index)).collect();
                let count = u32::try_from(users.len()).unwrap_or(u32::MAX);
                sharing_shards.insert(endpoint.key().short_key(), users);
                let slots = endpoint.slots.saturating_mul(3).div_ceil(count * 2).max(2);
                Arc::new(Endpoint {
                    slots: slots.min(endpoint.slots),
                    ..(**endpoint).clone()
                })
            })
            .collect()
    }

    // A start that was once marked as draining remains so, even if an older entry arrives later.
    fn is_leaving(&self, endpoint: &Endpoint) -> bool {
        endpoint.draining || self.departures.contains_key(&endpoint.key())
    }
}

// Returns the indices of a shard's endpoints if shards share `count` of them: every endpoint
// belongs to some shard, and each shard has at least two if there are as many.
fn shared_indices(shard: usize, shards: usize, count: usize) -> Vec<usize> {
    let mut indices: Vec<usize> = (shard..count).step_by(shards).collect();
    let first = indices.first().copied().unwrap_or(shard % count);
    let candidates = (0..count).map(|step| (first + step) % count);
    for index in candidates.take(MIN_SHARD_ENDPOINTS) {
        if indices.len() < MIN_SHARD_ENDPOINTS && !indices.contains(&index) {
            indices.push(index);
        }
    }
    indices
}

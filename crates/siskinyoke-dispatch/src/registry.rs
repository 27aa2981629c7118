//! The endpoints that are known, and which of them may get new work.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::Endpoint;
use crate::EndpointKey;
use siskinyoke_base::Map;
use siskinyoke_base::Millis;

/// How long endpoints may be missing after the store came back from an outage.
///
/// Their leases may have run out while the store was away; living ones are back within two
/// seconds of its return. Dropping them at once would refuse all work for that time.
const RETURN: Millis = Millis(2_300);

/// How many endpoints known to have left are told to peers; the latest are enough, as the store
/// tells the same within seconds.
const TOLD: usize = 16;

#[derive(Debug, Clone)]
struct Entry {
    endpoint: Arc<Endpoint>,
    // Set while the entry is missing from the store: used until then.
    missing: Option<Millis>,
}

/// The endpoints that are known, by the key they have in the store.
#[derive(Debug, Default)]
pub struct Registry {
    entries: BTreeMap<Arc<str>, Entry>,
    leavers: Map<EndpointKey, Millis>,
    away: Option<Millis>,
    back: Option<Millis>,
}

impl Registry {
    /// Takes note that the store could not be reached.
    pub fn store_lost(&mut self, now: Millis) {
        self.away.get_or_insert(now);
        self.back = None;
    }

    /// Takes note that the store answers again.
    pub fn store_back(&mut self, now: Millis) {
        if self.away.take().is_some() {
            self.back = Some(now);
        }
    }

    /// Adds an endpoint or replaces what it said of itself.
    pub fn put(&mut self, now: Millis, endpoint: Endpoint) {
        if endpoint.draining {
            self.leavers.insert(endpoint.key(), now);
        }
        let id = endpoint.id.clone();
        let entry = Entry {
            endpoint: Arc::new(endpoint),
            missing: None,
        };
        self.entries.insert(id, entry);
    }

    /// Takes note that an endpoint's entry is gone.
    pub fn remove(&mut self, now: Millis, id: &str) {
        let grace = self.grace(now);
        let Some(entry) = self.entries.get_mut(id) else {
            return;
        };
        let until = entry.missing.unwrap_or(now + grace);
        entry.missing = Some(until);
        self.sweep(now);
    }

    /// Replaces everything by what a whole reading of the store found.
    pub fn replace(&mut self, now: Millis, endpoints: Vec<Endpoint>) {
        let found: Vec<Arc<str>> = endpoints
            .iter()
            .map(|endpoint| endpoint.id.clone())
            .collect();
        for endpoint in endpoints {
            self.put(now, endpoint);
        }
        let missing: Vec<Arc<str>> = self
            .entries
            .keys()
            .filter(|id| !found.contains(id))
            .cloned()
            .collect();
        for id in missing {
            self.remove(now, &id);
        }
    }

    /// Takes over from a peer that an endpoint is leaving or gone.
    pub fn left(&mut self, now: Millis, key: EndpointKey) {
        self.leavers.entry(key).or_insert(now);
    }

    /// Drops entries whose time is over.
    pub fn sweep(&mut self, now: Millis) {
        self.entries
            .retain(|_, entry| entry.missing.is_none_or(|until| now < until));
    }

    /// Returns the endpoints of a service that may get new work, in a fixed order.
    pub fn fit<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Arc<Endpoint>> {
        self.entries
            .values()
            .map(|entry| &entry.endpoint)
            .filter(move |endpoint| &*endpoint.service == service && !self.leaving(endpoint))
    }

    /// Returns all endpoints that are known.
    pub fn all(&self) -> impl Iterator<Item = &Arc<Endpoint>> {
        self.entries.values().map(|entry| &entry.endpoint)
    }

    /// Returns the endpoints known to be leaving or gone that peers should hear of.
    pub fn news(&self) -> Vec<EndpointKey> {
        let mut all: Vec<_> = self.leavers.iter().map(|(key, at)| (*at, *key)).collect();
        all.sort_unstable_by(|a, b| b.cmp(a));
        all.into_iter().take(TOLD).map(|(_, key)| key).collect()
    }

    // A start that once said it was leaving stays leaving, whatever an older entry says later.
    fn leaving(&self, endpoint: &Endpoint) -> bool {
        endpoint.draining || self.leavers.contains_key(&endpoint.key())
    }

    fn grace(&self, now: Millis) -> Millis {
        let recent = self.back.is_some_and(|back| now.since(back) < RETURN);
        match (self.away, self.back) {
            (Some(_), _) => RETURN,
            (None, Some(back)) if recent => RETURN.since(now.since(back)),
            _ => Millis::ZERO,
        }
    }
}

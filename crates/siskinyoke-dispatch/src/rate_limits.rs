//! Rate limits that endpoints name, and this instance's part of each.
//!
//! The load: an endpoint in need takes a few requests a second from all instances together. If each kept to
//! that alone, as many times as much would arrive as there are instances. Even parts for all are less than a request in
//! some seconds where instances are many, and each has a first one to send. So a limit is shared by no more instances
//! than it has whole requests a second, by one at least. Which ones follows from a hash of names, so that instances
//! which hear each other agree without a word. The others ask a holder for a place when a request of theirs has no other.

mod rate_limit;

use std::sync::Arc;

use self::rate_limit::RateLimit;
use crate::Endpoint;
use crate::EndpointKey;
use crate::report::InstanceInfo;
use crate::report::InstanceLocation;
use crate::report::LimitRow;
use crate::scheduler::ClusterView;
use crate::stable_hash;
use siskinyoke_base::Map;
use siskinyoke_base::Millis;

/// How long it is told that a limit was lifted: peers that send nothing there do not see it themselves.
const LIFTED_REPORT_PERIOD: Millis = Millis::from_secs(10);

/// By how much later than what is known a peer's word on the same limit must be to count.
///
/// What this instance told comes back later by the way there and back, and would seem to be news each time.
const ECHO_TOLERANCE: Millis = Millis(250);

/// The most limits that one report names, so that it stays short.
const MAX_REPORTED_LIMITS: usize = 32;

/// A limit that was named, changed or lifted.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitChange {
    /// The endpoint, by its shortened key.
    pub endpoint: u32,
    /// Requests a second before; none if there was no limit.
    pub before: Option<f64>,
    /// Requests a second now; none if the limit was lifted.
    pub rate: Option<f64>,
    /// Whether a peer told it.
    pub from_peer: bool,
}

/// Rate limits that endpoints name, and this instance's part of each.
#[derive(Debug, Default)]
pub struct RateLimits {
    // This instance.
    instance: Box<str>,
    // By the endpoints' shortened keys, lifted ones too.
    limits: Map<u32, RateLimit>,
    changes: Vec<LimitChange>,
}

impl RateLimits {
    /// Knows of no limit yet; the instance of this name keeps to them.
    pub fn new(name: &str) -> Self {
        Self {
            instance: name.into(),
            ..Self::default()
        }
    }

    /// Takes in an answer that names a limit, in requests a second.
    pub fn observe_limit(&mut self, now: Millis, key: EndpointKey, rate: f64) {
        // As peers are told it, so that they know the same rate.
        let rate = from_thousandths(to_thousandths(rate));
        self.record(now, key.short(), now, Some(rate), false);
    }

    /// Takes in an answer that names none, to a request that was sent at `sent`.
    pub fn observe_no_limit(&mut self, now: Millis, key: EndpointKey, sent: Millis) {
        let known = self.limits.get(&key.short());
        if known.is_some_and(|it| it.lifted_by(now, sent)) {
            self.record(now, key.short(), now, None, false);
        }
    }

    /// Takes in what a peer knows.
    pub fn merge_peer_limits(&mut self, now: Millis, rows: &[LimitRow]) {
        for row in rows {
            let at = now.since(Millis(u64::from(row.age)));
            let rate = (row.rate > 0).then(|| from_thousandths(row.rate));
            let known = self.limits.get(&row.endpoint);
            let same = known.is_some_and(|it| it.rate().is_some() == rate.is_some());
            if same && known.is_some_and(|it| at <= it.observed_at() + ECHO_TOLERANCE) {
                continue;
            }
            self.record(now, row.endpoint, at, rate, true);
        }
    }

    /// Returns what peers should know of what came to be known since then: limits that are in force or were lifted of
    /// late, the latest first.
    pub fn report_rows(&self, now: Millis, since: Millis) -> Vec<LimitRow> {
        let known = self.limits.iter();
        let mut rows: Vec<LimitRow> = known
            .filter(|row| row.1.changed_at() >= since)
            .filter(|row| {
                row.1.rate().is_some() || now.since(row.1.observed_at()) < LIFTED_REPORT_PERIOD
            })
            .map(|(endpoint, limit)| LimitRow {
                endpoint: *endpoint,
                rate: limit.rate().map_or(0, to_thousandths),
                age: u32::try_from(now.since(limit.observed_at()).0).unwrap_or(u32::MAX),
            })
            .collect();
        rows.sort_unstable_by_key(|row| (row.age, row.endpoint));
        rows.truncate(MAX_REPORTED_LIMITS);
        rows
    }

    /// Returns what changed since this was last asked, for the log.
    pub fn take_changes(&mut self) -> Vec<LimitChange> {
        std::mem::take(&mut self.changes)
    }

    /// Returns how many limits are in force.
    pub fn active_count(&self) -> usize {
        let limits = self.limits.values();
        limits.filter(|it| it.rate().is_some()).count()
    }

    /// Works out this instance's parts, by who is heard now.
    pub(crate) fn update_rates(&mut self, view: &ClusterView<'_>) {
        if self.limits.is_empty() {
            return;
        }
        let peers = view.peers.fresh(view.now);
        let mut names: Vec<&str> = peers.map(|peer| &*peer.info.name).collect();
        names.push(&self.instance);
        for (endpoint, limit) in &mut self.limits {
            let Some(rate) = limit.rate() else { continue };
            let rate = rate * view.registry.portion(*endpoint, max_holders(rate));
            // Most limits of a large fleet are other shards'.
            let part = if rate > 0.0 {
                instance_rate(&self.instance, &names, *endpoint, rate)
            } else {
                0.0
            };
            limit.set_rates(view.now, part, rate);
        }
    }

    /// Returns the peers that hold a part of the limit of any of these endpoints.
    pub(crate) fn holders<'a>(
        &self,
        view: &ClusterView<'a>,
        endpoints: &[Arc<Endpoint>],
    ) -> Vec<&'a InstanceLocation> {
        let limits: Vec<(u32, f64)> = endpoints
            .iter()
            .map(|it| it.key().short())
            .filter_map(|key| Some((key, self.limits.get(&key)?.shard_rate()?)))
            .collect();
        let peers: Vec<&InstanceInfo> = view.peers.fresh(view.now).map(|it| &it.info).collect();
        let mut names: Vec<&str> = peers.iter().map(|it| &*it.name).collect();
        names.push(&self.instance);
        let holds = |name: &str| {
            let mut limits = limits.iter();
            limits.any(|(key, rate)| instance_rate(name, &names, *key, *rate) > 0.0)
        };
        let holders = peers.into_iter().filter(|it| holds(&it.name));
        holders.map(|it| &it.location).collect()
    }

    /// Returns how many requests may be sent to an endpoint now; none where there is no limit.
    pub fn tokens(&self, key: EndpointKey) -> Option<u32> {
        self.limits.get(&key.short())?.tokens()
    }

    /// Returns the requests a second that this instance's shard may send to an endpoint; none where there is no limit.
    pub fn shard_rate(&self, key: EndpointKey) -> Option<f64> {
        self.limits.get(&key.short())?.shard_rate()
    }

    /// Takes the token of a request that is sent to an endpoint.
    pub fn take_token(&mut self, key: EndpointKey) {
        if let Some(limit) = self.limits.get_mut(&key.short()) {
            limit.take_token();
        }
    }

    /// Forgets endpoints that are not among the known ones.
    pub fn retain_endpoints(&mut self, known: &[EndpointKey]) {
        self.limits
            .retain(|short, _| known.iter().any(|key| key.short() == *short));
    }

    // Takes in a word on a limit, unless a later one is known.
    fn record(&mut self, now: Millis, endpoint: u32, at: Millis, rate: Option<f64>, told: bool) {
        let known = self.limits.get_mut(&endpoint);
        if known.as_ref().is_some_and(|it| it.observed_at() >= at) {
            return;
        }
        let before = known.as_ref().and_then(|it| it.rate());
        match (known, rate) {
            (Some(limit), Some(rate)) if limit.rate().is_some() => limit.update(now, at, rate),
            _ => {
                let limit = RateLimit::new(now, at, rate, initial_level(&self.instance, endpoint));
                self.limits.insert(endpoint, limit);
            }
        }
        let rate = self.limits[&endpoint].rate();
        if before != rate {
            self.changes.push(LimitChange {
                endpoint,
                before,
                rate,
                from_peer: told,
            });
        }
    }
}

// The most holders of a rate: one for each whole request a second, and one at least.
#[expect(
    clippy::cast_possible_truncation,
    reason = "far more than there are instances"
)]
#[expect(clippy::cast_sign_loss, reason = "rates are not below zero")]
fn max_holders(rate: f64) -> usize {
    (rate as usize).max(1)
}

// An instance's part of a rate, among the instances that are heard.
fn instance_rate(name: &str, names: &[&str], endpoint: u32, rate: f64) -> f64 {
    let holders = max_holders(rate).min(names.len());
    let own = holder_hash(name, endpoint);
    let before = names.iter().filter(|it| holder_hash(it, endpoint) < own);
    if before.count() >= holders {
        return 0.0;
    }
    rate / f64::from(u32::try_from(holders).unwrap_or(u32::MAX))
}

// A number from 0 to 1 for an instance and an endpoint: instances with the lowest hold the endpoint's limit.
fn holder_hash(name: &str, endpoint: u32) -> f64 {
    hash_to_fraction(stable_hash(&(name, endpoint)))
}

// Where an instance's bucket begins, so that the holders' first tokens do not come at the same moment.
fn initial_level(name: &str, endpoint: u32) -> f64 {
    hash_to_fraction(stable_hash(&(endpoint, name)))
}

fn hash_to_fraction(hash: u64) -> f64 {
    f64::from(u32::try_from(hash >> 32).unwrap_or(u32::MAX)) / f64::from(u32::MAX)
}

fn from_thousandths(thousandths: u32) -> f64 {
    f64::from(thousandths) / 1_000.0
}

#[expect(clippy::cast_possible_truncation, reason = "cut to what fits")]
#[expect(clippy::cast_sign_loss, reason = "rates are not below zero")]
fn to_thousandths(rate: f64) -> u32 {
    (rate * 1000.0).clamp(1.0, f64::from(u32::MAX)) as u32
}

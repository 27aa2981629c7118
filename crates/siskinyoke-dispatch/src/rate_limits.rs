//! Rate limits that endpoints announce, and how instances share them.
//!
//! An overloaded endpoint accepts a few requests a second from all instances together. If each
//! instance kept to that limit alone, the endpoint would receive the limit once per instance. Equal
//! shares for all instances do not work either: in a large fleet a share is less than one request
//! in several seconds, yet every instance sends a first one. A limit is therefore divided among at
//! most as many holders as it has whole requests a second, and at least one. Holders are selected
//! by a hash of instance and endpoint, so that instances in contact with each other agree without
//! coordination. Other instances ask a holder for a slot when a request has no alternative.

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

/// How long reports mention that a limit was lifted.
///
/// Peers that send nothing to the endpoint do not notice it themselves.
const LIFTED_TTL: Millis = Millis::from_secs(10);

/// How much newer than the known observation a peer's row on the same limit must be.
///
/// A peer's echo of this instance's own report looks newer by the round trip, and would otherwise
/// count as an update each time.
const ECHO_TOLERANCE: Millis = Millis(250);

/// Maximum number of limits in one report, to bound its size.
const MAX_REPORTED_LIMITS: usize = 32;

/// A limit that was announced, changed or lifted.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitChange {
    /// Short key of the endpoint.
    pub endpoint: u32,
    /// Previous limit in requests a second, `None` if there was no limit.
    pub before: Option<f64>,
    /// New limit in requests a second, `None` if it was lifted.
    pub rate: Option<f64>,
    /// Whether the change was learned from a peer.
    pub from_peer: bool,
}

/// Rate limits that endpoints announce, and this instance's share of each.
#[derive(Debug, Default)]
pub struct RateLimits {
    // Name of this instance.
    instance: Box<str>,
    // By short endpoint key, including lifted limits.
    limits: Map<u32, RateLimit>,
    changes: Vec<LimitChange>,
}

impl RateLimits {
    /// Creates an empty set of limits for the named instance.
    pub fn new(instance: &str) -> Self {
        Self {
            instance: instance.into(),
            ..Self::default()
        }
    }

    /// Records a response that announces a limit, in requests a second.
    pub fn observe_limit(&mut self, now: Millis, key: EndpointKey, rate: f64) {
        // Rounded as in reports, so that all instances hold the same rate.
        let rate = from_thousandths(to_thousandths(rate));
        self.record(now, key.short_key(), now, Some(rate), false);
    }

    /// Records a response without a limit to a request that was sent at `sent_at`.
    pub fn observe_no_limit(&mut self, now: Millis, key: EndpointKey, sent_at: Millis) {
        let known = self.limits.get(&key.short_key());
        if known.is_some_and(|it| it.lifted_by(now, sent_at)) {
            self.record(now, key.short_key(), now, None, false);
        }
    }

    /// Merges the limits of a peer's report.
    pub fn merge_peer_limits(&mut self, now: Millis, rows: &[LimitRow]) {
        for row in rows {
            let observed_at = now.since(Millis(u64::from(row.age)));
            let rate = (row.rate > 0).then(|| from_thousandths(row.rate));
            let known = self.limits.get(&row.endpoint);
            let same_state = known.is_some_and(|it| it.rate().is_some() == rate.is_some());
            if same_state
                && known.is_some_and(|it| observed_at <= it.observed_at() + ECHO_TOLERANCE)
            {
                continue;
            }
            self.record(now, row.endpoint, observed_at, rate, true);
        }
    }

    /// Returns the rows for a report to peers, newest first: limits changed since `since` that are
    /// in force or were lifted recently.
    pub fn report_rows(&self, now: Millis, since: Millis) -> Vec<LimitRow> {
        let limits = self.limits.iter();
        let mut rows: Vec<LimitRow> = limits
            .filter(|row| row.1.changed_at() >= since)
            .filter(|row| row.1.rate().is_some() || now.since(row.1.observed_at()) < LIFTED_TTL)
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

    /// Returns the changes since the last call, for the log.
    pub fn take_changes(&mut self) -> Vec<LimitChange> {
        std::mem::take(&mut self.changes)
    }

    /// Returns the number of limits in force.
    pub fn active_count(&self) -> usize {
        let limits = self.limits.values();
        limits.filter(|it| it.rate().is_some()).count()
    }

    /// Updates this instance's share of each limit for the peers currently in contact.
    pub(crate) fn update_rates(&mut self, view: &ClusterView<'_>) {
        if self.limits.is_empty() {
            return;
        }
        let peers = view.peers.fresh(view.now);
        let mut names: Vec<&str> = peers.map(|peer| &*peer.info.name).collect();
        names.push(&self.instance);
        for (endpoint, limit) in &mut self.limits {
            let Some(rate) = limit.rate() else { continue };
            let rate = rate * view.registry.limit_share(*endpoint, max_holders(rate));
            // In a large fleet most limits belong to endpoints of other shards.
            let own_rate = if rate > 0.0 {
                instance_rate(&self.instance, &names, *endpoint, rate)
            } else {
                0.0
            };
            limit.set_rates(view.now, own_rate, rate);
        }
    }

    /// Returns the peers that hold a share of the limit of any of these endpoints.
    pub(crate) fn holders<'a>(
        &self,
        view: &ClusterView<'a>,
        endpoints: &[Arc<Endpoint>],
    ) -> Vec<&'a InstanceLocation> {
        let limits: Vec<(u32, f64)> = endpoints
            .iter()
            .map(|it| it.key().short_key())
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

    /// Returns how many requests may be sent to an endpoint now, `None` if it has no limit.
    pub fn tokens(&self, key: EndpointKey) -> Option<u32> {
        self.limits.get(&key.short_key())?.tokens()
    }

    /// Returns how many requests a second this shard may send to an endpoint, `None` if it has no
    /// limit.
    pub fn shard_rate(&self, key: EndpointKey) -> Option<f64> {
        self.limits.get(&key.short_key())?.shard_rate()
    }

    /// Takes a token for a request that is sent to an endpoint.
    pub fn take_token(&mut self, key: EndpointKey) {
        if let Some(limit) = self.limits.get_mut(&key.short_key()) {
            limit.take_token();
        }
    }

    /// Drops the limits of endpoints that are not in `endpoints`.
    pub fn retain_endpoints(&mut self, endpoints: &[EndpointKey]) {
        self.limits
            .retain(|short_key, _| endpoints.iter().any(|key| key.short_key() == *short_key));
    }

    // Records an observation of a limit made at `observed_at`, unless a newer one is known.
    fn record(
        &mut self,
        now: Millis,
        endpoint: u32,
        observed_at: Millis,
        rate: Option<f64>,
        from_peer: bool,
    ) {
        let known = self.limits.get_mut(&endpoint);
        if known
            .as_ref()
            .is_some_and(|it| it.observed_at() >= observed_at)
        {
            return;
        }
        let before = known.as_ref().and_then(|it| it.rate());
        match (known, rate) {
            (Some(limit), Some(rate)) if limit.rate().is_some() => {
                limit.update(now, observed_at, rate);
            }
            _ => {
                let limit = RateLimit::new(
                    now,
                    observed_at,
                    rate,
                    initial_level(&self.instance, endpoint),
                );
                self.limits.insert(endpoint, limit);
            }
        }
        let rate = self.limits[&endpoint].rate();
        if before != rate {
            self.changes.push(LimitChange {
                endpoint,
                before,
                rate,
                from_peer,
            });
        }
    }
}

// Returns the maximum number of holders of a limit: one per whole request a second, at least one.
#[expect(
    clippy::cast_possible_truncation,
    reason = "the range far exceeds the number of instances"
)]
#[expect(clippy::cast_sign_loss, reason = "rates are not negative")]
fn max_holders(rate: f64) -> usize {
    (rate as usize).max(1)
}

// Returns an instance's share of a rate among the named instances, zero if it is no holder.
fn instance_rate(name: &str, names: &[&str], endpoint: u32, rate: f64) -> f64 {
    let holders = max_holders(rate).min(names.len());
    let own_hash = holder_hash(name, endpoint);
    let lower = names
        .iter()
        .filter(|it| holder_hash(it, endpoint) < own_hash);
    if lower.count() >= holders {
        return 0.0;
    }
    rate / f64::from(u32::try_from(holders).unwrap_or(u32::MAX))
}

// Rendezvous hash from 0 to 1: the instances with the lowest hashes hold an endpoint's limit.
fn holder_hash(name: &str, endpoint: u32) -> f64 {
    hash_to_fraction(stable_hash(&(name, endpoint)))
}

// Initial token level from 0 to 1, staggered so that holders do not gain their first token at once.
fn initial_level(name: &str, endpoint: u32) -> f64 {
    hash_to_fraction(stable_hash(&(endpoint, name)))
}

fn hash_to_fraction(hash: u64) -> f64 {
    f64::from(u32::try_from(hash >> 32).unwrap_or(u32::MAX)) / f64::from(u32::MAX)
}

fn from_thousandths(thousandths: u32) -> f64 {
    f64::from(thousandths) / 1_000.0
}

#[expect(clippy::cast_possible_truncation, reason = "clamped to the range")]
#[expect(clippy::cast_sign_loss, reason = "rates are not negative")]
fn to_thousandths(rate: f64) -> u32 {
    (rate * 1000.0).clamp(1.0, f64::from(u32::MAX)) as u32
}

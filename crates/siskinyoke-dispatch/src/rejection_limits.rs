//! Endpoints that fall over when they have to reject too many requests.
//!
//! Such an endpoint states how many rejections a second it bears, from all instances together. An
//! instance cannot know how many of them its peers are about to cause, nor which of the free slots
//! they are about to use. Each slot of such an endpoint is therefore used by one instance only, by
//! a hash on which all agree. If a request is rejected all the same, no instance sends another one
//! for a second.

use std::collections::BTreeSet;

use crate::EndpointKey;
use crate::report::RejectionRow;
use crate::stable_hash;
use siskinyoke_base::Map;
use siskinyoke_base::Millis;

/// The time over which endpoints count rejections.
const REJECTION_WINDOW: Millis = Millis(1_000);

/// Over what time after that window the instances return, each at a moment of its own: if the
/// endpoint still rejects requests, only the first of them is rejected.
const RETURN_SPREAD: Millis = Millis(500);

/// Minimum time since a limit was last stated before a response without one lifts it.
const LIFT_DELAY: Millis = Millis(1_000);

/// How much newer than the known observation a peer's row on the same limit must be; its echo of
/// this instance's own report looks newer by the round trip.
const ECHO_TOLERANCE: Millis = Millis(250);

/// How long reports mention that a limit was lifted.
const LIFTED_TTL: Millis = Millis::from_secs(10);

/// How long an endpoint may still work on a request that was given up, or whose instance was killed.
pub(crate) const LINGER_TIME: Millis = Millis(500);

/// Maximum number of limits in one report, to bound its size.
const MAX_REPORTED_LIMITS: usize = 32;

/// A limit that was stated, changed or lifted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RejectionLimitChange {
    /// Short key of the endpoint.
    pub endpoint: u32,
    /// The number of rejections a second that it bears, `None` if it no longer states one.
    pub limit: Option<u32>,
    /// Whether the change was learned from a peer.
    pub from_peer: bool,
}

/// Returns how many of an endpoint's slots belong to one of the instances that use it, given by its
/// position among them. The parts of all instances together make up the slots.
pub fn part_of_slots(slots: u32, instances: u32, position: u32) -> u32 {
    let instances = instances.max(1);
    slots.saturating_add(instances - 1 - position.min(instances - 1)) / instances
}

#[derive(Debug, Clone, Copy)]
struct RejectionLimit {
    limit: Option<u32>,
    // When a response last stated or lifted the limit, here or at a peer.
    observed_at: Millis,
    // When this instance learned of the limit or of a rejection.
    changed_at: Millis,
    rejected_at: Option<Millis>,
    // Whether a peer has reported a limit.
    known_to_peers: bool,
}

/// The rejections a second that endpoints bear, as they state it.
#[derive(Debug, Default)]
pub struct RejectionLimits {
    instance: Box<str>,
    // By short endpoint key, including lifted limits.
    limits: Map<u32, RejectionLimit>,
    changes: Vec<RejectionLimitChange>,
    // When this process began to serve requests.
    started_at: Option<Millis>,
    // Whether a peer has reported all limits that it knows.
    peers_known: bool,
    // Endpoints that have responded to this process without stating a limit.
    unlimited: BTreeSet<u32>,
}

impl RejectionLimits {
    /// Creates an empty set of limits for the named instance.
    pub fn new(instance: &str) -> Self {
        Self {
            instance: instance.into(),
            ..Self::default()
        }
    }

    /// Records that this process begins to serve requests.
    pub fn start(&mut self, now: Millis) {
        self.started_at.get_or_insert(now);
    }

    /// Records that a peer has reported all limits that it knows.
    pub fn mark_known(&mut self) {
        self.peers_known = true;
        self.unlimited.clear();
    }

    /// Returns whether an endpoint may bear few rejections: it states so, or this process knows
    /// neither the limits of its peers nor a response of the endpoint.
    pub fn may_be_limited(&self, key: EndpointKey) -> bool {
        let unknown = self.awaits_peers() && !self.unlimited.contains(&key.short_key());
        unknown || self.is_limited(key)
    }

    /// Returns whether an endpoint that bears few rejections may still work on requests of the
    /// process that this one has replaced.
    pub fn awaits_predecessor(&self, now: Millis, key: EndpointKey) -> bool {
        let known = self.limits.get(&key.short_key());
        self.is_starting(now) && known.is_some_and(|it| it.limit.is_some() && it.known_to_peers)
    }

    /// Returns whether endpoints may still work on requests of the process that this one has
    /// replaced.
    pub fn is_starting(&self, now: Millis) -> bool {
        self.started_at.is_some_and(|at| now < at + LINGER_TIME)
    }

    /// Returns whether the limits that peers know have not been received yet.
    pub fn awaits_peers(&self) -> bool {
        self.started_at.is_some() && !self.peers_known
    }

    /// Records what a response to a request sent at `sent_at` states.
    pub fn observe(&mut self, now: Millis, key: EndpointKey, sent_at: Millis, limit: Option<u32>) {
        let known = self.limits.get(&key.short_key());
        let lifts = known.is_some_and(|it| {
            it.limit.is_some()
                && sent_at > it.observed_at
                && now.since(it.observed_at) >= LIFT_DELAY
        });
        if limit.is_some() || lifts {
            self.record(now, key.short_key(), now, limit, false);
        }
        if limit.is_none() && self.awaits_peers() {
            self.unlimited.insert(key.short_key());
        }
    }

    /// Records that an endpoint rejected a request, and returns whether it bears few rejections.
    pub fn record_rejection(&mut self, now: Millis, key: EndpointKey) -> bool {
        let Some(limit) = self.limits.get_mut(&key.short_key()) else {
            return false;
        };
        limit.rejected_at = Some(now);
        limit.changed_at = now;
        limit.limit.is_some()
    }

    /// Returns whether an endpoint bears few rejections.
    pub fn is_limited(&self, key: EndpointKey) -> bool {
        let known = self.limits.get(&key.short_key());
        known.is_some_and(|it| it.limit.is_some())
    }

    /// Returns whether an endpoint gets no requests because it has rejected one.
    pub fn in_backoff(&self, now: Millis, key: EndpointKey) -> bool {
        let Some(limit) = self.limits.get(&key.short_key()) else {
            return false;
        };
        let Some(rejected_at) = limit.rejected_at else {
            return false;
        };
        let hash = stable_hash(&(&*self.instance, key.short_key())) >> 32;
        let delay = Millis(hash % RETURN_SPREAD.0);
        limit.limit.is_some() && now.since(rejected_at) < REJECTION_WINDOW + delay
    }

    /// Merges the rows of a peer's report.
    pub fn merge_peer_rows(&mut self, now: Millis, rows: &[RejectionRow]) {
        for row in rows {
            let observed_at = now.since(Millis(u64::from(row.age)));
            let limit = row.limit.checked_sub(1);
            let known = self.limits.get(&row.endpoint);
            let same_state = known.is_some_and(|it| it.limit == limit);
            let echo = known.is_some_and(|it| observed_at <= it.observed_at + ECHO_TOLERANCE);
            if !(same_state && echo) {
                self.record(now, row.endpoint, observed_at, limit, true);
            }
            let rejected_at = row.rejected_age.map(|it| now.since(Millis(u64::from(it))));
            if let Some(known) = self.limits.get_mut(&row.endpoint) {
                known.rejected_at = known.rejected_at.max(rejected_at);
                known.known_to_peers |= limit.is_some();
            }
        }
    }

    /// Returns the rows for a report to peers, newest first: limits changed since `since` that are
    /// in force or were lifted recently.
    pub fn report_rows(&self, now: Millis, since: Millis) -> Vec<RejectionRow> {
        let age = |at: Millis| u32::try_from(now.since(at).0).unwrap_or(u32::MAX);
        let limits = self.limits.iter();
        let mut rows: Vec<RejectionRow> = limits
            .filter(|row| row.1.changed_at >= since)
            .filter(|row| row.1.limit.is_some() || now.since(row.1.observed_at) < LIFTED_TTL)
            .map(|(endpoint, limit)| RejectionRow {
                endpoint: *endpoint,
                limit: limit.limit.map_or(0, |it| it.saturating_add(1)),
                age: age(limit.observed_at),
                rejected_age: limit.rejected_at.map(age),
            })
            .collect();
        rows.sort_unstable_by_key(|row| (row.rejected_age.unwrap_or(row.age), row.endpoint));
        rows.truncate(MAX_REPORTED_LIMITS);
        rows
    }

    /// Returns the changes since the last call, for the log.
    pub fn take_changes(&mut self) -> Vec<RejectionLimitChange> {
        std::mem::take(&mut self.changes)
    }

    /// Returns the number of limits in force.
    pub fn active_count(&self) -> usize {
        let limits = self.limits.values();
        limits.filter(|it| it.limit.is_some()).count()
    }

    /// Drops what is known of endpoints that are not in `endpoints`.
    pub fn retain_endpoints(&mut self, endpoints: &[EndpointKey]) {
        let listed = |short_key: u32| endpoints.iter().any(|key| key.short_key() == short_key);
        self.limits.retain(|short_key, _| listed(*short_key));
        self.unlimited.retain(|short_key| listed(*short_key));
    }

    // Records an observation made at `observed_at`, unless a newer one is known.
    fn record(
        &mut self,
        now: Millis,
        endpoint: u32,
        observed_at: Millis,
        limit: Option<u32>,
        from_peer: bool,
    ) {
        let entry = self.limits.entry(endpoint);
        let known = entry.or_insert(RejectionLimit {
            limit: None,
            observed_at: Millis::ZERO,
            changed_at: now,
            rejected_at: None,
            known_to_peers: false,
        });
        if known.observed_at > observed_at {
            return;
        }
        known.observed_at = observed_at;
        if known.limit != limit {
            known.limit = limit;
            known.changed_at = now;
            self.changes.push(RejectionLimitChange {
                endpoint,
                limit,
                from_peer,
            });
        }
    }
}

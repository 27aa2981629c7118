//! Endpoints that bear few rejections, in the scheduling of requests.

use std::collections::BTreeSet;
use std::sync::Arc;

use super::ClusterView;
use super::Scheduler;
use crate::Endpoint;
use crate::EndpointKey;
use crate::Outcome;
use crate::rejection_limits::LINGER_TIME;
use crate::rejection_limits::RejectionLimitChange;
use crate::rejection_limits::RejectionLimits;
use crate::rejection_limits::part_of_slots;
use crate::report::RejectionRow;
use crate::stable_hash;
use siskinyoke_base::Millis;

// The use of endpoints of which it is not known whether they bear few rejections.
#[derive(Debug, Clone, Copy)]
pub(super) enum UnknownUse {
    // This instance's part of the slots, and at least this many.
    Part(u32),
    // One request at this endpoint, none at others.
    Trial(Option<EndpointKey>),
}

impl Scheduler {
    /// Returns the known limits on rejections.
    pub fn rejection_limits(&self) -> &RejectionLimits {
        &self.rejection_limits
    }

    /// Records how many rejections a second an endpoint bears, as stated in its response to a
    /// request that was sent at `sent_at`.
    pub fn record_rejection_limit(
        &mut self,
        now: Millis,
        key: EndpointKey,
        sent_at: Millis,
        limit: Option<u32>,
    ) {
        self.rejection_limits.observe(now, key, sent_at, limit);
    }

    /// Records that this process begins to serve requests.
    pub(crate) fn start(&mut self, now: Millis) {
        self.rejection_limits.start(now);
    }

    /// Records that a peer has reported all limits that it knows.
    pub(crate) fn mark_rejection_limits_known(&mut self) {
        self.rejection_limits.mark_known();
    }

    /// Records that an endpoint rejected a request, and returns whether it bears few rejections.
    pub fn record_rejection(&mut self, now: Millis, key: EndpointKey) -> bool {
        self.rejection_limits.record_rejection(now, key)
    }

    /// Records the limits on rejections that a peer reports.
    pub fn record_peer_rejection_limits(&mut self, now: Millis, rows: &[RejectionRow]) {
        self.rejection_limits.merge_peer_rows(now, rows);
    }

    /// Returns the limits on rejections that were stated, changed or lifted since the last call.
    pub fn take_rejection_limit_changes(&mut self) -> Vec<RejectionLimitChange> {
        self.rejection_limits.take_changes()
    }

    // Returns how many more requests this instance may send to an endpoint now, `None` if it bears
    // any number of rejections. `others` are the instances with which it shares such endpoints.
    pub(super) fn own_free_slots(
        &self,
        view: &ClusterView<'_>,
        others: &BTreeSet<&str>,
        endpoint: &Endpoint,
        unknown_use: UnknownUse,
    ) -> Option<u32> {
        let key = endpoint.key();
        if !self.rejection_limits.may_be_limited(key) {
            return None;
        }
        if self.rejection_limits.awaits_predecessor(view.now, key) {
            return Some(0);
        }
        let mut part = self.own_part(view, others, endpoint);
        if !self.rejection_limits.is_limited(key) {
            part = match unknown_use {
                UnknownUse::Part(minimum) => part.max(minimum),
                UnknownUse::Trial(trial) => u32::from(trial == Some(key)),
            };
        }
        let own = self.in_flight.get(&key);
        Some(part.saturating_sub(own.map_or(0, |row| u32::from(row.count))))
    }

    // Returns how endpoints are used whose limits are not known yet.
    //
    // While they may still run requests of the process before this one, a single request tells
    // whether they bear few rejections; its part of the slots may be taken. Later the part is at
    // least one if this instance has no part of any endpoint's slots and would serve nobody.
    pub(super) fn unknown_use(
        &self,
        view: &ClusterView<'_>,
        others: &BTreeSet<&str>,
        endpoints: &[&Arc<Endpoint>],
    ) -> UnknownUse {
        if !self.rejection_limits.awaits_peers() {
            return UnknownUse::Part(0);
        }
        if self.rejection_limits.is_starting(view.now) && !others.is_empty() {
            return UnknownUse::Trial(self.trial_endpoint(endpoints));
        }
        let has_part = |it: &&Arc<Endpoint>| self.own_part(view, others, it) > 0;
        UnknownUse::Part(u32::from(!endpoints.iter().any(has_part)))
    }

    // Returns the endpoint that shows whether endpoints bear few rejections, unless one has stated
    // so already.
    fn trial_endpoint(&self, endpoints: &[&Arc<Endpoint>]) -> Option<EndpointKey> {
        if self.rejection_limits.active_count() > 0 {
            return None;
        }
        let keys = endpoints.iter().map(|it| it.key());
        let unknown = keys.filter(|it| self.rejection_limits.may_be_limited(*it));
        unknown.min_by_key(|it| stable_hash(&(&*self.instance, it.short_key())))
    }

    // Returns how many of an endpoint's slots belong to this instance.
    fn own_part(
        &self,
        view: &ClusterView<'_>,
        others: &BTreeSet<&str>,
        endpoint: &Endpoint,
    ) -> u32 {
        let short_key = endpoint.key().short_key();
        let own_hash = stable_hash(&(&*self.instance, short_key));
        let preceding = others
            .iter()
            .filter(|it| stable_hash(&(it, short_key)) < own_hash);
        let slots = view.registry.shard_slots(endpoint);
        part_of_slots(slots, count(others.len() + 1), count(preceding.count()))
    }

    // Keeps the slot of a request that was given up at an endpoint that bears few rejections, as the
    // endpoint may still work on it. Returns whether the slot is kept.
    pub(super) fn linger(&mut self, now: Millis, key: EndpointKey, outcome: Outcome) -> bool {
        let given_up = matches!(
            outcome,
            Outcome::Cancelled
                | Outcome::Stalled
                | Outcome::ConnectionLost
                | Outcome::Invalid
                | Outcome::Mismatched
                | Outcome::LinkLost
        );
        let lingers = given_up && self.rejection_limits.is_limited(key);
        if lingers {
            self.lingering.push((key, now + LINGER_TIME));
        }
        lingers
    }

    // Frees the slots of requests that were given up a while ago.
    pub(super) fn release_lingering(&mut self, now: Millis) {
        let expired = self.lingering.extract_if(.., |row| row.1 <= now);
        let expired: Vec<EndpointKey> = expired.map(|row| row.0).collect();
        for key in expired {
            self.decrement_usage(key);
        }
    }

    // Returns the instances with which this one shares endpoints that bear few rejections, if there
    // are any.
    pub(super) fn sharing_instances<'a>(&self, view: &ClusterView<'a>) -> BTreeSet<&'a str> {
        let limits = &self.rejection_limits;
        if limits.active_count() == 0 && !limits.awaits_peers() {
            return BTreeSet::new();
        }
        view.peers.members(&self.instance)
    }
}

fn count(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}

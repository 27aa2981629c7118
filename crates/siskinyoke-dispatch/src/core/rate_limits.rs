//! What this instance knows of endpoints' rate limits, and who holds them.

use std::sync::Arc;

use crate::Endpoint;
use crate::Ticket;
use crate::core::Core;
use crate::rate_limits::LimitChange;
use crate::report::InstanceLocation;
use crate::report::LimitRow;
use crate::scheduler::ClusterView;
use siskinyoke_base::Millis;

impl Core {
    /// Takes in an answer of an endpoint to a request that was sent at `sent`: the requests a second that it takes from
    /// all instances together, if it names that.
    pub fn record_limit(
        &mut self,
        now: Millis,
        endpoint: &Endpoint,
        sent: Millis,
        rate: Option<f64>,
    ) {
        self.scheduler.record_limit(now, endpoint.key(), sent, rate);
    }

    /// Returns the endpoint of a shortened key, if it is known.
    pub fn endpoint_by_hash(&self, key: u32) -> Option<&Arc<Endpoint>> {
        self.registry.all().find(|it| it.key().short() == key)
    }

    // A limit of an endpoint that is not known here, or gone, would be forgotten and heard again without end.
    pub(super) fn record_peer_limits(&mut self, now: Millis, rows: &[LimitRow]) {
        let known = rows
            .iter()
            .filter(|it| self.endpoint_by_hash(it.endpoint).is_some());
        let known: Vec<LimitRow> = known.copied().collect();
        self.scheduler.record_peer_limits(now, &known);
    }

    /// Returns the limits that were named, changed or lifted since this was last asked.
    pub fn take_limit_changes(&mut self) -> Vec<LimitChange> {
        self.scheduler.take_limit_changes()
    }

    /// Returns the peers that may give a token of a rate limit for a service's requests, by its hashed name.
    pub fn token_holders(&self, now: Millis, service: u32) -> Vec<&InstanceLocation> {
        let view = ClusterView {
            now,
            registry: &self.registry,
            peers: &self.peers,
        };
        self.scheduler.token_holders(&view, service)
    }

    /// Takes note that the holders that were asked had no token for a request.
    pub fn token_declined(&mut self, now: Millis, ticket: Ticket) {
        self.scheduler.token_declined(now, ticket);
    }
}

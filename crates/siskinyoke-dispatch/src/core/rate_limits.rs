//! Rate limits announced by endpoints, and the peers that hold parts of them.

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
    /// Records the rate limit in an endpoint's response to a request sent at `sent_at`.
    ///
    /// `rate` is the limit in requests per second over all instances, or `None` if the response
    /// states none.
    pub fn record_limit(
        &mut self,
        now: Millis,
        endpoint: &Endpoint,
        sent_at: Millis,
        rate: Option<f64>,
    ) {
        self.scheduler
            .record_limit(now, endpoint.key(), sent_at, rate);
    }

    /// Finds an endpoint by the hash of its key.
    pub fn endpoint_by_hash(&self, hash: u32) -> Option<&Arc<Endpoint>> {
        self.registry.all().find(|it| it.key().short_key() == hash)
    }

    // Records the limits reported by a peer, except those of unknown endpoints.
    pub(super) fn record_peer_limits(&mut self, now: Millis, rows: &[LimitRow]) {
        let known = self.rows_of_known_endpoints(rows, |it| it.endpoint);
        self.scheduler.record_peer_limits(now, &known);
    }

    // Returns the rows of a peer's report on endpoints that are known here: others would be dropped
    // and received again in every report.
    pub(super) fn rows_of_known_endpoints<T: Copy>(
        &self,
        rows: &[T],
        endpoint: impl Fn(&T) -> u32,
    ) -> Vec<T> {
        let rows = rows.iter();
        let known = rows.filter(|it| self.endpoint_by_hash(endpoint(it)).is_some());
        known.copied().collect()
    }

    /// Returns the limits announced, changed or lifted since the last call.
    pub fn take_limit_changes(&mut self) -> Vec<LimitChange> {
        self.scheduler.take_limit_changes()
    }

    /// Returns the peers that may lend a rate limit token for a service, given by its hashed name.
    pub fn token_holders(&self, now: Millis, service: u32) -> Vec<&InstanceLocation> {
        let view = ClusterView {
            now,
            registry: &self.registry,
            peers: &self.peers,
        };
        self.scheduler.token_holders(&view, service)
    }

    /// Records that the queried holders denied a token for a request.
    pub fn token_denied(&mut self, now: Millis, ticket: Ticket) {
        self.scheduler.token_denied(now, ticket);
    }
}

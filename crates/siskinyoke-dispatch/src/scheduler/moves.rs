//! Moves of running requests to slots at other endpoints.

use std::sync::Arc;

use super::ClusterView;
use super::Scheduler;
use super::dispatch::backlog;
use super::dispatch::claimed_by_peers;
use super::dispatch::shared_slots;
use crate::Endpoint;
use crate::ScheduledRequest;
use crate::Ticket;
use crate::placement::Candidate;
use crate::placement::PlacementQuery;
use crate::report::WaitingRow;
use crate::report::short_hash;
use crate::wait;
use siskinyoke_base::Millis;

impl Scheduler {
    /// Selects an endpoint with a slot that a running request could use now if it were queued.
    pub(crate) fn find_alternative(
        &mut self,
        view: &ClusterView<'_>,
        request: &ScheduledRequest,
    ) -> Option<Candidate> {
        self.rate_limits.update_rates(view);
        self.release_lingering(view.now);
        let request = request.clone().requeued(view.now);
        let service = &request.service;
        let latency = self.latency_model(service);
        let free = self.free_endpoints(view, service);
        let rows: Vec<WaitingRow> = view.peers.waiting(view.now, short_hash(service)).collect();
        let waited = view.now.since(request.virtual_arrival);
        let claimed = claimed_by_peers(&rows, request.queue_order(), waited);
        let use_shared = shared_slots(&free) > claimed;
        let candidates = match request.version {
            Some(_) => self.free_among(view, &view.registry.targets(&request)),
            None => free,
        };
        let query = PlacementQuery {
            now: view.now,
            request: &request,
            latency_model: &latency,
            can_wait: view.now < request.wait_start + wait::queue_timeout(&request, latency),
        };
        let index = self.selector.select(&query, &candidates, use_shared)?;
        candidates.into_iter().nth(index)
    }

    /// Starts a request whose last attempt has ended at an endpoint with a free slot.
    pub(crate) fn start_at(
        &mut self,
        now: Millis,
        request: ScheduledRequest,
        candidate: &Candidate,
    ) -> (Ticket, Arc<Endpoint>) {
        let endpoint = candidate.endpoint.clone();
        let latency = self.latency_model(&request.service);
        let backlog = backlog(candidate, latency);
        let expected = self.expected_at(candidate, &request.tokens, latency);
        let ticket = self.next_ticket();
        self.rate_limits.take_token(endpoint.key());
        self.record_start(now, ticket, request.requeued(now), &endpoint, backlog);
        self.record_expected(ticket, expected);
        (ticket, endpoint)
    }
}

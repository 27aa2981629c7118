//! Rate limits of endpoints in the scheduling of requests.

use super::ClusterView;
use super::Scheduler;
use super::lending::DENIED_BACKOFF;
use super::lending::borrower_request;
use super::requested_backoff::HALF_OPEN_REQUESTS;
use crate::Endpoint;
use crate::EndpointKey;
use crate::Ticket;
use crate::latency_model::LatencyModel;
use crate::latency_model::millis_to_f64;
use crate::message::SlotRequest;
use crate::rate_limits::LimitChange;
use crate::rate_limits::RateLimits;
use crate::report::InstanceLocation;
use crate::report::LimitRow;
use siskinyoke_base::Millis;

const MS_PER_SECOND: f64 = 1_000.0;

impl Scheduler {
    /// Returns the known rate limits.
    pub fn rate_limits(&self) -> &RateLimits {
        &self.rate_limits
    }

    /// Records the rate limit in an endpoint's response to a request that was sent at `sent_at`, or
    /// that the response had none.
    pub fn record_limit(
        &mut self,
        now: Millis,
        key: EndpointKey,
        sent_at: Millis,
        rate: Option<f64>,
    ) {
        match rate {
            Some(rate) => self.rate_limits.observe_limit(now, key, rate),
            None => self.rate_limits.observe_no_limit(now, key, sent_at),
        }
    }

    /// Records the rate limits that a peer reports.
    pub fn record_peer_limits(&mut self, now: Millis, rows: &[LimitRow]) {
        self.rate_limits.merge_peer_limits(now, rows);
    }

    /// Returns the rate limits that were set, changed or lifted since the last call.
    pub fn take_limit_changes(&mut self) -> Vec<LimitChange> {
        self.rate_limits.take_changes()
    }

    /// Lends a token of a rate limit to a peer's request, unless requests wait here.
    pub(crate) fn lend_token(
        &mut self,
        view: &ClusterView<'_>,
        request: &SlotRequest,
    ) -> Option<EndpointKey> {
        let service = view.registry.find_service(request.service)?;
        if self.queues.get(&service).is_some_and(|it| !it.is_empty()) {
            return None;
        }
        self.rate_limits.update_rates(view);
        let mut candidates = self.free_endpoints(view, &service);
        candidates.retain(|it| self.rate_limits.tokens(it.endpoint.key()).is_some());
        let borrower = borrower_request(view.now, &service, request);
        let key = self.best_endpoint(view.now, &borrower, &candidates)?;
        self.rate_limits.take_token(key);
        Some(key)
    }

    /// Returns the peers that hold tokens for a service's requests.
    pub(crate) fn token_holders<'a>(
        &self,
        view: &ClusterView<'a>,
        service: u32,
    ) -> Vec<&'a InstanceLocation> {
        let Some(service) = view.registry.find_service(service) else {
            return Vec::new();
        };
        self.rate_limits
            .holders(view, view.registry.eligible(&service))
    }

    /// Records that the holders that were asked for a token denied it.
    pub fn token_denied(&mut self, now: Millis, ticket: Ticket) {
        if let Some(request) = self.waiting.get(&ticket) {
            self.token_denials.insert(request.service.clone(), now);
        }
    }

    // Returns whether to ask the holders of rate limits for tokens.
    pub(super) fn should_ask_holders(&self, view: &ClusterView<'_>, service: &str) -> bool {
        let last_denial = self.token_denials.get(service);
        let denied = last_denial.is_some_and(|at| view.now.since(*at) < DENIED_BACKOFF);
        let mut endpoints = view.registry.eligible(service).iter();
        !denied && endpoints.any(|it| self.rate_limits.tokens(it.key()).is_some())
    }

    // Returns the number of slots of an endpoint divided by its speed factor, or the number that
    // its rate limit keeps busy if that is smaller.
    pub(super) fn effective_slots(&self, endpoint: &Endpoint, latency: &LatencyModel) -> f64 {
        let key = endpoint.key();
        let slots = f64::from(endpoint.slots) / self.selector.speed_factor(key);
        let slots = if self.selector.is_half_open(key) {
            slots.min(f64::from(HALF_OPEN_REQUESTS))
        } else {
            slots
        };
        let limit = self.rate_limits.shard_rate(key);
        limit.map_or(slots, |rate| {
            slots.min(rate * millis_to_f64(latency.mean_service_time()) / MS_PER_SECOND)
        })
    }
}

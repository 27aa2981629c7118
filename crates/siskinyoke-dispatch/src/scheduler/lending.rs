//! Lending of slots between shards.
//!
//! A large fleet is divided into shards of some twenty slots each. By chance one shard is full
//! while others are idle: its requests would wait, be late or be refused although there are free
//! slots in other shards. An instance whose request cannot start therefore asks instances of other
//! shards for a slot. The lender counts the slot as taken until it is returned, so that no endpoint
//! is sent more requests than it has slots.

use std::sync::Arc;

use super::Backlog;
use super::ClusterView;
use super::Scheduler;
use super::dispatch::shared_slots;
use crate::BorrowRequest;
use crate::Endpoint;
use crate::EndpointKey;
use crate::Priority;
use crate::PromptParts;
use crate::Route;
use crate::RouteKind;
use crate::ScheduledRequest;
use crate::Ticket;
use crate::TokenCounts;
use crate::latency_model::millis_from_f64;
use crate::latency_model::millis_to_f64;
use crate::message::SlotRequest;
use crate::placement::Candidate;
use crate::placement::PlacementQuery;
use crate::queue::Queue;
use crate::registry::Registry;
use crate::report::short_hash;
use siskinyoke_base::Millis;

/// How long a request waits before other shards are asked for a slot.
///
/// Slots of the own shard become free all the time, and are reported within about ten milliseconds.
const BORROW_DELAY: Millis = Millis(10);

/// The interval at which other shards are asked for a slot for the same request.
const BORROW_INTERVAL: Millis = Millis(40);

/// The number of requests for which other shards are asked for a slot at a time.
const MAX_BORROW_QUERIES: usize = 4;

/// How long other shards are not asked after they denied a slot.
///
/// When the whole fleet is at peak load, all shards are full and every request would be denied.
pub(super) const DENIED_BACKOFF: Millis = Millis(100);

/// The share of a shard's slots that is reserved for its own requests, as a divisor.
///
/// The instances of a shard may lend slots at the same time, before they learn of each other's
/// loans.
const RESERVED_SLOTS_DIVISOR: u32 = 8;

/// How long a slot is lent, as a multiple of the expected service time.
///
/// A lent slot expires because the message that returns it may be lost.
const LOAN_DURATION_RATIO: f64 = 3.0;

/// The time that is added to the duration of a loan.
const LOAN_GRACE: Millis = Millis(1_000);

/// A slot that was lent to another shard.
#[derive(Debug, Clone, Copy)]
pub(super) struct LentSlot {
    endpoint: EndpointKey,
    prefill_tokens: u32,
    // When the prompt is expected to have been processed; none once it has been.
    prefill_end: Option<Millis>,
    // When the slot is reclaimed if it has not been returned.
    expires_at: Millis,
}

/// The last reply of other shards to a request for a slot.
#[derive(Debug, Clone, Copy)]
pub(super) struct LastReply {
    received_at: Millis,
    granted: bool,
}

impl Scheduler {
    /// Returns the waiting requests for which to ask other shards for slots, or holders of rate
    /// limits for tokens.
    pub(crate) fn borrow_requests(
        &mut self,
        view: &ClusterView<'_>,
    ) -> Vec<(Ticket, BorrowRequest)> {
        let now = view.now;
        let candidates = self.queues.iter().flat_map(|(service, queue)| {
            let ask_shards = self.should_ask_shards(now, view.registry, service);
            let ask_holders = self.should_ask_holders(view, service);
            let tickets = queue.iter().filter(move |_| ask_shards || ask_holders);
            tickets.map(move |it| (it.2, ask_shards, ask_holders))
        });
        let due = candidates
            .filter(|row| self.borrow_due(now, row.0))
            .take(MAX_BORROW_QUERIES);
        let mut requests = Vec::new();
        for (ticket, ask_shards, ask_holders) in due {
            let request = slot_request(now, &self.waiting[&ticket]);
            requests.extend(ask_shards.then_some((ticket, BorrowRequest::Slot(request))));
            requests
                .extend(ask_holders.then_some((ticket, BorrowRequest::RateLimitedSlot(request))));
        }
        let waiting = &self.waiting;
        self.last_queries
            .retain(|ticket, _| waiting.contains_key(ticket));
        for (ticket, _) in &requests {
            self.last_queries.insert(*ticket, now);
        }
        requests
    }

    /// Lends a slot for a request of another shard.
    ///
    /// No slots are lent while requests wait here or at peers, and the reserved slots never are.
    /// Waiting requests do not keep a slot from one that uses less of its organisation's share.
    pub(crate) fn lend_slot(
        &mut self,
        view: &ClusterView<'_>,
        id: u64,
        request: &SlotRequest,
    ) -> Option<EndpointKey> {
        let service = view.registry.find_service(request.service)?;
        if self.slots_needed_here(view, &service, request) {
            return None;
        }
        let candidates = self.free_endpoints(view, &service);
        let available = self.available(view.now, view.registry.eligible(&service));
        let slots = available.iter().map(|it| it.slots);
        let slots = slots.fold(0, u32::saturating_add);
        if shared_slots(&candidates) <= slots / RESERVED_SLOTS_DIVISOR + 1 {
            return None;
        }
        let latency = self.latency_model(&service);
        let borrower = borrower_request(view.now, &service, request);
        let key = self.best_endpoint(view.now, &borrower, &candidates)?;
        self.rate_limits.take_token(key);
        let speed_factor = self.selector.speed_factor(key);
        let duration = millis_from_f64(
            millis_to_f64(latency.service_time_of(&borrower.tokens))
                * speed_factor
                * LOAN_DURATION_RATIO,
        ) + LOAN_GRACE;
        let loan = LentSlot {
            endpoint: key,
            prefill_tokens: borrower.tokens.prompt_tokens(),
            prefill_end: Some(
                view.now
                    + millis_from_f64(
                        millis_to_f64(latency.first_part_time(&borrower.tokens)) * speed_factor,
                    ),
            ),
            expires_at: view.now + duration.min(Millis(u64::from(request.remaining_wait))),
        };
        let row = self.usage_mut(key);
        row.count += 1;
        row.prefill_tokens += loan.prefill_tokens;
        self.lent_slots.insert(id, loan);
        Some(key)
    }

    // Returns whether requests wait here or at peers that go before a request of another shard.
    fn slots_needed_here(
        &self,
        view: &ClusterView<'_>,
        service: &str,
        request: &SlotRequest,
    ) -> bool {
        let own = self.queues.get(service).into_iter().flat_map(Queue::iter);
        let peers = view.peers.waiting(view.now, request.service);
        let mut waiting = own.map(|key| key.0).chain(peers.map(|row| row.order));
        waiting.any(|order| order.share_class() <= request.share_class)
    }

    /// Takes back a slot that was lent to another shard.
    pub fn reclaim_slot(&mut self, id: u64) {
        let Some(loan) = self.lent_slots.remove(&id) else {
            return;
        };
        let row = self.usage_mut(loan.endpoint);
        row.count = row.count.saturating_sub(1);
        if loan.prefill_end.is_some() {
            row.prefill_tokens = row.prefill_tokens.saturating_sub(loan.prefill_tokens);
        }
        self.in_flight.retain(|_, row| row.count > 0);
    }

    /// Reclaims expired slots, and drops the prompt tokens of lent slots once they are expected to
    /// have been processed.
    pub(crate) fn sweep_lent_slots(&mut self, now: Millis) {
        let expired = self.lent_slots.iter().filter(|row| row.1.expires_at <= now);
        let expired: Vec<u64> = expired.map(|row| *row.0).collect();
        for id in expired {
            self.reclaim_slot(id);
        }
        for loan in self.lent_slots.values_mut() {
            if loan.prefill_end.take_if(|at| *at <= now).is_some()
                && let Some(row) = self.in_flight.get_mut(&loan.endpoint)
            {
                row.prefill_tokens = row.prefill_tokens.saturating_sub(loan.prefill_tokens);
            }
        }
    }

    /// Starts a waiting request at a slot that another shard lent. Returns false if the request no
    /// longer waits or cannot use the endpoint.
    pub(crate) fn slot_granted(
        &mut self,
        now: Millis,
        ticket: Ticket,
        endpoint: &Arc<Endpoint>,
    ) -> bool {
        let Some(request) = self.waiting.get(&ticket) else {
            return false;
        };
        if request.service != endpoint.service
            || request.tried.contains(&endpoint.key())
            || !request.may_run_at(endpoint)
            || !self.may_send(now, endpoint.key())
        {
            return false;
        }
        let reply = LastReply {
            received_at: now,
            granted: true,
        };
        self.last_replies.insert(request.service.clone(), reply);
        self.send_to(now, ticket, endpoint, Backlog::default(), false);
        true
    }

    /// Records that the shards that were asked for a slot denied it.
    pub fn slot_denied(&mut self, now: Millis, ticket: Ticket) {
        if let Some(request) = self.waiting.get(&ticket) {
            let reply = LastReply {
                received_at: now,
                granted: false,
            };
            self.last_replies.insert(request.service.clone(), reply);
        }
    }

    // Selects the best endpoint for a request of another instance.
    pub(super) fn best_endpoint(
        &self,
        now: Millis,
        borrower: &ScheduledRequest,
        candidates: &[Candidate],
    ) -> Option<EndpointKey> {
        let latency = self.latency_model(&borrower.service);
        let query = PlacementQuery {
            now,
            request: borrower,
            latency_model: &latency,
            can_wait: true,
        };
        let index = self.selector.select(&query, candidates, true)?;
        Some(candidates[index].endpoint.key())
    }

    // Returns whether to ask other instances on behalf of a waiting request now.
    fn borrow_due(&self, now: Millis, ticket: Ticket) -> bool {
        let request = &self.waiting[&ticket];
        let last_query = self.last_queries.get(&ticket);
        let interval_over = last_query.is_none_or(|at| now.since(*at) >= BORROW_INTERVAL);
        // Lenders choose an endpoint of any version.
        request.version.is_none()
            && interval_over
            && (request.needs_loan || now.since(request.arrived) >= BORROW_DELAY)
    }

    // Returns whether to ask other shards for slots of this service.
    pub(super) fn should_ask_shards(
        &self,
        now: Millis,
        registry: &Registry,
        service: &str,
    ) -> bool {
        registry.is_sharded() && !self.recently_denied(now, service)
    }

    // Returns whether other shards recently denied a slot for this service.
    pub(super) fn recently_denied(&self, now: Millis, service: &str) -> bool {
        let last = self.last_replies.get(service);
        last.is_some_and(|it| !it.granted && now.since(it.received_at) < DENIED_BACKOFF)
    }
}

fn slot_request(now: Millis, request: &ScheduledRequest) -> SlotRequest {
    let to_u32 = |duration: Millis| u32::try_from(duration.0).unwrap_or(u32::MAX);
    SlotRequest {
        service: short_hash(&request.service),
        stream: request.route.kind == RouteKind::Stream,
        prompt_tokens: request.tokens.prompt_tokens(),
        output_tokens: request.tokens.output_tokens(),
        latency_target: to_u32(request.route.latency_target),
        gap_target: to_u32(request.route.gap_target),
        waited: to_u32(now.since(request.arrived)),
        remaining_wait: to_u32(request.deadline.since(now)),
        share_class: request.share_class,
    }
}

// Returns another instance's request with the fields that the selection of an endpoint needs.
pub(super) fn borrower_request(
    now: Millis,
    service: &Arc<str>,
    request: &SlotRequest,
) -> ScheduledRequest {
    let millis = |ms: u32| Millis(u64::from(ms));
    let arrived = now.since(millis(request.waited));
    let deadline = now + millis(request.remaining_wait);
    let route = Route {
        name: service.clone(),
        prefix: Box::default(),
        kind: if request.stream {
            RouteKind::Stream
        } else {
            RouteKind::Safe
        },
        timeout: deadline.since(arrived),
        latency_target: millis(request.latency_target),
        gap_target: millis(request.gap_target),
        priority: 0,
        targets: Vec::new(),
        max_attempts: 1,
        auth_exempt: true,
        resumable: false,
    };
    ScheduledRequest {
        service: service.clone(),
        route: Arc::new(route),
        priority: Priority::new(None, 0),
        arrived,
        virtual_arrival: arrived,
        wait_start: arrived,
        deadline,
        tokens: TokenCounts {
            prompt: f64::from(request.prompt_tokens),
            output: f64::from(request.output_tokens),
        },
        fingerprint: 0,
        prompt_parts: PromptParts::default(),
        tried: Vec::new(),
        attempts: 0,
        organisation: None,
        share_class: request.share_class,
        late: false,
        needs_loan: false,
        canary: false,
        version: None,
    }
}

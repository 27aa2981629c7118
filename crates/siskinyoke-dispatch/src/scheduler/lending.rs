//! Places that shards lend to each other.
//!
//! The load: a large fleet is cut into shards of some twenty places each. By chance one is full while
//! others are idle; its requests would wait, be late or be refused with places free elsewhere. So an
//! instance whose request cannot start asks instances of other shards for a place. Whoever gives one
//! counts it as taken until it is returned, so that no endpoint is given more than it runs at once.

use std::sync::Arc;

use super::Backlog;
use super::ClusterView;
use super::Scheduler;
use super::dispatch::shared_slots;
use crate::BorrowRequest;
use crate::Endpoint;
use crate::EndpointKey;
use crate::Kind;
use crate::Priority;
use crate::Route;
use crate::ScheduledRequest;
use crate::Ticket;
use crate::TokenCounts;
use crate::latency_model::millis_from_f64;
use crate::latency_model::millis_to_f64;
use crate::message::SlotRequest;
use crate::placement::Candidate;
use crate::placement::PlacementQuery;
use crate::report::short_hash;
use siskinyoke_base::Millis;

/// How long a request waits before other shards are asked for a place.
///
/// Places of the own shard come free all the time, and reports of them take some ten milliseconds.
const BORROW_DELAY: Millis = Millis(10);

/// How often other shards are asked for a place for the same request.
const BORROW_INTERVAL: Millis = Millis(40);

/// How many requests other shards are asked for at a time.
const MAX_BORROW_QUERIES: usize = 4;

/// How long other shards are taken to have no place after those asked had none.
///
/// In a peak of the whole fleet all are full, and each question is for nothing.
pub(super) const DECLINED_BACKOFF: Millis = Millis(100);

/// The part of a shard's places that is kept for its own requests.
///
/// Instances of one shard give places away at the same moment, before they hear of each other.
const RESERVED_SLOTS_DIVISOR: u32 = 8;

/// How much longer than expected a request may keep a place that was given to it, and what is added.
///
/// The word that returns a place may be lost.
const LOAN_DURATION_RATIO: f64 = 3.0;
const LOAN_GRACE: Millis = Millis(1_000);

/// A place that was given to another shard.
#[derive(Debug, Clone, Copy)]
pub(super) struct LentSlot {
    endpoint: EndpointKey,
    prefill_tokens: u32,
    // When its prompt is expected to be read, and when it is taken back unasked.
    prefill_end: Option<Millis>,
    expires_at: Millis,
}

/// Whether other shards had a place for a service's request, and when they said so.
#[derive(Debug, Clone, Copy)]
pub(super) struct LastReply {
    received_at: Millis,
    granted: bool,
}

impl Scheduler {
    /// Returns requests that cannot start yet, with what to ask other shards for, or holders of rate limits.
    pub(crate) fn borrow_requests(
        &mut self,
        view: &ClusterView<'_>,
    ) -> Vec<(Ticket, BorrowRequest)> {
        let now = view.now;
        let askable = self.queues.iter().flat_map(|(service, queue)| {
            let place = view.registry.is_sharded() && !self.recently_declined(now, service);
            let reserved = self.should_ask_holders(view, service);
            let tickets = queue.iter().filter(move |_| place || reserved);
            tickets.map(move |it| (it.2, place, reserved))
        });
        let due = askable
            .filter(|row| self.borrow_due(now, row.0))
            .take(MAX_BORROW_QUERIES);
        let mut needs = Vec::new();
        for (ticket, place, reserved) in due {
            let need = slot_request(now, &self.waiting[&ticket]);
            needs.extend(place.then_some((ticket, BorrowRequest::Slot(need))));
            needs.extend(reserved.then_some((ticket, BorrowRequest::RateLimitedSlot(need))));
        }
        let waiting = &self.waiting;
        self.last_queries
            .retain(|ticket, _| waiting.contains_key(ticket));
        for (ticket, _) in &needs {
            self.last_queries.insert(*ticket, now);
        }
        needs
    }

    /// Gives a place to a request of another shard, if there are some to spare.
    ///
    /// None are while requests wait here or at peers, and the last of them are kept.
    pub(crate) fn lend_slot(
        &mut self,
        view: &ClusterView<'_>,
        id: u64,
        request: &SlotRequest,
    ) -> Option<EndpointKey> {
        let service = view.registry.find_service(request.service)?;
        let waits = self.queues.get(&service).is_some_and(|it| !it.is_empty());
        if waits
            || view
                .peers
                .waiting(view.now, request.service)
                .next()
                .is_some()
        {
            return None;
        }
        let candidates = self.free_endpoints(view, &service);
        let awake = self.available(view.now, view.registry.eligible(&service));
        let all: u32 = awake.iter().map(|it| it.slots).sum();
        if shared_slots(&candidates) <= all / RESERVED_SLOTS_DIVISOR + 1 {
            return None;
        }
        let latency = self.latency_model(&service);
        let borrower = borrower_request(view.now, &service, request);
        let key = self.best_endpoint(view.now, &borrower, &candidates)?;
        self.rate_limits.take_token(key);
        let pace = self.selector.speed_factor(key);
        let stay = millis_from_f64(
            millis_to_f64(latency.service_time_of(&borrower.tokens)) * pace * LOAN_DURATION_RATIO,
        ) + LOAN_GRACE;
        let given = LentSlot {
            endpoint: key,
            prefill_tokens: borrower.tokens.prompt_tokens(),
            prefill_end: Some(
                view.now
                    + millis_from_f64(
                        millis_to_f64(latency.first_part_time(&borrower.tokens)) * pace,
                    ),
            ),
            expires_at: view.now + stay.min(Millis(u64::from(request.remaining_wait))),
        };
        let row = self.usage_mut(key);
        row.count += 1;
        row.prefill_tokens += given.prefill_tokens;
        self.lent_slots.insert(id, given);
        Some(key)
    }

    /// Takes a place back that was given to another shard.
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

    /// Takes back what was not returned in time, and counts prompts as read that should be.
    pub(crate) fn sweep_lent_slots(&mut self, now: Millis) {
        let over = self.lent_slots.iter().filter(|row| row.1.expires_at <= now);
        let over: Vec<u64> = over.map(|row| *row.0).collect();
        for id in over {
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

    /// Starts a waiting request at a place that another shard gave; returns whether it still waited.
    pub(crate) fn slot_granted(
        &mut self,
        now: Millis,
        ticket: Ticket,
        endpoint: &Arc<Endpoint>,
    ) -> bool {
        let Some(request) = self.waiting.get(&ticket) else {
            return false;
        };
        if request.service != endpoint.service || request.tried.contains(&endpoint.key()) {
            return false;
        }
        let found = LastReply {
            received_at: now,
            granted: true,
        };
        self.last_replies.insert(request.service.clone(), found);
        self.send_to(now, ticket, endpoint, Backlog::default(), false);
        true
    }

    /// Takes note that the shards that were asked had no place for a request.
    pub fn slot_declined(&mut self, now: Millis, ticket: Ticket) {
        if let Some(request) = self.waiting.get(&ticket) {
            let nothing = LastReply {
                received_at: now,
                granted: false,
            };
            self.last_replies.insert(request.service.clone(), nothing);
        }
    }

    // Finds the best of some endpoints for a request of another instance.
    pub(super) fn best_endpoint(
        &self,
        now: Millis,
        borrower: &ScheduledRequest,
        candidates: &[Candidate],
    ) -> Option<EndpointKey> {
        let latency = self.latency_model(&borrower.service);
        let query = PlacementQuery {
            now,
            pending: borrower,
            latency_model: &latency,
            can_wait: true,
        };
        let at = self.selector.select(&query, candidates, true)?;
        Some(candidates[at].endpoint.key())
    }

    // Whether others are to be asked for a place for a request now.
    fn borrow_due(&self, now: Millis, ticket: Ticket) -> bool {
        let request = &self.waiting[&ticket];
        let asked = self.last_queries.get(&ticket);
        let again = asked.is_none_or(|at| now.since(*at) >= BORROW_INTERVAL);
        again && (request.needs_loan || now.since(request.arrived) >= BORROW_DELAY)
    }

    // Whether other shards are taken to have no place.
    pub(super) fn recently_declined(&self, now: Millis, service: &str) -> bool {
        let last = self.last_replies.get(service);
        last.is_some_and(|it| !it.granted && now.since(it.received_at) < DECLINED_BACKOFF)
    }
}

fn slot_request(now: Millis, request: &ScheduledRequest) -> SlotRequest {
    let small = |span: Millis| u32::try_from(span.0).unwrap_or(u32::MAX);
    SlotRequest {
        service: short_hash(&request.service),
        stream: request.route.kind == Kind::Stream,
        prompt_tokens: request.tokens.prompt_tokens(),
        output_tokens: request.tokens.output_tokens(),
        latency_target: small(request.route.latency_target),
        gap_target: small(request.route.gap_target),
        waited: small(now.since(request.arrived)),
        remaining_wait: small(request.deadline.since(now)),
    }
}

// Another shard's request, as far as the choice of an endpoint needs it.
pub(super) fn borrower_request(
    now: Millis,
    service: &Arc<str>,
    request: &SlotRequest,
) -> ScheduledRequest {
    let span = |ms: u32| Millis(u64::from(ms));
    let arrived = now.since(span(request.waited));
    let until = now + span(request.remaining_wait);
    let route = Route {
        name: service.clone(),
        prefix: Box::default(),
        kind: if request.stream {
            Kind::Stream
        } else {
            Kind::Safe
        },
        timeout: until.since(arrived),
        latency_target: span(request.latency_target),
        gap_target: span(request.gap_target),
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
        deadline: until,
        tokens: TokenCounts {
            prompt: f64::from(request.prompt_tokens),
            output: f64::from(request.output_tokens),
        },
        fingerprint: 0,
        tried: Vec::new(),
        attempts: 0,
        late: false,
        needs_loan: false,
        canary: false,
    }
}

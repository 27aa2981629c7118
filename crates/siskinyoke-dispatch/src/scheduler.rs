//! Scheduling of requests: which ones wait, where they run, and which ones are refused.
//!
//! Endpoints run requests in order of arrival and know no priorities, so priorities are enforced
//! only here. No endpoint is sent more requests than it has slots, counted over all instances;
//! other requests wait in a queue by priority. The instances decide independently, from the same
//! reports, whose request gets the next free slot: the one of the highest priority, then the one
//! that has waited longest.

mod dispatch;
mod expiry;
mod lending;
mod moves;
mod observations;
mod rate_limits;
mod rejection_limits;
mod requested_backoff;
mod shares;
mod wait_estimate;

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::Endpoint;
use crate::EndpointKey;
use crate::Outcome;
use crate::Priority;
use crate::Refusal;
use crate::RefusalReason;
use crate::ScheduledRequest;
use crate::Ticket;
use crate::VersionKey;
use crate::demand::Demand;
use crate::expected_time::ExpectedTime;
use crate::latency_model::LatencyModel;
use crate::latency_model::millis_from_f64;
use crate::latency_model::millis_to_f64;
use crate::organisation_shares::OrganisationShares;
use crate::organisation_shares::share_class::ShareClass;
use crate::organisation_shares::share_weights::WeightSource;
use crate::overload_window::OverloadWindow;
use crate::peers::Peers;
use crate::placement::EndpointSelector;
use crate::queue::Queue;
use crate::queue::QueueKey;
use crate::rate_limits::RateLimits;
use crate::registry::Registry;
use crate::rejection_limits::RejectionLimits;
use crate::report::PartIntervalRow;
use crate::report::RunningRow;
use crate::report::WaitingRow;
use crate::report::short_hash;
use crate::size_shares::SizeShares;
use crate::stall_timeout;
use crate::wait;
use siskinyoke_base::Map;
use siskinyoke_base::Millis;
use siskinyoke_base::Set;

/// The retry delay for services without endpoints: new endpoints become known within that time.
const NO_ENDPOINT_RETRY_AFTER: Millis = Millis(500);

/// A decision on a waiting request.
#[derive(Debug, Clone)]
pub enum Decision {
    /// The request is sent to this endpoint.
    Start(Ticket, Arc<Endpoint>),
    /// The request is refused without having run.
    Refuse(Ticket, Refusal),
}

// A request that was sent to an endpoint.
#[derive(Debug)]
struct RunningRequest {
    request: ScheduledRequest,
    attempt: RunningAttempt,
    // The version of the endpoint.
    version: VersionKey,
    // The work ahead of it at the endpoint when it was sent, and its service time expected then.
    backlog: Backlog,
    expected: Option<ExpectedTime>,
    // The slot time that its organisation was charged, in ms.
    charged: f64,
}

/// A running attempt at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct RunningAttempt {
    pub(crate) endpoint: EndpointKey,
    pub(crate) sent_at: Millis,
    /// When the first part of the response arrived.
    pub(crate) responded_at: Option<Millis>,
    /// Whether the end of the response, where that has ended, says that it is complete.
    pub(crate) confirmed: bool,
}

// The work ahead of a request at its endpoint.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Backlog {
    // Unprocessed prompt tokens of other requests.
    prefill_tokens: f64,
    // The expected wait for a slot.
    slot_wait: Millis,
}

// The time and the state of the cluster that decisions are based on.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ClusterView<'a> {
    pub(crate) now: Millis,
    pub(crate) registry: &'a Registry,
    pub(crate) peers: &'a Peers,
}

/// The scheduler of one instance.
#[derive(Debug, Default)]
pub struct Scheduler {
    // Name of this instance.
    instance: Box<str>,
    selector: EndpointSelector,
    queues: BTreeMap<Arc<str>, Queue>,
    waiting: Map<Ticket, ScheduledRequest>,
    // Waiting requests that no endpoint with free slots would complete before their deadlines.
    held_back: Set<Ticket>,
    running: Map<Ticket, RunningRequest>,
    in_flight: BTreeMap<EndpointKey, RunningRow>,
    latencies: Map<Arc<str>, LatencyModel>,
    demands: Map<Arc<str>, Demand>,
    overloads: Map<(Arc<str>, Priority, ShareClass), OverloadWindow>,
    shares: OrganisationShares,
    size_shares: SizeShares,
    rate_limits: RateLimits,
    rejection_limits: RejectionLimits,
    // Slots of requests that were given up, each with the time at which it counts as free.
    lingering: Vec<(EndpointKey, Millis)>,
    // Slots lent to other shards, by the id of the borrow request.
    lent_slots: Map<u64, lending::LentSlot>,
    // When other instances were last asked for a slot or a token, by waiting request.
    last_queries: Map<Ticket, Millis>,
    // The last reply of other shards to a request for a slot, by service.
    last_replies: Map<Arc<str>, lending::LastReply>,
    // When holders of rate limits last denied a token, by service.
    token_denials: Map<Arc<str>, Millis>,
    last_ticket: u64,
}

impl Scheduler {
    /// Creates the scheduler of an instance.
    pub fn new(name: &str, centre: &str) -> Self {
        Self {
            selector: EndpointSelector::new(name, centre),
            instance: name.into(),
            rate_limits: RateLimits::new(name),
            rejection_limits: RejectionLimits::new(name),
            ..Self::default()
        }
    }

    /// Sets the weights by which slots are divided between organisations.
    #[must_use]
    pub fn with_share_weights(self, source: WeightSource) -> Self {
        Self {
            shares: OrganisationShares::new(source),
            ..self
        }
    }

    /// Queues a request, or refuses it if it would wait too long.
    ///
    /// # Errors
    ///
    /// Returns the refusal; the request is not queued.
    pub fn admit(
        &mut self,
        now: Millis,
        request: ScheduledRequest,
        registry: &Registry,
        peers: &Peers,
    ) -> Result<Ticket, Refusal> {
        let targets = registry.targets(&request);
        if targets.iter().all(|it| it.slots == 0) {
            return Err(Refusal {
                reason: RefusalReason::NoEndpoint,
                retry_after: NO_ENDPOINT_RETRY_AFTER,
            });
        }
        let latency = self.latency_model(&request.service);
        let service_time = latency.service_time_of(&request.tokens);
        self.shares
            .record_offered(now, &request, millis_to_f64(service_time));
        self.size_shares
            .record_offered(now, &request.route, millis_to_f64(service_time));
        let request = ScheduledRequest {
            virtual_arrival: wait::virtual_arrival(
                &request,
                latency,
                self.size_shares.penalty_ratio(now, &request.route),
            ),
            share_class: self
                .shares
                .classify(now, &request, millis_to_f64(service_time)),
            ..request
        };
        let demand = self.demands.entry(request.service.clone()).or_default();
        demand.record(now, request.queue_order(), service_time);
        let view = ClusterView {
            now,
            registry,
            peers,
        };
        // A stream that its caller takes up is queued like a retry, whatever the forecast.
        let may_complete = self.may_complete(&view, &request);
        if wait::is_taken_up(&request) || may_complete && self.expected_on_time(&view, &request) {
            return Ok(self.enqueue(request));
        }
        self.shares.record_shortage(now, &request);
        if !may_complete {
            let request = self.admit_late(&view, request)?;
            return Ok(self.enqueue(request));
        }
        // Another shard may lend a slot; the request waits for its reply before it is refused.
        if self.should_ask_shards(now, registry, &request.service) {
            return Ok(self.enqueue(ScheduledRequest {
                needs_loan: true,
                ..request
            }));
        }
        let request = self.admit_late(&view, request)?;
        Ok(self.enqueue(request))
    }

    /// Queues a request again after an attempt that failed.
    pub fn requeue(&mut self, now: Millis, request: ScheduledRequest) -> Ticket {
        self.enqueue(request.requeued(now))
    }

    /// Returns the decisions on waiting requests that can be made now.
    pub fn decide(&mut self, now: Millis, registry: &Registry, peers: &Peers) -> Vec<Decision> {
        let view = ClusterView {
            now,
            registry,
            peers,
        };
        self.rate_limits.update_rates(&view);
        self.release_lingering(now);
        self.update_shares(now);
        let mut decisions = Vec::new();
        let services: Vec<Arc<str>> = self.queues.keys().cloned().collect();
        for service in services {
            self.start_waiting(&view, &service, &mut decisions);
            self.refuse_expired(&view, &service, &mut decisions);
        }
        self.queues.retain(|_, queue| !queue.is_empty());
        decisions
    }

    /// Records the outcome of a request's attempt at its endpoint, and returns the request.
    pub fn attempt_ended(
        &mut self,
        now: Millis,
        ticket: Ticket,
        outcome: Outcome,
    ) -> Option<ScheduledRequest> {
        let RunningRequest {
            mut request,
            attempt,
            charged,
            ..
        } = self.running.remove(&ticket)?;
        let RunningAttempt {
            endpoint,
            sent_at,
            responded_at,
            ..
        } = attempt;
        request.attempts += u32::from(!outcome.is_unsent());
        let slot_time = slot_time(outcome, now.since(sent_at));
        self.shares.correct(now, &request, charged, slot_time);
        if responded_at.is_none() {
            self.remove_prefill_tokens(endpoint, &request);
        }
        if !self.linger(now, endpoint, outcome) {
            self.decrement_usage(endpoint);
        }
        if matches!(
            outcome,
            Outcome::Completed { .. } | Outcome::Failed | Outcome::Invalid
        ) {
            self.selector.record_accepted(endpoint, sent_at);
        }
        if outcome == Outcome::Stalled && responded_at.is_some() {
            self.selector.record_abandoned_stream(now, endpoint);
        } else {
            self.selector.record_outcome(now, endpoint, outcome);
        }
        if !matches!(outcome, Outcome::Completed { .. }) {
            self.size_shares.record_lost(now, &request.route, charged);
        }
        if let Outcome::Completed {
            first_latency,
            total,
            parts,
            longest_pause,
        } = outcome
        {
            if responded_at.is_none() {
                self.record_first_part(endpoint, &request, now.since(sent_at));
            }
            self.record_remaining_parts(
                endpoint,
                &request,
                total.since(first_latency),
                parts,
                longest_pause,
            );
            let latency = self.latencies.entry(request.service.clone()).or_default();
            latency.record_completion(&request.tokens, first_latency, total, parts);
        }
        Some(request)
    }

    /// Records that the first part of a request's response arrived. The rest may come only from
    /// endpoints of the same version.
    pub fn first_part_received(&mut self, now: Millis, ticket: Ticket) {
        let Some(running) = self.running.get_mut(&ticket) else {
            return;
        };
        running.attempt.responded_at = Some(now);
        running.request.version.get_or_insert(running.version);
        let (endpoint, sent_at) = (running.attempt.endpoint, running.attempt.sent_at);
        let first_latency = now.since(sent_at);
        let request = running.request.clone();
        self.selector.record_accepted(endpoint, sent_at);
        self.remove_prefill_tokens(endpoint, &request);
        self.record_first_part(endpoint, &request, first_latency);
    }

    /// Returns how long to wait for the first part of a running request's response.
    pub fn stall_timeout(&self, ticket: Ticket) -> Millis {
        let Some(running) = self.running.get(&ticket) else {
            return stall_timeout::STREAM_STALL_TIMEOUT;
        };
        let RunningRequest {
            request,
            attempt,
            backlog,
            ..
        } = running;
        let expected = self
            .latency_model(&request.service)
            .first_part_time(&request.tokens.with_backlog(backlog.prefill_tokens))
            + backlog.slot_wait;
        stall_timeout::first_part_timeout(millis_from_f64(
            millis_to_f64(expected) * self.selector.speed_factor(attempt.endpoint),
        ))
    }

    /// Removes a waiting request.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.held_back.remove(&ticket);
        let Some(request) = self.waiting.remove(&ticket) else {
            return;
        };
        if let Some(queue) = self.queues.get_mut(&request.service) {
            queue.remove(queue_key(ticket, &request));
        }
    }

    /// Returns the tickets of all matching waiting requests.
    pub fn waiting_tickets(&self, matches: impl Fn(&ScheduledRequest) -> bool) -> Vec<Ticket> {
        let found = self.waiting.iter().filter(|row| matches(row.1));
        found.map(|row| *row.0).collect()
    }

    /// Removes all matching waiting requests and returns their tickets.
    pub fn cancel_matching(&mut self, matches: impl Fn(&ScheduledRequest) -> bool) -> Vec<Ticket> {
        let tickets = self.waiting_tickets(matches);
        for ticket in &tickets {
            self.cancel(*ticket);
        }
        tickets
    }

    /// Returns the attempt of the running request with a ticket.
    pub(crate) fn running_attempt(&self, ticket: Ticket) -> Option<RunningAttempt> {
        self.running.get(&ticket).map(|running| running.attempt)
    }

    /// Returns the running requests that were sent before `end` and have no response yet.
    pub(crate) fn unanswered(&self, end: Millis) -> Vec<(ScheduledRequest, RunningAttempt)> {
        let running = self.running.values();
        let waiting =
            running.filter(|it| it.attempt.responded_at.is_none() && it.attempt.sent_at < end);
        waiting.map(|it| (it.request.clone(), it.attempt)).collect()
    }

    /// Records that the end of a running request's response does not say whether it is complete.
    pub(crate) fn response_unconfirmed(&mut self, ticket: Ticket) {
        if let Some(running) = self.running.get_mut(&ticket) {
            running.attempt.confirmed = false;
        }
    }

    /// Returns the service time that was expected of a running request when it was sent, unless its
    /// endpoint belongs to another shard.
    pub fn expected_time(&self, ticket: Ticket) -> Option<ExpectedTime> {
        self.running.get(&ticket)?.expected
    }

    /// Returns the running request with a ticket.
    pub fn running(&self, ticket: Ticket) -> Option<&ScheduledRequest> {
        self.running.get(&ticket).map(|running| &running.request)
    }

    /// Records the speed factors that a peer reports for endpoints.
    pub fn record_peer_speeds(&mut self, rows: &[RunningRow]) {
        self.selector.record_peer_speeds(rows);
    }

    /// Forgets the failures for which this instance backs off from endpoints.
    pub(crate) fn forget_failures(&mut self, endpoints: &[Arc<Endpoint>]) {
        for endpoint in endpoints {
            self.selector.forget_failures(endpoint.key());
        }
    }

    /// Records the part intervals that a peer reports for endpoints.
    pub fn record_peer_intervals(&mut self, rows: &[PartIntervalRow]) {
        self.selector.record_peer_intervals(rows);
    }

    /// Returns how fast endpoints generate responses, as observed by this instance, for its report.
    pub fn interval_rows(&self) -> Vec<PartIntervalRow> {
        self.selector.interval_rows()
    }

    /// Returns the requests that this instance runs at each endpoint, for its report.
    pub fn endpoint_usage(&self) -> Vec<RunningRow> {
        let counts = self.in_flight.iter().map(|(key, row)| RunningRow {
            speed_factor: self.selector.reported_speed(*key),
            ..*row
        });
        counts.collect()
    }

    /// Returns a summary of the waiting requests, for this instance's report.
    pub fn queue_summary(&self, now: Millis) -> Vec<WaitingRow> {
        self.queues
            .iter()
            .flat_map(|(service, queue)| {
                let latency = self.latency_model(service);
                let service_time = |ticket| {
                    let tokens = &self.waiting[&ticket].tokens;
                    let held_back = self.held_back.contains(&ticket);
                    (!held_back).then(|| latency.service_time_of(tokens))
                };
                queue.summary(now, short_hash(service), service_time)
            })
            .collect()
    }

    /// Returns the number of waiting and of running requests.
    pub fn request_counts(&self) -> (usize, usize) {
        (self.waiting.len(), self.running.len())
    }

    /// Returns the latency model of a service.
    pub fn latency_model(&self, service: &str) -> LatencyModel {
        self.latencies.get(service).copied().unwrap_or_default()
    }

    /// Drops the state of endpoints that are no longer registered.
    pub fn prune_endpoints(&mut self, registry: &Registry) {
        let known: Vec<EndpointKey> = registry.all().map(|endpoint| endpoint.key()).collect();
        self.selector.retain_known(&known);
        self.rate_limits.retain_endpoints(&known);
        self.rejection_limits.retain_endpoints(&known);
    }

    // Returns the requests that this instance runs at an endpoint.
    fn usage_mut(&mut self, key: EndpointKey) -> &mut RunningRow {
        self.in_flight.entry(key).or_insert(RunningRow {
            endpoint: key.short_key(),
            count: 0,
            prefill_tokens: 0,
            speed_factor: 0,
        })
    }

    fn decrement_usage(&mut self, key: EndpointKey) {
        if let Some(row) = self.in_flight.get_mut(&key) {
            row.count = row.count.saturating_sub(1);
        }
        self.in_flight.retain(|_, row| row.count > 0);
    }

    fn next_ticket(&mut self) -> Ticket {
        self.last_ticket += 1;
        Ticket(self.last_ticket)
    }

    fn enqueue(&mut self, request: ScheduledRequest) -> Ticket {
        let ticket = self.next_ticket();
        let queue = self.queues.entry(request.service.clone()).or_default();
        queue.push(queue_key(ticket, &request));
        self.waiting.insert(ticket, request);
        ticket
    }
}

// Returns how long an attempt of this duration held a slot, in ms, if it ran.
fn slot_time(outcome: Outcome, duration: Millis) -> Option<f64> {
    let rejected = matches!(outcome, Outcome::Full | Outcome::Misdirected);
    (!rejected && !outcome.is_unsent()).then(|| millis_to_f64(duration))
}

fn queue_key(ticket: Ticket, request: &ScheduledRequest) -> QueueKey {
    (request.queue_order(), request.virtual_arrival, ticket)
}

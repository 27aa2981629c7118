//! Assignment of waiting requests to endpoints.

use std::sync::Arc;

use super::Backlog;
use super::ClusterView;
use super::Decision;
use super::RunningAttempt;
use super::RunningRequest;
use super::Scheduler;
use super::queue_key;
use crate::Endpoint;
use crate::EndpointKey;
use crate::ScheduledRequest;
use crate::Ticket;
use crate::TokenCounts;
use crate::endpoint_speed::EndpointSpeed;
use crate::expected_time::ExpectedTime;
use crate::latency_model::LatencyModel;
use crate::latency_model::millis_from_f64;
use crate::latency_model::millis_to_f64;
use crate::placement::Candidate;
use crate::placement::EndpointSelector;
use crate::placement::PlacementQuery;
use crate::queue::QueueKey;
use crate::report::WaitingRow;
use crate::report::short_hash;
use crate::scheduled_request::QueueOrder;
use crate::wait;
use siskinyoke_base::Millis;

/// At an endpoint of unknown speed, only its slots divided by this are used.
///
/// An endpoint that has just started has all its slots free. Without this limit every instance
/// sends its next requests there, and if the endpoint is slow, they wait there for seconds. Its
/// first response, about a tenth of a second later, shows its speed.
const UNKNOWN_SPEED_DIVISOR: u32 = 4;

/// The minimum number of slots that are used at an endpoint of unknown speed.
const MIN_UNKNOWN_SPEED_SLOTS: u32 = 2;

/// The speed factor up to which an endpoint is sent one request more than it has slots.
///
/// The slots of fast endpoints become free most often, and each would be idle until the end of the
/// response is known here and the next request arrives there. At slower endpoints the extra request
/// would wait longer than that for a slot.
const MAX_FAST_SPEED_FACTOR: f64 = 0.8;

// The endpoints of a service that can be sent requests now.
struct OpenEndpoints {
    free: Vec<Candidate>,
    // Endpoints of the canary version.
    canaries: Vec<Candidate>,
}

impl OpenEndpoints {
    // Selects the best endpoint for a request, and returns whether it runs the canary version.
    //
    // A canary request goes to the stable version if the canary version has no free slot.
    fn pick(
        &self,
        selector: &EndpointSelector,
        query: &PlacementQuery<'_>,
        use_shared: bool,
    ) -> Option<(Candidate, bool)> {
        let canary = query.request.canary;
        let canary = canary.then(|| selector.select(query, &self.canaries, true));
        if let Some(index) = canary.flatten() {
            return Some((self.canaries[index].clone(), true));
        }
        let index = selector.select(query, &self.free, use_shared)?;
        Some((self.free[index].clone(), false))
    }

    // Counts a slot of an endpoint as taken by a request with this number of prompt tokens.
    fn occupy(&mut self, key: EndpointKey, prompt_tokens: f64) {
        let all = self.free.iter_mut().chain(&mut self.canaries);
        for candidate in all.filter(|it| it.endpoint.key() == key) {
            candidate.free_slots = candidate.free_slots.saturating_sub(1);
            candidate.open_slots = candidate.open_slots.saturating_sub(1);
            candidate.prefill_tokens += prompt_tokens;
        }
    }

    // Returns whether there are free slots that peers' requests do not compete for.
    fn has_private_slots(&self) -> bool {
        let free = self.free.iter();
        let mut private = free.filter(|it| it.slow || it.reserved);
        private.any(|it| it.free_slots > 0) || self.canaries.iter().any(|it| it.free_slots > 0)
    }
}

impl Scheduler {
    // Assigns free slots to the waiting requests of a service, in queue order.
    pub(super) fn start_waiting(
        &mut self,
        view: &ClusterView<'_>,
        service: &Arc<str>,
        decisions: &mut Vec<Decision>,
    ) {
        let now = view.now;
        let latency = self.latency_model(service);
        let rows: Vec<WaitingRow> = view.peers.waiting(now, short_hash(service)).collect();
        let waiting: Vec<QueueKey> = self.queues[service].iter().collect();
        let mut open = self.open_endpoints(view, service, waiting.len());
        for (order, virtual_arrival, ticket) in waiting {
            // Peers' requests that go first wait for endpoints that are not slow, so no slots of
            // slow endpoints are left to them.
            let use_shared = shared_slots(&open.free)
                > claimed_by_peers(&rows, order, now.since(virtual_arrival));
            if !use_shared && !open.has_private_slots() {
                break;
            }
            let request = &self.waiting[&ticket];
            let timeout = request.wait_start + wait::queue_timeout(request, latency);
            let query = PlacementQuery {
                now,
                request,
                latency_model: &latency,
                can_wait: !request.late && now < timeout,
            };
            let picked = match request.version {
                Some(_) => self.pick_of_version(view, &query, use_shared),
                None => open.pick(&self.selector, &query, use_shared),
            };
            let Some((candidate, canary)) = picked else {
                if use_shared && self.selector.holds_back(&query, &open.free) {
                    self.held_back.insert(ticket);
                } else {
                    self.held_back.remove(&ticket);
                }
                continue;
            };
            let endpoint = candidate.endpoint.clone();
            let backlog = backlog(&candidate, latency);
            open.occupy(endpoint.key(), request.tokens.prompt);
            self.rate_limits.take_token(endpoint.key());
            let expected = self.expected_at(&candidate, &request.tokens, latency);
            self.send_to(now, ticket, &endpoint, backlog, canary);
            self.record_expected(ticket, expected);
            decisions.push(Decision::Start(ticket, endpoint));
        }
    }

    fn open_endpoints(
        &self,
        view: &ClusterView<'_>,
        service: &str,
        waiting: usize,
    ) -> OpenEndpoints {
        let mut free = self.candidates(view, view.registry.eligible(service));
        let slots = free
            .iter()
            .map(|it| it.free_slots.saturating_sub(it.queue_slots))
            .fold(0, u32::saturating_add);
        // The queues of fast endpoints are used only if more requests wait than there are free
        // slots.
        if waiting <= slots as usize {
            drop_queue_slots(&mut free);
        }
        let mut canaries = self.candidates(view, view.registry.canaries(service));
        drop_queue_slots(&mut canaries);
        OpenEndpoints { free, canaries }
    }

    // Selects the best endpoint of the version at which a stream goes on. It does not count as a
    // canary, as the request was not selected for one.
    fn pick_of_version(
        &self,
        view: &ClusterView<'_>,
        query: &PlacementQuery<'_>,
        use_shared: bool,
    ) -> Option<(Candidate, bool)> {
        let free = self.free_among(view, &view.registry.targets(query.request));
        let index = self.selector.select(query, &free, use_shared)?;
        Some((free[index].clone(), false))
    }

    // Returns the endpoints with free slots, according to the reports of all instances.
    pub(super) fn free_endpoints(&self, view: &ClusterView<'_>, service: &str) -> Vec<Candidate> {
        self.free_among(view, view.registry.eligible(service))
    }

    // Returns those of the given endpoints that have free slots.
    pub(super) fn free_among(
        &self,
        view: &ClusterView<'_>,
        endpoints: &[Arc<Endpoint>],
    ) -> Vec<Candidate> {
        let mut free = self.candidates(view, endpoints);
        drop_queue_slots(&mut free);
        free
    }

    // Returns the endpoints that have free slots or, if they are fast, room in their queues.
    fn candidates(&self, view: &ClusterView<'_>, endpoints: &[Arc<Endpoint>]) -> Vec<Candidate> {
        let available = self.available(view.now, endpoints);
        let running = view.peers.running_by_endpoint(view.now);
        let others = self.sharing_instances(view);
        let unknown_use = self.unknown_use(view, &others, &available);
        let speeds = available.iter().map(|it| self.selector.speed(it.key()));
        let Some(fastest) = EndpointSpeed::fastest_of(speeds) else {
            return Vec::new();
        };
        available
            .into_iter()
            .filter_map(|endpoint| {
                let key = endpoint.key();
                let (peer_count, peer_tokens) =
                    running.get(&key.short_key()).copied().unwrap_or_default();
                let (count, own_tokens) = self
                    .in_flight
                    .get(&key)
                    .map_or((0, 0), |row| (u32::from(row.count), row.prefill_tokens));
                let (slots, queue_slots) = self.slot_limits(endpoint);
                let open_slots = slots.saturating_add(queue_slots);
                let open_slots = open_slots.saturating_sub(count.saturating_add(peer_count));
                let tokens = self.rate_limits.tokens(key);
                let own_slots = self.own_free_slots(view, &others, endpoint, unknown_use);
                let limits = [tokens, self.half_open_slots(key), own_slots];
                let free_slots = limits.into_iter().flatten().fold(open_slots, u32::min);
                (free_slots > 0).then(|| Candidate {
                    endpoint: endpoint.clone(),
                    free_slots,
                    open_slots,
                    queue_slots,
                    prefill_tokens: f64::from(own_tokens) + f64::from(peer_tokens),
                    slow: self.selector.is_slow(key, fastest.factor),
                    reserved: tokens.is_some() || own_slots.is_some(),
                    fastest,
                })
            })
            .collect()
    }

    // Returns the service time that is expected of a request at a candidate.
    pub(super) fn expected_at(
        &self,
        candidate: &Candidate,
        tokens: &TokenCounts,
        latency: LatencyModel,
    ) -> ExpectedTime {
        let speed = self.selector.speed(candidate.endpoint.key());
        let time = |speed| millis_from_f64(latency.service_time_at(tokens, speed));
        ExpectedTime {
            chosen: time(speed),
            fastest: time(candidate.fastest),
        }
    }

    // Records the service time that is expected of a request that was sent now.
    pub(super) fn record_expected(&mut self, ticket: Ticket, expected: ExpectedTime) {
        if let Some(running) = self.running.get_mut(&ticket) {
            running.expected = Some(expected);
        }
    }

    // Returns how many slots of an endpoint may be used, and how many more requests may queue
    // there.
    fn slot_limits(&self, endpoint: &Endpoint) -> (u32, u32) {
        let key = endpoint.key();
        if self.selector.is_unobserved(key) {
            let limit = (endpoint.slots / UNKNOWN_SPEED_DIVISOR).max(MIN_UNKNOWN_SPEED_SLOTS);
            return (limit.min(endpoint.slots), 0);
        }
        let fast = self.selector.speed_factor(key) <= MAX_FAST_SPEED_FACTOR
            && !self.selector.is_half_open(key)
            && self.rate_limits.tokens(key).is_none()
            && !self.rejection_limits.is_limited(key);
        (endpoint.slots, u32::from(fast))
    }

    // Returns the endpoints that are not backing off after failures.
    pub(crate) fn available<'a>(
        &self,
        now: Millis,
        endpoints: &'a [Arc<Endpoint>],
    ) -> Vec<&'a Arc<Endpoint>> {
        let endpoints = endpoints.iter();
        endpoints
            .filter(|it| !self.selector.in_backoff(now, it.key()))
            .filter(|it| !self.rejection_limits.in_backoff(now, it.key()))
            .collect()
    }

    // Records that a waiting request is sent to an endpoint.
    pub(super) fn send_to(
        &mut self,
        now: Millis,
        ticket: Ticket,
        endpoint: &Arc<Endpoint>,
        backlog: Backlog,
        canary: bool,
    ) {
        let Some(mut request) = self.waiting.remove(&ticket) else {
            return;
        };
        self.held_back.remove(&ticket);
        if let Some(queue) = self.queues.get_mut(&request.service) {
            queue.remove(queue_key(ticket, &request));
        }
        request.canary = canary;
        self.record_start(now, ticket, request, endpoint, backlog);
    }

    // Records that a request that does not wait is sent to an endpoint.
    pub(super) fn record_start(
        &mut self,
        now: Millis,
        ticket: Ticket,
        mut request: ScheduledRequest,
        endpoint: &Arc<Endpoint>,
        backlog: Backlog,
    ) {
        let key = endpoint.key();
        request.tried.push(key);
        let row = self.usage_mut(key);
        row.count += 1;
        row.prefill_tokens += request.tokens.prompt_tokens();
        let latency = self.latency_model(&request.service);
        let charged = millis_to_f64(latency.service_time_of(&request.tokens));
        self.shares.record_used(now, &request, charged);
        self.size_shares.record_served(now, &request.route, charged);
        let running = RunningRequest {
            request,
            attempt: RunningAttempt {
                endpoint: key,
                sent_at: now,
                responded_at: None,
                confirmed: true,
            },
            version: endpoint.version_key(),
            backlog,
            expected: None,
            charged,
        };
        self.running.insert(ticket, running);
    }
}

// Drops room in the queues of endpoints, so that only free slots are left.
fn drop_queue_slots(candidates: &mut Vec<Candidate>) {
    for candidate in candidates.iter_mut() {
        candidate.free_slots = candidate.free_slots.saturating_sub(candidate.queue_slots);
        candidate.open_slots = candidate.open_slots.saturating_sub(candidate.queue_slots);
        candidate.queue_slots = 0;
    }
    candidates.retain(|it| it.free_slots > 0);
}

// Returns the work ahead of a request that is sent to a candidate now.
pub(super) fn backlog(candidate: &Candidate, latency: LatencyModel) -> Backlog {
    let queued = candidate.free_slots <= candidate.queue_slots;
    let slots = u64::from(candidate.endpoint.slots.max(1));
    Backlog {
        prefill_tokens: candidate.prefill_tokens,
        slot_wait: Millis(if queued {
            latency.mean_service_time().0 / slots
        } else {
            0
        }),
    }
}

// Counts the free slots that peers use as well: not those of slow endpoints or under a rate limit.
pub(super) fn shared_slots(candidates: &[Candidate]) -> u32 {
    let shared = candidates.iter().filter(|it| !it.slow && !it.reserved);
    let slots = shared.map(|candidate| candidate.free_slots);
    slots.fold(0, u32::saturating_add)
}

// Counts the peers' waiting requests that go before a request of this instance.
pub(super) fn claimed_by_peers(rows: &[WaitingRow], order: QueueOrder, waited: Millis) -> u32 {
    rows.iter()
        .map(|row| {
            if row.order < order {
                u32::from(row.count)
            } else {
                u32::from(row.order == order && u64::from(row.oldest_wait) > waited.0)
            }
        })
        .sum()
}

//! Which waiting requests go to which endpoints now.

use std::sync::Arc;

use super::Backlog;
use super::ClusterView;
use super::Decision;
use super::RunningRequest;
use super::Scheduler;
use super::queue_key;
use crate::Endpoint;
use crate::Ticket;
use crate::latency_model::LatencyModel;
use crate::placement::Candidate;
use crate::placement::EndpointSelector;
use crate::placement::PlacementQuery;
use crate::queue::QueueKey;
use crate::report::WaitingRow;
use crate::report::short_hash;
use crate::scheduled_request::QueueOrder;
use crate::wait;
use siskinyoke_base::Millis;

/// The part of its places that an endpoint is given of whose pace nothing is known, and the fewest places.
///
/// One that starts has all its places free; every instance sends its next requests there, and if it is a slow
/// one, they wait there for seconds. Its first answer, some tenth of a second later, tells its pace.
const UNKNOWN_SPEED_DIVISOR: u32 = 4;
const MIN_UNKNOWN_SPEED_SLOTS: u32 = 2;

/// The pace up to which an endpoint is given one request more than it runs at once.
///
/// Its slots come free most often, and each stands idle until the end of an answer is known here and the next
/// request has arrived there. At slower endpoints the request would wait for longer than that.
const MAX_FAST_SPEED_FACTOR: f64 = 0.8;

// The endpoints that may take requests of a service now.
struct OpenEndpoints {
    free: Vec<Candidate>,
    // Those of the version on trial.
    canaries: Vec<Candidate>,
}

impl OpenEndpoints {
    // Finds the best endpoint for a request, and says whether it is of the version on trial.
    //
    // Where that version has no slot, the standing one serves what was drawn for it.
    fn pick(
        &mut self,
        placing: &EndpointSelector,
        query: &PlacementQuery<'_>,
        usual: bool,
    ) -> Option<(&mut Candidate, bool)> {
        let canary = query.pending.canary;
        let canary = canary.then(|| placing.select(query, &self.canaries, true));
        if let Some(at) = canary.flatten() {
            return Some((&mut self.canaries[at], true));
        }
        let at = placing.select(query, &self.free, usual)?;
        Some((&mut self.free[at], false))
    }

    // Whether there are free places that are not left to peers' more urgent requests.
    fn has_private_slots(&self) -> bool {
        let free = self.free.iter();
        let mut own = free.filter(|it| it.slow || it.reserved);
        own.any(|it| it.free_slots > 0) || self.canaries.iter().any(|it| it.free_slots > 0)
    }
}

impl Scheduler {
    // Gives free places to waiting requests, in their order.
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
        for (order, position, ticket) in waiting {
            // Peers' more urgent requests wait for endpoints of a usual pace, so slow ones are not left to
            // them.
            let usual =
                shared_slots(&open.free) > claimed_by_peers(&rows, order, now.since(position));
            if !usual && !open.has_private_slots() {
                break;
            }
            let request = &self.waiting[&ticket];
            let timeout = request.arrived + wait::queue_timeout(request, latency);
            let query = PlacementQuery {
                now,
                pending: request,
                latency_model: &latency,
                can_wait: !request.late && now < timeout,
            };
            let Some((candidate, canary)) = open.pick(&self.selector, &query, usual) else {
                continue;
            };
            let endpoint = candidate.endpoint.clone();
            let ahead = backlog(candidate, latency);
            candidate.free_slots -= 1;
            candidate.prefill_tokens += request.tokens.prompt;
            self.rate_limits.take_token(endpoint.key());
            self.send_to(now, ticket, &endpoint, ahead, canary);
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
        let slots: u32 = free
            .iter()
            .map(|it| it.free_slots.saturating_sub(it.queue_slots))
            .sum();
        // As more requests wait than there are free slots, fast endpoints' queues take some of them.
        if waiting <= slots as usize {
            drop_queue_slots(&mut free);
        }
        let mut canaries = self.candidates(view, view.registry.canaries(service));
        drop_queue_slots(&mut canaries);
        OpenEndpoints { free, canaries }
    }

    // The endpoints with free places, as far as all instances' reports tell.
    pub(super) fn free_endpoints(&self, view: &ClusterView<'_>, service: &str) -> Vec<Candidate> {
        let mut free = self.candidates(view, view.registry.eligible(service));
        drop_queue_slots(&mut free);
        free
    }

    // Those of some endpoints that have free slots, or a place in the queue of a fast one.
    fn candidates(&self, view: &ClusterView<'_>, endpoints: &[Arc<Endpoint>]) -> Vec<Candidate> {
        let awake = self.available(view.now, endpoints);
        if awake.is_empty() {
            return Vec::new();
        }
        let running = view.peers.running_by_endpoint(view.now);
        let all = awake.iter().map(|it| self.selector.speed_factor(it.key()));
        let fastest = all.fold(f64::INFINITY, f64::min);
        awake
            .into_iter()
            .filter_map(|endpoint| {
                let key = endpoint.key();
                let (others, theirs) = running.get(&key.short()).copied().unwrap_or_default();
                let (count, ours) = self
                    .in_flight
                    .get(&key)
                    .map_or((0, 0), |row| (u32::from(row.count), row.prefill_tokens));
                let (places, extra) = self.slot_limits(endpoint);
                let left = (places + extra).saturating_sub(count + others);
                let tokens = self.rate_limits.tokens(key);
                let left = tokens.map_or(left, |tokens| left.min(tokens));
                (left > 0).then(|| Candidate {
                    endpoint: endpoint.clone(),
                    free_slots: left,
                    queue_slots: extra,
                    prefill_tokens: f64::from(ours) + f64::from(theirs),
                    slow: self.selector.is_slow(key, fastest),
                    reserved: tokens.is_some(),
                    fastest_factor: fastest,
                })
            })
            .collect()
    }

    // How many requests an endpoint is given at once, and how many more its queue may take.
    fn slot_limits(&self, endpoint: &Endpoint) -> (u32, u32) {
        let key = endpoint.key();
        if self.selector.is_unobserved(key) {
            let few = (endpoint.slots / UNKNOWN_SPEED_DIVISOR).max(MIN_UNKNOWN_SPEED_SLOTS);
            return (few.min(endpoint.slots), 0);
        }
        let fast = self.selector.speed_factor(key) <= MAX_FAST_SPEED_FACTOR
            && self.rate_limits.tokens(key).is_none();
        (endpoint.slots, u32::from(fast))
    }

    // Those of some endpoints that do not rest.
    pub(super) fn available<'a>(
        &self,
        now: Millis,
        endpoints: &'a [Arc<Endpoint>],
    ) -> Vec<&'a Arc<Endpoint>> {
        let endpoints = endpoints.iter();
        endpoints
            .filter(|it| !self.selector.in_backoff(now, it.key()))
            .collect()
    }

    pub(super) fn send_to(
        &mut self,
        now: Millis,
        ticket: Ticket,
        endpoint: &Arc<Endpoint>,
        ahead: Backlog,
        canary: bool,
    ) {
        let Some(mut request) = self.waiting.remove(&ticket) else {
            return;
        };
        if let Some(queue) = self.queues.get_mut(&request.service) {
            queue.remove(queue_key(ticket, &request));
        }
        let key = endpoint.key();
        request.tried.push(key);
        request.canary = canary;
        let row = self.usage_mut(key);
        row.count += 1;
        row.prefill_tokens += request.tokens.prompt_tokens();
        let running = RunningRequest {
            request,
            endpoint: key,
            sent_at: now,
            backlog: ahead,
            first_part_at: None,
        };
        self.running.insert(ticket, running);
    }
}

// Leaves only slots.
fn drop_queue_slots(candidates: &mut Vec<Candidate>) {
    for candidate in candidates.iter_mut() {
        candidate.free_slots = candidate.free_slots.saturating_sub(candidate.queue_slots);
        candidate.queue_slots = 0;
    }
    candidates.retain(|it| it.free_slots > 0);
}

// What goes before a request that is sent to a candidate now.
fn backlog(candidate: &Candidate, latency: LatencyModel) -> Backlog {
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

// Counts the free places of a usual pace that peers may use, too.
pub(super) fn shared_slots(candidates: &[Candidate]) -> u32 {
    let usual = candidates.iter().filter(|it| !it.slow && !it.reserved);
    usual.map(|candidate| candidate.free_slots).sum()
}

// Counts the peers' requests that the next free places are for, before one of ours.
fn claimed_by_peers(rows: &[WaitingRow], order: QueueOrder, waited: Millis) -> u32 {
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

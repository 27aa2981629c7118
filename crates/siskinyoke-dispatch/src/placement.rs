//! Selection of an endpoint for a request, by speed, health and location of the endpoints.

use std::sync::Arc;

use crate::Endpoint;
use crate::EndpointKey;
use crate::Outcome;
use crate::RouteKind;
use crate::ScheduledRequest;
use crate::cost::Cost;
use crate::endpoint_speed::EndpointSpeed;
use crate::health::Health;
use crate::latency_model::LatencyModel;
use crate::latency_model::millis_to_f64;
use crate::report::PartIntervalRow;
use crate::report::RunningRow;
use crate::stable_hash;
use siskinyoke_base::Map;
use siskinyoke_base::Millis;

/// The penalty for an endpoint in another data centre, relative to its speed factor.
///
/// It decides between equal endpoints, but is too low to leave a faster one idle.
const REMOTE_PENALTY_RATIO: f64 = 0.3;

/// The penalty for an endpoint whose slots are all taken, relative to its speed factor.
///
/// It spreads requests over equal endpoints, as some slow down when they are nearly full.
const OCCUPANCY_PENALTY_RATIO: f64 = 0.3;

/// How far the preferences of instances for equal endpoints differ, relative to the speed factor.
///
/// The instances of a shard see the same free slots at the same time. If they all preferred the
/// same endpoint, each would fill it before it received the others' reports, and requests would
/// queue there while other slots stay free. The spread is lower than any penalty.
const PREFERENCE_SPREAD_RATIO: f64 = 0.2;

/// The penalty for an endpoint at which every recent request failed, relative to its speed factor.
const FAILURE_PENALTY_RATIO: f64 = 3.0;

/// The safety margin on the expected service time: with the margin, a request that can wait for
/// another endpoint must still complete before its deadline.
///
/// Callers' output estimates are right at the median, but one response in ten is twice as long.
pub const TIMEOUT_MARGIN_RATIO: f64 = 2.0;

/// The ratio to the service time at the fastest endpoint up to which there is nothing better to wait
/// for.
const SIMILAR_RATIO: f64 = 1.5;

/// The ratio to the fastest endpoint's speed factor, or to 1 if that is higher, above which an
/// endpoint counts as slow.
///
/// It exceeds the variation between equal endpoints, so that waiting for another one pays off.
const SLOW_RATIO: f64 = 1.3;

/// The number of own observations from which on an instance ignores the speed factors of peers: one
/// or two requests may have been delayed by a long prompt.
const MIN_OBSERVATIONS: f64 = 3.0;

/// Steps per unit of a reported speed factor. A byte then holds factors up to 32, in steps finer
/// than the variation of a single endpoint.
const SPEED_STEPS_PER_UNIT: f64 = 8.0;

/// The maximum number of endpoints whose part intervals are in a report, so that it fits into a
/// datagram: those observed most.
const MAX_REPORTED_INTERVALS: usize = 32;

/// The share of stalled streams above which the next stream is expected to stall.
///
/// It is below one half, so that an endpoint is avoided before most of its streams stall.
const STALL_THRESHOLD_RATIO: f64 = 0.3;

/// The number of parts up to which no stall is expected, as short responses are seldom hit by one.
const SHORT_RESPONSE_PARTS: f64 = 8.0;

/// A request for which an endpoint is to be selected.
#[derive(Debug, Clone, Copy)]
pub struct PlacementQuery<'a> {
    /// The current time.
    pub now: Millis,
    /// The request.
    pub request: &'a ScheduledRequest,
    /// Expected latency of the service's requests.
    pub latency_model: &'a LatencyModel,
    /// Whether it can wait for another endpoint and still meet its target.
    pub can_wait: bool,
}

/// An endpoint with free slots.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// The endpoint.
    pub endpoint: Arc<Endpoint>,
    /// The slots that this instance may use now: fewer than the open ones after a back-off, under a
    /// rate limit, or at an endpoint that bears few rejections.
    pub free_slots: u32,
    /// The slots that instances may use together, by the reports of all of them.
    pub open_slots: u32,
    /// How many of the free slots are positions in the endpoint's queue.
    pub queue_slots: u32,
    /// Prompt tokens that it has yet to process.
    pub prefill_tokens: f64,
    /// Whether it is much slower than the others.
    pub slow: bool,
    /// Whether its free slots are reserved for this instance: by its share of a rate limit, or of
    /// the slots of an endpoint that bears few rejections.
    pub reserved: bool,
    /// The speed of the fastest endpoint of its service, whether free or full.
    pub fastest: EndpointSpeed,
}

impl Candidate {
    // Returns the share of its slots that are taken.
    fn occupancy(&self) -> f64 {
        let slots = self.endpoint.slots;
        f64::from(slots.saturating_sub(self.open_slots)) / f64::from(slots)
    }
}

/// Selects endpoints for requests by what this instance and its peers have observed of them.
///
/// Speed factors are exchanged between peers. Otherwise each instance would have to send requests
/// to slow endpoints to recognise them.
#[derive(Debug, Default)]
pub struct EndpointSelector {
    centre: Arc<str>,
    // Of this instance; its preferences among equal endpoints are derived from the name.
    instance: Box<str>,
    health: Map<EndpointKey, Health>,
    // Speed factors reported by peers, by short key.
    peer_speeds: Map<u32, f64>,
    // Part intervals reported by peers, in ms, by short key.
    peer_intervals: Map<u32, f64>,
}

impl EndpointSelector {
    /// Creates a selector for an instance, given its name and its data centre.
    pub fn new(name: &str, centre: &str) -> Self {
        Self {
            centre: centre.into(),
            instance: name.into(),
            health: Map::default(),
            peer_speeds: Map::default(),
            peer_intervals: Map::default(),
        }
    }

    /// Records how an attempt ended.
    pub fn record_outcome(&mut self, now: Millis, key: EndpointKey, outcome: Outcome) {
        self.health
            .entry(key)
            .or_default()
            .record_outcome(now, outcome);
    }

    /// Records that a stream was abandoned because its endpoint sent nothing for a while after its
    /// first part.
    pub fn record_abandoned_stream(&mut self, now: Millis, key: EndpointKey) {
        let health = self.health.entry(key).or_default();
        health.record_abandoned_stream(now);
    }

    /// Records a time measured at an endpoint, and the time that was expected.
    pub fn record_speed(&mut self, key: EndpointKey, time: Millis, expected: Millis) {
        if expected > Millis::ZERO {
            let speed_factor = millis_to_f64(time) / millis_to_f64(expected);
            self.health
                .entry(key)
                .or_default()
                .record_speed(speed_factor);
        }
    }

    /// Records whether a stream stalled, that is, paused for too long.
    pub fn record_stall(&mut self, key: EndpointKey, stalled: bool) {
        self.health.entry(key).or_default().record_stall(stalled);
    }

    /// Returns the service time at an endpoint for the same work, as a multiple of the expected
    /// one.
    ///
    /// The factor reported by peers is used until this instance has a few observations of its own.
    pub fn speed_factor(&self, key: EndpointKey) -> f64 {
        let own = self.health.get(&key);
        let peer_speed = self.peer_speeds.get(&key.short_key()).copied();
        match own {
            Some(health) if health.observations() >= MIN_OBSERVATIONS => health.speed_factor(),
            Some(health) => peer_speed.unwrap_or_else(|| health.speed_factor()),
            None => peer_speed.unwrap_or(1.0),
        }
    }

    /// Records the mean time between two parts of a response, in ms.
    pub fn record_part_interval(&mut self, key: EndpointKey, interval: f64) {
        let health = self.health.entry(key).or_default();
        health.record_part_interval(interval);
    }

    /// Returns the speed of an endpoint, as observed by this instance or else as reported by peers.
    pub fn speed(&self, key: EndpointKey) -> EndpointSpeed {
        let own = self.health.get(&key).and_then(Health::part_interval);
        let reported = self.peer_intervals.get(&key.short_key()).copied();
        EndpointSpeed {
            factor: self.speed_factor(key),
            part_interval: own.or(reported),
        }
    }

    /// Returns the part intervals that this instance observed, for its report.
    pub fn interval_rows(&self) -> Vec<PartIntervalRow> {
        let health = self.health.iter();
        let mut observed: Vec<_> = health
            .filter_map(|(key, it)| Some((it.observations(), key, it.part_interval()?)))
            .collect();
        observed.sort_by(|one, other| other.0.total_cmp(&one.0).then(one.1.cmp(other.1)));
        let listed = observed.into_iter().take(MAX_REPORTED_INTERVALS);
        listed
            .map(|(_, key, interval)| PartIntervalRow::new(*key, interval))
            .collect()
    }

    /// Records the part intervals that a peer reports.
    pub fn record_peer_intervals(&mut self, rows: &[PartIntervalRow]) {
        for row in rows {
            self.peer_intervals.insert(row.endpoint, row.interval_ms());
        }
    }

    /// Returns whether neither this instance nor a peer has observed an endpoint's speed.
    pub fn is_unobserved(&self, key: EndpointKey) -> bool {
        let observations = self.health.get(&key).map_or(0.0, Health::observations);
        observations == 0.0 && !self.peer_speeds.contains_key(&key.short_key())
    }

    /// Returns an endpoint's speed factor as encoded in reports; 0 if it was not observed.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "clamped to the range of a byte"
    )]
    pub fn reported_speed(&self, key: EndpointKey) -> u8 {
        let observed = self.health.get(&key).filter(|it| it.observations() > 0.0);
        observed.map_or(0, |it| {
            (it.speed_factor() * SPEED_STEPS_PER_UNIT).clamp(1.0, 255.0) as u8
        })
    }

    /// Records the speed factors reported by a peer.
    pub fn record_peer_speeds(&mut self, rows: &[RunningRow]) {
        for row in rows.iter().filter(|row| row.speed_factor > 0) {
            self.peer_speeds.insert(
                row.endpoint,
                f64::from(row.speed_factor) / SPEED_STEPS_PER_UNIT,
            );
        }
    }

    /// Returns whether an endpoint gets no new requests for the time of its back-off.
    pub fn in_backoff(&self, now: Millis, key: EndpointKey) -> bool {
        let health = self.health.get(&key);
        health.is_some_and(|health| health.in_backoff(now))
    }

    /// Returns the time until an endpoint's back-off ends.
    pub fn backoff_remaining(&self, now: Millis, key: EndpointKey) -> Millis {
        let health = self.health.get(&key);
        health.map_or(Millis::ZERO, |health| health.backoff_remaining(now))
    }

    /// Applies a back-off that an endpoint requests, and returns whether none was in progress.
    pub fn request_backoff(&mut self, now: Millis, key: EndpointKey, duration: Millis) -> bool {
        let health = self.health.entry(key).or_default();
        health.request_backoff(now, duration)
    }

    /// Returns the time until the back-off that an endpoint requested ends.
    pub fn requested_remaining(&self, now: Millis, key: EndpointKey) -> Millis {
        let health = self.health.get(&key);
        health.map_or(Millis::ZERO, |health| health.requested_remaining(now))
    }

    /// Returns whether an endpoint has accepted no request yet since it requested a back-off.
    pub fn is_half_open(&self, key: EndpointKey) -> bool {
        self.health.get(&key).is_some_and(Health::is_half_open)
    }

    /// Records that an endpoint accepted a request that was sent at `sent_at`.
    pub fn record_accepted(&mut self, key: EndpointKey, sent_at: Millis) {
        if let Some(health) = self.health.get_mut(&key) {
            health.record_accepted(sent_at);
        }
    }

    /// Forgets the failures of an endpoint and ends the back-off after them.
    pub fn forget_failures(&mut self, key: EndpointKey) {
        if let Some(health) = self.health.get_mut(&key) {
            health.forget_failures();
        }
    }

    /// Returns the number of endpoints that requested a back-off that has not ended.
    pub fn requested_backoffs(&self, now: Millis) -> usize {
        let all = self.health.values();
        all.filter(|it| it.requested_remaining(now) > Millis::ZERO)
            .count()
    }

    /// Selects the best endpoint with free slots that the request has not been sent to before.
    ///
    /// Endpoints that are neither slow nor reserved are used by peers as well, and considered only
    /// if `use_shared` is set. No slow endpoint is selected if the request would miss its deadline
    /// or stall other streams there, or would be late although it can wait. No request is sent where
    /// it would miss its deadline if a much faster endpoint exists.
    pub fn select(
        &self,
        query: &PlacementQuery<'_>,
        candidates: &[Candidate],
        use_shared: bool,
    ) -> Option<usize> {
        let eligible = candidates.iter().enumerate().filter(|(_, candidate)| {
            candidate.free_slots > 0
                && (use_shared || candidate.slow || candidate.reserved)
                && !query.request.tried.contains(&candidate.endpoint.key())
                && self.suits(query, candidate)
        });
        let costs = eligible.map(|(index, candidate)| (index, self.cost(query, candidate)));
        let (index, cost) = costs.min_by(|one, other| one.1.total().total_cmp(&other.1.total()))?;
        let unacceptable = candidates[index].slow && cost.is_unacceptable(query.can_wait);
        (!unacceptable).then_some(index)
    }

    /// Returns whether a request is not sent to any of the endpoints with free slots because it would
    /// not be complete there before its deadline.
    pub fn holds_back(&self, query: &PlacementQuery<'_>, candidates: &[Candidate]) -> bool {
        let mut free = candidates.iter().filter(|it| it.free_slots > 0).peekable();
        free.peek().is_some() && !free.any(|it| self.suits(query, it))
    }

    // Returns whether a request may be sent to a candidate, by the time at which its response is
    // expected to be complete there and at other endpoints.
    fn suits(&self, query: &PlacementQuery<'_>, candidate: &Candidate) -> bool {
        if query.request.route.kind != RouteKind::Stream {
            return true;
        }
        let speed = self.speed(candidate.endpoint.key());
        completes(query, speed, candidate.fastest)
    }

    /// Returns whether an endpoint is much slower than expected.
    ///
    /// If even the fastest endpoint is slower than expected, the others are compared with it: there
    /// is nothing better to wait for.
    pub fn is_slow(&self, key: EndpointKey, fastest_factor: f64) -> bool {
        self.speed_factor(key) > SLOW_RATIO * fastest_factor.max(1.0)
    }

    /// Drops the observations of all endpoints that are not in `known`.
    pub fn retain_known(&mut self, known: &[EndpointKey]) {
        self.health.retain(|key, _| known.contains(key));
        self.peer_speeds
            .retain(|short_key, _| known.iter().any(|key| key.short_key() == *short_key));
        self.peer_intervals
            .retain(|short_key, _| known.iter().any(|key| key.short_key() == *short_key));
    }

    // Returns this instance's preference for an endpoint, between 0 and 1. It differs between
    // instances.
    fn preference(&self, key: EndpointKey) -> f64 {
        let hash = stable_hash(&(&*self.instance, key.0)) >> 32;
        f64::from(u32::try_from(hash).unwrap_or(u32::MAX)) / f64::from(u32::MAX)
    }

    fn cost(&self, query: &PlacementQuery<'_>, candidate: &Candidate) -> Cost {
        let PlacementQuery {
            now,
            request,
            latency_model,
            ..
        } = query;
        let endpoint = &candidate.endpoint;
        let health = self.health.get(&endpoint.key());
        let failure_ratio = health.map_or(0.0, Health::failure_ratio);
        let occupancy = candidate.occupancy();
        let remote_penalty = if endpoint.centre == self.centre {
            0.0
        } else {
            REMOTE_PENALTY_RATIO
        };
        let speed = self.speed(endpoint.key());
        let speed_factor = speed.factor;
        let preference = self.preference(endpoint.key()) * PREFERENCE_SPREAD_RATIO;
        let time = speed_factor
            * (1.0
                + occupancy * OCCUPANCY_PENALTY_RATIO
                + remote_penalty
                + failure_ratio * FAILURE_PENALTY_RATIO
                + preference);
        if request.route.kind != RouteKind::Stream {
            return Cost {
                relative_time: time,
                ..Cost::default()
            };
        }
        let tokens = request.tokens.with_backlog(candidate.prefill_tokens);
        let first = latency_model.first_part_time(&tokens);
        let delay = first.since(latency_model.first_part_time(&request.tokens));
        let time = time
            + speed_factor * millis_to_f64(delay)
                / millis_to_f64(latency_model.mean_service_time()).max(1.0);
        let first_part_at =
            millis_to_f64(now.since(request.arrived)) + millis_to_f64(first) * speed_factor;
        let stall_ratio = health.map_or(0.0, Health::stall_ratio);
        let likely_stall = latency_model.expected_parts(&request.tokens) > SHORT_RESPONSE_PARTS
            && stall_ratio > STALL_THRESHOLD_RATIO;
        let pause_ms = latency_model.expected_pause(tokens.prompt) * speed_factor;
        let stalls_others = request.route.misses_gap_target(pause_ms);
        Cost {
            relative_time: time,
            late: first_part_at > millis_to_f64(request.route.latency_target) || likely_stall,
            times_out: times_out(query, speed),
            stalled_ratio: if stalls_others { occupancy } else { 0.0 },
        }
    }
}

// Returns whether a response is expected to be complete before its deadline at an endpoint of this
// speed, or no endpoint is much faster.
fn completes(query: &PlacementQuery<'_>, speed: EndpointSpeed, fastest: EndpointSpeed) -> bool {
    !times_out(query, speed) || is_similar(query, speed, fastest)
}

// Returns whether a request takes hardly longer at an endpoint of this speed than at the fastest one.
fn is_similar(query: &PlacementQuery<'_>, speed: EndpointSpeed, fastest: EndpointSpeed) -> bool {
    let time = |speed| {
        query
            .latency_model
            .service_time_at(&query.request.tokens, speed)
    };
    time(speed) <= time(fastest) * SIMILAR_RATIO
}

// Returns whether a response at an endpoint of this speed would not complete before its deadline.
fn times_out(query: &PlacementQuery<'_>, speed: EndpointSpeed) -> bool {
    let service_time = query
        .latency_model
        .service_time_at(&query.request.tokens, speed);
    let margin = if query.can_wait {
        TIMEOUT_MARGIN_RATIO
    } else {
        1.0
    };
    service_time * margin > millis_to_f64(query.request.deadline.since(query.now))
}

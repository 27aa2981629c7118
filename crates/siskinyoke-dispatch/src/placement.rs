//! Which of the free endpoints a request should go to, by what this instance has seen of them.

use std::sync::Arc;

use crate::Endpoint;
use crate::EndpointKey;
use crate::Kind;
use crate::Outcome;
use crate::ScheduledRequest;
use crate::cost::Cost;
use crate::health::Health;
use crate::latency_model::LatencyModel;
use crate::latency_model::millis_to_f64;
use crate::report::RunningRow;
use crate::stable_hash;
use siskinyoke_base::Map;
use siskinyoke_base::Millis;

/// How much worse an endpoint in another data centre is taken to be, as a part of its pace.
///
/// Enough to decide between equals, too little to leave a faster one idle.
const REMOTE_PENALTY_RATIO: f64 = 0.3;

/// How much worse an endpoint is taken to be whose places are all taken, as a part of its pace.
///
/// Some endpoints slow down when they are nearly full; it spreads work over equals.
const OCCUPANCY_PENALTY_RATIO: f64 = 0.3;

/// How far instances differ in which of several like endpoints they use first, as a part of its pace.
///
/// Instances of a shard see the same free places at the same moment. Were they of one mind on the best of
/// them, each would fill it before it hears of the others, and requests would queue there beside free
/// places. Less than what makes an endpoint a worse choice by itself.
const PREFERENCE_SPREAD_RATIO: f64 = 0.2;

/// How much a failure weighs against an endpoint when one is chosen.
const FAILURE_PENALTY_RATIO: f64 = 3.0;

/// How much longer than expected an answer may take and must still be whole in time, where its request can
/// wait for another endpoint.
///
/// Callers' estimates are right at the median; one answer in five is half as long again.
const TIMEOUT_MARGIN_RATIO: f64 = 1.5;

/// The pace beyond which an endpoint counts as slow.
///
/// Beyond the scatter of equal endpoints' paces; waiting for a usual one is worth it then.
const SLOW_RATIO: f64 = 1.3;

/// Observations from which on an instance goes by its own: one or two may have waited behind a long prompt.
const MIN_OBSERVATIONS: f64 = 3.0;

/// The steps in which paces are told, for each multiple of the usual one: a byte holds up to thirty-two times
/// the usual one, in steps finer than the scatter of one endpoint's answers.
const SPEED_STEPS_PER_UNIT: f64 = 8.0;

/// The part of streams that pause for too long beyond which the next one is expected to.
///
/// Below one half, so that an endpoint is passed by before most of its streams are late.
const STALL_THRESHOLD_RATIO: f64 = 0.3;

/// Parts of an answer up to which such a pause seldom falls into it.
const SHORT_ANSWER_PARTS: f64 = 8.0;

/// A request that is to be placed.
#[derive(Debug, Clone, Copy)]
pub struct PlacementQuery<'a> {
    /// The present time.
    pub now: Millis,
    /// The request.
    pub pending: &'a ScheduledRequest,
    /// How its service's requests fare.
    pub latency_model: &'a LatencyModel,
    /// Whether it can wait for another endpoint and still be on time.
    pub can_wait: bool,
}

/// An endpoint with free places.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// The endpoint.
    pub endpoint: Arc<Endpoint>,
    /// Its free places, as far as all instances' reports tell.
    pub free_slots: u32,
    /// How many of these are not slots, but places in its queue.
    pub queue_slots: u32,
    /// Prompt tokens that it has still to read.
    pub prefill_tokens: f64,
    /// Whether it takes much longer than the others.
    pub slow: bool,
    /// Whether the free places are this instance's alone, by its part of a rate limit.
    pub reserved: bool,
    /// The pace of the fastest endpoint of its service, with free places or without.
    pub fastest_factor: f64,
}

/// What this instance has seen of the endpoints.
///
/// Paces are told to peers: each instance would have to find the slow endpoints out by requests of its own.
#[derive(Debug, Default)]
pub struct EndpointSelector {
    centre: Arc<str>,
    // Of this instance; its preferences follow from it.
    name: Box<str>,
    health: Map<EndpointKey, Health>,
    // Paces that peers saw, by shortened key.
    peer_speeds: Map<u32, f64>,
}

impl EndpointSelector {
    /// Knows nothing yet of the endpoints; the instance of this name lies in a data centre.
    pub fn new(name: &str, centre: &str) -> Self {
        Self {
            centre: centre.into(),
            name: name.into(),
            health: Map::default(),
            peer_speeds: Map::default(),
        }
    }

    /// Takes note of how a stay ended.
    pub fn record_outcome(&mut self, now: Millis, key: EndpointKey, outcome: Outcome) {
        self.health
            .entry(key)
            .or_default()
            .record_outcome(now, outcome);
    }

    /// Takes note that something took `time` on an endpoint that usually takes `usual`.
    pub fn record_speed(&mut self, key: EndpointKey, time: Millis, usual: Millis) {
        if usual > Millis::ZERO {
            let pace = millis_to_f64(time) / millis_to_f64(usual);
            self.health.entry(key).or_default().record_speed(pace);
        }
    }

    /// Takes note whether a stream paused for too long.
    pub fn record_stall(&mut self, key: EndpointKey, long: bool) {
        self.health.entry(key).or_default().record_stall(long);
    }

    /// Returns how long an endpoint takes for the same work, as a multiple of what is usual.
    ///
    /// What peers saw stands in until there are a few observations of our own.
    pub fn speed_factor(&self, key: EndpointKey) -> f64 {
        let own = self.health.get(&key);
        let peer_speed = self.peer_speeds.get(&key.short()).copied();
        match own {
            Some(health) if health.observations() >= MIN_OBSERVATIONS => health.speed_factor(),
            Some(health) => peer_speed.unwrap_or_else(|| health.speed_factor()),
            None => peer_speed.unwrap_or(1.0),
        }
    }

    /// Returns whether nobody has seen yet how fast an endpoint is.
    pub fn is_unobserved(&self, key: EndpointKey) -> bool {
        let seen = self.health.get(&key).map_or(0.0, Health::observations);
        seen == 0.0 && !self.peer_speeds.contains_key(&key.short())
    }

    /// Returns an endpoint's pace as it stands in reports.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "clamped to the range of a byte"
    )]
    pub fn reported_speed(&self, key: EndpointKey) -> u8 {
        let seen = self.health.get(&key).filter(|it| it.observations() > 0.0);
        seen.map_or(0, |it| {
            (it.speed_factor() * SPEED_STEPS_PER_UNIT).clamp(1.0, 255.0) as u8
        })
    }

    /// Takes in what a peer says of the endpoints that it uses.
    pub fn record_peer_speeds(&mut self, rows: &[RunningRow]) {
        for row in rows.iter().filter(|row| row.speed_factor > 0) {
            self.peer_speeds.insert(
                row.endpoint,
                f64::from(row.speed_factor) / SPEED_STEPS_PER_UNIT,
            );
        }
    }

    /// Returns whether an endpoint rests after failures.
    pub fn in_backoff(&self, now: Millis, key: EndpointKey) -> bool {
        let health = self.health.get(&key);
        health.is_some_and(|health| health.in_backoff(now))
    }

    /// Finds the best endpoint for a request among those with free places that it was not given to
    /// before.
    ///
    /// `usual` says whether the endpoints of a usual pace may be used; slow and reserved ones always may. A request with
    /// time to wait is given to no slow endpoint that would spoil it or the work there.
    pub fn select(
        &self,
        query: &PlacementQuery<'_>,
        candidates: &[Candidate],
        usual: bool,
    ) -> Option<usize> {
        let eligible = candidates.iter().enumerate().filter(|(_, candidate)| {
            candidate.free_slots > 0
                && (usual || candidate.slow || candidate.reserved)
                && !query.pending.tried.contains(&candidate.endpoint.key())
        });
        let costs = eligible.map(|(at, candidate)| (at, self.cost(query, candidate)));
        let (at, cost) = costs.min_by(|one, other| one.1.total().total_cmp(&other.1.total()))?;
        let unacceptable = candidates[at].slow && cost.is_unacceptable(query.can_wait);
        let should_wait =
            query.can_wait && cost.times_out && !times_out(query, candidates[at].fastest_factor);
        (!unacceptable && !should_wait).then_some(at)
    }

    /// Returns whether an endpoint takes much longer for the same work than is usual in its service.
    ///
    /// Where even the fastest one does, none counts as slow: there is nothing better to wait for.
    pub fn is_slow(&self, key: EndpointKey, fastest: f64) -> bool {
        self.speed_factor(key) > SLOW_RATIO * fastest.max(1.0)
    }

    /// Forgets endpoints that are not among the known ones.
    pub fn retain_known(&mut self, known: &[EndpointKey]) {
        self.health.retain(|key, _| known.contains(key));
        self.peer_speeds
            .retain(|short, _| known.iter().any(|key| key.short() == *short));
    }

    // A number from 0 to 1 that differs between instances.
    fn preference(&self, key: EndpointKey) -> f64 {
        let hash = stable_hash(&(&*self.name, key.0)) >> 32;
        f64::from(u32::try_from(hash).unwrap_or(u32::MAX)) / f64::from(u32::MAX)
    }

    fn cost(&self, query: &PlacementQuery<'_>, candidate: &Candidate) -> Cost {
        let PlacementQuery {
            now,
            pending,
            latency_model,
            ..
        } = query;
        let endpoint = &candidate.endpoint;
        let health = self.health.get(&endpoint.key());
        let failure_ratio = health.map_or(0.0, Health::failure_ratio);
        let occupancy = f64::from(endpoint.slots.saturating_sub(candidate.free_slots))
            / f64::from(endpoint.slots);
        let remote_penalty = if endpoint.centre == self.centre {
            0.0
        } else {
            REMOTE_PENALTY_RATIO
        };
        let pace = self.speed_factor(endpoint.key());
        let preference = self.preference(endpoint.key()) * PREFERENCE_SPREAD_RATIO;
        let time = pace
            * (1.0
                + occupancy * OCCUPANCY_PENALTY_RATIO
                + remote_penalty
                + failure_ratio * FAILURE_PENALTY_RATIO
                + preference);
        if pending.route.kind != Kind::Stream {
            return Cost {
                relative_time: time,
                ..Cost::default()
            };
        }
        let unread = pending.tokens.with_backlog(candidate.prefill_tokens);
        let first = latency_model.first_part_time(&unread);
        let delay = first.since(latency_model.first_part_time(&pending.tokens));
        let time = time
            + pace * millis_to_f64(delay)
                / millis_to_f64(latency_model.mean_service_time()).max(1.0);
        let begins = millis_to_f64(now.since(pending.arrived)) + millis_to_f64(first) * pace;
        let stall_ratio = health.map_or(0.0, Health::stall_ratio);
        let pauses = latency_model.expected_parts(&pending.tokens) > SHORT_ANSWER_PARTS
            && stall_ratio > STALL_THRESHOLD_RATIO;
        let stalls = latency_model.expected_pause(unread.prompt) * pace
            > millis_to_f64(pending.route.gap_target);
        Cost {
            relative_time: time,
            late: begins > millis_to_f64(pending.route.latency_target) || pauses,
            times_out: times_out(query, pace),
            stalled_ratio: if stalls { occupancy } else { 0.0 },
        }
    }
}

// Whether an answer at an endpoint of this pace would not be whole before its caller leaves.
fn times_out(query: &PlacementQuery<'_>, pace: f64) -> bool {
    let stay = millis_to_f64(query.latency_model.service_time_of(&query.pending.tokens)) * pace;
    let margin = if query.can_wait {
        TIMEOUT_MARGIN_RATIO
    } else {
        1.0
    };
    stay * margin > millis_to_f64(query.pending.deadline.since(query.now))
}

//! Choosing among endpoints by expected finish.
//!
//! Load pattern: unlike endpoints, of which one looks idle in every report. Without own
//! expectations identical work goes to slow and fast engines alike; without chance among nearly
//! equal ones all daemons send to the same endpoint at once.

use rand::Rng;

use crate::endpoint::Expected;
use siskinyoke_base::EndpointId;

/// Candidates within this part of the best are taken as equal: estimates err by about as much.
const NEAR: f64 = 0.1;

/// How much a full endpoint slows its work, against an empty one; it spreads work while there
/// is room, since continuous batching slows every request by its neighbours.
const CROWD: f64 = 0.5;

/// One endpoint that could take the work.
#[derive(Debug)]
pub(crate) struct Candidate {
    /// The endpoint.
    pub(crate) endpoint: EndpointId,
    /// Expected times there.
    pub(crate) expected: Expected,
    /// Prompt tokens to compute there.
    pub(crate) fresh: f64,
    /// Part of the room in use, from 0 to 1.
    pub(crate) usage: f64,
    /// Whether the work would be useful.
    pub(crate) fits: bool,
    /// Whether the work has failed there.
    pub(crate) avoided: bool,
}

impl Candidate {
    fn cost(&self) -> f64 {
        self.expected.whole * (1.0 + CROWD * self.usage)
    }
}

/// Returns the candidate to take: one that fits, was not avoided, and costs about the least.
pub(crate) fn choose(rng: &mut impl Rng, mut all: Vec<Candidate>) -> Option<Candidate> {
    let class = |candidate: &Candidate| (candidate.avoided, !candidate.fits);
    let best_class = all.iter().map(class).min()?;
    all.retain(|candidate| class(candidate) == best_class);
    let costs = all.iter().map(Candidate::cost);
    let best = costs.fold(f64::INFINITY, f64::min);
    all.retain(|candidate| candidate.cost() <= best * (1.0 + NEAR));
    let index = rng.random_range(0..all.len());
    Some(all.swap_remove(index))
}

//! The endpoints with what is on them, and where work would finish first.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use rand::Rng;

use crate::EndpointSpec;
use crate::Finish;
use crate::Work;
use crate::WorkId;
use crate::endpoint::Endpoint;
use crate::endpoint::Expected;
use crate::flight::Flight;
use crate::flight::Flights;
use crate::length::Lengths;
use crate::placement;
use crate::placement::Candidate;
use crate::prefix::Prefixes;
use crate::silence;
use crate::units;
use siskinyoke_base::EndpointId;
use siskinyoke_base::Millis;
use siskinyoke_base::ModelId;

/// How far above the average use an endpoint may be and still draw work by its cached prefixes:
/// the bound of consistent hashing with bounded loads, which keeps one hot prefix from filling
/// one endpoint.
const AFFINITY_BOUND: f64 = 1.25;

/// The least seconds that work is taken to be on an endpoint, against dividing by nothing.
const LEAST_TIME: f64 = 0.01;

/// Endpoints and the work on them.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    endpoints: BTreeMap<EndpointId, Endpoint>,
    flights: Flights,
    prefixes: Prefixes,
    lengths: Lengths,
    instances: u32,
}

impl Pool {
    /// Sets how many instances share the endpoints.
    pub(crate) fn set_instances(&mut self, count: u32) {
        self.instances = count;
    }

    /// Returns how many instances share the endpoints.
    pub(crate) fn instances(&self) -> u32 {
        self.instances
    }

    /// Sets the endpoints that may be used; what was learned of those that stay is kept.
    pub(crate) fn set_endpoints(&mut self, now: Millis, specs: &[EndpointSpec]) {
        for endpoint in self.endpoints.values_mut() {
            endpoint.listed = false;
        }
        for spec in specs {
            let known = self
                .endpoints
                .entry(spec.id.clone())
                .or_insert_with(|| Endpoint::new(now, spec.clone()));
            known.spec = spec.clone();
            known.listed = true;
        }
        let flights = &self.flights;
        self.endpoints
            .retain(|id, endpoint| endpoint.listed || flights.count(id) > 0);
    }

    /// Passes over the endpoints that may be used.
    pub(crate) fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.values().filter(|endpoint| endpoint.listed)
    }

    /// Returns an endpoint for a change.
    pub(crate) fn endpoint(&mut self, id: &EndpointId) -> Option<&mut Endpoint> {
        self.endpoints.get_mut(id)
    }

    /// Returns the work on endpoints.
    pub(crate) fn flights(&self) -> &Flights {
        &self.flights
    }

    /// Tells whether any endpoint offers a target.
    pub(crate) fn offers(&self, target: &ModelId) -> bool {
        self.endpoints().any(|endpoint| endpoint.offers(target))
    }

    /// Returns the slots that this daemon may fill with work for a target.
    pub(crate) fn slots(&self, now: Millis, target: &ModelId) -> u32 {
        let offering = self.endpoints().filter(|endpoint| endpoint.offers(target));
        offering
            .map(|endpoint| endpoint.room(now, self.instances))
            .sum()
    }

    /// Tells whether any endpoint has room for a target's work.
    pub(crate) fn has_room(&self, now: Millis, target: &ModelId) -> bool {
        let mut offering = self.endpoints().filter(|endpoint| endpoint.offers(target));
        offering.any(|endpoint| self.free(now, endpoint) > 0)
    }

    /// Counts the free slots for a target.
    pub(crate) fn free_slots(&self, now: Millis, target: &ModelId) -> u32 {
        let offering = self.endpoints().filter(|endpoint| endpoint.offers(target));
        offering.map(|endpoint| self.free(now, endpoint)).sum()
    }

    /// Counts the slots that have to be freed before one can be filled again, as a share shrank.
    pub(crate) fn excess(&self, now: Millis, target: &ModelId) -> u32 {
        let offering = self.endpoints().filter(|endpoint| endpoint.offers(target));
        let over = offering.map(|endpoint| {
            let count = self.flights.count(&endpoint.spec.id);
            count.saturating_sub(endpoint.room(now, self.instances))
        });
        over.sum()
    }

    /// Returns how many requests a second end on a target's endpoints.
    pub(crate) fn ends(&self, target: &ModelId) -> f64 {
        let flights = self.flights.iter();
        let running = flights.filter(|flight| flight.work.target == *target);
        running
            .map(|flight| 1.0 / flight.whole.max(LEAST_TIME))
            .sum()
    }

    /// Returns the least expected seconds to a useful answer over all endpoints in use.
    pub(crate) fn useful(&self, now: Millis, work: &Work) -> Option<f64> {
        let offering = self
            .endpoints()
            .filter(|endpoint| endpoint.offers(&work.target));
        offering
            .map(|endpoint| {
                let fresh = self.fresh(work, endpoint);
                let expected = self.expect(now, work, endpoint, fresh);
                let doubt = if endpoint.health.doubtful(now) {
                    10.0
                } else {
                    1.0
                };
                expected.useful(work) * doubt
            })
            .min_by(f64::total_cmp)
    }

    /// Returns the average expected seconds on an endpoint, by its slots.
    pub(crate) fn service(&self, now: Millis, work: &Work) -> f64 {
        let offering = self
            .endpoints()
            .filter(|endpoint| endpoint.offers(&work.target));
        let (mut sum, mut slots) = (0.0, 0.0);
        for endpoint in offering {
            let expected = self.expect(now, work, endpoint, f64::from(work.prompt));
            let weight = f64::from(endpoint.spec.slots) / expected.whole.max(0.001);
            sum += weight * expected.whole;
            slots += weight;
        }
        if slots > 0.0 { sum / slots } else { 0.0 }
    }

    /// Chooses an endpoint with room for the work.
    pub(crate) fn place(&self, now: Millis, rng: &mut impl Rng, work: &Work) -> Option<Candidate> {
        if work.apart && self.flights.iter().any(|flight| flight.work.apart) {
            return None;
        }
        let offering: Vec<&Endpoint> = self
            .endpoints()
            .filter(|endpoint| endpoint.offers(&work.target))
            .collect();
        let average = self.average_use(now, &offering);
        let candidates = offering
            .iter()
            .filter(|endpoint| self.free(now, endpoint) > 0 && self.may_join(work, endpoint))
            .map(|endpoint| self.candidate(now, work, endpoint, average))
            .collect();
        placement::choose(rng, candidates)
    }

    /// Notes that work was dispatched.
    pub(crate) fn start(&mut self, now: Millis, work: Work, chosen: &Candidate) {
        self.prefixes.learn(&work.prefix, &chosen.endpoint);
        if self.flights.count(&chosen.endpoint) == 0
            && let Some(endpoint) = self.endpoints.get_mut(&chosen.endpoint)
        {
            // An endpoint that had nothing to answer was silent for good reason.
            endpoint.health.alive(now);
        }
        self.flights.insert(Flight {
            work,
            endpoint: chosen.endpoint.clone(),
            started: now,
            first: None,
            fresh: chosen.fresh,
            plan: chosen.expected.plan,
            expected: chosen.expected.first,
            whole: chosen.expected.whole,
            cancelled: false,
        });
    }

    /// Learns of a first piece.
    pub(crate) fn first_piece(&mut self, now: Millis, id: WorkId) {
        let Some(flight) = self.flights.get_mut(id) else {
            return;
        };
        if flight.first.is_some() {
            return;
        }
        flight.first = Some(now);
        let took = now.since(flight.started);
        let Some(endpoint) = self.endpoints.get_mut(&flight.endpoint) else {
            return;
        };
        endpoint.health.alive(now);
        if flight.work.stream {
            endpoint.learn_first(now, &flight.work.target, flight.plan, took);
        }
    }

    /// Learns that work left its endpoint.
    pub(crate) fn finished(&mut self, now: Millis, id: WorkId, finish: Finish) -> Option<Flight> {
        let flight = self.flights.remove(id)?;
        let endpoint = self.endpoints.get_mut(&flight.endpoint)?;
        match finish {
            Finish::Complete { output } => {
                endpoint.health.succeed(now);
                endpoint.learn(now, &flight, output);
                self.lengths.learn(&flight.work, output);
            }
            Finish::Unreachable | Finish::Broken => {
                endpoint.health.fail(now);
                self.prefixes.forget(&flight.work.prefix, &flight.endpoint);
            }
            Finish::Cancelled => {}
        }
        if !endpoint.listed && self.flights.count(&flight.endpoint) == 0 {
            self.endpoints.remove(&flight.endpoint);
        }
        Some(flight)
    }

    /// Marks work whose cancel was asked for.
    pub(crate) fn cancel(&mut self, id: WorkId) {
        if let Some(flight) = self.flights.get_mut(id) {
            flight.cancelled = true;
        }
    }

    /// Takes endpoints out that have gone silent, and lists their work that may be repeated.
    pub(crate) fn stalled(&mut self, now: Millis) -> Vec<WorkId> {
        let mut silent = BTreeSet::new();
        for flight in self.flights.iter() {
            let Some(endpoint) = self.endpoints.get(&flight.endpoint) else {
                continue;
            };
            let usual = self.expect(now, &flight.work, endpoint, flight.fresh);
            if silence::is_overdue(now, flight, usual, endpoint.health.sign()) {
                silent.insert(flight.endpoint.clone());
            }
        }
        for id in &silent {
            if let Some(endpoint) = self.endpoints.get_mut(id) {
                endpoint.health.expel(now);
            }
        }
        let waits = |flight: &&Flight| {
            silent.contains(&flight.endpoint)
                && flight.work.repeatable()
                && flight.first.is_none()
                && !flight.cancelled
        };
        let stranded = self.flights.iter().filter(waits);
        stranded.map(|flight| flight.work.id).collect()
    }

    /// Tells whether lower work here gives way to `work`, or soon will.
    pub(crate) fn can_yield(&self, now: Millis, work: &Work) -> bool {
        let giving = |flight: &Flight| flight.cancelled && flight.work.target == work.target;
        self.flights.iter().any(giving) || self.victim(now, work).is_some()
    }

    /// Returns work to cancel for more urgent `work`: the least prefill lost first.
    pub(crate) fn victim(&self, now: Millis, work: &Work) -> Option<WorkId> {
        let fits = |flight: &&Flight| {
            flight.work.rank > work.rank
                && flight.work.repeatable()
                && !flight.cancelled
                && !work.avoid.contains(&flight.endpoint)
                && self.usable(now, &flight.endpoint, work)
        };
        self.flights
            .iter()
            .filter(fits)
            .min_by(|a, b| {
                let by_loss = a.lost(now).total_cmp(&b.lost(now));
                by_loss.then(b.work.rank.cmp(&a.work.rank))
            })
            .map(|flight| flight.work.id)
    }

    /// Tells whether work would be useful on an endpoint, if a slot were free there.
    fn usable(&self, now: Millis, id: &EndpointId, work: &Work) -> bool {
        let Some(endpoint) = self.endpoints.get(id) else {
            return false;
        };
        let limit = endpoint.room(now, self.instances);
        if !endpoint.offers(&work.target) || limit == 0 || self.flights.count(id) > limit {
            return false;
        }
        let expected = self.expect(now, work, endpoint, self.fresh(work, endpoint));
        expected.useful(work) <= work.deadline.since(now).as_secs()
    }

    fn free(&self, now: Millis, endpoint: &Endpoint) -> u32 {
        let room = endpoint.room(now, self.instances);
        room.saturating_sub(self.flights.count(&endpoint.spec.id))
    }

    /// Tells whether work may run beside what is on the endpoint.
    ///
    /// Suspected work may take the endpoint's process down with all that runs there; work that
    /// cannot be repeated would be lost, so neither joins the other.
    fn may_join(&self, work: &Work, endpoint: &Endpoint) -> bool {
        if work.apart {
            return self
                .flights
                .on(&endpoint.spec.id)
                .all(|flight| flight.work.repeatable());
        }
        let with_suspect = self
            .flights
            .on(&endpoint.spec.id)
            .any(|flight| flight.work.apart);
        work.repeatable() || !with_suspect
    }

    fn fresh(&self, work: &Work, endpoint: &Endpoint) -> f64 {
        let held = self.prefixes.held(&work.prefix, &endpoint.spec.id);
        f64::from(work.prompt) * (1.0 - held)
    }

    fn expect(&self, now: Millis, work: &Work, endpoint: &Endpoint, prompt: f64) -> Expected {
        endpoint.expect(now, &work.target, prompt, self.lengths.guess(work))
    }

    fn candidate(&self, now: Millis, work: &Work, endpoint: &Endpoint, average: f64) -> Candidate {
        let id = &endpoint.spec.id;
        let usage = self.usage(now, endpoint);
        let fresh = self.fresh(work, endpoint);
        let bounded = if usage <= average * AFFINITY_BOUND {
            fresh
        } else {
            f64::from(work.prompt)
        };
        let queued = self.flights.on(id).filter(|flight| flight.first.is_none());
        let queued: f64 = queued.map(|flight| flight.fresh).sum();
        let expected = self.expect(now, work, endpoint, bounded + queued);
        let left = work.deadline.since(now).as_secs();
        let crowded = work.apart && self.flights.count(id) > 0;
        // Probation is proven with work that can run again if the endpoint fails once more.
        let doubtful = endpoint.health.doubtful(now) && !work.repeatable();
        Candidate {
            endpoint: id.clone(),
            expected,
            fresh,
            usage,
            fits: expected.useful(work) <= left,
            avoided: crowded || doubtful || work.avoid.contains(id),
        }
    }

    fn usage(&self, now: Millis, endpoint: &Endpoint) -> f64 {
        let room = endpoint.room(now, self.instances).max(1);
        f64::from(self.flights.count(&endpoint.spec.id)) / f64::from(room)
    }

    fn average_use(&self, now: Millis, offering: &[&Endpoint]) -> f64 {
        let sum: f64 = offering
            .iter()
            .map(|endpoint| self.usage(now, endpoint))
            .sum();
        sum / f64::from(units::count(offering.len()).max(1))
    }
}

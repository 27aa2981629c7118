//! Work on endpoints, as this daemon knows it.

use std::collections::BTreeMap;

use crate::Work;
use crate::WorkId;
use crate::queue::LaneKey;
use crate::units;
use siskinyoke_base::EndpointId;
use siskinyoke_base::Millis;
use siskinyoke_base::ModelId;

/// The least seconds that a first piece is taken to need, against dividing by nothing.
const LEAST_TIME: f64 = 0.001;

/// Work on an endpoint.
#[derive(Debug)]
pub(crate) struct Flight {
    /// The work.
    pub(crate) work: Work,
    /// Where it runs.
    pub(crate) endpoint: EndpointId,
    /// When it was dispatched.
    pub(crate) started: Millis,
    /// When its first piece came.
    pub(crate) first: Option<Millis>,
    /// Prompt tokens that the endpoint probably did not hold.
    pub(crate) fresh: f64,
    /// Seconds to the first piece at the configured speed.
    pub(crate) plan: f64,
    /// Seconds to the first piece as expected.
    pub(crate) expected: f64,
    /// Expected seconds to its end.
    pub(crate) whole: f64,
    /// Whether a cancel was asked for.
    pub(crate) cancelled: bool,
}

impl Flight {
    /// Returns the prompt tokens that a cancel would throw away.
    pub(crate) fn lost(&self, now: Millis) -> f64 {
        if self.first.is_some() {
            return self.fresh;
        }
        let elapsed = now.since(self.started).as_secs();
        self.fresh * (elapsed / self.expected.max(LEAST_TIME)).min(1.0)
    }
}

/// All work on endpoints.
#[derive(Debug, Default)]
pub(crate) struct Flights {
    flights: BTreeMap<WorkId, Flight>,
    counts: BTreeMap<EndpointId, u32>,
}

impl Flights {
    /// Adds work.
    pub(crate) fn insert(&mut self, flight: Flight) {
        *self.counts.entry(flight.endpoint.clone()).or_default() += 1;
        self.flights.insert(flight.work.id, flight);
    }

    /// Takes work out.
    pub(crate) fn remove(&mut self, id: WorkId) -> Option<Flight> {
        let flight = self.flights.remove(&id)?;
        if let Some(count) = self.counts.get_mut(&flight.endpoint) {
            *count -= 1;
        }
        Some(flight)
    }

    /// Returns work for a change.
    pub(crate) fn get_mut(&mut self, id: WorkId) -> Option<&mut Flight> {
        self.flights.get_mut(&id)
    }

    /// Passes over all work.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Flight> {
        self.flights.values()
    }

    /// Passes over the work on one endpoint.
    pub(crate) fn on<'a>(&'a self, id: &'a EndpointId) -> impl Iterator<Item = &'a Flight> {
        self.flights
            .values()
            .filter(move |flight| flight.endpoint == *id)
    }

    /// Counts the work on one endpoint.
    pub(crate) fn count(&self, id: &EndpointId) -> u32 {
        self.counts.get(id).copied().unwrap_or_default()
    }

    /// Counts work of `rank` or a later one.
    pub(crate) fn count_from(&self, rank: u8) -> u32 {
        units::count(
            self.iter()
                .filter(|flight| flight.work.rank >= rank)
                .count(),
        )
    }

    /// Counts a target's work of `rank` or a later one.
    pub(crate) fn count_target(&self, target: &ModelId, rank: u8) -> u32 {
        let fits = |flight: &&Flight| flight.work.target == *target && flight.work.rank >= rank;
        units::count(self.iter().filter(fits).count())
    }

    /// Counts a lane's work.
    pub(crate) fn count_lane(&self, key: &LaneKey) -> u32 {
        let fits = |flight: &&Flight| LaneKey::of(&flight.work) == *key;
        units::count(self.iter().filter(fits).count())
    }

    /// Tells whether nothing is on an endpoint.
    pub(crate) fn is_empty(&self) -> bool {
        self.flights.is_empty()
    }
}

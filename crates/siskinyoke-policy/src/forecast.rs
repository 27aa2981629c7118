//! What the load of late says of the next seconds, by tier and target.

use std::collections::BTreeMap;

use crate::admission::Trust;
use crate::flight::Flights;
use crate::load::Load;
use crate::queue::Entry;
use crate::queue::LaneKey;
use crate::rate::Rate;
use crate::refusal::Place;
use siskinyoke_base::Millis;

/// Work that takes this many times less than other work counts as short beside it.
const SHORT: f64 = 2.0;

/// Slots kept for the swing of short work, in square roots of those it fills: arrivals at random
/// swing by about one square root, and half of it can wait a moment within its need.
const SWING: f64 = 0.5;

/// Rates and what was learned of estimates.
#[derive(Debug, Default)]
pub(crate) struct Forecast {
    arrivals: BTreeMap<LaneKey, Rate>,
    loads: BTreeMap<LaneKey, Load>,
    trusts: BTreeMap<LaneKey, Trust>,
    places: BTreeMap<LaneKey, Place>,
}

impl Forecast {
    /// Learns of work that is offered, let in or not.
    pub(crate) fn offer(&mut self, now: Millis, key: &LaneKey, service: f64) {
        let load = self.loads.entry(key.clone()).or_default();
        load.add(now, service);
    }

    /// Learns of work that is let in.
    pub(crate) fn admit(&mut self, now: Millis, key: &LaneKey) {
        let arrivals = self.arrivals.entry(key.clone());
        arrivals.or_insert_with(Rate::steady).add(now, 1.0);
    }

    /// Learns how long work waited against the estimate.
    pub(crate) fn learn_wait(&mut self, now: Millis, entry: &Entry) {
        let waited = now.since(entry.work.arrived).as_secs();
        let trust = self.trusts.entry(LaneKey::of(&entry.work)).or_default();
        trust.learn(entry.wait, waited);
    }

    /// Returns how long a lane's waits turned out against their estimates.
    pub(crate) fn trust(&self, key: &LaneKey) -> f64 {
        self.trusts.get(key).map_or(1.0, Trust::ratio)
    }

    /// Returns the times to come back that were told to a lane's callers.
    pub(crate) fn place(&mut self, key: &LaneKey) -> &mut Place {
        self.places.entry(key.clone()).or_default()
    }

    /// Returns the requests a second that are let in for more urgent tiers of a target.
    pub(crate) fn above(&self, now: Millis, key: &LaneKey) -> f64 {
        let above = self
            .arrivals
            .iter()
            .filter(|(other, _)| other.is_above(key));
        above.map(|(_, rate)| rate.value(now)).sum()
    }

    /// Passes over the load that is offered.
    pub(crate) fn loads(&self) -> impl Iterator<Item = (&LaneKey, &Load)> {
        self.loads.iter()
    }

    /// Returns the slots that a lane leaves free to more urgent lanes of much shorter work.
    ///
    /// Load pattern: short work with a short need beside work a hundred times longer. A slot that
    /// is free for a moment goes to long work and is gone for ten seconds, and short work that
    /// comes a moment later misses its need. So it keeps the slots that it fills on average, and
    /// some for its swing, less those that it fills now.
    pub(crate) fn kept_for_short(&self, now: Millis, key: &LaneKey, flights: &Flights) -> f64 {
        let own = self.loads.get(key).map_or(0.0, |load| load.service(now));
        let shorter = |load: &Load| load.service(now) * SHORT < own;
        let above = self.loads.iter();
        let above = above.filter(|(other, load)| other.is_above(key) && shorter(load));
        let kept = above.map(|(other, load)| {
            let load = load.slots(now);
            let running = flights.count_lane(other);
            (load + load.sqrt() * SWING - f64::from(running)).max(0.0)
        });
        kept.sum()
    }
}

//! The border of the policy: what a daemon tells it and what it decides.

use std::fmt;

use crate::Work;
use crate::WorkId;
use siskinyoke_base::Code;
use siskinyoke_base::DataCentre;
use siskinyoke_base::EndpointId;
use siskinyoke_base::Millis;
use siskinyoke_base::ModelId;
use siskinyoke_base::OrganisationId;
use siskinyoke_base::message::LeaseDemand;
use siskinyoke_base::message::Resource;

/// A policy: lets work in, keeps it waiting, turns it away, places it.
///
/// It is pure: time comes in with each call, and the same calls give the same decisions.
pub trait Scheduler: fmt::Debug + Send {
    /// Sets how many instances share the endpoints, for local shares without leases.
    fn set_instances(&mut self, _count: u32) {}

    /// Sets the endpoints that may be used; those left out get nothing new.
    fn set_endpoints(&mut self, now: Millis, specs: &[EndpointSpec]);

    /// Sets the preset in force.
    fn set_preset(&mut self, now: Millis, preset: &PresetSpec);

    /// Sets an organisation's share weight and allowance in tokens a second.
    fn set_organisation(&mut self, id: &OrganisationId, weight: u32, allowance: Option<u32>);

    /// Takes work in; what becomes of it follows from [`Scheduler::poll`].
    fn arrive(&mut self, now: Millis, work: Work);

    /// Takes decisions that are due; to be called after every event and at the time that the
    /// last call returned.
    fn poll(&mut self, now: Millis, out: &mut Vec<Decision>) -> Millis;

    /// Learns that work gave its first piece of an answer.
    fn first_piece(&mut self, now: Millis, id: WorkId);

    /// Learns that work is no longer on its endpoint.
    fn finished(&mut self, now: Millis, id: WorkId, finish: Finish);

    /// Withdraws work that waits; returns false if it does not wait.
    fn withdraw(&mut self, now: Millis, id: WorkId) -> bool;

    /// Learns an endpoint's load report, which may be seconds old.
    fn report(&mut self, now: Millis, endpoint: &EndpointId, load: &LoadReport);

    /// Sets the admission threshold: work of `rank` or a later one is neither let in nor
    /// dispatched, and what waits of it is evicted; `None` lifts it.
    fn set_threshold(&mut self, now: Millis, rank: Option<u8>);

    /// Counts requests of `rank` or a later one that are on endpoints.
    fn serving(&self, rank: u8) -> u32;

    /// Returns the rank of protected work that would have to be shed now for lack of room.
    fn pressure(&self, now: Millis) -> Option<u8>;

    /// Allows protected work to be shed until `until`, as nothing below `rank` is served anywhere.
    fn allow_shedding(&mut self, now: Millis, rank: u8, until: Millis);

    /// Returns the demand for shared capacity.
    fn demand(&self, now: Millis) -> Vec<LeaseDemand>;

    /// Takes a capacity lease that holds until `until`.
    fn grant(&mut self, now: Millis, resource: &Resource, units: u32, until: Millis);

    /// Counts work that waits, by rank.
    fn waiting(&self) -> Vec<u32>;
}

/// One thing that a policy wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// Dispatch the work.
    Start {
        /// The work.
        id: WorkId,
        /// Where to.
        endpoint: EndpointId,
    },
    /// Refuse work that waits.
    Refuse {
        /// The work.
        id: WorkId,
        /// The reason.
        code: Code,
        /// When to come back.
        after: Millis,
    },
    /// Cancel work on its endpoint for more urgent work; it may run again if time is left.
    Cancel {
        /// The work.
        id: WorkId,
    },
}

/// How work left its endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Finish {
    /// Its answer is whole.
    Complete {
        /// Tokens generated, as far as known.
        output: u32,
    },
    /// It could not be connected, so nothing was sent.
    Unreachable,
    /// The endpoint broke off or took too long.
    Broken,
    /// It was cancelled.
    Cancelled,
}

/// An endpoint as configured.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointSpec {
    /// Its name.
    pub id: EndpointId,
    /// Its data centre.
    pub centre: DataCentre,
    /// One-way delay to it in milliseconds.
    pub distance: Millis,
    /// Models or services it offers.
    pub targets: Vec<ModelId>,
    /// The most requests to have on it at once, over all instances.
    pub slots: u32,
    /// Expected speed in tokens a second for one request, before anything is learned.
    pub speed: u32,
    /// Expected prompt speed in tokens a second.
    pub prefill: u32,
}

/// A preset as the policy sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct PresetSpec {
    /// Its name.
    pub name: String,
    /// Weights by tier rank.
    pub tiers: Vec<TierWeights>,
    /// How much wasted prefill weighs against goodput, from 0 to 1.
    pub prefill_weight: f64,
    /// The most that any share may shift a second, in parts of 1 (`0.1` is a tenth).
    pub shift: f64,
    /// The most requests that may wait in one daemon.
    pub queue: u32,
}

/// What a preset says of one tier.
#[derive(Debug, Clone, PartialEq)]
pub struct TierWeights {
    /// Share of endpoint slots kept free for this tier and those above, in parts of 1.
    pub reserve: f64,
    /// Whether the tier is let in at all.
    pub open: bool,
}

/// An endpoint's own report of its load.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LoadReport {
    /// How old the report is, in milliseconds.
    pub age: Millis,
    /// Requests running.
    pub running: u32,
    /// Requests waiting inside the endpoint.
    pub waiting: u32,
}

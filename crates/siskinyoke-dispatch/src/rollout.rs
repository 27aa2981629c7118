//! Canary rollout of a new version of a service's endpoints, with automatic rollback.
//!
//! New endpoints start beside the old ones and would immediately get an even share of the traffic.
//! If their version failed or were slow, a large share of all requests would be lost before an
//! operator noticed.
//!
//! Every instance applies the same rules to the state in the store, which tells which version is
//! being rolled out and what the outcome is. A canary share of the requests is sent to the new
//! version, and its responses are compared with those of the stable version in the same period.
//! There is no coordinator: the instance that has enough evidence writes the outcome, on the
//! condition that the status and the order in the store are still those that it knows. At most one
//! outcome can therefore be written.

mod analysis;
mod order;
mod response_sample;
mod response_tally;
mod slice_counts;
mod status;

use std::sync::Arc;

use crate::Endpoint;
use crate::latency_model::millis_from_f64;
use crate::latency_model::millis_to_f64;
use crate::report::CanaryReport;
use crate::report::CanarySlices;
use crate::report::short_hash;
use crate::report::short_revision;
use siskinyoke_base::Millis;
use siskinyoke_base::Revision;

pub use self::order::Order;
pub use self::response_sample::ResponseSample;
pub use self::response_tally::ResponseTally;
pub use self::status::State;
pub use self::status::Status;

/// The canary share, relative to the operators' limit on the exposure of a version under
/// evaluation.
const CANARY_EXPOSURE_RATIO: f64 = 0.5;

/// The point in an order's duration at which traffic starts to shift to the new version, unless
/// that has failed the evaluation.
const RAMP_START_RATIO: f64 = 0.55;

/// The point in an order's duration at which all traffic has shifted.
///
/// Traffic shifts gradually because some versions are bad only under load.
const RAMP_END_RATIO: f64 = 0.75;

/// The maximum share of the requests that are sent to the new version during the ramp.
///
/// The others go to the stable version, to keep its responses for comparison.
const MAX_RAMP_RATIO: f64 = 0.8;

/// The point in an order's duration at which the rollout completes.
///
/// Old endpoints then stop without draining, so the requests that they still run need the time
/// until this point to finish.
const COMPLETION_RATIO: f64 = 0.93;

/// The number of endpoints to which an instance sends the canary share.
///
/// They are few, so that their load is as high as after the rollout, but more than one, so that a
/// single faulty endpoint does not fail the version.
const CANARY_ENDPOINTS: usize = 2;

/// The minimum ratio of the new version's slots to the stable version's slots for traffic to shift.
const MIN_SLOTS_RATIO: f64 = 0.5;

/// How long old endpoints are excluded after the rollout has completed.
///
/// Their entries are gone by then. Endpoints of any version that start later do so because the
/// operators chose to start them.
const SETTLE_TIME: Millis = Millis::from_secs(20);

/// The length of the slices of time in which responses of both versions are compared.
///
/// A slowdown that affects both versions begins within one slice, and a slice holds several
/// responses of the stable version on a route under load.
const SLICE_LENGTH: Millis = Millis::from_secs(1);

/// The delay between the shards whose instances may write a status, in order of their numbers.
const WRITE_STAGGER: Millis = Millis(250);

/// How long an order may be missing after the store came back from a copy.
///
/// Operators write again what the store has lost, within about two seconds.
const RESTORE_GRACE: Millis = Millis(4_000);

/// Which versions a service's traffic goes to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// To the stable version, with a canary share to a few endpoints of the new one.
    Trial,
    /// To both versions, with an increasing share to the new one.
    Ramp,
    /// To the new version; the rollout has not completed yet.
    Moved,
    /// To the new version only; the rollout has completed.
    Completed,
    /// To all versions except the new one.
    RolledBack,
    /// To all endpoints: the rollout completed some time ago.
    Settled,
}

impl Phase {
    /// Returns the name used in log events.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Trial => "trial",
            Self::Ramp => "ramp",
            Self::Moved => "moved",
            Self::Completed => "completed",
            Self::RolledBack => "rolled_back",
            Self::Settled => "settled",
        }
    }
}

/// Which of its service's requests an endpoint gets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointRole {
    /// All requests.
    Serving,
    /// The requests that are selected for the new version.
    Canary,
    /// None.
    Excluded,
}

/// The rollout of one service, as seen by this instance.
#[derive(Debug)]
pub struct Rollout {
    order: Order,
    status: Option<Status>,
    // When the order was placed, by the estimates of this instance and its peers.
    placed_at: Millis,
    // Versions of earlier orders whose rollout never completed.
    excluded_versions: Vec<Arc<str>>,
    // Whether endpoints of another version were present during this rollout.
    stable_seen: bool,
    // The slots of the new version's endpoints and those of the others.
    slots: [u32; 2],
    // Whether the new version failed the evaluation here or at a peer, or the order was withdrawn.
    failed: bool,
    // Whether the operators withdrew the order.
    withdrawn: bool,
    // When the order counts as withdrawn unless it is written again, after the return of the store
    // from a copy.
    expires: Option<Millis>,
    // The final state that the store had before it came back from a copy.
    decided_state: Option<State>,
    // When this instance learned the outcome.
    decided_at: Option<Millis>,
    // Requests that may be sent to the new version, including fractions.
    canary_credit: f64,
    tally: ResponseTally,
    phase: Phase,
}

impl Rollout {
    /// Starts a rollout that replaces `previous`; `initial_credit` is a random fraction of a
    /// request, from 0 to 1.
    ///
    /// Each instance applies the canary share to its own requests and starts with a random fraction
    /// of a request. Over all instances the share is therefore kept, whatever the size of the fleet
    /// and however often instances restart.
    pub fn begin(now: Millis, order: Order, previous: Option<Self>, initial_credit: f64) -> Self {
        let mut excluded_versions = Vec::new();
        if let Some(previous) = previous {
            excluded_versions = previous.excluded_versions;
            if !matches!(previous.phase, Phase::Completed | Phase::Settled) {
                excluded_versions.push(previous.order.version);
            }
        }
        excluded_versions.retain(|it| *it != order.version);
        Self {
            order,
            status: None,
            placed_at: now,
            excluded_versions,
            stable_seen: false,
            slots: [0, 0],
            failed: false,
            withdrawn: false,
            expires: None,
            decided_state: None,
            decided_at: None,
            canary_credit: initial_credit,
            tally: ResponseTally::default(),
            phase: Phase::Trial,
        }
    }

    /// Returns the order.
    pub fn order(&self) -> &Order {
        &self.order
    }

    /// Returns the current phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns the store revision of the known status, zero if there is none.
    pub fn status_revision(&self) -> Revision {
        self.status
            .as_ref()
            .map_or(Revision::ZERO, |it| it.revision)
    }

    /// Returns the store revision of the order, zero if it was withdrawn.
    pub fn order_revision(&self) -> Revision {
        if self.withdrawn {
            Revision::ZERO
        } else {
            self.order.revision
        }
    }

    /// Records that the store came back from an earlier copy: the order may be missing until the
    /// operator has written it again, and the status is lost unless the copy has it.
    ///
    /// What was decided stays so, and is written to the store again.
    pub fn mark_restored(&mut self, now: Millis) {
        if self.is_decided() {
            self.decided_state = self.current_state();
        } else if !self.withdrawn {
            self.expires.get_or_insert(now + RESTORE_GRACE);
        }
        self.status = None;
    }

    /// Adopts the revision of an order from an earlier copy of the store, and returns whether it is
    /// this order.
    ///
    /// An order that was withdrawn since the copy was made stays withdrawn.
    pub fn adopt(&mut self, order: &Order) -> bool {
        let same = order.revision.era > self.order.revision.era
            && order.version == self.order.version
            && order.duration == self.order.duration;
        if same {
            self.order.revision = order.revision;
            self.expires = None;
        }
        same
    }

    /// Sets the status that the store holds. A status of an earlier order has no effect on this
    /// one.
    pub fn set_status(&mut self, status: Status) {
        self.status = Some(status);
    }

    /// Updates the slots of both versions from the service's endpoints.
    pub fn update_slots<'a>(&mut self, endpoints: impl Iterator<Item = &'a Endpoint>) {
        self.slots = [0, 0];
        for endpoint in endpoints {
            let new = endpoint.version == self.order.version;
            if !new && self.excluded_versions.contains(&endpoint.version) {
                continue;
            }
            self.stable_seen |= !new;
            let slots = &mut self.slots[usize::from(!new)];
            *slots = slots.saturating_add(endpoint.slots);
        }
    }

    /// Withdraws the order: the new version gets no more requests.
    pub fn withdraw(&mut self) {
        self.failed = true;
        self.withdrawn = true;
    }

    /// Records what a peer knows of the rollout.
    pub fn record_report(&mut self, now: Millis, report: &CanaryReport) {
        if report.order != short_revision(self.order.revision) {
            return;
        }
        // The peer that has known the order for the longest time is closest to when it was placed.
        self.placed_at = self.placed_at.min(now.since(Millis(report.age)));
        self.failed |= report.failed;
    }

    /// Records the responses that a peer of the same shard has counted.
    pub fn record_slices(&mut self, now: Millis, incarnation: u64, slices: &CanarySlices) {
        if slices.order != short_revision(self.order.revision) || !self.is_comparing() {
            return;
        }
        let current = self.slice_number(now);
        if self.tally.receive(current, incarnation, &slices.rows) {
            self.evaluate();
        }
    }

    /// Returns the report for peers.
    pub fn canary_report(&self, now: Millis) -> CanaryReport {
        CanaryReport {
            service: short_hash(&self.order.service),
            order: short_revision(self.order.revision),
            age: now.since(self.placed_at).0,
            failed: self.failed,
            samples: Vec::new(),
        }
    }

    /// Returns the responses that this instance has counted, for peers of the same shard.
    pub fn canary_slices(&self, now: Millis) -> CanarySlices {
        CanarySlices {
            service: short_hash(&self.order.service),
            order: short_revision(self.order.revision),
            rows: self.tally.rows(self.slice_number(now)),
        }
    }

    /// Returns whether there is anything to report to peers.
    ///
    /// Until the rollout has an outcome, a process that starts learns from peers when the order was
    /// placed.
    pub fn has_report(&self) -> bool {
        !self.is_decided() && self.phase != Phase::Settled
    }

    /// Counts a request and returns whether it is sent to the new version; `max_exposure` is the
    /// maximum share of requests that a version under evaluation may get.
    pub fn select_canary(&mut self, now: Millis, max_exposure: f64) -> bool {
        if !matches!(self.phase, Phase::Trial | Phase::Ramp) || self.slots[0] == 0 {
            return false;
        }
        let share = self.new_version_share(now, max_exposure * CANARY_EXPOSURE_RATIO);
        self.canary_credit = (self.canary_credit + share).min(2.0);
        if self.canary_credit < 1.0 {
            return false;
        }
        self.canary_credit -= 1.0;
        true
    }

    /// Returns whether responses are compared, which is the case while both versions get requests.
    pub fn is_comparing(&self) -> bool {
        matches!(self.phase, Phase::Trial | Phase::Ramp)
    }

    /// Records a response.
    pub fn record_response(&mut self, now: Millis, sample: ResponseSample) {
        if !self.is_comparing() {
            return;
        }
        self.tally.add(self.slice_number(now), sample);
        if sample.new && sample.bad {
            self.evaluate();
        }
    }

    /// Returns which requests an endpoint gets.
    pub fn role(&self, endpoint: &Endpoint) -> EndpointRole {
        let new = endpoint.version == self.order.version;
        if !new && self.excluded_versions.contains(&endpoint.version) {
            return EndpointRole::Excluded;
        }
        match (self.phase, new) {
            (Phase::Trial | Phase::Ramp, true) => EndpointRole::Canary,
            (Phase::Moved | Phase::Completed, false) => EndpointRole::Excluded,
            // If no other version was seen, the ordered version is the stable one.
            (Phase::RolledBack, true) if self.stable_seen => EndpointRole::Excluded,
            _ => EndpointRole::Serving,
        }
    }

    /// Returns the maximum number of the new version's endpoints that get requests.
    pub fn max_canaries(&self) -> usize {
        if self.phase == Phase::Trial {
            CANARY_ENDPOINTS
        } else {
            usize::MAX
        }
    }

    /// Updates the phase and returns whether it changed.
    pub fn advance(&mut self, now: Millis) -> bool {
        if self.expires.is_some_and(|at| at <= now) {
            self.expires = None;
            self.withdraw();
        }
        let phase = self.next_phase(now);
        if matches!(phase, Phase::Completed | Phase::RolledBack) {
            self.decided_at.get_or_insert(now);
        }
        let changed = phase != self.phase;
        self.phase = phase;
        changed
    }

    /// Returns the state that an instance of this shard should write to the store.
    pub fn due_state(&self, now: Millis, shard: usize) -> Option<State> {
        if is_final(self.stored_state()) {
            return None;
        }
        let stagger = Millis(WRITE_STAGGER.0 * u64::try_from(shard).unwrap_or(0));
        let age = now.since(self.placed_at).since(stagger);
        if self.decided_state.is_some() {
            return self.decided_state;
        }
        if self.failed {
            return Some(State::RolledBack);
        }
        if self.phase == Phase::Moved && age >= self.part_of_duration(COMPLETION_RATIO) {
            return Some(State::Completed);
        }
        // The endpoints of the new version never started, or too few of them did.
        if self.phase != Phase::Moved && age >= self.order.duration {
            return Some(State::RolledBack);
        }
        let running = self.current_state().is_some();
        (!running && age > Millis::ZERO).then_some(State::Running)
    }

    fn next_phase(&self, now: Millis) -> Phase {
        match self.current_state() {
            _ if self.phase == Phase::Settled => return Phase::Settled,
            Some(State::Completed) => return self.completed_phase(now),
            Some(State::RolledBack) => return Phase::RolledBack,
            Some(State::Running) | None => {}
        }
        if self.failed {
            return Phase::RolledBack;
        }
        // An order for the version that is already in use changes nothing.
        if !self.stable_seen {
            return Phase::Moved;
        }
        let age = now.since(self.placed_at);
        let [new, stable] = self.slots.map(f64::from);
        if new < stable * MIN_SLOTS_RATIO || age < self.part_of_duration(RAMP_START_RATIO) {
            return Phase::Trial;
        }
        if age < self.part_of_duration(RAMP_END_RATIO) {
            Phase::Ramp
        } else {
            Phase::Moved
        }
    }

    fn completed_phase(&self, now: Millis) -> Phase {
        if self
            .decided_at
            .is_some_and(|it| now.since(it) >= SETTLE_TIME)
        {
            Phase::Settled
        } else {
            Phase::Completed
        }
    }

    // Returns the share of the requests that is sent to the new version.
    fn new_version_share(&self, now: Millis, canary_share: f64) -> f64 {
        if self.phase == Phase::Trial {
            return canary_share;
        }
        let [begin, end] =
            [RAMP_START_RATIO, RAMP_END_RATIO].map(|it| millis_to_f64(self.part_of_duration(it)));
        let age = millis_to_f64(now.since(self.placed_at));
        ((age - begin) / (end - begin)).clamp(canary_share, MAX_RAMP_RATIO)
    }

    // Returns the state of this order as last known, even if the store has lost it since.
    fn current_state(&self) -> Option<State> {
        self.decided_state.or_else(|| self.stored_state())
    }

    // Returns the state of this order in the store, as far as known.
    fn stored_state(&self) -> Option<State> {
        let status = self.status.as_ref()?;
        let is_current =
            status.revision > self.order.revision && status.version == self.order.version;
        is_current.then_some(status.state)
    }

    fn is_decided(&self) -> bool {
        is_final(self.current_state())
    }

    fn part_of_duration(&self, ratio: f64) -> Millis {
        millis_from_f64(millis_to_f64(self.order.duration) * ratio)
    }

    // Returns the number of the current slice of time. The instances of a shard agree on it, as they
    // agree on when the order was placed.
    fn slice_number(&self, now: Millis) -> u32 {
        u32::try_from(now.since(self.placed_at).0 / SLICE_LENGTH.0).unwrap_or(u32::MAX)
    }

    fn evaluate(&mut self) {
        if !self.failed && self.stable_seen && self.is_comparing() && !self.is_decided() {
            self.failed = self.tally.is_worse();
        }
    }
}

fn is_final(state: Option<State>) -> bool {
    matches!(state, Some(State::Completed | State::RolledBack))
}

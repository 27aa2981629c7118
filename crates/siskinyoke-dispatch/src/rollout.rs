//! Moves a service's traffic to endpoints of another version, and back if that version is bad.
//!
//! The load: new endpoints start beside the old ones and would get their even part of the traffic at once. If
//! their version fails or is slow, a large part of all requests is lost before anybody notices.
//!
//! Every instance decides by the same rules from what the store says: which version is on trial, and what the
//! outcome is. A canary share of the requests goes to the version on trial; its answers are compared with those
//! of the standing version at the same time. There is no coordinator: whoever sees enough evidence writes the
//! outcome under a condition on the status and the order that it knows, so that no two outcomes can stand.

mod analysis;
mod order;
mod status;

use std::sync::Arc;

use crate::Endpoint;
use crate::latency_model::millis_from_f64;
use crate::latency_model::millis_to_f64;
use crate::report::CanaryReport;
use crate::report::short_hash;
use siskinyoke_base::Map;
use siskinyoke_base::Millis;

pub use self::analysis::ResponseSample;
pub use self::analysis::ResponseTally;
pub use self::order::Order;
pub use self::status::State;
pub use self::status::Status;

/// The part of the operators' bound on exposure that the canary share takes.
const EXPOSURE_RATIO: f64 = 0.5;

/// The part of an order's time after which traffic begins to move to the new version, unless that is bad.
const RAMP_START_RATIO: f64 = 0.55;

/// The part of an order's time after which all traffic has moved.
///
/// It moves by and by, as some versions are bad under load only.
const RAMP_END_RATIO: f64 = 0.75;

/// The part of the requests that is drawn for the new version at the most.
///
/// The others go to the standing version, whose answers of the same time the new ones are compared with.
const MAX_NEW_RATIO: f64 = 0.8;

/// The part of an order's time after which the new version is in force.
///
/// Old endpoints stop without draining then; until then what they run can end.
const COMPLETION_RATIO: f64 = 0.93;

/// Endpoints to which an instance sends the canary share.
///
/// Few, so that they are loaded as they will be; more than one, so that one that fails does not condemn all.
const CANARY_ENDPOINTS: usize = 2;

/// The part of the standing endpoints' slots that those of the new version must have for traffic to move.
const MIN_SLOTS_RATIO: f64 = 0.5;

/// How long old endpoints are left out after the new version is in force.
///
/// By then their entries are gone. Endpoints of any version that start later are of the operators' choice.
const SETTLE_TIME: Millis = Millis::from_secs(20);

/// How long what a peer saw counts after its report; it fades at the peer, and only while that is heard.
const PEER_REPORT_TTL: Millis = Millis(1_000);

/// How long an instance waits for the one whose turn it is to write, by its own position in turn.
const WRITE_STAGGER: Millis = Millis(250);

/// Where the traffic of a service goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// To the standing version, and a canary share to a few endpoints of the new one.
    Trial,
    /// To both, by and by more to the new one.
    Ramp,
    /// To the new version, which is not yet in force.
    Moved,
    /// To the new version alone.
    Completed,
    /// To all versions but the new one.
    RolledBack,
    /// To whatever there is: the new version has been in force for long.
    Settled,
}

impl Phase {
    /// Returns the word for log lines.
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

/// What an endpoint may get of its service's requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointRole {
    /// All that comes.
    Serving,
    /// What is drawn for the new version.
    Canary,
    /// Nothing.
    Excluded,
}

/// The rollout of one service, as this instance sees it.
#[derive(Debug)]
pub struct Rollout {
    order: Order,
    status: Option<Status>,
    // When the order was placed, as far as this instance and its peers know.
    started: Millis,
    // Versions that were ordered before and never came into force.
    excluded_versions: Vec<Arc<str>>,
    // Whether endpoints of another version were there while the order stood.
    stable_seen: bool,
    // Slots of the endpoints of the new version and of the others.
    slots: [u32; 2],
    // Whether this instance or one of its peers found the new version to be bad, or the order was withdrawn.
    failed: bool,
    // Whether the operators took the order away.
    withdrawn: bool,
    // When the outcome was first known here.
    decided_at: Option<Millis>,
    // Requests that may go to the new version, with fractions.
    canary_credit: f64,
    tally: ResponseTally,
    // What peers saw, and when they said so.
    peer_reports: Map<u64, (Millis, CanaryReport)>,
    phase: Phase,
}

impl Rollout {
    /// Begins a rollout; `before` is the one that it replaces, and `draw` an even number from 0 to 1.
    ///
    /// Each instance counts the canary share of its own requests, beginning with a random fraction: over all
    /// instances the share holds, whatever the size of the fleet and however often they restart.
    pub fn begin(now: Millis, order: Order, before: Option<Self>, draw: f64) -> Self {
        let mut excluded_versions = Vec::new();
        if let Some(before) = before {
            excluded_versions = before.excluded_versions;
            if !matches!(before.phase, Phase::Completed | Phase::Settled) {
                excluded_versions.push(before.order.version);
            }
        }
        excluded_versions.retain(|it| *it != order.version);
        Self {
            order,
            status: None,
            started: now,
            excluded_versions,
            stable_seen: false,
            slots: [0, 0],
            failed: false,
            withdrawn: false,
            decided_at: None,
            canary_credit: draw,
            tally: ResponseTally::default(),
            peer_reports: Map::default(),
            phase: Phase::Trial,
        }
    }

    /// Returns the order.
    pub fn order(&self) -> &Order {
        &self.order
    }

    /// Returns where the traffic goes.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns the revision of the status that is known, 0 for none.
    pub fn status_revision(&self) -> u64 {
        self.status.as_ref().map_or(0, |it| it.revision)
    }

    /// Returns the revision that the order has in the store, 0 once it was withdrawn.
    pub fn order_revision(&self) -> u64 {
        if self.withdrawn {
            0
        } else {
            self.order.revision
        }
    }

    /// Takes in the status that the store holds; one of an earlier order says nothing of this one.
    pub fn set_status(&mut self, status: Status) {
        self.status = Some(status);
    }

    /// Takes note of the service's endpoints.
    pub fn update_slots<'a>(&mut self, endpoints: impl Iterator<Item = &'a Endpoint>) {
        self.slots = [0, 0];
        for endpoint in endpoints {
            let new = endpoint.version == self.order.version;
            if !new && self.excluded_versions.contains(&endpoint.version) {
                continue;
            }
            self.stable_seen |= !new;
            self.slots[usize::from(!new)] += endpoint.slots;
        }
    }

    /// Takes note that the operators withdrew the order: the new version gets nothing more.
    pub fn withdraw(&mut self) {
        self.failed = true;
        self.withdrawn = true;
    }

    /// Takes in what a peer says of its own answers; those of another `shard` are not counted here.
    pub fn record_report(&mut self, now: Millis, source: u64, canary: &CanaryReport, shard: bool) {
        if canary.order != self.order.revision {
            return;
        }
        // The peer that has known the order for longest is nearest to the truth.
        self.started = self.started.min(now.since(Millis(canary.age)));
        self.failed |= canary.failed;
        if shard {
            self.peer_reports.insert(source, (now, canary.clone()));
            self.evaluate(now);
        }
    }

    /// Returns what peers are told.
    pub fn canary_report(&self, now: Millis) -> CanaryReport {
        CanaryReport {
            service: short_hash(&self.order.service),
            order: self.order.revision,
            age: now.since(self.started).0,
            failed: self.failed,
            samples: self.tally.rows(now),
        }
    }

    /// Returns whether peers have something to hear.
    pub fn has_report(&self) -> bool {
        self.is_comparing() || (self.failed && !self.is_decided())
    }

    /// Counts a request, and returns whether it is for the new version; `bound` is the largest part of
    /// requests that one on trial may get.
    pub fn select_canary(&mut self, now: Millis, bound: f64) -> bool {
        if !matches!(self.phase, Phase::Trial | Phase::Ramp) || self.slots[0] == 0 {
            return false;
        }
        self.canary_credit =
            (self.canary_credit + self.new_version_share(now, bound * EXPOSURE_RATIO)).min(2.0);
        if self.canary_credit < 1.0 {
            return false;
        }
        self.canary_credit -= 1.0;
        true
    }

    /// Returns whether answers are compared: while both versions answer.
    pub fn is_comparing(&self) -> bool {
        matches!(self.phase, Phase::Trial | Phase::Ramp)
    }

    /// Takes note of an answer, good or bad, of a route.
    pub fn record_response(&mut self, now: Millis, sample: ResponseSample) {
        if self.is_comparing() {
            self.tally.add(now, sample);
            self.evaluate(now);
        }
    }

    /// Returns what an endpoint may get.
    pub fn role(&self, endpoint: &Endpoint) -> EndpointRole {
        let new = endpoint.version == self.order.version;
        if !new && self.excluded_versions.contains(&endpoint.version) {
            return EndpointRole::Excluded;
        }
        match (self.phase, new) {
            (Phase::Trial | Phase::Ramp, true) => EndpointRole::Canary,
            (Phase::Moved | Phase::Completed, false) => EndpointRole::Excluded,
            // Where no other version may be used, the ordered one was standing before.
            (Phase::RolledBack, true) if self.stable_seen => EndpointRole::Excluded,
            _ => EndpointRole::Serving,
        }
    }

    /// Returns how many endpoints of the new version share what is drawn for it.
    pub fn max_canaries(&self) -> usize {
        if self.phase == Phase::Trial {
            CANARY_ENDPOINTS
        } else {
            usize::MAX
        }
    }

    /// Works out where the traffic goes now, and returns whether that changed.
    pub fn advance(&mut self, now: Millis) -> bool {
        let phase = self.next_phase(now);
        if matches!(phase, Phase::Completed | Phase::RolledBack) {
            self.decided_at.get_or_insert(now);
        }
        let changed = phase != self.phase;
        self.phase = phase;
        changed
    }

    /// Returns the state that is to be written, by an instance of this position in turn.
    pub fn due_state(&self, now: Millis, position: usize) -> Option<State> {
        if self.is_decided() {
            return None;
        }
        let position = Millis(WRITE_STAGGER.0 * u64::try_from(position).unwrap_or(0));
        let age = now.since(self.started).since(position);
        if self.failed {
            return Some(State::RolledBack);
        }
        if self.phase == Phase::Moved && age >= self.part_of_duration(COMPLETION_RATIO) {
            return Some(State::Completed);
        }
        // Its endpoints never came, or too few of them.
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
        // An order for the version that is in force changes nothing.
        if !self.stable_seen {
            return Phase::Moved;
        }
        let age = now.since(self.started);
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

    // The part of the requests that is drawn for the new version.
    fn new_version_share(&self, now: Millis, canary: f64) -> f64 {
        if self.phase == Phase::Trial {
            return canary;
        }
        let [begin, end] =
            [RAMP_START_RATIO, RAMP_END_RATIO].map(|it| millis_to_f64(self.part_of_duration(it)));
        let age = millis_to_f64(now.since(self.started));
        ((age - begin) / (end - begin)).clamp(canary, MAX_NEW_RATIO)
    }

    // The state of this order, as far as the store tells.
    fn current_state(&self) -> Option<State> {
        let status = self.status.as_ref()?;
        let ours = status.revision > self.order.revision && status.version == self.order.version;
        ours.then_some(status.state)
    }

    fn is_decided(&self) -> bool {
        matches!(
            self.current_state(),
            Some(State::Completed | State::RolledBack)
        )
    }

    fn part_of_duration(&self, ratio: f64) -> Millis {
        millis_from_f64(millis_to_f64(self.order.duration) * ratio)
    }

    fn evaluate(&mut self, now: Millis) {
        if self.failed || !self.stable_seen || !self.is_comparing() || self.is_decided() {
            return;
        }
        let own = self.tally.rows(now);
        let reports = self.peer_reports.values();
        let reports = reports.filter(|it| now.since(it.0) <= PEER_REPORT_TTL);
        let reports = reports.flat_map(|it| &it.1.samples);
        self.failed = analysis::is_worse(own.iter().chain(reports));
    }
}

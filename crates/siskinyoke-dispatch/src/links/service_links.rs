//! Whether this instance's links to the endpoints of one service work.

use std::sync::Arc;

use super::LinkChange;
use crate::Endpoint;
use crate::EndpointKey;
use siskinyoke_base::Millis;

/// The number of endpoints probed when links are in doubt; if none responds, the links are lost.
///
/// A few endpoints may have crashed together.
const DOUBT_PROBES: usize = 3;

/// How long links are not doubted again after a probe got through.
const DOUBT_INTERVAL: Millis = Millis(500);

/// The interval of probes while links are lost.
const RETURN_PROBE_INTERVAL: Millis = Millis(250);

/// The number of endpoints that have to respond in a row before lost links count as restored.
///
/// If single packets get through, one response is not enough to send all requests over the links.
const RETURN_PROBES: usize = 2;

/// How long a probe may take before it counts as failed even if its end was not recorded.
const PROBE_EXPIRY: Millis = Millis(2_000);

#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
enum State {
    #[default]
    Intact,
    Doubted(Millis),
    Lost(Millis),
}

/// Whether this instance's links to the endpoints of one service work.
#[derive(Debug, Default)]
pub(super) struct ServiceLinks {
    state: State,
    // The endpoint whose failure raised the doubt; it is probed last.
    doubtful: Option<EndpointKey>,
    last_response: Option<Millis>,
    // When a probe last got through while the links were in doubt.
    confirmed_at: Option<Millis>,
    // The first failure after that which raised no doubt, as a probe had just got through.
    unprobed_failure: Option<Millis>,
    // Probes sent and not ended, and when the last of them was sent.
    pending: usize,
    probed_at: Option<Millis>,
    // Responses to probes in a row since the links were lost.
    responses: usize,
    // The number of probes since the links were lost, which rotates through the endpoints.
    rotation: usize,
    // Whether it is known since then that no peer has links either.
    shared_loss: bool,
}

impl ServiceLinks {
    pub(super) fn is_lost(&self) -> bool {
        matches!(self.state, State::Lost(_))
    }

    pub(super) fn is_intact(&self) -> bool {
        self.state == State::Intact
    }

    pub(super) fn doubted_since(&self) -> Option<Millis> {
        match self.state {
            State::Doubted(since) => Some(since),
            State::Intact | State::Lost(_) => None,
        }
    }

    /// Records that no peer has links to the service either, and returns whether that is new.
    pub(super) fn record_shared_loss(&mut self) -> bool {
        let is_new = self.is_lost() && !self.shared_loss;
        self.shared_loss |= is_new;
        is_new
    }

    pub(super) fn responded_since(&self, sent_at: Millis) -> bool {
        self.last_response.is_some_and(|at| at > sent_at)
    }

    pub(super) fn record_response(&mut self, now: Millis) {
        self.last_response = Some(now);
    }

    /// Puts the links in doubt, unless a probe has got through recently.
    pub(super) fn doubt(&mut self, now: Millis, endpoint: Option<EndpointKey>) {
        let confirmed = self
            .confirmed_at
            .is_some_and(|at| now.since(at) < DOUBT_INTERVAL);
        if !self.is_intact() {
            return;
        }
        if confirmed {
            self.unprobed_failure.get_or_insert(now);
            return;
        }
        let earliest = now.since(DOUBT_INTERVAL);
        let unprobed = self.unprobed_failure.take();
        self.state = State::Doubted(unprobed.map_or(now, |at| at.max(earliest)));
        self.doubtful = endpoint;
        self.pending = 0;
        self.probed_at = None;
    }

    pub(super) fn due_probes(
        &mut self,
        now: Millis,
        endpoints: &[Arc<Endpoint>],
    ) -> Vec<Arc<Endpoint>> {
        if self.pending > 0 && !self.probes_expired(now) {
            return Vec::new();
        }
        let due = match self.state {
            State::Intact => Vec::new(),
            State::Doubted(_) => self.doubt_probes(endpoints),
            State::Lost(_) => self.return_probe(now, endpoints),
        };
        if due.is_empty() && matches!(self.state, State::Doubted(_)) {
            self.state = State::Intact;
        }
        if !due.is_empty() {
            self.pending = due.len();
            self.probed_at = Some(now);
        }
        due
    }

    pub(super) fn probe_ended(&mut self, now: Millis, responded: bool) -> Option<LinkChange> {
        self.pending = self.pending.saturating_sub(1);
        match self.state {
            State::Intact => None,
            State::Doubted(_) if responded => {
                self.state = State::Intact;
                self.confirmed_at = Some(now);
                self.unprobed_failure = None;
                None
            }
            State::Doubted(_) if self.pending > 0 => None,
            State::Doubted(since) => {
                self.state = State::Lost(now);
                self.responses = 0;
                self.shared_loss = false;
                Some(LinkChange::Lost(since))
            }
            State::Lost(since) => self.return_probe_ended(now, since, responded),
        }
    }

    fn return_probe_ended(
        &mut self,
        now: Millis,
        since: Millis,
        responded: bool,
    ) -> Option<LinkChange> {
        if !responded {
            self.responses = 0;
            return None;
        }
        self.responses += 1;
        if self.responses < RETURN_PROBES {
            return None;
        }
        self.state = State::Intact;
        self.confirmed_at = Some(now);
        Some(LinkChange::Restored(now.since(since)))
    }

    fn doubt_probes(&self, endpoints: &[Arc<Endpoint>]) -> Vec<Arc<Endpoint>> {
        let is_doubtful = |it: &&Arc<Endpoint>| Some(it.key()) == self.doubtful;
        let others = endpoints.iter().filter(|it| !is_doubtful(it));
        let last = endpoints.iter().filter(is_doubtful);
        others.chain(last).take(DOUBT_PROBES).cloned().collect()
    }

    // Returns the next endpoint in turn; after a response, the one after it follows at once.
    fn return_probe(&mut self, now: Millis, endpoints: &[Arc<Endpoint>]) -> Vec<Arc<Endpoint>> {
        let interval_over = self
            .probed_at
            .is_none_or(|at| now.since(at) >= RETURN_PROBE_INTERVAL);
        if endpoints.is_empty() || !(interval_over || self.responses > 0) {
            return Vec::new();
        }
        self.rotation += 1;
        vec![endpoints[self.rotation % endpoints.len()].clone()]
    }

    fn probes_expired(&self, now: Millis) -> bool {
        self.probed_at
            .is_some_and(|at| now.since(at) >= PROBE_EXPIRY)
    }
}

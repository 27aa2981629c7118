//! What is known of one content.

use super::Digest;
use super::Verdict;
use siskinyoke_base::EndpointId;
use siskinyoke_base::InstanceId;
use siskinyoke_base::Millis;
use siskinyoke_base::message::Suspect;

/// How long a convicted content is refused: long enough for its caller's resends to end and for
/// operators to look, short enough that a wrong conviction does not outlast a lesson.
pub const REFUSED_SPAN: Millis = Millis::from_secs(1_800);

/// How long a death is held against a content after which nothing more was seen of it.
pub const SUSPECT_SPAN: Millis = Millis::from_secs(600);

/// Two deaths of an endpoint told by different instances within this span are one: all learn of
/// a death within seconds, and an engine needs longer to load its model again.
const SAME_DEATH: Millis = Millis::from_secs(10);

/// How long a run apart keeps other copies waiting: above the usual answer, and short enough
/// that a run that ended untold, as when its instance died, holds nobody back for long.
const TRIAL_SPAN: Millis = Millis::from_secs(30);

/// Time between the announcement of a run apart and its begin, in milliseconds.
///
/// Guards against two instances that choose one endpoint for two suspects at the same moment: a
/// crash there would convict both. Within it the news has gone both ways between data centres.
const NOTICE: Millis = Millis(100);

/// How long an announcement stands without a begin.
const ANNOUNCED_SPAN: Millis = Millis::from_secs(2);

/// Deaths that convict.
const CONVICTING: usize = 2;

/// The record of one content.
#[derive(Debug, Default)]
pub struct Entry {
    deaths: Vec<Death>,
    cleared: Option<Millis>,
    own: Option<Trial>,
    other: Option<OtherTrial>,
    refused: Option<Millis>,
    telling: Option<Telling>,
}

#[derive(Debug)]
struct Death {
    endpoint: EndpointId,
    at: Millis,
}

/// This instance's run apart.
#[derive(Debug)]
struct Trial {
    endpoint: EndpointId,
    at: Millis,
    stage: Stage,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// It is announced and has not begun.
    Announced,
    /// It is under way.
    Begun,
    /// It broke off, and why is not known yet.
    Broken,
}

/// A peer's run apart.
#[derive(Debug)]
struct OtherTrial {
    peer: InstanceId,
    endpoint: EndpointId,
    until: Millis,
}

#[derive(Debug)]
struct Telling {
    due: Millis,
    count: u8,
}

impl Entry {
    /// Adds a death that this instance saw itself.
    pub fn died(&mut self, now: Millis, endpoint: &EndpointId) {
        self.add(endpoint, now);
    }

    /// Merges what a peer knows; the same news twice changes nothing.
    pub fn heard(&mut self, now: Millis, peer: &InstanceId, suspect: &Suspect) {
        let cleared = suspect.cleared.map(|age| now.since(age));
        // A death told again after the content was cleared must not make it suspect again.
        self.cleared = self.cleared.max(cleared);
        if self.refused.is_none_or(|until| now >= until) {
            let mark = self.cleared;
            self.deaths.retain(|death| Some(death.at) > mark);
        }
        for (endpoint, age) in &suspect.deaths {
            self.add(endpoint, now.since(*age));
        }
        let same = |other: &mut OtherTrial| other.peer == *peer || suspect.cleared.is_some();
        self.other.take_if(same);
        if let Some((endpoint, age)) = &suspect.trial {
            self.other = Some(OtherTrial {
                peer: peer.clone(),
                endpoint: endpoint.clone(),
                until: now.since(*age) + TRIAL_SPAN,
            });
        }
    }

    /// Clears the content, as it ran to its end; returns false if it is convicted.
    pub fn clear(&mut self, now: Millis) -> bool {
        if self.refused.is_some_and(|until| now < until) {
            return false;
        }
        self.deaths.clear();
        self.cleared = Some(now);
        self.other = None;
        true
    }

    /// Says what is to be done with the content.
    pub fn verdict(&self, now: Millis) -> Verdict {
        if let Some(until) = self.refused.filter(|until| now < *until) {
            return Verdict::Refused {
                after: until.since(now),
            };
        }
        // Guards against copies sent through several instances: each would take down an endpoint
        // of its own before the first one's death is known.
        if let Some(until) = self.waits(now) {
            return Verdict::Wait { until };
        }
        if self.deaths.iter().any(|death| self.counts(now, death)) {
            return Verdict::Apart;
        }
        Verdict::Free
    }

    /// Announces a run apart on an endpoint.
    pub fn announce(&mut self, now: Millis, endpoint: &EndpointId) {
        self.own = Some(Trial {
            endpoint: endpoint.clone(),
            at: now,
            stage: Stage::Announced,
        });
        self.tell(now);
    }

    /// Begins the run apart on the endpoint for which it was announced, if that was long enough
    /// ago; returns false if it was not.
    pub fn begin(&mut self, now: Millis, endpoint: &EndpointId) -> bool {
        let due = |own: &&mut Trial| own.endpoint == *endpoint && now >= own.at + NOTICE;
        let Some(own) = self.own.as_mut().filter(due) else {
            return false;
        };
        own.stage = Stage::Begun;
        true
    }

    /// Returns the endpoint for which a run apart is announced.
    pub fn announced(&self) -> Option<&EndpointId> {
        let own = self.own.as_ref()?;
        (own.stage == Stage::Announced).then_some(&own.endpoint)
    }

    /// Drops an announcement, as a peer's comes first or nothing came of it.
    pub fn withdraw(&mut self, now: Millis) {
        if self.announced().is_some() {
            self.own = None;
            self.tell(now);
        }
    }

    /// Drops an announcement from which nothing came in time.
    pub fn lapse(&mut self, now: Millis) {
        if self
            .own
            .as_ref()
            .is_some_and(|own| now >= own.at + ANNOUNCED_SPAN)
        {
            self.withdraw(now);
        }
    }

    /// Learns that the run apart broke off.
    pub fn broke(&mut self) {
        if let Some(own) = &mut self.own {
            own.stage = Stage::Broken;
        }
    }

    /// Ends this instance's run apart.
    pub fn end(&mut self, now: Millis) {
        if self.own.take().is_some() {
            self.tell(now);
        }
    }

    /// Tells whether a run apart takes an endpoint, here or at a peer.
    pub fn occupies(&self, now: Millis, endpoint: &EndpointId) -> bool {
        let own = self.own.as_ref().is_some_and(|own| {
            own.endpoint == *endpoint && own.stage != Stage::Broken && now < own.at + TRIAL_SPAN
        });
        let at = |other: &OtherTrial| other.endpoint == *endpoint && now < other.until;
        own || self.other.as_ref().is_some_and(at)
    }

    /// Returns the endpoints that died with it.
    pub fn endpoints(&self) -> Vec<EndpointId> {
        let all = self.deaths.iter();
        all.map(|death| death.endpoint.clone()).collect()
    }

    /// Asks for the record to be told to all peers.
    pub fn tell(&mut self, now: Millis) {
        self.telling = Some(Telling { due: now, count: 0 });
    }

    /// Tells whether the record is to be sent now.
    pub fn due(&self, now: Millis) -> bool {
        self.next().is_some_and(|due| now >= due)
    }

    /// Returns when the record is to be sent next.
    pub fn next(&self) -> Option<Millis> {
        self.telling.as_ref().map(|telling| telling.due)
    }

    /// Notes that the record was sent.
    pub fn told(&mut self, now: Millis, gap: Millis, most: u8) {
        let Some(telling) = &mut self.telling else {
            return;
        };
        telling.count += 1;
        telling.due = now + gap;
        if telling.count >= most {
            self.telling = None;
        }
    }

    /// Returns the record as peers are told it, with ages in place of points in time.
    pub fn suspect(&self, now: Millis, digest: Digest) -> Suspect {
        let deaths = self.deaths.iter();
        Suspect {
            digest,
            deaths: deaths
                .map(|death| (death.endpoint.clone(), now.since(death.at)))
                .collect(),
            cleared: self.cleared.map(|at| now.since(at)),
            trial: self
                .own
                .as_ref()
                .map(|own| (own.endpoint.clone(), now.since(own.at))),
        }
    }

    /// Tells whether nothing of the record matters any more.
    pub fn expired(&self, now: Millis) -> bool {
        let fresh = |at: Millis| now.since(at) < SUSPECT_SPAN;
        self.telling.is_none()
            && self.verdict(now) == Verdict::Free
            && !self.cleared.is_some_and(fresh)
    }

    /// Orders records by how much their loss would cost, the least first.
    pub fn weight(&self, now: Millis) -> (bool, Millis) {
        let refused = self.refused.is_some_and(|until| now < until);
        let last = self.deaths.iter().map(|death| death.at).max();
        (refused, last.unwrap_or_default())
    }

    /// Returns until when another run apart of the content is waited for.
    fn waits(&self, now: Millis) -> Option<Millis> {
        let other = self.other.as_ref().map(|other| other.until);
        let until = match &self.own {
            // Of two announcements one was withdrawn; this one stands.
            Some(own) if own.stage == Stage::Announced => return None,
            Some(own) => Some(own.at + TRIAL_SPAN).max(other),
            None => other,
        };
        until.filter(|until| now < *until)
    }

    fn add(&mut self, endpoint: &EndpointId, at: Millis) {
        let same = |death: &Death| {
            death.endpoint == *endpoint && death.at.since(at).max(at.since(death.at)) <= SAME_DEATH
        };
        if Some(at) <= self.cleared || self.deaths.iter().any(same) {
            return;
        }
        let endpoint = endpoint.clone();
        self.deaths.push(Death { endpoint, at });
        self.deaths.sort_by_key(|death| death.at);
        let [.., first, last] = self.deaths.as_slice() else {
            return;
        };
        if !self.counts(last.at, first) {
            return;
        }
        self.refused = Some(last.at + REFUSED_SPAN).max(self.refused);
        let excess = self.deaths.len() - CONVICTING;
        self.deaths.drain(..excess);
    }

    /// Tells whether a death still counts at a time.
    ///
    /// After a refusal the content is suspect once more: a poisoned one that is still being sent
    /// then takes down one endpoint before it is refused again, not two.
    fn counts(&self, at: Millis, death: &Death) -> bool {
        let from = self.refused.unwrap_or(death.at).max(death.at);
        at.since(from) < SUSPECT_SPAN
    }
}

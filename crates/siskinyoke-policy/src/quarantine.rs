//! Quarantine of requests that crash the endpoints they run on.
//!
//! The load it answers: one content that crashes each endpoint, sent again by its caller under
//! new identities through any instance. Without it the content takes down the pool, one endpoint
//! a sending.

mod breaks;
mod entry;

use std::collections::BTreeMap;

use breaks::Breaks;
use entry::Entry;

use siskinyoke_base::CallClass;
use siskinyoke_base::EndpointId;
use siskinyoke_base::InstanceId;
use siskinyoke_base::Millis;
use siskinyoke_base::message::Suspect;

/// The digest of a content, from `CallHead::digest`.
pub type Digest = [u8; 32];

/// The most contents remembered: sixteen deaths of endpoints with 256 requests each, about 1 MB.
pub const MAX_ENTRIES: usize = 4096;

/// How often each piece of news is sent, as a message between instances may be lost.
const TELLINGS: u8 = 3;

/// Time between two sendings of one piece of news, in milliseconds; longer than a short cut.
const TELL_GAP: Millis = Millis(1_500);

/// How soon to ask again about a content whose second break is not explained yet; the tries to
/// connect that explain it are this far apart.
const PROOF_GAP: Millis = Millis(200);

/// The age of the run that a warning tells of: peers wait for half a minute from its beginning,
/// so this leaves the three seconds within which the cause of a break is found or given up.
pub const WARNED: Millis = Millis::from_secs(27);

/// What is to be done with a content.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing is known against it.
    Free,
    /// It may run, but on an endpoint where no other suspect runs, and with few others.
    Apart,
    /// Another copy of it runs apart: ask again when news comes, or at this time.
    Wait {
        /// When the other copy is no longer waited for.
        until: Millis,
    },
    /// It is refused.
    Refused {
        /// When to come back.
        after: Millis,
    },
}

/// A request that was on an endpoint when its process died.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InFlight {
    /// Digest of its content.
    pub digest: Digest,
    /// How often it may be dispatched.
    pub class: CallClass,
}

/// Remembers which contents may crash endpoints.
///
/// One death makes everything in flight suspect, a second one convicts only what was in flight
/// in both and did not run to its end in between. So an endpoint that dies for a reason of its
/// own costs its requests a run apart, and nothing more.
#[derive(Debug)]
pub struct Quarantine {
    me: InstanceId,
    entries: BTreeMap<Digest, Entry>,
    breaks: Breaks,
}

impl Quarantine {
    /// Starts with nothing known.
    pub fn new(me: InstanceId) -> Self {
        Self {
            me,
            entries: BTreeMap::new(),
            breaks: Breaks::default(),
        }
    }

    /// Learns that a dispatch broke off; whether the process died is known only later.
    pub fn broke(&mut self, now: Millis, endpoint: &EndpointId, request: InFlight) {
        // The run apart is over, but its content stays held until the cause is known: a copy that
        // began now would take down a third endpoint.
        if let Some(entry) = self.entries.get_mut(&request.digest) {
            entry.broke();
        }
        self.breaks.broke(now, endpoint, request);
    }

    /// Learns that an endpoint's host refused a connection: nothing listens there.
    ///
    /// Returns what may run again apart, if this shows that the process died.
    pub fn refused(&mut self, now: Millis, endpoint: &EndpointId) -> Vec<Digest> {
        let Some(requests) = self.breaks.refused(now, endpoint) else {
            return Vec::new();
        };
        self.endpoint_died(now, endpoint, &requests)
    }

    /// Learns that a connection to an endpoint was accepted.
    ///
    /// Returns what may run again apart, if this shows a process that died and came back.
    pub fn reached(&mut self, now: Millis, endpoint: &EndpointId) -> Vec<Digest> {
        let Some((requests, died)) = self.breaks.reached(now, endpoint) else {
            return Vec::new();
        };
        if died {
            return self.endpoint_died(now, endpoint, &requests);
        }
        for request in requests {
            self.end_trial(now, &request.digest);
        }
        Vec::new()
    }

    /// Returns the endpoints to which a connection should be tried now, to learn why they broke.
    pub fn probes(&self, now: Millis) -> Vec<EndpointId> {
        self.breaks.probes(now)
    }

    /// Learns that an endpoint's process died, and what was in flight on it.
    ///
    /// Returns the contents that may run again, apart; at-most-once work is never among them.
    pub fn endpoint_died(
        &mut self,
        now: Millis,
        endpoint: &EndpointId,
        requests: &[InFlight],
    ) -> Vec<Digest> {
        let mut again = Vec::new();
        for request in requests {
            self.end_trial(now, &request.digest);
            let entry = self.entries.entry(request.digest).or_default();
            entry.died(now, endpoint);
            entry.tell(now);
            if request.class == CallClass::Idempotent && !again.contains(&request.digest) {
                again.push(request.digest);
            }
        }
        again.retain(|digest| !matches!(self.verdict(now, digest), Verdict::Refused { .. }));
        self.bound(now);
        again
    }

    /// Learns that a content ran to its end, which clears it unless it is convicted.
    pub fn completed(&mut self, now: Millis, digest: &Digest) {
        self.end_trial(now, digest);
        self.breaks.forget(digest);
        let Some(entry) = self.entries.get_mut(digest) else {
            return;
        };
        if entry.clear(now) {
            entry.tell(now);
        }
    }

    /// Says what is to be done with a content.
    pub fn verdict(&self, now: Millis, digest: &Digest) -> Verdict {
        let known = self.entries.get(digest).map(|entry| entry.verdict(now));
        match known.unwrap_or(Verdict::Free) {
            // Guards the time between a break and the proof of its cause: a resend that came in
            // it would run among others, and a second crash would take all of them along.
            Verdict::Free if self.breaks.holds(now, digest) => Verdict::Apart,
            // Guards the time between the proofs of two deaths: the run apart ended with the
            // second one, and the first proof would let the content go on to a third endpoint.
            Verdict::Apart if self.breaks.holds(now, digest) => Verdict::Wait {
                until: now + PROOF_GAP,
            },
            verdict => verdict,
        }
    }

    /// Begins to run a suspect apart; returns false if it must not run on this endpoint now.
    ///
    /// The first call announces the run to the peers, and a later one begins it. Guards against two
    /// suspects on one endpoint: a crash would convict both, and one of them is innocent. One at a
    /// time for each endpoint, so many suspects spread over all endpoints.
    pub fn begin(&mut self, now: Millis, digest: &Digest, endpoint: &EndpointId) -> bool {
        if self.verdict(now, digest) != Verdict::Apart {
            return false;
        }
        if self.announced(digest) == Some(endpoint) {
            let entry = self.entries.get_mut(digest);
            return entry.is_some_and(|entry| entry.begin(now, endpoint));
        }
        let taken = |entry: &Entry| entry.occupies(now, endpoint);
        if !self.entries.values().any(taken) {
            let entry = self.entries.entry(*digest).or_default();
            entry.announce(now, endpoint);
        }
        false
    }

    /// Returns the endpoint for which a run apart of the content is announced.
    pub fn announced(&self, digest: &Digest) -> Option<&EndpointId> {
        self.entries.get(digest).and_then(Entry::announced)
    }

    /// Learns that a run apart ended without telling anything, as when it was cancelled.
    pub fn ended(&mut self, now: Millis, digest: &Digest) {
        self.end_trial(now, digest);
    }

    /// Returns the endpoints that a content is known to have died on; it should avoid them.
    pub fn avoid(&self, digest: &Digest) -> Vec<EndpointId> {
        self.entries
            .get(digest)
            .map_or_else(Vec::new, Entry::endpoints)
    }

    /// Takes news from a peer.
    pub fn heard(&mut self, now: Millis, peer: &InstanceId, suspects: &[Suspect]) {
        for suspect in suspects {
            let entry = self.entries.entry(suspect.digest).or_default();
            entry.heard(now, peer, suspect);
            if let Some((endpoint, _)) = &suspect.trial
                && *peer < self.me
            {
                self.give_way(now, &suspect.digest, endpoint);
            }
        }
        self.bound(now);
    }

    /// Returns the news to send to all peers now; empty if there is none.
    pub fn news(&mut self, now: Millis) -> Vec<Suspect> {
        let breaks = &self.breaks;
        let due = self.entries.iter_mut().filter(|(_, entry)| entry.due(now));
        due.map(|(digest, entry)| {
            entry.told(now, TELL_GAP, TELLINGS);
            let suspect = entry.suspect(now, *digest);
            warned(suspect, breaks.open(digest))
        })
        .collect()
    }

    /// Returns all that is known, for a peer that has just started.
    pub fn snapshot(&self, now: Millis) -> Vec<Suspect> {
        let all = self.entries.iter();
        all.map(|(digest, entry)| {
            let suspect = entry.suspect(now, *digest);
            warned(suspect, self.breaks.open(digest))
        })
        .collect()
    }

    /// Forgets what has expired, and returns when [`Quarantine::news`] is next due.
    pub fn tick(&mut self, now: Millis) -> Millis {
        self.breaks.expire(now);
        for entry in self.entries.values_mut() {
            entry.lapse(now);
        }
        self.entries.retain(|_, entry| !entry.expired(now));
        let due = self.entries.values().filter_map(Entry::next);
        due.min().unwrap_or(Millis::NEVER)
    }

    /// Counts the contents remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Tells whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Withdraws what is announced here of a content or for an endpoint, as a peer of an earlier
    /// name has announced the same; it keeps its own when it hears of this one's.
    fn give_way(&mut self, now: Millis, digest: &Digest, endpoint: &EndpointId) {
        for (own, entry) in &mut self.entries {
            if own == digest || entry.announced() == Some(endpoint) {
                entry.withdraw(now);
            }
        }
    }

    fn end_trial(&mut self, now: Millis, digest: &Digest) {
        if let Some(entry) = self.entries.get_mut(digest) {
            entry.end(now);
        }
    }

    /// Keeps the memory bounded: convicted contents go last, among the others the oldest first.
    fn bound(&mut self, now: Millis) {
        if self.entries.len() <= MAX_ENTRIES {
            return;
        }
        self.entries.retain(|_, entry| !entry.expired(now));
        // An eighth more than needed, so that a flood does not sort all of them for each arrival.
        let excess = self
            .entries
            .len()
            .saturating_sub(MAX_ENTRIES - MAX_ENTRIES / 8);
        let mut order: Vec<_> = self
            .entries
            .iter()
            .map(|(digest, entry)| (entry.weight(now), *digest))
            .collect();
        order.sort_unstable();
        for (_, digest) in order.into_iter().take(excess) {
            self.entries.remove(&digest);
        }
    }
}

/// Asks peers to wait with a content whose last break is not explained yet.
///
/// Guards against the news of a first death that takes back the warning of the second one: a peer
/// would find nothing under way and let the content take down a third endpoint, in the quarter of
/// a second until the second death is proved.
fn warned(suspect: Suspect, open: Option<&EndpointId>) -> Suspect {
    let warning = open.map(|endpoint| (endpoint.clone(), WARNED));
    Suspect {
        trial: suspect.trial.or(warning),
        ..suspect
    }
}

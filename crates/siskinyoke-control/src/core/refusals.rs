//! The refusals lately given to peers, so that none of them is taken back.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use super::job::Listener;
use siskinyoke_base::Millis;
use siskinyoke_base::message::End;

/// How long a refusal is remembered; a peer asks again only until it has the end, and what it
/// sent before arrives within seconds.
const KEPT: Millis = Millis::from_secs(10);

/// The most that one look adds to the time: a process that stood still for longer finds what was
/// sent to it meanwhile in its sockets, so that time does not count.
const LOOK: Millis = Millis(500);

/// Ends of kind not-run that were given to peers.
///
/// Guards against the run of a request after its caller was told that it never would: a peer that
/// hears nothing asks again, the owner wakes with all of its askings, refuses the first one as
/// late, and would take the next one in as new.
#[derive(Debug, Default)]
pub struct Refusals {
    ends: BTreeMap<Listener, End>,
    order: VecDeque<(Millis, Listener)>,
    awake: Millis,
    seen: Millis,
}

impl Refusals {
    /// Notes a refusal.
    pub fn note(&mut self, listener: &Listener, end: &End) {
        if self.ends.insert(listener.clone(), end.clone()).is_none() {
            let expiry = self.awake + KEPT;
            self.order.push_back((expiry, listener.clone()));
        }
    }

    /// Finds the refusal that a peer was given.
    pub fn get(&self, listener: &Listener) -> Option<&End> {
        self.ends.get(listener)
    }

    /// Forgets old refusals.
    pub fn expire(&mut self, now: Millis) {
        self.awake += now.since(self.seen).min(LOOK);
        self.seen = now;
        while let Some((expiry, listener)) = self.order.front() {
            if *expiry > self.awake {
                return;
            }
            self.ends.remove(listener);
            self.order.pop_front();
        }
    }
}

//! When this daemon last heard from anybody who could tell it what is in force.

use siskinyoke_base::Millis;

/// How long a daemon that hears from nobody goes on taking new work.
///
/// A change is to be in force everywhere within seconds, so a daemon that may have missed one
/// stops within seconds too. Heartbeats come several times a second; ten seconds of silence from
/// all peers and the service are no hiccup.
const CURRENT_LIMIT: Millis = Millis::from_secs(10);

/// When this daemon last heard from the service or a peer.
#[derive(Debug, Default)]
pub struct Contact {
    last: Millis,
    peers: bool,
}

impl Contact {
    /// Notes that the service answered.
    pub fn service(&mut self, now: Millis) {
        self.last = self.last.max(now);
    }

    /// Notes that a peer was heard.
    pub fn peer(&mut self, now: Millis) {
        self.last = self.last.max(now);
        self.peers = true;
    }

    /// Returns when anybody was last heard.
    pub fn last(&self) -> Millis {
        self.last
    }

    /// Tells whether this daemon can know what is in force.
    ///
    /// Guards against a daemon that is cut off alone: its callers still reach it, while the
    /// operators have put another preset in force or removed a leaked key, and it would go on
    /// serving by the old one. A daemon that has never heard a peer may be the only one there
    /// is, and then an outage of the service means that no change can have been accepted.
    pub fn is_current(&self, now: Millis) -> bool {
        !self.peers || now.since(self.last) < CURRENT_LIMIT
    }
}

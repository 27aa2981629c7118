//! How far a daemon doubts itself before it doubts others.

use siskinyoke_base::Millis;

/// The most doubt; probe limits grow to this many times the usual and one more.
const MOST_DOUBT: u32 = 8;

/// A daemon's view of its own health, after Lifeguard.
#[derive(Debug, Default)]
pub struct Health {
    doubt: u32,
    peer: Option<Millis>,
    platform: Option<Millis>,
}

impl Health {
    /// Notes that a peer was heard.
    pub fn heard_peer(&mut self, now: Millis) {
        self.peer = Some(now);
    }

    /// Notes that the platform answered.
    pub fn heard_platform(&mut self, now: Millis) {
        self.platform = Some(now);
    }

    /// Notes a probe that was answered.
    pub fn trust_more(&mut self) {
        self.doubt = self.doubt.saturating_sub(1);
    }

    /// Notes a probe that was not answered, or a suspicion of this daemon.
    pub fn doubt_more(&mut self) {
        self.doubt = (self.doubt + 1).min(MOST_DOUBT);
    }

    /// Stretches a span by the doubt.
    pub fn stretch(&self, span: Millis) -> Millis {
        Millis(span.0 * u64::from(self.doubt + 1))
    }

    /// Returns how long neither a peer nor the platform was heard.
    pub fn lonely(&self, now: Millis) -> Millis {
        let heard = self.peer.max(self.platform);
        now.since(heard.unwrap_or_default())
    }
}

//! Easing a failing or frozen endpoint out, and back in by probation.
//!
//! Load pattern: an endpoint dies or freezes while it looks idle. Without this it draws work at
//! the speed at which it fails it, as its slots are always free. After a failure it is left
//! alone for a while; then one request at a time proves it, and each success doubles its room.

use siskinyoke_base::Millis;

/// First span out of use: about one load report's lag, so a blip costs little.
const FIRST_OUT: Millis = Millis(500);

/// Longest span out of use: a mended endpoint is back within it.
const LONGEST_OUT: Millis = Millis::from_secs(8);

/// Room while on probation begins with one request, and is full again after five successes.
const PROVEN: u32 = 5;

/// Failures in a row that take an endpoint out: one request may crash on its own account, but
/// two in a row with nothing between are rarely by chance.
const TOLERATED: u32 = 2;

/// Whether an endpoint may be used, and how much.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Health {
    failures: u32,
    outs: u32,
    until: Millis,
    proofs: u32,
    sign: Millis,
}

impl Health {
    /// Starts healthy.
    pub(crate) fn new(now: Millis) -> Self {
        Self {
            failures: 0,
            outs: 0,
            until: Millis::ZERO,
            proofs: PROVEN,
            sign: now,
        }
    }

    /// Returns how much of `limit` may be used now.
    pub(crate) fn room(&self, now: Millis, limit: u32) -> u32 {
        if now < self.until {
            return 0;
        }
        if self.proofs >= PROVEN {
            return limit;
        }
        limit.min(1 << self.proofs)
    }

    /// Tells whether it is out of use or on probation.
    pub(crate) fn doubtful(&self, now: Millis) -> bool {
        now < self.until || self.proofs < PROVEN
    }

    /// Returns when the endpoint last gave a sign of life.
    pub(crate) fn sign(&self) -> Millis {
        self.sign
    }

    /// Learns of a sign of life.
    pub(crate) fn alive(&mut self, now: Millis) {
        self.sign = now;
    }

    /// Learns of a whole answer.
    pub(crate) fn succeed(&mut self, now: Millis) {
        self.sign = now;
        self.failures = 0;
        if self.proofs < PROVEN {
            self.proofs += 1;
        } else {
            self.outs = 0;
        }
    }

    /// Learns of a failure.
    pub(crate) fn fail(&mut self, now: Millis) {
        self.failures += 1;
        if self.failures >= TOLERATED || self.proofs < PROVEN {
            self.expel(now);
        }
    }

    /// Takes the endpoint out of use for a while; longer each time.
    pub(crate) fn expel(&mut self, now: Millis) {
        if now < self.until {
            return;
        }
        let span = Millis(FIRST_OUT.0 << self.outs.min(8)).min(LONGEST_OUT);
        self.until = now + span;
        self.outs += 1;
        self.proofs = 0;
        self.failures = 0;
        self.sign = self.until;
    }
}

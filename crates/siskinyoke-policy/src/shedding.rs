//! What the daemons have agreed on about shedding: the admission threshold and its answer.
//!
//! Load pattern: protected work is about to miss its need on one daemon while others serve lower
//! tiers. Without a threshold over all of them it would be shed while lower work is served.

use siskinyoke_base::Millis;

/// How long after protected work was shed the pressure stands. Without it the threshold would be
/// lifted by the very refusals that it allowed, lower work would come in, and protected work
/// would have to wait for it again.
const PRESSED: Millis = Millis::from_secs(1);

/// Thresholds as this daemon knows them.
#[derive(Debug, Default)]
pub(crate) struct Shedding {
    threshold: Option<u8>,
    allowed: Option<(u8, Millis)>,
    shed: Option<(u8, Millis)>,
}

impl Shedding {
    /// Sets or lifts the threshold.
    pub(crate) fn set_threshold(&mut self, rank: Option<u8>) {
        self.threshold = rank;
    }

    /// Tells whether work of a rank is kept out by the threshold.
    pub(crate) fn bars(&self, rank: u8) -> bool {
        self.threshold.is_some_and(|from| rank >= from)
    }

    /// Learns that nothing later than `rank` is served anywhere, until some time.
    pub(crate) fn allow(&mut self, rank: u8, until: Millis) {
        self.allowed = Some((rank, until));
    }

    /// Tells whether all daemons allow protected work of a rank to be shed.
    pub(crate) fn allows(&self, now: Millis, rank: u8) -> bool {
        self.allowed
            .is_some_and(|(from, until)| rank >= from && now < until)
    }

    /// Notes that protected work of a rank is shed.
    pub(crate) fn note(&mut self, now: Millis, rank: u8) {
        self.shed = Some((rank, now + PRESSED));
    }

    /// Returns the rank of protected work that was shed a moment ago.
    pub(crate) fn noted(&self, now: Millis) -> Option<u8> {
        let (rank, until) = self.shed?;
        (now < until).then_some(rank)
    }
}

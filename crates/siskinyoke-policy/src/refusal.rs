//! Refusals, with an honest time to come back.

use rand::Rng;

use crate::units;
use siskinyoke_base::Code;
use siskinyoke_base::Millis;

/// When to come back where nothing better is known: about a round of thresholds or leases.
const USUAL: Millis = Millis::from_secs(1);

/// The shortest time to come back: sooner the same queue would be met.
const LEAST: Millis = Millis(200);

/// How far times to come back are spread, as a part of them: callers refused by one threshold that
/// all return at one moment are the next burst.
const SPREAD: f64 = 0.25;

/// The longest time to come back: no estimate reaches further than the load of the last minute.
const LONGEST: Millis = Millis::from_secs(30);

/// Times to come back that were told to callers of one tier and target, as places in a line.
///
/// Load pattern: a burst of ten times. If each caller were told when one more would fit, all of
/// them would come back for the one place.
#[derive(Debug, Default)]
pub(crate) struct Place {
    last: Millis,
}

impl Place {
    /// Returns when the next caller should come back: no sooner than `excess`, and `gap` seconds
    /// behind the caller before it.
    pub(crate) fn next(&mut self, now: Millis, excess: Millis, gap: f64) -> Millis {
        let least = now + excess;
        let at = self.last.max(least) + units::millis(gap.min(LONGEST.as_secs()));
        self.last = at.min(now + LONGEST);
        self.last.since(now)
    }
}

/// A refusal that is still to be told.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Refusal {
    /// The reason.
    pub(crate) code: Code,
    after: Millis,
}

impl Refusal {
    /// Makes a refusal without an estimate.
    pub(crate) fn new(code: Code) -> Self {
        Self { code, after: USUAL }
    }

    /// Makes a refusal with an estimate of when there is room.
    pub(crate) fn after(code: Code, after: Millis) -> Self {
        Self {
            code,
            after: after.max(LEAST),
        }
    }

    /// Returns when to come back, spread over the time behind the estimate.
    pub(crate) fn spread(&self, rng: &mut impl Rng) -> Millis {
        let extra = self.after.as_secs() * SPREAD * rng.random::<f64>();
        self.after + units::millis(extra)
    }
}

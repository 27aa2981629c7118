//! Letting in by need: work that cannot finish in time is refused at once.
//!
//! Load pattern: a burst of ten times, or saturation. Without this every request waits until its
//! need has passed, endpoints compute prompts whose answers come too late, and callers learn
//! last of all that they should have gone elsewhere.

/// What work would find if it were let in.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Outlook {
    /// Expected seconds on endpoints of the work that goes first.
    pub(crate) ahead: f64,
    /// Slots that its tier may count on.
    pub(crate) slots: f64,
    /// Expected seconds to a useful answer once it is on an endpoint.
    pub(crate) useful: f64,
    /// Seconds until the answer is no longer useful.
    pub(crate) left: f64,
    /// How much wasted prefill weighs, from 0 to 1.
    pub(crate) caution: f64,
}

/// The least slots that an estimate divides by, so that a wait is long rather than endless.
const LEAST_SLOTS: f64 = 0.05;

/// Error of the wait's estimate that is allowed for when wasted prefill weighs most: a quarter is
/// the spread of service times that stays after they are learned.
const MARGIN: f64 = 0.25;

impl Outlook {
    /// Returns the expected wait in seconds.
    pub(crate) fn wait(&self) -> f64 {
        self.ahead / self.slots.max(LEAST_SLOTS)
    }

    /// Returns by how many seconds it would come too late; none if it fits.
    pub(crate) fn excess(&self) -> f64 {
        let needed = (self.wait() + self.useful) * (1.0 + MARGIN * self.caution);
        (needed - self.left).max(0.0)
    }
}

//! Letting in by need: work that cannot finish in time is refused at once.
//!
//! Load pattern: a burst of ten times, or saturation. Without this every request waits until its
//! need has passed, endpoints compute prompts whose answers come too late, and callers learn
//! last of all that they should have gone elsewhere.

/// What work would find if it were let in.
///
/// A slot is free as often as work on endpoints ends; the work ahead and what more urgent work
/// arrives meanwhile take the first ones. Counting ends rather than seconds of service keeps the
/// estimate right when lengths differ a hundredfold: the many short ones end often.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Outlook {
    /// Requests that go first, and slots that have to be freed.
    pub(crate) ahead: f64,
    /// Requests a second that end on endpoints, as far as its tier may fill their slots.
    pub(crate) ends: f64,
    /// Requests a second that arrive for more urgent tiers.
    pub(crate) above: f64,
    /// Expected seconds to a useful answer once it is on an endpoint.
    pub(crate) useful: f64,
    /// Seconds until the answer is no longer useful.
    pub(crate) left: f64,
    /// How much wasted prefill weighs, from 0 to 1.
    pub(crate) caution: f64,
}

/// The least part of all ends that an estimate leaves to a tier: a burst above fades, and an
/// endless wait would refuse all of a tier on a rate that is half a minute old.
const LEAST_PART: f64 = 0.1;

/// The part of the estimated wait that counts if wasted prefill weighs nothing, and how much more
/// counts if it weighs most. Ends are counted over what runs now; short work let in meanwhile ends
/// itself, so waits turn out about half as long, now and then as long as estimated.
const BOLD: f64 = 0.6;
const CAUTIOUS: f64 = 0.3;

impl Outlook {
    /// Returns the expected wait in seconds.
    pub(crate) fn wait(&self) -> f64 {
        if self.ahead <= 0.0 {
            return 0.0;
        }
        let ends = (self.ends - self.above).max(self.ends * LEAST_PART);
        self.ahead / ends.max(f64::MIN_POSITIVE)
    }

    /// Returns by how many seconds it would come too late; none if it fits.
    pub(crate) fn excess(&self) -> f64 {
        let counted = BOLD + CAUTIOUS * self.caution;
        let needed = self.wait() * counted + self.useful;
        (needed - self.left).max(0.0)
    }
}

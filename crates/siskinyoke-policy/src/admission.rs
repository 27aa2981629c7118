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
    /// How long waits turned out against their estimates.
    pub(crate) trust: f64,
}

/// The least part of all ends that an estimate leaves to a tier: a burst above fades, and an
/// endless wait would refuse all of a tier on a rate that is half a minute old.
const LEAST_PART: f64 = 0.1;

/// Margin on the wait if wasted prefill weighs most: work that is let in and comes too late has
/// its prompt computed for nothing.
const MARGIN: f64 = 0.25;

impl Outlook {
    /// Returns the expected wait in seconds.
    pub(crate) fn wait(&self) -> f64 {
        // Where nothing runs yet nothing is known of ends: a daemon whose share is still zero has
        // its share by the next round of leases, and would otherwise refuse its first requests.
        if self.ahead <= 0.0 || self.ends <= 0.0 {
            return 0.0;
        }
        self.ahead * self.gap()
    }

    /// Returns the seconds between two slots that are free for its tier.
    pub(crate) fn gap(&self) -> f64 {
        let ends = (self.ends - self.above).max(self.ends * LEAST_PART);
        1.0 / ends.max(f64::MIN_POSITIVE)
    }

    /// Returns by how many seconds it would come too late; none if it fits.
    pub(crate) fn excess(&self) -> f64 {
        let counted = self.trust * (1.0 + MARGIN * self.caution);
        let needed = self.wait() * counted + self.useful;
        (needed - self.left).max(0.0)
    }
}

/// Learned ratio of waits to their estimates.
///
/// Ends are counted over what runs now. Short work that is let in meanwhile ends itself, so waits
/// may turn out half as long as estimated, and work would be refused that would have been in time.
#[derive(Debug)]
pub(crate) struct Trust {
    ratio: f64,
}

/// Weight of one wait: some twenty change the view.
const GAIN: f64 = 0.05;

/// Bounds of the ratio, so that a minute without load does not let in a whole burst.
const BOUNDS: (f64, f64) = (0.4, 1.5);

/// Waits estimated below this many seconds teach nothing: rounding makes up most of them.
const LEAST_WAIT: f64 = 0.05;

impl Default for Trust {
    fn default() -> Self {
        Self { ratio: 1.0 }
    }
}

impl Trust {
    /// Returns the ratio.
    pub(crate) fn ratio(&self) -> f64 {
        self.ratio
    }

    /// Learns how long work waited that was expected to wait for `expected` seconds.
    pub(crate) fn learn(&mut self, expected: f64, waited: f64) {
        if expected < LEAST_WAIT {
            return;
        }
        let sample = (waited / expected).clamp(BOUNDS.0, BOUNDS.1);
        self.ratio += GAIN * (sample - self.ratio);
    }
}

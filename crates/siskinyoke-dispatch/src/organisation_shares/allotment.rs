//! The requests of a loud organisation that are within its share.

/// The part of its share for which a loud organisation's requests go before all others' marginal
/// ones.
///
/// The rest leaves some slots to bursts of the organisations that keep to their shares.
const WITHIN_RATIO: f64 = 0.8;

/// The part of a loud organisation's requests that is within its share.
///
/// Requests are divided evenly. If all of them were within the share until it is used up, many
/// would enter that class at once, at all instances.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct Allotment {
    // The part of the requests that is within the share.
    ratio: f64,
    // Slot time for which the next requests are within the share.
    credit: f64,
}

impl Allotment {
    /// Sets the ratio of the share to what the organisation asks for.
    pub(super) fn set_ratio(&mut self, ratio: f64) {
        self.ratio = ratio * WITHIN_RATIO;
    }

    /// Returns whether the next request, which takes this slot time, is within the share.
    pub(super) fn admits(&mut self, time: f64) -> bool {
        self.credit = (self.credit + self.ratio * time).min(2.0 * time);
        let admits = self.credit >= time;
        if admits {
            self.credit -= time;
        }
        admits
    }
}

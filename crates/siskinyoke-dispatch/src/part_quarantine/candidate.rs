//! A part that may have to be quarantined.

use super::CRASHES_TO_QUARANTINE;
use super::MAX_TOLERATED_CRASHES;
use crate::PromptPart;
use crate::crash_list::CrashList;

/// A part that may have to be quarantined.
#[derive(Debug)]
pub(super) struct Candidate {
    pub(super) part: PromptPart,
    pub(super) position: u8,
    /// The crashes that count.
    pub(super) crashes: CrashList,
    /// Whether responses were completed with it before.
    pub(super) was_sound: bool,
}

impl Candidate {
    /// Returns whether crashes suffice to quarantine this part.
    pub(super) fn is_unsound(&self, crashes: &CrashList) -> bool {
        let limit = if self.was_sound {
            MAX_TOLERATED_CRASHES
        } else {
            CRASHES_TO_QUARANTINE
        };
        self.weight(crashes) >= limit
    }

    /// Returns how many crashes count against this part.
    ///
    /// Where endpoints fail together for another reason, most parts that run there were sound
    /// before.
    pub(super) fn weight(&self, crashes: &CrashList) -> usize {
        if self.was_sound {
            crashes.distinct_count()
        } else {
            crashes.weight()
        }
    }

    /// Returns whether this part explains all but a few crashes of another one, and that one does
    /// not explain those of this part. If each explains the other's, it is the later one in the
    /// prompt, which fewer requests share.
    pub(super) fn explains(&self, other: &Self) -> bool {
        let explains_self = self.is_explained_by(&other.crashes);
        other.is_explained_by(&self.crashes) && (!explains_self || self.position > other.position)
    }

    /// Returns whether `crashes` contain all but a few crashes of this part.
    pub(super) fn is_explained_by(&self, crashes: &CrashList) -> bool {
        self.crashes.without(crashes).len() < CRASHES_TO_QUARANTINE
    }
}

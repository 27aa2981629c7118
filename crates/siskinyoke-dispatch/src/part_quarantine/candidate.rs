//! A part that may have to be quarantined.

use super::CRASHES_TO_QUARANTINE;
use super::crash_list::CrashList;
use super::part_record::PartRecord;
use crate::PromptPart;
use siskinyoke_base::Millis;

/// A part that may have to be quarantined.
#[derive(Debug)]
pub(super) struct Candidate {
    pub(super) part: PromptPart,
    pub(super) position: u8,
    pub(super) crashes: CrashList,
}

impl Candidate {
    /// Creates a candidate with the crashes before `end` that count if the links of this instance
    /// are in doubt since `doubt`.
    pub(super) fn new(
        part: PromptPart,
        record: &PartRecord,
        end: Millis,
        doubt: Option<Millis>,
    ) -> Self {
        Self {
            part,
            position: record.position,
            crashes: record.crashes.counted(doubt).before(end),
        }
    }

    /// Returns whether this part explains all but a few crashes of another one, and that one does
    /// not explain those of this part. If each explains the other's, it is the later one in the
    /// prompt, which fewer requests share.
    pub(super) fn explains(&self, other: &Self) -> bool {
        let explained_by = |a: &Self, b: &Self| {
            a.crashes.without(&b.crashes).distinct_count() < CRASHES_TO_QUARANTINE
        };
        explained_by(other, self) && (!explained_by(self, other) || self.position > other.position)
    }
}

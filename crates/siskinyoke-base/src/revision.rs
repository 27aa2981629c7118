//! Revisions of the store.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

/// A revision of the store in one of its histories.
///
/// A store that comes back from an earlier copy gives out the same numbers again, in a later era.
/// Revisions are ordered by era first, so every revision of the new history is later than all of
/// the lost one.
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision {
    /// The era: how often the store has come back from a copy, 0 if it does not say so.
    pub era: u64,
    /// The number that the store gave out; 0 before the first change.
    pub number: u64,
}

impl Revision {
    /// The revision before all others.
    pub const ZERO: Self = Self { era: 0, number: 0 };

    /// Creates a revision.
    pub const fn new(era: u64, number: u64) -> Self {
        Self { era, number }
    }

    /// Returns whether nothing has been read or written at this revision.
    pub const fn is_zero(self) -> bool {
        self.number == 0
    }
}

/// A revision of a store that names no era.
impl From<u64> for Revision {
    fn from(number: u64) -> Self {
        Self::new(0, number)
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.number)
    }
}

impl FromStr for Revision {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (era, number) = text.split_once('.').unwrap_or(("", text));
        Ok(Self::new(era.parse()?, number.parse()?))
    }
}

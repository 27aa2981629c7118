//! The era of the store: which of its histories its responses belong to.

/// The largest step of the era that is plausible. It rises by one with each return from a copy, and
/// an instance may have missed some.
const MAX_STEP: u64 = 1_000;

/// Whether a response of the store can be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EraCheck {
    /// It belongs to the known history.
    Known,
    /// It belongs to a later history, which is known from now on.
    Raised,
    /// It belongs to an earlier history, or its era is implausible.
    Rejected,
}

/// The era of the store, as known from its responses and from peers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StoreEra {
    known: u64,
    // Whether any era has been stated, so that steps can be checked.
    stated: bool,
}

impl StoreEra {
    /// Returns the latest known era.
    pub fn known(self) -> u64 {
        self.known
    }

    /// Checks the era that a response or a peer's report states.
    ///
    /// A response without an era belongs to the latest known history.
    pub fn observe(&mut self, stated: Option<u64>) -> EraCheck {
        let Some(era) = stated else {
            return EraCheck::Known;
        };
        let too_far = self.stated && era - self.known.min(era) > MAX_STEP;
        if era < self.known || too_far {
            return EraCheck::Rejected;
        }
        self.stated = true;
        if era == self.known {
            return EraCheck::Known;
        }
        self.known = era;
        EraCheck::Raised
    }

    /// Begins the next era, where the store states none but its revision has gone back.
    pub fn begin_next(&mut self) {
        self.known += 1;
    }
}

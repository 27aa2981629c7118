//! What became of work that was dispatched and may come back.
//!
//! Without it a second dispatch of at-most-once work would be one lost line away, and work that
//! ran in part and is refused later would be called "not run".

use std::collections::BTreeMap;

use crate::WorkId;
use siskinyoke_base::Code;

/// The most that is remembered; work comes back within seconds of leaving its endpoint, and a
/// daemon of today runs some hundred requests in that time.
const KEPT: usize = 8_192;

/// Work that reached an endpoint and gave no whole answer, with the code that it is to end with.
#[derive(Debug, Default)]
pub(crate) struct History {
    codes: BTreeMap<WorkId, Code>,
}

impl History {
    /// Remembers work.
    pub(crate) fn insert(&mut self, id: WorkId, code: Code) {
        self.codes.insert(id, code);
        if self.codes.len() > KEPT {
            self.codes.pop_first();
        }
    }

    /// Returns the code with which work must end if it is not run again.
    pub(crate) fn get(&self, id: WorkId) -> Option<Code> {
        self.codes.get(&id).copied()
    }

    /// Forgets work whose end has been told.
    pub(crate) fn remove(&mut self, id: WorkId) {
        self.codes.remove(&id);
    }
}

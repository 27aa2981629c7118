//! What passes between the controller and the changes that it carries.

use super::Outcome;
use super::Stored;
use crate::CallId;
use crate::platform::Versioned;

/// What the controller knows, lent to the changes.
#[derive(Debug, Clone, Copy)]
pub struct Known<'a> {
    /// The revision held, whole.
    pub held: Option<&'a Stored>,
    /// The highest revision ever seen.
    pub highest: u64,
}

impl Known<'_> {
    /// Returns the outcome when the service shows an older or another configuration.
    pub fn older(&self, shown: u64) -> Outcome {
        let highest = self.highest;
        Outcome::ServiceOlder { shown, highest }
    }

    /// Returns the revision held.
    pub fn revision(&self) -> u64 {
        self.held.map_or(0, |held| held.manifest.revision)
    }
}

/// Something for the controller to do.
#[derive(Debug)]
pub enum Effect {
    /// The service showed a manifest, or none; `floor` was seen before it was asked.
    Shown {
        /// The highest revision seen when it was asked.
        floor: u64,
        /// What it showed.
        found: Option<Versioned>,
    },
    /// A new revision is accepted.
    Accept(Box<Stored>),
    /// A change or a question about one has its outcome.
    Done(CallId, Outcome),
}

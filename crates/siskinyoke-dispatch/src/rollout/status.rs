//! Status of a rollout, as held by the store.

use std::sync::Arc;

use siskinyoke_base::Revision;

/// The state of a rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// The new version is under evaluation, or traffic is shifting to it.
    Running,
    /// All traffic goes to the new version, and the old endpoints stop at once.
    Completed,
    /// The new version gets no more requests.
    RolledBack,
}

impl State {
    /// Returns the name used in log events.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Running => "running",
            Self::Completed => "completed",
            Self::RolledBack => "rolled_back",
        }
    }
}

/// Status of a rollout, as held by the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// The state.
    pub state: State,
    /// The version of the order.
    pub version: Arc<str>,
    /// The store revision of this status.
    pub revision: Revision,
}

//! How far an order has come, as the store holds it.

use std::sync::Arc;

/// The state of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// The new version is on trial, or traffic is moving to it.
    Running,
    /// The new version is in force; the old endpoints stop at once.
    Completed,
    /// The new version gets nothing more.
    RolledBack,
}

impl State {
    /// Returns the word for log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Running => "running",
            Self::Completed => "completed",
            Self::RolledBack => "rolled_back",
        }
    }
}

/// How far an order has come, as the store holds it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// The state.
    pub state: State,
    /// The version that was ordered.
    pub version: Arc<str>,
    /// The store's revision of this status.
    pub revision: u64,
}

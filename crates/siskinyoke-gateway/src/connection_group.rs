//! Groups of connections that are counted together.

/// Connections that are counted together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ConnectionGroup {
    /// Callers.
    Callers,
    /// Clients of the readiness check, the directory and the metrics.
    Pages,
    /// Peers.
    Peers,
}

impl ConnectionGroup {
    /// The number of groups.
    pub const COUNT: usize = 3;
}

//! Groups of connections that share a limit on their number.

/// Connections that share a limit on their number.
///
/// Each group has a part of the descriptors that the process may open. Together they leave half:
/// a connection to an endpoint for each caller, and others to the store and peers, and files.
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
    pub const GROUP_COUNT: usize = 3;

    /// Returns how many connections may be open, given how many descriptors the process may open.
    pub const fn max_connections(self, descriptors: usize) -> usize {
        match self {
            Self::Callers => descriptors / 4,
            Self::Pages | Self::Peers => descriptors / 8,
        }
    }
}

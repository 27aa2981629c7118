//! What is known of a stream that its caller takes up.

use crate::stream_origin::StreamOrigin;

/// What is known of a stream that its caller takes up.
#[derive(Debug, Clone, Copy)]
pub struct StreamEvidence {
    /// Whether its caller says which stream it is.
    pub named: bool,
    /// What instances know of the version at which it began.
    pub origin: StreamOrigin,
    /// Whether the view of the endpoints includes all that were there when the caller returned.
    pub view_current: bool,
}

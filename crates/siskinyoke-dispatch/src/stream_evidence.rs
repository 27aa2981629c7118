//! What is known of a stream that its caller takes up.

use crate::stream_origin::StreamOrigin;

/// What is known of a stream that its caller takes up.
#[derive(Debug, Clone, Copy)]
pub struct StreamEvidence {
    /// What instances know of the version at which it began; `None` if its caller does not say
    /// which stream it is.
    pub origin: Option<StreamOrigin>,
    /// Whether the view of the endpoints includes all that were there when the caller returned.
    pub view_current: bool,
}

impl StreamEvidence {
    /// Returns whether there is a record of the stream.
    pub fn is_recorded(self) -> bool {
        self.origin.is_some_and(StreamOrigin::is_recorded)
    }
}

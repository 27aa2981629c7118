//! Identifies a stream in every instance.

use serde::Deserialize;
use serde::Serialize;

/// Identifies a stream by its organisation and the request that began it; the same in every
/// instance.
///
/// The organisation is a part of it, so that no caller can refer to the streams of others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StreamKey(pub u64);

impl StreamKey {
    /// Stands for a stream that its caller does not name, of which there is no record.
    pub const UNNAMED_STREAM: Self = Self(0);

    /// Returns the key of the stream that began with a request of an organisation.
    pub fn new(organisation: Option<&str>, request_id: &str) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(organisation.unwrap_or_default().as_bytes());
        // No name contains a line feed, as both are sent in headers.
        hasher.update(b"\n");
        hasher.update(request_id.as_bytes());
        let mut bytes = [0; 8];
        hasher.finalize_xof().fill(&mut bytes);
        Self(u64::from_le_bytes(bytes))
    }
}

//! A question about the version at which a stream began.

use serde::Deserialize;
use serde::Serialize;

use crate::report::short_hash;
use crate::stream_key::StreamKey;
use siskinyoke_base::Millis;

/// By how much the view of the endpoints may lag behind that of another instance.
const VIEW_LAG: Millis = Millis::from_secs(3);

/// A question about the version at which a stream began.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamQuestion {
    /// The stream.
    pub key: StreamKey,
    /// The hash of the name of the service that runs it.
    pub service: u32,
    /// How long ago the stream may have begun, in ms.
    pub max_age: u32,
}

impl StreamQuestion {
    /// Returns the question about a stream of a service whose callers wait this long for a
    /// response.
    pub fn new(key: StreamKey, service: &str, timeout: Millis) -> Self {
        Self {
            key,
            service: short_hash(service),
            max_age: u32::try_from(Self::stream_lifetime(timeout).0).unwrap_or(u32::MAX),
        }
    }

    /// Returns for how long a service must have had a single version for streams that are taken up
    /// to be of that one.
    pub fn stream_lifetime(timeout: Millis) -> Millis {
        timeout + VIEW_LAG
    }
}

//! The response to a locate request.

use serde::Deserialize;

use siskinyoke_base::Millis;

/// The response to a locate request: the addresses of instances to use.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Location {
    /// Addresses of instances, all equally usable.
    pub addresses: Vec<String>,
    /// How long the addresses may be cached.
    #[serde(rename = "keep_ms")]
    pub ttl: Millis,
}

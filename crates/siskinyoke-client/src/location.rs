//! The system's answer to which addresses to use.

use serde::Deserialize;

use siskinyoke_base::Millis;

/// The system's answer to which addresses to use.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Location {
    /// Addresses, any of them.
    pub addresses: Vec<String>,
    /// How long they may be kept.
    #[serde(rename = "keep_ms")]
    pub ttl: Millis,
}

//! The system's answer to which address to use.

use serde::Deserialize;

use siskinyoke_base::Millis;

/// The system's answer to which address to use.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Location {
    /// Addresses, the first to be used.
    pub addresses: Vec<String>,
    /// How long the addresses may be kept.
    #[serde(rename = "address_keep_ms")]
    pub address_keep: Millis,
    /// The ticket that goes with requests.
    pub ticket: String,
    /// How long the ticket may be used.
    #[serde(rename = "ticket_keep_ms")]
    pub ticket_keep: Millis,
    /// The instance that owns the ticket.
    pub instance: String,
    /// The configuration revision in force there.
    pub revision: u64,
}

//! Runtime control of the faults that the stand-in for etcd simulates.

use serde::Deserialize;
use serde::Serialize;

use siskinyoke_base::Millis;

/// The body of `POST /control`; omitted fields keep their current values.
#[derive(Debug, Default, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EtcdControl {
    /// Closes and refuses connections for this many milliseconds; 0 ends the outage.
    pub down: Option<Millis>,
    /// Forwards no data for this many milliseconds while connections stay open; 0 ends the freeze.
    pub freeze: Option<Millis>,
    /// Closes all connections once; new ones are accepted.
    pub cut: bool,
    /// Delays each call by this many milliseconds.
    pub slow: Option<Millis>,
    /// Applies this many writes but closes their connections without a response.
    pub lose_answers: Option<u32>,
    /// Revokes leases before they expire.
    pub lapse: Option<Lapse>,
    /// Takes a snapshot of the contents, which replaces an earlier one.
    pub snapshot: bool,
    /// Replaces the contents by those of the snapshot: revisions go back.
    pub restore: bool,
}

/// The leases to revoke.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Lapse {
    /// All leases.
    All,
    /// The lease with this ID.
    One(i64),
}

/// The active faults other than those of the proxy.
#[derive(Debug, Default)]
pub struct Faults {
    /// The delay of each call.
    pub call_delay: Millis,
    /// Number of further writes whose responses are lost.
    pub lost_responses: u32,
}

//! What the stand-in store can be told to do wrong.

use serde::Deserialize;
use serde::Serialize;

use siskinyoke_base::Millis;

/// Orders to the stand-in store; what is left out stays as it is.
#[derive(Debug, Default, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EtcdControl {
    /// Refuse connections for this many milliseconds; 0 takes them again.
    pub down: Option<Millis>,
    /// Pass nothing on for this many milliseconds while connections stay open; 0 ends it.
    pub freeze: Option<Millis>,
    /// Cut every connection once, and take new ones.
    pub cut: bool,
    /// Wait this many milliseconds before each call.
    pub slow: Option<Millis>,
    /// Let this many writes take effect without giving their answer.
    pub lose_answers: Option<u32>,
    /// End leases before their time.
    pub lapse: Option<Lapse>,
}

/// Which leases end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Lapse {
    /// All of them.
    All,
    /// The one with this name.
    One(i64),
}

/// The faults in force besides those of the gate.
#[derive(Debug, Default)]
pub struct Faults {
    /// The wait before each call.
    pub call_delay: Millis,
    /// Writes still to lose the answers of.
    pub lost_responses: u32,
}

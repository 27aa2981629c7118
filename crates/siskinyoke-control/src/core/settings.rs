//! The bounds that the core works within.

use crate::ledger::LedgerLimits;
use siskinyoke_base::Millis;

/// Bounds that the core works within; the daemon's settings may change them.
#[derive(Debug, Clone)]
pub struct CoreSettings {
    /// How long a ticket may be used.
    ///
    /// Long enough for a lesson's resends, short enough that the ledger of identities that a
    /// ticket can still bring back stays small.
    pub ticket: Millis,
    /// How long a caller may keep an address.
    ///
    /// A leaving instance gets new work for at most this long from callers that honour it.
    pub address: Millis,
    /// The most time that one dispatch may take.
    pub run: Millis,
    /// How long an owner may stay silent before a forwarded request is given up on.
    pub silence: Millis,
    /// The most dispatches of one request of which a first byte may have left.
    pub attempts: usize,
    /// The most dispatches of one request that meet no connection: they cost an endpoint nothing,
    /// and several endpoints may be down at once.
    pub misses: usize,
    /// How long a leaving daemon stays to answer resends after its last answer.
    pub linger: Millis,
    /// How long a leaving daemon tries to bring its charges to safety.
    pub settle: Millis,
    /// Bounds of the ledger.
    pub ledger: LedgerLimits,
}

impl Default for CoreSettings {
    fn default() -> Self {
        Self {
            ticket: Millis::from_secs(600),
            address: Millis::from_secs(5),
            run: Millis::from_secs(300),
            silence: Millis::from_secs(4),
            attempts: 4,
            misses: 12,
            linger: Millis::from_secs(2),
            settle: Millis::from_secs(30),
            ledger: LedgerLimits {
                entries: 100_000,
                bytes: 16 << 20,
            },
        }
    }
}

//! What an instance does before it knows a configuration.
//!
//! The load: all instances stop under full traffic and start again while the store is still silent. Their
//! callers come back at once, each with one retry or two. A request that is rejected then spends a retry on an
//! instance that may be ready a moment later.

use siskinyoke_base::Millis;

/// How long the first reading of the store stays unanswered before it is asked for again on another connection.
///
/// A call that reached a silent store is lost, and the store does not say when it is back.
pub const READ_HEDGE_DELAY: Millis = Millis(200);

/// The most calls of one first reading that are in flight at once.
pub const MAX_PARALLEL_READS: u32 = 5;

/// The part of its caller's time for which a request is held, as a divisor.
///
/// What is left allows for a retry at another instance, and for the answer.
const HOLD_DIVISOR: u64 = 4;

/// The longest time for which a request is held.
const MAX_HOLD: Millis = Millis(1_500);

/// The time for which a request is held whose caller does not say how long it waits.
const DEFAULT_HOLD: Millis = Millis(250);

/// The bounds of the time after which a rejected caller should come back.
pub const MIN_RETRY_AFTER: Millis = Millis(300);
const MAX_RETRY_AFTER: Millis = Millis(2_000);

/// Returns how long a request may be held for the first configuration, from its arrival.
pub fn hold_timeout(deadline: Option<Millis>) -> Millis {
    let part = deadline.map_or(DEFAULT_HOLD, |it| Millis(it.0 / HOLD_DIVISOR));
    part.min(MAX_HOLD)
}

/// Returns when a caller should come back that is rejected by an instance of this age.
///
/// How long the store stays silent is unknown: an outage is expected to last for as long again as it has.
pub fn retry_after(age: Millis) -> Millis {
    age.max(MIN_RETRY_AFTER).min(MAX_RETRY_AFTER)
}

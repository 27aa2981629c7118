//! How an instance behaves before it has received its first configuration.
//!
//! When all instances restart under load while the store does not answer yet, clients reconnect at
//! once and have only one or two retries. A request that is refused immediately uses up a retry on
//! an instance that may be ready a moment later, so requests are held for a short time instead.

use siskinyoke_base::Millis;

/// How long the first read of the store may go unanswered before it is sent again on another
/// connection.
///
/// A call made while the store is unresponsive is lost, and nothing signals that the store is back.
pub const READ_HEDGE_DELAY: Millis = Millis(200);

/// Maximum number of parallel calls for one first read.
pub const MAX_PARALLEL_READS: u32 = 5;

/// A request is held for its timeout divided by this.
///
/// The rest of the time allows for a retry at another instance and for the response.
const HOLD_DIVISOR: u64 = 4;

/// Maximum time a request is held.
const MAX_HOLD: Millis = Millis(1_500);

/// How long a request without a timeout is held.
const DEFAULT_HOLD: Millis = Millis(250);

/// Minimum retry delay sent to refused callers.
pub const MIN_RETRY_AFTER: Millis = Millis(300);

/// Maximum retry delay sent to refused callers.
const MAX_RETRY_AFTER: Millis = Millis(2_000);

/// Returns how long a request may wait for the first configuration, from its arrival.
pub fn hold_timeout(timeout: Option<Millis>) -> Millis {
    let hold = timeout.map_or(DEFAULT_HOLD, |it| Millis(it.0 / HOLD_DIVISOR));
    hold.min(MAX_HOLD)
}

/// Returns the retry delay for callers refused by an instance that has run for `age`.
///
/// The length of a store outage is unknown, so it is assumed to last as long again as it already
/// has.
pub fn retry_after(age: Millis) -> Millis {
    age.max(MIN_RETRY_AFTER).min(MAX_RETRY_AFTER)
}

//! Telling a frozen endpoint from a slow one.
//!
//! Load pattern: an endpoint accepts connections and never answers. Without this its work waits
//! until each need has passed, and its slots look busy for ever. Silence counts only from the last
//! sign of life, so that an endpoint which is merely slow, and answers others, is not taken out.

use crate::endpoint::Expected;
use crate::flight::Flight;
use crate::units;
use siskinyoke_base::Millis;

/// A silent endpoint is given this many times the expected time, and at least a second: batching
/// alone stretches a first piece three times.
const PATIENCE: f64 = 4.0;
const LEAST_PATIENCE: f64 = 1.0;

/// Tells whether work should have given a sign by now, as its endpoint gave none since `sign`.
pub(crate) fn is_overdue(now: Millis, flight: &Flight, usual: Expected, sign: Millis) -> bool {
    let waits_for_first = flight.work.stream && flight.first.is_none();
    let expected = if waits_for_first {
        flight.expected
    } else {
        flight.expected.max(usual.whole)
    };
    let patience = units::millis((expected * PATIENCE).max(LEAST_PATIENCE));
    now >= sign.max(flight.started) + patience
}

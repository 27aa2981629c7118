//! Time without data from an endpoint after which a request counts as stalled.

use crate::latency_model::millis_from_f64;
use crate::latency_model::millis_to_f64;
use siskinyoke_base::Millis;

/// The timeout for the first part, as a multiple of the expected time to it.
///
/// Healthy endpoints seldom take four times the time expected for a request's prompt and those
/// ahead of it.
const STALL_RATIO: f64 = 4.0;

/// The shortest timeout for the first part: shorter stalls come from pauses of a process.
const MIN_STALL_TIMEOUT: Millis = Millis(400);

/// The timeout between two parts of a stream.
///
/// Callers abandon a stream that stalls for two seconds; the remaining second is for another
/// endpoint to take over.
pub const STREAM_STALL_TIMEOUT: Millis = Millis(1_000);

/// The interval at which it is checked whether a stalled request can be moved.
///
/// A slot that becomes free is used within this time; each check looks at all endpoints of the
/// service.
pub const STALL_CHECK_INTERVAL: Millis = Millis(100);

/// Returns how long to wait for the first part of a response that is expected after `expected`.
///
/// A timeout based on the mean of the service instead would abandon endpoints while they process
/// long prompts, and the next endpoint would have to start over.
pub fn first_part_timeout(expected: Millis) -> Millis {
    millis_from_f64(millis_to_f64(expected) * STALL_RATIO).max(MIN_STALL_TIMEOUT)
}

//! When an endpoint's silence means that it failed.

use crate::latency_model::millis_from_f64;
use crate::latency_model::millis_to_f64;
use siskinyoke_base::Millis;

/// How many times the time that a request should take its endpoint may stay silent.
///
/// Sound answers seldom take four times what their own prompt and those before it should.
const STALL_RATIO: f64 = 4.0;

/// The shortest silence that means failure: shorter ones come from pauses of a process.
const MIN_STALL_TIMEOUT: Millis = Millis(400);

/// The silence in the middle of a stream that means failure.
///
/// Callers give a stream up after two seconds; another endpoint needs the rest of that.
pub const STREAM_STALL_TIMEOUT: Millis = Millis(1_000);

/// Returns how long an endpoint may stay silent after a request was sent, of which the first part
/// of an answer is expected after `first`.
///
/// Held against the mean of a service instead, endpoints that read long prompts are given up
/// halfway, and the next one begins anew.
pub fn first_part_timeout(expected: Millis) -> Millis {
    millis_from_f64(millis_to_f64(expected) * STALL_RATIO).max(MIN_STALL_TIMEOUT)
}

//! Exponential decay of recorded values.

use crate::latency_model::millis_to_f64;
use siskinyoke_base::Millis;

/// Returns the part of a value that is left at this age.
pub(crate) fn remaining_ratio(age: Millis, time_constant: Millis) -> f64 {
    (-millis_to_f64(age) / millis_to_f64(time_constant)).exp()
}

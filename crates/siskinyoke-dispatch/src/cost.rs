//! Cost of serving a request at one endpoint.

/// The penalty for a late first part, as a multiple of the mean service time.
const LATE_PENALTY_RATIO: f64 = 3.0;

/// The penalty for stalling every stream of an endpoint while it processes a prompt, as a multiple
/// of the mean service time.
///
/// A long prompt at a slow endpoint makes its streams exceed their gap target; at any other
/// endpoint they would stay within it.
const STALL_PENALTY_RATIO: f64 = 8.0;

/// The penalty for a response that would not complete before its deadline, as a multiple of the
/// mean service time.
const TIMEOUT_PENALTY_RATIO: f64 = 8.0;

/// Cost of serving a request at one endpoint.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Cost {
    /// The expected service time relative to the mean, raised by the penalties for occupancy,
    /// distance and failures of the endpoint.
    pub(crate) relative_time: f64,
    /// Whether the first part would miss the latency target.
    pub(crate) late: bool,
    /// Whether the response would not complete before the request's deadline.
    pub(crate) times_out: bool,
    /// The share of the endpoint's slots whose streams would exceed their gap target.
    pub(crate) stalled_ratio: f64,
}

impl Cost {
    /// Returns the total cost; the endpoint with the lowest is chosen.
    pub(crate) fn total(&self) -> f64 {
        let penalty = |holds: bool, weight: f64| if holds { weight } else { 0.0 };
        let penalties =
            penalty(self.late, LATE_PENALTY_RATIO) + penalty(self.times_out, TIMEOUT_PENALTY_RATIO);
        self.relative_time + penalties + self.stalled_ratio * STALL_PENALTY_RATIO
    }

    /// Returns whether a slow endpoint must not be used for the request.
    ///
    /// Lateness counts only if the request can wait for another slot.
    pub(crate) fn is_unacceptable(&self, can_wait: bool) -> bool {
        self.times_out || self.stalled_ratio > 0.0 || (can_wait && self.late)
    }
}

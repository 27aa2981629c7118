//! What it takes to serve a request at one endpoint.

/// What a late first part weighs, as a multiple of the usual time on an endpoint.
const LATE_PENALTY_RATIO: f64 = 3.0;

/// What it weighs that all who are served at an endpoint pause for too long while it reads a prompt,
/// as a multiple of the usual time.
///
/// Long prompts make streams at a slow endpoint late that are on time at any other.
const STALL_PENALTY_RATIO: f64 = 8.0;

/// What it weighs that an answer would not be whole before its caller leaves, as a multiple of the
/// usual time.
const TIMEOUT_PENALTY_RATIO: f64 = 8.0;

/// What it takes to serve a request at one endpoint.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Cost {
    /// The time as a multiple of the usual one, with what makes it uncertain.
    pub(crate) relative_time: f64,
    /// Whether the first part would come late.
    pub(crate) late: bool,
    /// Whether the answer would not be whole before its caller leaves.
    pub(crate) times_out: bool,
    /// The part of the endpoint's places whose answers would pause for too long.
    pub(crate) stalled_ratio: f64,
}

impl Cost {
    /// Adds it up; the least is best.
    pub(crate) fn total(&self) -> f64 {
        let penalty = |holds: bool, weight: f64| if holds { weight } else { 0.0 };
        let penalties =
            penalty(self.late, LATE_PENALTY_RATIO) + penalty(self.times_out, TIMEOUT_PENALTY_RATIO);
        self.relative_time + penalties + self.stalled_ratio * STALL_PENALTY_RATIO
    }

    /// Returns whether it does harm, where a request can wait for another place.
    pub(crate) fn is_unacceptable(&self, can_wait: bool) -> bool {
        self.times_out || self.stalled_ratio > 0.0 || (can_wait && self.late)
    }
}

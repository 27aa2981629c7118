//! Reasons why a request is not retried after an attempt that failed.

/// Why a request is not retried at another endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDenial {
    /// No retry was requested, or the request is not running.
    NotRequested,
    /// It may have run and is not idempotent.
    NotIdempotent,
    /// It crashed endpoints before.
    Quarantined,
    /// This instance is shutting down, and the response might not arrive before it ends.
    ShuttingDown,
    /// Its deadline has passed.
    DeadlinePassed,
    /// It is bound to a version of which it was sent to every endpoint.
    NoUntriedEndpoint,
    /// Too many endpoints could not be reached.
    ConnectAttempts,
    /// It has had as many attempts as its route allows.
    RouteAttempts,
    /// The retry budget of its service is used up.
    RetryBudget,
}

impl RetryDenial {
    /// Returns the name of the reason in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRequested => "not_requested",
            Self::NotIdempotent => "not_idempotent",
            Self::Quarantined => "quarantined",
            Self::ShuttingDown => "shutting_down",
            Self::DeadlinePassed => "deadline_passed",
            Self::NoUntriedEndpoint => "no_untried_endpoint",
            Self::ConnectAttempts => "connect_attempts",
            Self::RouteAttempts => "route_attempts",
            Self::RetryBudget => "retry_budget",
        }
    }
}

//! Why a request is turned away, and when its caller should come back.

use siskinyoke_base::Millis;

/// Why a request is turned away.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalReason {
    /// No configuration is known yet.
    NotReady,
    /// No route takes it.
    NoRoute,
    /// Its key is unknown.
    UnknownKey,
    /// Its organisation has used its quota.
    QuotaExceeded,
    /// It would wait longer than it can use.
    Overload,
    /// It waited as long as it could.
    QueueTimeout,
    /// More urgent work took its place in the queue.
    Displaced,
    /// No endpoint of its service is known or fit.
    NoEndpoint,
    /// The same work crashed endpoints before.
    Quarantined,
    /// An endpoint turned it away unrun, and no other may be asked.
    EndpointRejected,
}

impl RefusalReason {
    /// Returns whether the same request would be turned away whenever it came back.
    pub fn is_permanent(self) -> bool {
        matches!(self, Self::NoRoute | Self::UnknownKey)
    }

    /// Returns the reason's name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotReady => "unready",
            Self::NoRoute => "no_route",
            Self::UnknownKey => "no_key",
            Self::QuotaExceeded => "quota",
            Self::Overload => "overload",
            Self::QueueTimeout => "waited",
            Self::Displaced => "displaced",
            Self::NoEndpoint => "no_endpoint",
            Self::Quarantined => "suspect",
            Self::EndpointRejected => "rejected",
        }
    }
}

/// A request turned away before any part of it ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// How long the caller should wait before it comes back.
    pub retry_after: Millis,
}

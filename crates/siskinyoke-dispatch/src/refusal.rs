//! Refusals of requests, with a reason and a retry delay.

use siskinyoke_base::Millis;

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalReason {
    /// No configuration has been received yet.
    NotReady,
    /// No route matches it.
    NoRoute,
    /// Its API key is missing or unknown.
    UnknownKey,
    /// Its organisation has used up its quota.
    QuotaExceeded,
    /// Its expected wait is longer than its queue timeout.
    Overload,
    /// It reached its queue timeout.
    QueueTimeout,
    /// A request of higher priority displaced it from the queue.
    Displaced,
    /// No endpoint of its service is known or eligible.
    NoEndpoint,
    /// This instance is shutting down, and the response might not arrive before it ends.
    ShuttingDown,
    /// The same request crashed endpoints before.
    Quarantined,
    /// An endpoint rejected it without running it, and it may not be retried at another one.
    EndpointRejected,
    /// It goes on with a stream, and the version at which that began is not known here.
    VersionUnknown,
    /// It goes on with a stream, and no endpoint is left of the version at which that began.
    VersionGone,
}

impl RefusalReason {
    /// Returns whether a retry of the same request would be refused for the same reason.
    pub fn is_permanent(self) -> bool {
        matches!(self, Self::NoRoute | Self::UnknownKey)
    }

    /// Returns the name of the reason in logs and metrics.
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
            Self::ShuttingDown => "shutting_down",
            Self::Quarantined => "suspect",
            Self::EndpointRejected => "rejected",
            Self::VersionUnknown => "version_unknown",
            Self::VersionGone => "version_gone",
        }
    }
}

/// A refusal of a request of which no part has run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// The reason.
    pub reason: RefusalReason,
    /// How long the caller should wait before it retries.
    pub retry_after: Millis,
}

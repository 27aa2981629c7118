//! Why a request is turned away, and when its caller should come back.

use siskinyoke_base::Millis;

/// Why a request is turned away.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// No configuration is known yet.
    Unready,
    /// No route takes it.
    NoRoute,
    /// Its key is unknown.
    NoKey,
    /// Its organisation has used its quota.
    Quota,
    /// It would wait longer than it can use.
    Overload,
    /// It waited as long as it could.
    Waited,
    /// More urgent work took its place in the queue.
    Displaced,
    /// No endpoint of its service is known or fit.
    NoEndpoint,
    /// The same work crashed endpoints before.
    Suspect,
    /// An endpoint turned it away unrun, and no other may be asked.
    Rejected,
}

impl Reason {
    /// Returns whether the same request would be turned away whenever it came back.
    pub fn lasting(self) -> bool {
        matches!(self, Self::NoRoute | Self::NoKey)
    }

    /// Returns the reason's name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Unready => "unready",
            Self::NoRoute => "no_route",
            Self::NoKey => "no_key",
            Self::Quota => "quota",
            Self::Overload => "overload",
            Self::Waited => "waited",
            Self::Displaced => "displaced",
            Self::NoEndpoint => "no_endpoint",
            Self::Suspect => "suspect",
            Self::Rejected => "rejected",
        }
    }
}

/// A request turned away before any part of it ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// How long the caller should wait before it comes back.
    pub after: Millis,
}

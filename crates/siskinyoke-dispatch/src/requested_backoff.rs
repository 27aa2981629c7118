//! Back-off that an endpoint requests when it rejects a request.
//!
//! It applies to this instance only: an endpoint requests it of each instance that it rejects, and
//! may still accept requests from others.

use siskinyoke_base::Millis;

/// The maximum back-off that an endpoint can request.
///
/// Without a maximum, an endpoint that requests a day by mistake would not be tried again.
pub const MAX_REQUESTED_BACKOFF: Millis = Millis::from_secs(60);

/// A back-off that an endpoint requested, and the recovery after it.
///
/// The endpoint may still be overloaded when the back-off ends, so it is half-open then: it gets
/// one request at a time until it accepts one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestedBackoff {
    until: Millis,
}

impl RequestedBackoff {
    /// Creates a back-off that lasts for a duration, or for the maximum if that is shorter.
    pub fn new(now: Millis, duration: Millis) -> Self {
        Self {
            until: now + duration.min(MAX_REQUESTED_BACKOFF),
        }
    }

    /// Returns the back-off that ends later: responses may arrive out of order.
    #[must_use]
    pub fn or_later(self, other: Self) -> Self {
        Self {
            until: self.until.max(other.until),
        }
    }

    /// Returns the time until it ends, 0 if it has ended.
    pub fn remaining(self, now: Millis) -> Millis {
        self.until.since(now)
    }

    /// Returns whether a request sent at `sent_at` tells whether the endpoint has recovered.
    pub fn precedes(self, sent_at: Millis) -> bool {
        sent_at >= self.until
    }
}

//! The shutdown of an instance, and which requests it may still send to endpoints.

use crate::ScheduledRequest;
use crate::latency_model::LatencyModel;
use siskinyoke_base::Millis;

/// The shutdown of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shutdown {
    /// Until when callers may not know of it yet, and send requests as always.
    pub drain_end: Millis,
    /// When requests that are not answered by then are ended.
    pub end: Millis,
}

impl Shutdown {
    /// Returns whether a request may be sent to an endpoint now, as its response can be expected
    /// before the end.
    ///
    /// In the drain period its mean duration counts, and after it the longest one of late: its caller
    /// is better served by another instance than by a response that is cut off. A service whose
    /// responses this instance has not seen may take as long as the request's deadline.
    pub(crate) fn may_begin(
        &self,
        now: Millis,
        request: &ScheduledRequest,
        latency: LatencyModel,
    ) -> bool {
        let expected = latency.service_time_of(&request.tokens);
        let long = latency.long_service_time().map(|it| it.max(expected));
        let duration = if now < self.drain_end {
            Some(expected)
        } else {
            long
        };
        request.deadline <= self.end || duration.is_some_and(|it| now + it < self.end)
    }
}

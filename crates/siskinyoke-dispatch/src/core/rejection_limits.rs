//! Limits on rejections that endpoints state.

use crate::Endpoint;
use crate::Report;
use crate::core::Core;
use crate::rejection_limits::RejectionLimitChange;
use siskinyoke_base::Millis;

impl Core {
    /// Records how many rejections a second an endpoint bears from all instances, as stated in its
    /// response to a request sent at `sent_at`; `None` if the response does not state it.
    pub fn record_rejection_limit(
        &mut self,
        now: Millis,
        endpoint: &Endpoint,
        sent_at: Millis,
        limit: Option<u32>,
    ) {
        self.scheduler
            .record_rejection_limit(now, endpoint.key(), sent_at, limit);
    }

    /// Records that an endpoint rejected a request, and returns whether it bears few rejections.
    pub fn record_rejection(&mut self, now: Millis, endpoint: &Endpoint) -> bool {
        self.scheduler.record_rejection(now, endpoint.key())
    }

    /// Returns the limits on rejections stated, changed or lifted since the last call.
    pub fn take_rejection_limit_changes(&mut self) -> Vec<RejectionLimitChange> {
        self.scheduler.take_rejection_limit_changes()
    }

    // Records the limits reported by a peer, except those of unknown endpoints. A full report names
    // all that the peer knows.
    pub(super) fn record_peer_rejection_limits(&mut self, now: Millis, report: &Report) {
        let rows = &report.rejection_limits;
        let known = self.rows_of_known_endpoints(rows, |it| it.endpoint);
        self.scheduler.record_peer_rejection_limits(now, &known);
        if report.info.is_some() {
            self.scheduler.mark_rejection_limits_known();
        }
    }
}

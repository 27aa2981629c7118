//! The shutdown of this instance.

use crate::Refusal;
use crate::RefusalReason;
use crate::ScheduledRequest;
use crate::Shutdown;
use crate::core::Core;
use crate::scheduler::Decision;
use siskinyoke_base::Millis;

/// The retry delay of requests that other instances can serve at once.
const OTHER_INSTANCE_RETRY_AFTER: Millis = Millis(50);

impl Core {
    /// Begins the shutdown of this instance: no new callers are directed here, and only requests whose
    /// response can be expected in time are sent to endpoints.
    pub fn begin_shutdown(&mut self, shutdown: Shutdown) {
        self.shutdown = Some(shutdown);
    }

    /// Returns whether this instance is shutting down.
    pub fn is_shutting_down(&self) -> bool {
        self.shutdown.is_some()
    }

    /// Returns the shutdown of this instance, once that has begun.
    pub fn shutdown(&self) -> Option<Shutdown> {
        self.shutdown
    }

    // Returns whether a request may be sent to an endpoint as far as the shutdown is concerned. A
    // stream that has begun goes on for as long as it can.
    pub(super) fn may_begin(&self, now: Millis, request: &ScheduledRequest) -> bool {
        self.shutdown.is_none_or(|shutdown| {
            let latency = self.scheduler.latency_model(&request.service);
            request.version.is_some() || shutdown.may_begin(now, request, latency)
        })
    }

    // Refuses the waiting requests whose response cannot be expected before this instance ends.
    pub(super) fn refuse_unfinishable(&mut self, now: Millis) -> Vec<Decision> {
        let Some(shutdown) = self.shutdown else {
            return Vec::new();
        };
        let scheduler = &self.scheduler;
        let refused = scheduler.waiting_tickets(|it| {
            let latency = scheduler.latency_model(&it.service);
            it.version.is_none() && !shutdown.may_begin(now, it, latency)
        });
        for ticket in &refused {
            self.scheduler.cancel(*ticket);
        }
        let refused = refused.into_iter();
        refused.map(|it| Decision::Refuse(it, refusal())).collect()
    }
}

pub(super) fn refusal() -> Refusal {
    Refusal {
        reason: RefusalReason::ShuttingDown,
        retry_after: OTHER_INSTANCE_RETRY_AFTER,
    }
}

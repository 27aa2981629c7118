//! Back-offs that endpoints request.

use std::sync::Arc;

use crate::Endpoint;
use crate::core::Core;
use crate::scheduler::ClusterView;
use siskinyoke_base::Millis;

impl Core {
    /// Applies a back-off that an endpoint requests, and returns whether none was in progress.
    ///
    /// This instance sends the endpoint no requests for this time, up to
    /// [`MAX_REQUESTED_BACKOFF`](crate::requested_backoff::MAX_REQUESTED_BACKOFF).
    pub fn request_backoff(&mut self, now: Millis, endpoint: &Endpoint, duration: Millis) -> bool {
        self.scheduler
            .request_backoff(now, endpoint.key(), duration)
    }

    /// Returns the retry delay of a request of a service that no endpoint accepted.
    pub fn rejected_retry_after(
        &self,
        now: Millis,
        service: &Arc<str>,
        fingerprint: u64,
    ) -> Millis {
        let view = ClusterView {
            now,
            registry: &self.registry,
            peers: &self.peers,
        };
        self.scheduler
            .rejected_retry_after(&view, service, fingerprint)
    }
}

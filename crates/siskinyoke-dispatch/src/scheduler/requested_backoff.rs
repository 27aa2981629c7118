//! Back-offs of endpoints, mostly those that they request, in the scheduling of requests.

use std::sync::Arc;

use super::ClusterView;
use super::Scheduler;
use crate::EndpointKey;
use crate::Refusal;
use crate::RefusalReason;
use crate::Ticket;
use crate::wait;
use siskinyoke_base::Millis;

/// The number of requests that an endpoint gets at once after a back-off that it requested.
pub(super) const HALF_OPEN_REQUESTS: u32 = 1;

impl Scheduler {
    /// Applies a back-off that an endpoint requests, and returns whether none was in progress.
    pub fn request_backoff(&mut self, now: Millis, key: EndpointKey, duration: Millis) -> bool {
        self.selector.request_backoff(now, key, duration)
    }

    /// Returns the number of endpoints that requested a back-off that has not ended.
    pub fn requested_backoffs(&self, now: Millis) -> usize {
        self.selector.requested_backoffs(now)
    }

    /// Returns the retry delay of a request that no endpoint accepted.
    pub(crate) fn rejected_retry_after(
        &self,
        view: &ClusterView<'_>,
        service: &Arc<str>,
        fingerprint: u64,
    ) -> Millis {
        let usual = self.latency_model(service).mean_service_time();
        let backoff = self.requested_wait(view, service);
        if backoff <= usual {
            return usual;
        }
        wait::with_jitter(backoff, fingerprint)
    }

    // Returns the time until the first endpoint of a service accepts requests again if all of them
    // requested a back-off, and 0 otherwise.
    pub(super) fn requested_wait(&self, view: &ClusterView<'_>, service: &str) -> Millis {
        shortest_wait(view, service, |key| {
            self.selector.requested_remaining(view.now, key)
        })
    }

    // Returns the time until the first endpoint of a service gets requests again if all of them are
    // in a back-off after failures or at their own request, and 0 otherwise.
    pub(super) fn backoff_wait(&self, view: &ClusterView<'_>, service: &str) -> Millis {
        shortest_wait(view, service, |key| {
            self.selector.backoff_remaining(view.now, key)
        })
    }

    // Returns how many requests this instance may send to an endpoint now if the endpoint is
    // half-open.
    pub(super) fn half_open_slots(&self, key: EndpointKey) -> Option<u32> {
        if !self.selector.is_half_open(key) {
            return None;
        }
        let running = self.in_flight.get(&key);
        let running = running.map_or(0, |row| u32::from(row.count));
        Some(HALF_OPEN_REQUESTS.saturating_sub(running))
    }

    // Returns whether a request of this instance may be sent to an endpoint that another instance
    // selected.
    pub(super) fn may_send(&self, now: Millis, key: EndpointKey) -> bool {
        self.selector.requested_remaining(now, key) == Millis::ZERO
            && self.half_open_slots(key) != Some(0)
            && !self.rejection_limits.in_backoff(now, key)
    }

    // Refuses a waiting request if all endpoints requested a back-off that lasts for longer than it
    // can wait, unless another shard may lend a slot.
    pub(super) fn check_requested_backoffs(
        &mut self,
        view: &ClusterView<'_>,
        ticket: Ticket,
    ) -> Option<Refusal> {
        let request = &self.waiting[&ticket];
        let backoff = self.requested_wait(view, &request.service);
        if backoff == Millis::ZERO
            || self.should_ask_shards(view.now, view.registry, &request.service)
        {
            return None;
        }
        let request = request.clone();
        let waited = view.now.since(request.wait_start);
        let timeout = wait::late_timeout(&request, self.latency_model(&request.service));
        if waited + backoff <= timeout {
            return None;
        }
        let wait = self.expected_wait(view, &request);
        Some(Refusal {
            reason: RefusalReason::Overload,
            retry_after: self.retry_after(view, &request, wait),
        })
    }
}

// Returns the shortest of the waits for the endpoints of a service, 0 if there is none.
fn shortest_wait(
    view: &ClusterView<'_>,
    service: &str,
    wait_for: impl Fn(EndpointKey) -> Millis,
) -> Millis {
    let mut shortest: Option<Millis> = None;
    for endpoint in view.registry.eligible(service) {
        let wait = wait_for(endpoint.key());
        if wait == Millis::ZERO {
            return Millis::ZERO;
        }
        shortest = Some(shortest.map_or(wait, |it| it.min(wait)));
    }
    shortest.unwrap_or(Millis::ZERO)
}

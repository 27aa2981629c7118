//! What becomes of requests that have waited for as long as they can use.

use std::sync::Arc;

use super::ClusterView;
use super::Decision;
use super::Scheduler;
use super::queue_key;
use crate::Refusal;
use crate::RefusalReason;
use crate::ScheduledRequest;
use crate::Ticket;
use crate::queue::QueueKey;
use crate::wait;

impl Scheduler {
    pub(super) fn refuse_expired(
        &mut self,
        view: &ClusterView<'_>,
        service: &Arc<str>,
        decisions: &mut Vec<Decision>,
    ) {
        let waiting: Vec<QueueKey> = self.queues[service].iter().collect();
        for (_, _, ticket) in waiting {
            if let Some(refusal) = self.check_expired(view, ticket) {
                self.cancel(ticket);
                decisions.push(Decision::Refuse(ticket, refusal));
            }
        }
    }

    // Finds out whether a request has waited enough; one that can still be of use late is put off.
    fn check_expired(&mut self, view: &ClusterView<'_>, ticket: Ticket) -> Option<Refusal> {
        let request = &self.waiting[&ticket];
        let latency = self.latency_model(&request.service);
        if wait::all_tried(request, view.registry.eligible(&request.service)) {
            return Some(Refusal {
                reason: RefusalReason::NoEndpoint,
                retry_after: latency.mean_service_time(),
            });
        }
        let waited = view.now.since(request.arrived);
        if request.needs_loan && self.recently_declined(view.now, &request.service) {
            return self.resolve_declined(view, ticket);
        }
        if !request.late && waited < wait::queue_timeout(request, latency) {
            return None;
        }
        let bearable = wait::late_timeout(request, latency);
        let settled = request.late || wait::is_retry(request);
        if settled && waited < bearable {
            return None;
        }
        let late = ScheduledRequest {
            late: true,
            ..request.clone()
        };
        let wait = self.expected_wait(view, &late);
        if !settled && waited + wait <= bearable {
            self.mark_late(ticket);
            return None;
        }
        Some(Refusal {
            reason: RefusalReason::QueueTimeout,
            retry_after: self.retry_after(view.now, &late, wait),
        })
    }

    // What becomes of a request for which only another shard might have had a place, and none had.
    fn resolve_declined(&mut self, view: &ClusterView<'_>, ticket: Ticket) -> Option<Refusal> {
        let request = self.waiting.get_mut(&ticket)?;
        request.needs_loan = false;
        let request = request.clone();
        if self.expected_on_time(view, &request) {
            return None;
        }
        if let Err(refusal) = self.admit_late(view, request) {
            return Some(refusal);
        }
        self.mark_late(ticket);
        None
    }

    // Moves a request behind what can still be on time.
    fn mark_late(&mut self, ticket: Ticket) {
        let Some(request) = self.waiting.get_mut(&ticket) else {
            return;
        };
        let Some(queue) = self.queues.get_mut(&request.service) else {
            return;
        };
        queue.remove(queue_key(ticket, request));
        request.late = true;
        queue.push(queue_key(ticket, request));
    }
}

//! Expiry of waiting requests.

use std::sync::Arc;

use super::ClusterView;
use super::Decision;
use super::Scheduler;
use crate::Refusal;
use crate::RefusalReason;
use crate::ScheduledRequest;
use crate::Ticket;
use crate::organisation_shares::share_class::ShareClass;
use crate::queue::QueueKey;
use crate::stream_resumption;
use crate::wait;

impl Scheduler {
    // Refuses the waiting requests of a service that have waited too long.
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

    // Returns a refusal if a request has waited too long. A request that can no longer be on time,
    // but can be served within its late timeout, is marked late instead.
    fn check_expired(&mut self, view: &ClusterView<'_>, ticket: Ticket) -> Option<Refusal> {
        let request = &self.waiting[&ticket];
        let latency = self.latency_model(&request.service);
        let targets = view.registry.targets(request);
        if let Some(version) = request.version
            && targets.is_empty()
        {
            let service = &request.service;
            return Some(stream_resumption::no_target(
                service,
                version,
                view.registry,
            ));
        }
        if wait::all_tried(request, targets.iter()) {
            return Some(Refusal {
                reason: RefusalReason::NoEndpoint,
                retry_after: self.rejected_retry_after(view, &request.service, request.fingerprint),
            });
        }
        if let Some(refusal) = self.check_requested_backoffs(view, ticket) {
            return Some(refusal);
        }
        let request = &self.waiting[&ticket];
        let waited = view.now.since(request.wait_start);
        if request.needs_loan && self.recently_denied(view.now, &request.service) {
            return self.resolve_denied(view, ticket);
        }
        if !request.late && waited < wait::queue_timeout(request, latency) {
            return None;
        }
        let late_timeout = wait::late_timeout(request, latency);
        let uses_late_timeout = request.late || wait::is_retry(request);
        if uses_late_timeout && waited < late_timeout {
            return None;
        }
        let late = ScheduledRequest {
            late: true,
            ..request.clone()
        };
        let wait = self.expected_wait(view, &late);
        let may_be_late = !uses_late_timeout && request.share_class != ShareClass::Above;
        if may_be_late && waited + self.weigh_wait(view.now, &late, wait) <= late_timeout {
            self.mark_late(ticket);
            return None;
        }
        self.shares.record_shortage(view.now, &late);
        Some(Refusal {
            reason: RefusalReason::QueueTimeout,
            retry_after: self.retry_after(view, &late, wait),
        })
    }

    // Handles a request that needed a slot of another shard after those shards denied it: it waits
    // here if it can be served in time, and is refused otherwise.
    fn resolve_denied(&mut self, view: &ClusterView<'_>, ticket: Ticket) -> Option<Refusal> {
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

    // Marks a request late, which moves it behind those that can still be on time.
    fn mark_late(&mut self, ticket: Ticket) {
        self.reorder(ticket, |request| request.late = true);
    }
}

//! Decides whether a request may be retried at another endpoint.

use std::sync::Arc;

use crate::Endpoint;
use crate::Outcome;
use crate::RetryDenial;
use crate::ScheduledRequest;
use crate::Ticket;
use crate::budget::RetryBudget;
use crate::core::Core;
use crate::latency_model::LatencyModel;
use crate::scheduler::ClusterView;
use crate::stall_timeout::STREAM_STALL_TIMEOUT;
use crate::wait;
use siskinyoke_base::Millis;

/// Share of the operators' retry ratio that is used.
///
/// Each instance counts in its own time windows; the margin covers their offset from the operators'
/// windows.
const USED_RETRY_RATIO: f64 = 0.8;

/// Maximum number of endpoints tried for one request while none can be reached.
///
/// Nothing was sent to them, so they do not count towards the attempts of the route.
const MAX_CONNECT_ATTEMPTS: usize = 4;

impl Core {
    /// Moves a stalled request to another endpoint with a slot that it may use now, and returns its
    /// new ticket and that endpoint.
    ///
    /// Returns `None`, and leaves the attempt as it is, if there is no such slot or the request may
    /// not be retried. The endpoint may be sound and go on, so the attempt is not ended before the
    /// slot is taken: a queued retry could be refused.
    pub fn try_abandon(&mut self, now: Millis, ticket: Ticket) -> Option<(Ticket, Arc<Endpoint>)> {
        let request = self.scheduler.running(ticket)?.clone();
        if !self.may_move(now, &request) {
            return None;
        }
        let view = ClusterView {
            now,
            registry: &self.registry,
            peers: &self.peers,
        };
        let candidate = self.scheduler.find_alternative(&view, &request)?;
        let min_retries = self.min_retries();
        let budget = self.retry_budget(&request.service);
        if !budget.try_take(now, min_retries) {
            return None;
        }
        let attempt = self.scheduler.running_attempt(ticket)?;
        let request = self
            .scheduler
            .attempt_ended(now, ticket, Outcome::Stalled)?;
        self.record_sample(now, &request, Outcome::Stalled);
        self.record_evidence(now, &request, attempt, Outcome::Stalled);
        let started = self.scheduler.start_at(now, request, &candidate);
        Some(started)
    }

    // Returns whether a running request may be sent to another endpoint, apart from the budget. The
    // response has to end there in time, as the first endpoint may go on at any moment.
    fn may_move(&mut self, now: Millis, request: &ScheduledRequest) -> bool {
        let latency = self.scheduler.latency_model(&request.service);
        let end = self.shutdown().map_or(request.deadline, |it| it.end);
        request.route.idempotent()
            && request.attempts + 1 < request.route.max_attempts
            && now + time_elsewhere(request, latency) < request.deadline.min(end)
            && !self.is_retry_quarantined(now, request)
    }

    pub(super) fn retry_budget(&mut self, service: &Arc<str>) -> &mut RetryBudget {
        let ratio = self.identity.retry_ratio * USED_RETRY_RATIO;
        self.budgets
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::new(ratio))
    }

    // Returns whether a stream that has begun can go on at another endpoint of its version.
    fn has_untried_endpoint(&self, request: &ScheduledRequest) -> bool {
        request.version.is_none()
            || !wait::all_tried(request, self.registry.targets(request).iter())
    }

    // Takes a retry of a request from the budget if it may be retried after this outcome.
    pub(super) fn take_retry(
        &mut self,
        now: Millis,
        request: &ScheduledRequest,
        outcome: Outcome,
    ) -> Result<(), RetryDenial> {
        let not_sent = outcome.is_unsent();
        let not_run = not_sent || matches!(outcome, Outcome::Full | Outcome::Misdirected);
        if !not_run && !request.route.idempotent() {
            return Err(RetryDenial::NotIdempotent);
        }
        if !not_run && self.is_retry_quarantined(now, request) {
            return Err(RetryDenial::Quarantined);
        }
        if now >= request.deadline {
            return Err(RetryDenial::DeadlinePassed);
        }
        if !self.may_begin(now, request) {
            return Err(RetryDenial::ShuttingDown);
        }
        if !self.has_untried_endpoint(request) {
            return Err(RetryDenial::NoUntriedEndpoint);
        }
        if not_sent {
            return if request.tried.len() < MAX_CONNECT_ATTEMPTS {
                Ok(())
            } else {
                Err(RetryDenial::ConnectAttempts)
            };
        }
        if request.attempts >= request.route.max_attempts {
            return Err(RetryDenial::RouteAttempts);
        }
        let min_retries = self.min_retries();
        let budget = self.retry_budget(&request.service);
        if budget.try_take(now, min_retries) {
            Ok(())
        } else {
            Err(RetryDenial::RetryBudget)
        }
    }
}

// Returns the time that a stalled request needs at another endpoint. A stream that has begun may
// stall there as well, and is cut at its deadline.
fn time_elsewhere(request: &ScheduledRequest, latency: LatencyModel) -> Millis {
    let stall = if request.version.is_some() {
        STREAM_STALL_TIMEOUT
    } else {
        Millis::ZERO
    };
    latency.mean_service_time() + stall
}

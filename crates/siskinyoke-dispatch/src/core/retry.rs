//! Whether a request may go to another endpoint.

use std::sync::Arc;

use crate::Outcome;
use crate::ScheduledRequest;
use crate::Ticket;
use crate::budget::RetryBudget;
use crate::core::Core;
use siskinyoke_base::Millis;

/// The part of the operators' retry ratio that is used.
///
/// Instances count in windows of their own; a fifth covers where these differ from the operators'.
const USED_RETRY_RATIO: f64 = 0.8;

/// Endpoints tried for one request when none can be reached; no part of it was sent to them.
const MAX_CONNECT_ATTEMPTS: usize = 4;

impl Core {
    /// Returns whether a running request whose endpoint is silent may be given up for another.
    ///
    /// Only where another has a place for it: an endpoint's silence alone is no reason to end its
    /// work. It takes the retry from the budget, so that another surely may follow.
    pub fn try_abandon(&mut self, now: Millis, ticket: Ticket) -> bool {
        let Some(pending) = self.scheduler.running(ticket).cloned() else {
            return false;
        };
        let allowed =
            pending.route.idempotent() && pending.attempts + 1 < pending.route.max_attempts;
        let elsewhere = self
            .scheduler
            .has_alternative(now, &pending, &self.registry, &self.peers);
        let floor = self.min_retries();
        allowed
            && elsewhere
            && now < pending.deadline
            && self.retry_budget(&pending.service).try_take(now, floor)
    }

    pub(super) fn retry_budget(&mut self, service: &Arc<str>) -> &mut RetryBudget {
        let ratio = self.identity.retry_ratio * USED_RETRY_RATIO;
        self.budgets
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::new(ratio))
    }

    pub(super) fn may_retry(
        &mut self,
        now: Millis,
        pending: &ScheduledRequest,
        outcome: Outcome,
    ) -> bool {
        let unsent = outcome == Outcome::ConnectFailed;
        let unrun = unsent || matches!(outcome, Outcome::Full | Outcome::Misdirected);
        if !unrun && !pending.route.idempotent() {
            return false;
        }
        if !unrun && self.quarantine.is_quarantined(now, pending.fingerprint) {
            return false;
        }
        if now >= pending.deadline {
            return false;
        }
        if unsent {
            return pending.tried.len() < MAX_CONNECT_ATTEMPTS;
        }
        if outcome == Outcome::Stalled {
            return true;
        }
        let floor = self.min_retries();
        pending.attempts < pending.route.max_attempts
            && self.retry_budget(&pending.service).try_take(now, floor)
    }
}

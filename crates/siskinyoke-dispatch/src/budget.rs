//! Retry budget: limits retries to a share of the requests, so that they cannot amplify an
//! overload.

use std::collections::VecDeque;

use siskinyoke_base::Millis;

/// The sliding window over which requests and retries are counted.
///
/// Shorter than the ten seconds over which the platform counts, so that any ten seconds contain
/// whole windows.
const BUDGET_WINDOW: Millis = Millis(5_000);

/// The retry budget of one service.
///
/// Each instance limits retries to a ratio of its own requests, so that the fleet as a whole keeps
/// to the same ratio without coordination. Without a budget, retries double the load on a failing
/// service when it has the least capacity.
#[derive(Debug)]
pub struct RetryBudget {
    ratio: f64,
    requests: VecDeque<Millis>,
    retries: VecDeque<Millis>,
}

impl RetryBudget {
    /// Creates a budget that allows `ratio` retries per request.
    pub fn new(ratio: f64) -> Self {
        Self {
            ratio,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Records a request.
    pub fn record_request(&mut self, now: Millis) {
        drop_expired(&mut self.requests, now);
        self.requests.push_back(now);
    }

    /// Takes one retry from the budget and returns whether there was one.
    ///
    /// `min_retries` are allowed per window in addition, for services with few requests.
    pub fn try_take(&mut self, now: Millis, min_retries: f64) -> bool {
        drop_expired(&mut self.requests, now);
        drop_expired(&mut self.retries, now);
        let allowed = self.ratio * count_f64(&self.requests) + min_retries;
        if count_f64(&self.retries) + 1.0 > allowed {
            return false;
        }
        self.retries.push_back(now);
        true
    }
}

fn drop_expired(times: &mut VecDeque<Millis>, now: Millis) {
    while times
        .front()
        .is_some_and(|time| now.since(*time) > BUDGET_WINDOW)
    {
        times.pop_front();
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "a window holds far fewer than 2^52 requests"
)]
fn count_f64(times: &VecDeque<Millis>) -> f64 {
    times.len() as f64
}

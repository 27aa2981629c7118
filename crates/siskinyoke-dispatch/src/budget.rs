//! How often a request may be sent to a second endpoint, so that retries cannot feed an overload.

use std::collections::VecDeque;

use siskinyoke_base::Millis;

/// The window in which requests and their retries are counted, in ms.
///
/// Shorter than the platform's ten seconds, so that any ten seconds hold whole windows.
const BUDGET_WINDOW: Millis = Millis(5_000);

/// One service's retries and requests over a sliding window.
///
/// Each instance spends only a part of its own requests, so the sum over all instances keeps to
/// the same part without any exchange. What goes wrong without it: a failing service gets twice
/// its load just when it can carry least.
#[derive(Debug)]
pub struct RetryBudget {
    ratio: f64,
    requests: VecDeque<Millis>,
    retries: VecDeque<Millis>,
}

impl RetryBudget {
    /// Makes a budget of a part of the requests.
    pub fn new(ratio: f64) -> Self {
        Self {
            ratio,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Counts a request.
    pub fn record_request(&mut self, now: Millis) {
        drop_expired(&mut self.requests, now);
        self.requests.push_back(now);
    }

    /// Takes one retry if the budget, with a `floor` for quiet times, has it.
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
    reason = "a window holds thousands, not 2^52"
)]
fn count_f64(times: &VecDeque<Millis>) -> f64 {
    times.len() as f64
}

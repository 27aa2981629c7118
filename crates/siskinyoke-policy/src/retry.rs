//! A budget for retries.
//!
//! Load pattern: endpoints fail under load and each failure comes back as a retry. Without a
//! budget the retries are load that makes more failures, and the system stays down after its
//! cause is gone.

/// Retries earned by each fresh request: a tenth more load at the most.
const EARNED: f64 = 0.1;

/// Retries that may be saved up: enough for the work in flight on one endpoint that dies.
const SAVED: f64 = 20.0;

/// Counts how many retries may still be made.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    left: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { left: SAVED }
    }
}

impl RetryBudget {
    /// Learns of a fresh request.
    pub(crate) fn earn(&mut self) {
        self.left = (self.left + EARNED).min(SAVED);
    }

    /// Takes one retry, if there is one.
    pub(crate) fn take(&mut self) -> bool {
        if self.left < 1.0 {
            return false;
        }
        self.left -= 1.0;
        true
    }
}

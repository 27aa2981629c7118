//! Hedged calls: sent again on other connections while unanswered.

use std::future::Future;

use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::store::StoreError;
use siskinyoke_base::Millis;

/// A call that is sent again at an interval while unanswered.
#[derive(Debug)]
pub struct Hedge {
    interval: Millis,
    max_calls: u32,
    sent: u32,
}

impl Hedge {
    /// Creates a call that is sent at most `max_calls` times, at this interval.
    pub fn new(interval: Millis, max_calls: u32) -> Self {
        Self {
            interval,
            max_calls,
            sent: 0,
        }
    }

    /// Sends the calls that `start` makes, each on a connection of its own. The first success wins,
    /// and the remaining calls are cancelled.
    ///
    /// # Errors
    ///
    /// The error of the last call if all have failed, or [`StoreError::NoReply`] if none was
    /// answered within the limit.
    pub async fn run<T, F>(&mut self, limit: Millis, start: impl Fn() -> F) -> Result<T, StoreError>
    where
        T: 'static,
        F: Future<Output = Result<T, StoreError>> + 'static,
    {
        let result = timeout(limit.into(), self.send_calls(start)).await;
        result.unwrap_or(Err(StoreError::NoReply))
    }

    /// Returns the number of calls sent.
    pub fn calls_sent(&self) -> u32 {
        self.sent
    }

    async fn send_calls<T, F>(&mut self, start: impl Fn() -> F) -> Result<T, StoreError>
    where
        T: 'static,
        F: Future<Output = Result<T, StoreError>> + 'static,
    {
        let mut calls = JoinSet::new();
        loop {
            if self.sent < self.max_calls {
                self.sent += 1;
                calls.spawn_local(start());
            }
            if let Some(result) = next_result(&mut calls, self.interval).await {
                return result;
            }
        }
    }
}

// Waits until a call has succeeded or all have failed; `None` means that the next call is due.
async fn next_result<T: 'static>(
    calls: &mut JoinSet<Result<T, StoreError>>,
    interval: Millis,
) -> Option<Result<T, StoreError>> {
    let mut interval = std::pin::pin!(sleep(interval.into()));
    loop {
        let result = tokio::select! {
            result = calls.join_next() => result?,
            () = &mut interval => return None,
        };
        let result = result.unwrap_or(Err(StoreError::NoReply));
        if result.is_ok() || calls.is_empty() {
            return Some(result);
        }
    }
}

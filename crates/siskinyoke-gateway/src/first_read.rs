//! Hedged first read of the store, sent again on other connections while unanswered.

use std::net::SocketAddr;

use bytes::Bytes;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::store::Client;
use crate::store::StoreError;
use siskinyoke_base::Millis;
use siskinyoke_dispatch::cold_start::MAX_PARALLEL_READS;
use siskinyoke_dispatch::cold_start::READ_HEDGE_DELAY;
use siskinyoke_interface::Call;

/// The body of a response, with the client whose connection delivered it.
pub type ReadResponse = (Bytes, Client);

/// One hedged read, with its calls in flight.
#[derive(Debug, Default)]
pub struct FirstRead {
    calls: JoinSet<Result<ReadResponse, StoreError>>,
    sent: u32,
}

impl FirstRead {
    /// Sends a call, and repeats it on other connections while unanswered. The first success wins.
    ///
    /// # Errors
    ///
    /// The error of the last call if all have failed, or [`StoreError::NoReply`] if none was
    /// answered within the limit.
    pub async fn call(
        &mut self,
        address: SocketAddr,
        call: &Call,
        limit: Millis,
    ) -> Result<ReadResponse, StoreError> {
        let result = timeout(limit.into(), self.send_hedged(address, call, limit)).await;
        // Dropping the set cancels the remaining calls.
        self.calls = JoinSet::new();
        result.unwrap_or(Err(StoreError::NoReply))
    }

    /// Returns the number of calls sent.
    pub fn calls_sent(&self) -> u32 {
        self.sent
    }

    async fn send_hedged(
        &mut self,
        address: SocketAddr,
        call: &Call,
        limit: Millis,
    ) -> Result<ReadResponse, StoreError> {
        loop {
            if self.sent < MAX_PARALLEL_READS {
                self.sent += 1;
                self.calls
                    .spawn_local(call_once(address, call.clone(), limit));
            }
            if let Some(result) = self.next_result().await {
                return result;
            }
        }
    }

    // Waits until a call has succeeded or all have failed; `None` means that the next call is due.
    async fn next_result(&mut self) -> Option<Result<ReadResponse, StoreError>> {
        let mut hedge_delay = std::pin::pin!(sleep(READ_HEDGE_DELAY.into()));
        loop {
            let result = tokio::select! {
                result = self.calls.join_next() => result?,
                () = &mut hedge_delay => return None,
            };
            let result = result.unwrap_or(Err(StoreError::NoReply));
            if result.is_ok() || self.calls.is_empty() {
                return Some(result);
            }
        }
    }
}

// Makes a call on a connection of its own.
async fn call_once(
    address: SocketAddr,
    call: Call,
    limit: Millis,
) -> Result<ReadResponse, StoreError> {
    let mut client = Client::default();
    let body = client.call(address, &call, limit).await?;
    Ok((body, client))
}

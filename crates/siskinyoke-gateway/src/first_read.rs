//! Hedged first read of the store, sent again on other connections while unanswered.

use std::net::SocketAddr;

use bytes::Bytes;

use crate::hedge::Hedge;
use crate::store::Client;
use crate::store::StoreError;
use siskinyoke_base::Millis;
use siskinyoke_dispatch::cold_start::MAX_PARALLEL_READS;
use siskinyoke_dispatch::cold_start::READ_HEDGE_DELAY;
use siskinyoke_interface::Call;

/// The body of a response, with the client whose connection delivered it.
pub type ReadResponse = (Bytes, Client);

/// One hedged read, with its calls in flight.
#[derive(Debug)]
pub struct FirstRead {
    hedge: Hedge,
}

impl Default for FirstRead {
    fn default() -> Self {
        Self {
            hedge: Hedge::new(READ_HEDGE_DELAY, MAX_PARALLEL_READS),
        }
    }
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
        let start = || call_once(address, call.clone(), limit);
        self.hedge.run(limit, start).await
    }

    /// Returns the number of calls sent.
    pub fn calls_sent(&self) -> u32 {
        self.hedge.calls_sent()
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

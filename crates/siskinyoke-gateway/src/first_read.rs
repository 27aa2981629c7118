//! Hedged first read of the store, sent again on other connections while unanswered.

use std::net::SocketAddr;

use bytes::Bytes;

use crate::hedge::Hedge;
use crate::store::Client;
use crate::store::OpenResponse;
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
    /// Sends a call, and repeats it on other connections while unanswered. The first response wins.
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
        let start = || open_once(address, call.clone(), limit);
        let (response, mut client) = self.hedge.run(limit, start).await?;
        let body = client.read(response).await?;
        Ok((body, client))
    }

    /// Returns the number of calls sent.
    pub fn calls_sent(&self) -> u32 {
        self.hedge.calls_sent()
    }
}

/// Makes a call on a connection of its own, and waits for the head of the response.
///
/// A hedged call ends with the first head, before the bodies of several responses share the link.
///
/// # Errors
///
/// As for [`Client::open`].
pub async fn open_once(
    address: SocketAddr,
    call: Call,
    limit: Millis,
) -> Result<(OpenResponse, Client), StoreError> {
    let mut client = Client::default();
    let response = client.open(address, &call, limit).await?;
    Ok((response, client))
}

//! Writes to the store that take effect only if what they are based on is still in force.

use std::net::SocketAddr;

use http::StatusCode;
use serde_json::Value;

use crate::store::Client;
use crate::store::StoreError;
use siskinyoke_base::Millis;
use siskinyoke_base::Revision;
use siskinyoke_interface::Store;

/// Time limit for a write.
///
/// A write without a response may still take effect; the condition on revisions keeps it from being
/// applied twice.
const WRITE_TIMEOUT: Millis = Millis(1_500);

/// A value that is written if each of some keys still has its expected revision.
#[derive(Debug, Clone, PartialEq)]
pub struct ConditionalWrite {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// Keys with their expected revisions; zero if a key must not exist.
    pub expected: Vec<(String, Revision)>,
    /// The kind of the call in metrics.
    pub kind: &'static str,
    /// The name of the log event.
    pub event: &'static str,
    /// What the log event says, apart from the outcome.
    pub fields: Value,
}

impl ConditionalWrite {
    /// Returns whether it is based on a history that the store has lost, in which case its
    /// revisions may be those of other items by now.
    pub fn is_outdated(&self, era: u64) -> bool {
        let mut revisions = self.expected.iter().map(|row| row.1);
        revisions.any(|it| !it.is_zero() && it.era < era)
    }

    /// Sends the write to a store, and returns whether it took effect.
    ///
    /// # Errors
    ///
    /// The call failed; the write may have taken effect.
    pub async fn send(
        &self,
        client: &mut Client,
        address: SocketAddr,
        store: &dyn Store,
    ) -> Result<bool, StoreError> {
        let expected = self.expected.iter().map(|row| (&*row.0, row.1));
        let expected: Vec<_> = expected.collect();
        let call = store.put_if(&self.key, &self.value, &expected);
        match client.call(address, &call, WRITE_TIMEOUT).await {
            Ok(body) => Ok(store.decode_put_if(&body)?),
            Err(StoreError::Status(StatusCode::PRECONDITION_FAILED)) => Ok(false),
            Err(err) => Err(err),
        }
    }
}

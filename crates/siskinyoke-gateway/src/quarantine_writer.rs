//! Writes the requests in quarantine to the store, from which processes learn them after all
//! instances have been killed.

use std::cell::RefCell;
use std::rc::Rc;

use bytes::Bytes;
use serde_json::json;
use tokio::time::sleep;

use crate::clock::BootClock;
use crate::event_log::EventLog;
use crate::store::StoreError;
use siskinyoke_base::Clock;
use siskinyoke_base::Millis;
use siskinyoke_dispatch::Core;
use siskinyoke_interface::Call;
use siskinyoke_interface::Interface;

/// Time to live of a record: as long as a request stays in quarantine after its last crash.
const RECORD_TTL: Millis = Millis::from_secs(120);

/// How often it is checked whether there are requests to write.
const CHECK_INTERVAL: Millis = Millis(250);

/// The time between two writes, also after a failed one.
const WRITE_INTERVAL: Millis = Millis::from_secs(1);

/// The maximum number of requests in one write.
const MAX_REQUESTS: usize = 256;

/// Requests by their fingerprints, each with the short keys of the endpoints that it crashed.
pub type Requests = Vec<(u64, Vec<u32>)>;

/// Writes the requests in quarantine to the store.
///
/// One instance of a shard writes. Each write has a key of its own, so that a late one replaces
/// nothing, and ends with its lease.
#[derive(Debug)]
pub struct QuarantineWriter {
    core: Rc<RefCell<Core>>,
    interface: Rc<Interface>,
    log: EventLog,
    // The prefix of this process's keys.
    prefix: String,
    write_count: u64,
    // Requests that are due, or whose write failed.
    unsent: Requests,
}

impl QuarantineWriter {
    /// Creates the writer of an instance with this name.
    pub fn new(
        core: Rc<RefCell<Core>>,
        interface: Rc<Interface>,
        log: EventLog,
        name: &str,
    ) -> Self {
        let process: u64 = rand::random();
        let keys = interface.documents.keys();
        Self {
            prefix: format!("{}{name}/{process:x}/", keys.quarantines),
            core,
            interface,
            log,
            write_count: 0,
            unsent: Vec::new(),
        }
    }

    /// Writes requests for as long as the process runs; `call` makes a call to the store.
    pub async fn run(mut self, mut call: impl AsyncFnMut(&Call) -> Result<Bytes, StoreError>) {
        loop {
            sleep(CHECK_INTERVAL.into()).await;
            let now = BootClock.now();
            let due = self.core.borrow_mut().take_unsaved_quarantine(now);
            self.unsent.extend(due);
            let excess = self.unsent.len().saturating_sub(MAX_REQUESTS);
            self.unsent.drain(..excess);
            if self.unsent.is_empty() {
                continue;
            }
            let result = self.write(&mut call).await;
            let outcome = match &result {
                Ok(()) => "written".to_owned(),
                Err(err) => err.to_string(),
            };
            let fields = json!({ "requests": self.unsent.len(), "outcome": outcome });
            self.log.log("quarantine_records", fields);
            if result.is_ok() {
                self.unsent.clear();
            }
            sleep(WRITE_INTERVAL.into()).await;
        }
    }

    async fn write(
        &mut self,
        call: &mut impl AsyncFnMut(&Call) -> Result<Bytes, StoreError>,
    ) -> Result<(), StoreError> {
        let store = &self.interface.store;
        let body = call(&store.grant_lease(RECORD_TTL)).await?;
        let lease = store.decode_lease(&body)?;
        self.write_count += 1;
        let key = format!("{}{}", self.prefix, self.write_count);
        let value = encode(&self.unsent);
        call(&store.put(&key, &value, lease)).await?;
        Ok(())
    }
}

/// Encodes requests as they are kept in the store.
pub fn encode(requests: &Requests) -> Vec<u8> {
    json!(requests).to_string().into_bytes()
}

/// Decodes requests that another instance has written.
///
/// # Errors
///
/// The value is malformed.
pub fn decode(value: &[u8]) -> Result<Requests, serde_json::Error> {
    serde_json::from_slice(value)
}

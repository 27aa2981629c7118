//! Writes the versions at which streams began to the store, from which processes learn them after
//! all instances have been killed.

use std::cell::RefCell;
use std::rc::Rc;

use bytes::Bytes;
use serde_json::json;
use tokio::time::sleep;

use crate::clock::BootClock;
use crate::event_log::EventLog;
use crate::store::StoreError;
use crate::stream_lookup::StreamLookup;
use siskinyoke_base::Clock;
use siskinyoke_base::Millis;
use siskinyoke_dispatch::Core;
use siskinyoke_dispatch::StreamKey;
use siskinyoke_dispatch::VersionKey;
use siskinyoke_interface::Call;
use siskinyoke_interface::Interface;

/// Time to live of a lease. The records attached to it are removed when it ends.
const LEASE_TTL: Millis = Millis(60_000);

/// How long records are attached to the same lease. Each of them lives for the rest of its time to
/// live, which exceeds the time for which callers take streams up.
const LEASE_USE_TIME: Millis = Millis(20_000);

/// The maximum number of records in one write.
const MAX_RECORDS: usize = 4 * 1024;

/// How often it is checked in the time between two writes whether there are records to write or to
/// pass on.
const CHECKS_PER_WRITE: u64 = 4;

/// The records of one write.
type Records = Vec<(StreamKey, VersionKey)>;

#[derive(Debug, Clone, Copy)]
struct Lease {
    id: u64,
    granted_at: Millis,
    // A store that comes back from a copy may lack the lease.
    era: u64,
}

/// Writes the versions at which streams began to the store.
///
/// One instance of a shard writes; the others send it their records. Each write has a key of its
/// own, so that a late one replaces nothing.
#[derive(Debug)]
pub struct StreamWriter {
    core: Rc<RefCell<Core>>,
    lookup: Rc<StreamLookup>,
    interface: Rc<Interface>,
    log: EventLog,
    // The prefix of this process's keys.
    prefix: String,
    write_count: u64,
    written_at: Option<Millis>,
    lease: Option<Lease>,
    // Records that are due, or whose write failed.
    unsent: Records,
}

impl StreamWriter {
    /// Creates the writer of an instance with this name.
    pub fn new(
        core: Rc<RefCell<Core>>,
        lookup: Rc<StreamLookup>,
        interface: Rc<Interface>,
        log: EventLog,
        name: &str,
    ) -> Self {
        let process: u64 = rand::random();
        let keys = interface.documents.keys();
        Self {
            prefix: format!("{}{name}/{process:x}/", keys.stream_records),
            core,
            lookup,
            interface,
            log,
            write_count: 0,
            written_at: None,
            lease: None,
            unsent: Vec::new(),
        }
    }

    /// Writes records for as long as the process runs; `call` makes a call to the store.
    pub async fn run(mut self, mut call: impl AsyncFnMut(&Call) -> Result<Bytes, StoreError>) {
        loop {
            let interval = self.core.borrow().stream_save_interval(BootClock.now());
            sleep(Millis(interval.0 / CHECKS_PER_WRITE).into()).await;
            let now = BootClock.now();
            let records = self.core.borrow_mut().take_unsaved_streams(now);
            if self.lookup.pass_to_writer(&records) {
                self.unsent.clear();
                continue;
            }
            self.unsent.extend(records);
            let excess = self.unsent.len().saturating_sub(MAX_RECORDS);
            self.unsent.drain(..excess);
            let is_due = self.written_at.is_none_or(|it| now.since(it) >= interval);
            if is_due && !self.unsent.is_empty() {
                self.written_at = Some(now);
                self.write_unsent(now, &mut call).await;
            }
        }
    }

    async fn write_unsent(
        &mut self,
        now: Millis,
        call: &mut impl AsyncFnMut(&Call) -> Result<Bytes, StoreError>,
    ) {
        let result = self.write(now, call).await;
        let outcome = match &result {
            Ok(()) => "written".to_owned(),
            Err(err) => err.to_string(),
        };
        let fields = json!({ "records": self.unsent.len(), "outcome": outcome });
        self.log.log("stream_records", fields);
        if result.is_ok() {
            self.unsent.clear();
        } else {
            // The store may not have it any more.
            self.lease = None;
        }
    }

    async fn write(
        &mut self,
        now: Millis,
        call: &mut impl AsyncFnMut(&Call) -> Result<Bytes, StoreError>,
    ) -> Result<(), StoreError> {
        let era = self.core.borrow().store_era();
        let usable = self
            .lease
            .filter(|it| it.era == era && now.since(it.granted_at) < LEASE_USE_TIME);
        let lease = if let Some(lease) = usable {
            lease
        } else {
            let body = call(&self.interface.store.grant_lease(LEASE_TTL)).await?;
            Lease {
                id: self.interface.store.decode_lease(&body)?,
                granted_at: now,
                era,
            }
        };
        self.lease = Some(lease);
        self.write_count += 1;
        let key = format!("{}{}", self.prefix, self.write_count);
        let value = encode(&self.unsent);
        call(&self.interface.store.put(&key, &value, lease.id)).await?;
        Ok(())
    }
}

/// Encodes records as they are kept in the store.
pub fn encode(records: &[(StreamKey, VersionKey)]) -> Vec<u8> {
    json!(records).to_string().into_bytes()
}

/// Decodes records that another instance has written.
///
/// # Errors
///
/// The value is malformed.
pub fn decode(value: &[u8]) -> Result<Vec<(StreamKey, VersionKey)>, serde_json::Error> {
    serde_json::from_slice(value)
}

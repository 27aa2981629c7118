//! Calls to the key-value store that holds durable state, and their responses.

use std::fmt::Debug;

use http::HeaderMap;
use serde::Deserialize;
use serde::Serialize;

use crate::FormatError;
use siskinyoke_base::Millis;
use siskinyoke_base::Revision;

/// An HTTP request to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// The HTTP method.
    pub method: &'static str,
    /// The path with its query.
    pub path: String,
    /// The body; empty for reads by path and query.
    pub body: Vec<u8>,
}

impl Call {
    /// Creates a `GET` call without a body.
    pub fn get(path: impl Into<String>) -> Self {
        Self {
            method: "GET",
            path: path.into(),
            body: Vec::new(),
        }
    }

    /// Creates a `POST` call with a JSON body.
    pub fn post(path: impl Into<String>, body: &serde_json::Value) -> Self {
        Self {
            method: "POST",
            path: path.into(),
            body: body.to_string().into_bytes(),
        }
    }
}

/// A stored item, or its removal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// The key.
    pub key: String,
    /// The revision of its last change.
    pub revision: Revision,
    /// The value, or `None` if the item was removed.
    pub value: Option<Vec<u8>>,
}

impl Item {
    /// Creates an item whose value cannot be decoded: it is empty, which no document can be.
    pub fn unreadable(key: String, revision: Revision) -> Self {
        Self {
            key,
            revision,
            value: Some(Vec::new()),
        }
    }
}

/// A page of items, or a batch of changes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Batch {
    /// The items.
    pub items: Vec<Item>,
    /// The store revision up to which changes are included.
    pub revision: Revision,
    /// Where the next page begins, if another one follows.
    pub next: Option<String>,
    /// The number of rows without a readable key, which are left out.
    pub unreadable: usize,
}

impl Batch {
    /// Collects decoded rows, `None` for one without a readable key.
    ///
    /// No change is later than the batch, so the revision of an item is limited to that of the batch:
    /// a greater one would hide all later changes of the key.
    pub fn collect(rows: impl IntoIterator<Item = Option<Item>>, revision: Revision) -> Self {
        let mut batch = Self {
            revision,
            ..Self::default()
        };
        for row in rows {
            let Some(item) = row else {
                batch.unreadable += 1;
                continue;
            };
            batch.items.push(Item {
                revision: item.revision.min(revision),
                ..item
            });
        }
        batch
    }
}

/// Consistency of a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Consistency {
    /// Returns the latest state.
    Linearizable,
    /// May return a state that is some seconds old; far cheaper for the store.
    Serializable,
}

/// Builds calls to a store and decodes its responses.
pub trait Store: Debug {
    /// Reads the first page of items, or the one that begins where [`Batch::next`] says.
    fn range(&self, next: Option<&str>, consistency: Consistency) -> Call;

    /// Decodes the era that a response states, if it states one.
    ///
    /// # Errors
    ///
    /// The era is malformed.
    fn stated_era(&self, _headers: &HeaderMap) -> Result<Option<u64>, FormatError> {
        Ok(None)
    }

    /// Decodes a page of items, whose revisions belong to an era.
    ///
    /// An item that cannot be decoded does not affect the others.
    ///
    /// # Errors
    ///
    /// The response is malformed, or does not say where the next page begins.
    fn decode_range(&self, bytes: &[u8], era: u64) -> Result<Batch, FormatError>;

    /// Reads the store's latest revision, linearizably and with few items.
    fn latest_revision(&self) -> Call;

    /// Decodes the revision that [`Self::latest_revision`] returns: a watch from an earlier one
    /// reaches it.
    ///
    /// # Errors
    ///
    /// The response is malformed.
    fn decode_latest_revision(&self, bytes: &[u8], era: u64) -> Result<Revision, FormatError>;

    /// Waits for changes after a revision, for at most `timeout` if the store supports a limit.
    fn watch(&self, revision: Revision, timeout: Millis) -> Call;

    /// Decodes the part of a watch response received so far; `ended` if it is complete.
    ///
    /// Returns `None` as long as more data is needed. If the store streams changes until the
    /// connection closes, a batch is returned as soon as it contains a change; the caller then
    /// abandons the response.
    ///
    /// # Errors
    ///
    /// The response is malformed, or the store has compacted the revision.
    fn decode_watch(
        &self,
        bytes: &[u8],
        ended: bool,
        era: u64,
    ) -> Result<Option<Batch>, FormatError>;

    /// Reads the changes of the keys with a prefix after a revision, without waiting for any.
    ///
    /// Returns `None` if the store cannot restrict changes to a prefix that differs from call to
    /// call.
    fn changes_under(&self, _prefix: &str, _revision: Revision) -> Option<Call> {
        None
    }

    /// Returns whether an open watch sends nothing while nothing changes.
    fn idle_watch_is_silent(&self) -> bool {
        false
    }

    /// Requests a lease.
    fn grant_lease(&self, ttl: Millis) -> Call;

    /// Decodes the ID of a granted lease.
    ///
    /// # Errors
    ///
    /// The response is malformed.
    fn decode_lease(&self, bytes: &[u8]) -> Result<u64, FormatError>;

    /// Renews a lease.
    fn renew_lease(&self, lease: u64) -> Call;

    /// Decodes whether a renewed lease is still valid.
    ///
    /// # Errors
    ///
    /// The response is malformed.
    fn decode_renewal(&self, bytes: &[u8]) -> Result<bool, FormatError>;

    /// Returns the store's latest revision number as a renewal states it, if it does.
    fn renewed_at(&self, _bytes: &[u8]) -> Option<u64> {
        None
    }

    /// Revokes a lease, which removes the items attached to it.
    fn revoke_lease(&self, lease: u64) -> Call;

    /// Writes a value attached to a lease, replacing any previous value.
    fn put(&self, key: &str, value: &[u8], lease: u64) -> Call;

    /// Writes a value if each of the `expected` keys still has its revision; number 0 means that the key
    /// must not exist.
    fn put_if(&self, key: &str, value: &[u8], expected: &[(&str, Revision)]) -> Call;

    /// Decodes whether a conditional write took effect.
    ///
    /// # Errors
    ///
    /// The response is malformed.
    fn decode_put_if(&self, bytes: &[u8]) -> Result<bool, FormatError>;
}

//! Calls of the store that holds what must last, and their answers.

use std::fmt::Debug;

use serde::Deserialize;
use serde::Serialize;

use crate::FormatError;
use siskinyoke_base::Millis;

/// One call: a method, a path with its query, and a body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// The HTTP method.
    pub method: &'static str,
    /// The path with its query.
    pub path: String,
    /// The body, empty for reads by path.
    pub body: Vec<u8>,
}

impl Call {
    /// Makes a call without a body.
    pub fn get(path: impl Into<String>) -> Self {
        Self {
            method: "GET",
            path: path.into(),
            body: Vec::new(),
        }
    }

    /// Makes a call whose body is a document.
    pub fn post(path: impl Into<String>, body: &serde_json::Value) -> Self {
        Self {
            method: "POST",
            path: path.into(),
            body: body.to_string().into_bytes(),
        }
    }
}

/// One stored item.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// Its key.
    pub key: String,
    /// The revision of its last change.
    pub revision: u64,
    /// Its value, or nothing if the change removed it.
    pub value: Option<Vec<u8>>,
}

/// A page of items, or a batch of changes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Batch {
    /// The items.
    pub items: Vec<Item>,
    /// The revision up to which the store has spoken.
    pub revision: u64,
    /// Whether another page follows.
    pub has_more: bool,
}

/// How fresh a reading has to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Consistency {
    /// The newest state.
    Linearizable,
    /// A state that may be some seconds old, which costs the store far less.
    Serializable,
}

/// The calls of a store.
pub trait Store: Debug {
    /// Reads everything of ours after a key.
    fn range(&self, after: &str, consistency: Consistency) -> Call;

    /// Decodes a page of items.
    ///
    /// # Errors
    ///
    /// What is wrong with the answer.
    fn decode_range(&self, bytes: &[u8]) -> Result<Batch, FormatError>;

    /// Waits for changes of anything of ours that are later than a revision.
    fn watch(&self, revision: u64, wait: Millis) -> Call;

    /// Decodes what has come of a watch's answer, `ended` if no more will.
    ///
    /// Nothing is returned as long as more has to be awaited. A store that sends changes for as long
    /// as the connection stays is left once some have come.
    ///
    /// # Errors
    ///
    /// What is wrong with the answer, or that the store has forgotten changes.
    fn decode_watch(&self, bytes: &[u8], ended: bool) -> Result<Option<Batch>, FormatError>;

    /// Returns whether a watch stays open without a word while nothing changes.
    fn idle_watch_is_silent(&self) -> bool {
        false
    }

    /// Asks for a lease.
    fn grant_lease(&self, ttl: Millis) -> Call;

    /// Decodes the answer to a lease that was asked for.
    ///
    /// # Errors
    ///
    /// What is wrong with the answer.
    fn decode_lease(&self, bytes: &[u8]) -> Result<u64, FormatError>;

    /// Renews a lease.
    fn renew_lease(&self, lease: u64) -> Call;

    /// Decodes the answer to a renewal: whether the lease still holds.
    ///
    /// # Errors
    ///
    /// What is wrong with the answer.
    fn decode_renewal(&self, bytes: &[u8]) -> Result<bool, FormatError>;

    /// Ends a lease and what hangs on it.
    fn revoke_lease(&self, lease: u64) -> Call;

    /// Writes a value under a lease, whatever stood there.
    fn put(&self, key: &str, value: &[u8], lease: u64) -> Call;

    /// Writes a value if each of some keys still has its revision, or is missing where that is 0.
    fn put_if(&self, key: &str, value: &[u8], expected: &[(&str, u64)]) -> Call;

    /// Decodes the answer to such a write: whether it took place.
    ///
    /// # Errors
    ///
    /// What is wrong with the answer.
    fn decode_put_if(&self, bytes: &[u8]) -> Result<bool, FormatError>;
}

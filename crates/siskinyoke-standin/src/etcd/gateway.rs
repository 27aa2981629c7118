//! The calls of the JSON gateway, applied to the store.

use serde_json::Value;
use serde_json::json;

use super::store::Entry;
use super::store::Event;
use super::store::Store;
use super::wire;
use super::wire::LeaseRequest;
use super::wire::Op;
use super::wire::Put;
use super::wire::Range;
use super::wire::Txn;
use siskinyoke_base::Millis;

/// Maximum size of a value, the limit of the platform's store.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// Why a call was rejected without effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallError {
    /// The value exceeds the size limit.
    ValueTooLarge,
    /// The lease does not exist or has expired.
    LeaseNotFound,
}

impl CallError {
    /// Returns the HTTP status that etcd's gateway sends.
    pub const fn status(self) -> u16 {
        match self {
            Self::ValueTooLarge => 400,
            Self::LeaseNotFound => 404,
        }
    }

    /// Returns the body that etcd's gateway sends.
    pub fn body(self) -> Value {
        let (code, text) = match self {
            Self::ValueTooLarge => (3, "etcdserver: request is too large"),
            Self::LeaseNotFound => (5, "etcdserver: requested lease not found"),
        };
        json!({ "error": text, "code": code, "message": text })
    }
}

/// Reads a range.
pub fn range(store: &Store, request: &Range) -> Value {
    let mut response = range_response(store, request);
    response["header"] = wire::response_header(store.revision());
    response
}

/// Writes a key.
///
/// # Errors
///
/// A [`CallError`] if the value is too large or the lease does not exist.
pub fn put(store: &mut Store, request: Put) -> Result<Value, CallError> {
    check_put(store, &request)?;
    let revision = store.next_revision();
    store.put(revision, request.key, request.value, request.lease);
    Ok(json!({ "header": wire::response_header(revision) }))
}

/// Deletes a range.
pub fn delete(store: &mut Store, request: &Range) -> Value {
    let range = request.key_range();
    let mut deleted = 0;
    if !store.range(&range).is_empty() {
        let revision = store.next_revision();
        deleted = store.delete_range(revision, &range);
    }
    json!({ "header": wire::response_header(store.revision()), "deleted": deleted.to_string() })
}

/// Executes a transaction.
///
/// # Errors
///
/// A [`CallError`] if one of its writes is rejected. None of them takes effect then.
pub fn txn(store: &mut Store, request: Txn) -> Result<Value, CallError> {
    let matches = |compare: &wire::Compare| compare.matches(store.get(&compare.key));
    let succeeded = request.compare.iter().all(matches);
    let ops = if succeeded {
        request.success
    } else {
        request.failure
    };
    for op in &ops {
        if let Some(put) = &op.request_put {
            check_put(store, put)?;
        }
    }
    let has_writes = ops.iter().any(|op| op.request_range.is_none());
    let revision = if has_writes {
        store.next_revision()
    } else {
        store.revision()
    };
    let responses: Vec<Value> = ops
        .into_iter()
        .map(|op| apply_op(store, revision, op))
        .collect();
    let mut response = json!({ "header": wire::response_header(revision), "responses": responses });
    if succeeded {
        response["succeeded"] = true.into();
    }
    Ok(response)
}

/// Grants a lease.
pub fn grant_lease(store: &mut Store, now: Millis, request: &LeaseRequest) -> Value {
    let ttl = Millis::from_secs(u64::try_from(request.ttl).unwrap_or_default());
    let id = store.grant_lease(now, request.id, ttl);
    lease_response(store.revision(), id, request.ttl)
}

/// Renews a lease. The response for an expired lease has no `TTL`.
pub fn keep_alive(store: &mut Store, now: Millis, request: &LeaseRequest) -> Value {
    let ttl = store.keep_alive(now, request.id).unwrap_or_default();
    let ttl_s = i64::try_from(ttl.0 / 1000).unwrap_or_default();
    json!({ "result": lease_response(store.revision(), request.id, ttl_s) })
}

/// Revokes a lease.
///
/// # Errors
///
/// [`CallError::LeaseNotFound`] if the lease does not exist.
pub fn revoke_lease(store: &mut Store, request: &LeaseRequest) -> Result<Value, CallError> {
    if !store.revoke_lease(request.id) {
        return Err(CallError::LeaseNotFound);
    }
    Ok(json!({ "header": wire::response_header(store.revision()) }))
}

/// Encodes events as a line of a watch response.
pub fn watch_events(store: &Store, events: &[Event]) -> String {
    let events: Vec<Value> = events.iter().map(encode_event).collect();
    let header = wire::response_header(store.revision());
    encode_line(&json!({ "header": header, "events": events }))
}

/// Encodes the first line of a watch response.
pub fn watch_created(header: &Value) -> String {
    encode_line(&json!({ "header": header, "created": true }))
}

/// Encodes the line that cancels a watch from a compacted revision.
pub fn watch_canceled(header: &Value, compacted: i64) -> String {
    let first = (compacted + 1).to_string();
    encode_line(&json!({ "header": header, "canceled": true, "compact_revision": first }))
}

fn encode_line(result: &Value) -> String {
    format!("{}\n", json!({ "result": result }))
}

fn encode_event(event: &Event) -> Value {
    if event.deleted {
        let entry = Entry {
            version: 0,
            lease: 0,
            ..event.entry.clone()
        };
        return json!({ "type": "DELETE", "kv": wire::encode_entry(&entry) });
    }
    json!({ "kv": wire::encode_entry(&event.entry) })
}

fn apply_op(store: &mut Store, revision: i64, op: Op) -> Value {
    if let Some(put) = op.request_put {
        store.put(revision, put.key, put.value, put.lease);
        return json!({ "response_put": { "header": wire::response_header(revision) } });
    }
    if let Some(range) = op.request_delete_range {
        let deleted = store.delete_range(revision, &range.key_range());
        return json!({ "response_delete_range": { "deleted": deleted.to_string() } });
    }
    let range = op.request_range.unwrap_or_default();
    json!({ "response_range": range_response(store, &range) })
}

fn range_response(store: &Store, request: &Range) -> Value {
    let mut entries = store.range(&request.key_range());
    if request.sort_target == "MOD" {
        entries.sort_by_key(|entry| entry.mod_revision);
    }
    if request.sort_order == "DESCEND" {
        entries.reverse();
    }
    let limit = usize::try_from(request.limit).unwrap_or_default();
    let returned = if limit == 0 { entries.len() } else { limit };
    let kvs: Vec<Value> = entries
        .iter()
        .take(returned)
        .map(|entry| wire::encode_entry(entry))
        .collect();
    let mut response = json!({});
    if !kvs.is_empty() {
        response["kvs"] = kvs.into();
        response["count"] = entries.len().to_string().into();
    }
    if entries.len() > returned {
        response["more"] = true.into();
    }
    response
}

fn check_put(store: &Store, put: &Put) -> Result<(), CallError> {
    if put.value.len() > MAX_VALUE_BYTES {
        return Err(CallError::ValueTooLarge);
    }
    if put.lease != 0 && !store.has_lease(put.lease) {
        return Err(CallError::LeaseNotFound);
    }
    Ok(())
}

fn lease_response(revision: i64, id: i64, ttl_s: i64) -> Value {
    let mut response = json!({ "header": wire::response_header(revision), "ID": id.to_string() });
    if ttl_s > 0 {
        response["TTL"] = ttl_s.to_string().into();
    }
    response
}

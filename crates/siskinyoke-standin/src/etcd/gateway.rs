//! The calls of the gateway, carried out on the store.

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

/// Most bytes of one value, as the platform has it.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// Why a call was refused: it had no effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallError {
    /// The value is over the limit.
    ValueTooLarge,
    /// The lease is not alive.
    LeaseNotFound,
}

impl CallError {
    /// Returns the HTTP status that etcd's gateway gives.
    pub const fn status(self) -> u16 {
        match self {
            Self::ValueTooLarge => 400,
            Self::LeaseNotFound => 404,
        }
    }

    /// Returns the body that etcd's gateway gives.
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
    let mut answer = range_response(store, request);
    answer["header"] = wire::response_header(store.revision());
    answer
}

/// Writes a key.
///
/// # Errors
///
/// A [`Refusal`] if the value is too large or the lease is not alive.
pub fn put(store: &mut Store, request: Put) -> Result<Value, CallError> {
    check_put(store, &request)?;
    let revision = store.next_revision();
    store.put(revision, request.key, request.value, request.lease);
    Ok(json!({ "header": wire::response_header(revision) }))
}

/// Removes a range.
pub fn delete(store: &mut Store, request: &Range) -> Value {
    let span = request.key_range();
    let mut removed = 0;
    if !store.range(&span).is_empty() {
        let revision = store.next_revision();
        removed = store.delete_range(revision, &span);
    }
    json!({ "header": wire::response_header(store.revision()), "deleted": removed.to_string() })
}

/// Carries out a transaction.
///
/// # Errors
///
/// A [`Refusal`] if one of its writes is refused; then none took.
pub fn txn(store: &mut Store, request: Txn) -> Result<Value, CallError> {
    let holds = |compare: &wire::Compare| compare.matches(store.get(&compare.key));
    let succeeded = request.compare.iter().all(holds);
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
    let writes = ops.iter().any(|op| op.request_range.is_none());
    let revision = if writes {
        store.next_revision()
    } else {
        store.revision()
    };
    let responses: Vec<Value> = ops
        .into_iter()
        .map(|op| apply_op(store, revision, op))
        .collect();
    let mut answer = json!({ "header": wire::response_header(revision), "responses": responses });
    if succeeded {
        answer["succeeded"] = true.into();
    }
    Ok(answer)
}

/// Makes a lease.
pub fn grant_lease(store: &mut Store, now: Millis, request: &LeaseRequest) -> Value {
    let span = Millis::from_secs(u64::try_from(request.ttl).unwrap_or_default());
    let name = store.grant_lease(now, request.id, span);
    lease_response(store.revision(), name, request.ttl)
}

/// Keeps a lease alive; one that has lapsed shows without a span.
pub fn keep_alive(store: &mut Store, now: Millis, request: &LeaseRequest) -> Value {
    let span = store.keep_alive(now, request.id).unwrap_or_default();
    let secs = i64::try_from(span.0 / 1000).unwrap_or_default();
    json!({ "result": lease_response(store.revision(), request.id, secs) })
}

/// Gives a lease up.
///
/// # Errors
///
/// [`Refusal::NoLease`] if it is not alive.
pub fn revoke_lease(store: &mut Store, request: &LeaseRequest) -> Result<Value, CallError> {
    if !store.revoke_lease(request.id) {
        return Err(CallError::LeaseNotFound);
    }
    Ok(json!({ "header": wire::response_header(store.revision()) }))
}

/// Writes the changes that a watch sends, as one line.
pub fn watch_events(store: &Store, events: &[Event]) -> String {
    let events: Vec<Value> = events.iter().map(encode_event).collect();
    let header = wire::response_header(store.revision());
    encode_line(&json!({ "header": header, "events": events }))
}

/// Writes the line that begins a watch.
pub fn watch_created(header: &Value) -> String {
    encode_line(&json!({ "header": header, "created": true }))
}

/// Writes the line that refuses a watch whose start is no longer kept.
pub fn watch_canceled(header: &Value, compacted: i64) -> String {
    let first = (compacted + 1).to_string();
    encode_line(&json!({ "header": header, "canceled": true, "compact_revision": first }))
}

fn encode_line(result: &Value) -> String {
    format!("{}\n", json!({ "result": result }))
}

fn encode_event(event: &Event) -> Value {
    if event.deleted {
        let kept = Entry {
            version: 0,
            lease: 0,
            ..event.entry.clone()
        };
        return json!({ "type": "DELETE", "kv": wire::encode_entry(&kept) });
    }
    json!({ "kv": wire::encode_entry(&event.entry) })
}

fn apply_op(store: &mut Store, revision: i64, op: Op) -> Value {
    if let Some(put) = op.request_put {
        store.put(revision, put.key, put.value, put.lease);
        return json!({ "response_put": { "header": wire::response_header(revision) } });
    }
    if let Some(range) = op.request_delete_range {
        let removed = store.delete_range(revision, &range.key_range());
        return json!({ "response_delete_range": { "deleted": removed.to_string() } });
    }
    let range = op.request_range.unwrap_or_default();
    json!({ "response_range": range_response(store, &range) })
}

fn range_response(store: &Store, request: &Range) -> Value {
    let entries = store.range(&request.key_range());
    let limit = usize::try_from(request.limit).unwrap_or_default();
    let shown = if limit == 0 { entries.len() } else { limit };
    let kvs: Vec<Value> = entries
        .iter()
        .take(shown)
        .map(|entry| wire::encode_entry(entry))
        .collect();
    let mut answer = json!({});
    if !kvs.is_empty() {
        answer["kvs"] = kvs.into();
        answer["count"] = entries.len().to_string().into();
    }
    if entries.len() > shown {
        answer["more"] = true.into();
    }
    answer
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

fn lease_response(revision: i64, name: i64, secs: i64) -> Value {
    let mut answer = json!({ "header": wire::response_header(revision), "ID": name.to_string() });
    if secs > 0 {
        answer["TTL"] = secs.to_string().into();
    }
    answer
}

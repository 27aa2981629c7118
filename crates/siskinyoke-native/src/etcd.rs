//! Calls to etcd through the JSON gateway of its v3 API.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use serde_json::json;
use serde_json::value::RawValue;

use crate::names;
use siskinyoke_base::Millis;
use siskinyoke_base::Revision;
use siskinyoke_interface::Batch;
use siskinyoke_interface::Call;
use siskinyoke_interface::Consistency;
use siskinyoke_interface::FormatError;
use siskinyoke_interface::Item;
use siskinyoke_interface::Store;

const RANGE_PATH: &str = "/v3/kv/range";
const PUT_PATH: &str = "/v3/kv/put";
const TXN_PATH: &str = "/v3/kv/txn";
const DELETE_PATH: &str = "/v3/kv/deleterange";
const WATCH_PATH: &str = "/v3/watch";
const GRANT_PATH: &str = "/v3/lease/grant";
const KEEPALIVE_PATH: &str = "/v3/lease/keepalive";
const REVOKE_PATH: &str = "/v3/lease/revoke";

/// Maximum number of items in one page; at about 200 bytes each, a page stays far below 1 MB.
const MAX_PAGE_ITEMS: u32 = 1_000;

/// Calls to etcd through the JSON gateway of its v3 API.
#[derive(Debug, Clone, Copy)]
pub struct Etcd;

impl Store for Etcd {
    fn range(&self, next: Option<&str>, consistency: Consistency) -> Call {
        let first = || encode_key(names::KEY_PREFIX);
        let body = json!({
            "key": next.map_or_else(first, str::to_owned),
            "range_end": encode_key(RANGE_END),
            "limit": MAX_PAGE_ITEMS.to_string(),
            "serializable": consistency == Consistency::Serializable,
        });
        Call::post(RANGE_PATH, &body)
    }

    fn decode_range(&self, bytes: &[u8], era: u64) -> Result<Batch, FormatError> {
        let page: Page = serde_json::from_slice(bytes)?;
        let revision = Revision::new(era, parse_number(&page.header.revision)?);
        let rows = page.kvs.iter().map(|row| decode_row(row, false, revision));
        let mut batch = Batch::collect(rows, revision);
        if page.more {
            let last = page.kvs.iter().rev().find_map(|row| following_key(row));
            batch.next = Some(last.ok_or(FormatError::NoNextPage)?);
        }
        Ok(batch)
    }

    // The revision of the last write under the prefix: that of etcd as a whole also counts other
    // keys, for which the watch reports nothing.
    fn latest_revision(&self) -> Call {
        let body = json!({
            "key": encode_key(names::KEY_PREFIX),
            "range_end": encode_key(RANGE_END),
            "limit": "1",
            "sort_target": "MOD",
            "sort_order": "DESCEND",
            "keys_only": true,
        });
        Call::post(RANGE_PATH, &body)
    }

    fn decode_latest_revision(&self, bytes: &[u8], era: u64) -> Result<Revision, FormatError> {
        let page = self.decode_range(bytes, era)?;
        let revisions = page.items.iter().map(|it| it.revision);
        Ok(revisions.max().unwrap_or(Revision::new(era, 0)))
    }

    fn watch(&self, revision: Revision, _: Millis) -> Call {
        let body = json!({
            "create_request": {
                "key": encode_key(names::KEY_PREFIX),
                "range_end": encode_key(RANGE_END),
                "start_revision": revision.number.saturating_add(1).to_string(),
            }
        });
        Call::post(WATCH_PATH, &body)
    }

    fn decode_watch(
        &self,
        bytes: &[u8],
        ended: bool,
        era: u64,
    ) -> Result<Option<Batch>, FormatError> {
        let mut batch = Batch::default();
        for line in bytes.split_inclusive(|byte| *byte == b'\n') {
            // The last message is incomplete until its newline is received.
            if line.last() != Some(&b'\n') && !ended {
                break;
            }
            let message: WatchMessage = serde_json::from_slice(line)?;
            if message.result.canceled {
                return Err(FormatError::Compacted);
            }
            let result = message.result;
            let latest = Revision::new(era, parse_number(&result.header.revision)?);
            let rows = result.events.iter().map(|event| {
                let event: Event = serde_json::from_str(event.get()).ok()?;
                decode_row(event.kv, event.kind == "DELETE", latest)
            });
            let changes = Batch::collect(rows, latest);
            // etcd may send changes in parts, each with its latest revision.
            let reached = changes.items.iter().map(|it| it.revision).max();
            let skipped = (changes.unreadable > 0).then_some(latest);
            batch.revision = batch.revision.max(reached.or(skipped).unwrap_or_default());
            batch.items.extend(changes.items);
            batch.unreadable += changes.unreadable;
        }
        if batch.items.is_empty() && batch.unreadable == 0 && !ended {
            return Ok(None);
        }
        Ok(Some(batch))
    }

    fn idle_watch_is_silent(&self) -> bool {
        true
    }

    fn grant_lease(&self, ttl: Millis) -> Call {
        // etcd takes lease durations in whole seconds; round up.
        let seconds = ttl.0.div_ceil(1_000);
        Call::post(GRANT_PATH, &json!({ "TTL": seconds.to_string() }))
    }

    fn decode_lease(&self, bytes: &[u8]) -> Result<u64, FormatError> {
        let lease: Lease = serde_json::from_slice(bytes)?;
        parse_number(&lease.id)
    }

    fn renew_lease(&self, lease: u64) -> Call {
        Call::post(KEEPALIVE_PATH, &json!({ "ID": lease.to_string() }))
    }

    fn decode_renewal(&self, bytes: &[u8]) -> Result<bool, FormatError> {
        let response: KeepaliveResponse = serde_json::from_slice(bytes)?;
        Ok(parse_number(&response.result.ttl)? > 0)
    }

    fn renewed_at(&self, bytes: &[u8]) -> Option<u64> {
        let response: KeepaliveResponse = serde_json::from_slice(bytes).ok()?;
        let number = parse_number(&response.result.header.revision).ok()?;
        (number > 0).then_some(number)
    }

    fn revoke_lease(&self, lease: u64) -> Call {
        Call::post(REVOKE_PATH, &json!({ "ID": lease.to_string() }))
    }

    fn put(&self, key: &str, value: &[u8], lease: u64) -> Call {
        let value = STANDARD.encode(value);
        let body = json!({ "key": encode_key(key), "value": value, "lease": lease.to_string() });
        Call::post(PUT_PATH, &body)
    }

    fn put_if(&self, key: &str, value: &[u8], expected: &[(&str, Revision)]) -> Call {
        conditional_put(key, value, expected)
    }

    fn decode_put_if(&self, bytes: &[u8]) -> Result<bool, FormatError> {
        decode_txn(bytes)
    }
}

/// Reads a single key.
pub fn get(key: &str) -> Call {
    Call::post(RANGE_PATH, &json!({ "key": encode_key(key) }))
}

/// Writes a value if its key still has a revision; number 0 means that the key must not exist.
///
/// This prevents lost updates when two operators change the same document at once.
pub fn compare_and_swap(key: &str, value: &[u8], revision: Revision) -> Call {
    conditional_put(key, value, &[(key, revision)])
}

fn conditional_put(key: &str, value: &[u8], expected: &[(&str, Revision)]) -> Call {
    let value = STANDARD.encode(value);
    let compare = |(key, revision): &(&str, Revision)| {
        json!({
            "key": encode_key(key),
            "target": "MOD",
            "result": "EQUAL",
            "mod_revision": revision.number.to_string(),
        })
    };
    let body = json!({
        "compare": expected.iter().map(compare).collect::<Vec<_>>(),
        "success": [{ "request_put": { "key": encode_key(key), "value": value } }],
    });
    Call::post(TXN_PATH, &body)
}

/// Removes a key.
pub fn remove(key: &str) -> Call {
    Call::post(DELETE_PATH, &json!({ "key": encode_key(key) }))
}

/// Decodes whether the conditions of a transaction held, so that its writes took effect.
///
/// # Errors
///
/// The response is malformed.
pub fn decode_txn(bytes: &[u8]) -> Result<bool, FormatError> {
    let response: TxnResponse = serde_json::from_slice(bytes)?;
    Ok(response.succeeded)
}

/// The exclusive end of the range of keys with [`names::KEY_PREFIX`]: `0` is the character after
/// `/`.
const RANGE_END: &str = "siskinyoke0";

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Header {
    revision: String,
}

#[derive(Debug, Deserialize)]
struct Page<'a> {
    #[serde(default)]
    header: Header,
    #[serde(default, borrow)]
    kvs: Vec<&'a RawValue>,
    #[serde(default)]
    more: bool,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Row {
    key: String,
    value: String,
    mod_revision: String,
}

impl Row {
    fn decode(self, removed: bool, era: u64) -> Result<Item, FormatError> {
        let key = String::from_utf8(STANDARD.decode(self.key)?);
        let key = key.map_err(|_| FormatError::InvalidValue("key".to_owned(), "expected UTF-8"))?;
        let value = STANDARD.decode(self.value)?;
        Ok(Item {
            key,
            revision: Revision::new(era, parse_number(&self.mod_revision)?),
            value: (!removed).then_some(value),
        })
    }
}

// Returns `None` if the row has no readable key.
fn decode_row(row: &RawValue, removed: bool, latest: Revision) -> Option<Item> {
    let decoded = serde_json::from_str::<Row>(row.get());
    let decoded = decoded.map_err(FormatError::from);
    if let Ok(item) = decoded.and_then(|row| row.decode(removed, latest.era)) {
        return Some(item);
    }
    let key = String::from_utf8(key_bytes(row)?).ok()?;
    Some(Item::unreadable(key, latest))
}

// Returns the encoded smallest key greater than that of a row, which is that key followed by a zero
// byte. The keys of other writers may be any bytes.
fn following_key(row: &RawValue) -> Option<String> {
    let mut key = key_bytes(row)?;
    key.push(0);
    Some(STANDARD.encode(key))
}

fn key_bytes(row: &RawValue) -> Option<Vec<u8>> {
    let row: RowKey = serde_json::from_str(row.get()).ok()?;
    STANDARD.decode(row.key).ok()
}

#[derive(Debug, Deserialize)]
struct RowKey {
    key: String,
}

#[derive(Debug, Deserialize)]
struct WatchMessage<'a> {
    #[serde(borrow)]
    result: WatchResult<'a>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct WatchResult<'a> {
    header: Header,
    canceled: bool,
    #[serde(borrow)]
    events: Vec<&'a RawValue>,
}

#[derive(Debug, Deserialize)]
struct Event<'a> {
    // Absent for a write.
    #[serde(rename = "type", default)]
    kind: String,
    #[serde(borrow)]
    kv: &'a RawValue,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Lease {
    header: Header,
    #[serde(rename = "ID")]
    id: String,
    // Absent if the lease has expired.
    #[serde(rename = "TTL")]
    ttl: String,
}

#[derive(Debug, Deserialize)]
struct KeepaliveResponse {
    result: Lease,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct TxnResponse {
    succeeded: bool,
}

fn encode_key(key: &str) -> String {
    STANDARD.encode(key)
}

// etcd encodes 64-bit integers as strings and omits zeros.
fn parse_number(text: &str) -> Result<u64, FormatError> {
    if text.is_empty() {
        return Ok(0);
    }
    text.parse()
        .map_err(|_| FormatError::InvalidValue(text.to_owned(), "expected an integer from etcd"))
}

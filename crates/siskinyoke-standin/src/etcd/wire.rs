//! The JSON format of the supported requests and responses of etcd's v3 gateway.
//!
//! As in etcd, field names may be in snake case or camel case. Keys and values are encoded in
//! base64, and 64-bit numbers are strings or JSON numbers.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use serde::Deserializer;
use serde::de::Error;
use serde_json::Value;
use serde_json::json;

use super::store::Entry;
use super::store::KeyRange;

/// The body of `POST /v3/kv/range`, or a read in a transaction.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct Range {
    /// The first key.
    #[serde(deserialize_with = "decode_base64")]
    pub key: Vec<u8>,
    /// The end of the range.
    #[serde(alias = "rangeEnd", deserialize_with = "decode_base64")]
    pub range_end: Vec<u8>,
    /// The maximum number of keys to return, or 0 for all.
    #[serde(deserialize_with = "decode_i64")]
    pub limit: i64,
    /// What the keys are sorted by: `MOD`, or the key itself if it is empty.
    #[serde(alias = "sortTarget")]
    pub sort_target: String,
    /// The order: `DESCEND`, or ascending if it is empty.
    #[serde(alias = "sortOrder")]
    pub sort_order: String,
}

impl Range {
    /// Returns the range of keys.
    pub fn key_range(&self) -> KeyRange {
        KeyRange {
            key: self.key.clone(),
            end: self.range_end.clone(),
        }
    }
}

/// The body of `POST /v3/kv/put`, or a write in a transaction.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct Put {
    /// The key.
    #[serde(deserialize_with = "decode_base64")]
    pub key: Vec<u8>,
    /// The value.
    #[serde(deserialize_with = "decode_base64")]
    pub value: Vec<u8>,
    /// The ID of the lease, or 0.
    #[serde(deserialize_with = "decode_i64")]
    pub lease: i64,
}

/// The body of `POST /v3/kv/txn`.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct Txn {
    /// The conditions.
    pub compare: Vec<Compare>,
    /// The operations to execute if all conditions hold.
    pub success: Vec<Op>,
    /// The operations to execute otherwise.
    pub failure: Vec<Op>,
}

/// An operation in a transaction, of which one field is set.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct Op {
    /// A read.
    #[serde(alias = "requestRange")]
    pub request_range: Option<Range>,
    /// A write.
    #[serde(alias = "requestPut")]
    pub request_put: Option<Put>,
    /// A deletion.
    #[serde(alias = "requestDeleteRange")]
    pub request_delete_range: Option<Range>,
}

/// A condition of a transaction.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct Compare {
    /// The required relation between the key's number and the given one.
    pub result: Relation,
    /// The number of the key to compare.
    pub target: Target,
    /// The key.
    #[serde(deserialize_with = "decode_base64")]
    pub key: Vec<u8>,
    /// The version to compare with.
    #[serde(deserialize_with = "decode_i64")]
    pub version: i64,
    /// The create revision to compare with.
    #[serde(alias = "createRevision", deserialize_with = "decode_i64")]
    pub create_revision: i64,
    /// The mod revision to compare with.
    #[serde(alias = "modRevision", deserialize_with = "decode_i64")]
    pub mod_revision: i64,
}

/// A relation between the number of a key and a given number.
#[derive(Debug, Default, Clone, Copy, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum Relation {
    /// Both numbers are equal.
    #[default]
    Equal,
    /// The key's number is greater.
    Greater,
    /// The key's number is less.
    Less,
    /// The numbers differ.
    NotEqual,
}

/// The number of a key that a condition compares.
#[derive(Debug, Default, Clone, Copy, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Target {
    /// The version.
    #[default]
    Version,
    /// The create revision.
    Create,
    /// The mod revision, which is that of the last write.
    Mod,
}

impl Compare {
    /// Returns whether a key meets the condition. All numbers of a missing key are 0.
    pub fn matches(&self, entry: Option<&Entry>) -> bool {
        let (actual, expected) = match self.target {
            Target::Version => (entry.map(|entry| entry.version), self.version),
            Target::Create => (
                entry.map(|entry| entry.create_revision),
                self.create_revision,
            ),
            Target::Mod => (entry.map(|entry| entry.mod_revision), self.mod_revision),
        };
        let actual = actual.unwrap_or_default();
        match self.result {
            Relation::Equal => actual == expected,
            Relation::Greater => actual > expected,
            Relation::Less => actual < expected,
            Relation::NotEqual => actual != expected,
        }
    }
}

/// The body of the lease requests.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct LeaseRequest {
    /// The TTL in seconds.
    #[serde(rename = "TTL", deserialize_with = "decode_i64")]
    pub ttl: i64,
    /// The ID of the lease.
    #[serde(rename = "ID", deserialize_with = "decode_i64")]
    pub id: i64,
}

/// The body of `POST /v3/watch`.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct Watch {
    /// The range to watch and the first revision.
    #[serde(alias = "createRequest")]
    pub create_request: WatchCreate,
}

/// The range to watch and the first revision.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct WatchCreate {
    /// The first key.
    #[serde(deserialize_with = "decode_base64")]
    pub key: Vec<u8>,
    /// The end of the range.
    #[serde(alias = "rangeEnd", deserialize_with = "decode_base64")]
    pub range_end: Vec<u8>,
    /// The first revision whose changes are sent, or 0 for future changes only.
    #[serde(alias = "startRevision", deserialize_with = "decode_i64")]
    pub start_revision: i64,
}

/// Returns the header of a response.
pub fn response_header(revision: i64) -> Value {
    json!({
        "cluster_id": "1",
        "member_id": "1",
        "revision": revision.to_string(),
        "raft_term": "1",
    })
}

/// Encodes an entry as in responses.
pub fn encode_entry(entry: &Entry) -> Value {
    let mut value = json!({
        "key": STANDARD.encode(&entry.key),
        "mod_revision": entry.mod_revision.to_string(),
    });
    if entry.version > 0 {
        value["create_revision"] = entry.create_revision.to_string().into();
        value["version"] = entry.version.to_string().into();
        value["value"] = STANDARD.encode(&entry.value).into();
    }
    if entry.lease != 0 {
        value["lease"] = entry.lease.to_string().into();
    }
    value
}

fn decode_base64<'de, D: Deserializer<'de>>(source: D) -> Result<Vec<u8>, D::Error> {
    let text = String::deserialize(source)?;
    STANDARD.decode(text).map_err(D::Error::custom)
}

fn decode_i64<'de, D: Deserializer<'de>>(source: D) -> Result<i64, D::Error> {
    #[derive(Deserialize)]
    #[serde(untagged)]
    enum Form {
        Text(String),
        Plain(i64),
    }
    match Form::deserialize(source)? {
        Form::Text(text) => text.parse().map_err(D::Error::custom),
        Form::Plain(number) => Ok(number),
    }
}

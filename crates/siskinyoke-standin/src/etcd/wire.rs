//! The requests of etcd's v3 JSON gateway, as far as the stand-in knows them.
//!
//! Field names are taken in both of the forms that the gateway takes; keys and values are in
//! base64, 64-bit numbers in strings or as they are.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use serde::Deserializer;
use serde::de::Error;
use serde_json::Value;
use serde_json::json;

use super::store::Entry;
use super::store::KeyRange;

/// `POST /v3/kv/range`, and a read within a transaction.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct Range {
    /// The first key.
    #[serde(deserialize_with = "bytes")]
    pub key: Vec<u8>,
    /// The end of the range.
    #[serde(alias = "rangeEnd", deserialize_with = "bytes")]
    pub range_end: Vec<u8>,
    /// The most keys to return, or 0 for all.
    #[serde(deserialize_with = "number")]
    pub limit: i64,
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

/// `POST /v3/kv/put`, and a write within a transaction.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct Put {
    /// The key.
    #[serde(deserialize_with = "bytes")]
    pub key: Vec<u8>,
    /// The value.
    #[serde(deserialize_with = "bytes")]
    pub value: Vec<u8>,
    /// The lease, or 0.
    #[serde(deserialize_with = "number")]
    pub lease: i64,
}

/// `POST /v3/kv/txn`.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct Txn {
    /// What must hold.
    pub compare: Vec<Compare>,
    /// What is done if all of it holds.
    pub success: Vec<Op>,
    /// What is done if not.
    pub failure: Vec<Op>,
}

/// One operation of a transaction.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct Op {
    /// A read.
    #[serde(alias = "requestRange")]
    pub request_range: Option<Range>,
    /// A write.
    #[serde(alias = "requestPut")]
    pub request_put: Option<Put>,
    /// A removal.
    #[serde(alias = "requestDeleteRange")]
    pub request_delete_range: Option<Range>,
}

/// One condition of a transaction.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct Compare {
    /// How the numbers are to stand to one another.
    pub result: Relation,
    /// Which number of the key is compared.
    pub target: Target,
    /// The key.
    #[serde(deserialize_with = "bytes")]
    pub key: Vec<u8>,
    /// The version to compare with.
    #[serde(deserialize_with = "number")]
    pub version: i64,
    /// The revision of creation to compare with.
    #[serde(alias = "createRevision", deserialize_with = "number")]
    pub create_revision: i64,
    /// The revision of the last write to compare with.
    #[serde(alias = "modRevision", deserialize_with = "number")]
    pub mod_revision: i64,
}

/// How two numbers are to stand to one another.
#[derive(Debug, Default, Clone, Copy, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum Relation {
    /// The same.
    #[default]
    Equal,
    /// The key's is greater.
    Greater,
    /// The key's is less.
    Less,
    /// Not the same.
    NotEqual,
}

/// Which number of a key is compared.
#[derive(Debug, Default, Clone, Copy, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Target {
    /// Its version.
    #[default]
    Version,
    /// The revision of its creation.
    Create,
    /// The revision of its last write.
    Mod,
}

impl Compare {
    /// Says whether the condition holds of a key, which may be missing.
    pub fn matches(&self, entry: Option<&Entry>) -> bool {
        let (found, wanted) = match self.target {
            Target::Version => (entry.map(|entry| entry.version), self.version),
            Target::Create => (
                entry.map(|entry| entry.create_revision),
                self.create_revision,
            ),
            Target::Mod => (entry.map(|entry| entry.mod_revision), self.mod_revision),
        };
        let found = found.unwrap_or_default();
        match self.result {
            Relation::Equal => found == wanted,
            Relation::Greater => found > wanted,
            Relation::Less => found < wanted,
            Relation::NotEqual => found != wanted,
        }
    }
}

/// The requests about leases.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct LeaseRequest {
    /// Its span in seconds.
    #[serde(rename = "TTL", deserialize_with = "number")]
    pub ttl: i64,
    /// Its name.
    #[serde(rename = "ID", deserialize_with = "number")]
    pub id: i64,
}

/// `POST /v3/watch`.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct Watch {
    /// What is watched.
    #[serde(alias = "createRequest")]
    pub create_request: WatchCreate,
}

/// What is watched.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct WatchCreate {
    /// The first key.
    #[serde(deserialize_with = "bytes")]
    pub key: Vec<u8>,
    /// The end of the range.
    #[serde(alias = "rangeEnd", deserialize_with = "bytes")]
    pub range_end: Vec<u8>,
    /// The first revision whose changes are sent, or 0 for those to come.
    #[serde(alias = "startRevision", deserialize_with = "number")]
    pub start_revision: i64,
}

/// Writes the head of every answer.
pub fn response_header(revision: i64) -> Value {
    json!({
        "cluster_id": "1",
        "member_id": "1",
        "revision": revision.to_string(),
        "raft_term": "1",
    })
}

/// Writes a key as answers hold it.
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

fn bytes<'de, D: Deserializer<'de>>(source: D) -> Result<Vec<u8>, D::Error> {
    let text = String::deserialize(source)?;
    STANDARD.decode(text).map_err(D::Error::custom)
}

fn number<'de, D: Deserializer<'de>>(source: D) -> Result<i64, D::Error> {
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

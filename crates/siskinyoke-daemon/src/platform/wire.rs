//! The part of etcd's v3 JSON gateway that is used, in its own field names.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::Error;

use siskinyoke_base::DataCentre;
use siskinyoke_base::InstanceId;
use siskinyoke_control::platform::ListedInstance;
use siskinyoke_control::platform::Versioned;

/// Bytes that travel in base64.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Base64(pub Bytes);

impl From<&str> for Base64 {
    fn from(text: &str) -> Self {
        Self(Bytes::copy_from_slice(text.as_bytes()))
    }
}

impl Serialize for Base64 {
    fn serialize<S: Serializer>(&self, target: S) -> Result<S::Ok, S::Error> {
        target.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Base64 {
    fn deserialize<D: Deserializer<'de>>(source: D) -> Result<Self, D::Error> {
        let text = String::deserialize(source)?;
        let bytes = STANDARD.decode(text).map_err(D::Error::custom)?;
        Ok(Self(Bytes::from(bytes)))
    }
}

/// A 64-bit number that travels as a string.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Number(pub i64);

impl Serialize for Number {
    fn serialize<S: Serializer>(&self, target: S) -> Result<S::Ok, S::Error> {
        target.serialize_str(&self.0.to_string())
    }
}

impl<'de> Deserialize<'de> for Number {
    fn deserialize<D: Deserializer<'de>>(source: D) -> Result<Self, D::Error> {
        let text = String::deserialize(source)?;
        text.parse().map(Self).map_err(D::Error::custom)
    }
}

/// The head of every answer.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct Header {
    /// The service's revision.
    pub revision: Number,
}

/// Reads a range of keys.
#[derive(Debug, Default, Serialize)]
pub struct RangeRequest {
    /// The first key.
    pub key: Base64,
    /// The end of the range; left out for one key.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub range_end: Option<Base64>,
    /// The most keys to return.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub limit: Option<Number>,
}

/// The keys of a range.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct RangeResponse {
    /// The head.
    pub header: Header,
    /// The keys in their order.
    pub kvs: Vec<KeyValue>,
}

/// A key with its value and numbers.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct KeyValue {
    /// The key.
    pub key: Base64,
    /// The value.
    pub value: Base64,
    /// Writes since the key was made; 0 in the event of its removal.
    pub version: Number,
    /// Revision of the last write.
    pub mod_revision: Number,
}

impl From<KeyValue> for Versioned {
    fn from(kv: KeyValue) -> Self {
        Self {
            key: String::from_utf8_lossy(&kv.key.0).into_owned(),
            value: kv.value.0,
            version: u64::try_from(kv.version.0).unwrap_or_default(),
        }
    }
}

/// Writes a key.
#[derive(Debug, Default, Serialize)]
pub struct PutRequest {
    /// The key.
    pub key: Base64,
    /// The value.
    pub value: Base64,
    /// The lease that it lives under.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub lease: Option<Number>,
}

/// One condition of a transaction: a key's version.
#[derive(Debug, Serialize)]
pub struct Compare {
    /// Always `EQUAL`.
    pub result: &'static str,
    /// Always `VERSION`.
    pub target: &'static str,
    /// The key.
    pub key: Base64,
    /// The version that it must have.
    pub version: Number,
}

/// One operation of a transaction.
#[derive(Debug, Serialize)]
pub enum Op {
    /// A read.
    #[serde(rename = "request_range")]
    Range(RangeRequest),
    /// A write.
    #[serde(rename = "request_put")]
    Put(PutRequest),
    /// A removal.
    #[serde(rename = "request_delete_range")]
    DeleteRange(RangeRequest),
}

/// Does something if conditions hold, and something else if not.
#[derive(Debug, Serialize)]
pub struct TxnRequest {
    /// The conditions.
    pub compare: Vec<Compare>,
    /// What is done if all hold.
    pub success: Vec<Op>,
    /// What is done if not.
    pub failure: Vec<Op>,
}

/// What a transaction did.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct TxnResponse {
    /// Whether all conditions held.
    pub succeeded: bool,
    /// The answers of its operations.
    pub responses: Vec<OpResponse>,
}

/// The answer of one operation; only that of a read is looked at.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct OpResponse {
    /// The keys read.
    pub response_range: Option<RangeResponse>,
}

/// Asks for something about a lease.
#[derive(Debug, Default, Serialize)]
pub struct LeaseRequest {
    /// Its span in seconds.
    #[serde(rename = "TTL", skip_serializing_if = "Option::is_none")]
    pub ttl: Option<Number>,
    /// Its name.
    #[serde(rename = "ID", skip_serializing_if = "Option::is_none")]
    pub id: Option<Number>,
}

/// A lease made.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct LeaseResponse {
    /// Its span in seconds; 0 if it has lapsed.
    #[serde(rename = "TTL")]
    pub ttl: Number,
    /// Its name.
    #[serde(rename = "ID")]
    pub id: Number,
}

/// One message of a streamed answer.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct Streamed<T> {
    /// The message.
    pub result: T,
}

/// Asks for the changes of a key.
#[derive(Debug, Serialize)]
pub struct WatchRequest {
    /// What is watched.
    pub create_request: WatchCreate,
}

/// What is watched.
#[derive(Debug, Serialize)]
pub struct WatchCreate {
    /// The key.
    pub key: Base64,
    /// The first revision whose changes are sent.
    pub start_revision: Number,
}

/// One message of a watch.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct WatchResponse {
    /// Whether the watch has ended.
    pub canceled: bool,
    /// The changes.
    pub events: Vec<Event>,
}

/// One change of a key.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct Event {
    /// The key after the change.
    pub kv: KeyValue,
}

/// One line of the instance list.
#[derive(Debug, Deserialize)]
pub struct InstanceLine {
    /// The instance.
    pub instance: InstanceId,
    /// Its data centre.
    pub centre: DataCentre,
    /// Address for peers.
    pub peer: String,
    /// Address for callers.
    pub caller: String,
    /// Whether the platform is taking it away.
    #[serde(default)]
    pub leaving: bool,
}

impl From<InstanceLine> for ListedInstance {
    fn from(line: InstanceLine) -> Self {
        Self {
            instance: line.instance,
            centre: line.centre,
            peer: line.peer,
            caller: line.caller,
            leaving: line.leaving,
        }
    }
}

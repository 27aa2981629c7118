//! What instances tell each other, whole each time, so that a lost report needs no repair.

use serde::Deserialize;
use serde::Serialize;

use crate::EndpointKey;
use crate::pending::QueueOrder;
use crate::stable_hash;

/// One instance's present state, as told to its peers many times a second.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Names the start of the process that sent it; drawn at random.
    pub source: u64,
    /// How long the process has run, in ms.
    pub age: u64,
    /// Counts its reports; an older one that arrives late is dropped.
    pub number: u64,
    /// Whether it takes callers.
    pub ready: bool,
    /// Whether it is leaving.
    pub leaving: bool,
    /// The version of the configuration it has in force.
    pub configuration: u64,
    /// The store's revision up to which it knows everything; 0 before it has read any.
    pub revision: u64,
    /// Whether its last call of the store succeeded.
    #[serde(rename = "reaches")]
    pub store_reachable: bool,
    /// Its requests at each endpoint.
    pub running: Vec<RunningRow>,
    /// Its waiting requests by service and order.
    pub waiting: Vec<WaitingRow>,
    /// Units used by organisation since its start, less those that other shards gave.
    #[serde(rename = "spent")]
    pub quota_used: Vec<(u32, i64)>,
    /// Rate limits that endpoints name, while there are any.
    pub limits: Vec<LimitRow>,
    /// The answers of versions on trial, while there are any.
    pub canaries: Vec<CanaryReport>,
    /// What changes seldom, in a few reports a second.
    #[serde(rename = "about")]
    pub info: Option<InstanceInfo>,
}

/// One instance's requests at one endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningRow {
    /// The endpoint's key, shortened.
    pub endpoint: u32,
    /// How many run there.
    pub count: u16,
    /// Prompt tokens of those whose answer has not begun.
    #[serde(rename = "unread")]
    pub prefill_tokens: u32,
    /// The endpoint's pace as the sender has seen it, in eighths of what is usual; 0 if it has not.
    #[serde(rename = "pace")]
    pub speed_factor: u8,
}

/// Where an instance is found.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceLocation {
    /// Where callers reach it.
    #[serde(rename = "front")]
    pub caller_address: String,
    /// Where peers reach it.
    #[serde(rename = "inner")]
    pub peer_address: String,
    /// Its data centre.
    pub centre: String,
}

/// What an instance tells of itself now and then.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceInfo {
    /// Its name.
    pub name: String,
    /// Where it is found.
    #[serde(rename = "place")]
    pub location: InstanceLocation,
    /// Endpoints it knows to be leaving or gone.
    #[serde(rename = "leavers")]
    pub leaving_endpoints: Vec<EndpointKey>,
    /// Work that crashed endpoints, with the starts of these.
    pub quarantine: Vec<(u64, Vec<u32>)>,
    /// Inner addresses of the peers it hears.
    pub peers: Vec<String>,
}

/// The waiting requests of one service and order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaitingRow {
    /// The service, hashed.
    pub service: u32,
    /// Their order: the smaller goes first.
    pub order: QueueOrder,
    /// How many wait.
    pub count: u16,
    /// How long the first of them has waited, in ms, with its head start.
    #[serde(rename = "oldest")]
    pub oldest_wait: u32,
    /// How long they keep a place of the usual pace busy, in ms.
    #[serde(rename = "work")]
    pub service_time: u32,
}

/// The rate limit that an endpoint names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitRow {
    /// The endpoint's key, shortened.
    pub endpoint: u32,
    /// Requests a second over all instances, in thousandths; 0 if the limit was lifted.
    pub rate: u32,
    /// How long ago an answer said so, in ms.
    pub age: u32,
}

/// What an instance saw of a version on trial.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CanaryReport {
    /// The service, hashed.
    pub service: u32,
    /// The store's revision of the order.
    pub order: u64,
    /// How long the order has been known, in ms.
    pub age: u64,
    /// Whether the version was found to be bad.
    #[serde(rename = "condemned")]
    pub failed: bool,
    /// The answers by route.
    pub samples: Vec<CanaryRow>,
}

/// The answers of both versions on one route, faded with their age, in sixteenths: all and bad ones.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CanaryRow {
    /// The route, hashed.
    pub route: u32,
    /// Those of the new version.
    pub new: (u16, u16),
    /// Those of the standing version.
    #[serde(rename = "standing")]
    pub stable: (u16, u16),
    /// Some endpoints of the new version that gave bad ones, by shortened key.
    pub endpoints: Vec<u32>,
}

/// Returns a name's hash as it stands in reports.
pub fn short_hash(name: &str) -> u32 {
    (stable_hash(&name) >> 32) as u32
}

//! State reports that instances send to their peers.
//!
//! A report carries absolute values, not differences, so a lost one needs no retransmission.

use serde::Deserialize;
use serde::Serialize;

use crate::EndpointKey;
use crate::PromptPart;
use crate::PromptParts;
use crate::scheduled_request::QueueOrder;
use crate::stable_hash;
use siskinyoke_base::Millis;
use siskinyoke_base::Revision;

/// Steps per ms of a reported part interval.
const INTERVAL_STEPS_PER_MS: f64 = 10.0;

/// The current state of one instance, sent to its peers many times a second.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Identifies the sending process; drawn at random when it starts.
    #[serde(rename = "source")]
    pub incarnation: u64,
    /// The time since the process applied its first configuration, in ms.
    pub age: u64,
    /// The sequence number; a report with a lower one than the last is dropped.
    pub number: u64,
    /// Whether the instance accepts callers.
    pub ready: bool,
    /// Whether the instance is shutting down.
    #[serde(rename = "leaving")]
    pub shutting_down: bool,
    /// The version of the active configuration.
    pub configuration: u64,
    /// The number of the store revision that the instance has applied; 0 before its first read.
    #[serde(rename = "revision")]
    pub revision_number: u64,
    /// Whether its last call to the store succeeded.
    #[serde(rename = "reaches")]
    pub store_reachable: bool,
    /// Its running requests by endpoint.
    pub running: Vec<RunningRow>,
    /// Its waiting requests by service and queue order.
    pub waiting: Vec<WaitingRow>,
    /// Quota units used since the process started, by hash of the organisation's name.
    ///
    /// Units borrowed from other shards are deducted.
    #[serde(rename = "spent")]
    pub quota_used: Vec<(u32, i64)>,
    /// Rate limits that endpoints have announced, if any.
    pub limits: Vec<LimitRow>,
    /// Results of the versions under canary evaluation, if any.
    pub canaries: Vec<CanaryReport>,
    /// Slowly changing data, included in a few reports a second.
    #[serde(rename = "about")]
    pub info: Option<InstanceInfo>,
    /// The era of the store revision. Reports of early versions end before it.
    pub era: u64,
    /// What it relays for its peers; `None` in reports of versions that relay nothing, which end
    /// before it.
    pub relay: Option<RelayReport>,
    /// How many rejections endpoints bear, if they state it. Reports of earlier versions end before
    /// it.
    pub rejection_limits: Vec<RejectionRow>,
    /// Slot time of organisations at the services whose slots are short, several times a second.
    /// Reports of earlier versions end before it.
    pub shares: Vec<ServiceShareRows>,
    /// Responses of the versions under canary evaluation. Reports of earlier versions end before
    /// it.
    pub canary_slices: Vec<CanarySlices>,
    /// Prompt parts that were being processed when endpoints crashed, included in a few reports a
    /// second. Reports of earlier versions end before it.
    pub prompt_parts: Vec<PartRow>,
    /// Requests that were completed although they ran beside crashes, included in a few reports a
    /// second. Reports of earlier versions end before it.
    pub sound_requests: Vec<SoundRequestRow>,
    /// Attempts under which endpoints fell silent that are gone: the latest in several reports, and all
    /// in turn in a few reports a second. Reports of earlier versions end before it.
    pub silent_attempts: Vec<SilentAttemptRow>,
    /// How fast endpoints generate responses, included in a few reports a second. Reports of earlier
    /// versions end before it.
    pub part_intervals: Vec<PartIntervalRow>,
    /// What became of the requests of each route, included in a few reports a second. Reports of
    /// earlier versions end before it.
    pub size_shares: Vec<SizeShareRow>,
}

impl Report {
    /// Returns the store revision that the instance has applied.
    pub fn revision(&self) -> Revision {
        Revision::new(self.era, self.revision_number)
    }
}

/// The requests of one instance at one endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningRow {
    /// The endpoint's short key.
    pub endpoint: u32,
    /// The number of running requests.
    pub count: u16,
    /// Prompt tokens of the requests whose response has not begun.
    #[serde(rename = "unread")]
    pub prefill_tokens: u32,
    /// The endpoint's measured service time relative to the expected one, in eighths; 0 if unknown.
    #[serde(rename = "pace")]
    pub speed_factor: u8,
}

/// The addresses and the data centre of an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceLocation {
    /// The address for callers.
    #[serde(rename = "front")]
    pub caller_address: String,
    /// The address for peers.
    #[serde(rename = "inner")]
    pub peer_address: String,
    /// The data centre.
    pub centre: String,
}

/// Slowly changing data about an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceInfo {
    /// The instance's name.
    pub name: String,
    /// Its addresses and data centre.
    #[serde(rename = "place")]
    pub location: InstanceLocation,
    /// Endpoints known to be shutting down or gone.
    #[serde(rename = "leavers")]
    pub leaving_endpoints: Vec<EndpointKey>,
    /// Fingerprints of poison requests, each with the short keys of the endpoints it crashed.
    pub quarantine: Vec<(u64, Vec<u32>)>,
    /// Peer addresses of the instances that it receives reports from.
    pub peers: Vec<String>,
}

/// The waiting requests of one service and queue order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaitingRow {
    /// The hash of the service's name.
    pub service: u32,
    /// The queue order of the requests; lower values go first.
    pub order: QueueOrder,
    /// The number of waiting requests.
    pub count: u16,
    /// How long the first of them has waited, including its head start, in ms.
    #[serde(rename = "oldest")]
    pub oldest_wait: u32,
    /// Their total service time at a speed factor of 1, in ms.
    #[serde(rename = "work")]
    pub service_time: u32,
}

/// How fast an endpoint generates responses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartIntervalRow {
    /// The endpoint's short key.
    pub endpoint: u32,
    /// The mean time between two parts of a response, in tenths of a ms.
    pub interval: u32,
}

impl PartIntervalRow {
    /// Creates the row of an endpoint from the mean time between two parts, in ms.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "not negative, and larger values saturate"
    )]
    pub fn new(endpoint: EndpointKey, interval_ms: f64) -> Self {
        Self {
            endpoint: endpoint.short_key(),
            interval: (interval_ms * INTERVAL_STEPS_PER_MS).round() as u32,
        }
    }

    /// Returns the mean time between two parts of a response, in ms.
    pub fn interval_ms(&self) -> f64 {
        f64::from(self.interval) / INTERVAL_STEPS_PER_MS
    }
}

/// How many requests of one route arrived and were served, decaying with age.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct SizeShareRow {
    /// The hash of the route's name.
    pub route: u32,
    /// The number of requests that arrived.
    pub offered: f32,
    /// The number of requests that were sent to endpoints and not cut off there.
    pub served: f32,
    /// The expected service time of those that arrived, in ms.
    pub offered_time: f32,
    /// The expected service time of those that were served, in ms.
    pub served_time: f32,
}

/// The rate limit that an endpoint has announced.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitRow {
    /// The endpoint's short key.
    pub endpoint: u32,
    /// Requests per second over all instances, in thousandths; 0 if the limit was lifted.
    pub rate: u32,
    /// The time since the response that announced it, in ms.
    pub age: u32,
}

/// What an instance tells its peers about the requests that it can relay.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayReport {
    /// Hashes of the names of the services whose endpoints it cannot reach itself.
    pub lost_services: Vec<u32>,
    /// The number of requests that it relays.
    pub in_flight: u16,
}

/// How many rejections an endpoint bears.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RejectionRow {
    /// The endpoint's short key.
    pub endpoint: u32,
    /// One more than the number of rejections a second, from all instances; 0 if the limit was
    /// lifted.
    pub limit: u32,
    /// The time since the response that stated it, in ms.
    pub age: u32,
    /// The time since the endpoint last rejected a request, in ms.
    pub rejected_age: Option<u32>,
}

/// What an instance knows of a prompt part that was being processed when endpoints crashed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartRow {
    /// The part.
    pub part: PromptPart,
    /// Its lowest position in the prompts in which it was suspected.
    pub position: u8,
    /// The time since a response showed that endpoints bear it, in ms.
    pub sound_age: Option<u32>,
    /// The crashes since then.
    pub crashes: Vec<PartCrashRow>,
}

/// The crash of an endpoint, as reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartCrashRow {
    /// The endpoint's short key.
    pub endpoint: u32,
    /// The time since the crash, in ms.
    pub age: u32,
    /// Whether it ran a request without a later part that other requests may share.
    pub alone: bool,
}

/// A request that was completed although it ran beside crashes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SoundRequestRow {
    /// Its fingerprint.
    pub fingerprint: u64,
    /// The time since it was last completed, in ms.
    pub age: u32,
}

/// An attempt under which an endpoint fell silent that is gone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SilentAttemptRow {
    /// The fingerprint of the request.
    pub fingerprint: u64,
    /// The parts of its prompt that no response has cleared.
    pub parts: PromptParts,
    /// The endpoint's short key.
    pub endpoint: u32,
    /// The time since the endpoint is last known to have been alive, in ms.
    pub alive_age: u32,
    /// The time since the request was sent, in ms.
    pub sent_age: u32,
    /// The time since the attempt ended, in ms.
    pub age: u32,
    /// The time since the endpoint was known to be gone, in ms.
    pub gone_age: u32,
}

/// Slot time of organisations at one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceShareRows {
    /// The hash of the service's name.
    pub service: u32,
    /// The tiers for which slots are short at the instance.
    pub short_tiers: Vec<u8>,
    /// The organisations with the most slot time, and one row for the others of each tier.
    pub rows: Vec<ShareRow>,
}

/// Slot time of one organisation at one service, decayed with age.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareRow {
    /// The tier.
    pub tier: u8,
    /// The hash of the organisation's name; 0 for all that have no row of their own.
    pub organisation: u32,
    /// The slot time that its requests have used, in ms.
    pub used: u32,
    /// The slot time that its requests asked for, refused ones included, in ms.
    pub offered: u32,
}

/// What one instance knows of a version under canary evaluation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CanaryReport {
    /// The hash of the service's name.
    pub service: u32,
    /// The short form of the store revision of the rollout order; see [`short_revision`].
    pub order: u64,
    /// How long the order has been known, in ms.
    pub age: u64,
    /// Whether the version failed the evaluation.
    #[serde(rename = "condemned")]
    pub failed: bool,
    /// Response counts of earlier versions, which are not used, as they name no time.
    pub samples: Vec<CanaryRow>,
}

/// Response counts of both versions on one route, as reported by earlier versions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CanaryRow {
    /// The hash of the route's name.
    pub route: u32,
    /// All and bad responses of the new version, in sixteenths.
    pub new: (u16, u16),
    /// All and bad responses of the stable version, in sixteenths.
    #[serde(rename = "standing")]
    pub stable: (u16, u16),
    /// Short keys of some endpoints of the new version that gave bad responses.
    pub endpoints: Vec<u32>,
}

/// The responses of both versions of a service that one instance has counted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CanarySlices {
    /// The hash of the service's name.
    pub service: u32,
    /// The short form of the store revision of the rollout order; see [`short_revision`].
    pub order: u64,
    /// The counts of the latest slices of time.
    pub rows: Vec<CanarySlice>,
}

/// The responses of both versions in one slice of time, on one route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CanarySlice {
    /// The number of the slice since the order was placed, in seconds.
    pub number: u32,
    /// The hash of the route's name.
    pub route: u32,
    /// All and bad responses of the new version.
    pub new: (u16, u16),
    /// All and bad responses of the stable version.
    pub stable: (u16, u16),
    /// Short keys of some endpoints of the new version that gave bad responses.
    pub endpoints: Vec<u32>,
}

/// Returns the number that stands for a revision in reports: its own number in the first era, as
/// earlier versions send it, and a hash in later ones.
pub fn short_revision(revision: Revision) -> u64 {
    if revision.era == 0 {
        revision.number
    } else {
        stable_hash(&revision)
    }
}

/// Returns the short hash of a name that stands for it in reports.
pub fn short_hash(name: &str) -> u32 {
    (stable_hash(&name) >> 32) as u32
}

/// Returns the time since `at` in ms, as sent in reports.
pub(crate) fn age(now: Millis, at: Millis) -> u32 {
    u32::try_from(now.since(at).0).unwrap_or(u32::MAX)
}

//! Counters of an engine since its start.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

/// Counters of requests, crashes and prompt tokens.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Counters by request id.
    pub requests: BTreeMap<String, RequestCounts>,
    /// Requests received.
    pub dispatched: u64,
    /// Responses sent completely.
    pub completed: u64,
    /// Requests abandoned because the caller disconnected.
    pub cancelled: u64,
    /// Simulated crashes.
    pub crashes: u64,
    /// Prompt tokens prefilled.
    pub prefilled: u64,
    /// Prompt tokens found in the prefix cache.
    pub cached: u64,
    /// Prompt tokens prefilled for responses that were not completed.
    pub wasted: u64,
}

/// Counters of one request id.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestCounts {
    /// Times the request was received.
    pub dispatched: u64,
    /// Times its response was sent completely.
    pub completed: u64,
}

impl Counts {
    /// Counts a received request.
    pub fn record_dispatch(&mut self, request_id: &str) {
        self.dispatched += 1;
        self.requests
            .entry(request_id.to_owned())
            .or_default()
            .dispatched += 1;
    }

    /// Counts a completely sent response.
    pub fn record_completion(&mut self, request_id: &str) {
        self.completed += 1;
        self.requests
            .entry(request_id.to_owned())
            .or_default()
            .completed += 1;
    }
}

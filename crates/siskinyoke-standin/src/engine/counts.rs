//! What an engine has seen since it started.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

/// Counts of an engine or service.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Dispatches by the name that each request brought.
    pub requests: BTreeMap<String, RequestCounts>,
    /// Dispatches in all.
    pub dispatched: u64,
    /// Whole answers in all.
    pub completed: u64,
    /// Answers given up because the caller went away.
    pub cancelled: u64,
    /// Crashes.
    pub crashes: u64,
    /// Tokens of prompts worked through.
    pub prefilled: u64,
    /// Tokens of prompts that the prefix cache held.
    pub cached: u64,
    /// Tokens of prompts worked through for answers that were not completed.
    pub wasted: u64,
}

/// How often one request ran.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestCounts {
    /// Times it arrived.
    pub dispatched: u64,
    /// Times its whole answer was sent.
    pub completed: u64,
}

impl Counts {
    /// Counts a dispatch.
    pub fn record_dispatch(&mut self, request_id: &str) {
        self.dispatched += 1;
        self.requests
            .entry(request_id.to_owned())
            .or_default()
            .dispatched += 1;
    }

    /// Counts a whole answer.
    pub fn record_completion(&mut self, request_id: &str) {
        self.completed += 1;
        self.requests
            .entry(request_id.to_owned())
            .or_default()
            .completed += 1;
    }
}

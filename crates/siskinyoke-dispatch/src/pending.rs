//! What a decision needs to know of one request.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::EndpointKey;
use crate::Route;
use crate::TokenCounts;
use siskinyoke_base::Millis;

/// Names one admitted request within an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// How urgent a request is; the smaller goes first.
///
/// The organisation's priority goes before the route's.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Priority(pub u16);

impl Priority {
    /// Joins the two priorities into one rank.
    pub fn new(organisation: Option<u8>, route: u8) -> Self {
        let first = organisation.unwrap_or(route);
        Self(u16::from(first) << 8 | u16::from(route))
    }
}

/// Which of two waiting requests goes first: by rank, then what can still be on time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct QueueOrder(pub u32);

impl QueueOrder {
    /// Joins a rank and whether the answer would be late by now.
    pub fn new(rank: Priority, late: bool) -> Self {
        Self(u32::from(rank.0) << 1 | u32::from(late))
    }
}

/// One request as the decisions see it.
#[derive(Debug, Clone)]
pub struct ScheduledRequest {
    /// The service that has to run it.
    pub service: Arc<str>,
    /// The route it came by.
    pub route: Arc<Route>,
    /// How urgent it is.
    pub priority: Priority,
    /// When it arrived.
    pub arrived: Millis,
    /// When it would have arrived to stand where it does among those of its order: the head start of short
    /// work is taken off.
    pub virtual_arrival: Millis,
    /// When the caller, or the route, stops waiting for it.
    pub deadline: Millis,
    /// What it asks of an endpoint.
    pub tokens: TokenCounts,
    /// Identifies what runs: the same for each resend of the same work.
    pub fingerprint: u64,
    /// Endpoints it was given to, reached or not.
    pub tried: Vec<EndpointKey>,
    /// How many of them were reached.
    pub attempts: u32,
    /// Whether its answer would be late by now; it goes after what can still be on time.
    pub late: bool,
    /// Whether it was let in only because another shard may have a place for it.
    pub needs_loan: bool,
    /// Whether it is for the version on trial, or runs there.
    pub canary: bool,
}

impl ScheduledRequest {
    /// Returns its order among waiting requests.
    pub fn queue_order(&self) -> QueueOrder {
        QueueOrder::new(self.priority, self.late)
    }
}

//! What instances send to each other.

use serde::Deserialize;
use serde::Serialize;

use crate::EndpointKey;
use crate::Report;

/// One datagram between instances.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// How the sender stands.
    Report(Box<Report>),
    /// Asks an instance of another shard for something that the sender's shard lacks just now; the number
    /// names the question in its answer.
    Borrow(u64, BorrowRequest),
    /// Answers a question.
    Lend(u64, Grant),
    /// Returns a place that was given in answer to a question.
    Return(u64),
}

/// What an instance asks another shard for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum BorrowRequest {
    /// Units of an organisation's quota.
    Units(UnitsRequest),
    /// A place at an endpoint for one request, from another shard.
    #[serde(rename = "Place")]
    Slot(SlotRequest),
    /// A place at an endpoint whose rate limit the receiver holds a part of, from an instance of the same shard.
    #[serde(rename = "Reserved")]
    RateLimitedSlot(SlotRequest),
}

/// Units of an organisation's quota that are asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnitsRequest {
    /// The organisation, hashed.
    pub organisation: u32,
    /// How many.
    pub units: u64,
}

/// A request for which a place is asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotRequest {
    /// Its service, hashed.
    pub service: u32,
    /// Whether its answer comes as events.
    pub stream: bool,
    /// Tokens of prompt.
    #[serde(rename = "prompt")]
    pub prompt_tokens: u32,
    /// Tokens of output that are expected.
    #[serde(rename = "output")]
    pub output_tokens: u32,
    /// Its latency objective, in ms.
    #[serde(rename = "aim")]
    pub latency_target: u32,
    /// The longest pause between two events, in ms.
    #[serde(rename = "gap")]
    pub gap_target: u32,
    /// How long it has waited, in ms.
    pub waited: u32,
    /// How long its caller goes on waiting, in ms.
    #[serde(rename = "left")]
    pub remaining_wait: u32,
}

/// What another shard gives.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Grant {
    /// Nothing: it has none to spare.
    #[serde(rename = "Nothing")]
    Denied,
    /// So many units, which it has taken off its own part.
    Units(u64),
    /// A place at this endpoint, counted as taken until it is returned.
    #[serde(rename = "Place")]
    Slot(EndpointKey),
}

//! Messages that instances send to each other.

use serde::Deserialize;
use serde::Serialize;

use crate::EndpointKey;
use crate::Report;
use crate::StreamKey;
use crate::StreamOrigin;
use crate::StreamQuestion;
use crate::VersionKey;
use crate::organisation_shares::share_class::ShareClass;

/// One datagram between instances.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// The sender's current state.
    Report(Box<Report>),
    /// Asks an instance for a slot or quota that the sender cannot provide itself.
    ///
    /// The number identifies the request in the reply.
    Borrow(u64, BorrowRequest),
    /// Replies to the borrow request with this number.
    Lend(u64, Grant),
    /// Returns the slot that was lent in reply to the borrow request with this number.
    Return(u64),
    /// States at which versions streams began.
    ///
    /// Instances of earlier versions of this program know neither this nor the following messages:
    /// they hold no records and do not reply.
    StreamVersions(Vec<(StreamKey, VersionKey)>),
    /// Asks at which version a stream began.
    ///
    /// The number identifies the question in the reply.
    FindStream(u32, StreamQuestion),
    /// Replies to the question with this number.
    StreamOrigin(u32, StreamOrigin),
}

/// What an instance asks another one to lend.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum BorrowRequest {
    /// Units of an organisation's quota, from another shard.
    Units(UnitsRequest),
    /// A slot at an endpoint for one request, from another shard.
    #[serde(rename = "Place")]
    Slot(SlotRequest),
    /// A slot at an endpoint, from an instance of the same shard that holds part of its rate limit.
    #[serde(rename = "Reserved")]
    RateLimitedSlot(SlotRequest),
}

/// A request to borrow units of an organisation's quota.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnitsRequest {
    /// The hash of the organisation's name.
    pub organisation: u32,
    /// The number of units.
    pub units: u64,
}

/// A request to borrow a slot for one waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotRequest {
    /// The hash of the service's name.
    pub service: u32,
    /// Whether the response is an event stream.
    pub stream: bool,
    /// The number of prompt tokens.
    #[serde(rename = "prompt")]
    pub prompt_tokens: u32,
    /// The expected number of output tokens.
    #[serde(rename = "output")]
    pub output_tokens: u32,
    /// The latency target, in ms.
    #[serde(rename = "aim")]
    pub latency_target: u32,
    /// The target for the longest gap between two events, in ms.
    #[serde(rename = "gap")]
    pub gap_target: u32,
    /// How long the request has waited so far, in ms.
    pub waited: u32,
    /// The time until the request's deadline, in ms.
    #[serde(rename = "left")]
    pub remaining_wait: u32,
    /// How much of its share of the slots the request's organisation uses. Messages of earlier
    /// versions end before it.
    pub share_class: ShareClass,
}

/// The reply to a borrow request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Grant {
    /// The lender has nothing to spare.
    #[serde(rename = "Nothing")]
    Denied,
    /// Quota units, already deducted from the lender's share.
    Units(u64),
    /// A slot at this endpoint, which the lender counts as occupied until it is returned.
    #[serde(rename = "Place")]
    Slot(EndpointKey),
}

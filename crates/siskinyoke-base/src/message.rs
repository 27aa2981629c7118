//! Messages between the system's own processes.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::CallHead;
use crate::Code;
use crate::Incarnation;
use crate::InstanceId;
use crate::Millis;
use crate::OrganisationId;

/// A message from one daemon to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// The sender's instance.
    pub from: InstanceId,
    /// The sender's start.
    pub incarnation: Incarnation,
    /// The highest configuration revision that the sender has seen.
    pub revision: u64,
    /// What it says.
    pub message: Message,
}

/// What one daemon says to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A caller's request for the owner to run or to join.
    Forward(Box<Forward>),
    /// The head or a piece of a forwarded request's answer.
    ForwardPiece {
        /// The receiver's start; its numbers begin anew with each.
        asker: Incarnation,
        /// The receiver's number of the forwarded request.
        id: u64,
        /// Counts the parts of the answer from 0, so that a lost or doubled one shows.
        seq: u32,
        /// What came.
        part: Part,
    },
    /// The owner has taken a forwarded request in.
    ForwardAck {
        /// The receiver's start; its numbers begin anew with each.
        asker: Incarnation,
        /// The receiver's number of the forwarded request.
        id: u64,
    },
    /// A forwarded request is no longer waited for.
    ForwardGone {
        /// The number of the forwarded request.
        id: u64,
        /// Whether the sender counts the owner as lost, so that repeatable work runs there now,
        /// rather than that the caller went away.
        lost: bool,
    },
    /// Members, as the sender sees them.
    Members(MemberDigest),
    /// Asks for configuration documents by digest, or for the manifest if none is named.
    Fetch {
        /// Digests of the pages asked for; empty asks for the manifest alone.
        pages: Vec<[u8; 32]>,
    },
    /// A configuration manifest and pages, as stored in the platform's service.
    Documents {
        /// The manifest's bytes.
        manifest: Bytes,
        /// Pages with their digests.
        pages: Vec<([u8; 32], Bytes)>,
    },
    /// An admission threshold of the sender.
    Threshold {
        /// Work of this rank or a later one is not to be served; `None` lifts it.
        rank: Option<u8>,
        /// How long it stands, from receipt.
        span: Millis,
        /// Counts the sender's thresholds, so that answers match.
        round: u64,
    },
    /// The answer to a threshold.
    ThresholdAck {
        /// The round answered.
        round: u64,
        /// Requests below the threshold that are still being served.
        serving: u32,
    },
    /// Demand for and holdings of shared capacity, sent to the allocator.
    LeaseReport(LeaseReport),
    /// Capacity leases granted by an allocator.
    LeaseGrant(LeaseGrant),
    /// Contents that were in flight when an endpoint's process died.
    Suspects {
        /// What the sender knows of each.
        suspects: Vec<Suspect>,
    },
    /// Usage of the sender, held for it in case it dies.
    Usage {
        /// Cumulative counters as stored in the platform's service.
        record: Bytes,
        /// Counts the sender's records.
        round: u64,
    },
    /// Usage of a start that is gone, which the sender held for it and may not hold much longer.
    UsageHandover {
        /// The start that counted it.
        writer: Incarnation,
        /// Its counters, as in a usage record.
        record: Bytes,
    },
    /// The answer to a usage record.
    UsageAck {
        /// The round held.
        round: u64,
    },
}

/// A caller's request on its way to its owner.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Forward {
    /// The sender's number of it.
    pub id: u64,
    /// The owner's start for which it is meant.
    pub owner: Incarnation,
    /// What the caller sent.
    pub head: CallHead,
    /// What remains of its need.
    pub remaining: Millis,
    /// Whether the owner was found by a claim in the platform's service.
    pub claimed: bool,
}

/// One part of an answer on its way to the caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Part {
    /// The answer begins.
    Head {
        /// The HTTP status of the endpoint.
        status: u16,
        /// The content type.
        content: String,
        /// Whether pieces of a stream follow rather than one body.
        stream: bool,
    },
    /// A whole event of a stream, or a piece of the body.
    Piece(Bytes),
    /// The answer is whole or was given up.
    End(End),
}

/// How an answer ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// The result code.
    pub code: Code,
    /// When to come back, for refusals.
    pub after: Option<Millis>,
    /// Another address to use, for refusals.
    pub address: Option<String>,
    /// More about it; never a caller's text.
    pub detail: String,
}

impl End {
    /// Makes an end with nothing but its code.
    pub fn new(code: Code) -> Self {
        Self {
            code,
            after: None,
            address: None,
            detail: String::new(),
        }
    }

    /// Adds when to come back.
    #[must_use]
    pub fn after(mut self, span: Millis) -> Self {
        self.after = Some(span);
        self
    }

    /// Adds a detail.
    #[must_use]
    pub fn detail(mut self, detail: impl Into<String>) -> Self {
        self.detail = detail.into();
        self
    }
}

/// What an instance tells of itself and others.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct MemberDigest {
    /// Records, the sender's own first.
    pub members: Vec<MemberRecord>,
    /// Whether an answer is wanted.
    pub ping: bool,
}

/// One member as known to the sender.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The instance.
    pub instance: InstanceId,
    /// Its start.
    pub incarnation: Incarnation,
    /// Its heartbeat counter; a higher one is newer.
    pub beat: u64,
    /// Its state.
    pub state: MemberState,
    /// Address for peers.
    pub peer: String,
    /// Address for callers.
    pub caller: String,
    /// Its data centre.
    pub centre: crate::DataCentre,
    /// Fingerprint of its certificate.
    pub fingerprint: [u8; 32],
}

/// The state of a member; a later state of one incarnation is never unsaid.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// It answers.
    Live,
    /// It has not answered for some time.
    Suspect,
    /// It takes no new work and will stop.
    Leaving,
    /// It is gone.
    Gone,
}

/// What an instance knows of a content that may crash endpoints.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// The content's digest.
    pub digest: [u8; 32],
    /// Endpoints that died with it in flight, and how long ago.
    pub deaths: Vec<(crate::EndpointId, Millis)>,
    /// How long ago it was last seen to run to its end.
    pub cleared: Option<Millis>,
    /// Where the sender runs it apart or is about to, and since how long.
    pub trial: Option<(crate::EndpointId, Millis)>,
}

/// Demand for shared capacity by one instance.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LeaseReport {
    /// Counts the sender's reports.
    pub round: u64,
    /// One line for each resource.
    pub lines: Vec<LeaseDemand>,
}

/// Demand for one shared resource.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaseDemand {
    /// The resource.
    pub resource: Resource,
    /// Units wanted by tier rank, the first for the most urgent.
    pub wanted: Vec<u32>,
    /// Units held or in use.
    pub held: u32,
}

/// Something that instances share by leases.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Resource {
    /// Requests in flight on an endpoint.
    Endpoint(crate::EndpointId),
    /// An organisation's allowance, in tokens a second.
    Allowance(OrganisationId),
}

/// Leases that answer a report.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// The report answered.
    pub round: u64,
    /// Units granted for each resource.
    pub lines: Vec<(Resource, u32)>,
    /// How long they hold, counted from the sending of the report.
    pub span: Millis,
}

//! What happens to the core.

use bytes::Bytes;

use crate::CallId;
use crate::DispatchId;
use crate::OpId;
use crate::Reply;
use crate::orders::OrderId;
use crate::orders::OrderResult;
use siskinyoke_base::CallHead;
use siskinyoke_base::EndpointId;
use siskinyoke_base::message::Envelope;
use siskinyoke_policy::LoadReport;

/// One thing that happened.
#[derive(Debug, Clone)]
pub enum Event {
    /// A caller sent a request.
    Arrive {
        /// The caller's exchange.
        call: CallId,
        /// What it sent.
        head: Box<CallHead>,
    },
    /// A caller asks which address to use.
    Locate {
        /// The caller's exchange.
        call: CallId,
        /// Digest of the caller's bearer key.
        bearer: [u8; 32],
    },
    /// A caller went away.
    Gone {
        /// The caller's exchange.
        call: CallId,
    },
    /// Something happened to a dispatch.
    Dispatch {
        /// The dispatch.
        dispatch: DispatchId,
        /// What happened.
        news: DispatchNews,
    },
    /// A message came from a peer.
    Peer(Box<Envelope>),
    /// The platform answered.
    Platform {
        /// The request answered.
        op: OpId,
        /// The answer.
        reply: Reply,
    },
    /// An operator's request came, or an organisation's for its bill.
    Admin {
        /// The exchange.
        call: CallId,
        /// What was sent.
        head: Box<AdminHead>,
    },
    /// An order to an endpoint was carried out, or was not.
    Ordered {
        /// The endpoint.
        endpoint: EndpointId,
        /// The order.
        id: OrderId,
        /// What became of it.
        result: OrderResult,
    },
    /// A connection to an endpoint that broke off was tried.
    Probed {
        /// The endpoint.
        endpoint: EndpointId,
        /// Whether it accepted.
        reached: bool,
    },
    /// An endpoint reported its load.
    Load {
        /// The endpoint.
        endpoint: EndpointId,
        /// The report.
        report: LoadReport,
    },
    /// A peer that nobody vouches for was refused.
    Stranger,
    /// The process was asked to stop.
    Leave,
    /// Time has passed.
    Tick,
}

/// A request to the administration API.
#[derive(Debug, Clone, Default)]
pub struct AdminHead {
    /// The HTTP method.
    pub method: String,
    /// Path and query, with a leading slash.
    pub path: String,
    /// The `Idempotency-Key` header.
    pub key: Option<String>,
    /// Digest of the bearer key.
    pub bearer: Option<[u8; 32]>,
    /// The body.
    pub body: Bytes,
}

impl AdminHead {
    /// Returns a parameter of the query.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.path.split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }
}

/// What happened to a dispatch.
#[derive(Debug, Clone, PartialEq)]
pub enum DispatchNews {
    /// No connection was made, so nothing was sent.
    Unreachable {
        /// What the connection's maker said.
        detail: String,
        /// Whether the endpoint's host refused: nothing listens there.
        refused: bool,
    },
    /// The endpoint's answer began.
    Head {
        /// Its HTTP status.
        status: u16,
        /// Its content type.
        content: String,
        /// Whether a stream of events follows.
        stream: bool,
    },
    /// A whole event of a stream, or a piece of a body.
    Piece(Bytes),
    /// The answer is whole.
    Whole,
    /// The connection broke after a first byte may have left.
    Broken {
        /// What the connection said.
        detail: String,
    },
    /// It took longer than its limit after a first byte may have left.
    TimedOut,
}

impl DispatchNews {
    /// Tells whether nothing more follows.
    pub fn is_last(&self) -> bool {
        !matches!(self, Self::Head { .. } | Self::Piece(_))
    }
}

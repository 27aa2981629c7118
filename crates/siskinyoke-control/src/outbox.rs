//! What the core wants done by the world around it.

use crate::OpId;
use crate::PlatformRequest;
use crate::orders::OrderSpec;
use siskinyoke_base::CallHead;
use siskinyoke_base::EndpointId;
use siskinyoke_base::InstanceId;
use siskinyoke_base::Millis;
use siskinyoke_base::message::Message;
use siskinyoke_base::message::Part;

/// Numbers one caller's exchange within a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Numbers one dispatch to an endpoint within a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DispatchId(pub u64);

/// One thing to be done.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Give a caller a part of its answer.
    Answer {
        /// The caller's exchange.
        call: CallId,
        /// The part.
        part: Part,
    },
    /// Send a request to an endpoint.
    Dispatch(Box<DispatchSpec>),
    /// Break a dispatch off by closing its connection.
    Cancel {
        /// The dispatch.
        dispatch: DispatchId,
    },
    /// Try to connect to an endpoint, and tell whether it accepts.
    Probe {
        /// The endpoint.
        endpoint: EndpointId,
        /// Its address, `host:port`.
        address: String,
    },
    /// Send a message to a peer; it may be lost.
    Send {
        /// The peer.
        to: InstanceId,
        /// The message.
        message: Message,
    },
    /// Ask the platform.
    Platform {
        /// Number to answer under.
        op: OpId,
        /// The request.
        request: PlatformRequest,
    },
    /// Send an order to an endpoint.
    Order(Box<OrderSpec>),
    /// Everything accepted is finished; stop the process.
    Exit,
}

/// A dispatch to an endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct DispatchSpec {
    /// Its number.
    pub dispatch: DispatchId,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The endpoint's address, `host:port`.
    pub address: String,
    /// What the caller sent.
    pub head: CallHead,
    /// A name of the request that endpoints may count by.
    pub name: String,
    /// How many whole events of a broken stream the caller already has.
    pub resume: u32,
    /// The most time that it may take.
    pub limit: Millis,
}

/// Collects actions in the order in which they were decided.
#[derive(Debug, Default)]
pub struct Outbox {
    actions: Vec<Action>,
    ops: u64,
}

impl Outbox {
    /// Adds an action.
    pub fn push(&mut self, action: Action) {
        self.actions.push(action);
    }

    /// Adds a part of an answer.
    pub fn answer(&mut self, call: CallId, part: Part) {
        self.push(Action::Answer { call, part });
    }

    /// Adds a message to a peer.
    pub fn send(&mut self, to: &InstanceId, message: Message) {
        self.push(Action::Send {
            to: to.clone(),
            message,
        });
    }

    /// Adds a request to the platform and returns its number.
    pub fn platform(&mut self, request: PlatformRequest) -> OpId {
        self.ops += 1;
        let op = OpId(self.ops);
        self.push(Action::Platform { op, request });
        op
    }

    /// Takes out everything collected so far.
    pub fn take(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }
}

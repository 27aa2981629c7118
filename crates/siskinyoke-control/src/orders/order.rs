//! An order to an endpoint, and what became of it.

use std::fmt;

use quick_error::quick_error;
use serde::Deserialize;
use serde::Serialize;

use super::EndpointState;
use super::EngineRole;
use siskinyoke_base::EndpointId;
use siskinyoke_base::Millis;
use siskinyoke_base::ModelId;

/// Names an order; an endpoint that sees a name twice does it once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OrderId {
    /// The fencing number under which it is given.
    pub fence: u64,
    /// Counts the orders under this number.
    pub number: u64,
}

impl fmt::Display for OrderId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.fence, self.number)
    }
}

/// What an endpoint is to do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// Say what it runs; changes nothing.
    Inspect,
    /// Load a model, in place of another version of it.
    Load {
        /// The model.
        model: ModelId,
        /// Version of its weights.
        version: String,
    },
    /// Unload a model with its adapters.
    Unload {
        /// The model.
        model: ModelId,
    },
    /// Load an adapter, in place of another version of it.
    LoadAdapter {
        /// The model.
        model: ModelId,
        /// The adapter.
        adapter: String,
        /// Its version.
        version: String,
    },
    /// Unload an adapter.
    UnloadAdapter {
        /// The model.
        model: ModelId,
        /// The adapter.
        adapter: String,
    },
    /// Change the part that the engine has in serving.
    Role {
        /// The new part.
        role: EngineRole,
    },
}

impl Order {
    /// Tells whether it reads from the weight store.
    pub fn loads(&self) -> bool {
        matches!(self, Self::Load { .. } | Self::LoadAdapter { .. })
    }

    /// Tells whether it changes nothing.
    pub fn reads(&self) -> bool {
        matches!(self, Self::Inspect)
    }
}

/// An order as sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderSpec {
    /// Its name, with the fencing number that goes along.
    pub id: OrderId,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The endpoint's address, `host:port`.
    pub address: String,
    /// What to do.
    pub order: Order,
    /// The last moment at which its first byte may leave, on the daemon's own clock.
    ///
    /// Guards against a daemon that is paused between the decision and the sending: it would
    /// order under a lease that another holds by then. To be checked right before the sending.
    pub before: Millis,
    /// The most time that it may take.
    pub limit: Millis,
}

/// What became of an order.
pub type OrderResult = Result<OrderReply, OrderError>;

/// An endpoint's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderReply {
    /// It is done.
    Done,
    /// What the endpoint runs, to [`Order::Inspect`].
    State(EndpointState),
}

quick_error! {
    /// An order that was not carried out, or may not have been.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum OrderError {
        /// It was never sent.
        NotSent {
            display("the order was not sent; hint: the endpoint cannot be reached, or it was too late")
        }
        /// The endpoint has seen a higher fencing number.
        Stale {
            display("the endpoint has a newer holder; hint: this instance was paused")
        }
        /// The endpoint or the weight store wants to be left alone for a while.
        Busy(after: Millis) {
            display("the endpoint or the weight store is busy; hint: come back in {after}")
        }
        /// The endpoint refused it.
        Refused(detail: String) {
            display("the endpoint refused the order: {detail}; hint: check the plan against it")
        }
        /// It may have been carried out.
        Unknown {
            display("the order may have been carried out; hint: the endpoint is asked what it runs")
        }
    }
}

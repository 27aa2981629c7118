//! What the store says of endpoints and instances.

use std::sync::Arc;

use crate::Endpoint;
use crate::report::Place;
use crate::rollout::Order;
use crate::rollout::Status;

/// One change of what the store says.
#[derive(Debug, Clone, PartialEq)]
pub enum News {
    /// An endpoint is there, or says something else of itself.
    Endpoint(Endpoint),
    /// An endpoint's entry is gone.
    EndpointGone(String),
    /// An instance is there.
    Instance(String, Place),
    /// An instance's entry is gone.
    InstanceGone(String),
    /// A service's traffic is to move to another version.
    Order(Order),
    /// The order for a service is withdrawn.
    OrderGone(Arc<str>),
    /// How far the order for a service has come.
    Status(Arc<str>, Status),
}

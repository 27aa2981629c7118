//! What the store says of endpoints and instances.

use std::sync::Arc;

use crate::Endpoint;
use crate::report::InstanceLocation;
use crate::rollout::Order;
use crate::rollout::Status;

/// One change of what the store says.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreUpdate {
    /// An endpoint is there, or says something else of itself.
    Endpoint(Endpoint),
    /// An endpoint's entry is gone.
    EndpointRemoved(String),
    /// An instance is there.
    Instance(String, InstanceLocation),
    /// An instance's entry is gone.
    InstanceRemoved(String),
    /// A service's traffic is to move to another version.
    RolloutOrder(Order),
    /// The order for a service is withdrawn.
    RolloutOrderRemoved(Arc<str>),
    /// How far the order for a service has come.
    RolloutStatus(Arc<str>, Status),
}

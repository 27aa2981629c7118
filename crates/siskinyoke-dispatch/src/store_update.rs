//! Changes that are read from the store.

use std::sync::Arc;

use crate::Endpoint;
use crate::report::InstanceLocation;
use crate::rollout::Order;
use crate::rollout::Status;
use crate::version_history::VersionNote;

/// One change to the entries in the store.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreUpdate {
    /// An endpoint was added or its entry changed.
    Endpoint(Endpoint),
    /// The entry of the endpoint with this ID was removed.
    EndpointRemoved(String),
    /// The instance with this name was added or its location changed.
    Instance(String, InstanceLocation),
    /// The entry of the instance with this name was removed.
    InstanceRemoved(String),
    /// A rollout was ordered: a service's traffic is to shift to another version.
    RolloutOrder(Order),
    /// The rollout order for this service was withdrawn.
    RolloutOrderRemoved(Arc<str>),
    /// The status of the rollout for this service changed.
    RolloutStatus(Arc<str>, Status),
    /// The note of a service's versions was written.
    VersionNote(VersionNote),
    /// The note of this service's versions was removed.
    VersionNoteRemoved(Arc<str>),
}

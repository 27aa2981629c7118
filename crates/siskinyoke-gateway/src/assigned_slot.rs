//! Slots that are assigned to requests.

use std::sync::Arc;

use crate::permit::Permit;
use siskinyoke_dispatch::Endpoint;

/// A slot at an endpoint that is assigned to a request.
#[derive(Debug)]
pub struct AssignedSlot {
    /// Guards the slot.
    pub permit: Permit,
    /// The endpoint.
    pub endpoint: Arc<Endpoint>,
}

//! An operator's order.

use std::sync::Arc;

use siskinyoke_base::Millis;

/// An operator's order to move a service's traffic to another version of its endpoints.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// The service.
    pub service: Arc<str>,
    /// The version that its traffic is to move to.
    pub version: Arc<str>,
    /// How long the move may take.
    pub duration: Millis,
    /// The store's revision of the order, which tells it from others for the same version.
    pub revision: u64,
}

//! Rollout orders.

use std::sync::Arc;

use siskinyoke_base::Millis;
use siskinyoke_base::Revision;

/// An operator's order to shift a service's traffic to another version of its endpoints.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// The service.
    pub service: Arc<str>,
    /// The version that the traffic is shifted to.
    pub version: Arc<str>,
    /// How long the rollout may take.
    pub duration: Millis,
    /// The store revision of the order, which distinguishes it from other orders for the same
    /// version.
    pub revision: Revision,
}

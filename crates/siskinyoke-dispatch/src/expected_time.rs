//! Expected service time of a request at its endpoint.

use siskinyoke_base::Millis;

/// Expected service time of a request at its endpoint, and at the fastest endpoint of its service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ExpectedTime {
    /// At its endpoint.
    pub chosen: Millis,
    /// At the fastest endpoint, whether free or full.
    pub fastest: Millis,
}

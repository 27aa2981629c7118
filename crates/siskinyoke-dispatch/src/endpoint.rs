//! One endpoint as it describes itself.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::stable_hash;

/// Names one start of an endpoint, the same in every instance.
///
/// An endpoint that starts again under its old identity gets another key, so that nothing known of
/// the start before is believed of the new one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct EndpointKey(pub u64);

impl EndpointKey {
    /// Returns the key as it stands in reports, which are sent many times a second.
    #[expect(
        clippy::cast_possible_truncation,
        reason = "half of a hash tells endpoints apart"
    )]
    pub fn short(self) -> u32 {
        self.0 as u32
    }
}

/// One endpoint as it describes itself.
#[derive(Debug, Clone, PartialEq)]
pub struct Endpoint {
    /// Its identity, which a request names so that nobody else at its address runs it.
    pub id: Arc<str>,
    /// When it started, in milliseconds of Unix time; 0 where it does not say.
    pub started_ms: u64,
    /// The service it belongs to.
    pub service: Arc<str>,
    /// The version of its software; empty where it does not say.
    pub version: Arc<str>,
    /// Where it listens.
    pub address: Arc<str>,
    /// Its data centre.
    pub centre: Arc<str>,
    /// How many requests it runs at once.
    pub slots: u32,
    /// Whether it is leaving and takes no new work.
    pub draining: bool,
}

impl Endpoint {
    /// Returns the key of this start.
    pub fn key(&self) -> EndpointKey {
        EndpointKey(stable_hash(&(&*self.id, self.started_ms)))
    }
}

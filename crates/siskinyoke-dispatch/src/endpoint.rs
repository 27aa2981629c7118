//! An endpoint, as it registers itself.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::VersionKey;
use crate::stable_hash;

/// Identifies one start of an endpoint; it is the same in every instance.
///
/// An endpoint that restarts under the same identity gets another key, so that observations of the
/// previous start are not applied to the new one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct EndpointKey(pub u64);

impl EndpointKey {
    /// Returns the short key: the lower half, which saves space in reports, as these are sent many
    /// times a second.
    #[expect(
        clippy::cast_possible_truncation,
        reason = "half of the hash distinguishes endpoints"
    )]
    pub fn short_key(self) -> u32 {
        self.0 as u32
    }
}

/// An endpoint, as it registers itself.
#[derive(Debug, Clone, PartialEq)]
pub struct Endpoint {
    /// The identity; requests name it so that another endpoint that took over the address does not
    /// run them.
    pub id: Arc<str>,
    /// When it started, in milliseconds of Unix time; 0 if not stated.
    pub started_ms: u64,
    /// The service that it belongs to.
    pub service: Arc<str>,
    /// The version of its software; empty if not stated.
    pub version: Arc<str>,
    /// The address that it listens on.
    pub address: Arc<str>,
    /// The data centre that it runs in.
    pub centre: Arc<str>,
    /// How many requests it runs at once.
    pub slots: u32,
    /// Whether it is shutting down and accepts no new requests.
    pub draining: bool,
}

impl Endpoint {
    /// Returns the key of this start.
    pub fn key(&self) -> EndpointKey {
        EndpointKey(stable_hash(&(&*self.id, self.started_ms)))
    }

    /// Returns the key of its version.
    pub fn version_key(&self) -> VersionKey {
        VersionKey::new(&self.service, &self.version)
    }
}

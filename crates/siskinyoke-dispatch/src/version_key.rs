//! The versions of endpoints' software, as instances compare them.

use serde::Deserialize;
use serde::Serialize;

use crate::stable_hash;

/// Stands for a version of the software of a service's endpoints; the same in every instance.
///
/// Endpoints that state no version count as one version of their own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct VersionKey(pub u32);

impl VersionKey {
    /// Returns the key of a service's version, as endpoints state them.
    pub fn new(service: &str, version: &str) -> Self {
        Self((stable_hash(&(service, version)) >> 32) as u32)
    }
}

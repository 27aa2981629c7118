//! The identity of a request.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::Incarnation;
use crate::OrganisationId;

/// What makes two sendings the same request.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Identity {
    /// Who sends it; a caller can never name another organisation's request.
    pub organisation: OrganisationId,
    /// The daemon start that alone may dispatch it.
    pub owner: Incarnation,
    /// The caller's idempotency key.
    pub key: String,
}

impl fmt::Display for Identity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.organisation, self.owner, self.key)
    }
}

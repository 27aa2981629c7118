//! Precedence of requests by how much of its share their organisation uses.

use serde::Deserialize;
use serde::Serialize;

/// Precedence of requests of one tier by how much of its share their organisation uses; those of
/// lower classes go first.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum ShareClass {
    /// Within the share, or slots are not short.
    #[default]
    Within,
    /// More than is set apart for an organisation that asks for much, while it does not use its
    /// whole share.
    Marginal,
    /// The organisation asks for much and uses its whole share.
    Above,
}

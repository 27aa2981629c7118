//! What became of a request.

use serde::Serialize;

use siskinyoke_base::Kind;
use siskinyoke_base::Millis;

/// What became of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Outcome {
    /// The HTTP status.
    pub status: u16,
    /// The number of the result code; 0 if no answer of the system's came.
    pub code: u16,
    /// What may be concluded.
    pub kind: Kind,
    /// The body, or the data of all events of a stream but the terminator.
    pub body: Vec<String>,
    /// When to come back, for refusals.
    #[serde(rename = "after")]
    pub retry_after: Option<Millis>,
    /// The identity under which logs name it.
    pub id: String,
    /// How many times it was sent.
    #[serde(rename = "sendings")]
    pub attempts: u32,
}

//! The outcome of a request.

use serde::Serialize;

use siskinyoke_base::Millis;
use siskinyoke_base::OutcomeKind;

/// The outcome of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Outcome {
    /// The HTTP status, or 0 if no response was received.
    pub status: u16,
    /// The number of the result code, or 0 if no response of siskinyoke was received.
    pub code: u16,
    /// What may be concluded about the execution of the request.
    pub kind: OutcomeKind,
    /// The body, or the data of all events of a stream except the terminator.
    pub body: Vec<String>,
    /// The delay before a retry that a refusal asks for.
    #[serde(rename = "after")]
    pub retry_after: Option<Millis>,
    /// The request ID used in logs.
    pub id: String,
    /// The number of attempts.
    #[serde(rename = "sendings")]
    pub attempts: u32,
}

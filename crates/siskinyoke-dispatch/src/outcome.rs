//! Outcomes of attempts at endpoints.

use siskinyoke_base::Millis;

/// Outcome of an attempt to run a request at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Outcome {
    /// The complete response arrived.
    Completed {
        /// Time from sending the request to the first part of the response.
        first_latency: Millis,
        /// Time from sending the request to the end of the response.
        total: Millis,
        /// Number of parts of a streamed response, or 0 if it was not streamed.
        parts: u32,
        /// Longest pause between two parts.
        longest_pause: Millis,
    },
    /// The endpoint ran the request and responded with an error.
    Failed,
    /// The endpoint sent what cannot be a response, such as an event without end; the request may
    /// have run.
    Invalid,
    /// The endpoint was at capacity and did not run the request.
    Full,
    /// The address now belongs to another endpoint; the request did not run.
    Misdirected,
    /// No connection could be established; nothing was sent.
    ConnectFailed,
    /// No relay took the request; nothing was sent to the endpoint.
    RelayFailed,
    /// It was not confirmed that the endpoint is the start that its entry names; nothing was sent.
    Unverified,
    /// The connection broke after data was sent; the request may have run.
    ConnectionLost,
    /// The response was to another request, such as a late duplicate; the request may have run.
    Mismatched,
    /// The connection broke on the way to the endpoint: at a relay, or on a link that is lost; the
    /// request may have run.
    LinkLost,
    /// No data arrived within the stall timeout, and the attempt was abandoned.
    Stalled,
    /// The caller disconnected, or its deadline passed.
    Cancelled,
}

impl Outcome {
    /// Returns whether nothing was sent to the endpoint.
    pub fn is_unsent(self) -> bool {
        matches!(
            self,
            Self::ConnectFailed | Self::RelayFailed | Self::Unverified
        )
    }
}

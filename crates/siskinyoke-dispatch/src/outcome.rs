//! How a request's stay at an endpoint ended.

use siskinyoke_base::Millis;

/// How a request's stay at an endpoint ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Outcome {
    /// A whole answer arrived.
    Completed {
        /// From the sending to the first part of the answer.
        to_first_part: Millis,
        /// From the sending to its end.
        total: Millis,
        /// The parts in which a streamed answer came; 0 for a whole one.
        parts: u32,
        /// The longest pause between two parts.
        longest_pause: Millis,
    },
    /// The endpoint answered with a failure of its own after it ran the request.
    Failed,
    /// The endpoint had no room and did not run it.
    Full,
    /// Another endpoint holds that address now; nothing ran.
    Misdirected,
    /// No connection could be made; nothing was sent.
    ConnectFailed,
    /// The connection broke after something was sent; it may have run.
    ConnectionLost,
    /// Nothing came for so long that the attempt was given up.
    Stalled,
    /// The caller left, or its time ran out.
    Cancelled,
}

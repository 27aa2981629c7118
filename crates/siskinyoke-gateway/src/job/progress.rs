//! Progress of a response, for the log.

use std::net::SocketAddr;

use crate::body_end::BodyEnd;
use crate::framing::Framing;
use siskinyoke_base::Millis;
use siskinyoke_dispatch::expected_time::ExpectedTime;

/// Progress of a response, for the log.
///
/// It distinguishes three causes of a late response: time in the queue, a late first part, and
/// long pauses between parts. A part is an event of a streamed response.
#[derive(Debug, Default)]
pub struct Progress {
    /// Time from arrival until the request was last sent.
    pub queue_time: Millis,
    /// The service time that was expected when the request was last sent.
    pub expected: Option<ExpectedTime>,
    /// When the first part of the stream was forwarded.
    pub first_part: Option<Millis>,
    /// Longest pause between two parts.
    pub longest_pause: Millis,
    /// Number of parts forwarded.
    pub parts: u32,
    /// The peer that relayed the last attempt, if one did.
    pub relay: Option<SocketAddr>,
    /// How the last endpoint marks the end of its response, if it responded.
    pub framing: Option<Framing>,
    /// What the end of its body says, if it ended without an error.
    pub body_end: Option<BodyEnd>,
    /// The number of bytes of a stream that came after the last complete event.
    pub partial_bytes: usize,
    last_part: Millis,
}

impl Progress {
    /// Records that `parts` parts are forwarded; 0 for a comment of a stream.
    pub fn record_parts(&mut self, now: Millis, parts: u32) {
        if parts == 0 {
            return;
        }
        if self.first_part.is_some() {
            self.longest_pause = self.longest_pause.max(now.since(self.last_part));
        }
        self.first_part.get_or_insert(now);
        self.last_part = now;
        self.parts += parts;
    }
}

//! How long a connection of a client may be kept.

use siskinyoke_base::Millis;

/// How long a connection of a client may be kept, as of now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Longest time between two requests.
    pub idle: Millis,
    /// Longest time in which the head of a request may arrive.
    pub head: Millis,
    /// Largest head of a request, in bytes.
    pub head_bytes: usize,
    /// Longest time in which the client may not read a response that waits for it.
    pub unread: Millis,
    /// When idle connections end because this instance shuts down.
    pub drain_end: Option<Millis>,
}

/// Why this instance closes a connection that its client may still use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseReason {
    /// It was idle for the longest time between two requests.
    Idle,
    /// This instance shuts down.
    Drain,
    /// The head of a request did not arrive in time.
    HeadTimeout,
    /// The head of a request is too large.
    HeadTooLarge,
    /// The client did not read a response.
    Unread,
    /// There was no room for another connection or more memory.
    NoRoom,
}

impl CloseReason {
    /// Returns the name in metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Idle => "idle",
            Self::Drain => "drain",
            Self::HeadTimeout => "head_timeout",
            Self::HeadTooLarge => "head_too_large",
            Self::Unread => "unread",
            Self::NoRoom => "no_room",
        }
    }
}

//! Two lanes to each peer, so that small messages never wait behind large ones.

use siskinyoke_base::message::Message;

/// A lane.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Lane {
    /// Small messages that are sent again anyway; dropped when the queue is full.
    Control,
    /// Callers' requests and answers, and configuration documents.
    Work,
}

impl Lane {
    /// Returns the lane of a message.
    pub fn of(message: &Message) -> Self {
        match message {
            Message::Forward(_)
            | Message::ForwardPiece { .. }
            | Message::ForwardGone { .. }
            | Message::Documents { .. } => Self::Work,
            _ => Self::Control,
        }
    }

    /// Returns the lane's priority on the connection; the higher goes first.
    pub(super) fn priority(self) -> i32 {
        match self {
            Self::Control => 1,
            Self::Work => 0,
        }
    }
}

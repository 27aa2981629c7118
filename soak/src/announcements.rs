//! What an endpoint says of itself in its responses.

use std::time::Duration;
use std::time::Instant;

/// What an endpoint says of itself in its responses.
#[derive(Debug, Default, Clone, Copy)]
pub struct Announcements {
    /// Whether each response says that the endpoint is leaving.
    pub leaving: bool,
    /// Until when all requests are rejected, with a request for a back-off.
    pub rejects_until: Option<Instant>,
    /// When a response first said that the endpoint is leaving, or requested a back-off.
    pub announced_at: Option<Instant>,
}

impl Announcements {
    /// Returns how long requests are still rejected, or `None` if they are accepted.
    pub fn rejects_for(&self) -> Option<Duration> {
        let remaining = self.rejects_until?.checked_duration_since(Instant::now())?;
        (!remaining.is_zero()).then_some(remaining)
    }
}

//! What a stand-in endpoint says of itself in its responses.

use std::time::Duration;
use std::time::Instant;

use crate::http::Exchange;
use siskinyoke_base::Millis;

const LEAVING_HEADER: &str = "siskinyoke-leaving";
const RETRY_AFTER_HEADER: &str = "Retry-After";

/// What a stand-in endpoint says of itself in its responses.
#[derive(Debug, Default, Clone, Copy)]
pub struct Announcements {
    leaving: bool,
    rejects_until: Option<Instant>,
}

impl Announcements {
    /// Changes what a command sets.
    pub fn apply(&mut self, leaving: Option<bool>, reject: Option<Millis>) {
        self.leaving = leaving.unwrap_or(self.leaving);
        if let Some(duration) = reject {
            self.rejects_until = Some(Instant::now() + Duration::from(duration));
        }
    }

    /// Adds the announcements to the response of a request, and returns the request unless it is
    /// rejected.
    pub fn admit(self, mut exchange: Exchange) -> Option<Exchange> {
        if self.leaving {
            exchange.add_header(LEAVING_HEADER, "1");
        }
        let until = self.rejects_until.unwrap_or_else(Instant::now);
        let remaining = until.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return Some(exchange);
        }
        let seconds = format!("{:.3}", remaining.as_secs_f64());
        exchange.add_header(RETRY_AFTER_HEADER, &seconds);
        exchange.reply_error(503, "no requests are accepted for now");
        None
    }
}

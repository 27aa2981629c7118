//! How far the response to a call has arrived, and how long that took.

use serde_json::Value;
use serde_json::json;

use crate::clock::BootClock;
use siskinyoke_base::Clock;
use siskinyoke_base::Millis;

/// Size from which a response counts as large, in bytes.
pub const LARGE_RESPONSE_BYTES: u64 = 64 * 1024;

/// How far the response to a call has arrived.
#[derive(Debug, Clone, Copy, Default)]
pub struct Transfer {
    started_at: Millis,
    // The time until the head arrived, if it has.
    head_delay: Option<Millis>,
    // The time until the last part of the body arrived.
    duration: Millis,
    bytes: u64,
}

impl Transfer {
    /// Starts with a call that is sent now.
    pub fn begin() -> Self {
        Self {
            started_at: BootClock.now(),
            ..Self::default()
        }
    }

    /// Records that the head of the response has arrived.
    pub fn head_arrived(&mut self) {
        self.head_delay = Some(self.elapsed());
        self.duration = self.elapsed();
    }

    /// Records how many bytes of the body have arrived.
    pub fn record(&mut self, bytes: usize) {
        self.bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        self.duration = self.elapsed();
    }

    /// Returns how many bytes of the body have arrived.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Returns the time from the head of the response to the last part of its body.
    pub fn body_duration(&self) -> Millis {
        self.duration.since(self.head_delay.unwrap_or_default())
    }

    /// Returns whether the response is worth a log line of its own.
    pub fn is_large(&self) -> bool {
        self.bytes >= LARGE_RESPONSE_BYTES
    }

    /// Returns the fields of its log line: times in ms and the size in bytes.
    pub fn fields(&self, source: &str) -> Value {
        json!({
            "source": source,
            "bytes": self.bytes,
            "head_ms": self.head_delay.map(|it| it.0),
            "took_ms": self.duration.0,
        })
    }

    fn elapsed(&self) -> Millis {
        BootClock.now().since(self.started_at)
    }
}

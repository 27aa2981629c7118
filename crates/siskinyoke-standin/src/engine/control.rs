//! Runtime control of the faults that a stand-in engine simulates.

use serde::Deserialize;
use serde::Serialize;

use crate::announcements::Announcements;
use siskinyoke_base::Millis;

/// The body of `POST /control`; omitted fields keep their current values.
#[derive(Debug, Default, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineControl {
    /// Closes and refuses connections for this many milliseconds; 0 ends the outage.
    pub down: Option<Millis>,
    /// Forwards no data for this many milliseconds while connections stay open; 0 ends the freeze.
    pub freeze: Option<Millis>,
    /// Whether each response says that the engine is leaving.
    pub leaving: Option<bool>,
    /// Rejects all requests for this many milliseconds, and says so; 0 ends it.
    pub reject: Option<Millis>,
    /// Multiplies the duration of prefill and decoding.
    pub slow: Option<f64>,
    /// Crashes the engine on requests whose prompt contains this text; empty disables crashes.
    pub crash_marker: Option<String>,
    /// Breaks the next streams.
    pub breaks: Option<Breaks>,
    /// Delay of the load shown in metrics, in milliseconds.
    pub lag: Option<Millis>,
}

/// How many streams are broken, and where.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Breaks {
    /// Events sent before the connection is cut.
    pub after: usize,
    /// Number of streams to break.
    pub requests: u32,
}

/// The active fault settings.
#[derive(Debug, Clone)]
pub struct FaultSettings {
    /// Factor by which the duration of prefill and decoding is multiplied.
    pub slowdown: f64,
    /// Text that crashes the engine when a prompt contains it.
    pub crash_marker: Option<String>,
    /// Streams that remain to be broken.
    pub breaks: Breaks,
    /// Delay of the load shown in metrics.
    pub metrics_lag: Millis,
    /// What responses say of the engine.
    pub announcements: Announcements,
}

impl FaultSettings {
    /// Applies the fields that the command sets.
    pub fn apply(&mut self, command: &EngineControl) {
        self.slowdown = command.slow.unwrap_or(self.slowdown).max(0.0);
        self.breaks = command.breaks.unwrap_or(self.breaks);
        self.metrics_lag = command.lag.unwrap_or(self.metrics_lag);
        self.announcements.apply(command.leaving, command.reject);
        if let Some(crash_marker) = &command.crash_marker {
            self.crash_marker =
                Some(crash_marker.clone()).filter(|crash_marker| !crash_marker.is_empty());
        }
    }

    /// Consumes one remaining break; returns the number of events to send before it.
    pub fn next_break(&mut self) -> Option<usize> {
        if self.breaks.requests == 0 {
            return None;
        }
        self.breaks.requests -= 1;
        Some(self.breaks.after)
    }
}

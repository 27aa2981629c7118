//! What the stand-in engine can be told to do wrong.

use serde::Deserialize;
use serde::Serialize;

use siskinyoke_base::Millis;

/// Orders to the stand-in engine; what is left out stays as it is.
#[derive(Debug, Default, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineControl {
    /// Cut and refuse connections for this many milliseconds; 0 takes them again.
    pub down: Option<Millis>,
    /// Pass nothing on for this many milliseconds while connections stay open; 0 ends it.
    pub freeze: Option<Millis>,
    /// Take this many times as long for everything.
    pub slow: Option<f64>,
    /// Crash on requests that contain this text; empty for none.
    pub crash_marker: Option<String>,
    /// Break streams off.
    pub breaks: Option<Breaks>,
    /// How late the metrics are, in milliseconds.
    pub lag: Option<Millis>,
}

/// Streams that are broken off.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Breaks {
    /// Events that are sent before.
    pub after: usize,
    /// How many streams are broken.
    pub requests: u32,
}

/// The settings in force.
#[derive(Debug, Clone)]
pub struct FaultSettings {
    /// Times as long for everything.
    pub slowdown: f64,
    /// Text that crashes it.
    pub crash_marker: Option<String>,
    /// Streams still to break.
    pub breaks: Breaks,
    /// How late the metrics are.
    pub metrics_lag: Millis,
}

impl FaultSettings {
    /// Takes orders in.
    pub fn apply(&mut self, command: &EngineControl) {
        self.slowdown = command.slow.unwrap_or(self.slowdown).max(0.0);
        self.breaks = command.breaks.unwrap_or(self.breaks);
        self.metrics_lag = command.lag.unwrap_or(self.metrics_lag);
        if let Some(crash_marker) = &command.crash_marker {
            self.crash_marker =
                Some(crash_marker.clone()).filter(|crash_marker| !crash_marker.is_empty());
        }
    }

    /// Takes one break, if there is one left.
    pub fn next_break(&mut self) -> Option<usize> {
        if self.breaks.requests == 0 {
            return None;
        }
        self.breaks.requests -= 1;
        Some(self.breaks.after)
    }
}

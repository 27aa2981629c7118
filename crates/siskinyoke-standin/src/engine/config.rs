//! The configuration of a stand-in engine.

use serde::Deserialize;
use serde::Serialize;

use crate::LOOPBACK_ANY_PORT;
use siskinyoke_base::Millis;

/// Addresses, models, speed and crash behaviour of an engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineConfig {
    /// Listen address of the engine; port 0 selects any free port.
    pub listen: String,
    /// Listen address for control, which stays reachable while the engine is down.
    pub control: String,
    /// Names of the loaded models.
    pub models: Vec<String>,
    /// Number of requests that run at once; others queue inside the engine.
    pub slots: u32,
    /// Decode rate of each running request, in tokens per second.
    pub speed: f64,
    /// Prefill rate, in tokens per second; prompts are prefilled one after another.
    pub prefill: f64,
    /// Capacity of the prefix cache, in blocks.
    pub cache: usize,
    /// Delay of the load shown in metrics, in milliseconds.
    pub lag: Millis,
    /// Crashes the engine on requests whose prompt contains this text.
    pub crash_marker: Option<String>,
    /// Downtime after a crash, in milliseconds.
    pub crash_span: Millis,
    /// Whether a crash exits the process.
    pub exit: bool,
}

impl Default for EngineConfig {
    fn default() -> Self {
        Self {
            listen: LOOPBACK_ANY_PORT.to_owned(),
            control: LOOPBACK_ANY_PORT.to_owned(),
            models: vec!["small".to_owned()],
            slots: 16,
            speed: 100.0,
            prefill: 8000.0,
            cache: 4096,
            lag: Millis::ZERO,
            crash_marker: None,
            crash_span: Millis::from_secs(2),
            exit: false,
        }
    }
}

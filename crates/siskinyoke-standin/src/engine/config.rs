//! How a stand-in engine is started.

use serde::Deserialize;
use serde::Serialize;

use crate::LOOPBACK_ANY_PORT;
use siskinyoke_base::Millis;

/// The make of an engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineConfig {
    /// Address of the engine; port 0 for any.
    pub listen: String,
    /// Address that stays reachable while the engine is down.
    pub control: String,
    /// Models that it has loaded.
    pub models: Vec<String>,
    /// Requests that it runs at once; others wait inside.
    pub slots: u32,
    /// Tokens a second that each running request gets.
    pub speed: f64,
    /// Tokens of prompts a second that it works through, one prompt after another.
    pub prefill: f64,
    /// Blocks of prompts that its prefix cache holds.
    pub cache: usize,
    /// How late its metrics are, in milliseconds.
    pub lag: Millis,
    /// Text that crashes it when a request contains it.
    pub crash_marker: Option<String>,
    /// How long it is gone after a crash, in milliseconds.
    pub crash_span: Millis,
    /// Whether a crash ends the process.
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

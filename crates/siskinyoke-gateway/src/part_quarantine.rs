//! Logs which parts of prompts are in quarantine, and what silent endpoints say of requests.

use std::cell::RefCell;

use serde_json::json;

use crate::event_log::EventLog;
use siskinyoke_dispatch::Core;
use siskinyoke_dispatch::part_quarantine::PartChange;

/// Logs each prompt part that was quarantined or released since the last call, and each attempt under
/// which an endpoint fell silent that was found gone.
pub fn log_changes(core: &RefCell<Core>, log: &EventLog) {
    let changes = core.borrow_mut().take_part_changes();
    for change in changes {
        let PartChange {
            part,
            quarantined,
            crashes,
        } = change;
        let fields = json!({
            "part": part.to_string(),
            "quarantined": quarantined,
            "crashes": crashes,
        });
        log.log("prompt_part", fields);
    }
    log_silent_attempts(core, log);
}

fn log_silent_attempts(core: &RefCell<Core>, log: &EventLog) {
    let attempts = core.borrow_mut().take_silent_attempts();
    for attempt in attempts {
        let fields = json!({
            "fingerprint": format!("{:016x}", attempt.fingerprint),
            "endpoint_key": attempt.endpoint(),
            "parts": attempt.parts.len(),
            "span_ms": attempt.span().0,
        });
        log.log("silent_attempt", fields);
    }
}

//! Logs which parts of prompts are in quarantine.

use std::cell::RefCell;

use serde_json::json;

use crate::event_log::EventLog;
use siskinyoke_dispatch::Core;
use siskinyoke_dispatch::part_quarantine::PartChange;

/// Logs each prompt part that was quarantined or released since the last call.
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
}

//! What the signals to stop and to reload bring about.

use std::path::PathBuf;
use std::rc::Rc;

use serde_json::json;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::time::sleep;

use crate::listener::DRAIN_PERIOD;
use crate::reload;
use crate::shell::Shell;
use siskinyoke_base::Millis;

/// How long before the kill this process ends by itself, so that its last log lines get out.
const LOG_FLUSH_TIME: Millis = Millis(250);

/// How often it looks whether the last connection is gone.
const LOOK: Millis = Millis(50);

/// Reloads the settings at each signal to do so.
///
/// # Errors
///
/// The system's reason if signals cannot be heard.
pub async fn reload_on_signal(shell: Rc<Shell>, path: PathBuf) -> std::io::Result<()> {
    let mut signals = signal(SignalKind::hangup())?;
    while signals.recv().await.is_some() {
        shell.log("reload", json!({}));
        reload::reload_settings(&shell, &path);
    }
    Ok(())
}

/// Waits for the signal to stop, then until all work is done or the kill is near.
///
/// # Errors
///
/// The system's reason if signals cannot be heard.
pub async fn stop_on_signal(shell: Rc<Shell>) -> std::io::Result<()> {
    let mut signals = signal(SignalKind::terminate())?;
    signals.recv().await;
    let start = shell.now();
    shell.core.borrow_mut().leave();
    shell.report_due.notify_one();
    shell.leaving.notify_waiters();
    shell.log("leaving", json!({ "open": shell.caller_connections.get() }));
    let end = start + shell.settings().grace_period().since(LOG_FLUSH_TIME);
    loop {
        sleep(LOOK.into()).await;
        let now = shell.now();
        let lingered = now >= start + DRAIN_PERIOD;
        if now >= end || (lingered && shell.caller_connections.get() == 0) {
            break;
        }
    }
    shell.log("stop", json!({ "open": shell.caller_connections.get() }));
    shell.flush();
    sleep(LOOK.into()).await;
    Ok(())
}

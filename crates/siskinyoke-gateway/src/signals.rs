//! Handlers of the signals to stop and to reload.

use std::path::PathBuf;
use std::rc::Rc;

use serde_json::json;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::time::sleep;

use crate::connection_group::ConnectionGroup;
use crate::listener::DRAIN_PERIOD;
use crate::reload;
use crate::shell::Shell;
use siskinyoke_base::Millis;
use siskinyoke_dispatch::Shutdown;

/// How long before the end of the grace period the process exits, so that its last log lines are
/// written before it is killed.
const LOG_FLUSH_TIME: Millis = Millis(250);

/// How long before the process exits the requests that still run are ended, so that their callers get
/// a response.
const RESPONSE_TIME: Millis = Millis(150);

/// How often open connections are counted during the shutdown.
const DRAIN_POLL_INTERVAL: Millis = Millis(50);

/// Reloads the settings at each `SIGHUP`.
///
/// # Errors
///
/// Returns the system's error if the signal handler cannot be installed.
pub async fn reload_on_signal(shell: Rc<Shell>, path: PathBuf) -> std::io::Result<()> {
    let mut signals = signal(SignalKind::hangup())?;
    while signals.recv().await.is_some() {
        shell.log("reload", json!({}));
        reload::reload_settings(&shell, &path);
    }
    Ok(())
}

/// Waits until this instance shuts down.
pub async fn shutdown(shell: &Shell) -> Shutdown {
    loop {
        let started = shell.shutdown_started.notified();
        if let Some(shutdown) = shell.core.borrow().shutdown() {
            return shutdown;
        }
        started.await;
    }
}

/// Waits for `SIGTERM`, then for the drain period and until all connections of callers are closed,
/// but not beyond the grace period.
///
/// # Errors
///
/// Returns the system's error if the signal handler cannot be installed.
pub async fn stop_on_signal(shell: Rc<Shell>) -> std::io::Result<()> {
    let mut signals = signal(SignalKind::terminate())?;
    signals.recv().await;
    let start = shell.now();
    let end = start + shell.settings().grace_period().since(LOG_FLUSH_TIME);
    let drain_end = start + DRAIN_PERIOD;
    let shutdown = Shutdown {
        drain_end,
        end: end.since(RESPONSE_TIME).max(start),
    };
    shell.core.borrow_mut().begin_shutdown(shutdown);
    shell.report_due.notify_one();
    shell.stream_lookup.hand_over();
    shell.shutdown_started.notify_waiters();
    let open_callers = || shell.clients.connections.count(ConnectionGroup::Callers);
    shell.log("leaving", json!({ "open": open_callers() }));
    loop {
        sleep(DRAIN_POLL_INTERVAL.into()).await;
        let now = shell.now();
        // Connections that wait to be accepted count only once they are.
        let drain_over = now >= drain_end && !shell.accepting_callers.get();
        let idle = open_callers() == 0 && shell.relay.in_flight() == 0;
        if now >= end || (drain_over && idle) {
            break;
        }
    }
    shell.log("stop", json!({ "open": open_callers() }));
    shell.flush_log();
    sleep(DRAIN_POLL_INTERVAL.into()).await;
    Ok(())
}

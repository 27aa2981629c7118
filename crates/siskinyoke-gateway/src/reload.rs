//! Reloading of the settings file, on a signal or when it changed.

use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use serde_json::json;
use tokio::time::sleep;

use crate::settings::Settings;
use crate::shell::Shell;

/// How often the settings file is read, as it may change without a signal.
const FILE_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Reloads the settings file periodically for as long as the process runs.
pub async fn poll_file(shell: Rc<Shell>, path: PathBuf) {
    loop {
        sleep(FILE_POLL_INTERVAL).await;
        reload_settings(&shell, &path);
    }
}

/// Applies the settings file if it changed; an invalid one is logged and ignored.
pub fn reload_settings(shell: &Shell, path: &std::path::Path) {
    match Settings::load(path) {
        Ok(settings) if settings == **shell.settings.borrow() => {}
        Ok(settings) => {
            shell.log(
                "settings_changed",
                json!({ "store": settings.store.to_string() }),
            );
            let previous = shell.settings.replace(Rc::new(settings));
            shell.clients.apply(&shell.settings());
            if previous.store != shell.settings().store {
                shell.store_moved.notify_waiters();
            }
        }
        Err(err) => shell.log("settings_faulty", json!({ "error": err.to_string() })),
    }
}

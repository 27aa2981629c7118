//! Takes over changes of the settings file, with or without a signal.

use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use serde_json::json;
use tokio::time::sleep;

use crate::settings::Settings;
use crate::shell::Shell;

/// How often the file is looked at; it may change without a signal.
const FILE_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Looks at the settings file for as long as the process runs.
pub async fn poll_file(shell: Rc<Shell>, path: PathBuf) {
    loop {
        sleep(FILE_POLL_INTERVAL).await;
        reload_settings(&shell, &path);
    }
}

/// Takes over the settings file if it changed; a faulty one is logged and changes nothing.
pub fn reload_settings(shell: &Shell, path: &std::path::Path) {
    match Settings::load(path) {
        Ok(settings) if settings == **shell.settings.borrow() => {}
        Ok(settings) => {
            shell.log(
                "settings_changed",
                json!({ "store": settings.store.to_string() }),
            );
            *shell.settings.borrow_mut() = Rc::new(settings);
        }
        Err(err) => shell.log("settings_faulty", json!({ "error": err.to_string() })),
    }
}

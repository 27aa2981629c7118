//! `siskinyoke check`: whether a settings file or a configuration can be used.

use clap::Args;
use serde_json::json;

use crate::context::Context;
use crate::operator::OperatorError;
use crate::operator::read_text;
use siskinyoke_control::configuration::Fault;
use siskinyoke_control::configuration::read_file;
use siskinyoke_daemon::Settings;
use siskinyoke_daemon::settings::is_settings;

/// Checks a settings file or a configuration without starting or sending anything.
#[derive(Debug, Args)]
pub struct Check {
    /// The file, or `-` for standard input; its fields tell which of the two it is.
    file: String,
}

impl Check {
    /// Runs the check and prints every fault.
    ///
    /// # Errors
    ///
    /// If the standard input cannot be read; whether the file can be used is returned.
    pub fn run(&self, context: &Context) -> Result<bool, OperatorError> {
        let text = match read_text(&self.file) {
            Err(OperatorError::File(_, faults)) => {
                self.print(context, "file", &faults);
                return Ok(false);
            }
            text => text?,
        };
        let settings = is_settings(&text);
        let checked = if settings {
            Settings::check(&text).map(drop)
        } else {
            read_file(&text).map(drop)
        };
        let kind = if settings {
            "settings"
        } else {
            "configuration"
        };
        let faults = checked.err().unwrap_or_default();
        self.print(context, kind, &faults);
        Ok(faults.is_empty())
    }

    fn print(&self, context: &Context, kind: &str, faults: &[Fault]) {
        if context.json {
            let report = json!({ "file": self.file, "kind": kind, "faults": faults });
            println!("{report}");
            return;
        }
        if faults.is_empty() {
            println!("{}: the {kind} can be used", self.file);
        }
        for fault in faults {
            eprintln!("{}: {fault}", self.file);
        }
    }
}

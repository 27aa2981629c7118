//! `siskinyoke check`: whether a settings file or a configuration can be used.

use std::fs;
use std::io;
use std::io::Read;

use clap::Args;
use serde_json::json;

use crate::context::Context;
use siskinyoke_gateway::settings::Settings;
use siskinyoke_native::configuration::Document;

/// Checks a settings file or a configuration without starting or sending anything.
#[derive(Debug, Args)]
pub struct Check {
    /// The file, or `-` for standard input; its fields tell which of the two it is.
    file: String,
}

impl Check {
    /// Runs the check, prints what is wrong and returns whether the file can be used.
    pub fn run(&self, context: &Context) -> bool {
        let (kind, fault) = match self.read() {
            Err(err) => ("file", Some(err.to_string())),
            // Only a configuration has routes.
            Ok(text) if text.contains("\"routes\"") => {
                ("configuration", check_configuration(&text))
            }
            Ok(text) => ("settings", check_settings(&text)),
        };
        if context.json {
            let report = json!({ "file": self.file, "kind": kind, "fault": fault });
            println!("{report}");
        } else if let Some(fault) = &fault {
            eprintln!("{}: the {kind} cannot be used: {fault}", self.file);
        } else {
            println!("{}: the {kind} can be used", self.file);
        }
        fault.is_none()
    }

    fn read(&self) -> io::Result<String> {
        if self.file != "-" {
            return fs::read_to_string(&self.file);
        }
        let mut text = String::new();
        io::stdin().read_to_string(&mut text)?;
        Ok(text)
    }
}

fn check_settings(text: &str) -> Option<String> {
    Settings::parse(text).err().map(|err| err.to_string())
}

// Every preset has to be sound, also those that are not in force.
fn check_configuration(text: &str) -> Option<String> {
    let document = match Document::parse(text.as_bytes()) {
        Ok(document) => document,
        Err(err) => return Some(err.to_string()),
    };
    document.presets.keys().find_map(|preset| {
        let other = Document {
            preset: preset.clone(),
            ..document.clone()
        };
        other.resolve().err().map(|err| err.to_string())
    })
}

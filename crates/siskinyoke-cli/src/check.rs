//! The command `check`: validates a settings file or a configuration.

use std::fs;
use std::io;
use std::io::Read;

use clap::Args;
use serde_json::json;

use crate::context::Context;
use siskinyoke_gateway::settings::Settings;
use siskinyoke_native::configuration::Document;

/// Validates a settings file or a configuration without starting or sending anything.
#[derive(Debug, Args)]
pub struct Check {
    /// The file, or `-` for standard input. It is a configuration if it has the field `routes`,
    /// otherwise a settings file.
    file: String,
}

impl Check {
    /// Validates the file, prints the first error and returns whether the file is valid.
    pub fn run(&self, context: &Context) -> bool {
        let (kind, error) = match self.read_text() {
            Err(err) => ("file", Some(err.to_string())),
            // Only a configuration has the field `routes`.
            Ok(text) if text.contains("\"routes\"") => ("configuration", config_error(&text)),
            Ok(text) => ("settings", settings_error(&text)),
        };
        if context.json {
            let report = json!({ "file": self.file, "kind": kind, "fault": error });
            println!("{report}");
        } else if let Some(error) = &error {
            eprintln!("{}: the {kind} cannot be used: {error}", self.file);
        } else {
            println!("{}: the {kind} can be used", self.file);
        }
        error.is_none()
    }

    fn read_text(&self) -> io::Result<String> {
        if self.file != "-" {
            return fs::read_to_string(&self.file);
        }
        let mut text = String::new();
        io::stdin().read_to_string(&mut text)?;
        Ok(text)
    }
}

fn settings_error(text: &str) -> Option<String> {
    Settings::parse(text).err().map(|err| err.to_string())
}

// Validates every preset, as any of them may be put in force later.
fn config_error(text: &str) -> Option<String> {
    let document = match Document::parse(text.as_bytes()) {
        Ok(document) => document,
        Err(err) => return Some(err.to_string()),
    };
    document.presets.keys().find_map(|preset| {
        let candidate = Document {
            preset: preset.clone(),
            ..document.clone()
        };
        candidate.resolve().err().map(|err| err.to_string())
    })
}

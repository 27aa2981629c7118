//! `siskinyoke preset`: presets, of which exactly one is in force.

use clap::Subcommand;
use serde_json::Value;
use serde_json::json;

use super::Context;
use super::OperatorError;
use super::client;
use super::file;
use super::options::ChangeOptions;
use super::table;
use siskinyoke_control::configuration::PresetDoc;

/// Lists, shows, writes and switches presets.
#[derive(Debug, Subcommand)]
pub enum PresetCommand {
    /// Lists the presets; a star marks the one in force.
    List,
    /// Prints a preset.
    Show {
        /// Its name.
        name: String,
    },
    /// Puts a preset in force.
    Switch {
        /// Its name.
        name: String,
        #[command(flatten)]
        options: ChangeOptions,
    },
    /// Adds or replaces a preset.
    Set {
        /// Its name.
        name: String,
        /// The file, JSON with comments; `-` for the standard input.
        file: String,
        #[command(flatten)]
        options: ChangeOptions,
    },
    /// Removes a preset that is not in force.
    Remove {
        /// Its name.
        name: String,
        #[command(flatten)]
        options: ChangeOptions,
    },
}

impl PresetCommand {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// What went wrong.
    pub fn run(&self, cx: &mut Context<'_>) -> Result<(), OperatorError> {
        match self {
            Self::List => list(cx),
            Self::Show { name } => {
                let answer = client::read(cx, &format!("presets/{name}"))?;
                cx.value(if cx.json { &answer } else { &answer["preset"] })
            }
            Self::Switch { name, options } => {
                let body = json!({ "name": name }).to_string();
                client::change(cx, options, "POST", "preset", Some(&body))
            }
            Self::Set {
                name,
                file,
                options,
            } => {
                let text = file::read_document::<PresetDoc>(file)?;
                client::change(cx, options, "PUT", &format!("presets/{name}"), Some(&text))
            }
            Self::Remove { name, options } => {
                client::change(cx, options, "DELETE", &format!("presets/{name}"), None)
            }
        }
    }
}

fn list(cx: &mut Context<'_>) -> Result<(), OperatorError> {
    let answer = client::read(cx, "presets")?;
    if cx.json {
        return cx.value(&answer);
    }
    let force = answer["in-force"].as_str().unwrap_or_default();
    let presets = answer["presets"].as_object();
    let row = |(name, preset): (&String, &Value)| {
        let mark = if name == force { "*" } else { "" };
        let cells = ["prefill", "shift", "queue"];
        let cells = cells.iter().map(|field| preset[field].to_string());
        let first = [mark.to_owned(), name.clone()];
        first.into_iter().chain(cells).collect()
    };
    let rows: Vec<Vec<String>> = presets.into_iter().flatten().map(row).collect();
    table::print(cx, &["", "PRESET", "PREFILL", "SHIFT", "QUEUE"], &rows)
}

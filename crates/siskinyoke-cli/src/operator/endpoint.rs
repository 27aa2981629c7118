//! `siskinyoke endpoint`: model engines and servers of plain services.

use clap::Subcommand;
use serde_json::Value;

use super::Context;
use super::OperatorError;
use super::client;
use super::file;
use super::options::ChangeOptions;
use super::table;
use siskinyoke_control::configuration::EndpointDoc;

/// Lists, writes, removes and drains endpoints.
#[derive(Debug, Subcommand)]
pub enum EndpointCommand {
    /// Lists the endpoints.
    List,
    /// Adds or replaces an endpoint.
    Set {
        /// Its name.
        name: String,
        /// The file, JSON with comments; `-` for the standard input.
        file: String,
        #[command(flatten)]
        options: ChangeOptions,
    },
    /// Removes an endpoint; drain it first, so that its requests finish.
    Remove {
        /// Its name.
        name: String,
        #[command(flatten)]
        options: ChangeOptions,
    },
    /// Gives an endpoint nothing new; what runs on it finishes.
    Drain {
        /// Its name.
        name: String,
        #[command(flatten)]
        options: ChangeOptions,
    },
    /// Lets an endpoint have work again.
    Undrain {
        /// Its name.
        name: String,
        #[command(flatten)]
        options: ChangeOptions,
    },
}

impl EndpointCommand {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// What went wrong.
    pub fn run(&self, cx: &mut Context<'_>) -> Result<(), OperatorError> {
        match self {
            Self::List => list(cx),
            Self::Set {
                name,
                file,
                options,
            } => {
                let text = file::read_document::<EndpointDoc>(file)?;
                let path = format!("endpoints/{name}");
                client::change(cx, options, "PUT", &path, Some(&text))
            }
            Self::Remove { name, options } => {
                client::change(cx, options, "DELETE", &format!("endpoints/{name}"), None)
            }
            Self::Drain { name, options } => {
                let path = format!("endpoints/{name}/drain");
                client::change(cx, options, "POST", &path, Some(""))
            }
            Self::Undrain { name, options } => {
                let path = format!("endpoints/{name}/undrain");
                client::change(cx, options, "POST", &path, Some(""))
            }
        }
    }
}

fn list(cx: &mut Context<'_>) -> Result<(), OperatorError> {
    let answer = client::read(cx, "endpoints")?;
    if cx.json {
        return cx.value(&answer);
    }
    let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
    let row = |(name, endpoint): (&String, &Value)| {
        let targets = endpoint["targets"].as_array();
        let targets: Vec<String> = targets.into_iter().flatten().map(text).collect();
        let leaving = endpoint["leaving"].as_bool().unwrap_or_default();
        vec![
            name.clone(),
            text(&endpoint["kind"]),
            text(&endpoint["address"]),
            text(&endpoint["centre"]),
            targets.join(","),
            endpoint["slots"].to_string(),
            if leaving { "leaving" } else { "in use" }.to_owned(),
        ]
    };
    let endpoints = answer["endpoints"].as_object();
    let rows: Vec<Vec<String>> = endpoints.into_iter().flatten().map(row).collect();
    let head = [
        "ENDPOINT", "KIND", "ADDRESS", "CENTRE", "TARGETS", "SLOTS", "STATE",
    ];
    table::print(cx, &head, &rows)
}

//! `siskinyoke organisation`: the teams that send work and are charged for it.

use clap::Subcommand;
use serde_json::Value;

use super::Context;
use super::OperatorError;
use super::client;
use super::file;
use super::options::ChangeOptions;
use super::table;
use siskinyoke_control::configuration::OrganisationDoc;

/// Lists, shows, writes and removes organisations.
#[derive(Debug, Subcommand)]
pub enum OrganisationCommand {
    /// Lists the organisations.
    List,
    /// Prints an organisation; keys appear as digests only.
    Show {
        /// Its name.
        name: String,
    },
    /// Adds or replaces an organisation.
    Set {
        /// Its name.
        name: String,
        /// The file, JSON with comments; `-` for the standard input.
        file: String,
        #[command(flatten)]
        options: ChangeOptions,
    },
    /// Removes an organisation; its keys are refused from then on.
    Remove {
        /// Its name.
        name: String,
        #[command(flatten)]
        options: ChangeOptions,
    },
}

impl OrganisationCommand {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// What went wrong.
    pub fn run(&self, cx: &mut Context<'_>) -> Result<(), OperatorError> {
        match self {
            Self::List => list(cx),
            Self::Show { name } => {
                let answer = client::read(cx, &format!("organisations/{name}"))?;
                cx.value(if cx.json {
                    &answer
                } else {
                    &answer["organisation"]
                })
            }
            Self::Set {
                name,
                file,
                options,
            } => {
                let text = file::read_document::<OrganisationDoc>(file)?;
                let path = format!("organisations/{name}");
                client::change(cx, options, "PUT", &path, Some(&text))
            }
            Self::Remove { name, options } => {
                let path = format!("organisations/{name}");
                client::change(cx, options, "DELETE", &path, None)
            }
        }
    }
}

fn list(cx: &mut Context<'_>) -> Result<(), OperatorError> {
    let answer = client::read(cx, "organisations")?;
    if cx.json {
        return cx.value(&answer);
    }
    let count = |value: &Value| value.as_array().map_or(0, Vec::len).to_string();
    let row = |(name, organisation): (&String, &Value)| {
        let allowance = organisation["allowance"].as_u64();
        let allowance = allowance.map_or_else(|| "none".to_owned(), |limit| limit.to_string());
        vec![
            name.clone(),
            organisation["weight"].to_string(),
            allowance,
            count(&organisation["keys"]),
            count(&organisation["routes"]),
        ]
    };
    let organisations = answer["organisations"].as_object();
    let rows: Vec<Vec<String>> = organisations.into_iter().flatten().map(row).collect();
    let head = ["ORGANISATION", "WEIGHT", "ALLOWANCE", "KEYS", "ROUTES"];
    table::print(cx, &head, &rows)
}

//! `siskinyoke tier`: tiers of work, the most urgent first.

use clap::Subcommand;
use serde_json::Value;
use serde_json::json;

use super::Context;
use super::OperatorError;
use super::client;
use super::options::ChangeOptions;
use super::table;

/// Lists, writes and removes tiers.
#[derive(Debug, Subcommand)]
pub enum TierCommand {
    /// Lists the tiers, the most urgent first.
    List,
    /// Adds or replaces a tier.
    Set {
        /// Its name.
        name: String,
        /// Time to a useful answer, in milliseconds.
        #[arg(long)]
        need: u64,
        /// Its work is shed only after all work of later tiers.
        #[arg(long)]
        protected: bool,
        /// Its rank, 0 for the most urgent; where it is, or the last, if left out.
        #[arg(long)]
        rank: Option<u64>,
        #[command(flatten)]
        options: ChangeOptions,
    },
    /// Removes a tier that no route and no preset names.
    Remove {
        /// Its name.
        name: String,
        #[command(flatten)]
        options: ChangeOptions,
    },
}

impl TierCommand {
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
                need,
                protected,
                rank,
                options,
            } => {
                let body = json!({ "name": name, "need": need, "protected": protected });
                let body = body.to_string();
                let options = options.with_rank(*rank);
                client::change(cx, &options, "PUT", &format!("tiers/{name}"), Some(&body))
            }
            Self::Remove { name, options } => {
                client::change(cx, options, "DELETE", &format!("tiers/{name}"), None)
            }
        }
    }
}

fn list(cx: &mut Context<'_>) -> Result<(), OperatorError> {
    let answer = client::read(cx, "tiers")?;
    if cx.json {
        return cx.value(&answer);
    }
    let row = |(rank, tier): (usize, &Value)| {
        let protected = tier["protected"].as_bool().unwrap_or_default();
        vec![
            rank.to_string(),
            tier["name"].as_str().unwrap_or_default().to_owned(),
            format!("{} ms", tier["need"]),
            if protected { "yes" } else { "no" }.to_owned(),
        ]
    };
    let tiers = answer["tiers"].as_array();
    let rows: Vec<Vec<String>> = tiers.into_iter().flatten().enumerate().map(row).collect();
    table::print(cx, &["RANK", "TIER", "NEED", "PROTECTED"], &rows)
}

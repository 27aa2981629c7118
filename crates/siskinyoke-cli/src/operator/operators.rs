//! `siskinyoke operator`: who may read and change the configuration.

use clap::Subcommand;
use clap::ValueEnum;
use serde_json::Value;
use serde_json::json;

use super::Context;
use super::OperatorError;
use super::client;
use super::options::ChangeOptions;
use super::table;

/// Lists, writes and removes operators.
#[derive(Debug, Subcommand)]
pub enum OperatorCommand {
    /// Lists the operators with their roles.
    List,
    /// Adds or replaces an operator.
    Set {
        /// Its name.
        name: String,
        /// What the operator may do.
        #[arg(long)]
        role: RoleName,
        /// Digest of the operator's key, as `siskinyoke key` prints it.
        #[arg(long)]
        digest: String,
        #[command(flatten)]
        options: ChangeOptions,
    },
    /// Removes an operator; the key is refused from then on.
    Remove {
        /// Its name.
        name: String,
        #[command(flatten)]
        options: ChangeOptions,
    },
}

/// What an operator may do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum RoleName {
    /// Reads.
    Viewer,
    /// Switches presets and drains endpoints.
    Operator,
    /// Changes everything.
    Administrator,
}

impl OperatorCommand {
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
                role,
                digest,
                options,
            } => {
                let body = json!({ "key": digest, "role": role.as_str() }).to_string();
                let path = format!("operators/{name}");
                client::change(cx, options, "PUT", &path, Some(&body))
            }
            Self::Remove { name, options } => {
                client::change(cx, options, "DELETE", &format!("operators/{name}"), None)
            }
        }
    }
}

impl RoleName {
    fn as_str(self) -> &'static str {
        match self {
            Self::Viewer => "viewer",
            Self::Operator => "operator",
            Self::Administrator => "administrator",
        }
    }
}

fn list(cx: &mut Context<'_>) -> Result<(), OperatorError> {
    let answer = client::read(cx, "operators")?;
    if cx.json {
        return cx.value(&answer);
    }
    let row = |(name, operator): (&String, &Value)| {
        let role = operator["role"].as_str().unwrap_or_default().to_owned();
        vec![name.clone(), role]
    };
    let operators = answer["operators"].as_object();
    let rows: Vec<Vec<String>> = operators.into_iter().flatten().map(row).collect();
    table::print(cx, &["OPERATOR", "ROLE"], &rows)
}

//! `siskinyoke change`: whole documents, and what became of a change.

use clap::Subcommand;

use super::Context;
use super::OperatorError;
use super::client;
use super::file;
use super::options::ChangeOptions;
use siskinyoke_control::configuration::read_file;

/// Applies a whole configuration, and tells what became of a change.
#[derive(Debug, Subcommand)]
pub enum ChangeCommand {
    /// Replaces the whole configuration, if --revision is still in force.
    Apply {
        /// The file, JSON with comments; `-` for the standard input.
        file: String,
        #[command(flatten)]
        options: ChangeOptions,
    },
    /// Tells what became of a change.
    Show {
        /// The change's identity.
        id: String,
        /// The revision that the change would follow, as its unknown outcome named it.
        #[arg(long)]
        after: Option<u64>,
    },
    /// Writes what is in force back into a service that shows an older configuration.
    Restore {
        #[command(flatten)]
        options: ChangeOptions,
    },
}

impl ChangeCommand {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// What went wrong.
    pub fn run(&self, cx: &mut Context<'_>) -> Result<(), OperatorError> {
        match self {
            Self::Apply { file, options } => apply(cx, file, options),
            Self::Show { id, after } => show(cx, id, *after),
            Self::Restore { options } => client::change(cx, options, "POST", "restore", Some("")),
        }
    }
}

fn apply(cx: &mut Context<'_>, path: &str, options: &ChangeOptions) -> Result<(), OperatorError> {
    if options.revision.is_none() {
        let detail = "--revision is needed: the revision that the file was written for, as \
                      `siskinyoke configuration show` prints it; 0 for a first start";
        return Err(OperatorError::Usage(detail.to_owned()));
    }
    let text = file::read_text(path)?;
    read_file(&text).map_err(|faults| OperatorError::File(path.to_owned(), faults))?;
    client::change(cx, options, "POST", "apply", Some(&text))
}

fn show(cx: &mut Context<'_>, id: &str, after: Option<u64>) -> Result<(), OperatorError> {
    let query = after.map_or_else(String::new, |after| format!("?after={after}"));
    let answer = client::read(cx, &format!("changes/{id}{query}"))?;
    if cx.json {
        return cx.value(&answer);
    }
    let revision = &answer["revision"];
    cx.line(&format!("change {id} was accepted as revision {revision}"))
}

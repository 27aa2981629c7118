//! `siskinyoke configuration`: the configuration in force.

use clap::Subcommand;

use super::Context;
use super::OperatorError;
use super::client;

/// Shows the configuration in force.
#[derive(Debug, Subcommand)]
pub enum ConfigurationCommand {
    /// Prints the whole configuration, as `siskinyoke change apply` takes it.
    Show,
}

impl ConfigurationCommand {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// What went wrong.
    pub fn run(&self, cx: &mut Context<'_>) -> Result<(), OperatorError> {
        match self {
            Self::Show => show(cx),
        }
    }
}

fn show(cx: &mut Context<'_>) -> Result<(), OperatorError> {
    let answer = client::read(cx, "configuration")?;
    if cx.json {
        return cx.value(&answer);
    }
    let revision = &answer["revision"];
    cx.line(&format!(
        "// Revision {revision}. Change it and put it in force with\n\
         //   siskinyoke change apply FILE --revision {revision}"
    ))?;
    cx.value(&answer["configuration"])
}

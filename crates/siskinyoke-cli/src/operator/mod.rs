//! The operators' commands of the command-line tool.

mod change;
mod client;
mod configuration;
mod context;
mod endpoint;
mod error;
mod file;
mod key;
mod operators;
mod options;
mod organisation;
mod preset;
mod table;
mod tier;

use clap::Subcommand;

pub use context::Context;
pub use error::OperatorError;
pub use file::read_text;

/// The operators' commands.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Lists, shows, writes and switches presets.
    #[command(subcommand)]
    Preset(preset::PresetCommand),
    /// Lists, shows, writes and removes organisations.
    #[command(subcommand)]
    Organisation(organisation::OrganisationCommand),
    /// Lists, writes and removes tiers.
    #[command(subcommand)]
    Tier(tier::TierCommand),
    /// Lists, writes, removes and drains endpoints.
    #[command(subcommand)]
    Endpoint(endpoint::EndpointCommand),
    /// Lists, writes and removes operators.
    #[command(subcommand)]
    Operator(operators::OperatorCommand),
    /// Applies a whole configuration, and tells what became of a change.
    #[command(subcommand)]
    Change(change::ChangeCommand),
    /// Shows the configuration in force.
    #[command(subcommand)]
    Configuration(configuration::ConfigurationCommand),
    /// Draws a bearer key and prints it with its digest.
    Key,
}

impl Command {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// What went wrong; [`OperatorError::exit_code`] gives the process's exit code.
    pub fn run(&self, cx: &mut Context<'_>) -> Result<(), OperatorError> {
        match self {
            Self::Preset(command) => command.run(cx),
            Self::Organisation(command) => command.run(cx),
            Self::Tier(command) => command.run(cx),
            Self::Endpoint(command) => command.run(cx),
            Self::Operator(command) => command.run(cx),
            Self::Change(command) => command.run(cx),
            Self::Configuration(command) => command.run(cx),
            Self::Key => key::run(cx),
        }
    }
}

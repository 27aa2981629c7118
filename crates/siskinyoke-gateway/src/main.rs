//! `siskinyoke-gateway`: accepts requests from callers and runs them on endpoints.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;

use siskinyoke_gateway::gateway;
use siskinyoke_gateway::settings::Settings;

/// Accepts requests from callers and runs them on endpoints.
#[derive(Debug, Parser)]
#[command(version)]
struct Options {
    /// Settings file, in JSON with comments.
    #[arg(long, env = "SISKINYOKE_NODE_FILE")]
    settings: PathBuf,
    /// Check the settings file, print any faults and exit.
    #[arg(long)]
    check: bool,
}

fn main() -> ExitCode {
    let options = Options::parse();
    let settings = match Settings::load(&options.settings) {
        Ok(settings) => settings,
        Err(err) => {
            eprintln!("{}: {err}", options.settings.display());
            return ExitCode::from(2);
        }
    };
    if options.check {
        println!(
            "{}: settings of {} are valid",
            options.settings.display(),
            settings.instance
        );
        return ExitCode::SUCCESS;
    }
    match gateway::run(settings, options.settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("cannot start the instance: {err}");
            ExitCode::FAILURE
        }
    }
}

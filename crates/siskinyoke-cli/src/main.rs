//! `siskinyoke`: the command-line tool of callers and operators.

use std::process::ExitCode;

use clap::Parser;
use clap::Subcommand;

use siskinyoke_base::Kind;
use siskinyoke_cli::caller;
use siskinyoke_cli::context::Context;

/// Exit code for what was refused or not run.
const EXIT_REFUSED: u8 = 1;

/// Exit code for an outcome that is not known.
const EXIT_UNKNOWN: u8 = 3;

/// Sends work through siskinyoke, and operates it.
#[derive(Debug, Parser)]
#[command(name = "siskinyoke", version, about)]
struct Cli {
    #[command(flatten)]
    context: Context,
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Say which address to use.
    Locate,
    /// Send a request and print its answer as it arrives.
    Send(caller::Send),
}

fn main() -> ExitCode {
    env_logger::init();
    let cli = Cli::parse();
    match &cli.command {
        Command::Locate => finish(caller::locate(&cli.context).map(|()| Kind::Done)),
        Command::Send(send) => finish(send.run(&cli.context).map(|outcome| outcome.kind)),
    }
}

fn finish(result: Result<Kind, impl std::error::Error>) -> ExitCode {
    match result {
        Ok(Kind::Done) => ExitCode::SUCCESS,
        Ok(Kind::NotRun) => ExitCode::from(EXIT_REFUSED),
        Ok(Kind::Unknown) => ExitCode::from(EXIT_UNKNOWN),
        Err(err) => {
            eprintln!("siskinyoke: {err}");
            ExitCode::from(EXIT_REFUSED)
        }
    }
}

//! `siskinyoke`: the command-line tool of callers and operators.

use std::io;
use std::io::Write;
use std::process::ExitCode;

use clap::Parser;
use clap::Subcommand;

use siskinyoke_base::OutcomeKind;
use siskinyoke_cli::caller;
use siskinyoke_cli::check;
use siskinyoke_cli::context::Context;
use siskinyoke_cli::explain;
use siskinyoke_cli::operate;
use siskinyoke_cli::report;
use siskinyoke_cli::shares;
use siskinyoke_cli::status;

/// Exit code for failed commands and for requests that have not run.
const EXIT_REFUSED: u8 = 1;

/// Exit code for a file that `check` finds invalid.
const EXIT_INVALID: u8 = 2;

/// Exit code for requests whose outcome is unknown.
const EXIT_UNKNOWN: u8 = 3;

/// Sends requests through siskinyoke and operates it.
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
    /// Print the addresses of the instances to use.
    Locate,
    /// Send a request and print the response as it arrives.
    Send(caller::Send),
    /// Validate a settings file or a configuration without starting or sending anything.
    Check(check::Check),
    /// Print the state of instances from their metrics pages.
    Status(status::Status),
    /// Print how many slots organisations use against their shares.
    Shares(shares::Shares),
    /// Explain the outcome of a request from the instances' logs.
    Explain(explain::Explain),
    /// Report the usage of each organisation from logs.
    Usage(report::UsageArgs),
    /// Report the error budget burn rate of each tier from logs.
    Burn(report::BurnArgs),
    #[command(flatten)]
    Operate(operate::Operate),
}

fn main() -> ExitCode {
    env_logger::init();
    let cli = Cli::parse();
    let context = &cli.context;
    let out = &mut io::stdout().lock();
    match &cli.command {
        Command::Locate => exit_code(caller::locate(context).map(|()| OutcomeKind::Done)),
        Command::Send(send) => exit_code(send.run(context).map(|outcome| outcome.kind)),
        Command::Check(check) if check.run(context) => ExitCode::SUCCESS,
        Command::Check(_) => ExitCode::from(EXIT_INVALID),
        Command::Explain(explain) => exit_code(explain.run(out).map(|()| OutcomeKind::Done)),
        Command::Status(status) => exit_code(status.run(context)),
        Command::Shares(shares) => exit_code(shares.run(context, out)),
        Command::Usage(args) => exit_code(args.run(context.json, out).map(|()| OutcomeKind::Done)),
        Command::Burn(args) => exit_code(args.run(context.json, out).map(|()| OutcomeKind::Done)),
        Command::Operate(command) => exit_code(command.run(context).map(|text| {
            // A closed pipe is not an error: its reader needs no further output.
            let _ = writeln!(out, "{text}");
            OutcomeKind::Done
        })),
    }
}

fn exit_code(result: Result<OutcomeKind, impl std::fmt::Display>) -> ExitCode {
    match result {
        Ok(OutcomeKind::Done) => ExitCode::SUCCESS,
        Ok(OutcomeKind::NotRun) => ExitCode::from(EXIT_REFUSED),
        Ok(OutcomeKind::Unknown) => ExitCode::from(EXIT_UNKNOWN),
        Err(err) => {
            eprintln!("siskinyoke: {err}");
            ExitCode::from(EXIT_REFUSED)
        }
    }
}

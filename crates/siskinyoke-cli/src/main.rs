//! `siskinyoke`: the command-line tool of callers and operators.

use std::io;
use std::io::Write;
use std::process::ExitCode;

use clap::Parser;
use clap::Subcommand;

use siskinyoke_base::Kind;
use siskinyoke_cli::caller;
use siskinyoke_cli::check;
use siskinyoke_cli::context::Context;
use siskinyoke_cli::explain;
use siskinyoke_cli::operator;
use siskinyoke_cli::report;
use siskinyoke_cli::report::ReportError;
use siskinyoke_cli::status;

/// Exit code for what was refused or not run.
const EXIT_REFUSED: u8 = 1;

/// Exit code for a file that cannot be used.
const EXIT_INVALID: u8 = 2;

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
    /// Check a settings file or a configuration without starting or sending anything.
    Check(check::Check),
    /// Say what each daemon tells of itself.
    Status,
    /// Tell the story of one request from the gateways' logs.
    Explain(explain::Explain),
    /// Print what was charged.
    Usage(report::UsageArgs),
    /// Report how fast the tiers' error budgets burn.
    Burn(report::BurnArgs),
    #[command(flatten)]
    Operate(operator::Command),
}

fn main() -> ExitCode {
    env_logger::init();
    let cli = Cli::parse();
    let context = &cli.context;
    match &cli.command {
        Command::Locate => finish(caller::locate(context).map(|()| Kind::Done)),
        Command::Send(send) => finish(send.run(context).map(|outcome| outcome.kind)),
        Command::Check(check) => checked(check.run(context)),
        Command::Explain(explain) => {
            finish(explain.run(&mut io::stdout().lock()).map(|()| Kind::Done))
        }
        Command::Status => finish(status::status(context)),
        Command::Usage(args) => finish(reported(context, |addresses, json, out| {
            args.run(context, addresses, json, out)
        })),
        Command::Burn(args) => finish(reported(context, |addresses, json, out| {
            args.run(context, addresses, json, out)
        })),
        Command::Operate(command) => operate(context, command),
    }
}

/// Makes a report and writes it to the standard output.
fn reported(
    context: &Context,
    run: impl FnOnce(&[String], bool, &mut dyn Write) -> Result<(), ReportError>,
) -> Result<Kind, ReportError> {
    run(&context.addresses, context.json, &mut io::stdout().lock())?;
    Ok(Kind::Done)
}

fn operate(context: &Context, command: &operator::Command) -> ExitCode {
    let mut out = io::stdout().lock();
    let mut cx = operator::Context {
        addresses: &context.addresses,
        key: context.key.as_deref(),
        json: context.json,
        out: &mut out,
    };
    match command.run(&mut cx) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("siskinyoke: {err}");
            ExitCode::from(err.exit_code())
        }
    }
}

fn checked(result: Result<bool, operator::OperatorError>) -> ExitCode {
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(EXIT_INVALID),
        Err(err) => {
            eprintln!("siskinyoke: {err}");
            ExitCode::from(EXIT_INVALID)
        }
    }
}

fn finish(result: Result<Kind, impl std::fmt::Display>) -> ExitCode {
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

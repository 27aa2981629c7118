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
use siskinyoke_cli::operate;
use siskinyoke_cli::report;
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
    /// Say which addresses to use.
    Locate,
    /// Send a request and print its answer as it arrives.
    Send(caller::Send),
    /// Check a settings file or a configuration without starting or sending anything.
    Check(check::Check),
    /// Say what instances tell of themselves.
    Status(status::Status),
    /// Tell the story of one request from the instances' logs.
    Explain(explain::Explain),
    /// Report from logs what each organisation used.
    Usage(report::UsageArgs),
    /// Report from logs how fast the tiers' error budgets burn.
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
        Command::Locate => exit_code(caller::locate(context).map(|()| Kind::Done)),
        Command::Send(send) => exit_code(send.run(context).map(|outcome| outcome.kind)),
        Command::Check(check) if check.run(context) => ExitCode::SUCCESS,
        Command::Check(_) => ExitCode::from(EXIT_INVALID),
        Command::Explain(explain) => exit_code(explain.run(out).map(|()| Kind::Done)),
        Command::Status(status) => exit_code(status.run(context)),
        Command::Usage(args) => exit_code(args.run(context.json, out).map(|()| Kind::Done)),
        Command::Burn(args) => exit_code(args.run(context.json, out).map(|()| Kind::Done)),
        Command::Operate(command) => exit_code(command.run(context).map(|text| {
            // A reader that has seen enough closes the pipe, which is no fault.
            let _ = writeln!(out, "{text}");
            Kind::Done
        })),
    }
}

fn exit_code(result: Result<Kind, impl std::fmt::Display>) -> ExitCode {
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

//! `siskinyoked`: the daemon's program.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;

use siskinyoke_daemon::Daemon;
use siskinyoke_daemon::Settings;

/// Exit code for settings that cannot be used.
const EXIT_SETTINGS: u8 = 2;

/// The request scheduler's daemon.
#[derive(Debug, Parser)]
#[command(name = "siskinyoked", version, about)]
struct Args {
    /// Settings file, JSON with comments.
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
}

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    let args = Args::parse();
    let settings = match Settings::read(&args.settings) {
        Ok(settings) => settings,
        Err(err) => {
            eprintln!("{err}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    let daemon = match Daemon::start(settings) {
        Ok(daemon) => daemon,
        Err(err) => {
            eprintln!("{err}");
            return ExitCode::FAILURE;
        }
    };
    daemon.leave_on_signals();
    daemon.join();
    ExitCode::SUCCESS
}

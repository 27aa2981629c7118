//! The command line of the stand-ins and the load generator.

use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::thread;

use clap::Args;
use clap::Parser;
use clap::Subcommand;

use siskinyoke_base::Millis;
use siskinyoke_standin::engine::Engine;
use siskinyoke_standin::engine::EngineConfig;
use siskinyoke_standin::error::StandinError;
use siskinyoke_standin::etcd::Etcd;
use siskinyoke_standin::etcd::EtcdConfig;
use siskinyoke_standin::load;
use siskinyoke_standin::load::file::LoadFile;
use siskinyoke_standin::load::report;
use siskinyoke_standin::service::Service;
use siskinyoke_standin::service::ServiceConfig;
use siskinyoke_standin::trial;

/// Stand-ins for the systems that siskinyoke connects to, and a load generator.
#[derive(Debug, Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run a stand-in for etcd.
    Etcd(Addresses),
    /// Run a stand-in for a model engine.
    Engine(EngineArgs),
    /// Run a stand-in for a plain service.
    Service(ServiceArgs),
    /// Run a complete system in one process, send a few requests and print counts by component.
    Trial,
    /// Generate load and check every response.
    Load(LoadArgs),
}

#[derive(Debug, Args)]
struct Addresses {
    /// Address to listen on; port 0 for any free port.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: String,
    /// Control address, which stays reachable while the stand-in is down.
    #[arg(long, default_value = "127.0.0.1:0")]
    control: String,
}

#[derive(Debug, Args)]
struct EngineArgs {
    #[command(flatten)]
    addresses: Addresses,
    /// A model to serve; may be repeated.
    #[arg(long = "model", default_value = "small")]
    models: Vec<String>,
    /// Maximum number of concurrent requests.
    #[arg(long, default_value_t = 16)]
    slots: u32,
    /// Output tokens per second of each running request.
    #[arg(long, default_value_t = 100.0)]
    speed: f64,
    /// Prompt tokens processed per second.
    #[arg(long, default_value_t = 8000.0)]
    prefill: f64,
    /// Capacity of the prefix cache in blocks.
    #[arg(long, default_value_t = 4096)]
    cache: usize,
    /// Delay of the metrics, in milliseconds.
    #[arg(long, default_value_t = 500)]
    lag: u64,
    /// End the process on a request whose prompt contains this text.
    #[arg(long)]
    crash_marker: Option<String>,
}

#[derive(Debug, Args)]
struct ServiceArgs {
    #[command(flatten)]
    addresses: Addresses,
    /// Duration of a call, in milliseconds.
    #[arg(long, default_value_t = 2)]
    time: u64,
}

#[derive(Debug, Args)]
struct LoadArgs {
    /// The load file, JSON with comments.
    file: PathBuf,
    /// Address to send to instead of those in the file; may be repeated.
    #[arg(long = "address")]
    addresses: Vec<String>,
    /// Seed to use instead of the one in the file.
    #[arg(long)]
    seed: Option<u64>,
    /// Print the report as JSON.
    #[arg(long)]
    json: bool,
}

/// Exit code after a load test in which a response looked complete but had wrong contents.
const WRONG_RESPONSE_EXIT_CODE: u8 = 1;

fn main() -> ExitCode {
    env_logger::init();
    match run(Cli::parse().command) {
        Ok(code) => code,
        Err(err) => {
            eprintln!("siskinyoke-standin: {err}");
            ExitCode::from(2)
        }
    }
}

fn run(command: Command) -> Result<ExitCode, StandinError> {
    match command {
        Command::Etcd(args) => run_etcd(args),
        Command::Engine(args) => run_engine(args),
        Command::Service(args) => run_service(args),
        Command::Trial => trial::run().map(|complete| ExitCode::from(u8::from(!complete))),
        Command::Load(args) => run_load(args),
    }
}

fn run_etcd(args: Addresses) -> Result<ExitCode, StandinError> {
    let etcd = Etcd::start(&EtcdConfig {
        listen: args.listen,
        control: args.control,
    })?;
    println!("{}", etcd.address());
    println!("control {}", etcd.control_address());
    serve_forever()
}

fn run_engine(args: EngineArgs) -> Result<ExitCode, StandinError> {
    let engine = Engine::start(&EngineConfig {
        listen: args.addresses.listen,
        control: args.addresses.control,
        models: args.models,
        slots: args.slots,
        speed: args.speed,
        prefill: args.prefill,
        cache: args.cache,
        lag: Millis(args.lag),
        crash_marker: args.crash_marker,
        exit: true,
        ..EngineConfig::default()
    })?;
    println!("{}", engine.address());
    println!("control {}", engine.control_address());
    serve_forever()
}

fn run_service(args: ServiceArgs) -> Result<ExitCode, StandinError> {
    let service = Service::start(&ServiceConfig {
        listen: args.addresses.listen,
        control: args.addresses.control,
        time: Millis(args.time),
    })?;
    println!("{}", service.address());
    println!("control {}", service.control_address());
    serve_forever()
}

fn run_load(args: LoadArgs) -> Result<ExitCode, StandinError> {
    let mut file = LoadFile::parse(&read_file(&args.file)?)?;
    if !args.addresses.is_empty() {
        file.addresses = args.addresses;
    }
    file.seed = args.seed.unwrap_or(file.seed);
    let lines = load::run(&file)?;
    if args.json {
        let json = serde_json::to_string_pretty(&lines);
        println!("{}", json.unwrap_or_default());
    } else {
        print!("{}", report::table(&lines));
    }
    let wrong = lines.iter().any(|line| line.wrong > 0);
    Ok(if wrong {
        ExitCode::from(WRONG_RESPONSE_EXIT_CODE)
    } else {
        ExitCode::SUCCESS
    })
}

fn read_file(path: &Path) -> Result<String, StandinError> {
    let text = fs::read_to_string(path);
    text.map_err(|err| StandinError::File(format!("{}: {err}", path.display())))
}

/// Blocks until the process is terminated.
fn serve_forever() -> ! {
    loop {
        thread::park();
    }
}

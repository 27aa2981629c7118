//! Prints the slopes behind `docs/CAPACITY.md`.

use clap::Parser;
use clap::Subcommand;
use clap::ValueEnum;

use siskinyoke_daemon::peers::PeersError;
use siskinyoke_measure::documents;
use siskinyoke_measure::fleet;
use siskinyoke_measure::holder;
use siskinyoke_measure::limits;
use siskinyoke_measure::requests;
use siskinyoke_measure::service;
use siskinyoke_measure::wire;

/// Measures one slope and prints it as a table.
#[derive(Debug, Parser)]
struct Arguments {
    #[command(subcommand)]
    slope: Slope,
}

#[derive(Debug, Subcommand)]
enum Slope {
    /// Members, by the size of the fleet, in virtual time.
    Members {
        /// Sizes of the fleet.
        #[arg(default_values_t = [8, 32, 128, 370])]
        sizes: Vec<usize>,
    },
    /// Members when many fail at once, in virtual time.
    Failures {
        /// Sizes of the fleet.
        #[arg(default_values_t = [16, 32, 128])]
        sizes: Vec<usize>,
    },
    /// The transport between daemons, over the loopback interface.
    Wire,
    /// Capacity leases, by resources and by holders.
    Leases,
    /// The core, by members and by endpoints.
    Requests,
    /// Whole cores: calls of the platform's service and messages to peers.
    Service {
        /// Sizes of the fleet.
        #[arg(default_values_t = [3, 8, 32, 128])]
        sizes: Vec<usize>,
        /// Loads of each daemon, in requests a second.
        #[arg(long, default_values_t = [0, 5])]
        loads: Vec<u64>,
        /// Endpoints in the configuration.
        #[arg(long, default_value_t = service::ENDPOINTS)]
        endpoints: usize,
    },
    /// The holder of a pool's orders, by endpoints.
    Orders {
        /// Numbers of endpoints.
        #[arg(default_values_t = [12, 75, 300, 600])]
        sizes: Vec<usize>,
    },
    /// Time until an accepted change is in force everywhere.
    InForce {
        /// Sizes of the fleet.
        #[arg(default_values_t = [8, 32, 128, 370])]
        sizes: Vec<usize>,
    },
    /// Memory, one figure for each process, since freed memory is used again.
    Memory {
        /// What is weighed.
        what: What,
        /// How many of it.
        size: usize,
    },
}

#[derive(Debug, Clone, Copy, ValueEnum)]
enum What {
    /// Organisations in the configuration.
    Configuration,
    /// Identities in the ledger.
    Ledger,
    /// Requests on the way.
    Requests,
    /// Members of the fleet.
    Members,
}

fn main() -> Result<(), PeersError> {
    match Arguments::parse().slope {
        Slope::Members { sizes } => fleet::run(&sizes),
        Slope::Failures { sizes } => fleet::failures(&sizes),
        Slope::Wire => wire::run(&[4, 8, 16, 32], &[1, 100, 1_000])?,
        Slope::Leases => limits::run(&[5, 20, 100, 600], &[8, 32, 128, 370]),
        Slope::Requests => {
            requests::run(&[8, 32, 128, 370], &[12, 75, 300]);
            requests::demand(&[12, 75, 300, 600]);
            requests::in_force(&[1_000, 5_000, 21_000]);
        }
        Slope::Service {
            sizes,
            loads,
            endpoints,
        } => service::run(&sizes, &loads, endpoints),
        Slope::Orders { sizes } => holder::run(&sizes),
        Slope::InForce { sizes } => service::in_force(&sizes),
        Slope::Memory { what, size } => match what {
            What::Configuration => documents::run(&[size]),
            What::Ledger => requests::ledger(&[size]),
            What::Requests => requests::memory(&[size]),
            What::Members => fleet::memory_of(size),
        },
    }
    Ok(())
}

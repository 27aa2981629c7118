//! Measures what the daemon adds beside the same client straight to the engine.

mod bench;
mod child;
mod point;
mod slow;

use std::io::Write;

use self::bench::Bench;
use self::child::Cost;
use self::point::Path;
use self::point::Point;
use crate::error::StandinError;

pub use self::slow::run as slow_senders;

/// Requests in flight at which it is measured.
const FLIGHTS: [usize; 3] = [1, 16, 128];

/// Blocks of each path; they alternate, so that both meet the same machine.
const BLOCKS: usize = 3;

/// Measures and prints a table.
///
/// # Errors
///
/// [`StandinError`] if a part cannot be started.
pub fn run() -> Result<(), StandinError> {
    let bench = Bench::start(&serde_json::json!({}))?;
    println!("in flight | path | whole | first token p50, p99 ms | next token p50, p99 ms");
    for flight in FLIGHTS {
        measure(&bench, flight)?;
    }
    Ok(())
}

fn measure(bench: &Bench, flight: usize) -> Result<(), StandinError> {
    let mut straight = Point::default();
    let mut through = Point::default();
    let mut cost = Cost::default();
    // The first block opens the engine's slots step by step; it is not counted.
    bench.block(Path::Through, flight)?;
    for _ in 0..BLOCKS {
        straight.merge(bench.block(Path::Straight, flight)?);
        let before = bench.daemon.cost()?;
        through.merge(bench.block(Path::Through, flight)?);
        cost.add(&bench.daemon.cost()?.since(&before));
    }
    straight.print(flight, "straight");
    through.print(flight, "daemon");
    through.print_ratios(flight, &straight);
    println!(
        "{flight} | daemon | resident {:.1} MiB | {:.2} ms of processor time a request",
        bench.daemon.cost()?.resident,
        cost.processor / f64::from(through.whole().max(1)),
    );
    // The run takes a minute, and its lines are wanted as they come.
    let _ = std::io::stdout().flush();
    Ok(())
}

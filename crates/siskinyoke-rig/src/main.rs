//! Measures the decisions under load and prints them side by side with baselines.

use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;

use clap::Parser;

use siskinyoke_rig::figures::Figures;
use siskinyoke_rig::load::Load;
use siskinyoke_rig::matrix::Figure;
use siskinyoke_rig::matrix::matrix;
use siskinyoke_rig::rival::Rival;
use siskinyoke_rig::run;
use siskinyoke_rig::site::Site;
use siskinyoke_rig::table;

/// Distance between the seeds of two runs; the loads kept apart begin at another seed.
const SEED_STEP: u64 = 1000;

/// Measures the decisions under load in virtual time.
#[derive(Debug, Parser)]
#[command(name = "siskinyoke-rig", version)]
struct Arguments {
    /// Only this deployment: muscat or cairo.
    #[arg(long)]
    site: Option<String>,
    /// Only loads whose name begins so.
    #[arg(long)]
    load: Option<String>,
    /// Only this policy.
    #[arg(long)]
    policy: Option<Rival>,
    /// Only loads kept apart while thresholds were chosen (true), or only the others (false).
    #[arg(long)]
    held: Option<bool>,
    /// Prints JSON in place of a table.
    #[arg(long)]
    json: bool,
    /// Prints these figures alone, all policies side by side.
    #[arg(long)]
    figure: Vec<Figure>,
    /// Runs of each load that differ in their seeds; their figures are averaged.
    #[arg(long, default_value_t = 3)]
    seeds: u64,
    /// Runs at once.
    #[arg(long, default_value_t = 3)]
    threads: usize,
}

fn main() {
    let arguments = Arguments::parse();
    let jobs = jobs(&arguments);
    let done = Mutex::new(Vec::new());
    let next = AtomicUsize::new(0);
    thread::scope(|scope| {
        for _ in 0..arguments.threads.max(1) {
            scope.spawn(|| {
                while let Some((site, load, rival)) = jobs.get(next.fetch_add(1, Ordering::Relaxed))
                {
                    let runs: Vec<Figures> = (0..arguments.seeds.max(1))
                        .map(|seed| play(site, load, *rival, seed))
                        .collect();
                    let Ok(mut done) = done.lock() else { return };
                    done.extend(Figures::mean(&runs));
                }
            });
        }
    });
    let figures = done.into_inner().unwrap_or_default();
    print(&arguments, &sorted(&jobs, figures));
}

/// Plays a load with another seed.
fn play(site: &Site, load: &Load, rival: Rival, seed: u64) -> Figures {
    let mut load = load.clone();
    load.seed += seed * SEED_STEP;
    let outcome = run::play(site, &load, rival);
    Figures::of(site, &load, rival, &outcome)
}

fn jobs(arguments: &Arguments) -> Vec<(Site, Load, Rival)> {
    let mut jobs = Vec::new();
    for site in [Site::muscat(), Site::cairo()] {
        for load in Load::all() {
            for rival in Rival::ALL {
                let wanted = arguments
                    .site
                    .as_deref()
                    .is_none_or(|name| name == site.name)
                    && arguments
                        .load
                        .as_deref()
                        .is_none_or(|name| load.name.starts_with(name))
                    && arguments.policy.is_none_or(|only| only == rival)
                    && arguments.held.is_none_or(|held| held == load.held);
                if wanted {
                    jobs.push((site.clone(), load.clone(), rival));
                }
            }
        }
    }
    jobs
}

fn sorted(jobs: &[(Site, Load, Rival)], figures: Vec<Figures>) -> Vec<Figures> {
    let place = |figures: &Figures| {
        jobs.iter().position(|(site, load, rival)| {
            site.name == figures.site && load.name == figures.load && rival.name() == figures.policy
        })
    };
    let mut figures = figures;
    figures.sort_by_key(place);
    figures
}

fn print(arguments: &Arguments, figures: &[Figures]) {
    if arguments.json {
        match serde_json::to_string_pretty(figures) {
            Ok(text) => println!("{text}"),
            Err(error) => eprintln!("the figures cannot be written: {error}"),
        }
        return;
    }
    for figure in &arguments.figure {
        println!("{figure:?}\n\n{}", matrix(figures, *figure));
    }
    if !arguments.figure.is_empty() {
        return;
    }
    println!("{}", table::HEADING);
    for figures in figures {
        println!("{}", table::line(figures));
    }
}

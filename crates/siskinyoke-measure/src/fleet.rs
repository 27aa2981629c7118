//! What members cost a daemon, at several sizes of the fleet.

use crate::Network;
use crate::cost;
use siskinyoke_base::InstanceId;
use siskinyoke_base::Millis;
use siskinyoke_base::message::MemberState;

/// Virtual seconds measured.
const SECONDS: u64 = 600;

/// How long the news of a fleet that starts all at once goes round.
const SETTLE: Millis = Millis::from_secs(900);

/// Copies of a daemon's state that are weighed.
const COPIES: usize = 20;

/// Prints one line for each size.
pub fn run(sizes: &[usize]) {
    println!(
        "| members | messages/s | bytes/s | bytes/s when all start at once | µs/s | list reads/s (fleet) | dead found in s | leaving known in s |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    for size in sizes {
        line(*size);
    }
}

fn line(size: usize) {
    let mut network = Network::fleet(size, 1);
    network.run(Millis::from_secs(20));
    let early = bytes_each_second(&mut network);
    network.run(SETTLE);
    network.reset_traffic();
    let before = cost::thread_nanos();
    network.run(Millis::from_secs(SECONDS));
    let nanos = cost::thread_nanos() - before;
    let daemons = (size as u64 * SECONDS) as f64;
    let traffic = network.nodes().map(|node| node.traffic);
    let (mut messages, mut bytes, mut calls) = (0, 0, 0);
    for one in traffic {
        messages += one.messages;
        bytes += one.bytes;
        calls += one.calls;
    }
    let found = span(&mut network, &Network::name(1), MemberState::Gone);
    let known = span(&mut network, &Network::name(2), MemberState::Leaving);
    println!(
        "| {size} | {:.2} | {:.0} | {early:.0} | {:.0} | {:.2} | {found:.1} | {known:.1} |",
        messages as f64 / daemons,
        bytes as f64 / daemons,
        nanos as f64 / 1000.0 / daemons,
        calls as f64 / SECONDS as f64,
    );
}

/// Returns the bytes that each daemon sends in a second.
fn bytes_each_second(network: &mut Network) -> f64 {
    network.reset_traffic();
    network.run(Millis::from_secs(10));
    let bytes: u64 = network.nodes().map(|node| node.traffic.bytes).sum();
    bytes as f64 / 10.0 / network.nodes().count() as f64
}

/// Returns how long it takes until all others see a member in a state, in seconds.
fn span(network: &mut Network, name: &InstanceId, state: MemberState) -> f64 {
    let others = network.nodes().count() - 1;
    let start = network.now;
    if state == MemberState::Gone {
        network.kill(name);
    } else {
        network.leave(name);
    }
    while network.seen_as(name, state) < others.saturating_sub(1) {
        network.run(Millis(100));
        if network.now.since(start) > Millis::from_secs(120) {
            return f64::INFINITY;
        }
    }
    network.now.since(start).as_secs()
}

/// Prints the memory of one daemon's members.
pub fn memory_of(size: usize) {
    let make = |copy: usize| {
        let mut network = Network::fleet(2, copy as u64);
        network.introduce(&Network::name(0), size);
        network
    };
    let bytes = cost::bytes_each(COPIES, make);
    println!("| members | bytes | bytes each |\n|---|---|---|");
    println!("| {size} | {bytes} | {} |", bytes / size as u64);
}

/// Prints how long a fleet takes over the death of an eighth of it at once, and over half of it
/// being cut off for an hour.
pub fn failures(sizes: &[usize]) {
    println!(
        "| members | die at once | s until all are gone for all others | wrongly gone | s until halves are whole again |"
    );
    println!("|---|---|---|---|---|");
    for size in sizes {
        let (dead, span, wrong) = deaths(*size);
        let healed = cut(*size);
        println!("| {size} | {dead} | {span:.1} | {wrong} | {healed:.1} |");
    }
}

fn deaths(size: usize) -> (usize, f64, usize) {
    let mut network = settled(size);
    let dead: Vec<InstanceId> = (0..size / 8).map(|n| Network::name(n * 8)).collect();
    let start = network.now;
    for name in &dead {
        network.kill(name);
    }
    let others = size - dead.len();
    let known = |network: &Network| {
        let seen = |name: &InstanceId| network.seen_as(name, MemberState::Gone) == others;
        dead.iter().all(seen)
    };
    while !known(&network) && network.now.since(start) < SETTLE {
        network.run(Millis(500));
    }
    let span = network.now.since(start).as_secs();
    let changes = network.nodes().flat_map(|node| &node.changes);
    let gone = changes.filter(|(_, after)| after.state == MemberState::Gone);
    let wrong = gone.filter(|(_, after)| !dead.contains(&after.instance));
    (dead.len(), span, wrong.count())
}

fn cut(size: usize) -> f64 {
    let mut network = settled(size);
    let half: Vec<InstanceId> = (0..size / 2).map(Network::name).collect();
    for name in &half {
        network.cut(name, 1);
    }
    network.run(Millis::from_secs(3_600));
    for name in &half {
        network.cut(name, 0);
    }
    let start = network.now;
    let whole = |network: &Network| network.nodes().all(|n| n.members.live().count() == size);
    while !whole(&network) && network.now.since(start) < SETTLE {
        network.run(Millis(500));
    }
    network.now.since(start).as_secs()
}

fn settled(size: usize) -> Network {
    let mut network = Network::fleet(size, 1);
    network.run(SETTLE);
    network
}

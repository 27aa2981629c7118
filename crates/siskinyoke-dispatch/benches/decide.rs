//! What decisions cost as waiting requests and endpoints grow.

#[path = "../tests/common/mod.rs"]
mod common;

use divan::Bencher;
use divan::black_box;

use siskinyoke_base::Millis;
use siskinyoke_dispatch::Core;
use siskinyoke_dispatch::Decision;

/// Waiting requests, and endpoints.
const SIZES: [(u64, u64); 7] = [
    (0, 10),
    (10, 10),
    (100, 10),
    (1_000, 10),
    (10, 100),
    (100, 100),
    (10, 1_000),
];

/// Slots of an endpoint.
const SLOTS: u32 = 6;

/// Other instances of the shard.
const PEERS: u64 = 8;

fn main() {
    divan::main();
}

/// Deciding again while nothing can start, as after each event in an overload.
#[divan::bench(args = SIZES)]
fn decide_when_full(bencher: Bencher<'_, '_>, (waiting, endpoints): (u64, u64)) {
    let mut core = full(waiting, endpoints);
    bencher.bench_local(|| black_box(core.decide(Millis(1))));
}

/// Deciding again while each endpoint names a rate limit and ten requests wait.
#[divan::bench(args = [10, 100])]
fn decide_with_limits(bencher: Bencher<'_, '_>, endpoints: u64) {
    let mut core = full(10, endpoints);
    for at in 0..endpoints {
        let endpoint = common::endpoint(&format!("e{at}"), SLOTS);
        core.record_limit(Millis(0), &endpoint, Millis(0), Some(1.5));
    }
    bencher.bench_local(|| black_box(core.decide(Millis(1))));
}

/// One request from its head to the end of its answer, with free slots.
#[divan::bench(args = [10, 100, 1_000])]
fn serve_one(bencher: Bencher<'_, '_>, endpoints: u64) {
    let mut core = fleet(endpoints);
    let mut now = 1;
    bencher.bench_local(|| {
        now += 1;
        serve(&mut core, Millis(now));
    });
}

/// A report to the peers, and taking one in.
#[divan::bench(args = [10, 100, 1_000])]
fn send_report(bencher: Bencher<'_, '_>, endpoints: u64) {
    let mut core = full(10, endpoints);
    bencher.bench_local(|| black_box(core.next_report(Millis(1), false)));
}

/// Taking in a peer's report, which names each endpoint.
#[divan::bench(args = [10, 100, 1_000])]
fn receive_report(bencher: Bencher<'_, '_>, endpoints: u64) {
    let mut core = fleet(endpoints);
    let mut number = 1;
    bencher.bench_local(|| {
        number += 1;
        core.receive_report(Millis(1), peer(1, number, endpoints))
    });
}

// An instance whose peers use all endpoints a little.
fn fleet(endpoints: u64) -> Core {
    let mut core = common::core("i0", SLOTS);
    for at in 1..endpoints {
        let endpoint = common::endpoint(&format!("e{at}"), SLOTS);
        core.registry().put(Millis(0), endpoint);
    }
    for at in 1..=PEERS {
        core.receive_report(Millis(0), peer(at, 1, endpoints));
    }
    core
}

// An instance that has filled all endpoints, and has so many requests waiting.
fn full(waiting: u64, endpoints: u64) -> Core {
    let mut core = fleet(endpoints);
    let slots = endpoints * u64::from(SLOTS);
    for print in 0..slots + waiting {
        admit(&mut core, Millis(0), print);
        if print < slots {
            core.decide(Millis(0));
        }
    }
    core
}

fn peer(at: u64, number: u64, endpoints: u64) -> siskinyoke_dispatch::Report {
    let mut report = common::report(&format!("i{at}"), number);
    report.running = (0..endpoints)
        .filter(|it| it % PEERS == at % PEERS)
        .map(|it| common::running_row(&format!("e{it}"), 1))
        .collect();
    report
}

fn admit(core: &mut Core, now: Millis, fingerprint: u64) {
    let Ok(pass) = core.route(now, common::request("/stream/x")) else {
        return;
    };
    black_box(core.admit(now, &pass, fingerprint).is_ok());
}

fn serve(core: &mut Core, now: Millis) {
    admit(core, now, now.0);
    for decision in core.decide(now) {
        if let Decision::Start(ticket, _) = decision {
            core.first_part_received(now, ticket);
            core.attempt_ended(now, ticket, common::completed(), false);
        }
    }
}

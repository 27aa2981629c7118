//! Cost of scheduling decisions by the numbers of waiting requests and endpoints.

#[path = "../tests/common/mod.rs"]
mod common;

use divan::Bencher;
use divan::black_box;

use siskinyoke_base::Millis;
use siskinyoke_dispatch::Configuration;
use siskinyoke_dispatch::Core;
use siskinyoke_dispatch::Decision;
use siskinyoke_dispatch::Organisation;
use siskinyoke_dispatch::core::IncomingRequest;

/// Pairs of waiting requests and endpoints.
const WAITING_AND_ENDPOINT_COUNTS: [(u64, u64); 7] = [
    (0, 10),
    (10, 10),
    (100, 10),
    (1_000, 10),
    (10, 100),
    (100, 100),
    (10, 1_000),
];

/// The slots of each endpoint.
const SLOTS_PER_ENDPOINT: u32 = 6;

/// The requests that wait while organisations compete.
const WAITING_BETWEEN_ORGANISATIONS: u64 = 200;

/// The other instances of the shard.
const PEER_COUNT: u64 = 8;

fn main() {
    divan::main();
}

/// A decision while no request can start, as after each event in an overload.
#[divan::bench(args = WAITING_AND_ENDPOINT_COUNTS)]
fn decide_when_full(bencher: Bencher<'_, '_>, (waiting, endpoints): (u64, u64)) {
    let mut core = full(waiting, endpoints);
    bencher.bench_local(|| black_box(core.decide(Millis(1))));
}

/// A decision while 200 requests wait and this number of organisations compete for slots.
#[divan::bench(args = [16, 21_000])]
fn decide_between_organisations(bencher: Bencher<'_, '_>, organisations: u64) {
    let mut core = fleet(10);
    core.configure(Millis(0), with_organisations(organisations));
    let slots = 10 * u64::from(SLOTS_PER_ENDPOINT);
    for number in 0..slots + WAITING_BETWEEN_ORGANISATIONS {
        let key = format!("k{}", number * 7_919 % organisations);
        let request = IncomingRequest {
            key: Some(&key),
            ..common::request("/stream/x")
        };
        if let Ok(routed) = core.route(Millis(0), request) {
            black_box(core.admit(Millis(0), &routed, number).is_ok());
        }
        core.decide(Millis(0));
    }
    let mut now = 0;
    bencher.bench_local(|| {
        now += 1;
        // Waits end after 250 ms, so the clock runs in a circle.
        black_box(core.decide(Millis(now % 200)))
    });
}

/// A decision while each endpoint has a rate limit and ten requests wait.
#[divan::bench(args = [10, 100])]
fn decide_with_limits(bencher: Bencher<'_, '_>, endpoints: u64) {
    let mut core = full(10, endpoints);
    for index in 0..endpoints {
        let endpoint = common::endpoint(&format!("e{index}"), SLOTS_PER_ENDPOINT);
        core.record_limit(Millis(0), &endpoint, Millis(0), Some(1.5));
    }
    bencher.bench_local(|| black_box(core.decide(Millis(1))));
}

/// One request from its head to the end of its response, with free slots.
#[divan::bench(args = [10, 100, 1_000])]
fn serve_one(bencher: Bencher<'_, '_>, endpoints: u64) {
    let mut core = fleet(endpoints);
    let mut now = 1;
    bencher.bench_local(|| {
        now += 1;
        serve(&mut core, Millis(now));
    });
}

/// Creation of a report to the peers.
#[divan::bench(args = [10, 100, 1_000])]
fn send_report(bencher: Bencher<'_, '_>, endpoints: u64) {
    let mut core = full(10, endpoints);
    bencher.bench_local(|| black_box(core.next_report(Millis(1), false)));
}

/// Receipt of a peer's report that names many endpoints.
#[divan::bench(args = [10, 100, 1_000])]
fn receive_report(bencher: Bencher<'_, '_>, endpoints: u64) {
    let mut core = fleet(endpoints);
    let mut number = 1;
    bencher.bench_local(|| {
        number += 1;
        core.receive_report(Millis(1), peer(1, number, endpoints))
    });
}

// Returns an instance whose peers run one request at each endpoint.
fn fleet(endpoints: u64) -> Core {
    let mut core = common::core("i0", SLOTS_PER_ENDPOINT);
    for index in 1..endpoints {
        let endpoint = common::endpoint(&format!("e{index}"), SLOTS_PER_ENDPOINT);
        core.registry().put(Millis(0), endpoint);
    }
    for index in 1..=PEER_COUNT {
        core.receive_report(Millis(0), peer(index, 1, endpoints));
    }
    core
}

// Returns an instance with all endpoints at capacity and `waiting` queued requests.
fn full(waiting: u64, endpoints: u64) -> Core {
    let mut core = fleet(endpoints);
    let slots = endpoints * u64::from(SLOTS_PER_ENDPOINT);
    for fingerprint in 0..slots + waiting {
        admit(&mut core, Millis(0), fingerprint);
        if fingerprint < slots {
            core.decide(Millis(0));
        }
    }
    core
}

// Returns a configuration with this number of organisations, the Nth of which has the key `kN`.
fn with_organisations(count: u64) -> Configuration {
    let mut configuration = common::configuration(2, common::organisation(0.0, 0.0));
    for number in 0..count {
        let organisation = Organisation {
            name: format!("o{number}").into(),
            ..common::organisation(1e9, 1e9)
        };
        configuration.add_organisation(organisation, &[format!("k{number}")]);
    }
    configuration
}

fn peer(index: u64, number: u64, endpoints: u64) -> siskinyoke_dispatch::Report {
    let mut report = common::report(&format!("i{index}"), number);
    report.running = (0..endpoints)
        .filter(|it| it % PEER_COUNT == index % PEER_COUNT)
        .map(|it| common::running_row(&format!("e{it}"), 1))
        .collect();
    report
}

fn admit(core: &mut Core, now: Millis, fingerprint: u64) {
    let Ok(request) = core.route(now, common::request("/stream/x")) else {
        return;
    };
    black_box(core.admit(now, &request, fingerprint).is_ok());
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

//! Quotas that are enforced across all instances.

mod common;

use crate::common::allowed_units;
use crate::common::configuration;
use crate::common::endpoint;
use crate::common::identity;
use crate::common::location;
use crate::common::most_granted_in_window;
use crate::common::organisation;
use crate::common::request;
use siskinyoke_base::Millis;
use siskinyoke_dispatch::Core;
use siskinyoke_dispatch::RefusalReason;
use siskinyoke_dispatch::core::IncomingRequest;
use siskinyoke_dispatch::stable_hash;

const RATE_UNITS_PER_SECOND: f64 = 100_000.0;
const BURST_UNITS: f64 = 100_000.0;
const SWEEP_INTERVAL_MS: u64 = 200;

/// Instances that take as much quota as they are granted, and exchange reports every 40 ms.
struct Fleet {
    cores: Vec<Core>,
    // Time and units of each grant.
    grants: Vec<(u64, f64)>,
    // Until when no reports are exchanged.
    isolated_until: u64,
    // The organisation's rate and burst.
    limits: (f64, f64),
}

impl Fleet {
    fn start(count: usize, now: u64, isolated_ms: u64) -> Self {
        Self::start_with(
            count,
            now,
            isolated_ms,
            (RATE_UNITS_PER_SECOND, BURST_UNITS),
        )
    }

    fn start_with(count: usize, now: u64, isolated_ms: u64, limits: (f64, f64)) -> Self {
        let mut fleet = Self {
            cores: Vec::new(),
            grants: Vec::new(),
            isolated_until: now + isolated_ms,
            limits,
        };
        fleet.restart(count, now, isolated_ms);
        fleet
    }

    fn restart(&mut self, count: usize, now: u64, isolated_ms: u64) {
        self.isolated_until = now + isolated_ms;
        let (rate, burst) = self.limits;
        let start = |index| {
            let mut core = Core::new(identity(&format!("i{index}"), now * 100 + index as u64));
            core.configure(Millis(now), configuration(1, organisation(rate, burst)));
            core.registry().put(Millis(now), endpoint("e1", 1_000));
            for other in 0..count {
                let name = format!("i{other}");
                core.add_instance(&name, location(&name, "a"));
            }
            core
        };
        self.cores = (0..count).map(start).collect();
    }

    // Sends a request to every instance each `interval` ms, from `from` to `to`.
    fn send_requests(&mut self, from: u64, to: u64, interval: u64) {
        for now in from..to {
            if now % 40 == 0 && now >= self.isolated_until {
                self.exchange_reports(now);
            }
            if now % SWEEP_INTERVAL_MS == 0 {
                for core in &mut self.cores {
                    core.sweep(Millis(now));
                }
            }
            if now % interval != 0 {
                continue;
            }
            for (at, core) in self.cores.iter_mut().enumerate() {
                let draw = stable_hash(&(at, now));
                if core
                    .route(
                        Millis(now),
                        IncomingRequest {
                            id_hash: draw,
                            ..request("/safe/x")
                        },
                    )
                    .is_ok()
                {
                    self.grants.push((now, 1_000.0));
                }
            }
        }
    }

    fn exchange_reports(&mut self, now: u64) {
        let reports: Vec<_> = self
            .cores
            .iter_mut()
            .map(|core| core.next_report(Millis(now), true))
            .collect();
        for core in &mut self.cores {
            for report in &reports {
                core.receive_report(Millis(now), report.clone());
            }
        }
    }

    // Returns the most units that were granted in any window.
    fn max_granted_in_window(&self) -> f64 {
        most_granted_in_window(&self.grants).1
    }
}

#[test]
fn all_instances_together_keep_to_the_quota_and_use_most_of_it() {
    let mut fleet = Fleet::start(7, 0, 0);
    fleet.send_requests(0, 30_000, 5);
    assert!(
        fleet.max_granted_in_window() <= allowed_units(RATE_UNITS_PER_SECOND, BURST_UNITS),
        "{} units granted of {} allowed",
        fleet.max_granted_in_window(),
        allowed_units(RATE_UNITS_PER_SECOND, BURST_UNITS)
    );
    assert!(
        fleet.max_granted_in_window() >= 0.9 * (RATE_UNITS_PER_SECOND * 8.0 + BURST_UNITS),
        "{} units granted",
        fleet.max_granted_in_window()
    );
}

// One organisation sends many times its quota. All instances are killed and restart at once without
// any state, and receive no reports for 400 ms. Guards against instances that grant units as if
// they were alone, or do not count what they granted before the first reports: the organisation
// would get a tenth more than is tolerated.
#[test]
fn a_restart_of_all_instances_grants_no_units_twice() {
    let mut fleet = Fleet::start(8, 0, 400);
    fleet.send_requests(0, 4_000, 5);
    fleet.restart(8, 4_100, 400);
    fleet.send_requests(4_100, 16_000, 5);
    assert!(
        fleet.max_granted_in_window() <= allowed_units(RATE_UNITS_PER_SECOND, BURST_UNITS),
        "{} units granted of {} allowed",
        fleet.max_granted_in_window(),
        allowed_units(RATE_UNITS_PER_SECOND, BURST_UNITS)
    );
}

// A partition splits the instances in halves, and callers reach both. Guards against each side
// granting the whole quota, so that the organisation gets it twice.
#[test]
fn both_sides_of_a_partition_share_the_quota() {
    let mut fleet = Fleet::start(6, 0, 0);
    fleet.send_requests(0, 9_000, 5);
    let mut other_side = Fleet {
        cores: fleet.cores.split_off(3),
        grants: Vec::new(),
        isolated_until: 0,
        limits: (RATE_UNITS_PER_SECOND, BURST_UNITS),
    };
    for from in (9_000..20_000).step_by(40) {
        fleet.send_requests(from, from + 40, 5);
        other_side.send_requests(from, from + 40, 5);
    }
    fleet.grants.append(&mut other_side.grants);
    assert!(
        fleet.max_granted_in_window() <= allowed_units(RATE_UNITS_PER_SECOND, BURST_UNITS),
        "{} units granted of {} allowed",
        fleet.max_granted_in_window(),
        allowed_units(RATE_UNITS_PER_SECOND, BURST_UNITS)
    );
}

#[test]
fn a_request_refused_for_its_quota_is_granted_after_the_retry_time() {
    let mut core = Core::new(identity("i", 1));
    core.configure(Millis(0), configuration(1, organisation(1_000.0, 1_000.0)));
    let mut now = Millis(1_000);
    let refusal = loop {
        if let Err(refusal) = core.route(now, request("/safe/x")) {
            break refusal;
        }
    };
    assert_eq!(refusal.reason, RefusalReason::QuotaExceeded);
    now += refusal.retry_after;
    assert!(core.route(now, request("/safe/x")).is_ok());
}

// A lower limit is configured while the organisation requests far more than the new limit.
#[test]
fn a_lower_limit_applies_at_once() {
    let mut core = Core::new(identity("i", 1));
    core.configure(
        Millis(0),
        configuration(1, organisation(RATE_UNITS_PER_SECOND, BURST_UNITS)),
    );
    core.configure(Millis(10_000), configuration(2, organisation(0.0001, 10.0)));
    let granted = (0..100)
        .filter(|at| core.route(Millis(10_000 + at), request("/safe/x")).is_ok())
        .count();
    assert!(granted <= 15, "{granted} requests granted");
}

#[test]
fn units_of_a_request_that_never_ran_are_refunded() {
    let mut core = Core::new(identity("i", 1));
    core.configure(Millis(0), configuration(1, organisation(1_000.0, 1_000.0)));
    for _ in 0..1_000 {
        let Ok(pass) = core.route(Millis(500), request("/safe/x")) else {
            panic!("request refused although all units were refunded");
        };
        core.refund(&pass);
    }
}

// One organisation sends many times its quota, in large requests. Guards against instances that see
// the same few units in the bucket and each grant a whole request at the same moment: the
// organisation would get more than is tolerated.
#[test]
fn instances_do_not_grant_the_same_units_at_the_same_moment() {
    let mut fleet = Fleet::start(11, 0, 0);
    let mut incoming = request("/safe/x");
    incoming.tokens = Some((37_000, 0));
    for now in (0..20_000).step_by(50) {
        if now % 100 == 0 {
            fleet.exchange_reports(now);
        }
        for (at, core) in fleet.cores.iter_mut().enumerate() {
            incoming.id_hash = stable_hash(&(at, now));
            if core.route(Millis(now), incoming).is_ok() {
                fleet.grants.push((now, 37_000.0));
            }
        }
    }
    assert!(
        fleet.max_granted_in_window() <= allowed_units(RATE_UNITS_PER_SECOND, BURST_UNITS),
        "{} units granted of {} allowed",
        fleet.max_granted_in_window(),
        allowed_units(RATE_UNITS_PER_SECOND, BURST_UNITS)
    );
}

// An operator lowers an organisation's rate but keeps its burst, now worth several seconds of the
// rate. Guards against refusing steady use within the limit because most of the limit lies in the
// burst.
#[test]
fn steady_use_within_the_limit_is_granted_with_a_large_burst() {
    let (rate, burst) = (40_000.0, 144_000.0);
    let mut fleet = Fleet::start_with(4, 0, 0, (rate, burst));
    // Four instances, each 1,000 units every 66 ms: 485,000 of 620,000 units in a window.
    fleet.send_requests(0, 30_000, 66);
    let late: Vec<_> = fleet
        .grants
        .iter()
        .filter(|grant| grant.0 >= 10_000)
        .collect();
    let sent = 4 * (30_000 - 10_000) / 66;
    assert!(
        late.len() * 100 >= sent * 97,
        "{} of {sent} requests granted",
        late.len()
    );
    assert!(fleet.max_granted_in_window() <= allowed_units(rate, burst));
}

// An organisation with a large burst exceeds its quota, and all instances are killed and restarted
// meanwhile.
#[test]
fn a_large_burst_is_not_granted_beyond_the_limit() {
    let (rate, burst) = (40_000.0, 144_000.0);
    for killed in [4_000, 9_000, 12_000] {
        let mut fleet = Fleet::start_with(4, 0, 0, (rate, burst));
        fleet.send_requests(0, killed, 10);
        fleet.restart(4, killed + 300, 300);
        fleet.send_requests(killed + 300, 25_000, 10);
        assert!(
            fleet.max_granted_in_window() <= allowed_units(rate, burst),
            "killed at {killed} ms: {} units granted",
            fleet.max_granted_in_window()
        );
    }
}

// Guards against the use of a peer since its start being taken from the quota a second time, when
// the peer returns after so long that it had been removed.
#[test]
fn an_organisation_within_its_quota_is_served_after_a_long_cut() {
    let mut fleet = Fleet::start(2, 0, 0);
    fleet.send_requests(0, 40_000, 25);
    fleet.isolated_until = 55_000;
    fleet.send_requests(40_000, 55_000, 25);
    let before = fleet.grants.len();
    fleet.send_requests(55_000, 58_000, 25);
    let served = fleet.grants.len() - before;
    assert!(served >= 230, "{served} of 240 requests served");
}

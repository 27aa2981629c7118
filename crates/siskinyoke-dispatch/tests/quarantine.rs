//! Whole requests that ran beside crashes of endpoints.

mod common;

use crate::common::completed;
use crate::common::core;
use crate::common::endpoint;
use crate::common::request;
use siskinyoke_base::Millis;
use siskinyoke_dispatch::Core;
use siskinyoke_dispatch::Decision;
use siskinyoke_dispatch::Outcome;
use siskinyoke_dispatch::RefusalReason;
use siskinyoke_dispatch::Ticket;

const FINGERPRINT: u64 = 7;

fn instance(name: &str, endpoints: &[&str]) -> Core {
    let mut core = core(name, 10);
    core.registry().remove(Millis(0), "e1");
    for id in endpoints {
        core.registry().put(Millis(0), endpoint(id, 10));
    }
    core
}

fn start(core: &mut Core, now: u64) -> Ticket {
    let now = Millis(now);
    let routed = core.route(now, request("/safe/x")).unwrap();
    let ticket = core.admit(now, &routed, FINGERPRINT).unwrap();
    let decisions = core.decide(now);
    assert!(
        matches!(decisions[..], [Decision::Start(..)]),
        "{decisions:?}"
    );
    ticket
}

// Sends the request to an endpoint that crashes; the others respond to the probes of the links.
fn crash(core: &mut Core, now: u64) {
    let ticket = start(core, now);
    core.attempt_ended(Millis(now + 1), ticket, Outcome::ConnectionLost, false);
    for probed in core.due_probes(Millis(now + 2)) {
        core.probe_ended(Millis(now + 3), &probed, true);
    }
}

fn complete(core: &mut Core, now: u64) {
    let ticket = start(core, now);
    core.attempt_ended(Millis(now + 200), ticket, completed(), false);
}

fn report(now: u64, from: &mut Core, to: &mut Core) {
    let report = from.next_report(Millis(now), true);
    to.receive_report(Millis(now), report);
}

fn is_quarantined(core: &mut Core, now: u64) -> bool {
    let now = Millis(now);
    let routed = core.route(now, request("/safe/x")).unwrap();
    match core.admit(now, &routed, FINGERPRINT) {
        Ok(ticket) => {
            core.cancel(now, ticket);
            false
        }
        Err(refusal) => refusal.reason == RefusalReason::Quarantined,
    }
}

// Guards against the refusal of requests that other instances complete all the time.
#[test]
fn a_request_is_cleared_by_a_response_at_another_instance() {
    let mut one = instance("i1", &["e2", "e4"]);
    let mut other = instance("i2", &["e3", "e4"]);
    let mut third = instance("i3", &["e4"]);
    crash(&mut one, 10);
    report(20, &mut one, &mut third);
    crash(&mut other, 30);
    report(40, &mut other, &mut third);
    assert!(is_quarantined(&mut third, 50));
    complete(&mut one, 60);
    report(270, &mut one, &mut third);
    assert!(!is_quarantined(&mut third, 280));
    report(290, &mut other, &mut third);
    assert!(!is_quarantined(&mut third, 300));
}

// Guards against a poison request that stays allowed once its first quarantine has ended.
#[test]
fn a_request_that_crashes_endpoints_again_is_quarantined_again() {
    let mut core = instance("i1", &["e2", "e3", "e4", "e5", "e6"]);
    for start in [10, 200_000] {
        assert!(!is_quarantined(&mut core, start));
        crash(&mut core, start);
        assert!(!is_quarantined(&mut core, start + 10));
        crash(&mut core, start + 1_000);
        assert!(is_quarantined(&mut core, start + 1_010));
    }
}

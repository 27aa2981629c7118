//! Whole requests that ran beside crashes of endpoints.

mod common;

use std::ops::Range;
use std::sync::Arc;

use crate::common::completed;
use crate::common::core;
use crate::common::endpoint;
use crate::common::request;
use siskinyoke_base::Millis;
use siskinyoke_dispatch::Core;
use siskinyoke_dispatch::Decision;
use siskinyoke_dispatch::Endpoint;
use siskinyoke_dispatch::Outcome;
use siskinyoke_dispatch::PromptParts;
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
    start_with(core, Millis(now), FINGERPRINT, &[])
}

fn start_with(core: &mut Core, now: Millis, fingerprint: u64, parts: &[&str]) -> Ticket {
    let mut routed = core.route(now, request("/safe/x")).unwrap();
    routed.prompt_parts = PromptParts::from_ids(parts.iter().copied());
    let ticket = core.admit(now, &routed, fingerprint).unwrap();
    let decisions = core.decide(now);
    assert!(
        matches!(decisions[..], [Decision::Start(..)]),
        "{decisions:?}"
    );
    ticket
}

// Sends the request to an endpoint that crashes.
fn crash(core: &mut Core, now: u64) {
    let ticket = start(core, now);
    core.attempt_ended(Millis(now + 1), ticket, Outcome::ConnectionLost, false);
    confirm_links(core, Millis(now + 2));
}

fn confirm_links(core: &mut Core, now: Millis) {
    for probed in core.due_probes(now) {
        core.probe_ended(now, &probed, true);
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

// Guards against the refusal of sound requests that ran beside those with a part that crashes
// endpoints.
#[test]
fn crashes_that_a_prompt_part_explains_do_not_count_against_a_request() {
    let mut core = instance("i1", &[]);
    for number in 0..3 {
        let now = Millis(100 + 1_000 * number);
        let id = format!("e{}", number + 2);
        core.registry().put(now, endpoint(&id, 10));
        let poisoned = start_with(&mut core, now, 100 + number, &["bad", "own"]);
        let beside = (number < 2).then(|| start_with(&mut core, now, FINGERPRINT, &[]));
        for ticket in beside.into_iter().chain([poisoned]) {
            core.attempt_ended(now, ticket, Outcome::ConnectionLost, false);
        }
        confirm_links(&mut core, now);
        core.registry().remove(now, &id);
    }
    assert!(!is_quarantined(&mut core, 4_000));
}

// Guards against a record that is full of connections broken by lost links, and takes no crashes.
#[test]
fn a_poison_request_is_quarantined_after_links_were_lost_often() {
    let mut core = instance("i1", &[]);
    for number in 0..20 {
        let now = Millis(100 + 10_000 * number);
        let id = format!("e{number}");
        core.registry().put(now, endpoint(&id, 10));
        let ticket = start_with(&mut core, now, FINGERPRINT, &[]);
        core.attempt_ended(now, ticket, Outcome::ConnectionLost, false);
        let failing = core.registry().eligible("lm")[0].clone();
        core.record_unreachable(now, &failing);
        for probed in core.due_probes(now) {
            core.probe_ended(now, &probed, false);
        }
        assert!(core.links_lost("lm"));
        for after in [1_000, 2_000, 3_000] {
            confirm_links(&mut core, now + Millis(after));
        }
        assert!(!core.links_lost("lm"));
        let leaving = Endpoint {
            draining: true,
            ..endpoint(&id, 10)
        };
        core.registry().put(now + Millis(4_000), leaving);
        core.registry().remove(now + Millis(6_000), &id);
    }
    for (now, id) in [(300_000, "x1"), (301_000, "x2")] {
        core.registry().put(Millis(now), endpoint(id, 10));
        crash(&mut core, now);
        core.registry().remove(Millis(now + 10), id);
    }
    assert!(is_quarantined(&mut core, 302_000));
}

// Takes down all endpoints under one request, and returns whether the links are taken for lost.
fn crash_all(core: &mut Core, now: u64, count: usize) -> bool {
    for _ in 0..count {
        let ticket = start(core, now);
        core.attempt_ended(Millis(now), ticket, Outcome::ConnectionLost, false);
    }
    let failing = core.registry().eligible("lm")[0].clone();
    core.record_unreachable(Millis(now), &failing);
    for probed in core.due_probes(Millis(now)) {
        core.probe_ended(Millis(now), &probed, false);
    }
    core.links_lost("lm")
}

// Guards against a poison request that takes all endpoints of a service and is sent to the next
// starts as well.
#[test]
fn crashes_on_lost_links_count_once_the_endpoints_start_again() {
    let mut core = instance("i1", &["e2", "e3"]);
    assert!(crash_all(&mut core, 100, 2));
    assert!(!is_quarantined(&mut core, 200));
    let next_start = |id: &str, old: &str| Endpoint {
        id: id.into(),
        ..endpoint(old, 10)
    };
    core.registry().put(Millis(1_000), next_start("n2", "e2"));
    assert!(!is_quarantined(&mut core, 1_000));
    core.registry().put(Millis(1_100), next_start("n3", "e3"));
    assert!(is_quarantined(&mut core, 1_100));
}

// Guards against the refusal of requests that ran while the links were cut, at endpoints that leave
// later.
#[test]
fn endpoints_that_leave_after_links_were_lost_blame_no_request() {
    let mut core = instance("i1", &["e2", "e3"]);
    assert!(crash_all(&mut core, 100, 2));
    for id in ["e2", "e3"] {
        let leaving = Endpoint {
            draining: true,
            ..endpoint(id, 10)
        };
        core.registry().put(Millis(5_000), leaving);
        core.registry().remove(Millis(7_000), id);
    }
    core.registry().put(Millis(7_000), endpoint("e4", 10));
    assert!(!is_quarantined(&mut core, 7_100));
}

// Guards against the refusal of requests that ran while the links were cut, at endpoints that are
// alive.
#[test]
fn crashes_on_lost_links_do_not_count_while_the_endpoints_are_listed() {
    let mut core = instance("i1", &["e2", "e3"]);
    assert!(crash_all(&mut core, 100, 2));
    core.registry().put(Millis(1_000), endpoint("e4", 10));
    core.registry().put(Millis(1_000), endpoint("e2", 10));
    assert!(!is_quarantined(&mut core, 60_000));
}

// Sends the request to an endpoint that responds with an error.
fn fail(core: &mut Core, now: u64) -> Arc<str> {
    let ticket = start(core, now);
    let running = core.scheduler().running(ticket).unwrap();
    let key = running.tried[0];
    core.attempt_ended(Millis(now + 50), ticket, Outcome::Failed, false);
    core.registry().find(key).unwrap().id.clone()
}

fn refuse_connection(core: &mut Core, now: u64, id: &str) {
    core.record_unreachable(Millis(now), &endpoint(id, 10));
    confirm_links(core, Millis(now));
}

// Guards against a poison request of which each endpoint reports an error before it crashes.
#[test]
fn crashes_soon_after_an_error_response_count_against_the_request() {
    let mut core = instance("i1", &["e2", "e3", "e4"]);
    for at in [100, 1_000] {
        assert!(!is_quarantined(&mut core, at));
        let id = fail(&mut core, at);
        refuse_connection(&mut core, at + 200, &id);
        core.registry().remove(Millis(at + 300), &id);
    }
    assert!(is_quarantined(&mut core, 2_000));
}

// Guards against a poison request whose endpoints are missed by no other request.
#[test]
fn endpoints_that_are_gone_after_an_error_response_count_against_the_request() {
    let mut core = instance("i1", &["e2", "e3", "e4"]);
    for at in [100, 6_000] {
        let id = fail(&mut core, at);
        core.registry().remove(Millis(at + 5_000), &id);
    }
    assert!(is_quarantined(&mut core, 12_000));
}

// Guards against the refusal of requests that fail at sound endpoints.
#[test]
fn crashes_after_other_responses_do_not_count_against_a_request_that_failed() {
    let mut core = instance("i1", &["e2"]);
    for (number, at) in [100, 2_000, 4_000].into_iter().enumerate() {
        let id = fail(&mut core, at);
        let now = Millis(at + 200);
        let other = start_with(&mut core, now, 100, &[]);
        core.attempt_ended(now + Millis(50), other, completed(), false);
        refuse_connection(&mut core, at + 300, &id);
        core.registry().remove(Millis(at + 400), &id);
        let next = endpoint(&format!("n{number}"), 10);
        core.registry().put(Millis(at + 500), next);
    }
    assert!(!is_quarantined(&mut core, 5_000));
}

// Guards against copies of a poison request that wait at several instances for the same endpoint to
// return.
#[test]
fn crashes_count_when_no_instance_has_links() {
    let mut one = instance("i1", &["e2", "e3"]);
    let mut other = instance("i2", &["e2", "e3"]);
    report(50, &mut one, &mut other);
    report(50, &mut other, &mut one);
    assert!(crash_all(&mut one, 100, 2));
    report(150, &mut one, &mut other);
    one.decide(Millis(150));
    // The other instance may still have links.
    assert!(!is_quarantined(&mut one, 150));
    assert!(crash_all(&mut other, 200, 1));
    report(250, &mut other, &mut one);
    assert!(is_quarantined(&mut one, 250));
    other.decide(Millis(250));
    report(300, &mut one, &mut other);
    assert!(is_quarantined(&mut other, 300));
}

// Guards against a request that is sent to endpoints as the trial of a part it shares, although it has
// crashed endpoints itself.
#[test]
fn a_part_in_quarantine_excuses_no_request_with_that_part() {
    let mut core = instance("i1", &["e9"]);
    let shared = ["shared", "own"];
    for number in 0..3 {
        let sound = start_with(&mut core, Millis(number), 50 + number, &shared);
        core.attempt_ended(Millis(10 + number), sound, completed(), false);
    }
    core.registry().remove(Millis(20), "e9");
    let crashes = [(FINGERPRINT, 100), (FINGERPRINT, 600)];
    let others = [(8, 1_100), (8, 1_600), (9, 2_100)];
    for (fingerprint, at) in crashes.into_iter().chain(others) {
        let id = format!("x{at}");
        core.registry().put(Millis(at), endpoint(&id, 10));
        let ticket = start_with(&mut core, Millis(at), fingerprint, &shared);
        core.attempt_ended(Millis(at + 60), ticket, Outcome::ConnectionLost, false);
        confirm_links(&mut core, Millis(at + 70));
        core.registry().remove(Millis(at + 80), &id);
        core.decide(Millis(at + 500));
    }
    core.registry().put(Millis(4_000), endpoint("e9", 10));
    core.decide(Millis(4_000));
    for seconds in 4..60 {
        let now = Millis::from_secs(seconds);
        let mut routed = core.route(now, request("/safe/x")).unwrap();
        routed.prompt_parts = PromptParts::from_ids(shared);
        let admitted = core.admit(now, &routed, FINGERPRINT);
        assert!(admitted.is_err(), "after {seconds} s");
    }
    let now = Millis::from_secs(61);
    let trial = start_with(&mut core, now, 100, &shared);
    core.attempt_ended(now, trial, completed(), false);
}

// Returns which requests are in quarantine.
fn quarantined(core: &mut Core, now: Millis, fingerprints: Range<u64>) -> Vec<u64> {
    let routed = core.route(now, request("/safe/x")).unwrap();
    let is_quarantined = |it: &u64| {
        let refusal = core.admit(now, &routed, *it).err();
        refusal.is_some_and(|it| it.reason == RefusalReason::Quarantined)
    };
    fingerprints.filter(is_quarantined).collect()
}

// Guards against requests that a restart of all instances in turn lets through again, as reports never
// name them.
#[test]
fn peers_learn_of_all_requests_in_quarantine() {
    const REQUEST_COUNT: u64 = 40;
    let mut one = instance("i1", &[]);
    for fingerprint in 0..REQUEST_COUNT {
        for start in 0..2 {
            let now = 100 + 100 * fingerprint + 10 * start;
            let id = format!("f{fingerprint}s{start}");
            one.registry().put(Millis(now), endpoint(&id, 10));
            let ticket = start_with(&mut one, Millis(now), fingerprint, &[]);
            one.attempt_ended(Millis(now + 1), ticket, Outcome::ConnectionLost, false);
            confirm_links(&mut one, Millis(now + 2));
            one.registry().remove(Millis(now + 3), &id);
        }
    }
    let mut other = instance("i2", &["e4"]);
    for number in 0..30 {
        report(10_000 + 250 * number, &mut one, &mut other);
    }
    let refused = quarantined(&mut other, Millis(20_000), 0..REQUEST_COUNT);
    assert_eq!(refused, (0..REQUEST_COUNT).collect::<Vec<_>>());
}

// Guards against requests that are completed and stay in quarantine at peers, as reports never name
// them.
#[test]
fn peers_learn_of_all_requests_that_were_completed() {
    const REQUEST_COUNT: u64 = 40;
    let mut one = instance("i1", &["e4"]);
    let mut other = instance("i2", &["e4"]);
    let crashes = |core: &mut Core, at: u64| {
        for fingerprint in 0..REQUEST_COUNT {
            let now = Millis(at + fingerprint);
            let id = format!("x{at}f{fingerprint}");
            core.registry().put(now, endpoint(&id, 10));
            core.registry().remove(now, "e4");
            let ticket = start_with(core, now, fingerprint, &[]);
            core.attempt_ended(now, ticket, Outcome::ConnectionLost, false);
            confirm_links(core, now);
            core.registry().remove(now, &id);
            core.registry().put(now, endpoint("e4", 10));
        }
    };
    crashes(&mut one, 100);
    crashes(&mut other, 10_000);
    crashes(&mut other, 11_000);
    for fingerprint in 0..REQUEST_COUNT {
        let now = Millis(20_000 + 10 * fingerprint);
        let ticket = start_with(&mut one, now, fingerprint, &[]);
        one.attempt_ended(now, ticket, completed(), false);
    }
    for number in 0..30 {
        report(21_000 + 250 * number, &mut one, &mut other);
    }
    assert_eq!(
        quarantined(&mut other, Millis(30_000), 0..REQUEST_COUNT),
        []
    );
}

// Guards against requests in quarantine that are never written to the store, or again and again, and
// against sound ones that are.
#[test]
fn a_request_in_quarantine_is_written_once_and_restored() {
    let mut one = instance("i1", &["e2", "e3", "e4"]);
    one.store_call_succeeded();
    crash(&mut one, 100);
    assert_eq!(one.take_unsaved_quarantine(Millis(200)), []);
    crash(&mut one, 1_000);
    let unsaved = one.take_unsaved_quarantine(Millis(1_100));
    assert_eq!(unsaved.len(), 1);
    assert_eq!(one.take_unsaved_quarantine(Millis(1_200)), []);
    let mut restarted = instance("i1", &["e2", "e3", "e4"]);
    restarted.restore_quarantine(Millis(5_000), &unsaved);
    assert!(is_quarantined(&mut restarted, 5_000));
    assert!(!is_quarantined(&mut restarted, 130_000));
}

//! Requests under which endpoints fall silent.

mod common;

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
use siskinyoke_dispatch::Report;
use siskinyoke_dispatch::Ticket;

const FINGERPRINT: u64 = 7;

/// How long an endpoint stays listed after it has fallen silent.
const LISTED: u64 = 3_600;

/// The time between two attempts of a caller.
const PAUSE: u64 = 12_000;

/// What shows that an endpoint is gone.
#[derive(Debug, Clone, Copy)]
enum Evidence {
    Removed,
    Replaced,
    LaterStart,
    Refused,
}

fn instance(name: &str, endpoints: &[&str]) -> Core {
    let mut core = core(name, 10);
    core.registry().remove(Millis(0), "e1");
    for id in endpoints {
        core.registry().put(Millis(0), endpoint(id, 10));
    }
    core
}

fn admit(core: &mut Core, now: u64, fingerprint: u64, parts: &[&str]) -> Option<Ticket> {
    let now = Millis(now);
    let mut routed = core.route(now, request("/safe/x")).unwrap();
    routed.prompt_parts = PromptParts::from_ids(parts.iter().copied());
    match core.admit(now, &routed, fingerprint) {
        Ok(ticket) => Some(ticket),
        Err(refusal) => {
            assert_eq!(refusal.reason, RefusalReason::Quarantined);
            None
        }
    }
}

fn start_with(
    core: &mut Core,
    now: u64,
    fingerprint: u64,
    parts: &[&str],
) -> (Ticket, Arc<Endpoint>) {
    admit(core, now, fingerprint, parts).expect("not in quarantine");
    let decisions = core.decide(Millis(now));
    let [Decision::Start(ticket, endpoint)] = &decisions[..] else {
        panic!("{decisions:?}");
    };
    (*ticket, endpoint.clone())
}

fn start(core: &mut Core, now: u64) -> (Ticket, Arc<Endpoint>) {
    start_with(core, now, FINGERPRINT, &[])
}

fn is_quarantined(core: &mut Core, now: u64) -> bool {
    let ticket = admit(core, now, FINGERPRINT, &[]);
    if let Some(ticket) = ticket {
        core.cancel(Millis(now), ticket);
    }
    ticket.is_none()
}

fn confirm_links(core: &mut Core, now: u64) {
    for probed in core.due_probes(Millis(now)) {
        core.probe_ended(Millis(now), &probed, true);
    }
}

fn show_gone(core: &mut Core, now: u64, gone: &Endpoint, evidence: Evidence) {
    let at = Millis(now);
    match evidence {
        Evidence::Removed => core.registry().remove(at, &gone.id),
        Evidence::Replaced => {
            let next = Endpoint {
                id: format!("{}-next", gone.id).into(),
                started_ms: now,
                ..gone.clone()
            };
            core.registry().put(at, next);
            core.decide(at);
            core.registry().remove(at, &gone.id);
        }
        Evidence::LaterStart => {
            core.record_start(gone, gone.started_ms + now);
            core.decide(at);
            core.registry().remove(at, &gone.id);
        }
        Evidence::Refused => {
            core.record_refused(at, gone);
            confirm_links(core, now);
            core.registry().remove(at, &gone.id);
        }
    }
    core.decide(at);
    core.sweep(at);
}

// Sends the request to an endpoint that falls silent, until its caller leaves.
fn darken(core: &mut Core, now: u64, evidence: Evidence) {
    let (ticket, endpoint) = start(core, now);
    core.cancel(Millis(now + 5_000), ticket);
    show_gone(core, now + 5_100, &endpoint, evidence);
}

// Guards against a request that is sent on without end while each endpoint that runs it falls silent.
#[test]
fn endpoints_that_are_gone_after_a_silence_count_against_the_request() {
    for evidence in [
        Evidence::Removed,
        Evidence::Replaced,
        Evidence::LaterStart,
        Evidence::Refused,
    ] {
        let mut core = instance("i1", &["e2", "e3", "e4", "e5"]);
        for number in 0..3 {
            if is_quarantined(&mut core, number * PAUSE) {
                assert!(number >= 2, "{evidence:?}");
                continue;
            }
            darken(&mut core, number * PAUSE + 100, evidence);
        }
        assert!(is_quarantined(&mut core, 3 * PAUSE), "{evidence:?}");
    }
}

// Guards against evidence that is lost where an endpoint is gone before its request ends.
#[test]
fn a_request_that_still_waits_at_a_gone_endpoint_is_suspected() {
    let mut core = instance("i1", &["e2", "e3", "e4"]);
    for at in [100, PAUSE] {
        let endpoint = start(&mut core, at).1;
        show_gone(&mut core, at + LISTED, &endpoint, Evidence::Removed);
    }
    assert!(is_quarantined(&mut core, 2 * PAUSE));
}

// Guards against stalled attempts that leave no evidence as the request has moved on.
#[test]
fn endpoints_that_a_stalled_request_left_count_against_it() {
    let mut core = instance("i1", &["e2", "e3", "e4", "e5"]);
    for at in [100, PAUSE] {
        let (ticket, first) = start(&mut core, at);
        let (ticket, second) = core.try_abandon(Millis(at + 400), ticket).unwrap();
        show_gone(&mut core, at + LISTED, &first, Evidence::Removed);
        show_gone(&mut core, at + LISTED + 400, &second, Evidence::Removed);
        core.cancel(Millis(at + 5_000), ticket);
    }
    assert!(is_quarantined(&mut core, 2 * PAUSE));
}

// Guards against copies of a request that darken many endpoints at once.
#[test]
fn many_silent_endpoints_at_once_count_against_the_request() {
    let mut core = instance("i1", &[]);
    for id in ["e2", "e3", "e4", "e5"] {
        core.registry().put(Millis(0), endpoint(id, 1));
    }
    let started = [0, 1, 2, 3].map(|it| start(&mut core, 100 + it));
    for (_, endpoint) in started {
        show_gone(&mut core, 100 + LISTED, &endpoint, Evidence::Removed);
    }
    core.registry().put(Millis(4_000), endpoint("e6", 10));
    assert!(is_quarantined(&mut core, 4_000));
}

// Guards against streams that fall silent after some events and leave no evidence.
#[test]
fn streams_that_fall_silent_after_events_count_against_the_request() {
    let mut core = instance("i1", &["e2", "e3", "e4"]);
    for at in [100, PAUSE] {
        let (ticket, endpoint) = start(&mut core, at);
        core.first_part_received(Millis(at + 50), ticket);
        core.attempt_ended(Millis(at + 2_000), ticket, Outcome::Cancelled, false);
        show_gone(&mut core, at + LISTED, &endpoint, Evidence::Removed);
    }
    assert!(is_quarantined(&mut core, 2 * PAUSE));
}

// Guards against attempts over lost links or a relay that leave no evidence.
#[test]
fn attempts_that_broke_on_the_way_count_once_their_endpoints_are_gone() {
    let mut core = instance("i1", &["e2", "e3", "e4"]);
    for at in [100, PAUSE] {
        let (ticket, endpoint) = start(&mut core, at);
        core.attempt_ended(Millis(at + 300), ticket, Outcome::LinkLost, false);
        show_gone(&mut core, at + LISTED, &endpoint, Evidence::Removed);
    }
    assert!(is_quarantined(&mut core, 2 * PAUSE));
}

// Guards against evidence of several instances that is never joined.
#[test]
fn peers_learn_of_silent_endpoints() {
    let mut one = instance("i1", &["e2"]);
    let mut other = instance("i2", &["e3"]);
    let mut third = instance("i3", &["e4"]);
    darken(&mut one, 100, Evidence::Removed);
    darken(&mut other, PAUSE + 100, Evidence::Removed);
    for (incarnation, peer) in [(2, &mut one), (3, &mut other)] {
        let report = Report {
            incarnation,
            ..peer.next_report(Millis(2 * PAUSE), true)
        };
        third.receive_report(Millis(2 * PAUSE), report);
    }
    assert!(is_quarantined(&mut third, 2 * PAUSE + 20));
}

// Guards against rows that are left out of every report where there are many.
#[test]
fn peers_learn_of_each_of_many_silent_attempts() {
    let ids: Vec<String> = (0..40).map(|it| format!("x{it}")).collect();
    let mut one = instance("i1", &[]);
    for round in [0, PAUSE] {
        let now = round + 100;
        let ids = ids.iter().map(|it| format!("{it}r{round}"));
        let endpoints: Vec<Endpoint> = ids.map(|it| endpoint(&it, 1)).collect();
        for endpoint in &endpoints {
            one.registry().put(Millis(now), endpoint.clone());
        }
        for fingerprint in 0..40 {
            start_with(&mut one, now, fingerprint, &[]);
        }
        for endpoint in &endpoints {
            one.registry().remove(Millis(now + LISTED), &endpoint.id);
        }
        one.decide(Millis(now + LISTED));
    }
    let mut third = instance("i3", &["e4"]);
    for number in 0..40 {
        let now = Millis(2 * PAUSE + 250 * number);
        let report = one.next_report(now, true);
        third.receive_report(now, report);
    }
    for fingerprint in 0..40 {
        assert!(admit(&mut third, 3 * PAUSE, fingerprint, &[]).is_none());
    }
}

// Guards against parts of prompts that darken endpoints under ever new requests.
#[test]
fn silent_endpoints_count_against_the_parts_of_a_prompt() {
    let mut core = instance("i1", &["e2", "e3", "e4", "e5", "e6"]);
    for number in 0..3 {
        let at = 100 + PAUSE * number;
        let (ticket, endpoint) = start_with(&mut core, at, 100 + number, &["bad", "own"]);
        core.cancel(Millis(at + 5_000), ticket);
        show_gone(&mut core, at + 5_100, &endpoint, Evidence::Removed);
    }
    core.decide(Millis(3 * PAUSE));
    assert!(admit(&mut core, 3 * PAUSE, 200, &["bad", "other"]).is_none());
    assert!(admit(&mut core, 3 * PAUSE, 201, &["fine", "other"]).is_some());
}

// Guards against the refusal of requests that were moved between endpoints of a rack that lost its
// power.
#[test]
fn endpoints_that_are_gone_at_once_count_as_one() {
    let mut core = instance("i1", &["e2", "e3", "e4"]);
    let (ticket, first) = start(&mut core, 100);
    let (ticket, second) = core.try_abandon(Millis(600), ticket).unwrap();
    show_gone(&mut core, LISTED, &first, Evidence::Removed);
    show_gone(&mut core, LISTED, &second, Evidence::Removed);
    core.cancel(Millis(5_000), ticket);
    core.sweep(Millis(5_100));
    assert!(!is_quarantined(&mut core, 5_200));
}

// Guards against the refusal of requests that ran at endpoints which are slow, frozen or cut off, and
// stay.
#[test]
fn endpoints_that_stay_accuse_no_request() {
    let mut core = instance("i1", &["e2", "e3", "e4", "e5"]);
    for number in 0..20 {
        let at = 100 + 2_000 * number;
        let (ticket, endpoint) = start(&mut core, at);
        core.record_unreachable(Millis(at + 300), &endpoint);
        confirm_links(&mut core, at + 300);
        core.attempt_ended(Millis(at + 400), ticket, Outcome::Stalled, false);
        core.record_unreachable(Millis(at + 500), &endpoint);
        confirm_links(&mut core, at + 1_000);
        core.sweep(Millis(at + 1_000));
        assert!(!is_quarantined(&mut core, at + 1_500));
    }
}

// Guards against the refusal of requests whose endpoints responded again before they went.
#[test]
fn a_response_after_a_silence_clears_the_request() {
    let mut core = instance("i1", &["e2"]);
    for number in 0..4 {
        let at = 100 + PAUSE * number;
        let (ticket, endpoint) = start(&mut core, at);
        core.attempt_ended(Millis(at + 400), ticket, Outcome::Stalled, false);
        let other = start_with(&mut core, at + 3_000, 100 + number, &[]).0;
        core.attempt_ended(Millis(at + 3_050), other, completed(), false);
        show_gone(&mut core, at + 3_100, &endpoint, Evidence::Removed);
        let next = endpoint_after(&endpoint);
        core.registry().put(Millis(at + 3_200), next);
        assert!(!is_quarantined(&mut core, at + 3_300));
    }
}

// Guards against the refusal of requests that were silent at endpoints which leave by plan.
#[test]
fn endpoints_that_leave_accuse_no_request() {
    let mut core = instance("i1", &["e2", "e3", "e4"]);
    for at in [100, PAUSE] {
        let (ticket, endpoint) = start(&mut core, at);
        core.cancel(Millis(at + 1_000), ticket);
        let leaving = Endpoint {
            draining: true,
            ..(*endpoint).clone()
        };
        core.registry().put(Millis(at + 2_000), leaving);
        core.record_refused(Millis(at + 2_100), &endpoint);
        show_gone(&mut core, at + LISTED, &endpoint, Evidence::Removed);
    }
    assert!(!is_quarantined(&mut core, 2 * PAUSE));
}

// Guards against the refusal of requests at endpoints that are removed before they have served their
// last requests.
#[test]
fn endpoints_that_are_removed_and_go_on_accuse_no_request() {
    let mut core = instance("i1", &[]);
    for id in ["e2", "e3", "e4", "e5"] {
        core.registry().put(Millis(0), endpoint(id, 1));
    }
    let started = [0, 1, 2].map(|it| start(&mut core, 100 + it));
    for (_, endpoint) in &started {
        show_gone(&mut core, 500, endpoint, Evidence::Removed);
    }
    assert!(!is_quarantined(&mut core, 600));
    for (ticket, _) in started {
        core.attempt_ended(Millis(900), ticket, completed(), false);
    }
    assert!(!is_quarantined(&mut core, 20_000));
}

// Guards against the refusal of requests that are completed between the silences of endpoints that
// start again.
#[test]
fn a_request_that_is_completed_in_between_is_sound() {
    let mut core = instance("i1", &["e2"]);
    for number in 0..8 {
        let at = 100 + PAUSE * number;
        let (ticket, endpoint) = start(&mut core, at);
        core.cancel(Millis(at + 1_000), ticket);
        let next = endpoint_after(&endpoint);
        core.registry().put(Millis(at + 2_000), next);
        show_gone(&mut core, at + 2_100, &endpoint, Evidence::Removed);
        let again = start(&mut core, at + 3_000).0;
        core.attempt_ended(Millis(at + 3_200), again, completed(), false);
    }
}

fn endpoint_after(endpoint: &Endpoint) -> Endpoint {
    Endpoint {
        id: format!("{}n", endpoint.id).into(),
        started_ms: endpoint.started_ms + 1,
        ..endpoint.clone()
    }
}

// Guards against responses of the next start at an address that clear a request of the crash before.
#[test]
fn a_response_of_the_next_start_clears_no_request() {
    let mut core = instance("i1", &["e2", "e3", "e4"]);
    for at in [100, PAUSE] {
        let (ticket, endpoint) = start(&mut core, at);
        core.cancel(Millis(at + 1_000), ticket);
        let next = endpoint_after(&endpoint);
        core.registry().put(Millis(at + 2_000), next.clone());
        core.decide(Millis(at + 2_000));
        core.sweep(Millis(at + 2_000));
        for number in 0..9 {
            let other = start_with(&mut core, at + 3_000, 100 + at + number, &[]).0;
            core.attempt_ended(Millis(at + 3_050), other, completed(), false);
        }
        core.registry().remove(Millis(at + 4_000), &endpoint.id);
        core.registry().remove(Millis(at + 4_000), &next.id);
    }
    assert!(is_quarantined(&mut core, 2 * PAUSE));
}

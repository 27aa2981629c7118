//! Queue order, use of slots, refusals and retries.

mod common;

use crate::common::completed;
use crate::common::core;
use crate::common::count_starts;
use crate::common::endpoint;
use crate::common::report;
use crate::common::request;
use crate::common::running_row;
use crate::common::scheduled_request;
use crate::common::waiting_report;
use siskinyoke_base::Millis;
use siskinyoke_dispatch::Decision;
use siskinyoke_dispatch::Outcome;
use siskinyoke_dispatch::Refusal;
use siskinyoke_dispatch::RefusalReason;
use siskinyoke_dispatch::RouteKind;
use siskinyoke_dispatch::ScheduledRequest;
use siskinyoke_dispatch::Scheduler;
use siskinyoke_dispatch::Ticket;
use siskinyoke_dispatch::peers::Peers;
use siskinyoke_dispatch::registry::Registry;

fn registry(endpoints: &[(&str, u32)]) -> Registry {
    let mut registry = Registry::default();
    for (id, slots) in endpoints {
        registry.put(Millis(0), endpoint(id, *slots));
    }
    registry
}

fn started(decisions: &[Decision]) -> Vec<Ticket> {
    decisions
        .iter()
        .filter_map(|it| match it {
            Decision::Start(ticket, _) => Some(*ticket),
            Decision::Refuse(..) => None,
        })
        .collect()
}

#[test]
fn urgent_requests_start_first_and_equal_ones_in_order_of_arrival() {
    let registry = registry(&[("e", 2)]);
    let peers = Peers::default();
    let mut scheduler = Scheduler::new("me", "a");
    let mut admit = |priority, at| {
        let request = scheduled_request(RouteKind::Safe, priority, at);
        scheduler
            .admit(Millis(at), request, &registry, &peers)
            .unwrap()
    };
    let late = admit(2, 0);
    let urgent = admit(0, 2);
    let early = admit(1, 1);
    let decisions = scheduler.decide(Millis(3), &registry, &peers);
    assert_eq!(started(&decisions), [urgent, early]);
    scheduler.attempt_ended(Millis(10), urgent, completed());
    let decisions = scheduler.decide(Millis(10), &registry, &peers);
    assert_eq!(started(&decisions), [late]);
}

// Endpoints run requests in order of arrival. Guards against sending an endpoint more requests than
// it has slots: urgent requests would wait there behind earlier ones.
#[test]
fn all_instances_together_send_an_endpoint_no_more_requests_than_it_has_slots() {
    let registry = registry(&[("e", 4)]);
    let mut peers = Peers::default();
    let mut peer_report = report("peer", 1);
    peer_report.running = vec![running_row("e", 3)];
    let mut scheduler = Scheduler::new("me", "a");
    scheduler.record_peer_speeds(&peer_report.running);
    peers.receive(Millis(0), peer_report);
    for at in 0..3 {
        scheduler
            .admit(
                Millis(at),
                scheduled_request(RouteKind::Safe, 0, at),
                &registry,
                &peers,
            )
            .unwrap();
    }
    assert_eq!(
        count_starts(&scheduler.decide(Millis(3), &registry, &peers)),
        1
    );
    // A peer that stops reporting no longer counts, so its slots become free.
    assert_eq!(
        count_starts(&scheduler.decide(Millis(600), &registry, &peers)),
        2
    );
}

// Two instances have queued requests when a slot becomes free. Guards against the instance with the
// less urgent request taking the slot because it sees it first.
#[test]
fn a_free_slot_is_left_to_a_more_urgent_request_at_a_peer() {
    let registry = registry(&[("e", 1)]);
    let mut peers = Peers::default();
    peers.receive(Millis(0), waiting_report("peer", 1));
    let mut scheduler = Scheduler::new("me", "a");
    scheduler
        .admit(
            Millis(0),
            scheduled_request(RouteKind::Safe, 1, 0),
            &registry,
            &peers,
        )
        .unwrap();
    assert_eq!(
        count_starts(&scheduler.decide(Millis(1), &registry, &peers)),
        0
    );
    // The slot is kept only briefly for a peer that does not take it or stops reporting.
    assert_eq!(
        count_starts(&scheduler.decide(Millis(100), &registry, &peers)),
        1
    );
}

#[test]
fn a_deferrable_request_that_would_be_late_is_refused_at_once_with_a_retry_time() {
    let registry = registry(&[("e", 1)]);
    let peers = Peers::default();
    let mut scheduler = Scheduler::new("me", "a");
    let refusal = (0..50)
        .find_map(|at| {
            scheduler
                .admit(
                    Millis(at),
                    scheduled_request(RouteKind::Safe, 1, at),
                    &registry,
                    &peers,
                )
                .err()
        })
        .expect("a request is refused once the queue is long");
    assert_eq!(refusal.reason, RefusalReason::Overload);
    assert!(refusal.retry_after > Millis::ZERO);
    // Requests of the highest priority are still admitted.
    assert!(
        scheduler
            .admit(
                Millis(60),
                scheduled_request(RouteKind::Safe, 0, 60),
                &registry,
                &peers
            )
            .is_ok()
    );
}

// Guards against requests that can be on time waiting behind late ones, which makes all of them
// late in a peak. Late requests get only slots that no other request needs, and are refused once
// half of their time is over, so that their callers can still try elsewhere.
#[test]
fn late_requests_yield_to_those_that_can_be_on_time_and_are_refused_in_the_end() {
    let registry = registry(&[("e", 1)]);
    let peers = Peers::default();
    let mut scheduler = Scheduler::new("me", "a");
    let running = scheduler
        .admit(
            Millis(0),
            scheduled_request(RouteKind::Safe, 0, 0),
            &registry,
            &peers,
        )
        .unwrap();
    let late = scheduler
        .admit(
            Millis(0),
            scheduled_request(RouteKind::Safe, 1, 0),
            &registry,
            &peers,
        )
        .unwrap();
    scheduler.decide(Millis(1), &registry, &peers);
    assert!(scheduler.decide(Millis(600), &registry, &peers).is_empty());
    let fresh = scheduler
        .admit(
            Millis(601),
            scheduled_request(RouteKind::Safe, 1, 601),
            &registry,
            &peers,
        )
        .unwrap();
    scheduler.attempt_ended(Millis(602), running, completed());
    assert_eq!(
        started(&scheduler.decide(Millis(602), &registry, &peers)),
        [fresh]
    );
    let decisions = scheduler.decide(Millis(2_600), &registry, &peers);
    let refused = decisions.iter().any(|it| {
        matches!(it, Decision::Refuse(ticket, refusal)
            if *ticket == late && refusal.reason == RefusalReason::QueueTimeout)
    });
    assert!(refused, "{decisions:?}");
}

#[test]
fn a_cancelled_request_frees_its_slot() {
    let mut core = core("i", 1);
    let routed = core.route(Millis(0), request("/safe/x")).unwrap();
    let first = core.admit(Millis(0), &routed, 1).unwrap();
    let second = core.admit(Millis(0), &routed, 2).unwrap();
    assert_eq!(started(&core.decide(Millis(0))), [first]);
    core.cancel(Millis(5), first);
    assert_eq!(started(&core.decide(Millis(5))), [second]);
}

// The connection is lost after a non-idempotent request was sent. Guards against sending it to
// another endpoint, which could make a booking twice.
#[test]
fn a_request_that_may_have_run_is_retried_only_if_it_is_idempotent() {
    for (path, retried) in [("/unsafe/x", false), ("/safe/x", true), ("/stream/x", true)] {
        let mut core = core("i", 1);
        core.registry().put(Millis(0), endpoint("e2", 1));
        let routed = core.route(Millis(0), request(path)).unwrap();
        let ticket = core.admit(Millis(0), &routed, 1).unwrap();
        core.decide(Millis(0));
        let next = core.attempt_ended(Millis(5), ticket, Outcome::ConnectionLost, true);
        assert_eq!(next.is_some(), retried, "{path}");
    }
}

// The connection to the only endpoint is lost. Guards against queueing the request until its
// deadline, when its caller has no time left to try elsewhere.
#[test]
fn a_request_that_no_endpoint_can_serve_any_more_is_refused_at_once() {
    let mut core = core("i", 1);
    let routed = core.route(Millis(0), request("/safe/x")).unwrap();
    let ticket = core.admit(Millis(0), &routed, 1).unwrap();
    core.decide(Millis(0));
    core.attempt_ended(Millis(5), ticket, Outcome::ConnectionLost, true)
        .unwrap();
    let decisions = core.decide(Millis(5));
    let refused = |it: &Decision| matches!(it, Decision::Refuse(_, refusal) if refusal.reason == RefusalReason::NoEndpoint);
    assert!(decisions.iter().any(refused), "{decisions:?}");
}

#[test]
fn a_request_that_did_not_run_is_retried_at_another_endpoint() {
    for outcome in [Outcome::ConnectFailed, Outcome::Full, Outcome::Misdirected] {
        let mut core = core("i", 1);
        core.registry().put(Millis(0), endpoint("e2", 1));
        let routed = core.route(Millis(0), request("/unsafe/x")).unwrap();
        let ticket = core.admit(Millis(0), &routed, 1).unwrap();
        let Some(Decision::Start(_, first)) = core.decide(Millis(0)).pop() else {
            panic!("no request started");
        };
        let next = core.attempt_ended(Millis(5), ticket, outcome, true);
        assert!(next.is_some(), "{outcome:?}");
        let Some(Decision::Start(_, second)) = core.decide(Millis(5)).pop() else {
            panic!("no request started after {outcome:?}");
        };
        assert_ne!(first.id, second.id);
    }
}

#[test]
fn a_request_has_no_more_attempts_than_its_route_allows() {
    let mut core = core("i", 1);
    for id in ["e2", "e3", "e4"] {
        core.registry().put(Millis(0), endpoint(id, 1));
    }
    let routed = core.route(Millis(0), request("/safe/x")).unwrap();
    let mut ticket = core.admit(Millis(0), &routed, 1).unwrap();
    let mut sent = 0;
    loop {
        sent += count_starts(&core.decide(Millis(sent as u64)));
        match core.attempt_ended(Millis(sent as u64), ticket, Outcome::Failed, true) {
            Some(next) => ticket = next,
            None => break,
        }
    }
    assert_eq!(sent, 2);
}

// Guards against a forecast that takes endpoints in a back-off for no capacity at all: all requests
// but the first are refused for seconds, though the back-off ends sooner.
#[test]
fn requests_wait_for_the_end_of_a_short_back_off_of_all_endpoints() {
    let registry = registry(&[("e", 4)]);
    let mut scheduler = Scheduler::new("me", "a");
    let now = back_off(&mut scheduler, &registry, 2);
    assert_eq!(refusals(&mut scheduler, &registry, now + 10, 4), []);
    let peers = Peers::default();
    let mut starts_at = |at| count_starts(&scheduler.decide(Millis(at), &registry, &peers));
    assert_eq!(starts_at(now + 20), 0);
    assert!(starts_at(now + 1_000) > 0);
}

// Guards against requests that wait for a back-off that ends too late for them, and against
// refusals that end before it.
#[test]
fn requests_that_cannot_wait_for_the_end_of_a_back_off_are_refused_until_then() {
    let registry = registry(&[("e", 4)]);
    let mut scheduler = Scheduler::new("me", "a");
    let now = back_off(&mut scheduler, &registry, 5);
    let refusals = refusals(&mut scheduler, &registry, now + 10, 4);
    assert_eq!(refusals.len(), 4);
    for refusal in refusals {
        assert_eq!(refusal.reason, RefusalReason::Overload);
        assert!(refusal.retry_after >= Millis(1_900), "{refusal:?}");
    }
}

// Lets a number of requests in a row break at the only endpoint, and returns when the last one did.
fn back_off(scheduler: &mut Scheduler, registry: &Registry, count: u64) -> u64 {
    let peers = Peers::default();
    let mut now = 0;
    for number in 0..count {
        now = number * 2_500;
        let request = scheduled_request(RouteKind::Safe, 0, now);
        let ticket = scheduler.admit(Millis(now), request, registry, &peers);
        let ticket = ticket.unwrap();
        assert_eq!(
            started(&scheduler.decide(Millis(now), registry, &peers)),
            [ticket]
        );
        scheduler.attempt_ended(Millis(now), ticket, Outcome::ConnectionLost);
    }
    now
}

// Admits a number of requests with a short deadline, and returns the refusals.
fn refusals(scheduler: &mut Scheduler, registry: &Registry, at: u64, count: u64) -> Vec<Refusal> {
    let peers = Peers::default();
    let requests = (0..count).map(|_| ScheduledRequest {
        deadline: Millis(at + 2_000),
        ..scheduled_request(RouteKind::Safe, 0, at)
    });
    let admitted = requests.map(|it| scheduler.admit(Millis(at), it, registry, &peers));
    admitted.filter_map(Result::err).collect()
}

// A failing service responds to all requests with errors. Guards against unlimited retries, which
// double the load when the service has the least capacity.
#[test]
fn retries_are_limited_to_a_share_of_the_requests() {
    let mut core = core("i", 1_000);
    core.registry().put(Millis(0), endpoint("e2", 1_000));
    let mut retries = 0;
    for at in 0..400_u64 {
        let now = Millis(at * 10);
        let routed = core.route(now, request("/safe/x")).unwrap();
        let ticket = core.admit(now, &routed, at).unwrap();
        core.decide(now);
        if let Some(next) = core.attempt_ended(now, ticket, Outcome::Failed, true) {
            retries += 1;
            core.cancel(now, next);
        }
    }
    assert!(retries <= 400 / 5 + 2, "{retries} retries of 400 requests");
    assert!(retries >= 400 / 10, "{retries} retries of 400 requests");
}

// A request crashes every endpoint that runs it, and its caller sends it repeatedly.
#[test]
fn a_request_that_crashed_two_endpoints_is_quarantined_here_and_at_peers() {
    let mut one = core("i1", 10);
    let mut other = core("i2", 10);
    for id in ["e2", "e3"] {
        one.registry().put(Millis(0), endpoint(id, 10));
    }
    let routed = one.route(Millis(0), request("/safe/x")).unwrap();
    let ticket = one.admit(Millis(0), &routed, 77).unwrap();
    one.decide(Millis(0));
    let next = one
        .attempt_ended(Millis(1), ticket, Outcome::ConnectionLost, true)
        .unwrap();
    one.decide(Millis(1));
    assert!(
        one.attempt_ended(Millis(2), next, Outcome::ConnectionLost, true)
            .is_none()
    );
    // Other endpoints respond, so the links are not at fault.
    for probed in one.due_probes(Millis(2)) {
        one.probe_ended(Millis(3), &probed, true);
    }
    assert_eq!(
        one.admit(Millis(3), &routed, 77).unwrap_err().reason,
        RefusalReason::Quarantined
    );
    let peer_report = one.next_report(Millis(3), true);
    other.receive_report(Millis(3), peer_report);
    assert_eq!(
        other.admit(Millis(3), &routed, 77).unwrap_err().reason,
        RefusalReason::Quarantined
    );
    assert!(other.admit(Millis(3), &routed, 78).is_ok());
}

// A starting endpoint has all its slots free, and is four times slower than the others. Guards
// against every instance sending its next requests there at once: they would wait for seconds.
#[test]
fn an_endpoint_of_unknown_speed_gets_few_requests_until_its_first_response() {
    let registry = registry(&[("e", 12)]);
    let peers = Peers::default();
    let mut scheduler = Scheduler::new("me", "a");
    let tickets: Vec<Ticket> = (0..12)
        .map(|at| {
            let request = scheduled_request(RouteKind::Safe, 0, at);
            scheduler
                .admit(Millis(at), request, &registry, &peers)
                .unwrap()
        })
        .collect();
    assert_eq!(
        count_starts(&scheduler.decide(Millis(20), &registry, &peers)),
        3
    );
    scheduler.attempt_ended(Millis(60), tickets[0], completed());
    assert_eq!(
        count_starts(&scheduler.decide(Millis(60), &registry, &peers)),
        9
    );
    // A speed that a peer reports counts as well.
    let mut other = Scheduler::new("me", "a");
    other.record_peer_speeds(&[running_row("e", 1)]);
    for at in 0..12 {
        let request = scheduled_request(RouteKind::Safe, 0, at);
        other.admit(Millis(at), request, &registry, &peers).unwrap();
    }
    assert_eq!(
        count_starts(&other.decide(Millis(20), &registry, &peers)),
        12
    );
}

// Guards against a sum of slots that overflows.
#[test]
fn endpoints_with_any_number_of_slots_serve_requests() {
    let registry = registry(&[("a", u32::MAX), ("b", u32::MAX), ("c", 2)]);
    let peers = Peers::default();
    let mut scheduler = Scheduler::new("me", "a");
    let request = scheduled_request(RouteKind::Safe, 0, 0);
    let ticket = scheduler.admit(Millis(0), request, &registry, &peers);
    let decisions = scheduler.decide(Millis(1), &registry, &peers);
    assert_eq!(started(&decisions), [ticket.unwrap()]);
}

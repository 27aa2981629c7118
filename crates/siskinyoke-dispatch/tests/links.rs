//! Links to endpoints that are lost, and the relays that are used meanwhile.

mod common;

use std::collections::BTreeMap;
use std::sync::Arc;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::common::core;
use crate::common::endpoint;
use crate::common::instance_info;
use crate::common::report;
use crate::common::request;
use siskinyoke_base::Millis;
use siskinyoke_dispatch::Core;
use siskinyoke_dispatch::Decision;
use siskinyoke_dispatch::Endpoint;
use siskinyoke_dispatch::Outcome;
use siskinyoke_dispatch::Report;
use siskinyoke_dispatch::Ticket;
use siskinyoke_dispatch::links::LinkChange;
use siskinyoke_dispatch::report::RelayReport;
use siskinyoke_dispatch::report::short_hash;

/// How long a report counts, with a margin.
const STALE: Millis = Millis(1_000);

// Returns an instance with this number of endpoints of one service.
fn core_with(endpoints: usize) -> Core {
    let mut core = core("a", 4);
    for number in 2..=endpoints {
        let endpoint = endpoint(&format!("e{number}"), 4);
        core.registry().put(Millis(0), endpoint);
    }
    core
}

fn first(core: &mut Core) -> Arc<Endpoint> {
    core.registry().eligible("lm")[0].clone()
}

// Ends all due probes, and returns the changes and how many there were.
fn probe(core: &mut Core, now: u64, responds: bool) -> (Vec<LinkChange>, usize) {
    let due = core.due_probes(Millis(now));
    let ended = due.iter();
    let changes = ended.filter_map(|it| core.probe_ended(Millis(now), it, responds));
    (changes.collect(), due.len())
}

fn lose_links(core: &mut Core, now: u64) {
    let endpoint = first(core);
    core.record_unreachable(Millis(now), &endpoint);
    probe(core, now, false);
    assert!(core.links_lost("lm"));
}

fn relay_report(name: &str, number: u64, relay: RelayReport) -> Report {
    Report {
        relay: Some(relay),
        ..report(name, number)
    }
}

fn relay_with(in_flight: u16) -> RelayReport {
    RelayReport {
        lost_services: Vec::new(),
        in_flight,
    }
}

fn relay_names(core: &mut Core, now: u64, seed: u64) -> Vec<String> {
    let endpoint = first(core);
    let relays = core.relays(Millis(now), &endpoint, seed);
    relays.into_iter().map(|it| it.peer_address).collect()
}

fn address(name: &str) -> String {
    instance_info(name, "a").location.peer_address
}

fn start(core: &mut Core, now: u64, fingerprint: u64) -> Ticket {
    let routed = core.route(Millis(now), request("/safe/a")).unwrap();
    core.admit(Millis(now), &routed, fingerprint).unwrap();
    let decisions = core.decide(Millis(now));
    let [Decision::Start(ticket, _)] = &*decisions else {
        panic!("not started: {decisions:?}");
    };
    *ticket
}

#[test]
fn links_are_not_lost_while_another_endpoint_responds() {
    let mut core = core_with(4);
    let failing = first(&mut core);
    core.record_unreachable(Millis(10), &failing);
    let due = core.due_probes(Millis(10));
    assert_eq!(due.len(), 3);
    assert!(due.iter().all(|it| it.key() != failing.key()));
    for (number, endpoint) in due.iter().enumerate() {
        let change = core.probe_ended(Millis(20), endpoint, number == 1);
        assert_eq!(change, None);
    }
    assert!(!core.links_lost("lm"));
}

#[test]
fn links_are_lost_when_no_endpoint_responds() {
    for endpoints in 1..=4 {
        let mut core = core_with(endpoints);
        let failing = first(&mut core);
        core.record_unreachable(Millis(10), &failing);
        let (changes, count) = probe(&mut core, 210, false);
        assert_eq!(changes, [LinkChange::Lost(Millis(10))]);
        assert_eq!(count, endpoints.min(3));
        assert!(core.links_lost("lm"));
    }
}

#[test]
fn a_late_response_is_no_reason_for_doubt_if_another_one_arrived_meanwhile() {
    let mut core = core_with(4);
    let endpoint = first(&mut core);
    core.record_response(Millis(20), &endpoint);
    core.record_no_response(Millis(500), &endpoint, Millis(10));
    assert!(core.due_probes(Millis(500)).is_empty());
    core.record_no_response(Millis(900), &endpoint, Millis(30));
    assert_eq!(core.due_probes(Millis(900)).len(), 3);
}

#[test]
fn a_flood_of_failures_causes_few_probes() {
    let mut core = core_with(4);
    let endpoint = first(&mut core);
    let mut probes = 0;
    for now in 0..10_000 {
        core.record_unreachable(Millis(now), &endpoint);
        probes += probe(&mut core, now, true).1;
    }
    assert!(probes <= 3 * 21, "{probes} probes in 10 s");
}

#[test]
fn lost_links_are_restored_by_two_responses_in_a_row() {
    let mut core = core_with(4);
    lose_links(&mut core, 0);
    assert_eq!(probe(&mut core, 300, true).0, []);
    assert_eq!(probe(&mut core, 301, false).0, []);
    assert_eq!(probe(&mut core, 302, true), (vec![], 0));
    assert_eq!(probe(&mut core, 600, true).0, []);
    let (changes, _) = probe(&mut core, 601, true);
    assert_eq!(changes, [LinkChange::Restored(Millis(601))]);
    assert!(!core.links_lost("lm"));
}

#[test]
fn lost_links_are_probed_a_few_times_a_second() {
    let mut core = core_with(4);
    lose_links(&mut core, 0);
    let probes: usize = (1..=10_000).map(|now| probe(&mut core, now, false).1).sum();
    assert!((35..=41).contains(&probes), "{probes} probes in 10 s");
}

#[test]
fn lost_links_to_one_service_put_those_to_the_others_in_doubt() {
    let mut core = core_with(4);
    let other = Endpoint {
        service: "portal".into(),
        ..endpoint("p1", 4)
    };
    core.registry().put(Millis(0), other);
    lose_links(&mut core, 0);
    let due = core.due_probes(Millis(1));
    let ids: Vec<_> = due.iter().map(|it| &*it.id).collect();
    assert!(ids.contains(&"p1"), "{ids:?}");
}

// Guards against blaming endpoints, and quarantining requests, for links of this instance.
#[test]
fn failures_on_lost_links_count_against_no_endpoint_and_no_request() {
    let mut core = core_with(2);
    let failing = first(&mut core);
    core.record_no_response(Millis(10), &failing, Millis(10));
    for now in [11, 12] {
        let ticket = start(&mut core, now, 7);
        core.attempt_ended(Millis(now), ticket, Outcome::ConnectionLost, false);
    }
    let reported = core.next_report(Millis(13), true).info.unwrap().quarantine;
    assert_eq!(reported, []);
    let ticket = start(&mut core, 14, 8);
    core.attempt_ended(Millis(14), ticket, Outcome::ConnectFailed, false);
    assert_eq!(core.endpoint_counts(Millis(15), "lm").1, 1);
    probe(&mut core, 15, false);
    assert_eq!(core.endpoint_counts(Millis(15), "lm"), (2, 0));
    start(&mut core, 16, 7);
}

#[test]
fn a_request_that_no_relay_took_is_sent_again_and_counts_against_no_endpoint() {
    let mut core = core_with(2);
    let ticket = start(&mut core, 1, 7);
    let retry = core.attempt_ended(Millis(1), ticket, Outcome::RelayFailed, true);
    assert!(retry.is_some());
    assert_eq!(core.endpoint_counts(Millis(2), "lm"), (2, 0));
}

#[test]
fn only_peers_that_reach_the_service_relay_its_requests() {
    let mut core = core_with(2);
    let lost = RelayReport {
        lost_services: vec![short_hash("lm")],
        in_flight: 0,
    };
    let leaving = Report {
        shutting_down: true,
        ..relay_report("leaving", 1, relay_with(0))
    };
    core.receive_report(Millis(1), relay_report("lost", 1, lost));
    core.receive_report(Millis(1), leaving);
    core.receive_report(Millis(1), report("earlier", 1));
    assert_eq!(relay_names(&mut core, 2, 0), [""; 0]);
    core.receive_report(Millis(3), relay_report("b", 1, relay_with(0)));
    assert_eq!(relay_names(&mut core, 4, 0), [address("b")]);
    assert_eq!(relay_names(&mut core, 4 + STALE.0, 0), [""; 0]);
}

#[test]
fn a_relay_that_failed_is_not_used_for_a_second() {
    let mut core = core_with(2);
    core.receive_report(Millis(1), relay_report("b", 1, relay_with(0)));
    core.record_relay_failure(Millis(2), &address("b"));
    assert_eq!(relay_names(&mut core, 3, 0), [""; 0]);
    assert!(core.has_relay(Millis(3), "lm"));
    core.receive_report(Millis(1_010), relay_report("b", 2, relay_with(0)));
    assert_eq!(relay_names(&mut core, 1_010, 0), [address("b")]);
}

// Guards against a rush of all instances without links to the same relay.
#[test]
fn relays_are_loaded_evenly() {
    let mut core = core_with(2);
    let names = ["b", "c", "d", "e"];
    let mut loads: BTreeMap<String, u16> = BTreeMap::new();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for now in 0..1_000 {
        if now % 50 == 0 {
            for name in names {
                let load = loads.get(&address(name)).copied().unwrap_or(0);
                core.receive_report(Millis(now), relay_report(name, now + 1, relay_with(load)));
            }
        }
        let relays = relay_names(&mut core, now, rng.random());
        assert_eq!(relays.len(), 2);
        core.relayed_request_started(&relays[0]);
        *loads.entry(relays[0].clone()).or_default() += 1;
        core.relayed_request_ended(&relays[0]);
    }
    let (least, most) = (loads.values().min(), loads.values().max());
    assert_eq!(loads.len(), names.len());
    assert!(most.unwrap() - least.unwrap() <= 50, "{loads:?}");
}

// Guards against waiting requests that keep slots free at peers and cannot use them.
#[test]
fn requests_without_a_way_to_an_endpoint_claim_no_slots() {
    let mut core = core_with(1);
    for now in 1..=5 {
        let routed = core.route(Millis(now), request("/safe/a")).unwrap();
        core.admit(Millis(now), &routed, now).unwrap();
        core.decide(Millis(now));
    }
    assert_eq!(core.next_report(Millis(6), false).waiting.len(), 1);
    lose_links(&mut core, 7);
    assert_eq!(core.next_report(Millis(8), false).waiting, []);
    core.receive_report(Millis(9), relay_report("b", 1, relay_with(0)));
    assert_eq!(core.next_report(Millis(10), false).waiting.len(), 1);
}

#[test]
fn an_instance_that_no_peer_relays_for_refers_callers_to_peers_that_serve() {
    let mut core = core_with(2);
    lose_links(&mut core, 0);
    assert!(core.ready(Millis(1)), "nobody serves");
    core.receive_report(Millis(1), report("earlier", 1));
    assert!(!core.ready(Millis(2)));
    assert_eq!(core.caller_addresses(Millis(2), "a").len(), 1);
    core.receive_report(Millis(3), relay_report("b", 1, relay_with(0)));
    assert!(core.ready(Millis(4)));
}

// Lost links break the requests of several callers with the same content at once. Guards against
// quarantining that content before other endpoints have been probed.
#[test]
fn broken_connections_raise_a_doubt_of_the_links_before_content_is_quarantined() {
    for links_work in [false, true] {
        let mut core = core_with(4);
        let tickets = [7, 7].map(|it| start(&mut core, 10, it));
        for ticket in tickets {
            core.attempt_ended(Millis(20), ticket, Outcome::ConnectionLost, false);
        }
        let routed = core.route(Millis(21), request("/safe/a")).unwrap();
        assert!(core.admit(Millis(21), &routed, 7).is_ok());
        let (changes, count) = probe(&mut core, 30, links_work);
        assert!(count > 0, "no probes");
        assert_eq!(changes.is_empty(), links_work);
        let admitted = core.admit(Millis(31), &routed, 7);
        assert_eq!(admitted.is_err(), links_work, "{admitted:?}");
    }
}

// Guards against blaming content for links that break just after they were proven to work, when a
// failure raises no new doubt yet.
#[test]
fn content_is_not_quarantined_if_links_break_soon_after_a_probe_got_through() {
    let mut core = core_with(4);
    let failing = first(&mut core);
    core.record_unreachable(Millis(10), &failing);
    probe(&mut core, 10, true);
    let tickets = [7, 7].map(|it| start(&mut core, 20, it));
    for ticket in tickets {
        core.attempt_ended(Millis(300), ticket, Outcome::ConnectionLost, false);
    }
    core.record_unreachable(Millis(520), &failing);
    probe(&mut core, 520, false);
    assert!(core.links_lost("lm"));
    let routed = core.route(Millis(521), request("/safe/a")).unwrap();
    assert!(core.admit(Millis(521), &routed, 7).is_ok());
}

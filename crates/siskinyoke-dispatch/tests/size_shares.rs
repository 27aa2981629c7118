//! Counts of what becomes of the requests of a route, by their service times.

mod common;

use crate::common::core;
use crate::common::report;
use crate::common::request;
use crate::common::route;
use crate::common::waiting_report;
use siskinyoke_base::Millis;
use siskinyoke_dispatch::Report;
use siskinyoke_dispatch::Route;
use siskinyoke_dispatch::RouteKind;
use siskinyoke_dispatch::core::IncomingRequest;
use siskinyoke_dispatch::report::SizeShareRow;
use siskinyoke_dispatch::size_shares::SizeShares;

const NOW: Millis = Millis(5_000);
const SHORT_TIME: f64 = 500.0;
const LONG_TIME: f64 = 8_000.0;

// Records forty short requests, all served, and ten long ones of which as many are served.
fn shares(route: &Route, served_long: usize) -> SizeShares {
    let mut shares = SizeShares::default();
    for _ in 0..40 {
        shares.record_offered(NOW, route, SHORT_TIME);
        shares.record_served(NOW, route, SHORT_TIME);
    }
    for index in 0..10 {
        shares.record_offered(NOW, route, LONG_TIME);
        if index < served_long {
            shares.record_served(NOW, route, LONG_TIME);
        }
    }
    shares
}

#[test]
fn short_requests_go_first_while_long_ones_are_served_alike() {
    let route = route(RouteKind::Stream, 0);
    let alike = shares(&route, 10);
    assert!(alike.penalty_ratio(NOW, &route) > 0.1);
    assert!((alike.wait_tolerance(NOW, &route, LONG_TIME) - 1.0).abs() < 1e-9);
    let unlike = shares(&route, 4);
    assert!(unlike.penalty_ratio(NOW, &route) < 0.0);
    assert!(unlike.wait_tolerance(NOW, &route, LONG_TIME) > 1.5);
    assert!((unlike.wait_tolerance(NOW, &route, SHORT_TIME) - 1.0).abs() < 1e-9);
}

// Guards against long requests that count as served although they were cut off.
#[test]
fn a_response_that_was_cut_off_does_not_count_as_served() {
    let route = route(RouteKind::Stream, 0);
    let mut shares = shares(&route, 10);
    for _ in 0..6 {
        shares.record_lost(NOW, &route, LONG_TIME);
    }
    assert!(shares.penalty_ratio(NOW, &route) < 0.0);
}

// Guards against a fleet none of whose instances sees enough long requests to notice their losses,
// and against counts of a process that are added to those of its successor.
#[test]
fn the_counts_of_peers_are_added_and_replaced() {
    let route = route(RouteKind::Stream, 0);
    let peer = shares(&route, 4);
    let mut own = SizeShares::default();
    own.receive(NOW, 1, &peer.rows(NOW));
    assert!(own.penalty_ratio(NOW, &route) < 0.0);
    own.receive(NOW, 1, &shares(&route, 10).rows(NOW));
    assert!(own.penalty_ratio(NOW, &route) > 0.1);
    own.receive(NOW, 2, &peer.rows(NOW));
    own.forget_peer(1);
    assert!(own.penalty_ratio(NOW, &route) < 0.0);
    own.prune(NOW + Millis(5_000));
    assert!(own.work(NOW, &route).offered() < 1.0);
}

// Guards against reports that fit into no datagram where requests arrive on many routes.
#[test]
fn the_routes_with_the_most_requests_are_reported() {
    let mut shares = SizeShares::default();
    for index in 0..100_u8 {
        let route = Route {
            name: format!("r{index}").into(),
            ..route(RouteKind::Stream, 0)
        };
        for _ in 0..=index {
            shares.record_offered(NOW, &route, SHORT_TIME);
        }
    }
    let rows = shares.rows(NOW);
    assert!(rows.len() <= 16, "{} rows", rows.len());
    assert!(rows.iter().all(|row| row.offered > 80.0), "{rows:?}");
}

#[test]
fn few_requests_show_nothing() {
    let route = route(RouteKind::Stream, 0);
    let mut shares = SizeShares::default();
    for _ in 0..4 {
        shares.record_offered(NOW, &route, SHORT_TIME);
        shares.record_served(NOW, &route, SHORT_TIME);
        shares.record_offered(NOW, &route, LONG_TIME);
    }
    assert!(shares.penalty_ratio(NOW, &route) > 0.1);
    assert!((shares.wait_tolerance(NOW, &route, LONG_TIME) - 1.0).abs() < 1e-9);
}

// Guards against long requests that are refused for a long wait like short ones although these have
// been served more often.
#[test]
fn long_requests_are_queued_for_longer_waits_while_they_are_served_less_often() {
    let route = Route {
        name: "stream".into(),
        ..route(RouteKind::Stream, 1)
    };
    let is_admitted = |rows: &[SizeShareRow], output| {
        let mut core = core("i", 1);
        core.receive_report(
            NOW,
            Report {
                size_shares: rows.to_vec(),
                ..report("p", 1)
            },
        );
        let mut busy = waiting_report("p", 2);
        busy.waiting[0].service_time = 1_500;
        core.receive_report(NOW, busy);
        let request = IncomingRequest {
            tokens: Some((900, output)),
            ..request("/stream/x")
        };
        let routed = core.route(NOW, request).expect("a route");
        core.admit(NOW, &routed, output).is_ok()
    };
    assert!(!is_admitted(&shares(&route, 10).rows(NOW), 1_000));
    assert!(is_admitted(&shares(&route, 4).rows(NOW), 1_000));
    assert!(!is_admitted(&shares(&route, 4).rows(NOW), 100));
}

//! The view of the other instances, and the instances that callers are directed to.

mod common;

use crate::common::core;
use crate::common::location;
use crate::common::report;
use siskinyoke_base::Millis;
use siskinyoke_dispatch::Report;
use siskinyoke_dispatch::directory::select_instances;
use siskinyoke_dispatch::peers::Peers;
use siskinyoke_dispatch::peers::Received;

#[test]
fn a_report_that_arrives_late_changes_nothing() {
    let mut peers = Peers::default();
    assert_eq!(
        peers.receive(Millis(0), report("p", 5)),
        Received::NewProcess(None)
    );
    assert_eq!(peers.receive(Millis(1), report("p", 4)), Received::Ignored);
    assert_eq!(peers.receive(Millis(1), report("p", 6)), Received::Update);
}

#[test]
fn a_peer_that_has_not_identified_itself_is_not_counted() {
    let mut peers = Peers::default();
    let unidentified = Report {
        info: None,
        ..report("p", 1)
    };
    assert_eq!(peers.receive(Millis(0), unidentified), Received::Ignored);
    assert_eq!(peers.instance_count(Millis(0)), 1);
}

// Guards against a late report of a killed process replacing its restarted successor, whose own
// reports would then be ignored.
#[test]
fn a_late_report_of_a_killed_process_does_not_replace_its_successor() {
    let mut peers = Peers::default();
    let previous = Report {
        incarnation: 1,
        age: 9_000,
        ..report("p", 700)
    };
    let restarted = Report {
        incarnation: 2,
        age: 50,
        ..report("p", 1)
    };
    peers.receive(Millis(0), previous.clone());
    assert_eq!(
        peers.receive(Millis(100), restarted),
        Received::NewProcess(Some(1))
    );
    assert_eq!(peers.receive(Millis(120), previous), Received::Ignored);
    assert_eq!(peers.instance_count(Millis(120)), 2);
}

#[test]
fn the_fleet_share_of_a_starting_process_counts_the_listed_instances() {
    let mut peers = Peers::default();
    peers.set_listed_count(4);
    assert!((peers.fleet_share(Millis(0)) - 0.25).abs() < 1e-9);
    for name in ["a", "b", "c"] {
        peers.receive(Millis(0), report(name, 1));
    }
    assert!((peers.fleet_share(Millis(0)) - 1.0).abs() < 1e-9);
}

#[test]
fn callers_are_sent_to_instances_of_their_own_data_centre() {
    let ready = [
        location("n1", "a"),
        location("n2", "a"),
        location("far", "b"),
    ];
    assert_eq!(select_instances("a", ready.iter()), ["n1:1", "n2:1"]);
}

// Guards against callers of a data centre with a single instance having no alternative when that
// instance dies.
#[test]
fn a_single_local_instance_is_not_the_only_one_listed_for_callers() {
    let ready = [location("n1", "a"), location("far", "b")];
    assert_eq!(select_instances("a", ready.iter()), ["far:1", "n1:1"]);
}

#[test]
fn only_ready_instances_are_listed_for_callers() {
    let mut core = core("i", 1);
    let leaving = Report {
        shutting_down: true,
        ..report("leaving", 1)
    };
    let unready = Report {
        ready: false,
        ..report("unready", 1)
    };
    for report in [leaving, unready, report("sound", 1)] {
        core.receive_report(Millis(0), report);
    }
    assert_eq!(core.caller_addresses(Millis(0), "a"), ["i:1", "sound:1"]);
    core.begin_shutdown();
    assert_eq!(core.caller_addresses(Millis(0), "a"), ["sound:1"]);
    assert!(!core.ready(Millis(1)));
}

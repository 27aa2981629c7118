//! What is believed of the other instances, and which of them callers are told to use.

mod common;

use siskinyoke_base::Millis;
use siskinyoke_dispatch::Report;
use siskinyoke_dispatch::directory::choose;
use siskinyoke_dispatch::peers::Heard;
use siskinyoke_dispatch::peers::Peers;

use common::core;
use common::report;

#[test]
fn a_report_that_arrives_late_changes_nothing() {
    let mut peers = Peers::default();
    assert_eq!(peers.heard(Millis(0), report("p", 5)), Heard::First(None));
    assert_eq!(peers.heard(Millis(1), report("p", 4)), Heard::Old);
    assert_eq!(peers.heard(Millis(1), report("p", 6)), Heard::Next);
}

// The time of day steps back while an instance is down. Its new start bears an earlier time than
// the one before; taken for a late report, it would be ignored for as long as it runs.
#[test]
fn a_start_with_an_earlier_time_is_believed_once_the_later_one_is_silent() {
    let mut peers = Peers::default();
    let early = Report {
        start: 1,
        ..report("p", 1)
    };
    let later = Report {
        start: 9,
        ..report("p", 700)
    };
    peers.heard(Millis(0), later);
    assert_eq!(peers.heard(Millis(100), early.clone()), Heard::Old);
    assert!(matches!(
        peers.heard(Millis(900), early),
        Heard::First(Some(_))
    ));
}

#[test]
fn a_process_that_just_started_is_not_alone_for_hearing_nobody() {
    let mut peers = Peers::default();
    peers.listed(4);
    assert!((peers.share(Millis(0)) - 0.25).abs() < 1e-9);
    for name in ["a", "b", "c"] {
        peers.heard(Millis(0), report(name, 1));
    }
    assert!((peers.share(Millis(0)) - 1.0).abs() < 1e-9);
}

#[test]
fn callers_are_sent_to_ready_instances_of_their_own_data_centre() {
    let far = Report {
        centre: "b".to_owned(),
        ..report("far", 1)
    };
    let reports = [report("n1", 1), report("n2", 1), far];
    assert_eq!(choose("a", reports.iter()), ["n1:1", "n2:1"]);
}

// A data centre has one instance left. Callers that know only that one have nowhere to go when
// it dies.
#[test]
fn one_near_instance_is_not_named_alone() {
    let far = Report {
        centre: "b".to_owned(),
        ..report("far", 1)
    };
    let leaving = Report {
        leaving: true,
        ..report("n2", 1)
    };
    let unready = Report {
        ready: false,
        ..report("n3", 1)
    };
    let reports = [report("n1", 1), leaving, unready, far];
    assert_eq!(choose("a", reports.iter()), ["far:1", "n1:1"]);
}

#[test]
fn an_instance_that_leaves_is_named_to_no_caller() {
    let mut core = core("i", 1);
    assert_eq!(core.addresses(Millis(0), "a"), ["i:1"]);
    core.leave();
    assert!(core.addresses(Millis(0), "a").is_empty());
    assert!(!core.ready());
}

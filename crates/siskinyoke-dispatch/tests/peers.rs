//! The view of the other instances, and the instances that callers are directed to.

mod common;

use crate::common::core;
use crate::common::endpoint;
use crate::common::location;
use crate::common::report;
use crate::common::request;
use crate::common::running_row;
use siskinyoke_base::Millis;
use siskinyoke_dispatch::Core;
use siskinyoke_dispatch::Endpoint;
use siskinyoke_dispatch::PromptPart;
use siskinyoke_dispatch::PromptParts;
use siskinyoke_dispatch::Report;
use siskinyoke_dispatch::Shutdown;
use siskinyoke_dispatch::StoreUpdate;
use siskinyoke_dispatch::directory::select_instances;
use siskinyoke_dispatch::peers::Peers;
use siskinyoke_dispatch::peers::Received;
use siskinyoke_dispatch::report::CanarySlice;
use siskinyoke_dispatch::report::CanarySlices;
use siskinyoke_dispatch::report::LimitRow;
use siskinyoke_dispatch::report::PartCrashRow;
use siskinyoke_dispatch::report::PartIntervalRow;
use siskinyoke_dispatch::report::PartRow;
use siskinyoke_dispatch::report::RejectionRow;
use siskinyoke_dispatch::report::RunningRow;
use siskinyoke_dispatch::report::ServiceShareRows;
use siskinyoke_dispatch::report::ShareRow;
use siskinyoke_dispatch::report::SilentAttemptRow;
use siskinyoke_dispatch::report::SoundRequestRow;
use siskinyoke_dispatch::report::short_hash;
use siskinyoke_dispatch::rollout::Order;

/// When the latest report arrives, and the outdated one.
const LATEST_AT: Millis = Millis(100);
const LATE_AT: Millis = Millis(120);

type SetField = fn(&mut Report);

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
    let [previous, restarted] = reports_of_two_processes();
    peers.receive(Millis(0), previous.clone());
    assert_eq!(
        peers.receive(Millis(100), restarted),
        Received::NewProcess(Some(1))
    );
    assert_eq!(peers.receive(Millis(120), previous), Received::Ignored);
    assert_eq!(peers.instance_count(Millis(120)), 2);
}

// Guards against outdated reports that replace what a later one has said: shares of slots, speeds of
// endpoints, limits, prompt parts, sound requests, silent attempts and the responses of a canary version.
#[test]
fn an_outdated_report_replaces_nothing() {
    let mut replaced = Vec::new();
    for (case, latest, late) in outdated_reports() {
        for (field, late) in with_one_field(&late) {
            let [mut core, mut unaffected] = [1, 2].map(|_| core_with_rollout());
            for core in [&mut core, &mut unaffected] {
                core.receive_report(LATEST_AT, latest.clone());
            }
            core.receive_report(LATE_AT, late);
            if format!("{core:?}") != format!("{unaffected:?}") {
                replaced.push((case, field));
            }
        }
    }
    assert_eq!(replaced, []);
}

// Guards against losing what only the last report of a killed process said.
#[test]
fn an_outdated_report_adds_departures_and_crashes() {
    for (case, latest, mut late) in outdated_reports() {
        let Some(info) = &mut late.info else { continue };
        let gone = endpoint("e1", 4).key();
        info.leaving_endpoints = vec![gone];
        info.quarantine = vec![(55, vec![1, 2])];
        let mut core = core_with_rollout();
        core.receive_report(LATEST_AT, latest);
        core.receive_report(LATE_AT, late);
        let departed = core.take_reported_departures();
        assert_eq!(departed.len(), 1, "{case}");
        let routed = core.route(LATE_AT, request("/safe/x")).unwrap();
        assert!(core.admit(LATE_AT, &routed, 55).is_err(), "{case}");
    }
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
    core.begin_shutdown(Shutdown {
        drain_end: Millis(2_500),
        end: Millis(7_000),
    });
    assert_eq!(core.caller_addresses(Millis(0), "a"), ["sound:1"]);
    assert!(!core.ready(Millis(1)));
}

// Returns reports of a process that was killed, and of the one that was started in its place.
fn reports_of_two_processes() -> [Report; 2] {
    let killed = Report {
        incarnation: 1,
        age: 9_000,
        ..report("p", 700)
    };
    let restarted = Report {
        incarnation: 2,
        age: 50,
        ..report("p", 1)
    };
    [killed, restarted]
}

// Returns pairs of a report and one that it makes outdated.
fn outdated_reports() -> [(&'static str, Report, Report); 3] {
    let reordered = [report("p", 2), report("p", 1)];
    let [replaced, successor] = reports_of_two_processes();
    let unidentified = Report {
        info: None,
        ..replaced.clone()
    };
    let [latest, late] = reordered.map(with_rows);
    let successor = with_rows(successor);
    [
        ("reordered", latest, late),
        ("replaced", successor.clone(), replaced),
        ("replaced, not full", successor, unidentified),
    ]
}

// Returns a report of a peer that knows little, all of it observed just before.
fn with_rows(report: Report) -> Report {
    Report {
        running: vec![running_row("e1", 1)],
        limits: vec![limit(2_000)],
        rejection_limits: vec![rejection_limit(3)],
        shares: vec![shares(100)],
        canary_slices: vec![canary_slices(8)],
        prompt_parts: vec![part_row(None)],
        sound_requests: vec![sound_request(30)],
        silent_attempts: vec![silent_attempt(1)],
        part_intervals: vec![part_interval(20.0)],
        size_shares: Vec::new(),
        quota_used: vec![(short_hash("school"), 500)],
        ..report
    }
}

// Returns reports that each say something else in one field.
fn with_one_field(late: &Report) -> Vec<(&'static str, Report)> {
    let fields: [(&'static str, SetField); 10] = [
        ("running", |it| it.running = vec![slow_row()]),
        ("limits", |it| it.limits = vec![limit(0)]),
        ("rejection_limits", |it| {
            it.rejection_limits = vec![rejection_limit(0)];
        }),
        ("shares", |it| it.shares = vec![shares(900)]),
        ("canary_slices", |it| {
            it.canary_slices = vec![canary_slices(1)];
        }),
        ("prompt_parts", |it| {
            it.prompt_parts = vec![part_row(Some(0))];
        }),
        ("sound_requests", |it| {
            it.sound_requests = vec![sound_request(0)];
        }),
        ("silent_attempts", |it| {
            it.silent_attempts = vec![silent_attempt(2)];
        }),
        ("part_intervals", |it| {
            it.part_intervals = vec![part_interval(80.0)];
        }),
        ("quota_used", |it| {
            it.quota_used = vec![(short_hash("school"), 90_000)];
        }),
    ];
    let late = Report {
        running: Vec::new(),
        limits: Vec::new(),
        rejection_limits: Vec::new(),
        shares: Vec::new(),
        canary_slices: Vec::new(),
        prompt_parts: Vec::new(),
        sound_requests: Vec::new(),
        silent_attempts: Vec::new(),
        part_intervals: Vec::new(),
        size_shares: Vec::new(),
        quota_used: Vec::new(),
        ..late.clone()
    };
    let rows = fields.into_iter().map(|(name, set)| {
        let mut report = late.clone();
        set(&mut report);
        (name, report)
    });
    rows.collect()
}

// Returns an instance that compares two versions of the service `lm`.
fn core_with_rollout() -> Core {
    let mut core = core("i", 4);
    let order = Order {
        service: "lm".into(),
        version: "v2".into(),
        duration: Millis(10_000),
        revision: 5.into(),
    };
    let new = Endpoint {
        version: "v2".into(),
        ..endpoint("e2", 4)
    };
    let updates = vec![
        StoreUpdate::RolloutOrder(order),
        StoreUpdate::Endpoint(endpoint("e1", 4)),
        StoreUpdate::Endpoint(new),
    ];
    core.apply_updates(Millis(0), 6.into(), updates);
    core.advance_rollouts(Millis(1));
    core
}

fn part_interval(interval_ms: f64) -> PartIntervalRow {
    PartIntervalRow::new(endpoint("e1", 1).key(), interval_ms)
}

fn slow_row() -> RunningRow {
    RunningRow {
        speed_factor: 36,
        ..running_row("e1", 1)
    }
}

fn limit(rate: u32) -> LimitRow {
    LimitRow {
        endpoint: endpoint("e1", 4).key().short_key(),
        rate,
        age: 1,
    }
}

fn rejection_limit(limit: u32) -> RejectionRow {
    RejectionRow {
        endpoint: endpoint("e1", 4).key().short_key(),
        limit,
        age: 1,
        rejected_age: None,
    }
}

fn shares(used: u32) -> ServiceShareRows {
    let row = ShareRow {
        tier: 1,
        organisation: short_hash("school"),
        used,
        offered: used,
    };
    ServiceShareRows {
        service: short_hash("lm"),
        short_tiers: vec![1],
        rows: vec![row],
    }
}

fn canary_slices(responses: u16) -> CanarySlices {
    let row = CanarySlice {
        number: 0,
        route: 1,
        new: (responses, 0),
        stable: (responses, 0),
        endpoints: Vec::new(),
    };
    CanarySlices {
        service: short_hash("lm"),
        order: 5,
        rows: vec![row],
    }
}

fn part_row(sound_age: Option<u32>) -> PartRow {
    let crash = PartCrashRow {
        endpoint: 7,
        age: 1,
        alone: true,
    };
    PartRow {
        part: PromptPart::from_id("b"),
        position: 0,
        sound_age,
        crashes: vec![crash],
    }
}

fn silent_attempt(endpoint: u32) -> SilentAttemptRow {
    SilentAttemptRow {
        fingerprint: 78,
        parts: PromptParts::default(),
        endpoint,
        alive_age: 900,
        sent_age: 900,
        age: 500,
        gone_age: 200,
    }
}

fn sound_request(age: u32) -> SoundRequestRow {
    SoundRequestRow {
        fingerprint: 77,
        age,
    }
}

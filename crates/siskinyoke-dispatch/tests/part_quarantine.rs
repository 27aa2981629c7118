//! Prompt parts that crash the endpoints that begin a response to them.

use siskinyoke_base::Millis;
use siskinyoke_dispatch::PromptPart;
use siskinyoke_dispatch::PromptParts;
use siskinyoke_dispatch::part_quarantine::PartQuarantine;

/// The interval between two crashes in these tests.
const CRASH_INTERVAL_MS: u64 = 500;

fn parts(ids: &[&str]) -> PromptParts {
    let own = ["ffff"];
    PromptParts::from_ids(ids.iter().chain(&own).copied())
}

fn quarantined(quarantine: &mut PartQuarantine, now: u64) -> Vec<PromptPart> {
    quarantine.update(Millis(now), None, |_| false);
    let all = parts(&["a", "b", "c", "d"]);
    quarantine.quarantined_parts(&all).collect()
}

fn part(id: &str) -> PromptPart {
    PromptPart::from_id(id)
}

// Returns the state after a number of crashes, each of another endpoint, and the time of its last.
fn crashed(count: u32, ids: &[&str]) -> (PartQuarantine, u64) {
    let mut quarantine = PartQuarantine::default();
    let mut now = 0;
    for endpoint in 1..=count {
        now += CRASH_INTERVAL_MS;
        quarantine.record_crash(Millis(now), &parts(ids), endpoint);
    }
    (quarantine, now)
}

#[test]
fn a_part_that_crashed_three_endpoints_is_quarantined() {
    let (mut quarantine, now) = crashed(2, &["b"]);
    assert!(quarantined(&mut quarantine, now + 1_000).is_empty());
    let (mut quarantine, now) = crashed(3, &["b"]);
    assert_eq!(quarantined(&mut quarantine, now + 1_000), [part("b")]);
    assert!(quarantine.is_refused(&parts(&["a", "b"]), 1));
    assert!(!quarantine.is_refused(&parts(&["a"]), 1));
}

// Guards against a quarantine of the part that all requests of a route share.
#[test]
fn a_part_is_cleared_by_a_complete_response() {
    let (mut quarantine, now) = crashed(8, &["a", "b"]);
    quarantine.record_sound(Millis(now), &parts(&["a"]));
    assert_eq!(quarantined(&mut quarantine, now + 1_000), [part("b")]);
    quarantine.record_sound(Millis(now), &parts(&["b"]));
    assert!(quarantined(&mut quarantine, now + 2_000).is_empty());
}

// Guards against a quarantine of parts that ran beside the one that crashes endpoints.
#[test]
fn crashes_that_another_part_explains_do_not_count() {
    let (mut quarantine, now) = crashed(5, &["b"]);
    for endpoint in 1..=4 {
        quarantine.record_crash(Millis(now), &parts(&["c"]), endpoint);
    }
    assert_eq!(quarantined(&mut quarantine, now + 1_000), [part("b")]);
    for endpoint in 11..=13 {
        let now = now + u64::from(endpoint) * CRASH_INTERVAL_MS;
        quarantine.record_crash(Millis(now), &parts(&["c"]), endpoint);
    }
    let both = quarantined(&mut quarantine, now + 10_000);
    assert_eq!(both, [part("b"), part("c")]);
}

// Guards against a quarantine of the sound part of a route that runs beside two others.
#[test]
fn a_sound_part_is_not_blamed_for_crashes_that_several_parts_explain() {
    let mut quarantine = PartQuarantine::default();
    quarantine.record_sound(Millis(0), &parts(&["a"]));
    for endpoint in 1..=6 {
        let now = Millis(CRASH_INTERVAL_MS * u64::from(endpoint));
        let poisoned = if endpoint <= 3 { "b" } else { "c" };
        quarantine.record_crash(now, &parts(&["a"]), endpoint);
        quarantine.record_crash(now, &parts(&[poisoned]), endpoint);
    }
    assert_eq!(quarantined(&mut quarantine, 4_000), [part("b"), part("c")]);
}

// Guards against a quarantine after connections that endpoints have reset.
#[test]
fn an_endpoint_that_responds_later_has_not_crashed() {
    let (mut quarantine, now) = crashed(3, &["b"]);
    quarantine.record_response(2, Millis(now + 1));
    assert!(quarantined(&mut quarantine, now + 1_000).is_empty());
    let rows = crashed(3, &["b"]).0.report_rows(Millis(now), None);
    quarantine.merge(Millis(now), &rows);
    assert!(quarantined(&mut quarantine, now + 2_000).is_empty());
}

// Guards against a quarantine after a rack of endpoints has failed.
#[test]
fn crashes_at_the_same_moment_count_as_one_for_parts_that_were_sound() {
    let mut quarantine = PartQuarantine::default();
    quarantine.record_sound(Millis(500), &parts(&["b"]));
    for endpoint in 1..=6 {
        quarantine.record_crash(Millis(1_000), &parts(&["b", "c"]), endpoint);
    }
    assert_eq!(quarantined(&mut quarantine, 2_000), [part("c")]);
    for endpoint in 11..=14 {
        let now = 1_000 + CRASH_INTERVAL_MS * u64::from(endpoint);
        quarantine.record_crash(Millis(now), &parts(&["b"]), endpoint);
    }
    assert_eq!(quarantined(&mut quarantine, 12_000), [part("b"), part("c")]);
}

#[test]
fn crashes_since_the_links_are_in_doubt_count_only_where_the_endpoint_is_gone() {
    let (mut quarantine, now) = crashed(3, &["b"]);
    let doubt = Some(Millis(now));
    quarantine.update(Millis(now + 1_000), doubt, |_| false);
    assert!(!quarantine.is_refused(&parts(&["b"]), 1));
    assert_eq!(quarantined(&mut quarantine, now + 2_000), [part("b")]);
    quarantine.links_lost(Millis(now));
    assert!(quarantined(&mut quarantine, now + 3_000).is_empty());
    quarantine.update(Millis(now + 4_000), doubt, |endpoint| endpoint == 3);
    assert!(quarantine.is_refused(&parts(&["b"]), 1));
}

// Guards against instances that each know of too few crashes.
#[test]
fn reports_join_what_several_instances_observed() {
    let now = Millis(10_000);
    let observed = |endpoint, at| {
        let mut quarantine = PartQuarantine::default();
        quarantine.record_crash(Millis(at), &parts(&["a", "b"]), endpoint);
        quarantine.report_rows(now, None)
    };
    let mut quarantine = PartQuarantine::default();
    for (endpoint, at) in [(1, 7_000), (2, 8_000), (3, 9_000)] {
        quarantine.merge(now, &observed(endpoint, at));
        quarantine.merge(now, &observed(endpoint, at));
    }
    let mut clearing = PartQuarantine::default();
    clearing.merge(now, &observed(1, 7_000));
    clearing.record_sound(Millis(9_500), &parts(&["a"]));
    quarantine.merge(now, &clearing.report_rows(now, None));
    assert_eq!(quarantined(&mut quarantine, 10_500), [part("b")]);
}

// Guards against a part that stays in quarantine although endpoints bear it.
#[test]
fn one_request_at_a_time_is_tried_with_a_quarantined_part() {
    let (mut quarantine, crashed_at) = crashed(4, &["b"]);
    assert_eq!(
        quarantined(&mut quarantine, crashed_at + 1_000),
        [part("b")]
    );
    let early = Millis(crashed_at + 59_000);
    assert!(!quarantine.try_start_trial(early, part("b"), 1));
    let due = Millis(crashed_at + 60_000);
    assert!(quarantine.try_start_trial(due, part("b"), 1));
    assert!(!quarantine.try_start_trial(due, part("b"), 2));
    assert!(!quarantine.is_refused(&parts(&["b"]), 1));
    assert!(quarantine.is_refused(&parts(&["b"]), 2));

    quarantine.record_crash(due, &parts(&["b"]), 9);
    assert!(quarantine.is_refused(&parts(&["b"]), 1));
    let later = due + Millis(119_000);
    assert!(!quarantine.try_start_trial(later, part("b"), 3));
    let due = due + Millis(120_000);
    assert!(quarantine.try_start_trial(due, part("b"), 3));
    quarantine.record_sound(due, &parts(&["b"]));
    assert!(quarantined(&mut quarantine, due.0 + 1_000).is_empty());
}

#[test]
fn the_number_of_parts_kept_and_reported_is_bounded() {
    let (mut quarantine, now) = crashed(3, &["b"]);
    for number in 0..2_000 {
        let id = format!("{:x}", 0x1000 + number);
        quarantine.record_crash(Millis(now), &parts(&[&id]), 7);
    }
    let rows = quarantine.report_rows(Millis(now), None);
    assert_eq!(rows.len(), 16);
    assert_eq!(rows[0].part, part("b"));
    assert_eq!(quarantined(&mut quarantine, now + 1_000), [part("b")]);
}

// Guards against a quarantine, after many endpoints have failed at once, at instances that have seen no
// response with a part which others have completed.
#[test]
fn peers_learn_that_a_part_was_sound_before_it_ran_beside_crashes() {
    let crash_all = |quarantine: &mut PartQuarantine| {
        for endpoint in 1..=4 {
            quarantine.record_crash(Millis(1_000), &parts(&["b"]), endpoint);
        }
    };
    let mut peer = PartQuarantine::default();
    peer.record_sound(Millis(500), &parts(&["b"]));
    crash_all(&mut peer);
    let mut quarantine = PartQuarantine::default();
    crash_all(&mut quarantine);
    quarantine.merge(Millis(1_100), &peer.report_rows(Millis(1_100), None));
    assert!(quarantined(&mut quarantine, 2_000).is_empty());
}

// Guards against an old response that clears later crashes, or ends a trial, as peers report it again
// and again, a little later each time.
#[test]
fn a_response_that_peers_report_again_changes_nothing() {
    let mut one = PartQuarantine::default();
    let mut other = PartQuarantine::default();
    one.record_sound(Millis(500), &parts(&["b"]));
    for endpoint in 1..=6 {
        let now = 500 + CRASH_INTERVAL_MS * u64::from(endpoint);
        one.record_crash(Millis(now), &parts(&["b"]), endpoint);
    }
    assert_eq!(quarantined(&mut one, 5_000), [part("b")]);
    assert!(one.try_start_trial(Millis(20_000), part("b"), 7));
    for number in 0..100 {
        // Each report takes 10 ms.
        let now = 20_000 + 20 * number;
        other.merge(Millis(now + 10), &one.report_rows(Millis(now), None));
        one.merge(Millis(now + 20), &other.report_rows(Millis(now + 10), None));
    }
    assert_eq!(quarantined(&mut one, 22_100), [part("b")]);
    assert!(!one.is_refused(&parts(&["b"]), 7));
    assert!(one.is_refused(&parts(&["b"]), 8));
}

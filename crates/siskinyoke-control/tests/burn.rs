//! The burn report: windows, what is left by daemons that are gone, and bounds.

mod usage_fakes;

use std::collections::BTreeMap;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use usage_fakes::Mode;
use usage_fakes::Service;

use siskinyoke_base::Incarnation;
use siskinyoke_base::InstanceId;
use siskinyoke_base::Millis;
use siskinyoke_control::Action;
use siskinyoke_control::Context;
use siskinyoke_control::Controller;
use siskinyoke_control::Outbox;
use siskinyoke_control::Sender;
use siskinyoke_control::burn::Burn;
use siskinyoke_control::burn::BurnState;
use siskinyoke_control::burn::Ended;
use siskinyoke_control::burn::LONG;
use siskinyoke_control::burn::Outcome;
use siskinyoke_control::burn::Report;
use siskinyoke_control::burn::SNAPSHOTS;
use siskinyoke_control::burn::Slot;
use siskinyoke_control::burn::Snapshot;
use siskinyoke_control::burn::Target;

fn burn(start: u64) -> Burn {
    let me = Sender {
        instance: InstanceId::new(&format!("entry-{start}")),
        incarnation: Incarnation(start),
    };
    let mut burn = Burn::new(me, Slot(100));
    burn.set_target(Target {
        revision: start,
        preset: "ordinary".to_owned(),
        objectives: BTreeMap::from([("marking".into(), 0.99)]),
    });
    burn
}

fn count(burn: &mut Burn, requests: u64, outcome: Outcome) {
    let ended = Ended {
        tier: &"marking".into(),
        organisation: &"muscat-girls".into(),
        endpoint: Some(&"engine-3".into()),
    };
    (0..requests).for_each(|_| burn.count(ended, outcome));
}

/// Runs a daemon against the service until `until`.
fn run(burn: &mut Burn, service: &mut Service, from: u64, until: u64) {
    let mut out = Outbox::default();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for secs in from..until {
        let now = Millis::from_secs(secs);
        let due = now >= burn.next();
        let mut cx = |out: &mut Outbox, act: &mut dyn FnMut(&mut Context<'_>)| {
            let rng = &mut rng;
            act(&mut Context { now, out, rng });
        };
        if due {
            cx(&mut out, &mut |cx| burn.tick(cx));
        }
        while let Some(Action::Platform { op, request }) = out.take().pop() {
            let reply = service.call(now, &request);
            cx(&mut out, &mut |cx| assert!(burn.reply(cx, op, &reply)));
        }
    }
}

/// A moment of refusals is followed by an hour of good answers, and an hour of good answers by a
/// moment of refusals. Neither may ring the alarm that an hour of refusals must ring.
#[test]
fn both_windows_must_burn() {
    let state = |slots: [u64; 12]| {
        let mut burn = burn(1);
        assert_eq!(slots.len() as u64, LONG);
        for (slot, refused) in slots.into_iter().enumerate() {
            burn.set_slot(Slot(100 + slot as u64));
            count(&mut burn, refused, Outcome::Refused);
            count(&mut burn, 100 - refused, Outcome::Within);
        }
        Report::new(&[burn.snapshot()], &[], &[]).lines[0].clone()
    };
    let lasting = state([20; 12]);
    assert_eq!(lasting.state, BurnState::Fast);
    assert!(
        (lasting.long.burn - 20.0).abs() < 1e-9,
        "{}",
        lasting.long.burn
    );
    assert_eq!(lasting.endpoints[&"engine-3".into()].refused, 240);
    assert_eq!(lasting.instances[&"entry-1".into()].refused, 240);
    assert_eq!(state([2; 12]).state, BurnState::Slow);
    assert_eq!(state([0; 12]).state, BurnState::Met);
    let mut past = [0; 12];
    past[0] = 90;
    assert_eq!(state(past).state, BurnState::Over);
    let mut sudden = [0; 12];
    sudden[11] = 40;
    assert_eq!(state(sudden).state, BurnState::Slow);
}

/// A daemon is replaced after a bad quarter of an hour, and the report shows a good one. Another
/// that still answers has a copy in the service as well, and counts twice.
#[test]
fn counts_outlive_the_daemon_and_are_added_once() {
    let mut service = Service::default();
    let (mut gone, mut alive) = (burn(1), burn(2));
    count(&mut alive, 5, Outcome::Within);
    service.mode = Mode::DeafToWrites;
    run(&mut gone, &mut service, 0, 301);
    count(&mut gone, 7, Outcome::Late);
    service.mode = Mode::Up;
    run(&mut gone, &mut service, 301, 1_000);
    run(&mut alive, &mut service, 0, 1_000);
    count(&mut alive, 1, Outcome::Within);
    let kept = Snapshot::read(&service.list(SNAPSHOTS));
    assert_eq!(kept.len(), 2);
    let unreached = [InstanceId::new("entry-1"), InstanceId::new("entry-9")];
    let report = Report::new(&[alive.snapshot()], &kept, &unreached);
    let long = &report.lines[0].long;
    assert_eq!((long.tally.late, long.tally.within), (7, 6));
    assert_eq!(report.unreached.len(), 2);
    assert!(report.kept.contains(&InstanceId::new("entry-1")));
    assert!(report.reached.contains(&InstanceId::new("entry-2")));
    // An outage outlasts the lease; the copy is there again when the service is.
    service.mode = Mode::Down;
    run(&mut alive, &mut service, 1_000, 9_000);
    service.mode = Mode::Up;
    run(&mut alive, &mut service, 9_000, 10_000);
    assert_eq!(Snapshot::read(&service.list(SNAPSHOTS)).len(), 1);
}

/// Thousands of organisations fail on many endpoints within minutes. Each has a row of its own,
/// until the daemon is out of memory and its snapshot is too large to be kept.
#[test]
fn rows_are_bounded_and_nothing_is_left_out() {
    let mut burn = burn(1);
    for slot in 0..20 {
        burn.set_slot(Slot(100 + slot));
        for n in 0..5_000 {
            let ended = Ended {
                tier: &"marking".into(),
                organisation: &format!("school-{n}").as_str().into(),
                endpoint: Some(&format!("engine-{}", n % 600).as_str().into()),
            };
            burn.count(ended, Outcome::Refused);
        }
    }
    let snapshot = burn.snapshot();
    assert!(snapshot.rows.len() <= 2_049 * 12, "{}", snapshot.rows.len());
    let report = Report::new(std::slice::from_ref(&snapshot), &[], &[]);
    let refused: u64 = report
        .lines
        .iter()
        .map(|line| line.long.tally.refused)
        .sum();
    assert_eq!(refused, 12 * 5_000);
    let bytes = snapshot.encode(200 * 1024);
    assert!(bytes.len() <= 200 * 1024);
    println!("rows: {}, bytes kept: {}", snapshot.rows.len(), bytes.len());
    println!("bytes whole: {}", snapshot.encode(usize::MAX).len());
}

//! Random histories: what must hold whatever the order of events.

mod bench;

use arbtest::arbitrary::Result;
use arbtest::arbitrary::Unstructured;
use bench::Bench;
use bench::preset;
use bench::secs;
use bench::work;
use rand::RngCore;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use siskinyoke_base::CallClass;
use siskinyoke_base::Code;
use siskinyoke_base::Millis;
use siskinyoke_policy::Finish;
use siskinyoke_policy::Scheduler;
use siskinyoke_policy::Work;

/// The bound of the queue, apart from protected work beyond it.
const QUEUE: u32 = 6;

/// Histories tried; each of the guards below is found missing within the first fifty.
const HISTORIES: u64 = 60;

/// Codes by which work is shed for load; others tell of a failure after a dispatch.
const SHED: [Code; 5] = [
    Code::Overloaded,
    Code::Shed,
    Code::Late,
    Code::OverAllowance,
    Code::NoEndpoint,
];

fn any_work(u: &mut Unstructured<'_>, id: u64, now: Millis) -> Result<Work> {
    let rank = u.int_in_range(0..=2)?;
    let classes = [
        CallClass::Idempotent,
        CallClass::AtMostOnce,
        CallClass::NonIdempotent,
    ];
    Ok(Work {
        class: *u.choose(&classes)?,
        prompt: u.int_in_range(1..=2000)?,
        output: u.int_in_range(1..=300)?,
        stream: u.arbitrary()?,
        apart: u.ratio(1, 10)?,
        ..work(id, rank, now, Millis(u.int_in_range(100..=8000)?))
    })
}

fn step(u: &mut Unstructured<'_>, bench: &mut Bench, id: u64) -> Result<()> {
    match u.int_in_range(0..=9)? {
        0..=4 => bench.send(any_work(u, id, bench.now)?),
        5 | 6 => bench.run_until(bench.now + Millis(u.int_in_range(10..=1500)?)),
        7 => {
            let rank = *u.choose(&[None, Some(1), Some(2)])?;
            bench.policy.set_threshold(bench.now, rank);
        }
        8 => {
            let until = bench.now + Millis(u.int_in_range(0..=1000)?);
            bench.policy.allow_shedding(bench.now, 0, until);
        }
        _ => {
            let mut started = bench.starts.iter().map(|start| start.1);
            if let Some(id) = started.rfind(|id| bench.is_running(*id)) {
                bench.finish(id, Finish::Broken);
                let again = bench.works[&id].clone();
                bench.send(again);
            }
        }
    }
    Ok(())
}

fn check(bench: &Bench, seen: usize) {
    for id in &bench.cancelled {
        assert!(
            bench.works[id].repeatable(),
            "{id:?} was cancelled and may not run again"
        );
    }
    for id in bench
        .works
        .keys()
        .filter(|id| !bench.works[id].repeatable())
    {
        assert!(bench.runs(id.0) <= 1, "{id:?} was dispatched twice");
    }
    let refused = bench.refusals.len() > seen;
    let last = bench.refusals.iter().max_by_key(|(_, refusal)| refusal.0);
    if let Some((id, refusal)) = last
        && refused
        && refusal.0 == bench.now
        && bench.works[id].protected
        && SHED.contains(&refusal.1)
    {
        assert_eq!(
            bench.policy.serving(1),
            0,
            "{id:?} was shed while lower work ran"
        );
    }
    let waiting = bench.policy.waiting();
    let lower: u32 = waiting.iter().skip(1).sum();
    assert!(lower <= QUEUE, "{lower} lower requests wait");
}

#[test]
fn promises_hold_in_any_order() {
    // Arrivals, failures, thresholds and allowances to shed come in any order. Whatever the order,
    // at-most-once work is dispatched once and never cancelled, protected work is not shed while
    // lower work runs here, the queue is bounded, and all that was let in ends in the end.
    for seed in 0..HISTORIES {
        let mut bytes = [0; 4096];
        ChaCha8Rng::seed_from_u64(seed).fill_bytes(&mut bytes);
        history(&mut Unstructured::new(&bytes)).expect("4096 bytes are enough");
    }
}

fn history(u: &mut Unstructured<'_>) -> Result<()> {
    let mut bench = Bench::new(&[("a", 2), ("b", 3)]);
    bench.policy.set_preset(Millis::ZERO, &preset(QUEUE, 0.5));
    for id in 0..40 {
        let seen = bench.refusals.len();
        step(u, &mut bench, id)?;
        check(&bench, seen);
    }
    bench.policy.set_threshold(bench.now, None);
    let end = bench.now + secs(120.0);
    bench.run_until(end);
    let waiting: u32 = bench.policy.waiting().iter().sum();
    assert_eq!(waiting, 0, "work waits for ever");
    for id in bench.works.keys() {
        let ended = bench.done.contains_key(id) || bench.refusals.contains_key(id);
        assert!(ended, "{id:?} has no end");
    }
    Ok(())
}

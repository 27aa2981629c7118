//! Protected work, at-most-once work and the admission threshold.

mod bench;

use bench::Bench;
use bench::preset;
use bench::secs;
use bench::work;

use siskinyoke_base::CallClass;
use siskinyoke_base::Code;
use siskinyoke_base::Millis;
use siskinyoke_policy::Scheduler;
use siskinyoke_policy::Work;
use siskinyoke_policy::WorkId;

fn long(id: u64, rank: u8, now: Millis, class: CallClass) -> Work {
    Work {
        class,
        output: 1000,
        ..work(id, rank, now, secs(60.0))
    }
}

#[test]
fn protected_work_evicts_what_waits() {
    // The queue is full of deferrable work when marking arrives. Refusing the marking would shed
    // it while lower work is about to be served.
    let mut bench = Bench::new(&[("a", 1)]);
    bench.policy.set_preset(Millis::ZERO, &preset(4, 0.5));
    for id in 0..5 {
        bench.send(long(id, 2, bench.now, CallClass::AtMostOnce));
    }
    for id in 10..16 {
        bench.send(long(id, 0, bench.now, CallClass::Idempotent));
    }
    let refused: Vec<u64> = bench.refusals.keys().map(|id| id.0).collect();
    assert_eq!(refused, [1, 2, 3, 4]);
    assert!(
        bench
            .refusals
            .values()
            .all(|refusal| refusal.1 == Code::Shed)
    );
    assert_eq!(bench.policy.waiting()[0], 6);
}

#[test]
fn protected_work_cancels_the_least_prefill() {
    // Every slot is taken by lower work that may run again. Without a cancel the marking misses
    // its need; with any other victim more of the prompts is thrown away.
    let mut bench = Bench::new(&[("a", 3)]);
    for (id, prompt) in [(0, 3000), (1, 500), (2, 2000)] {
        let lower = Work {
            prompt,
            ..long(id, 2, bench.now, CallClass::Idempotent)
        };
        bench.send(lower);
    }
    bench.run_until(secs(4.0));
    bench.send(work(10, 0, bench.now, secs(2.0)));
    bench.run_until(secs(7.0));
    assert_eq!(bench.cancelled, [WorkId(1)]);
    assert!(
        bench.useful(10),
        "the marking missed its need: {:?}",
        bench.starts
    );
}

#[test]
fn at_most_once_work_is_never_cancelled() {
    // Every slot is taken by a pupil's paragraph, which may reach an endpoint once: a cancelled
    // one could not be run again, and its answer would be lost. The marking waits and is pressed.
    let mut bench = Bench::new(&[("a", 2)]);
    for id in 0..2 {
        bench.send(long(id, 1, bench.now, CallClass::AtMostOnce));
    }
    bench.send(work(10, 0, bench.now, secs(2.0)));
    bench.run_until(secs(3.0));
    assert_eq!(bench.cancelled, []);
    assert_eq!(bench.policy.pressure(bench.now), Some(0));
    assert!(
        bench.refusals.is_empty(),
        "the marking was shed: {:?}",
        bench.refusals
    );
    bench.run_until(secs(30.0));
    assert!(
        bench.done.contains_key(&WorkId(10)),
        "the marking is owed still"
    );
}

#[test]
fn protected_work_is_shed_only_when_nothing_lower_is_served() {
    // A peer's word that nothing lower is served allows shedding, but it is as old as the round
    // that gave it: a paragraph is still running here. Shedding the marking on that word alone
    // would break the rule in sight of the operators.
    let mut bench = Bench::new(&[("a", 1)]);
    bench.send(long(0, 1, bench.now, CallClass::AtMostOnce));
    bench.send(work(10, 0, bench.now, secs(2.0)));
    bench.run_until(secs(3.0));
    bench.policy.allow_shedding(bench.now, 0, secs(5.0));
    bench.run_until(secs(4.5));
    assert!(
        bench.refusals.is_empty(),
        "shed while lower work ran: {:?}",
        bench.refusals
    );
    bench.run_until(secs(30.0));

    let mut bench = Bench::new(&[("a", 1)]);
    bench.send(long(0, 0, bench.now, CallClass::Idempotent));
    bench.send(work(10, 0, bench.now, secs(2.0)));
    bench.run_until(secs(3.0));
    assert!(
        bench.refusals.is_empty(),
        "shed without the word: {:?}",
        bench.refusals
    );
    bench.policy.allow_shedding(bench.now, 0, secs(5.0));
    bench.run_until(secs(3.1));
    assert_eq!(bench.refusals[&WorkId(10)].1, Code::Late);
}

#[test]
fn threshold_keeps_lower_work_out() {
    // A peer's marking is under pressure. What waits here below it is evicted, what arrives is
    // refused, and what runs is counted and left to finish; once lifted all is as before.
    let mut bench = Bench::new(&[("a", 1)]);
    bench.send(long(0, 1, bench.now, CallClass::AtMostOnce));
    bench.send(work(1, 1, bench.now, secs(30.0)));
    bench.policy.set_threshold(bench.now, Some(1));
    bench.send(work(2, 2, bench.now, secs(30.0)));
    bench.poll();
    assert_eq!(bench.refusals[&WorkId(1)].1, Code::Shed);
    assert_eq!(bench.refusals[&WorkId(2)].1, Code::Shed);
    assert_eq!(bench.policy.serving(1), 1);
    assert_eq!(bench.policy.serving(2), 0);
    bench.run_until(secs(12.0));
    assert_eq!(bench.policy.serving(1), 0);
    bench.send(work(3, 0, bench.now, secs(5.0)));
    assert_eq!(bench.runs(3), 1);
    bench.policy.set_threshold(bench.now, None);
    bench.send(work(4, 2, bench.now, secs(30.0)));
    bench.run_until(secs(20.0));
    assert!(bench.useful(4));
}

#[test]
fn protected_work_behind_the_threshold_waits() {
    // Two tiers are protected and the first is under pressure. Evicting the second while a third
    // still runs would shed protected work before lower work.
    let mut bench = Bench::new(&[("a", 1)]);
    bench.send(long(0, 2, bench.now, CallClass::AtMostOnce));
    let second = Work {
        protected: true,
        ..work(1, 1, bench.now, secs(30.0))
    };
    bench.send(second);
    bench.policy.set_threshold(bench.now, Some(1));
    bench.run_until(secs(12.0));
    assert!(bench.refusals.is_empty(), "evicted: {:?}", bench.refusals);
    assert_eq!(bench.runs(1), 0);
    bench.policy.set_threshold(bench.now, None);
    bench.run_until(secs(15.0));
    assert!(bench.useful(1));
}

#[test]
fn preset_closes_a_tier_step_by_step() {
    // Operators close the last tier at the peak. Closed at once, a queue of seconds is evicted and
    // all of the tier's callers come back together.
    let mut bench = Bench::new(&[("a", 4)]);
    for id in 0..10 {
        bench.send(work(id, 2, bench.now, secs(20.0)));
    }
    let mut closing = preset(1000, 0.5);
    closing.tiers[2].open = false;
    bench.policy.set_preset(bench.now, &closing);
    bench.run_until(secs(5.0));
    let mut let_in = [0, 0];
    for (half, count) in let_in.iter_mut().enumerate() {
        for id in 0..100 {
            let id = 100 + id + 1000 * half as u64;
            bench.send(work(id, 2, bench.now, secs(200.0)));
            *count += usize::from(!bench.refusals.contains_key(&WorkId(id)));
        }
        bench.run_until(secs(12.0));
    }
    assert!(
        (30..70).contains(&let_in[0]),
        "half-way {} of 100 were let in",
        let_in[0]
    );
    assert_eq!(let_in[1], 0);
    assert!(
        (0..10).all(|id| bench.useful(id)),
        "what waited was stranded"
    );
}

//! A burst and saturation: who is refused, and how soon.

mod bench;

use bench::Bench;
use bench::secs;
use bench::work;

use siskinyoke_base::CallClass;
use siskinyoke_base::Code;
use siskinyoke_base::Millis;
use siskinyoke_policy::Scheduler;
use siskinyoke_policy::Work;

fn query(id: u64, now: Millis) -> Work {
    Work {
        class: CallClass::AtMostOnce,
        output: 40,
        ..work(id, 1, now, secs(2.0))
    }
}

#[test]
fn burst_is_refused_at_once() {
    // Two hundred paragraphs arrive in one moment where thirty can be answered in time. Without
    // admission by need all of them wait for two seconds and the callers learn last of all that
    // they should have come back later.
    let mut bench = Bench::new(&[("one", 8)]);
    for id in 0..200 {
        bench.send(query(id, bench.now));
    }
    bench.run_until(secs(10.0));
    let late = bench
        .refusals
        .values()
        .filter(|refusal| refusal.0 > secs(0.2));
    assert_eq!(
        late.count(),
        0,
        "refusals came later than a tenth of the need"
    );
    assert!(
        bench
            .refusals
            .values()
            .all(|refusal| refusal.1 == Code::Overloaded)
    );
    let answered = (0..200).filter(|id| bench.useful(*id)).count();
    assert!(answered >= 24, "only {answered} were answered in time");
    assert_eq!(answered + bench.refusals.len(), 200);
}

#[test]
fn one_moment_fills_an_idle_endpoint() {
    // Three questions arrive at an idle daemon before it looks at any. Counted as waiting behind
    // one another with nothing on the endpoint that could end, the second and the third would be
    // refused, although five slots are free.
    let mut bench = Bench::new(&[("one", 5)]);
    for id in 0..3 {
        let query = query(id, bench.now);
        bench.works.insert(query.id, query.clone());
        bench.policy.arrive(bench.now, query);
    }
    bench.run_until(secs(2.0));
    assert!(bench.refusals.is_empty(), "refused: {:?}", bench.refusals);
    assert!((0..3).all(|id| bench.useful(id)));
}

#[test]
fn refusals_say_when_to_come_back() {
    // Thirty callers send at once where seven can be answered in time; the others come back when
    // they were told to. Told one time alike, they meet again and most are refused once more.
    let mut bench = Bench::new(&[("one", 2)]);
    for id in 0..30 {
        bench.send(query(id, bench.now));
    }
    let mut back: Vec<(Millis, u64)> = bench
        .refusals
        .iter()
        .map(|(id, refusal)| (refusal.0 + refusal.2, id.0 + 100))
        .collect();
    back.sort();
    for (at, id) in &back {
        bench.run_until(*at);
        bench.send(query(*id, bench.now));
    }
    bench.run_until(bench.now + secs(5.0));
    let answered = back.iter().filter(|(_, id)| bench.useful(*id)).count();
    let all = back.len();
    assert!(all >= 15, "only {all} were refused at first");
    assert!(
        answered * 100 >= all * 80,
        "{answered} of {all} were answered when they came back"
    );
}

#[test]
fn saturation_keeps_the_top_tier_whole() {
    // Three times the load that the endpoint can carry, a sixth of it marking. Without tiers and
    // refusals every tier misses its need alike.
    let mut bench = Bench::new(&[("one", 8)]);
    let mut id = 0;
    for step in 0..100 {
        for rank in [0, 1, 1, 2, 2, 2] {
            let need = secs(if rank == 1 { 2.0 } else { 4.0 });
            bench.send(work(id, rank, bench.now, need));
            id += 1;
        }
        bench.run_until(secs(0.25 * f64::from(step + 1)));
    }
    bench.run_until(secs(40.0));
    let marking = (0..id).step_by(6);
    let lost: Vec<u64> = marking.filter(|id| !bench.useful(*id)).collect();
    assert!(
        lost.is_empty(),
        "marking was not answered in time: {lost:?}"
    );
    let soon = bench.refusals.iter().filter(|(id, refusal)| {
        let work = &bench.works[id];
        let need = work.deadline.since(work.arrived);
        refusal.0.since(work.arrived).0 * 10 <= need.0
    });
    let (soon, all) = (soon.count(), bench.refusals.len());
    assert!(
        soon * 100 >= all * 95,
        "only {soon} of {all} refusals came in a tenth of the need"
    );
}

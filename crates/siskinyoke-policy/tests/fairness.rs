//! A few organisations or prefixes that take most of the load.

mod bench;

use bench::Bench;
use bench::secs;
use bench::work;

use siskinyoke_base::Code;
use siskinyoke_base::Millis;
use siskinyoke_base::OrganisationId;
use siskinyoke_policy::Scheduler;
use siskinyoke_policy::Work;

fn of(organisation: &str, work: Work) -> Work {
    Work {
        organisation: OrganisationId::new(organisation),
        ..work
    }
}

#[test]
fn large_organisation_cannot_starve_a_small_one() {
    // One organisation sends sixty requests, then a small one sends ten. First come first served
    // would answer the small one last, after its need.
    let mut bench = Bench::new(&[("one", 4)]);
    for id in 0..60 {
        bench.send(of("large", work(id, 1, bench.now, secs(14.0))));
    }
    bench.run_until(Millis(10));
    for id in 100..110 {
        bench.send(of("small", work(id, 1, bench.now, secs(14.0))));
    }
    bench.run_until(secs(30.0));
    let lost: Vec<u64> = (100..110).filter(|id| !bench.useful(*id)).collect();
    assert!(lost.is_empty(), "the small organisation lost {lost:?}");
    let ends = (100..110)
        .map(|id| bench.done[&siskinyoke_policy::WorkId(id)])
        .max();
    assert!(
        ends <= Some(secs(8.0)),
        "the small organisation's last answer came at {ends:?}"
    );
}

#[test]
fn quiet_organisation_saves_up_no_turns() {
    // An organisation was quiet for a minute, then sends twenty requests. If its counter had
    // stayed low it would take every slot until the other's sixty are made up for.
    let mut bench = Bench::new(&[("one", 2)]);
    let mut id = 0;
    while bench.now < secs(60.0) {
        bench.send(of("steady", work(id, 1, bench.now, secs(30.0))));
        id += 1;
        bench.run_until(bench.now + secs(0.5));
    }
    let from = bench.now;
    for other in 1000..1020 {
        bench.send(of("quiet", work(other, 1, bench.now, secs(60.0))));
    }
    for other in 2000..2020 {
        bench.send(of("steady", work(other, 1, bench.now, secs(60.0))));
    }
    bench.run_until(from + secs(11.0));
    let starts = bench.starts.iter().filter(|start| start.0 >= from);
    let quiet = starts
        .filter(|start| (1000..1020).contains(&start.1.0))
        .count();
    assert!(
        (7..=13).contains(&quiet),
        "the quiet organisation got {quiet} of 20 turns"
    );
}

#[test]
fn allowance_ends_in_a_refusal_with_a_time() {
    // A team sends three times the tokens that it has paid for. Its surplus is refused at once
    // and says when there is allowance again; another team's work is not touched.
    let mut bench = Bench::new(&[("one", 64)]);
    bench
        .policy
        .set_organisation(&OrganisationId::new("capped"), 1, Some(200));
    for id in 0..20 {
        bench.send(of("capped", work(id, 1, bench.now, secs(20.0))));
        bench.send(of("free", work(100 + id, 1, bench.now, secs(20.0))));
    }
    bench.run_until(secs(10.0));
    assert_eq!(bench.refusals.len(), 16);
    let over = |refusal: &(Millis, Code, Millis)| refusal.1 == Code::OverAllowance;
    assert!(bench.refusals.values().all(over));
    assert!(
        bench
            .refusals
            .values()
            .all(|refusal| refusal.2 >= Millis(200))
    );
    assert!((100..120).all(|id| bench.useful(id)));
}

#[test]
fn hot_prefix_stays_within_a_bound() {
    // Every prompt shares one prefix. Affinity without a bound would send all of them to the
    // endpoint that has it, while the other three idle.
    let mut bench = Bench::new(&[("a", 32), ("b", 32), ("c", 32), ("d", 32)]);
    let hot = |id, now| Work {
        prompt: 3200,
        prefix: (0..50).collect(),
        ..work(id, 1, now, secs(30.0))
    };
    bench.send(hot(100, bench.now));
    bench.run_until(secs(10.0));
    for id in 0..24 {
        bench.send(hot(id, bench.now));
    }
    let most = ["a", "b", "c", "d"].map(|id| bench.starts_on(id, secs(10.0)));
    let most = most.into_iter().max().unwrap_or(0);
    assert!(most <= 12, "one endpoint got {most} of 24 requests");
}

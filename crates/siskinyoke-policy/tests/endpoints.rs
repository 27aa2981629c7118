//! Endpoints that turn slow, freeze or fail.

mod bench;

use bench::Bench;
use bench::secs;
use bench::work;

use siskinyoke_base::CallClass;
use siskinyoke_base::Millis;
use siskinyoke_policy::Finish;
use siskinyoke_policy::Scheduler;
use siskinyoke_policy::Work;
use siskinyoke_policy::WorkId;

/// Sends a request each tenth of a second until `end`; returns the next number.
fn send_until(bench: &mut Bench, mut id: u64, end: Millis) -> u64 {
    while bench.now < end {
        bench.send(work(id, 1, bench.now, secs(3.0)));
        id += 1;
        bench.run_until(bench.now + secs(0.1));
    }
    id
}

#[test]
fn slow_endpoint_is_eased_out_and_back_in() {
    // One of two endpoints turns eight times slower without saying so. Without learned speeds half
    // of the requests go on to it and wait; without forgetting it gets none after it is mended.
    let mut bench = Bench::new(&[("a", 200), ("b", 200)]);
    bench.slow("a", 8.0);
    let id = send_until(&mut bench, 0, secs(10.0));
    send_until(&mut bench, id, secs(20.0));
    let slow = bench.starts_on("a", secs(10.0));
    assert!(slow <= 5, "the slow endpoint got {slow} of 100 requests");
    bench.slow("a", 1.0);
    let id = send_until(&mut bench, 1000, secs(60.0));
    send_until(&mut bench, id, secs(70.0));
    let mended = bench.starts_on("a", secs(60.0));
    assert!(
        mended >= 25,
        "the mended endpoint got {mended} of 100 requests"
    );
}

#[test]
fn frozen_endpoint_loses_its_work_to_another() {
    // An endpoint accepts requests and never answers. Without a look at its silence its requests
    // wait until their needs have passed, and its slots look busy for ever.
    let mut bench = Bench::new(&[("a", 4), ("b", 16)]);
    bench.slow("a", f64::INFINITY);
    for id in 0..8 {
        bench.send(work(id, 1, bench.now, secs(6.0)));
    }
    bench.run_until(secs(20.0));
    let lost: Vec<u64> = (0..8).filter(|id| !bench.useful(*id)).collect();
    assert!(
        lost.is_empty(),
        "requests {lost:?} were lost on the frozen endpoint"
    );
}

#[test]
fn at_most_once_work_is_left_on_a_frozen_endpoint() {
    // The same with work that may reach an endpoint once: whether it ran there is not known, so
    // it is neither cancelled nor started again.
    let mut bench = Bench::new(&[("a", 4)]);
    bench.slow("a", f64::INFINITY);
    let once = Work {
        class: CallClass::AtMostOnce,
        ..work(0, 1, bench.now, secs(6.0))
    };
    bench.send(once);
    bench.run_until(secs(20.0));
    assert_eq!(bench.cancelled, []);
    assert_eq!(bench.runs(0), 1);
}

#[test]
fn failing_endpoint_draws_no_more_work() {
    // An endpoint breaks each request at once, so its slots are always free. Without probation it
    // draws work at the speed at which it fails it.
    let mut bench = Bench::new(&[("a", 8), ("b", 8)]);
    let mut broken = 0;
    let mut id = 0;
    while bench.now < secs(10.0) {
        bench.send(work(id, 1, bench.now, secs(3.0)));
        if let Some((_, last, endpoint)) = bench.starts.last()
            && endpoint.as_str() == "a"
            && *last == WorkId(id)
        {
            broken += 1;
            bench.finish(WorkId(id), Finish::Broken);
        }
        id += 1;
        bench.run_until(bench.now + secs(0.1));
    }
    assert!(
        broken <= 10,
        "the failing endpoint got {broken} of {id} requests"
    );
}

#[test]
fn suspect_runs_apart_from_what_cannot_be_repeated() {
    // A request that may crash its endpoint must not take work down with it that cannot run again.
    let mut bench = Bench::new(&[("a", 4)]);
    let once = |id, now| Work {
        class: CallClass::NonIdempotent,
        ..work(id, 1, now, secs(20.0))
    };
    let suspect = |id, now| Work {
        apart: true,
        ..work(id, 1, now, secs(20.0))
    };
    bench.send(once(0, bench.now));
    bench.send(suspect(1, bench.now));
    bench.send(suspect(2, bench.now));
    bench.run_until(secs(0.5));
    assert_eq!((bench.runs(0), bench.runs(1), bench.runs(2)), (1, 0, 0));
    bench.run_until(secs(1.5));
    bench.send(once(3, bench.now));
    bench.run_until(secs(1.8));
    assert_eq!((bench.runs(1), bench.runs(2), bench.runs(3)), (1, 0, 0));
    bench.run_until(secs(12.0));
    assert!(
        (0..4).all(|id| bench.runs(id) == 1),
        "all run in the end: {:?}",
        bench.starts
    );
}

#[test]
fn shares_without_a_lease_stay_equal_parts() {
    // The allocator is away. Without a local share each of four daemons would fill all slots.
    let mut bench = Bench::new(&[("a", 8)]);
    bench.policy.set_instances(4);
    for id in 0..8 {
        bench.send(work(id, 1, bench.now, secs(30.0)));
    }
    assert_eq!(bench.starts.len(), 2);
    let resource = siskinyoke_base::message::Resource::Endpoint("a".into());
    bench
        .policy
        .grant(bench.now, &resource, 5, bench.now + secs(2.0));
    bench.poll();
    assert_eq!(bench.starts.len(), 5);
}

#[test]
fn first_request_waits_for_a_share() {
    // A daemon had no load, so its lease is for no slot when its first request comes. Nothing runs
    // there whose end could be waited for; taken as an endless wait, the request would be refused,
    // although the next round of leases brings a slot.
    let mut bench = Bench::new(&[("a", 8)]);
    let resource = siskinyoke_base::message::Resource::Endpoint("a".into());
    bench.policy.grant(bench.now, &resource, 0, secs(2.0));
    bench.send(work(0, 1, bench.now, secs(4.0)));
    assert!(bench.refusals.is_empty(), "refused: {:?}", bench.refusals);
    bench.run_until(secs(0.5));
    bench.policy.grant(bench.now, &resource, 2, secs(2.5));
    bench.run_until(secs(3.0));
    assert!(bench.useful(0));
}

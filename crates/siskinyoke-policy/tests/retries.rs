//! Work that comes back after it left its endpoint.

mod bench;

use bench::Bench;
use bench::secs;
use bench::work;

use siskinyoke_base::CallClass;
use siskinyoke_base::Code;
use siskinyoke_base::EndpointId;
use siskinyoke_base::Kind;
use siskinyoke_policy::Finish;
use siskinyoke_policy::Scheduler;
use siskinyoke_policy::Work;
use siskinyoke_policy::WorkId;

fn again(work: &Work, endpoint: &str) -> Work {
    Work {
        avoid: vec![EndpointId::new(endpoint)],
        ..work.clone()
    }
}

#[test]
fn broken_at_most_once_work_does_not_run_again() {
    // A booking's connection breaks after it was sent, and a careless caller of the policy hands
    // it in once more. A second dispatch would put two troupes in one room.
    let mut bench = Bench::new(&[("a", 4), ("b", 4)]);
    let booking = Work {
        class: CallClass::NonIdempotent,
        ..work(0, 1, bench.now, secs(20.0))
    };
    bench.send(booking.clone());
    let endpoint = bench.starts[0].2.clone();
    bench.finish(WorkId(0), Finish::Broken);
    bench.send(again(&booking, endpoint.as_str()));
    bench.run_until(secs(5.0));
    assert_eq!(bench.runs(0), 1);
    assert_eq!(bench.refusals[&WorkId(0)].1.kind(), Kind::Unknown);
}

#[test]
fn unreachable_endpoint_is_not_a_dispatch() {
    // The connection was refused, so nothing was sent: the booking may try another endpoint.
    let mut bench = Bench::new(&[("a", 4), ("b", 4)]);
    let booking = Work {
        class: CallClass::NonIdempotent,
        ..work(0, 1, bench.now, secs(20.0))
    };
    bench.send(booking.clone());
    let endpoint = bench.starts[0].2.clone();
    bench.finish(WorkId(0), Finish::Unreachable);
    bench.send(again(&booking, endpoint.as_str()));
    bench.run_until(secs(5.0));
    assert_eq!(bench.runs(0), 2);
    assert_ne!(bench.starts[0].2, bench.starts[1].2);
    assert!(bench.useful(0));
}

#[test]
fn retries_stay_within_their_budget() {
    // Every request breaks and comes back. Without a budget the retries double the load on the
    // endpoints that break under it.
    let mut bench = Bench::new(&[("a", 400), ("b", 400)]);
    let mut retried = 0;
    for id in 0..200 {
        let fresh = work(id, 1, bench.now, secs(20.0));
        bench.send(fresh.clone());
        bench.run_until(bench.now + secs(1.0));
        let Some((_, _, endpoint)) = bench.starts.last().cloned() else {
            continue;
        };
        if bench.runs(id) == 0 {
            continue;
        }
        bench.done.remove(&WorkId(id));
        bench.send(again(&fresh, endpoint.as_str()));
        retried += usize::from(!bench.refusals.contains_key(&WorkId(id)));
    }
    assert!(
        (20..=41).contains(&retried),
        "{retried} of 200 were tried again"
    );
}

#[test]
fn work_that_ran_in_part_is_not_called_not_run() {
    // Deferrable work was cancelled for marking and then has to be refused. Told "not run", its
    // caller would conclude that no endpoint ever saw it.
    let mut bench = Bench::new(&[("a", 1)]);
    let lower = Work {
        output: 1000,
        ..work(0, 2, bench.now, secs(4.0))
    };
    bench.send(lower);
    bench.run_until(secs(1.0));
    let marking = Work {
        output: 1000,
        ..work(1, 0, bench.now, secs(1.0))
    };
    bench.send(marking);
    bench.run_until(secs(15.0));
    assert_eq!(bench.cancelled, [WorkId(0)]);
    assert_eq!(bench.refusals[&WorkId(0)].1, Code::Cancelled);
    assert!(bench.policy.waiting().iter().all(|count| *count == 0));
}

//! Long work among short.

mod bench;

use bench::Bench;
use bench::secs;
use bench::work;

use siskinyoke_base::CallClass;
use siskinyoke_policy::Work;

#[test]
fn short_work_finds_room_beside_long_work() {
    // Ten short questions a second, and then fifty pieces of work that take ten seconds each. A
    // slot that is free for a moment goes to long work, and soon the short ones find none and
    // miss a need of six tenths of a second.
    let mut bench = Bench::new(&[("a", 16)]);
    let mut id = 0;
    let mut long = 10_000;
    while bench.now < secs(40.0) {
        let question = Work {
            class: CallClass::AtMostOnce,
            prompt: 50,
            output: 20,
            ..work(id, 1, bench.now, secs(0.6))
        };
        bench.send(question);
        id += 1;
        if bench.now >= secs(5.0) && long < 10_050 {
            let draft = Work {
                output: 1000,
                ..work(long, 2, bench.now, secs(120.0))
            };
            bench.send(draft);
            long += 1;
        }
        bench.run_until(bench.now + secs(0.1));
    }
    let useful = (0..id).filter(|id| bench.useful(*id)).count();
    assert!(
        useful * 100 >= usize::try_from(id).unwrap() * 95,
        "only {useful} of {id} in time"
    );
    let drafts = (10_000..10_050).filter(|id| bench.runs(*id) > 0).count();
    assert!(drafts >= 25, "only {drafts} drafts were begun beside them");
}

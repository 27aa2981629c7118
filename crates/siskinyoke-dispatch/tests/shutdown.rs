//! Which requests an instance that shuts down still sends to endpoints.

mod common;

use crate::common::completed;
use crate::common::core;
use crate::common::request;
use siskinyoke_base::Millis;
use siskinyoke_dispatch::Core;
use siskinyoke_dispatch::Decision;
use siskinyoke_dispatch::Outcome;
use siskinyoke_dispatch::Refusal;
use siskinyoke_dispatch::RefusalReason;
use siskinyoke_dispatch::RetryDenial;
use siskinyoke_dispatch::Shutdown;
use siskinyoke_dispatch::Ticket;

const SHUTDOWN: Shutdown = Shutdown {
    drain_end: Millis(2_500),
    end: Millis(7_000),
};

fn admit(core: &mut Core, now: u64) -> Result<Ticket, Refusal> {
    let now = Millis(now);
    let routed = core.route(now, request("/safe/x")).unwrap();
    core.admit(now, &routed, now.0)
}

fn start(core: &mut Core, now: u64) -> Ticket {
    admit(core, now).unwrap();
    match core.decide(Millis(now))[..] {
        [Decision::Start(ticket, _)] => ticket,
        ref decisions => panic!("{decisions:?}"),
    }
}

fn is_refused(result: &Result<Ticket, Refusal>) -> bool {
    let refusal = result.as_ref().err();
    refusal.is_some_and(|it| it.reason == RefusalReason::ShuttingDown)
}

// Records a response that took this long.
fn observe(core: &mut Core, total: u64) {
    let ticket = start(core, 0);
    let outcome = Outcome::Completed {
        first_latency: Millis(total),
        total: Millis(total),
        parts: 0,
        longest_pause: Millis::ZERO,
    };
    core.attempt_ended(Millis(1), ticket, outcome, false);
}

// Guards against the refusal of requests that callers send before they know of the shutdown.
#[test]
fn requests_are_taken_in_the_drain_period() {
    let mut core = core("i1", 10);
    core.begin_shutdown(SHUTDOWN);
    for now in [1, 1_000, 2_400] {
        let ticket = start(&mut core, now);
        core.attempt_ended(Millis(now + 50), ticket, completed(), false);
    }
}

// Guards against requests that are sent to an endpoint although they cannot be expected to end.
#[test]
fn a_request_that_would_outlast_the_instance_is_refused() {
    let mut unknown = core("i1", 10);
    unknown.begin_shutdown(SHUTDOWN);
    assert!(is_refused(&admit(&mut unknown, 2_600)));
    let mut slow = core("i2", 10);
    observe(&mut slow, 3_000);
    slow.begin_shutdown(SHUTDOWN);
    assert!(admit(&mut slow, 3_900).is_ok());
    assert!(is_refused(&admit(&mut slow, 4_100)));
    let mut fast = core("i3", 10);
    observe(&mut fast, 400);
    fast.begin_shutdown(SHUTDOWN);
    assert!(admit(&mut fast, 6_500).is_ok());
    assert!(is_refused(&admit(&mut fast, 6_700)));
}

// Guards against the refusal of requests whose callers wait no longer than the instance lives.
#[test]
fn a_request_with_a_deadline_before_the_end_is_taken() {
    let mut core = core("i1", 10);
    core.begin_shutdown(Shutdown {
        end: Millis(8_000),
        ..SHUTDOWN
    });
    assert!(admit(&mut core, 2_900).is_ok());
}

// Guards against waiting requests that get a slot when it is too late.
#[test]
fn a_waiting_request_is_refused_when_it_is_too_late_to_begin() {
    let mut core = core("i1", 1);
    let running = start(&mut core, 2_000);
    let waiting = admit(&mut core, 2_010).unwrap();
    core.begin_shutdown(SHUTDOWN);
    assert!(core.decide(Millis(2_020)).is_empty());
    core.attempt_ended(Millis(2_700), running, Outcome::Failed, false);
    let decisions = core.decide(Millis(2_700));
    let [Decision::Refuse(ticket, refusal)] = decisions[..] else {
        panic!("{decisions:?}");
    };
    assert_eq!(ticket, waiting);
    assert_eq!(refusal.reason, RefusalReason::ShuttingDown);
}

// Guards against retries that are cut without a response.
#[test]
fn a_request_is_not_retried_when_it_is_too_late() {
    let mut core = core("i1", 10);
    let first = start(&mut core, 2_000);
    let second = start(&mut core, 2_010);
    core.begin_shutdown(SHUTDOWN);
    let retry = core.end_attempt(Millis(2_100), first, Outcome::ConnectionLost, true);
    assert!(retry.is_ok());
    let retry = core.end_attempt(Millis(2_700), second, Outcome::ConnectionLost, true);
    assert_eq!(retry, Err(RetryDenial::ShuttingDown));
}

// Guards against streams that are cut sooner than the instance ends.
#[test]
fn a_stream_that_has_begun_goes_on_elsewhere() {
    let mut core = core("i1", 10);
    core.registry()
        .put(Millis(0), crate::common::endpoint("e2", 10));
    let ticket = start(&mut core, 2_000);
    core.first_part_received(Millis(2_100), ticket);
    core.begin_shutdown(SHUTDOWN);
    let retry = core.end_attempt(Millis(6_000), ticket, Outcome::ConnectionLost, true);
    assert!(retry.is_ok());
    let decisions = core.decide(Millis(6_000));
    assert!(
        matches!(decisions[..], [Decision::Start(..)]),
        "{decisions:?}"
    );
}

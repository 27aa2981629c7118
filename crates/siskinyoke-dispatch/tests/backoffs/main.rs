//! Endpoints that reject all requests for a while and request back-offs.
//!
//! `SEEDS=FROM..TO` replaces the default seeds.

#![expect(clippy::cast_precision_loss, reason = "small numbers of a test")]

#[path = "../common/mod.rs"]
mod common;
mod fleet;

use crate::common::core;
use crate::common::endpoint;
use crate::common::request;
use crate::common::seeds;
use crate::fleet::Fleet;
use siskinyoke_base::Millis;
use siskinyoke_dispatch::Core;
use siskinyoke_dispatch::Decision;
use siskinyoke_dispatch::Endpoint;
use siskinyoke_dispatch::Outcome;
use siskinyoke_dispatch::RefusalReason;
use siskinyoke_dispatch::Ticket;
use siskinyoke_dispatch::health::Health;
use siskinyoke_dispatch::requested_backoff::MAX_REQUESTED_BACKOFF;

/// Seeds and fleet sizes with which an endpoint got no requests any more after a back-off.
const UNUSED_ENDPOINT_SEEDS: [(u64, usize); 4] = [(73, 8), (98, 8), (187, 24), (203, 24)];

/// Seeds with which one instance refused callers before open endpoints, as a request that these had
/// rejected waited for others.
const REJECTED_REQUEST_SEEDS: [u64; 2] = [1014, 1055];

/// The part of the requests that endpoints could complete, which has to be completed.
const MIN_SERVED_RATIO: f64 = 0.85;

/// A seed whose faults leave room for fewer than 500 requests.
const REJECTED_SEED: u64 = 21;

fn admit(core: &mut Core, now: u64, path: &str) -> Result<Ticket, Millis> {
    let routed = core.route(Millis(now), request(path)).unwrap();
    let admitted = core.admit(Millis(now), &routed, now);
    admitted.map_err(|refusal| {
        assert_eq!(refusal.reason, RefusalReason::Overload);
        refusal.retry_after
    })
}

fn started(core: &mut Core, now: u64) -> Vec<Ticket> {
    let decisions = core.decide(Millis(now)).into_iter();
    let started = decisions.filter_map(|it| match it {
        Decision::Start(ticket, _) => Some(ticket),
        Decision::Refuse(..) => None,
    });
    started.collect()
}

// Guards against requests over borrowed slots, retries and queued requests that ignore a back-off,
// and against the whole load returning when it ends.
#[test]
fn fleets_keep_to_requested_backoffs() {
    for seed in seeds(0..3) {
        for size in [1, 8, 24] {
            check_backoffs(seed, size);
        }
    }
    for (seed, size) in UNUSED_ENDPOINT_SEEDS
        .into_iter()
        .chain([(REJECTED_SEED, 1)])
        .chain(REJECTED_REQUEST_SEEDS.map(|seed| (seed, 1)))
    {
        check_backoffs(seed, size);
    }
}

fn check_backoffs(seed: u64, size: usize) {
    let mut fleet = Fleet::new(seed, size);
    fleet.run(20_000);
    assert!(
        fleet.violations.is_empty(),
        "{size} instances, seed {seed}: {:#?}",
        fleet.violations
    );
    let wanted = fleet.servable * MIN_SERVED_RATIO;
    let wanted = wanted.max(if fleet.servable > 500.0 { 500.0 } else { 0.0 });
    assert!(
        fleet.served as f64 > wanted,
        "{size} instances, seed {seed}: {} of {:.0} served",
        fleet.served,
        fleet.servable
    );
}

#[test]
fn a_backoff_holds_until_its_end_and_then_for_all_but_one_request() {
    let mut core = core("a", 4);
    core.request_backoff(Millis(0), &endpoint("e1", 4), Millis(1_000));
    for _ in 0..2 {
        admit(&mut core, 900, "/stream/x").unwrap();
    }
    assert!(started(&mut core, 999).is_empty());
    let first = started(&mut core, 1_000);
    assert_eq!(first.len(), 1);
    assert!(started(&mut core, 1_010).is_empty());
    core.attempt_ended(Millis(1_200), first[0], common::completed(), false);
    assert_eq!(started(&mut core, 1_200).len(), 1);
    admit(&mut core, 1_210, "/stream/x").unwrap();
    assert_eq!(started(&mut core, 1_210).len(), 1);
}

// Guards against one request at a time for as long as a stream lasts.
#[test]
fn the_first_part_of_a_stream_shows_that_an_endpoint_accepts_requests_again() {
    let mut core = core("a", 4);
    for now in 0..3 {
        admit(&mut core, now, "/stream/x").unwrap();
    }
    core.request_backoff(Millis(3), &endpoint("e1", 4), Millis(100));
    let first = started(&mut core, 103);
    assert_eq!(first.len(), 1);
    core.first_part_received(Millis(150), first[0]);
    assert!(!started(&mut core, 150).is_empty());
}

#[test]
fn a_response_to_a_request_sent_before_the_backoff_does_not_end_it() {
    let mut core = core("a", 4);
    let early = admit(&mut core, 0, "/stream/x").unwrap();
    assert_eq!(started(&mut core, 0), [early]);
    core.request_backoff(Millis(10), &endpoint("e1", 4), Millis(500));
    core.attempt_ended(Millis(50), early, common::completed(), false);
    admit(&mut core, 60, "/stream/x").unwrap();
    assert!(started(&mut core, 60).is_empty());
}

#[test]
fn a_shorter_backoff_that_arrives_later_does_not_shorten_one() {
    let mut health = Health::default();
    assert!(health.request_backoff(Millis(0), Millis(3_000)));
    assert!(!health.request_backoff(Millis(5), Millis(100)));
    assert!(health.in_backoff(Millis(2_999)));
    assert!(!health.in_backoff(Millis(3_000)));
}

// Guards against an endpoint that is never tried again because of one mistaken value.
#[test]
fn a_backoff_is_bounded() {
    let mut health = Health::default();
    health.request_backoff(Millis(0), Millis(u64::MAX));
    assert!(health.in_backoff(MAX_REQUESTED_BACKOFF.since(Millis(1))));
    assert!(!health.in_backoff(MAX_REQUESTED_BACKOFF));
}

#[test]
fn a_new_start_under_the_same_id_is_not_bound_by_a_previous_backoff() {
    let mut core = core("a", 4);
    core.request_backoff(Millis(0), &endpoint("e1", 4), Millis(3_000));
    let restarted = Endpoint {
        started_ms: 2,
        ..endpoint("e1", 4)
    };
    core.registry().put(Millis(100), restarted);
    let ticket = admit(&mut core, 110, "/stream/x").unwrap();
    assert_eq!(started(&mut core, 110), [ticket]);
}

#[test]
fn a_slot_of_another_shard_is_not_used_at_an_endpoint_in_backoff() {
    let mut core = core("a", 4);
    let key = endpoint("e1", 4).key();
    core.request_backoff(Millis(0), &endpoint("e1", 4), Millis(400));
    let ticket = admit(&mut core, 10, "/stream/x").unwrap();
    assert!(core.slot_granted(Millis(20), ticket, key).is_none());
    assert!(core.slot_granted(Millis(400), ticket, key).is_some());
}

// Guards against holding requests that cannot start before their callers give up, and against a
// Retry-After at which they would be refused again.
#[test]
fn requests_are_refused_until_the_first_endpoint_accepts_them_again() {
    let mut core = core("a", 4);
    core.registry().put(Millis(0), endpoint("e2", 4));
    let queued: Vec<Ticket> = (0..10)
        .map(|it| admit(&mut core, it, "/safe/x").unwrap())
        .collect();
    let running = started(&mut core, 30);
    core.request_backoff(Millis(40), &endpoint("e1", 4), Millis(9_000));
    assert!(admit(&mut core, 50, "/safe/x").is_ok());
    core.request_backoff(Millis(60), &endpoint("e2", 4), Millis(4_000));
    let decisions = core.decide(Millis(70));
    assert_eq!(decisions.len(), queued.len() + 1 - running.len());
    for decision in decisions {
        let Decision::Refuse(_, refusal) = decision else {
            panic!("{decision:?}");
        };
        assert!(refusal.retry_after >= Millis(3_990), "{refusal:?}");
    }
    let retry_after = admit(&mut core, 1_000, "/safe/x").unwrap_err();
    assert!((3_060..=4_600).contains(&retry_after.0), "{retry_after:?}");
    // A request that was sent and rejected is told the same.
    let rejected = core.rejected_retry_after(Millis(1_000), &"lm".into(), 1);
    assert!((3_060..=4_600).contains(&rejected.0), "{rejected:?}");
    assert!(admit(&mut core, 4_060, "/safe/x").is_ok());
}

// Guards against refusals before an open endpoint because of a request that waits for another one.
#[test]
fn a_request_that_the_only_open_endpoint_rejected_delays_no_other() {
    let mut core = core("a", 4);
    core.registry().put(Millis(0), endpoint("e2", 4));
    core.request_backoff(Millis(0), &endpoint("e2", 4), Millis(2_000));
    let rejected = admit(&mut core, 0, "/safe/x").unwrap();
    assert_eq!(started(&mut core, 0), [rejected]);
    core.request_backoff(Millis(5), &endpoint("e1", 4), Millis(100));
    core.attempt_ended(Millis(5), rejected, Outcome::Full, true);
    // The demand is higher than the capacity of the endpoint.
    let others: Vec<_> = (10..100)
        .filter_map(|now| admit(&mut core, now, "/safe/x").ok())
        .collect();
    for ticket in others {
        core.cancel(Millis(100), ticket);
    }
    let next = admit(&mut core, 200, "/safe/x").unwrap();
    assert_eq!(started(&mut core, 200), [next]);
}

#[test]
fn an_endpoint_that_rejects_the_first_request_after_its_backoff_gets_one_at_a_time() {
    let mut core = core("a", 4);
    for now in 0..3 {
        admit(&mut core, now, "/stream/x").unwrap();
    }
    core.request_backoff(Millis(3), &endpoint("e1", 4), Millis(100));
    let first = started(&mut core, 120);
    assert_eq!(first.len(), 1);
    core.attempt_ended(Millis(130), first[0], Outcome::Full, false);
    assert_eq!(started(&mut core, 200).len(), 1);
    assert!(started(&mut core, 210).is_empty());
}

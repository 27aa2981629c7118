//! Orders that are out of the ordinary: what becomes of them, and of their service's traffic.

mod common;

use crate::common::endpoint;
use crate::common::identity;
use siskinyoke_base::Millis;
use siskinyoke_dispatch::Core;
use siskinyoke_dispatch::Endpoint;
use siskinyoke_dispatch::StoreUpdate;
use siskinyoke_dispatch::rollout::EndpointRole;
use siskinyoke_dispatch::rollout::Order;
use siskinyoke_dispatch::rollout::Phase;
use siskinyoke_dispatch::rollout::Rollout;
use siskinyoke_dispatch::rollout::State;
use siskinyoke_dispatch::rollout::Status;

const SPAN: Millis = Millis(10_000);

fn order(version: &str, revision: u64) -> Order {
    Order {
        service: "lm".into(),
        version: version.into(),
        duration: SPAN,
        revision,
    }
}

fn of(version: &str) -> Endpoint {
    Endpoint {
        version: version.into(),
        ..endpoint(version, 6)
    }
}

// A rollout that began at 0 with an endpoint of each of these versions.
fn begun(version: &str, versions: &[&str]) -> Rollout {
    let mut rollout = Rollout::begin(Millis(0), order(version, 5), None, 0.5);
    let endpoints: Vec<_> = versions.iter().map(|it| of(it)).collect();
    rollout.update_slots(endpoints.iter());
    rollout.advance(Millis(1));
    rollout
}

fn ends(rollout: &mut Rollout) -> Option<State> {
    rollout.advance(SPAN);
    rollout.due_state(SPAN, 0)
}

// Traffic was taken from the only version there is, as it was on trial.
#[test]
fn an_order_for_the_version_in_force_takes_no_traffic_away() {
    let mut rollout = begun("v1", &["v1"]);
    assert_eq!(rollout.role(&of("v1")), EndpointRole::Serving);
    assert_eq!(ends(&mut rollout), Some(State::Completed));
    assert_eq!(rollout.role(&of("v1")), EndpointRole::Serving);
}

// Completed without its endpoints, the old ones would stop and nobody would be served.
#[test]
fn an_order_whose_endpoints_never_come_is_rolled_back() {
    let mut rollout = begun("v2", &["v1"]);
    assert!(!rollout.select_canary(Millis(1), 1.0));
    assert_eq!(ends(&mut rollout), Some(State::RolledBack));
    assert_eq!(rollout.role(&of("v1")), EndpointRole::Serving);
}

// One endpoint of the new version would get the traffic of ten.
#[test]
fn traffic_does_not_move_to_far_fewer_slots() {
    let mut rollout = begun("v2", &["v1", "v1", "v1", "v2"]);
    assert_eq!(ends(&mut rollout), Some(State::RolledBack));
}

#[test]
fn a_withdrawn_order_takes_the_traffic_back() {
    let mut rollout = begun("v2", &["v1", "v2"]);
    rollout.advance(Millis(9_000));
    assert_eq!(rollout.phase(), Phase::Moved);
    assert_eq!(rollout.role(&of("v1")), EndpointRole::Excluded);
    rollout.withdraw();
    rollout.advance(Millis(9_001));
    assert_eq!(rollout.role(&of("v1")), EndpointRole::Serving);
    assert_eq!(rollout.role(&of("v2")), EndpointRole::Excluded);
    assert_eq!(rollout.due_state(Millis(9_001), 0), Some(State::RolledBack));
}

// A second order comes before the first has an outcome. The version that was on trial is not taken for the standing one.
#[test]
fn a_version_whose_order_was_replaced_gets_nothing() {
    let before = begun("v2", &["v1", "v2"]);
    let mut rollout = Rollout::begin(Millis(10), order("v3", 9), Some(before), 0.5);
    let endpoints = [of("v1"), of("v2"), of("v3")];
    rollout.update_slots(endpoints.iter());
    rollout.advance(Millis(11));
    let uses = endpoints.each_ref().map(|it| rollout.role(it));
    assert_eq!(
        uses,
        [
            EndpointRole::Serving,
            EndpointRole::Excluded,
            EndpointRole::Canary
        ]
    );
}

// Guards against a service without any endpoint: the way back was ordered and then withdrawn.
#[test]
fn the_standing_version_stays_in_use_when_an_order_for_it_is_withdrawn() {
    let before = begun("v2", &["v1", "v2"]);
    let mut rollout = Rollout::begin(Millis(10), order("v1", 9), Some(before), 0.5);
    let endpoints = [of("v1"), of("v2")];
    rollout.update_slots(endpoints.iter());
    rollout.advance(Millis(11));
    rollout.withdraw();
    rollout.advance(Millis(12));
    let uses = endpoints.each_ref().map(|it| rollout.role(it));
    assert_eq!(uses, [EndpointRole::Serving, EndpointRole::Excluded]);
}

// A process starts after the outcome. In the store's order of keys a state may come before its order.
#[test]
fn a_process_that_starts_later_takes_the_outcome_from_the_store() {
    for state in [State::Completed, State::RolledBack] {
        let mut core = Core::new(identity("i1", 1));
        let status = Status {
            state,
            version: "v2".into(),
            revision: 8,
        };
        let news = vec![
            StoreUpdate::RolloutStatus("lm".into(), status),
            StoreUpdate::RolloutOrder(order("v2", 5)),
            StoreUpdate::Endpoint(of("v1")),
            StoreUpdate::Endpoint(of("v2")),
        ];
        core.apply_updates(Millis(0), 9, news);
        core.advance_rollouts(Millis(1));
        let fit = core.registry().eligible("lm");
        let version = if state == State::Completed {
            "v2"
        } else {
            "v1"
        };
        assert_eq!(fit.len(), 1);
        assert_eq!(&*fit[0].version, version);
        assert!(core.status_writes(SPAN).is_empty());
    }
}

// Guards against the outcome of an order, written late, being taken for that of the next order of the same version.
#[test]
fn a_state_is_written_only_while_its_order_stands() {
    let mut core = Core::new(identity("i1", 1));
    let news = vec![
        StoreUpdate::RolloutOrder(order("v2", 5)),
        StoreUpdate::Endpoint(of("v1")),
    ];
    core.apply_updates(Millis(0), 6, news);
    core.advance_rollouts(Millis(1));
    let due = core.status_writes(SPAN).remove(0);
    assert_eq!(due.state, State::RolledBack);
    assert_eq!((due.order_revision, due.status_revision), (5, 0));
    core.apply_updates(
        Millis(1),
        7,
        vec![StoreUpdate::RolloutOrderRemoved("lm".into())],
    );
    let due = core.status_writes(SPAN).remove(0);
    assert_eq!((due.order_revision, due.status_revision), (0, 0));
}

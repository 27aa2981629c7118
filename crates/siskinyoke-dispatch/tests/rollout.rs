//! Outcomes and traffic of unusual rollout orders.

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

const ROLLOUT_DURATION: Millis = Millis(10_000);

fn order(version: &str, revision: u64) -> Order {
    Order {
        service: "lm".into(),
        version: version.into(),
        duration: ROLLOUT_DURATION,
        revision: revision.into(),
    }
}

fn endpoint_of(version: &str) -> Endpoint {
    Endpoint {
        version: version.into(),
        ..endpoint(version, 6)
    }
}

// Starts a rollout at time 0 with one endpoint of each of `versions`.
fn start_rollout(version: &str, versions: &[&str]) -> Rollout {
    let mut rollout = Rollout::begin(Millis(0), order(version, 5), None, 0.5);
    let endpoints: Vec<_> = versions.iter().map(|it| endpoint_of(it)).collect();
    rollout.update_slots(endpoints.iter());
    rollout.advance(Millis(1));
    rollout
}

fn final_state(rollout: &mut Rollout) -> Option<State> {
    rollout.advance(ROLLOUT_DURATION);
    rollout.due_state(ROLLOUT_DURATION, 0)
}

// Guards against evaluating the only version there is as a canary, which takes the traffic from it.
#[test]
fn an_order_for_the_current_version_keeps_its_traffic() {
    let mut rollout = start_rollout("v1", &["v1"]);
    assert_eq!(rollout.role(&endpoint_of("v1")), EndpointRole::Serving);
    assert_eq!(final_state(&mut rollout), Some(State::Completed));
    assert_eq!(rollout.role(&endpoint_of("v1")), EndpointRole::Serving);
}

// Guards against completing such a rollout: the old endpoints would stop and none would be left.
#[test]
fn an_order_whose_endpoints_never_register_is_rolled_back() {
    let mut rollout = start_rollout("v2", &["v1"]);
    assert!(!rollout.select_canary(Millis(1), 1.0));
    assert_eq!(final_state(&mut rollout), Some(State::RolledBack));
    assert_eq!(rollout.role(&endpoint_of("v1")), EndpointRole::Serving);
}

// Guards against sending the traffic of many endpoints to a single one of the new version.
#[test]
fn traffic_does_not_move_to_far_fewer_slots() {
    let mut rollout = start_rollout("v2", &["v1", "v1", "v1", "v2"]);
    assert_eq!(final_state(&mut rollout), Some(State::RolledBack));
}

#[test]
fn withdrawing_an_order_returns_the_traffic_to_the_stable_version() {
    let mut rollout = start_rollout("v2", &["v1", "v2"]);
    rollout.advance(Millis(9_000));
    assert_eq!(rollout.phase(), Phase::Moved);
    assert_eq!(rollout.role(&endpoint_of("v1")), EndpointRole::Excluded);
    rollout.withdraw();
    rollout.advance(Millis(9_001));
    assert_eq!(rollout.role(&endpoint_of("v1")), EndpointRole::Serving);
    assert_eq!(rollout.role(&endpoint_of("v2")), EndpointRole::Excluded);
    assert_eq!(rollout.due_state(Millis(9_001), 0), Some(State::RolledBack));
}

// A second order is placed before the first has an outcome. Guards against treating the version
// under evaluation as the stable one.
#[test]
fn a_version_whose_order_was_replaced_gets_no_traffic() {
    let previous = start_rollout("v2", &["v1", "v2"]);
    let mut rollout = Rollout::begin(Millis(10), order("v3", 9), Some(previous), 0.5);
    let endpoints = [endpoint_of("v1"), endpoint_of("v2"), endpoint_of("v3")];
    rollout.update_slots(endpoints.iter());
    rollout.advance(Millis(11));
    let roles = endpoints.each_ref().map(|it| rollout.role(it));
    assert_eq!(
        roles,
        [
            EndpointRole::Serving,
            EndpointRole::Excluded,
            EndpointRole::Canary
        ]
    );
}

// Guards against excluding every endpoint when a rollback is ordered and that order is withdrawn.
#[test]
fn the_stable_version_stays_in_use_when_an_order_for_it_is_withdrawn() {
    let previous = start_rollout("v2", &["v1", "v2"]);
    let mut rollout = Rollout::begin(Millis(10), order("v1", 9), Some(previous), 0.5);
    let endpoints = [endpoint_of("v1"), endpoint_of("v2")];
    rollout.update_slots(endpoints.iter());
    rollout.advance(Millis(11));
    rollout.withdraw();
    rollout.advance(Millis(12));
    let roles = endpoints.each_ref().map(|it| rollout.role(it));
    assert_eq!(roles, [EndpointRole::Serving, EndpointRole::Excluded]);
}

// A process starts after the outcome was written. In the key order of the store, a rollout's status
// may precede its order.
#[test]
fn a_process_started_after_a_rollout_reads_its_outcome_from_the_store() {
    for state in [State::Completed, State::RolledBack] {
        let mut core = Core::new(identity("i1", 1));
        let status = Status {
            state,
            version: "v2".into(),
            revision: 8.into(),
        };
        let updates = vec![
            StoreUpdate::RolloutStatus("lm".into(), status),
            StoreUpdate::RolloutOrder(order("v2", 5)),
            StoreUpdate::Endpoint(endpoint_of("v1")),
            StoreUpdate::Endpoint(endpoint_of("v2")),
        ];
        core.apply_updates(Millis(0), 9.into(), updates);
        core.advance_rollouts(Millis(1));
        let eligible = core.registry().eligible("lm");
        let version = if state == State::Completed {
            "v2"
        } else {
            "v1"
        };
        assert_eq!(eligible.len(), 1);
        assert_eq!(&*eligible[0].version, version);
        assert!(core.status_writes(ROLLOUT_DURATION).is_empty());
    }
}

// A process starts when all traffic has moved and the outcome is not written yet. Guards against
// counting the order's time anew, which leaves the rollout without an outcome.
#[test]
fn a_process_that_starts_before_the_outcome_learns_the_age_of_the_order_from_a_peer() {
    let start = |name: &str, now: Millis| {
        let mut core = Core::new(identity(name, now.0 + 1));
        let updates = vec![
            StoreUpdate::RolloutOrder(order("v2", 5)),
            StoreUpdate::Endpoint(endpoint_of("v1")),
            StoreUpdate::Endpoint(endpoint_of("v2")),
        ];
        core.apply_updates(now, 9.into(), updates);
        core.advance_rollouts(now);
        core
    };
    let mut peer = start("i2", Millis(0));
    let now = Millis(9_000);
    peer.advance_rollouts(now);
    let mut core = start("i1", now);
    core.store_call_succeeded();
    core.receive_report(now, peer.next_report(now, true));
    core.advance_rollouts(now);
    let phase = core.registry().rollout("lm").map(|it| it.phase());
    assert_eq!(phase, Some(Phase::Moved));
    let writes = core.status_writes(Millis(9_400));
    let states: Vec<_> = writes.iter().map(|it| it.state).collect();
    assert_eq!(states, [State::Completed]);
}

// Guards against a late write of one order's outcome being taken for that of the next order for the
// same version.
#[test]
fn a_status_write_is_conditional_on_the_revision_of_its_order() {
    let mut core = Core::new(identity("i1", 1));
    let updates = vec![
        StoreUpdate::RolloutOrder(order("v2", 5)),
        StoreUpdate::Endpoint(endpoint_of("v1")),
    ];
    core.apply_updates(Millis(0), 6.into(), updates);
    core.advance_rollouts(Millis(1));
    let write = core.status_writes(ROLLOUT_DURATION).remove(0);
    assert_eq!(write.state, State::RolledBack);
    assert_eq!(
        (write.order_revision, write.status_revision),
        (5.into(), 0.into())
    );
    core.apply_updates(
        Millis(1),
        7.into(),
        vec![StoreUpdate::RolloutOrderRemoved("lm".into())],
    );
    let write = core.status_writes(ROLLOUT_DURATION).remove(0);
    assert_eq!(
        (write.order_revision, write.status_revision),
        (0.into(), 0.into())
    );
}

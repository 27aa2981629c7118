//! The store comes back from an earlier copy: what is known beyond it, and what is lost.

mod common;

use crate::common::endpoint;
use crate::common::identity;
use crate::common::location;
use siskinyoke_base::Millis;
use siskinyoke_base::Revision;
use siskinyoke_dispatch::Core;
use siskinyoke_dispatch::Endpoint;
use siskinyoke_dispatch::StoreUpdate;
use siskinyoke_dispatch::rollout::Order;
use siskinyoke_dispatch::rollout::Phase;
use siskinyoke_dispatch::rollout::State;
use siskinyoke_dispatch::rollout::Status;
use siskinyoke_dispatch::store_era::EraCheck;
use siskinyoke_dispatch::store_era::StoreEra;

const ROLLOUT_DURATION: Millis = Millis(10_000);

/// The revision of the copy that the store comes back from.
const COPY: Revision = Revision::new(1, 20);

fn core(updates: Vec<StoreUpdate>) -> Core {
    let mut core = Core::new(identity("i1", 1));
    core.apply_updates(Millis(0), 50.into(), updates);
    core
}

fn eligible_ids(core: &mut Core) -> Vec<String> {
    let eligible = core.registry().eligible("lm");
    eligible.iter().map(|it| it.id.to_string()).collect()
}

fn entry(id: &str) -> StoreUpdate {
    StoreUpdate::Endpoint(endpoint(id, 1))
}

fn removal(id: &str) -> StoreUpdate {
    StoreUpdate::EndpointRemoved(id.to_owned())
}

fn order(revision: Revision) -> StoreUpdate {
    StoreUpdate::RolloutOrder(Order {
        service: "lm".into(),
        version: "v2".into(),
        duration: ROLLOUT_DURATION,
        revision,
    })
}

fn status(state: State, revision: Revision) -> StoreUpdate {
    let version = "v2".into();
    StoreUpdate::RolloutStatus(
        "lm".into(),
        Status {
            state,
            version,
            revision,
        },
    )
}

fn endpoints_of_both_versions() -> [StoreUpdate; 2] {
    ["v1", "v2"].map(|version| {
        StoreUpdate::Endpoint(Endpoint {
            version: version.into(),
            ..endpoint(version, 6)
        })
    })
}

// Guards against an old entry that makes an endpoint available again that has left.
#[test]
fn an_endpoint_that_has_left_returns_only_with_a_later_entry() {
    let mut core = core(vec![entry("stays"), entry("drained"), entry("removed")]);
    let draining = Endpoint {
        draining: true,
        ..endpoint("drained", 1)
    };
    let changes = vec![
        StoreUpdate::Endpoint(draining),
        removal("drained"),
        removal("removed"),
    ];
    core.apply_updates(Millis(10), 53.into(), changes);
    let copy = vec![entry("stays"), entry("drained"), entry("removed")];
    core.apply_updates(Millis(20), COPY, copy);
    assert_eq!(eligible_ids(&mut core), ["stays"]);
    core.apply_updates(Millis(30), Revision::new(1, 21), vec![entry("removed")]);
    assert_eq!(eligible_ids(&mut core), ["removed", "stays"]);
}

// Guards against dropping what is later than the copy before it could be written again, and against
// keeping it for good.
#[test]
fn what_a_copy_lacks_has_time_to_register_again() {
    let mut core = core(vec![entry("a"), entry("b"), entry("c")]);
    core.add_instance("i2", location("i2", "a"));
    let lacking = vec![
        removal("b"),
        removal("c"),
        StoreUpdate::InstanceRemoved("i2".to_owned()),
    ];
    core.apply_updates(Millis(20), COPY, lacking);
    assert_eq!(eligible_ids(&mut core), ["a", "b", "c"]);
    assert_eq!(core.other_instances().count(), 1);
    core.apply_updates(Millis(1_000), Revision::new(1, 21), vec![entry("b")]);
    core.sweep(Millis(2_119));
    assert_eq!(eligible_ids(&mut core), ["a", "b", "c"]);
    core.sweep(Millis(2_120));
    assert_eq!(eligible_ids(&mut core), ["a", "b"]);
    assert_eq!(core.other_instances().count(), 0);
}

// Guards against following a peer that still knows the lost history only.
#[test]
fn revisions_of_a_later_era_are_ahead_of_all_earlier_ones() {
    let mut core = core(vec![entry("a")]);
    assert!(core.record_peer_revision(Millis(10), COPY));
    core.apply_updates(Millis(20), COPY, vec![entry("a")]);
    assert!(!core.record_peer_revision(Millis(30), 900.into()));
    assert_eq!(core.store_revision(), COPY);
    let report = core.next_report(Millis(30), false);
    assert_eq!(report.revision(), COPY);
}

// Guards against a rollout that begins again, and against an outcome that stays lost.
#[test]
fn a_completed_rollout_stays_completed_and_its_status_is_written_again() {
    for state in [State::Completed, State::RolledBack] {
        let mut updates = vec![order(5.into()), status(state, 8.into())];
        updates.extend(endpoints_of_both_versions());
        let mut core = core(updates);
        core.advance_rollouts(Millis(1));
        let expected = core.registry().rollout("lm").unwrap().phase();
        let mut copy = vec![
            order(Revision::new(1, 5)),
            status(State::Running, Revision::new(1, 6)),
        ];
        copy.extend(endpoints_of_both_versions());
        core.apply_updates(Millis(10), COPY, copy);
        core.advance_rollouts(Millis(11));
        assert_eq!(core.registry().rollout("lm").unwrap().phase(), expected);
        let write = core.status_writes(Millis(2_000)).remove(0);
        assert_eq!(write.state, state);
        assert_eq!(write.order_revision, Revision::new(1, 5));
        assert_eq!(write.status_revision, Revision::new(1, 6));
        let written = status(state, Revision::new(1, 22));
        core.apply_updates(Millis(2_010), Revision::new(1, 22), vec![written]);
        assert!(core.status_writes(Millis(3_000)).is_empty());
    }
}

// Guards against rolling back because the order is missing until the operator writes it again.
#[test]
fn an_order_that_a_copy_lacks_is_not_withdrawn_at_once() {
    let start = || {
        let mut updates = vec![order(45.into())];
        updates.extend(endpoints_of_both_versions());
        let mut core = core(updates);
        core.advance_rollouts(Millis(1));
        let missing = StoreUpdate::RolloutOrderRemoved("lm".into());
        core.apply_updates(Millis(1_000), COPY, vec![missing]);
        core
    };
    let phase = |core: &mut Core, now| {
        core.advance_rollouts(now);
        core.registry().rollout("lm").unwrap().phase()
    };
    let mut core = start();
    assert_eq!(phase(&mut core, Millis(4_999)), Phase::Trial);
    let written = vec![order(Revision::new(1, 21))];
    core.apply_updates(Millis(4_999), Revision::new(1, 21), written);
    assert_eq!(phase(&mut core, Millis(5_100)), Phase::Trial);
    let mut core = start();
    assert_eq!(phase(&mut core, Millis(5_000)), Phase::RolledBack);
}

// Guards against going back to a lost history, and against one value that shuts out all later ones.
#[test]
fn an_earlier_or_implausible_era_is_rejected() {
    let mut era = StoreEra::default();
    assert_eq!(era.observe(None), EraCheck::Known);
    assert_eq!(era.observe(Some(7)), EraCheck::Raised);
    assert_eq!(era.observe(Some(7)), EraCheck::Known);
    assert_eq!(era.observe(None), EraCheck::Known);
    assert_eq!(era.observe(Some(6)), EraCheck::Rejected);
    assert_eq!(era.observe(Some(u64::MAX)), EraCheck::Rejected);
    assert_eq!(era.observe(Some(9)), EraCheck::Raised);
    assert_eq!(era.known(), 9);
}

//! Selection of the instance that watches the store, and how the others learn of changes.

mod common;

use crate::common::core;
use crate::common::endpoint;
use crate::common::location;
use crate::common::report;
use siskinyoke_base::Millis;
use siskinyoke_dispatch::Core;
use siskinyoke_dispatch::Report;
use siskinyoke_dispatch::StoreUpdate;
use siskinyoke_dispatch::watchers::StoreRole;
use siskinyoke_dispatch::watchers::WatcherCandidate;
use siskinyoke_dispatch::watchers::select_watcher;

const INSTANCE_NAMES: [&str; 4] = ["i0", "i1", "i2", "i3"];

// Whether instance `index` receives reports from `other`, by a bit mask over all pairs.
fn receives_from(links: u32, index: usize, other: usize) -> bool {
    index == other || links >> (index * INSTANCE_NAMES.len() + other) & 1 == 1
}

// Whether instance `index` can reach the store, by a bit mask over all instances.
fn reaches_store(store_access: u32, index: usize) -> bool {
    store_access >> index & 1 == 1
}

// Returns the instance that `index` selects as the watcher.
fn selected(store_access: u32, links: u32, index: usize) -> usize {
    let candidate = |index: usize| WatcherCandidate {
        name: INSTANCE_NAMES[index],
        store_reachable: reaches_store(store_access, index),
    };
    let peers = (0..INSTANCE_NAMES.len())
        .filter(|other| *other != index && receives_from(links, index, *other));
    let name = select_watcher(candidate(index), peers.map(candidate));
    INSTANCE_NAMES
        .iter()
        .position(|it| *it == name)
        .expect("one of them")
}

// Some instances cannot reach the store, and links fail in one or both directions. Guards against
// followers in a cycle, or behind an instance that does not watch: they would never learn of a
// change.
//
// All states of four instances are checked: each follower receives reports from the instance that
// it follows, and each chain ends at a watcher, which can reach the store if any instance that the
// first follower receives reports from can.
#[test]
fn every_chain_of_followers_ends_at_an_instance_that_watches() {
    for store_access in 0..1 << INSTANCE_NAMES.len() {
        for links in 0..1u32 << (INSTANCE_NAMES.len() * INSTANCE_NAMES.len()) {
            if (0..INSTANCE_NAMES.len())
                .any(|index| links >> (index * INSTANCE_NAMES.len() + index) & 1 == 1)
            {
                continue;
            }
            for start in 0..INSTANCE_NAMES.len() {
                let mut index = start;
                let mut steps = 0;
                while selected(store_access, links, index) != index {
                    let next = selected(store_access, links, index);
                    assert!(receives_from(links, index, next));
                    index = next;
                    steps += 1;
                    assert!(
                        steps < INSTANCE_NAMES.len(),
                        "{store_access:b} {links:b} from {start}"
                    );
                }
                let reporting =
                    (0..INSTANCE_NAMES.len()).filter(|it| receives_from(links, start, *it));
                let any = reporting
                    .into_iter()
                    .any(|it| reaches_store(store_access, it));
                assert!(
                    !any || reaches_store(store_access, index),
                    "{store_access:b} {links:b} from {start}"
                );
            }
        }
    }
}

// Returns an instance of a fleet of two shards that has read the store, and the names of its
// shard's peers.
fn core_with_peers() -> (Core, Vec<String>) {
    let mut core = core("i0", 1);
    let names: Vec<String> = (0..16).map(|index| format!("i{index}")).collect();
    let updates = names
        .iter()
        .map(|name| StoreUpdate::Instance(name.clone(), location(name, "a")));
    core.apply_updates(Millis(0), 5.into(), updates.collect());
    core.store_call_succeeded();
    let members = core.other_instances().filter(|row| row.1);
    let members = members.map(|row| row.0.peer_address.trim_end_matches(":2").to_owned());
    let members = members.collect();
    (core, members)
}

// Delivers a report of the named peer.
fn receive(core: &mut Core, now: u64, name: &str, store_reachable: bool) {
    let report = Report {
        store_reachable,
        revision_number: 5,
        ..report(name, now + 1)
    };
    core.receive_report(Millis(now), report);
}

// Guards against a shard that keeps an outdated configuration after its only watcher hangs or is
// rejected by the store.
#[test]
fn a_peer_takes_over_from_a_watcher_that_is_unresponsive_or_cut_off_from_the_store() {
    let (mut core, members) = core_with_peers();
    for name in &members {
        receive(&mut core, 0, name, true);
    }
    let first = core.watcher(Millis(10)).to_owned();
    assert!(members.contains(&first), "i0 is not the first of its shard");
    assert_eq!(core.store_role(Millis(10)), StoreRole::Follower);
    for name in &members {
        receive(&mut core, 100, name, *name != first);
    }
    let second = core.watcher(Millis(110)).to_owned();
    assert_ne!(second, first);
    for name in members.iter().filter(|name| **name != first) {
        receive(&mut core, 1_000, name, true);
    }
    assert_eq!(core.watcher(Millis(1_010)), second);
    // All reports have expired.
    assert_eq!(core.store_role(Millis(3_000)), StoreRole::Watcher);
}

// The store rejects all instances of a shard. Guards against every one of them retrying: rejected
// calls are charged too, and would outnumber the served ones many times over.
#[test]
fn in_a_shard_that_cannot_reach_the_store_one_instance_keeps_retrying() {
    let (mut core, members) = core_with_peers();
    core.store_call_failed(Millis(0));
    for name in &members {
        receive(&mut core, 0, name, false);
    }
    assert_eq!(core.store_role(Millis(100)), StoreRole::Follower);
    core.update_store_availability(Millis(399));
    assert!(core.store_available());
    core.update_store_availability(Millis(400));
    assert!(!core.store_available());
    // The store may be reachable again for some instances but not for the first, so the others try
    // occasionally.
    for name in &members {
        receive(&mut core, 3_100, name, false);
    }
    assert_eq!(core.store_role(Millis(3_100)), StoreRole::Watcher);
    assert_eq!(core.max_probes(Millis(3_100)), 1);
    core.store_call_failed(Millis(3_110));
    assert_eq!(core.store_role(Millis(3_120)), StoreRole::Follower);
    receive(&mut core, 3_200, &members[0], true);
    core.update_store_availability(Millis(3_210));
    assert!(core.store_available());
    assert_eq!(core.store_role(Millis(3_210)), StoreRole::Follower);
}

// A peer's reports arrive, but changes cannot be fetched from it because the link fails one way.
#[test]
fn an_instance_that_cannot_catch_up_reads_the_store_itself() {
    let (mut core, members) = core_with_peers();
    for name in &members {
        receive(&mut core, 0, name, true);
    }
    assert!(core.record_peer_revision(Millis(10), 9.into()));
    assert_eq!(core.store_role(Millis(20)), StoreRole::Follower);
    for name in &members {
        receive(&mut core, 1_600, name, true);
    }
    assert_eq!(core.store_role(Millis(1_600)), StoreRole::Watcher);
    core.apply_updates(Millis(1_610), 9.into(), Vec::new());
    assert_eq!(core.store_role(Millis(1_620)), StoreRole::Follower);
    assert!(!core.record_peer_revision(Millis(1_630), 9.into()));
}

// A peer with a newer revision has just started and cannot list the earlier changes.
#[test]
fn an_instance_whose_peer_cannot_list_the_changes_reads_the_store_at_once() {
    let (mut core, members) = core_with_peers();
    for name in &members {
        receive(&mut core, 0, name, true);
    }
    core.record_peer_revision(Millis(10), 9.into());
    core.request_store_read();
    assert_eq!(core.store_role(Millis(20)), StoreRole::Watcher);
    core.apply_updates(Millis(30), 9.into(), Vec::new());
    assert_eq!(core.store_role(Millis(40)), StoreRole::Follower);
}

// Guards against every process watching the store until its peers report, which would cost one call
// for each instance when a whole fleet starts.
#[test]
fn a_starting_process_waits_briefly_for_its_peers() {
    let (core, _) = core_with_peers();
    assert_eq!(core.store_role(Millis(200)), StoreRole::Follower);
    assert_eq!(core.store_role(Millis(400)), StoreRole::Watcher);
    assert_eq!(
        crate::common::core("i0", 1).store_role(Millis(0)),
        StoreRole::Watcher
    );
}

// Leases expire during a store outage, whose end this instance first learns from a peer's report.
// Guards against dropping every endpoint whose entry expired before it has time to register again.
#[test]
fn endpoints_whose_entries_expired_in_a_store_outage_have_time_to_register_again() {
    let (mut core, members) = core_with_peers();
    core.apply_updates(
        Millis(0),
        6.into(),
        vec![StoreUpdate::Endpoint(endpoint("e2", 1))],
    );
    core.store_call_failed(Millis(1_000));
    core.update_store_availability(Millis(1_000));
    receive(&mut core, 5_000, &members[0], true);
    core.update_store_availability(Millis(5_010));
    let removed = StoreUpdate::EndpointRemoved("e2".to_owned());
    core.apply_updates(Millis(5_020), 7.into(), vec![removed]);
    let listed = |core: &mut Core| core.registry().all().any(|it| &*it.id == "e2");
    assert!(listed(&mut core));
    core.sweep(Millis(7_500));
    assert!(!listed(&mut core));
}

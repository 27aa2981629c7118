//! Which instance watches the store, and what the others learn from it.

mod common;

use crate::common::core;
use crate::common::endpoint;
use crate::common::location;
use crate::common::report;
use siskinyoke_base::Millis;
use siskinyoke_dispatch::Core;
use siskinyoke_dispatch::Report;
use siskinyoke_dispatch::StoreUpdate;
use siskinyoke_dispatch::watchers::Candidate;
use siskinyoke_dispatch::watchers::StoreRole;
use siskinyoke_dispatch::watchers::select_watcher;

const NAMES: [&str; 4] = ["i0", "i1", "i2", "i3"];

// Whether instance `at` hears instance `other`, by the bits of a number.
fn hears(bits: u32, at: usize, other: usize) -> bool {
    at == other || bits >> (at * NAMES.len() + other) & 1 == 1
}

fn reaches(bits: u32, at: usize) -> bool {
    bits >> at & 1 == 1
}

fn followed(reach: u32, hearing: u32, at: usize) -> usize {
    let candidate = |at: usize| Candidate {
        name: NAMES[at],
        store_reachable: reaches(reach, at),
    };
    let peers = (0..NAMES.len()).filter(|other| *other != at && hears(hearing, at, *other));
    let name = select_watcher(candidate(at), peers.map(candidate));
    NAMES
        .iter()
        .position(|it| *it == name)
        .expect("one of them")
}

// Some instances reach the store and some do not; reports are cut one way or both. An instance that
// followed in a circle, or followed one that watches nothing, would never hear of a change.
//
// Every state of four instances is looked at: whoever follows, hears whom it follows, and at the end of the
// chain stands one that watches, which reaches the store if anybody does that its followers hear.
#[test]
fn every_chain_of_followers_ends_at_an_instance_that_watches() {
    for reach in 0..1 << NAMES.len() {
        for hearing in 0..1u32 << (NAMES.len() * NAMES.len()) {
            if (0..NAMES.len()).any(|at| hearing >> (at * NAMES.len() + at) & 1 == 1) {
                continue;
            }
            for start in 0..NAMES.len() {
                let mut at = start;
                let mut steps = 0;
                while followed(reach, hearing, at) != at {
                    let next = followed(reach, hearing, at);
                    assert!(hears(hearing, at, next));
                    at = next;
                    steps += 1;
                    assert!(steps < NAMES.len(), "{reach:b} {hearing:b} from {start}");
                }
                let heard = (0..NAMES.len()).filter(|it| hears(hearing, start, *it));
                let any = heard.into_iter().any(|it| reaches(reach, it));
                assert!(
                    !any || reaches(reach, at),
                    "{reach:b} {hearing:b} from {start}"
                );
            }
        }
    }
}

// An instance of a fleet of two shards that has read the store, with the peers of its shard.
fn member() -> (Core, Vec<String>) {
    let mut core = core("i0", 1);
    let names: Vec<String> = (0..16).map(|at| format!("i{at}")).collect();
    let news = names
        .iter()
        .map(|name| StoreUpdate::Instance(name.clone(), location(name, "a")));
    core.apply_updates(Millis(0), 5, news.collect());
    core.store_call_succeeded();
    let members = core.other_instances().filter(|row| row.1);
    let members = members.map(|row| row.0.peer_address.trim_end_matches(":2").to_owned());
    let members = members.collect();
    (core, members)
}

fn hear(core: &mut Core, now: u64, name: &str, reaches: bool) {
    let report = Report {
        store_reachable: reaches,
        revision: 5,
        ..report(name, now + 1)
    };
    core.receive_report(Millis(now), report);
}

// The watcher of a shard freezes, or the store begins to refuse it. Nobody else watches; if nobody took
// over, the whole shard would go on with an old configuration.
#[test]
fn the_next_one_takes_over_from_a_watcher_that_is_silent_or_refused() {
    let (mut core, members) = member();
    for name in &members {
        hear(&mut core, 0, name, true);
    }
    let first = core.watcher(Millis(10)).to_owned();
    assert!(members.contains(&first), "i0 is not the first of its shard");
    assert_eq!(core.store_role(Millis(10)), StoreRole::Follower);
    for name in &members {
        hear(&mut core, 100, name, *name != first);
    }
    let second = core.watcher(Millis(110)).to_owned();
    assert_ne!(second, first);
    for name in members.iter().filter(|name| **name != first) {
        hear(&mut core, 1_000, name, true);
    }
    assert_eq!(core.watcher(Millis(1_010)), second);
    // Nobody is heard any more.
    assert_eq!(core.store_role(Millis(3_000)), StoreRole::Watcher);
}

// The store refuses a whole shard. If each of its instances went on asking, the calls that it refuses,
// which are paid for too, would be many times those it serves.
#[test]
fn in_a_shard_without_the_store_one_instance_goes_on_trying() {
    let (mut core, members) = member();
    core.store_call_failed(Millis(0));
    for name in &members {
        hear(&mut core, 0, name, false);
    }
    core.update_store_availability(Millis(1));
    assert!(!core.store_available());
    assert_eq!(core.store_role(Millis(100)), StoreRole::Follower);
    // The store may be back for some and not for the first: others try now and then.
    for name in &members {
        hear(&mut core, 3_100, name, false);
    }
    assert_eq!(core.store_role(Millis(3_100)), StoreRole::Watcher);
    core.store_call_failed(Millis(3_110));
    assert_eq!(core.store_role(Millis(3_120)), StoreRole::Follower);
    hear(&mut core, 3_200, &members[0], true);
    core.update_store_availability(Millis(3_210));
    assert!(core.store_available());
    assert_eq!(core.store_role(Millis(3_210)), StoreRole::Follower);
}

// A peer's reports arrive, but nothing can be taken from it: a connection to it is cut one way.
#[test]
fn an_instance_that_cannot_catch_up_asks_the_store_itself() {
    let (mut core, members) = member();
    for name in &members {
        hear(&mut core, 0, name, true);
    }
    assert!(core.record_peer_revision(Millis(10), 9));
    assert_eq!(core.store_role(Millis(20)), StoreRole::Follower);
    for name in &members {
        hear(&mut core, 1_600, name, true);
    }
    assert_eq!(core.store_role(Millis(1_600)), StoreRole::Watcher);
    core.apply_updates(Millis(1_610), 9, Vec::new());
    assert_eq!(core.store_role(Millis(1_620)), StoreRole::Follower);
    assert!(!core.record_peer_revision(Millis(1_630), 9));
}

// A peer that knows more has only just started and cannot say what changed before.
#[test]
fn an_instance_whose_peer_cannot_say_what_changed_asks_the_store_at_once() {
    let (mut core, members) = member();
    for name in &members {
        hear(&mut core, 0, name, true);
    }
    core.record_peer_revision(Millis(10), 9);
    core.request_store_read();
    assert_eq!(core.store_role(Millis(20)), StoreRole::Watcher);
    core.apply_updates(Millis(30), 9, Vec::new());
    assert_eq!(core.store_role(Millis(40)), StoreRole::Follower);
}

// A process that starts in a fleet would watch the store until it hears of its peers: as many calls as
// there are instances at each start of all.
#[test]
fn a_process_that_starts_waits_for_its_peers_a_moment() {
    let (core, _) = member();
    assert_eq!(core.store_role(Millis(200)), StoreRole::Follower);
    assert_eq!(core.store_role(Millis(400)), StoreRole::Watcher);
    assert_eq!(
        crate::common::core("i0", 1).store_role(Millis(0)),
        StoreRole::Watcher
    );
}

// The store is away while leases run out. Its return shows in a peer's report first, and with it what
// lapsed; taken for gone at once, every endpoint would be given up until it is back in the list.
#[test]
fn what_lapsed_while_the_store_was_away_for_the_shard_has_time_to_return() {
    let (mut core, members) = member();
    core.apply_updates(Millis(0), 6, vec![StoreUpdate::Endpoint(endpoint("e2", 1))]);
    core.store_call_failed(Millis(1_000));
    core.update_store_availability(Millis(1_000));
    hear(&mut core, 5_000, &members[0], true);
    core.update_store_availability(Millis(5_010));
    let gone = StoreUpdate::EndpointRemoved("e2".to_owned());
    core.apply_updates(Millis(5_020), 7, vec![gone]);
    let listed = |core: &mut Core| core.registry().all().any(|it| &*it.id == "e2");
    assert!(listed(&mut core));
    core.sweep(Millis(7_500));
    assert!(!listed(&mut core));
}

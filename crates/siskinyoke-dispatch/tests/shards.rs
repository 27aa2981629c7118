//! Division of a large fleet into shards.

mod common;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::common::core;
use crate::common::endpoint;
use crate::common::identity;
use crate::common::location;
use crate::common::report;
use siskinyoke_base::Millis;
use siskinyoke_dispatch::Core;
use siskinyoke_dispatch::Endpoint;
use siskinyoke_dispatch::PromptPart;
use siskinyoke_dispatch::Report;
use siskinyoke_dispatch::core::Identity;
use siskinyoke_dispatch::registry::Registry;
use siskinyoke_dispatch::report::LimitRow;
use siskinyoke_dispatch::report::PartCrashRow;
use siskinyoke_dispatch::report::PartRow;
use siskinyoke_dispatch::report::RejectionRow;
use siskinyoke_dispatch::report::SoundRequestRow;
use siskinyoke_dispatch::shards;

// Returns `count` pairs of data centre and name, over four data centres.
fn names_by_centre(count: usize) -> Vec<(String, String)> {
    (0..count)
        .map(|index| (format!("dc{}", index % 4), format!("i{index}")))
        .collect()
}

// Assigns `count` endpoints in four data centres to shards of the given sizes.
fn assigned(count: usize, shards: &[usize]) -> BTreeMap<String, usize> {
    let endpoints = names_by_centre(count);
    let rows: Vec<_> = endpoints
        .iter()
        .map(|endpoint| (&*endpoint.0, &*endpoint.1))
        .collect();
    let assigned = shards::assign(&rows, shards);
    assigned
        .into_iter()
        .map(|(name, shard)| (name.to_owned(), shard))
        .collect()
}

#[test]
fn a_small_fleet_is_one_shard_and_a_large_one_is_divided() {
    let counts = [8, 11, 12, 30, 68, 75, 300].map(shards::count);
    assert_eq!(counts, [1, 1, 2, 4, 8, 8, 32]);
}

#[test]
fn shards_get_endpoints_in_proportion_to_their_instances() {
    let shards = [9, 12, 3, 8, 10, 6, 9, 11];
    let assigned = assigned(89, &shards);
    assert_eq!(assigned.len(), 89);
    for (shard, size) in shards.iter().enumerate() {
        let actual = assigned.values().filter(|it| **it == shard).count();
        let expected = 89 * size / 68;
        assert!(
            actual <= expected + 1 && actual >= expected,
            "{actual} endpoints, {expected} expected"
        );
    }
}

// Guards against restarts that move endpoints between shards: instances would lose track of what
// runs at an endpoint and overload it.
#[test]
fn removing_an_endpoint_moves_few_others() {
    let shards = [9; 8];
    let before = assigned(89, &shards);
    let after = assigned(88, &shards);
    let moved = after
        .iter()
        .filter(|(name, shard)| before[*name] != **shard)
        .count();
    assert!(moved <= 88 / 8, "{moved} endpoints moved");
}

#[test]
fn restarts_of_instances_move_no_endpoints() {
    let mut core = core("i0", 1);
    for (centre, name) in names_by_centre(68) {
        core.add_instance(&name, location(&name, &centre));
    }
    for index in 0..89 {
        core.registry()
            .put(Millis(0), endpoint(&format!("e{index}"), 4));
    }
    let before: Vec<_> = core.registry().eligible("lm").to_vec();
    for number in 1..30 {
        core.remove_instance(Millis(number), &format!("i{number}"));
    }
    assert_eq!(core.registry().eligible("lm"), before);
}

// A quarter of a large fleet is rejected by the store, and their entries expire while they keep
// serving. Guards against the others counting a smaller fleet and taking a larger share of each
// quota, which would grant a third too much in total.
#[test]
fn instances_whose_entries_expired_keep_their_fleet_share() {
    let mut core = core("i0", 1);
    for (centre, name) in names_by_centre(68) {
        core.add_instance(&name, location(&name, &centre));
    }
    let before = core.peers().fleet_share(Millis(0));
    for number in 50..68 {
        core.remove_instance(Millis(5_000), &format!("i{number}"));
    }
    assert!((core.peers().fleet_share(Millis(9_000)) - before).abs() < 1e-9);
}

#[test]
fn every_endpoint_belongs_to_a_shard_and_overcommitment_is_bounded() {
    for count in [2, 4, 15, 89] {
        let mut seen = BTreeSet::new();
        let mut total_slots = 0;
        for shard in 0..8 {
            let mut registry = Registry::default();
            for index in 0..count {
                let id = format!("e{index}");
                registry.put(
                    Millis(0),
                    Endpoint {
                        slots: 6,
                        ..endpoint(&id, 6)
                    },
                );
            }
            registry.set_shards(shard, vec![9; 8]);
            assert!(!registry.eligible("lm").is_empty());
            seen.extend(registry.eligible("lm").iter().map(|it| it.id.to_string()));
            total_slots += registry
                .eligible("lm")
                .iter()
                .map(|it| it.slots)
                .sum::<u32>();
        }
        assert_eq!(seen.len(), count);
        // Shards that share an endpoint each get one and a half times their even share of its
        // slots.
        assert!(
            total_slots <= 6 * u32::try_from(count).unwrap() * 3,
            "{total_slots} slots for {count} endpoints"
        );
    }
}

#[test]
fn an_instance_keeps_peers_of_its_own_shard_but_learns_of_poison_requests_from_all() {
    let mut core = core("i0", 1);
    for (centre, name) in names_by_centre(40) {
        core.add_instance(&name, location(&name, &centre));
    }
    let shard: BTreeSet<_> = core
        .other_instances()
        .filter(|row| row.1)
        .map(|row| row.0.peer_address.clone())
        .collect();
    assert!((4..=16).contains(&shard.len()), "{shard:?}");
    for (_, name) in names_by_centre(40) {
        let mut received = report(&name, 1);
        received.info.as_mut().unwrap().quarantine = vec![(55, vec![1, 2])];
        core.receive_report(Millis(0), received);
    }
    assert_eq!(core.peers().instance_count(Millis(0)), shard.len() + 1);
    let pass = core.route(Millis(0), common::request("/safe/x")).unwrap();
    assert!(core.admit(Millis(0), &pass, 55).is_err());
}

// Guards against dropping, with the rows that replace those of peers, what concerns all shards.
#[test]
fn limits_prompt_parts_and_sound_requests_reported_by_other_shards_are_used() {
    let mut core = core("i0", 1);
    for (centre, name) in names_by_centre(40) {
        core.add_instance(&name, location(&name, &centre));
    }
    let others = core.other_instances().filter(|row| !row.1);
    let peer_address = others.map(|row| row.0.peer_address.clone()).next().unwrap();
    let key = endpoint("e1", 1).key().short_key();
    let limit = LimitRow {
        endpoint: key,
        rate: 2_000,
        age: 1,
    };
    let rejection_limit = RejectionRow {
        endpoint: key,
        limit: 3,
        age: 1,
        rejected_age: None,
    };
    let part = PartRow {
        part: PromptPart::from_id("b"),
        position: 0,
        sound_age: None,
        crashes: vec![PartCrashRow {
            endpoint: 7,
            age: 1,
            alone: true,
        }],
    };
    let sound_request = SoundRequestRow {
        fingerprint: 77,
        age: 1,
    };
    let mut received = Report {
        limits: vec![limit],
        rejection_limits: vec![rejection_limit],
        prompt_parts: vec![part],
        sound_requests: vec![sound_request],
        ..report(peer_address.trim_end_matches(":2"), 1)
    };
    received.info.as_mut().unwrap().quarantine = vec![(77, vec![7])];
    core.receive_report(Millis(100), received);
    assert_eq!(core.peers().instance_count(Millis(100)), 1);
    assert_eq!(core.take_limit_changes().len(), 1);
    assert_eq!(core.scheduler().rejection_limits().active_count(), 1);
    let next = core.next_report(Millis(110), true);
    assert_eq!(next.prompt_parts.len(), 1);
    assert_eq!(next.sound_requests.len(), 1);
}

// Guards against seventy instances polling the store as often as seven: they make ten times the
// calls, and operators pay for each call. If shards poll in turn, a change costs one or two calls.
#[test]
fn a_large_fleet_calls_the_store_less_often() {
    let timings = |name: &str, count, settle| {
        let identity = Identity {
            settling_time: Millis(settle),
            ..identity(name, 1)
        };
        let mut core = Core::new(identity);
        core.store_call_succeeded();
        for index in 0..count {
            core.add_instance(&format!("i{index}"), location(&format!("i{index}"), "a"));
        }
        (core.watch_timeout(), core.update_batch_delay(Millis::ZERO))
    };
    assert_eq!(timings("i0", 11, 10_000), (Millis(3_500), Millis(500)));
    let all: BTreeSet<_> = (0..17)
        .map(|index| timings(&format!("i{index}"), 17, 10_000))
        .collect();
    let expected = [500, 1_000].map(|delay| (Millis(7_000), Millis(delay)));
    assert_eq!(all, expected.into());
    // A lost watch ends before the deadline by which changes must be in force again.
    for settle in [3_000, 4_000] {
        let timeout = Millis(settle - 1_000);
        assert_eq!(timings("i0", 11, settle).0, timeout.min(Millis(3_500)));
        assert_eq!(timings("i0", 17, settle).0, timeout);
    }
}

//! Endpoints that name a rate limit, before a fleet in virtual time.
//!
//! `SEEDS=FROM..TO` plays other seeds than those of every run.

#[path = "../common/mod.rs"]
mod common;
mod fleet;

use crate::common::endpoint;
use crate::common::identity;
use crate::common::location;
use crate::common::seeds;
use crate::fleet::Fleet;
use crate::fleet::Scenario;
use siskinyoke_base::Millis;
use siskinyoke_dispatch::Core;

const BASE_SCENARIO: Scenario = Scenario {
    instances: 8,
    limit_rate: 1.5,
    endpoints: 4,
    arrival_rate: 60.0,
    random_faults: false,
    pause: false,
    limited_endpoints: 1,
};

// Guards against each instance keeping to a limit alone, and against many instances' first requests.
#[test]
fn all_instances_together_keep_to_a_limit() {
    for size in [1, 3, 8, 11] {
        for rate in [0.2, 1.2, 1.5, 6.3, 25.0] {
            for seed in seeds(0..1) {
                let plan = Scenario {
                    instances: size,
                    limit_rate: rate,
                    ..BASE_SCENARIO
                };
                check_limit(seed, plan);
            }
        }
    }
}

// Guards against tokens that all instances gathered in a calm and spend at the same moment.
#[test]
fn a_limit_holds_after_an_idle_period() {
    for rate in [0.5, 0.8, 1.5] {
        for seed in seeds(0..5) {
            let plan = Scenario {
                instances: 11,
                limit_rate: rate,
                arrival_rate: 110.0,
                pause: true,
                ..BASE_SCENARIO
            };
            check_limit(seed, plan);
        }
    }
}

// Guards against a limit that is exceeded where instances start anew, freeze, are cut off or lose reports.
#[test]
fn a_limit_holds_under_random_faults() {
    for rate in [0.5, 1.5, 6.3, 25.0] {
        for seed in seeds(0..4) {
            let plan = Scenario {
                limit_rate: rate,
                random_faults: true,
                ..BASE_SCENARIO
            };
            check_limit(seed, plan);
        }
    }
}

// Guards against a limit that starves the endpoint, or that outlives its naming.
#[test]
fn an_endpoint_gets_its_limit_and_full_load_once_lifted() {
    for limit_rate in [1.5, 6.3, 25.0] {
        for seed in seeds(0..3) {
            let plan = Scenario {
                limit_rate,
                arrival_rate: 110.0,
                ..BASE_SCENARIO
            };
            let fleet = Fleet::run(seed, plan);
            let expected = limit_rate.min(20.0);
            assert!(
                fleet.checked_rate >= expected * 0.6,
                "{plan:?} {seed}: {} a second",
                fleet.checked_rate
            );
            assert!(
                fleet.final_rate >= 10.0,
                "{plan:?} {seed}: {} a second afterwards",
                fleet.final_rate
            );
        }
    }
}

// Guards against tokens that nobody uses while callers are refused elsewhere.
#[test]
fn limits_of_all_endpoints_are_used_up() {
    for (rate, per_s) in [(1.2, 95.0), (2.5, 95.0), (6.3, 95.0), (2.5, 25.0)] {
        for seed in seeds(0..1) {
            let plan = Scenario {
                limit_rate: rate,
                arrival_rate: per_s,
                endpoints: 12,
                limited_endpoints: 12,
                ..BASE_SCENARIO
            };
            let fleet = Fleet::run(seed, plan);
            let wanted = (rate * 12.0).min(per_s);
            assert!(
                fleet.limited_rate >= wanted * 0.9,
                "{plan:?} {seed}: {} a second",
                fleet.limited_rate
            );
        }
    }
}

// Guards against each shard of a large fleet keeping to a limit alone, at endpoints of one shard and at shared ones.
#[test]
fn all_shards_together_keep_to_a_limit() {
    for (size, endpoints) in [(17, 24), (26, 3)] {
        for rate in [1.2, 6.3] {
            for seed in seeds(0..1) {
                let plan = Scenario {
                    instances: size,
                    limit_rate: rate,
                    endpoints,
                    limited_endpoints: endpoints.div_ceil(2),
                    arrival_rate: 150.0,
                    ..BASE_SCENARIO
                };
                check_limit(seed, plan);
            }
        }
    }
}

// Guards against instances that know the same limit in different roundings and tell each other of changes without end.
#[test]
fn rounding_a_limit_causes_no_change_at_peers() {
    let named = endpoint("e0", 4);
    let mut cores = ["i0", "i1"].map(|name| {
        let mut core = Core::new(identity(name, 1));
        core.registry().put(Millis(0), named.clone());
        core
    });
    for round in 1..5 {
        let now = Millis(round * 1_000);
        let [first, second] = &mut cores;
        first.record_limit(now, &named, now, Some(1.234_567));
        second.receive_report(now, first.next_report(now, true));
        let later = now + Millis(500);
        second.record_limit(later, &named, later, Some(1.234_567));
        first.receive_report(later, second.next_report(later, true));
    }
    for core in &mut cores {
        assert_eq!(core.take_limit_changes().len(), 1);
    }
}

// Guards against a limit of an endpoint that is gone being forgotten and heard again with each report.
#[test]
fn a_limit_of_an_unknown_endpoint_is_not_taken_from_peers() {
    let mut first = Core::new(identity("i0", 1));
    let mut second = Core::new(identity("i1", 2));
    let named = endpoint("e0", 4);
    first.registry().put(Millis(0), named.clone());
    first.record_limit(Millis(1_000), &named, Millis(0), Some(2.0));
    second.receive_report(Millis(1_000), first.next_report(Millis(1_000), true));
    assert_eq!(second.take_limit_changes(), []);
    second.registry().put(Millis(1_500), named);
    second.receive_report(Millis(1_500), first.next_report(Millis(1_500), true));
    assert_eq!(second.take_limit_changes().len(), 1);
}

// Guards against tokens that gather at instances which do not use an endpoint, and are spent once they do.
#[test]
fn an_endpoint_of_another_shard_brings_no_tokens() {
    let mut core = Core::new(identity("i0", 1));
    for at in 0..17 {
        let name = format!("i{at}");
        core.add_instance(&name, location(&name, "a"));
    }
    for at in 0..16 {
        core.registry()
            .put(Millis(0), endpoint(&format!("e{at}"), 4));
    }
    let own: Vec<String> = core
        .registry()
        .eligible("lm")
        .iter()
        .map(|it| it.id.to_string())
        .collect();
    assert!((1..16).contains(&own.len()), "{own:?}");
    for at in 0..16 {
        let named = endpoint(&format!("e{at}"), 4);
        core.record_limit(Millis(0), &named, Millis(0), Some(4.0));
    }
    core.decide(Millis(0));
    core.decide(Millis(10_000));
    for at in 0..16 {
        let named = endpoint(&format!("e{at}"), 4);
        let tokens = core.scheduler().rate_limits().tokens(named.key());
        let mine = own.contains(&named.id.to_string());
        assert_eq!(tokens, Some(u32::from(mine)), "{}", named.id);
    }
}

fn check_limit(seed: u64, plan: Scenario) {
    let fleet = Fleet::run(seed, plan);
    assert!(
        fleet.violations.is_empty(),
        "{plan:?} {seed}: {:#?}",
        fleet.violations
    );
}

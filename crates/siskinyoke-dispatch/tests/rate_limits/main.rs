//! Endpoints that announce a rate limit to a fleet, in virtual time.
//!
//! `SEEDS=FROM..TO` runs other seeds than the default ones.

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

// Guards against each instance using the whole limit, and against every instance of a large fleet
// sending a first request.
#[test]
fn all_instances_together_keep_to_a_limit() {
    for size in [1, 3, 8, 11] {
        for rate in [0.2, 1.2, 1.5, 6.3, 25.0] {
            for seed in seeds(0..1) {
                let scenario = Scenario {
                    instances: size,
                    limit_rate: rate,
                    ..BASE_SCENARIO
                };
                check_limit(seed, scenario);
            }
        }
    }
}

// Guards against tokens that all instances accumulate while idle and spend at the same moment.
#[test]
fn a_limit_holds_after_an_idle_period() {
    for rate in [0.5, 0.8, 1.5] {
        for seed in seeds(0..5) {
            let scenario = Scenario {
                instances: 11,
                limit_rate: rate,
                arrival_rate: 110.0,
                pause: true,
                ..BASE_SCENARIO
            };
            check_limit(seed, scenario);
        }
    }
}

// Guards against exceeding a limit while instances restart, freeze, are partitioned or lose
// reports.
#[test]
fn a_limit_holds_under_random_faults() {
    for rate in [0.5, 1.5, 6.3, 25.0] {
        for seed in seeds(0..4) {
            let scenario = Scenario {
                limit_rate: rate,
                random_faults: true,
                ..BASE_SCENARIO
            };
            check_limit(seed, scenario);
        }
    }
}

// Guards against a limit that starves the endpoint, or that stays in force after the endpoint has
// stopped announcing it.
#[test]
fn an_endpoint_gets_its_limit_and_full_load_once_lifted() {
    for limit_rate in [1.5, 6.3, 25.0] {
        for seed in seeds(0..3) {
            let scenario = Scenario {
                limit_rate,
                arrival_rate: 110.0,
                ..BASE_SCENARIO
            };
            let fleet = Fleet::run(seed, scenario);
            let expected = limit_rate.min(20.0);
            assert!(
                fleet.checked_rate >= expected * 0.6,
                "{scenario:?}, seed {seed}: {} requests a second",
                fleet.checked_rate
            );
            assert!(
                fleet.final_rate >= 10.0,
                "{scenario:?}, seed {seed}: {} requests a second after the limit",
                fleet.final_rate
            );
        }
    }
}

// Guards against unused tokens at some endpoints while requests are refused.
#[test]
fn limits_of_all_endpoints_are_used_up() {
    for (rate, arrival_rate) in [(1.2, 95.0), (2.5, 95.0), (6.3, 95.0), (2.5, 25.0)] {
        for seed in seeds(0..1) {
            let scenario = Scenario {
                limit_rate: rate,
                arrival_rate,
                endpoints: 12,
                limited_endpoints: 12,
                ..BASE_SCENARIO
            };
            let fleet = Fleet::run(seed, scenario);
            let expected = (rate * 12.0).min(arrival_rate);
            assert!(
                fleet.limited_rate >= expected * 0.9,
                "{scenario:?}, seed {seed}: {} requests a second",
                fleet.limited_rate
            );
        }
    }
}

// Guards against each shard of a large fleet using the whole limit, both at endpoints of a single
// shard and at endpoints that shards share.
#[test]
fn all_shards_together_keep_to_a_limit() {
    for (size, endpoints) in [(17, 24), (26, 3)] {
        for rate in [1.2, 6.3] {
            for seed in seeds(0..1) {
                let scenario = Scenario {
                    instances: size,
                    limit_rate: rate,
                    endpoints,
                    limited_endpoints: endpoints.div_ceil(2),
                    arrival_rate: 150.0,
                    ..BASE_SCENARIO
                };
                check_limit(seed, scenario);
            }
        }
    }
}

// Guards against instances that round the same limit differently and report changes to each other
// endlessly.
#[test]
fn rounding_a_limit_causes_no_change_at_peers() {
    let limited = endpoint("e0", 4);
    let mut cores = ["i0", "i1"].map(|name| {
        let mut core = Core::new(identity(name, 1));
        core.registry().put(Millis(0), limited.clone());
        core
    });
    for round in 1..5 {
        let now = Millis(round * 1_000);
        let [first, second] = &mut cores;
        first.record_limit(now, &limited, now, Some(1.234_567));
        second.receive_report(now, first.next_report(now, true));
        let later = now + Millis(500);
        second.record_limit(later, &limited, later, Some(1.234_567));
        first.receive_report(later, second.next_report(later, true));
    }
    for core in &mut cores {
        assert_eq!(core.take_limit_changes().len(), 1);
    }
}

// Guards against dropping the limit of a removed endpoint and adding it again with each report.
#[test]
fn a_limit_of_an_unknown_endpoint_is_not_taken_from_peers() {
    let mut first = Core::new(identity("i0", 1));
    let mut second = Core::new(identity("i1", 2));
    let limited = endpoint("e0", 4);
    first.registry().put(Millis(0), limited.clone());
    first.record_limit(Millis(1_000), &limited, Millis(0), Some(2.0));
    second.receive_report(Millis(1_000), first.next_report(Millis(1_000), true));
    assert_eq!(second.take_limit_changes(), []);
    second.registry().put(Millis(1_500), limited);
    second.receive_report(Millis(1_500), first.next_report(Millis(1_500), true));
    assert_eq!(second.take_limit_changes().len(), 1);
}

// Guards against instances that accumulate tokens for an endpoint they do not use, and spend them
// once they do.
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
    let own_endpoints: Vec<String> = core
        .registry()
        .eligible("lm")
        .iter()
        .map(|it| it.id.to_string())
        .collect();
    assert!((1..16).contains(&own_endpoints.len()), "{own_endpoints:?}");
    for at in 0..16 {
        let limited = endpoint(&format!("e{at}"), 4);
        core.record_limit(Millis(0), &limited, Millis(0), Some(4.0));
    }
    core.decide(Millis(0));
    core.decide(Millis(10_000));
    for at in 0..16 {
        let limited = endpoint(&format!("e{at}"), 4);
        let tokens = core.scheduler().rate_limits().tokens(limited.key());
        let is_own = own_endpoints.contains(&limited.id.to_string());
        assert_eq!(tokens, Some(u32::from(is_own)), "{}", limited.id);
    }
}

fn check_limit(seed: u64, scenario: Scenario) {
    let fleet = Fleet::run(seed, scenario);
    assert!(
        fleet.violations.is_empty(),
        "{scenario:?}, seed {seed}: {:#?}",
        fleet.violations
    );
}

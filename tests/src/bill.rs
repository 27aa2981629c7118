//! What the bill must say after a history.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::World;
use crate::operators;
use siskinyoke_base::CallClass;
use siskinyoke_base::Code;
use siskinyoke_base::Millis;

/// Compares the bill with the answers that callers got and with what endpoints ran.
///
/// Each complete answer is charged, and nothing is charged that no endpoint ran. What may run
/// again is charged again where it did: an adopted request gave two whole answers.
pub fn check(world: &mut World) -> Vec<String> {
    for at in 0..world.size() {
        if !world.is_running(at) {
            world.restart(at);
        }
    }
    world.run(Millis::from_secs(60));
    let charged = charged(world, 0);
    let mut answered: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
    let mut most: BTreeMap<&str, BTreeMap<&str, u32>> = BTreeMap::new();
    for sending in world.history.calls.values() {
        let body = sending.body.as_str();
        if sending.end == Some(Code::Complete) {
            answered.entry(sending.target).or_default().insert(body);
        }
        let runs = crate::history::runs(sending, &world.endpoints);
        let once = sending.class != CallClass::Idempotent;
        let runs = if once { runs.min(1) } else { runs };
        most.entry(sending.target).or_default().insert(body, runs);
    }
    let mut breaches = Vec::new();
    for (target, runs) in &most {
        let charged = charged.get(*target).copied().unwrap_or(0);
        let least = answered.get(target).map_or(0, BTreeSet::len) as u64;
        let most: u32 = runs.values().sum();
        if charged < least || charged > u64::from(most) {
            breaches.push(format!(
                "{target}: {charged} charged, {least} answered, {most} ran"
            ));
        }
    }
    breaches
}

/// Returns the requests charged by model.
pub fn charged(world: &mut World, at: usize) -> BTreeMap<String, u64> {
    let body = operators::read(world, at, "/admin/v1/usage");
    let mut charged = BTreeMap::new();
    for line in body["lines"].as_array().into_iter().flatten() {
        let model = line["line"]["model"].as_str().unwrap_or_default();
        let requests = line["counters"]["requests"].as_u64().unwrap_or(0);
        *charged.entry(model.to_owned()).or_default() += requests;
    }
    charged
}

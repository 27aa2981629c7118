//! What this daemon asks of the allocators of shared capacity.
//!
//! Load pattern: callers keep the address they were given, so load differs between instances.
//! With equal shares a full daemon refuses while another's share lies idle. Each line says what
//! runs and waits by tier; its last entry, behind every tier, is a wish for spare room, so that
//! what nobody needs is spread and the next burst finds room before the next round.

use crate::endpoint::Endpoint;
use crate::intake::Intake;
use crate::pool::Pool;
use crate::queue::LaneKey;
use crate::state::State;
use crate::units;
use siskinyoke_base::Millis;
use siskinyoke_base::message::LeaseDemand;
use siskinyoke_base::message::Resource;

/// Room asked for above the load of late: a fifth covers its usual swing between two rounds.
const HEADROOM: f64 = 1.2;

/// Returns the demand for each endpoint's slots.
///
/// A tier's few slots are dealt out to endpoints by their size from a starting point of the
/// daemon's own, `offset` in parts of 1: rounding up on each endpoint would ask for twelve slots
/// where one is needed, and rounding alike would send all daemons to the same endpoints.
pub(crate) fn endpoints(now: Millis, state: &State, offset: f64) -> Vec<LeaseDemand> {
    let pool = &state.pool;
    let ranks = state.forecast.loads();
    let ranks = ranks.map(|(key, _)| usize::from(key.rank) + 1).max();
    let ranks = ranks.unwrap_or(1);
    let mut lines: Vec<LeaseDemand> = pool
        .endpoints()
        .map(|endpoint| {
            let mut wanted = vec![0; ranks + 1];
            wanted[ranks] = endpoint.spec.slots;
            LeaseDemand {
                resource: Resource::Endpoint(endpoint.spec.id.clone()),
                wanted,
                held: pool.flights().count(&endpoint.spec.id),
            }
        })
        .collect();
    for (key, load) in state.forecast.loads() {
        let usual = load.slots(now) * HEADROOM;
        let waiting = f64::from(state.queue.lane_len(key));
        deal(pool, key, usual.max(waiting), offset, &mut lines);
    }
    lines
}

/// Deals a lane's slots out to the endpoints that offer its target.
fn deal(pool: &Pool, key: &LaneKey, total: f64, offset: f64, lines: &mut [LeaseDemand]) {
    let offers = |endpoint: &Endpoint| endpoint.offers(&key.target);
    let offering = pool.endpoints().filter(|endpoint| offers(endpoint));
    let slots: u32 = offering.map(|endpoint| endpoint.spec.slots).sum();
    let mut at = offset;
    for (endpoint, line) in pool.endpoints().zip(lines) {
        if !offers(endpoint) {
            continue;
        }
        let from = units::floor(at);
        at += total * f64::from(endpoint.spec.slots) / f64::from(slots.max(1));
        line.wanted[usize::from(key.rank)] += units::floor(at) - from;
    }
}

/// Returns the demand for organisations' allowances, in tokens a second.
pub(crate) fn allowances(now: Millis, intake: &Intake) -> Vec<LeaseDemand> {
    let lines = intake.allowances.iter().map(|(id, rate)| {
        let usual = intake
            .tokens
            .get(id)
            .map_or(0.0, |tokens| tokens.value(now));
        LeaseDemand {
            resource: Resource::Allowance(id.clone()),
            wanted: vec![units::floor((usual * HEADROOM).ceil()), rate],
            held: 0,
        }
    });
    lines.collect()
}

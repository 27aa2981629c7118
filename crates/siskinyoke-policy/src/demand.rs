//! What this daemon asks of the allocators of shared capacity.
//!
//! Load pattern: callers keep the address they were given, so load differs between instances.
//! With equal shares a full daemon refuses while another's share lies idle. Each line says what
//! runs and waits by tier; its last entry, behind every tier, is a wish for spare room, so that
//! what nobody needs is spread and the next burst finds room before the next round.

use std::collections::BTreeMap;

use crate::allowance::Allowances;
use crate::endpoint::Endpoint;
use crate::pool::Pool;
use crate::queue::LaneKey;
use crate::queue::Queue;
use crate::rate::Rate;
use crate::units;
use siskinyoke_base::Millis;
use siskinyoke_base::OrganisationId;
use siskinyoke_base::message::LeaseDemand;
use siskinyoke_base::message::Resource;

/// Room asked for above the load of late: a fifth covers its usual swing between two rounds.
const HEADROOM: f64 = 1.2;

/// Returns the demand for each endpoint's slots.
pub(crate) fn endpoints(
    now: Millis,
    pool: &Pool,
    queue: &Queue,
    loads: &BTreeMap<LaneKey, Rate>,
) -> Vec<LeaseDemand> {
    let ranks = loads.keys().map(|key| usize::from(key.rank) + 1).max();
    let ranks = ranks.unwrap_or(1);
    let lines = pool.endpoints().map(|endpoint| {
        let mut wanted: Vec<u32> = vec![0; ranks + 1];
        for (key, rate) in loads {
            let part = part(pool, endpoint, key);
            let usual = rate.value(now) * HEADROOM * part;
            let waiting = f64::from(queue.lane_len(key)) * part;
            wanted[usize::from(key.rank)] += units::floor((usual.max(waiting)).ceil());
        }
        for flight in pool.flights().on(&endpoint.spec.id) {
            let rank = usize::from(flight.work.rank).min(ranks - 1);
            wanted[rank] = wanted[rank].max(1);
        }
        wanted[ranks] = endpoint.spec.slots;
        LeaseDemand {
            resource: Resource::Endpoint(endpoint.spec.id.clone()),
            wanted,
            held: pool.flights().count(&endpoint.spec.id),
        }
    });
    lines.collect()
}

/// Returns the demand for organisations' allowances, in tokens a second.
pub(crate) fn allowances(
    now: Millis,
    allowances: &Allowances,
    tokens: &BTreeMap<OrganisationId, Rate>,
) -> Vec<LeaseDemand> {
    let lines = allowances.iter().map(|(id, rate)| {
        let usual = tokens.get(id).map_or(0.0, |tokens| tokens.value(now));
        LeaseDemand {
            resource: Resource::Allowance(id.clone()),
            wanted: vec![units::floor((usual * HEADROOM).ceil()), rate],
            held: 0,
        }
    });
    lines.collect()
}

/// Returns an endpoint's part of all slots for a lane's target.
fn part(pool: &Pool, endpoint: &Endpoint, key: &LaneKey) -> f64 {
    if !endpoint.offers(&key.target) {
        return 0.0;
    }
    let offering = pool.endpoints().filter(|other| other.offers(&key.target));
    let slots: u32 = offering.map(|other| other.spec.slots).sum();
    f64::from(endpoint.spec.slots) / f64::from(slots.max(1))
}

//! Division of a large fleet into shards, each with its own instances and endpoints.
//!
//! Instances that share an endpoint report every request there to each other. Among seventy
//! instances that is five thousand reports per round, more than a small instance can process. A
//! large fleet is therefore divided into shards of about nine instances, which share the endpoints
//! of their shard and report only to each other. Callers spread over all instances, so each shard
//! receives its share of the load. The cost of sharding is that a free slot in one shard does not
//! help another one.

use std::collections::BTreeMap;

use crate::stable_hash;

/// The minimum average number of instances per shard.
///
/// The number of shards is a power of two, so shards average six to twelve instances: few enough to
/// exchange reports cheaply, enough to hold about twenty endpoints between them. Powers of two are
/// far apart, so restarts of a few instances rarely change the number of shards.
const MIN_INSTANCES_PER_SHARD: usize = 6;

/// Returns the number of shards for a fleet of this many instances.
pub fn count(instances: usize) -> usize {
    let max = instances / MIN_INSTANCES_PER_SHARD;
    if max < 2 {
        return 1;
    }
    1 << max.ilog2()
}

/// Returns the shard of an instance.
///
/// It depends only on the instance's name, so the restart of another instance never moves it.
pub fn shard_of(name: &str, shards: usize) -> usize {
    usize::try_from(stable_hash(&name) >> 32).unwrap_or(0) % shards.max(1)
}

/// Assigns endpoints to shards; instances with the same inputs compute the same assignment.
///
/// An endpoint is given as its data centre and name. Each shard gets endpoints in proportion to its
/// number of instances, in `sizes`, and therefore to its share of the load. This is rendezvous
/// hashing with a capacity per shard, so that adding or removing an endpoint moves few others.
pub fn assign<'a>(endpoints: &[(&'a str, &'a str)], sizes: &[usize]) -> BTreeMap<&'a str, usize> {
    let mut centre_sizes: BTreeMap<&str, usize> = BTreeMap::new();
    for (centre, _) in endpoints {
        *centre_sizes.entry(centre).or_default() += 1;
    }
    let mut totals = vec![0; sizes.len()];
    let mut centre_totals: BTreeMap<(&str, usize), usize> = BTreeMap::new();
    let mut assigned = BTreeMap::new();
    for (centre, name) in endpoints {
        let limit = |count: usize, shard: &usize, up: bool| capacity(count, *shard, sizes, up);
        let has_room = |shard: &usize, up: bool| totals[*shard] < limit(endpoints.len(), shard, up);
        let has_centre_room = |shard: &usize| {
            let taken = centre_totals.get(&(*centre, *shard)).copied().unwrap_or(0);
            taken < limit(centre_sizes[centre], shard, true)
        };
        let weight = |shard: &usize| stable_hash(&(name, shard));
        let best = |eligible: &dyn Fn(&usize) -> bool| {
            (0..sizes.len())
                .filter(|shard| eligible(shard))
                .max_by_key(weight)
        };
        let shard = best(&|shard| has_room(shard, false) && has_centre_room(shard))
            .or_else(|| best(&|shard| has_room(shard, false)))
            .or_else(|| best(&|shard| has_room(shard, true)));
        let Some(shard) = shard else { continue };
        totals[shard] += 1;
        *centre_totals.entry((centre, shard)).or_default() += 1;
        assigned.insert(*name, shard);
    }
    assigned
}

// Returns a shard's proportional share of this many endpoints, rounded up or down.
fn capacity(endpoints: usize, shard: usize, sizes: &[usize], up: bool) -> usize {
    let instances: usize = sizes.iter().sum();
    let product = endpoints * sizes[shard];
    if up {
        product.div_ceil(instances.max(1))
    } else {
        product / instances.max(1)
    }
}

//! Parts of a large fleet, each with instances and endpoints of its own.
//!
//! Instances that share an endpoint tell each other of every request there. Among seventy
//! instances that is five thousand reports in every round, more than a small one can take in. So
//! a large fleet is cut into shards of some nine instances, which share the endpoints of their shard
//! and tell only each other. Callers spread over all instances, so each shard gets its part of the
//! work. What a shard lacks against the whole is only that a place in one cannot help another.

use std::collections::BTreeMap;

use crate::stable_hash;

/// The fewest instances that a shard has on average.
///
/// The number of shards is a power of two, so shards have six to twelve instances on average: few
/// enough to hear each other at little cost, enough to hold a score of endpoints between them.
/// Powers of two are far apart, so that restarts of some instances seldom change the number.
const MIN_INSTANCES_PER_SHARD: usize = 6;

/// Returns the number of shards for a fleet of so many instances.
pub fn count(instances: usize) -> usize {
    let most = instances / MIN_INSTANCES_PER_SHARD;
    if most < 2 {
        return 1;
    }
    1 << most.ilog2()
}

/// Returns the shard of an instance.
///
/// It depends on nothing but its name, so that no restart of another moves it.
pub fn shard_of(name: &str, shards: usize) -> usize {
    usize::try_from(stable_hash(&name) >> 32).unwrap_or(0) % shards.max(1)
}

/// Assigns endpoints to shards, the same in every instance that knows the same.
///
/// An endpoint is a data centre and a name. Each shard gets endpoints in proportion to its number
/// of instances, in `sizes`, and so to its part of the callers. Rendezvous hashing with a bound for
/// each shard: an endpoint that comes or goes moves few others.
pub fn assign<'a>(endpoints: &[(&'a str, &'a str)], sizes: &[usize]) -> BTreeMap<&'a str, usize> {
    let mut centres: BTreeMap<&str, usize> = BTreeMap::new();
    for (centre, _) in endpoints {
        *centres.entry(centre).or_default() += 1;
    }
    let mut total = vec![0; sizes.len()];
    let mut near: BTreeMap<(&str, usize), usize> = BTreeMap::new();
    let mut assigned = BTreeMap::new();
    for (centre, name) in endpoints {
        let most = |members: usize, shard: &usize, up: bool| bound(members, *shard, sizes, up);
        let open = |shard: &usize, up: bool| total[*shard] < most(endpoints.len(), shard, up);
        let even = |shard: &usize| {
            let taken = near.get(&(*centre, *shard)).copied().unwrap_or(0);
            taken < most(centres[centre], shard, true)
        };
        let liked = |shard: &usize| stable_hash(&(name, shard));
        let best = |fits: &dyn Fn(&usize) -> bool| {
            (0..sizes.len())
                .filter(|shard| fits(shard))
                .max_by_key(liked)
        };
        let shard = best(&|shard| open(shard, false) && even(shard))
            .or_else(|| best(&|shard| open(shard, false)))
            .or_else(|| best(&|shard| open(shard, true)));
        let Some(shard) = shard else { continue };
        total[shard] += 1;
        *near.entry((centre, shard)).or_default() += 1;
        assigned.insert(*name, shard);
    }
    assigned
}

// The part of so many members that is a shard's, rounded down or up.
fn bound(members: usize, shard: usize, sizes: &[usize], up: bool) -> usize {
    let all: usize = sizes.iter().sum();
    let part = members * sizes[shard];
    if up {
        part.div_ceil(all.max(1))
    } else {
        part / all.max(1)
    }
}

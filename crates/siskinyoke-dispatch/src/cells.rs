//! Parts of a large fleet, each with instances and endpoints of its own.
//!
//! Instances that share an endpoint tell each other of every request there. Among seventy
//! instances that is five thousand reports in every round, more than a small one can take in. So
//! a large fleet is cut into cells of some nine instances, which share the endpoints of their cell
//! and tell only each other. Callers spread over all instances, so each cell gets its part of the
//! work. What a cell lacks against the whole is only that a place in one cannot help another.

use std::collections::BTreeMap;

use crate::stable_hash;

/// The fewest instances that a cell has on average.
///
/// The number of cells is a power of two, so cells have six to twelve instances on average: few
/// enough to hear each other at little cost, enough to hold a score of endpoints between them.
/// Powers of two are far apart, so that restarts of some instances seldom change the number.
const SMALLEST: usize = 6;

/// Returns the number of cells for a fleet of so many instances.
pub fn count(instances: usize) -> usize {
    let most = instances / SMALLEST;
    if most < 2 {
        return 1;
    }
    1 << most.ilog2()
}

/// Returns the cell of an instance.
///
/// It depends on nothing but its name, so that no restart of another moves it.
pub fn home(name: &str, cells: usize) -> usize {
    usize::try_from(stable_hash(&name) >> 32).unwrap_or(0) % cells.max(1)
}

/// Assigns endpoints to cells, the same in every instance that knows the same.
///
/// An endpoint is a data centre and a name. Each cell gets endpoints in proportion to its number
/// of instances, in `sizes`, and so to its part of the callers. Rendezvous hashing with a bound for
/// each cell: an endpoint that comes or goes moves few others.
pub fn assign<'a>(endpoints: &[(&'a str, &'a str)], sizes: &[usize]) -> BTreeMap<&'a str, usize> {
    let mut centres: BTreeMap<&str, usize> = BTreeMap::new();
    for (centre, _) in endpoints {
        *centres.entry(centre).or_default() += 1;
    }
    let mut total = vec![0; sizes.len()];
    let mut near: BTreeMap<(&str, usize), usize> = BTreeMap::new();
    let mut assigned = BTreeMap::new();
    for (centre, name) in endpoints {
        let most = |members: usize, cell: &usize, up: bool| bound(members, *cell, sizes, up);
        let open = |cell: &usize, up: bool| total[*cell] < most(endpoints.len(), cell, up);
        let even = |cell: &usize| {
            let taken = near.get(&(*centre, *cell)).copied().unwrap_or(0);
            taken < most(centres[centre], cell, true)
        };
        let liked = |cell: &usize| stable_hash(&(name, cell));
        let best = |fits: &dyn Fn(&usize) -> bool| {
            (0..sizes.len()).filter(|cell| fits(cell)).max_by_key(liked)
        };
        let cell = best(&|cell| open(cell, false) && even(cell))
            .or_else(|| best(&|cell| open(cell, false)))
            .or_else(|| best(&|cell| open(cell, true)));
        let Some(cell) = cell else { continue };
        total[cell] += 1;
        *near.entry((centre, cell)).or_default() += 1;
        assigned.insert(*name, cell);
    }
    assigned
}

// The part of so many members that is a cell's, rounded down or up.
fn bound(members: usize, cell: usize, sizes: &[usize], up: bool) -> usize {
    let all: usize = sizes.iter().sum();
    let part = members * sizes[cell];
    if up {
        part.div_ceil(all.max(1))
    } else {
        part / all.max(1)
    }
}

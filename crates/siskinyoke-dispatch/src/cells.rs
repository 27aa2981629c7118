//! Parts of a large fleet, each with instances and endpoints of its own.
//!
//! Instances that share an endpoint tell each other of every request there. Among seventy
//! instances that is five thousand reports in every round, more than a small one can take in. So
//! a large fleet is cut into cells of some nine instances, which share the endpoints of their cell
//! and tell only each other. Callers spread over all instances, so each cell gets its part of the
//! work. What a cell lacks against the whole is only that a place in one cannot help another.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::stable_hash;

/// The instances of a cell.
///
/// Nine hear of each other at the cost measured for fleets of that size, and hold some ten
/// endpoints of a usual fleet, so that a peak of one is borne by the others.
const SIZE: usize = 9;

/// Returns the number of cells for a fleet of so many instances.
pub fn count(instances: usize) -> usize {
    ((instances + SIZE / 2) / SIZE).max(1)
}

/// Assigns members to cells, the same in every instance that knows the same members.
///
/// A member is a data centre and a name. Each cell gets nearly the same number of each data
/// centre's members, so that one centre's peak is borne by all cells. A member that comes or goes
/// may move others; for the length of a stay their counts are then too low by what runs there.
pub fn assign<'a>(
    members: impl Iterator<Item = (&'a str, &'a str)>,
    cells: usize,
) -> BTreeMap<&'a str, usize> {
    let mut centres: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for (centre, name) in members {
        centres.entry(centre).or_default().push(name);
    }
    let mut assigned = BTreeMap::new();
    let mut sizes = vec![0; cells];
    for (centre, mut names) in centres {
        names.sort_unstable();
        let most = names.len().div_ceil(cells);
        let mut taken = vec![0; cells];
        for name in names {
            let open = (0..cells).filter(|cell| taken[*cell] < most);
            let liked = |cell: &usize| (Reverse(sizes[*cell]), stable_hash(&(centre, name, cell)));
            let Some(cell) = open.max_by_key(liked) else {
                continue;
            };
            taken[cell] += 1;
            sizes[cell] += 1;
            assigned.insert(name, cell);
        }
    }
    assigned
}

//! Parts of a large fleet.

mod common;

use std::collections::BTreeSet;

use siskinyoke_base::Millis;
use siskinyoke_dispatch::Endpoint;
use siskinyoke_dispatch::cells;
use siskinyoke_dispatch::registry::Registry;

use common::core;
use common::endpoint;
use common::place;
use common::report;

fn members(count: usize) -> Vec<(String, String)> {
    (0..count)
        .map(|at| (format!("dc{}", at % 4), format!("i{at}")))
        .collect()
}

fn sizes(count: usize, cells: usize) -> Vec<usize> {
    let members = members(count);
    let rows = members.iter().map(|it| (&*it.0, &*it.1));
    let assigned = cells::assign(rows, cells);
    assert_eq!(assigned.len(), count);
    (0..cells)
        .map(|cell| assigned.values().filter(|it| **it == cell).count())
        .collect()
}

#[test]
fn a_small_fleet_is_one_cell_and_a_large_one_is_cut_evenly() {
    assert_eq!(cells::count(8), 1);
    assert_eq!(cells::count(12), 1);
    assert_eq!(cells::count(68), 8);
    for count in [68, 75, 300] {
        let sizes = sizes(count, cells::count(count));
        let (least, most) = (sizes.iter().min().unwrap(), sizes.iter().max().unwrap());
        assert!(most - least <= 1, "{sizes:?}");
    }
}

#[test]
fn every_endpoint_belongs_to_some_cell_and_none_is_given_more_than_it_runs() {
    for count in [2, 4, 15, 89] {
        let mut seen = BTreeSet::new();
        let mut given = 0;
        for cell in 0..8 {
            let mut registry = Registry::default();
            for at in 0..count {
                let id = format!("e{at}");
                registry.put(
                    Millis(0),
                    Endpoint {
                        slots: 6,
                        ..endpoint(&id, 6)
                    },
                );
            }
            registry.settle(cell, 8);
            assert!(!registry.fit("lm").is_empty());
            seen.extend(registry.fit("lm").iter().map(|it| it.id.to_string()));
            given += registry.fit("lm").iter().map(|it| it.slots).sum::<u32>();
        }
        assert_eq!(seen.len(), count);
        // Where cells share endpoints, each gets half as much again as its even part.
        assert!(
            given <= 6 * u32::try_from(count).unwrap() * 3,
            "{given} for {count}"
        );
    }
}

#[test]
fn an_instance_hears_its_own_cell_only_but_learns_of_bad_work_from_all() {
    let mut core = core("i0", 1);
    for (centre, name) in members(40) {
        core.list(&name, place(&name, &centre));
    }
    let mates: BTreeSet<_> = core
        .listed()
        .filter(|row| row.1)
        .map(|row| row.0.inner.clone())
        .collect();
    assert!((7..=10).contains(&mates.len()), "{mates:?}");
    for (_, name) in members(40) {
        let mut told = report(&name, 1);
        told.about.as_mut().unwrap().suspects = vec![(55, 2)];
        core.heard(Millis(0), told);
    }
    assert_eq!(core.peers().count(Millis(0)), mates.len() + 1);
    let pass = core.pass(Millis(0), common::request("/safe/x")).unwrap();
    assert!(core.admit(Millis(0), &pass, 55).is_err());
}

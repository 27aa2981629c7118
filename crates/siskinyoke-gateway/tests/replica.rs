//! Replication of the store's contents between peers.

use std::collections::BTreeMap;

use arbtest::arbitrary::Result;
use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;

use siskinyoke_gateway::replica::Replica;
use siskinyoke_interface::Batch;
use siskinyoke_interface::Item;

/// A model of the store, with its complete history.
#[derive(Default)]
struct Model {
    items: BTreeMap<String, Item>,
    history: Vec<Item>,
}

impl Model {
    fn revision(&self) -> u64 {
        self.history.len() as u64
    }

    fn write(&mut self, key: u8, value: Option<u8>) {
        let item = Item {
            key: format!("k{key}"),
            revision: (self.revision() + 1).into(),
            value: value.map(|it| vec![it]),
        };
        match &item.value {
            Some(_) => self.items.insert(item.key.clone(), item.clone()),
            None => self.items.remove(&item.key),
        };
        self.history.push(item);
    }

    fn watch(&self, after: u64) -> Batch {
        let skip = usize::try_from(after).unwrap();
        Batch {
            items: self.history.iter().skip(skip).cloned().collect(),
            revision: self.revision().into(),
            ..Batch::default()
        }
    }
}

// Returns the items of a replica's full state.
fn state(replica: &Replica) -> BTreeMap<String, Item> {
    let all = replica
        .changes_since(0.into())
        .expect("the full state")
        .items;
    let all = all.into_iter().filter(|it| it.value.is_some());
    all.map(|it| (it.key.clone(), it)).collect()
}

// Applies the changes that a replica returned to an instance's view.
fn apply_to_view(view: &mut BTreeMap<String, Item>, changes: Vec<Item>) {
    for item in changes {
        if item.value.is_some() {
            view.insert(item.key.clone(), item);
        } else {
            view.remove(&item.key);
        }
    }
}

// Changes reach instances from the store or from peers, in any order, some twice, or by full reads
// whose pages are no snapshot. An instance whose state differs from the store's would send requests
// to removed endpoints, or return to a replaced configuration.
#[test]
fn replicas_agree_with_the_store_however_changes_reach_them() {
    for seed in seeds() {
        arbtest(check_agreement).seed(seed);
    }
}

// With the first seed, a peer that had reread the full state sent only changes, and the instance
// kept an item that had been created and removed between the peer's two reads. The lower half of a
// seed is the number of random bytes.
fn seeds() -> impl Iterator<Item = u64> {
    let generated = (1..400_u64).map(|at| at.wrapping_mul(0x9e37_79b9_7f4a_7c15) << 32 | 0x400);
    std::iter::once(0xc34d_a03c_0000_0236).chain(generated)
}

fn check_agreement(u: &mut Unstructured<'_>) -> Result<()> {
    let mut model = Model::default();
    let mut replicas: Vec<(Replica, BTreeMap<String, Item>)> = Vec::new();
    replicas.resize_with(3, Default::default);
    model.write(0, Some(0));
    for _ in 0..40 {
        step(u, &mut model, &mut replicas)?;
    }
    for (replica, view) in &mut replicas {
        let batch = model.watch(replica.revision().number);
        let changes = if replica.revision().is_zero() {
            replica.replace_all(Batch {
                items: model.items.values().cloned().collect(),
                ..batch
            })
        } else {
            replica.apply_changes(batch)
        };
        apply_to_view(view, changes);
        assert_eq!(state(replica), model.items);
        assert_eq!(*view, model.items);
    }
    Ok(())
}

type Instance = (Replica, BTreeMap<String, Item>);

fn step(u: &mut Unstructured<'_>, model: &mut Model, replicas: &mut [Instance]) -> Result<()> {
    let index = u.int_in_range(0..=2)?;
    match u.int_in_range(0..=5)? {
        0..=2 => {
            let value = if u.ratio(1, 3)? {
                None
            } else {
                Some(u.arbitrary()?)
            };
            model.write(u.int_in_range(0..=5)?, value);
        }
        3 if !replicas[index].0.revision().is_zero() => {
            let changes = replicas[index]
                .0
                .apply_changes(model.watch(replicas[index].0.revision().number));
            apply_to_view(&mut replicas[index].1, changes);
        }
        4 => {
            // A full read in two pages, with a change between them.
            let revision = model.revision();
            let first: Vec<Item> = model
                .items
                .range(..="k2".to_owned())
                .map(|entry| entry.1.clone())
                .collect();
            model.write(u.int_in_range(0..=5)?, u.arbitrary()?);
            let second = model
                .items
                .range("k2\0".to_owned()..)
                .map(|entry| entry.1.clone());
            let items = first.into_iter().chain(second).collect();
            let batch = Batch {
                items,
                revision: revision.into(),
                ..Batch::default()
            };
            let changes = replicas[index].0.replace_all(batch);
            apply_to_view(&mut replicas[index].1, changes);
        }
        _ => {
            let from = u.int_in_range(0..=2)?;
            if let Some(update) = replicas[from].0.changes_since(replicas[index].0.revision()) {
                let changes = replicas[index].0.apply_update(update);
                apply_to_view(&mut replicas[index].1, changes);
            }
        }
    }
    Ok(())
}

#[test]
fn a_peer_gets_missing_changes_or_the_full_state_if_it_has_none() {
    let mut model = Model::default();
    for key in 0..4 {
        model.write(key, Some(key));
    }
    let mut replica = Replica::default();
    replica.replace_all(Batch {
        items: model.items.values().cloned().collect(),
        ..model.watch(0)
    });
    model.write(1, None);
    replica.apply_changes(model.watch(4));
    let update = replica.changes_since(4.into()).unwrap();
    assert!(!update.full);
    assert_eq!(update.items.len(), 1);
    assert_eq!(update.items[0].value, None);
    // A full read contains no earlier removals.
    assert_eq!(replica.changes_since(3.into()), None);
    let update = replica.changes_since(0.into()).unwrap();
    assert!(update.full);
    assert_eq!(update.items.len(), 3);
}

// Endpoints are added and removed for days, each under a new name. If every removal was kept,
// memory would grow without bound.
#[test]
fn old_removals_are_pruned() {
    let mut model = Model::default();
    model.write(0, Some(0));
    let mut replica = Replica::default();
    replica.replace_all(Batch {
        items: model.items.values().cloned().collect(),
        ..model.watch(0)
    });
    for number in 0..3_000_u64 {
        let removed = Item {
            key: format!("gone{number}"),
            revision: (number + 2).into(),
            value: None,
        };
        replica.apply_changes(Batch {
            items: vec![removed],
            revision: (number + 2).into(),
            ..Batch::default()
        });
    }
    assert!(replica.changes_since(2_900.into()).unwrap().items.len() <= 1_024);
    let update = replica.changes_since(500.into()).unwrap();
    assert!(update.full);
    assert_eq!(update.items.len(), 1);
}

// All instances start at once, each reads the store at a slightly different revision, and those
// behind learn of later ones from all others. If full states were exchanged, three hundred
// instances with three thousand endpoints would saturate their links for half a minute and serve no
// requests meanwhile.
#[test]
fn a_just_started_instance_sends_no_full_state_to_one_that_has_read_its_own() {
    let mut model = Model::default();
    for key in 0..4 {
        model.write(key, Some(key));
    }
    let read = |model: &Model| Batch {
        items: model.items.values().cloned().collect(),
        ..model.watch(0)
    };
    let mut early = Replica::default();
    early.replace_all(read(&model));
    model.write(1, None);
    let mut late = Replica::default();
    late.replace_all(read(&model));
    assert_eq!(late.changes_since(early.revision()), None);
    // Once the earlier one has caught up from the store, changes alone suffice.
    early.apply_changes(model.watch(early.revision().number));
    model.write(2, Some(9));
    late.apply_changes(model.watch(late.revision().number));
    let update = late.changes_since(early.revision()).unwrap();
    assert!(!update.full);
    assert_eq!(update.items.len(), 1);
}

//! Replication of a store that comes back from earlier copies.

use std::collections::BTreeMap;

use arbtest::arbitrary::Result;
use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;

use siskinyoke_base::Revision;
use siskinyoke_gateway::replica::Replica;
use siskinyoke_interface::Batch;
use siskinyoke_interface::Item;

/// A model of the store, with the history since it last came back.
#[derive(Clone, Default)]
struct Model {
    era: u64,
    items: BTreeMap<String, Item>,
    history: Vec<Item>,
}

impl Model {
    fn revision(&self) -> Revision {
        Revision::new(self.era, self.history.len() as u64)
    }

    fn write(&mut self, key: u8, value: Option<u8>) {
        let mut revision = self.revision();
        revision.number += 1;
        let item = Item {
            key: format!("k{key}"),
            revision,
            value: value.map(|it| vec![it]),
        };
        match &item.value {
            Some(_) => self.items.insert(item.key.clone(), item.clone()),
            None => self.items.remove(&item.key),
        };
        self.history.push(item);
    }

    fn restore(&mut self, copy: &Self) {
        let era = self.era + 1;
        *self = copy.clone();
        self.era = era;
        let items = self.items.values_mut().chain(&mut self.history);
        items.for_each(|item| item.revision.era = era);
    }

    // Lets a replica read the store as an instance does: changes if they follow what it knows, the
    // full state otherwise.
    fn read(&self, replica: &mut Replica) -> Vec<Item> {
        let known = replica.revision();
        if known.is_zero() || known.era < self.era {
            return replica.replace_all(Batch {
                items: self.items.values().cloned().collect(),
                revision: self.revision(),
                ..Batch::default()
            });
        }
        let skip = usize::try_from(known.number).unwrap();
        replica.apply_changes(Batch {
            items: self.history.iter().skip(skip).cloned().collect(),
            revision: self.revision(),
            ..Batch::default()
        })
    }
}

type Instance = (Replica, BTreeMap<String, Item>);

fn state(replica: &Replica) -> BTreeMap<String, Item> {
    let all = replica.changes_since(Revision::ZERO).expect("a full state");
    let live = all.items.into_iter().filter(|it| it.value.is_some());
    live.map(|it| (it.key.clone(), it)).collect()
}

fn apply_to_view(view: &mut BTreeMap<String, Item>, changes: Vec<Item>) {
    for item in changes {
        if item.value.is_some() {
            view.insert(item.key.clone(), item);
        } else {
            view.remove(&item.key);
        }
    }
}

// Guards against replicas that mix two histories, or stay at the lost one.
#[test]
fn replicas_agree_with_a_store_that_comes_back_from_copies() {
    for seed in (1..400_u64).map(|at| at.wrapping_mul(0x9e37_79b9_7f4a_7c15) << 32 | 0x400) {
        arbtest(check_agreement).seed(seed);
    }
}

fn check_agreement(u: &mut Unstructured<'_>) -> Result<()> {
    let mut model = Model::default();
    model.write(0, Some(0));
    let mut copy = model.clone();
    let mut instances: Vec<Instance> = Vec::new();
    instances.resize_with(3, Default::default);
    for _ in 0..40 {
        let index = u.int_in_range(0..=2)?;
        let known = instances[index].0.revision();
        match u.int_in_range(0..=7)? {
            0..=2 => model.write(u.int_in_range(0..=5)?, u.arbitrary()?),
            3 => copy = model.clone(),
            4 if copy.revision().number > 0 => model.restore(&copy),
            5 | 6 => {
                let (replica, view) = &mut instances[index];
                apply_to_view(view, model.read(replica));
            }
            _ => exchange(&mut instances, u.int_in_range(0..=2)?, index),
        }
        assert!(instances[index].0.revision() >= known);
    }
    for (replica, view) in &mut instances {
        apply_to_view(view, model.read(replica));
        assert_eq!(state(replica), model.items);
        assert_eq!(*view, model.items);
    }
    Ok(())
}

// Lets an instance fetch what a peer knows beyond it.
fn exchange(instances: &mut [Instance], from: usize, to: usize) {
    let known = instances[to].0.revision();
    if let Some(update) = instances[from].0.changes_since(known) {
        let (replica, view) = &mut instances[to];
        apply_to_view(view, replica.apply_update(update));
    }
}

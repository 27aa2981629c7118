//! What the store said, kept for peers.

use std::collections::BTreeMap;

use arbtest::arbitrary::Result;
use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;

use siskinyoke_gateway::replica::Replica;
use siskinyoke_interface::Batch;
use siskinyoke_interface::Item;

/// A store with its whole history.
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
            revision: self.revision() + 1,
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
            revision: self.revision(),
            has_more: false,
        }
    }
}

fn state(replica: &Replica) -> BTreeMap<String, Item> {
    let all = replica.changes_since(0).expect("everything").items;
    let all = all.into_iter().filter(|it| it.value.is_some());
    all.map(|it| (it.key.clone(), it)).collect()
}

// What an instance believes is what it was told in `news`, one after the other.
fn believe(beliefs: &mut BTreeMap<String, Item>, news: Vec<Item>) {
    for item in news {
        if item.value.is_some() {
            beliefs.insert(item.key.clone(), item);
        } else {
            beliefs.remove(&item.key);
        }
    }
}

// Changes reach some instances from the store and others from those, in any order, in part twice, and by
// whole readings whose pages are no snapshot. An instance that ends with another state than the store's
// would send work to endpoints that are gone, or go back to a configuration that was replaced.
#[test]
fn replicas_agree_with_the_store_however_changes_reach_them() {
    for seed in seeds() {
        arbtest(agree).seed(seed);
    }
}

// The first one was given what changed by a peer that had read the state anew, and went on believing in an item
// that had come and gone in between. A seed's lower half is the number of bytes to draw from.
fn seeds() -> impl Iterator<Item = u64> {
    let drawn = (1..400_u64).map(|at| at.wrapping_mul(0x9e37_79b9_7f4a_7c15) << 32 | 0x400);
    std::iter::once(0xc34d_a03c_0000_0236).chain(drawn)
}

fn agree(u: &mut Unstructured<'_>) -> Result<()> {
    let mut model = Model::default();
    let mut replicas: Vec<(Replica, BTreeMap<String, Item>)> = Vec::new();
    replicas.resize_with(3, Default::default);
    model.write(0, Some(0));
    for _ in 0..40 {
        act(u, &mut model, &mut replicas)?;
    }
    for (replica, beliefs) in &mut replicas {
        let batch = model.watch(replica.revision());
        let news = if replica.revision() == 0 {
            replica.replace_all(Batch {
                items: model.items.values().cloned().collect(),
                ..batch
            })
        } else {
            replica.apply_changes(batch)
        };
        believe(beliefs, news);
        assert_eq!(state(replica), model.items);
        assert_eq!(*beliefs, model.items);
    }
    Ok(())
}

type Instance = (Replica, BTreeMap<String, Item>);

fn act(u: &mut Unstructured<'_>, model: &mut Model, replicas: &mut [Instance]) -> Result<()> {
    let at = u.int_in_range(0..=2)?;
    match u.int_in_range(0..=5)? {
        0..=2 => {
            let value = if u.ratio(1, 3)? {
                None
            } else {
                Some(u.arbitrary()?)
            };
            model.write(u.int_in_range(0..=5)?, value);
        }
        3 if replicas[at].0.revision() > 0 => {
            let news = replicas[at]
                .0
                .apply_changes(model.watch(replicas[at].0.revision()));
            believe(&mut replicas[at].1, news);
        }
        4 => {
            // A reading in two pages, with a change between them.
            let revision = model.revision();
            let first: Vec<Item> = model
                .items
                .range(..="k2".to_owned())
                .map(|it| it.1.clone())
                .collect();
            model.write(u.int_in_range(0..=5)?, u.arbitrary()?);
            let second = model
                .items
                .range("k2\0".to_owned()..)
                .map(|it| it.1.clone());
            let items = first.into_iter().chain(second).collect();
            let batch = Batch {
                items,
                revision,
                has_more: false,
            };
            let news = replicas[at].0.replace_all(batch);
            believe(&mut replicas[at].1, news);
        }
        _ => {
            let from = u.int_in_range(0..=2)?;
            if let Some(update) = replicas[from].0.changes_since(replicas[at].0.revision()) {
                let news = replicas[at].0.apply_update(update);
                believe(&mut replicas[at].1, news);
            }
        }
    }
    Ok(())
}

#[test]
fn a_peer_is_given_what_it_lacks_and_everything_if_it_knows_nothing() {
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
    let update = replica.changes_since(4).unwrap();
    assert!(!update.full);
    assert_eq!(update.items.len(), 1);
    assert_eq!(update.items[0].value, None);
    // A reading tells nothing of removals before it.
    assert_eq!(replica.changes_since(3), None);
    let update = replica.changes_since(0).unwrap();
    assert!(update.full);
    assert_eq!(update.items.len(), 3);
}

// Endpoints come and go for days, each under a name of its own. Were every removal remembered, memory
// would grow without end.
#[test]
fn removals_long_past_are_forgotten() {
    let mut model = Model::default();
    model.write(0, Some(0));
    let mut replica = Replica::default();
    replica.replace_all(Batch {
        items: model.items.values().cloned().collect(),
        ..model.watch(0)
    });
    for number in 0..3_000_u64 {
        let gone = Item {
            key: format!("gone{number}"),
            revision: number + 2,
            value: None,
        };
        replica.apply_changes(Batch {
            items: vec![gone],
            revision: number + 2,
            has_more: false,
        });
    }
    assert!(replica.changes_since(2_900).unwrap().items.len() <= 1_024);
    let update = replica.changes_since(500).unwrap();
    assert!(update.full);
    assert_eq!(update.items.len(), 1);
}

// All instances start at once. Each has read the store a little earlier or later than the others, and hears of a
// later revision from all of them. If each handed over everything, three hundred instances with three thousand
// endpoints would fill their links for half a minute and serve nobody meanwhile.
#[test]
fn an_instance_that_just_started_hands_over_no_whole_state_to_one_that_has_read_its_own() {
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
    // What it has from the store itself is known to both from then on.
    early.apply_changes(model.watch(early.revision()));
    model.write(2, Some(9));
    late.apply_changes(model.watch(late.revision()));
    let update = late.changes_since(early.revision()).unwrap();
    assert!(!update.full);
    assert_eq!(update.items.len(), 1);
}

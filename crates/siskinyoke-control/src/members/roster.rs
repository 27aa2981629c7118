//! The platform's instance list as last seen, and how often it is read.

use std::collections::BTreeMap;

use rand::Rng;
use rand::RngCore;

use crate::OpId;
use crate::platform::ListedInstance;
use siskinyoke_base::InstanceId;
use siskinyoke_base::Millis;

/// Span between two reads for each member of the fleet: all daemons together read the list
/// four times a second, however many they are.
const READ_EACH: u64 = 250;

/// The shortest usual span between two reads of one daemon.
const READ_LEAST: u64 = 2_000;

/// The shortest span between a read and one that a stranger's contact asks for.
const READ_EARLY: Millis = Millis::from_secs(2);

/// When an unanswered read is given up.
const READ_LIMIT: Millis = Millis::from_secs(10);

/// The instance list.
#[derive(Debug, Default)]
pub struct Roster {
    fixed: BTreeMap<InstanceId, ListedInstance>,
    listed: BTreeMap<InstanceId, ListedInstance>,
    reading: Option<(OpId, Millis)>,
    read: Millis,
    due: Millis,
}

impl Roster {
    /// Starts with the seeds from the settings, which hold whatever the list says.
    pub fn new(seeds: Vec<ListedInstance>) -> Self {
        let named = seeds.into_iter().map(|seed| (seed.instance.clone(), seed));
        let fixed: BTreeMap<_, _> = named.collect();
        Self {
            listed: fixed.clone(),
            fixed,
            ..Self::default()
        }
    }

    /// Finds an instance.
    pub fn get(&self, instance: &InstanceId) -> Option<&ListedInstance> {
        self.listed.get(instance)
    }

    /// Returns all instances in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &ListedInstance> {
        self.listed.values()
    }

    /// Returns when the list is to be read next.
    pub fn due(&self) -> Millis {
        match self.reading {
            Some((_, sent)) => sent + READ_LIMIT,
            None => self.due,
        }
    }

    /// Notes a read that was sent, and draws the time of the next for a fleet of `members`.
    pub fn sent(&mut self, op: OpId, now: Millis, members: usize, rng: &mut dyn RngCore) {
        let usual = READ_LEAST.max(READ_EACH * members as u64);
        let span = rng.random_range(usual * 3 / 4..=usual * 5 / 4);
        self.reading = Some((op, now));
        self.read = now;
        self.due = now + Millis(span);
    }

    /// Asks for an early read, as a daemon that is not on the list made contact.
    pub fn urge(&mut self) {
        self.due = self.due.min(self.read + READ_EARLY);
    }

    /// Tells whether `op` is the read that is waited for, and ends the wait.
    pub fn answered(&mut self, op: OpId) -> bool {
        let ours = self.reading.is_some_and(|(reading, _)| reading == op);
        if ours {
            self.reading = None;
        }
        ours
    }

    /// Takes a new list.
    pub fn set(&mut self, list: &[ListedInstance]) {
        let named = list
            .iter()
            .map(|entry| (entry.instance.clone(), entry.clone()));
        self.listed = self.fixed.clone();
        self.listed.extend(named);
    }
}

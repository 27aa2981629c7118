//! The peers that hold this daemon's usage in case it dies.

use std::collections::BTreeMap;

use super::Day;
use super::LineKey;
use super::Member;
use siskinyoke_base::Incarnation;
use siskinyoke_base::InstanceId;

/// Peers that hold each record, so that one of them may die together with the writer.
pub const COPIES: usize = 2;

/// The holders of this daemon's usage, and what each of them has acknowledged.
#[derive(Debug, Default)]
pub struct Holders {
    chosen: Vec<Holder>,
    /// Lines by the number of their last change.
    changes: BTreeMap<u64, (Day, LineKey)>,
    numbers: BTreeMap<(Day, LineKey), u64>,
    last: u64,
}

/// Lines for one holder.
#[derive(Debug)]
pub struct Batch {
    /// The holder.
    pub to: InstanceId,
    /// The lines.
    pub lines: Vec<(Day, LineKey)>,
    /// Number of the last change among them; all earlier ones are with the holder then.
    pub upto: u64,
}

#[derive(Debug)]
struct Holder {
    instance: InstanceId,
    incarnation: Incarnation,
    acked: u64,
}

impl Holders {
    /// Returns the instances that hold this daemon's usage.
    pub fn instances(&self) -> impl Iterator<Item = &InstanceId> {
        self.chosen.iter().map(|holder| &holder.instance)
    }

    /// Notes that a line has changed.
    pub fn changed(&mut self, day: Day, key: &LineKey) {
        self.last += 1;
        let line = (day, key.clone());
        if let Some(old) = self.numbers.insert(line.clone(), self.last) {
            self.changes.remove(&old);
        }
        self.changes.insert(self.last, line);
    }

    /// Forgets the lines of a day that the service holds whole.
    pub fn forget(&mut self, day: Day) {
        self.changes.retain(|_, (at, _)| *at != day);
        self.numbers.retain(|(at, _), _| *at != day);
    }

    /// Chooses the holders among the members that are there.
    ///
    /// The choice by rendezvous hash changes only when a holder goes or a better one comes. The
    /// second holder is in another data centre than the first, where there is one.
    pub fn choose(&mut self, me: &InstanceId, members: &[Member]) {
        let mut order: Vec<&Member> = members.iter().filter(|m| m.instance != *me).collect();
        order.sort_by_key(|member| score(me, &member.instance));
        let mut chosen: Vec<&Member> = order.first().copied().into_iter().collect();
        if let Some(first) = order.first() {
            let elsewhere = order.iter().find(|member| member.centre != first.centre);
            chosen.extend(elsewhere.or(order.get(1)).copied());
        }
        let old = std::mem::take(&mut self.chosen);
        self.chosen = chosen.into_iter().map(|m| kept(&old, m)).collect();
    }

    /// Takes an acknowledgement; one from an earlier start of the holder counts for nothing.
    ///
    /// Guards against a holder that was replaced: its new start holds nothing, and the writer
    /// would leave in the belief that two peers have its usage.
    pub fn acked(&mut self, instance: &InstanceId, incarnation: Incarnation, number: u64) {
        for holder in &mut self.chosen {
            if holder.instance == *instance && holder.incarnation == incarnation {
                holder.acked = holder.acked.max(number.min(self.last));
            }
        }
    }

    /// Returns the next lines for each holder that misses something.
    pub fn due(&self, most: usize) -> Vec<Batch> {
        let mut due = Vec::new();
        for holder in &self.chosen {
            let missing = self.changes.range(holder.acked + 1..).take(most);
            let (numbers, lines): (Vec<u64>, Vec<_>) = missing
                .map(|(number, line)| (*number, line.clone()))
                .unzip();
            if let Some(upto) = numbers.last() {
                due.push(Batch {
                    to: holder.instance.clone(),
                    lines,
                    upto: *upto,
                });
            }
        }
        due
    }

    /// Tells whether enough peers hold everything.
    pub fn settled(&self) -> bool {
        let newest = self
            .changes
            .last_key_value()
            .map_or(0, |(number, _)| *number);
        self.chosen.len() == COPIES && self.chosen.iter().all(|h| h.acked >= newest)
    }
}

fn kept(old: &[Holder], member: &Member) -> Holder {
    let same = |holder: &&Holder| {
        holder.instance == member.instance && holder.incarnation == member.incarnation
    };
    Holder {
        instance: member.instance.clone(),
        incarnation: member.incarnation,
        acked: old.iter().find(same).map_or(0, |holder| holder.acked),
    }
}

fn score(me: &InstanceId, peer: &InstanceId) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(me.as_str().as_bytes());
    hasher.update(&[0]);
    hasher.update(peer.as_str().as_bytes());
    *hasher.finalize().as_bytes()
}

//! The members held, and the news of them that is to be passed on.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use rand::Rng;
use rand::RngCore;

use super::choice;
use super::member::Member;
use super::member::Merge;
use siskinyoke_base::Incarnation;
use siskinyoke_base::InstanceId;
use siskinyoke_base::Map;
use siskinyoke_base::Millis;
use siskinyoke_base::message::MemberRecord;
use siskinyoke_base::message::MemberState;

/// The most members held: several times the fleet to come, so that a peer gone wrong cannot
/// fill the memory with made-up names.
const MOST_MEMBERS: usize = 2048;

/// The most replaced starts remembered: more than a week of the restarts to come (150 a day).
const MOST_RETIRED: usize = 2048;

/// How many messages carry a piece of news, for each doubling of the fleet; three spread it to
/// all but one in a thousand even when one message in four is lost.
const NEWS_FACTOR: u32 = 3;

/// How long a member that is gone and not listed is remembered: longer than old records of it
/// travel, so that they do not bring it back.
const TOMBSTONE: Millis = Millis::from_secs(120);

/// All members but this daemon itself.
#[derive(Debug, Default)]
pub struct Table {
    members: BTreeMap<InstanceId, Member>,
    names: Vec<InstanceId>,
    retired: Map<Incarnation, Millis>,
    order: VecDeque<Incarnation>,
    changes: Vec<(Option<MemberRecord>, MemberRecord)>,
}

impl Table {
    /// Returns one member.
    pub fn get(&self, instance: &InstanceId) -> Option<&Member> {
        self.members.get(instance)
    }

    /// Returns all members in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Counts members, gone ones too.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Tells whether a start was replaced by another of its instance.
    pub fn is_retired(&self, incarnation: Incarnation) -> bool {
        self.retired.contains_key(&incarnation)
    }

    /// Takes the changes since last asked, each as the record before and after.
    pub fn take_changes(&mut self) -> Vec<(Option<MemberRecord>, MemberRecord)> {
        std::mem::take(&mut self.changes)
    }

    /// Merges a record that any peer passed on.
    pub fn merge(&mut self, seen: &MemberRecord, now: Millis) {
        if self.is_retired(seen.incarnation) {
            return;
        }
        self.alter(seen, |member| member.merge(seen, now), now);
    }

    /// Merges a record that its own subject sent, which proves a start not seen before newer.
    pub fn merge_direct(&mut self, seen: &MemberRecord, now: Millis) {
        if self.is_retired(seen.incarnation) {
            return;
        }
        let take = |member: &mut Member| {
            if member.record.incarnation == seen.incarnation {
                return member.merge(seen, now);
            }
            member.supersede(seen, now);
            Merge::Changed
        };
        self.alter(seen, take, now);
    }

    /// Sets a member's state by this daemon's own judgement.
    pub fn set_state(&mut self, instance: &InstanceId, state: MemberState, now: Millis) {
        let Some(record) = self.members.get(instance).map(|m| m.record.clone()) else {
            return;
        };
        self.alter(&record, |member| member.set_state(state, now), now);
    }

    /// Notes that the platform is taking a member away.
    pub fn set_leaving(&mut self, instance: &InstanceId, now: Millis) {
        let Some(record) = self.members.get(instance).map(|m| m.record.clone()) else {
            return;
        };
        self.alter(&record, |member| member.set_leaving(now), now);
    }

    /// Takes up to `most` pieces of news, those told least often first.
    pub fn take_news(&mut self, most: usize) -> Vec<MemberRecord> {
        let mut fresh: Vec<&mut Member> =
            self.members.values_mut().filter(|m| m.news > 0).collect();
        fresh.sort_by_key(|member| u32::MAX - member.news);
        fresh
            .into_iter()
            .take(most)
            .map(|member| {
                member.news -= 1;
                member.record.clone()
            })
            .collect()
    }

    /// Picks a member at random.
    pub fn pick(&self, rng: &mut dyn RngCore) -> Option<&Member> {
        let len = self.names.len();
        let name = self.names.get(rng.random_range(0..len.max(1)))?;
        self.members.get(name)
    }

    /// Forgets members that are gone for long, unless `keep` wants them.
    pub fn sweep(&mut self, now: Millis, keep: impl Fn(&InstanceId) -> bool) {
        let stale = |name: &InstanceId, member: &Member| {
            let gone = member.record.state == MemberState::Gone;
            gone && now.since(member.since) > TOMBSTONE && !keep(name)
        };
        let before = self.members.len();
        self.members.retain(|name, member| !stale(name, member));
        if self.members.len() != before {
            self.names = self.members.keys().cloned().collect();
        }
    }

    fn alter(
        &mut self,
        seen: &MemberRecord,
        change: impl FnOnce(&mut Member) -> Merge,
        now: Millis,
    ) {
        let Some(member) = self.members.get_mut(&seen.instance) else {
            self.insert(seen, now);
            return;
        };
        let incarnation = member.record.incarnation;
        let before = member.record.clone();
        match change(member) {
            Merge::Same => return,
            Merge::Refuted => return self.spread(&seen.instance),
            Merge::Changed => {}
        }
        let after = member.record.clone();
        if after.incarnation != incarnation {
            self.retire(incarnation, now);
        }
        self.announce(Some(before), after);
    }

    fn insert(&mut self, seen: &MemberRecord, now: Millis) {
        // A gone member that is not held was swept; to take it back would keep it for ever, as
        // daemons sweep at different times.
        if self.members.len() >= MOST_MEMBERS || seen.state == MemberState::Gone {
            return;
        }
        let member = Member::new(seen.clone(), now, choice::seed(&seen.instance));
        self.members.insert(seen.instance.clone(), member);
        self.names = self.members.keys().cloned().collect();
        self.announce(None, seen.clone());
    }

    fn announce(&mut self, before: Option<MemberRecord>, after: MemberRecord) {
        self.spread(&after.instance);
        self.changes.push((before, after));
    }

    /// Makes a member's record news again.
    fn spread(&mut self, instance: &InstanceId) {
        let doublings = usize::BITS - self.members.len().leading_zeros();
        if let Some(member) = self.members.get_mut(instance) {
            member.news = NEWS_FACTOR * doublings;
        }
    }

    fn retire(&mut self, incarnation: Incarnation, now: Millis) {
        self.retired.insert(incarnation, now);
        self.order.push_back(incarnation);
        if self.order.len() > MOST_RETIRED
            && let Some(oldest) = self.order.pop_front()
        {
            self.retired.remove(&oldest);
        }
    }
}

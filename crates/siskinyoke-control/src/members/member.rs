//! One member's record and how two sightings of it are merged.

use std::cmp::Ordering;

use siskinyoke_base::Millis;
use siskinyoke_base::message::MemberRecord;
use siskinyoke_base::message::MemberState;

/// What is held of one member.
#[derive(Debug, Clone)]
pub struct Member {
    /// The newest record.
    pub record: MemberRecord,
    /// When its state last changed.
    pub since: Millis,
    /// How many more messages are to carry its record as news.
    pub news: u32,
    /// Hash of the instance's name, for rendezvous choices.
    pub seed: u64,
    leaving: bool,
}

/// What a merge did to the record held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Merge {
    /// Nothing but perhaps the heartbeat counter changed.
    Same,
    /// It doubts a member whose newer heartbeat is held; the newer word is to be spread.
    Refuted,
    /// State, start or addresses changed.
    Changed,
}

impl Member {
    /// Starts holding a member.
    pub fn new(record: MemberRecord, now: Millis, seed: u64) -> Self {
        Self {
            leaving: record.state == MemberState::Leaving,
            record,
            since: now,
            news: 0,
            seed,
        }
    }

    /// Merges another sighting; the outcome does not hang on the order of sightings.
    pub fn merge(&mut self, seen: &MemberRecord, now: Millis) -> Merge {
        if seen.incarnation == self.record.incarnation {
            return self.merge_same(seen, now);
        }
        let held = (self.record.beat, self.record.incarnation);
        if (seen.beat, seen.incarnation) <= held {
            return Merge::Same;
        }
        self.replace(seen.clone(), now);
        Merge::Changed
    }

    /// Takes another start's record whatever its counter says, raising the counter over the
    /// one held so that the replacement spreads.
    pub fn supersede(&mut self, seen: &MemberRecord, now: Millis) {
        let beat = seen.beat.max(self.record.beat + 1);
        self.replace(seen.clone(), now);
        self.record.beat = beat;
    }

    /// Notes that it is leaving, which is never unsaid for this start.
    pub fn set_leaving(&mut self, now: Millis) -> Merge {
        self.leaving = true;
        let state = self.record.state.max(MemberState::Leaving);
        self.set_state(state, now)
    }

    /// Sets the state, but never back from leaving.
    pub fn set_state(&mut self, state: MemberState, now: Millis) -> Merge {
        // Guards against work sent to an instance that is about to stop: an old record saying
        // "live" arrives after the announcement, as digests overtake each other. The flag
        // outlives every counter of the same start.
        let floor = if self.leaving {
            MemberState::Leaving
        } else {
            MemberState::Live
        };
        let state = state.max(floor);
        if state == self.record.state {
            return Merge::Same;
        }
        self.record.state = state;
        self.since = now;
        Merge::Changed
    }

    fn merge_same(&mut self, seen: &MemberRecord, now: Millis) -> Merge {
        self.leaving |= seen.state == MemberState::Leaving;
        // Guards against a live member declared dead where its heartbeats come late: the
        // doubt travels as news, but a newer counter travels only with its few partners.
        // Whoever knows better spreads it as news too.
        let doubted = matches!(seen.state, MemberState::Suspect | MemberState::Gone);
        if doubted && seen.beat < self.record.beat && self.record.state == MemberState::Live {
            return Merge::Refuted;
        }
        let state = match seen.beat.cmp(&self.record.beat) {
            Ordering::Greater => seen.state,
            Ordering::Equal => seen.state.max(self.record.state),
            Ordering::Less => self.record.state,
        };
        self.record.beat = seen.beat.max(self.record.beat);
        self.set_state(state, now)
    }

    fn replace(&mut self, record: MemberRecord, now: Millis) {
        self.leaving = record.state == MemberState::Leaving;
        self.record = record;
        self.since = now;
    }
}

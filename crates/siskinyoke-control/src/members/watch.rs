//! The watch over other members: heartbeats, missing answers and what follows from them.

use rand::Rng;
use rand::RngCore;

use super::choice;
use super::doubts::Doubts;
use super::health::Health;
use super::probes::Probes;
use super::roster::Roster;
use super::table::Table;
use crate::Context;
use siskinyoke_base::InstanceId;
use siskinyoke_base::Millis;
use siskinyoke_base::message::MemberState;

/// When an unanswered heartbeat counts as failed: hundreds of times the round trip between
/// data centres, and more than the pause of a busy thread.
const ANSWER_LIMIT: Millis = Millis(500);

/// How long the smallest fleet suspects a member before it is gone, for it to speak up.
const SUSPICION: Millis = Millis::from_secs(3);

/// What each doubling of the fleet adds, since news takes one more step to reach all.
const SUSPICION_STEP: Millis = Millis(500);

/// After this silence a daemon judges nobody: the fault is more likely its own.
const SILENCE: Millis = Millis::from_secs(3);

/// One heartbeat in so many goes to a listed instance that is not live, to heal partitions.
const REJOIN_EVERY: u64 = 10;

/// Rings on which a daemon watches its successor: each member is watched by so many, and so
/// many connections stay open. Random targets would cost a handshake of some 5 kB each.
const RINGS: u64 = 6;

/// What a daemon has heard of others, and of itself.
#[derive(Debug, Default)]
pub struct Watch {
    health: Health,
    probes: Probes,
    doubts: Doubts,
}

impl Watch {
    /// Notes that a peer was heard.
    pub fn heard(&mut self, from: &InstanceId, now: Millis) {
        self.health.heard_peer(now);
        if self.probes.answered(from) {
            self.health.trust_more();
        }
    }

    /// Notes that the platform answered.
    pub fn heard_platform(&mut self, now: Millis) {
        self.health.heard_platform(now);
    }

    /// Notes that others doubt this daemon.
    pub fn accused(&mut self) {
        self.health.doubt_more();
    }

    /// Returns how long neither a peer nor the platform was heard.
    pub fn lonely(&self, now: Millis) -> Millis {
        self.health.lonely(now)
    }

    /// Marks members whose heartbeats stay unanswered as suspect, and then as gone.
    pub fn judge(&mut self, table: &mut Table, now: Millis) {
        let overdue = self
            .probes
            .take_overdue(now, self.health.stretch(ANSWER_LIMIT));
        for _ in &overdue {
            self.health.doubt_more();
        }
        // Guards against a daemon that is cut off and calls all the others dead: it would
        // answer "unknown" for work that runs well elsewhere. It hears nothing, so it judges
        // nobody, and its suspicions start anew once it hears again.
        if self.health.lonely(now) >= SILENCE {
            self.doubts = Doubts::default();
            return;
        }
        for name in overdue {
            self.doubt(table, &name, now);
        }
        for name in self.doubts.take_ripe(now, suspicion(table.len())) {
            let held = table.get(&name).map(|member| member.record.state);
            if held.is_some_and(|state| state != MemberState::Live) {
                table.set_state(&name, MemberState::Gone, now);
            }
        }
    }

    fn doubt(&mut self, table: &mut Table, name: &InstanceId, now: Millis) {
        let Some(member) = table.get(name) else {
            return;
        };
        if member.record.state == MemberState::Gone {
            return;
        }
        self.probes.urge(name);
        // Guards against a member taken from callers, and allocators that move, at each short
        // hitch of the network: only a second heartbeat in a row without answer makes a
        // suspect. The span of suspicion counts from the first, so this costs no time.
        let again = self.doubts.contains(name);
        self.doubts.note(&member.record, now);
        if again {
            table.set_state(name, MemberState::Suspect, now);
        }
    }

    /// Chooses whom to send the next heartbeat to, and waits for its answer.
    pub fn choose(
        &mut self,
        table: &Table,
        roster: &Roster,
        own: &InstanceId,
        cx: &mut Context<'_>,
    ) -> Option<InstanceId> {
        let to = self.next(table, roster, own, cx.rng)?;
        self.probes.sent(&to, cx.now);
        Some(to)
    }

    fn next(
        &mut self,
        table: &Table,
        roster: &Roster,
        own: &InstanceId,
        rng: &mut dyn RngCore,
    ) -> Option<InstanceId> {
        let count = self.probes.count();
        let lost = table.iter().all(|m| m.record.state == MemberState::Gone);
        if (lost || count.is_multiple_of(REJOIN_EVERY))
            && let Some(name) = pick_lost(table, roster, own, rng)
        {
            return Some(name);
        }
        // Every second heartbeat at most goes to a doubted member, so that many deaths at once
        // do not stop the round by which further ones are found.
        if count.is_multiple_of(2)
            && let Some(name) = self.probes.take_urgent()
        {
            return Some(name);
        }
        self.probes.take_round(|| targets(table, own))
    }

    /// Drops the doubt of a member whose heartbeat is newer.
    ///
    /// Guards against a live member declared dead where its answer to a rumour comes late:
    /// only a daemon whose own heartbeats stay unanswered declares a member gone, so a doubt
    /// that came as a rumour is never timed here.
    pub fn follow(&mut self, table: &Table, instance: &InstanceId) {
        if let Some(member) = table.get(instance) {
            self.doubts.clear(&member.record);
        }
    }
}

/// Returns how long a member is suspected before it is gone.
fn suspicion(members: usize) -> Millis {
    let doublings = usize::BITS - members.leading_zeros();
    SUSPICION + Millis(SUSPICION_STEP.0 * u64::from(doublings))
}

/// Picks a listed instance that is not held as one that answers.
fn pick_lost(
    table: &Table,
    roster: &Roster,
    own: &InstanceId,
    rng: &mut dyn RngCore,
) -> Option<InstanceId> {
    let lost = |name: &InstanceId| {
        let held = table.get(name);
        held.is_none_or(|m| m.record.state == MemberState::Gone) && name != own
    };
    let names = roster.iter().map(|entry| &entry.instance);
    let names: Vec<&InstanceId> = names.filter(|name| lost(name)).collect();
    let place = rng.random_range(0..names.len().max(1));
    names.get(place).map(|name| (*name).clone())
}

/// Returns the successors on all rings, without repeats.
fn targets(table: &Table, own: &InstanceId) -> Vec<InstanceId> {
    let seed = choice::seed(own);
    let mut names: Vec<InstanceId> = Vec::new();
    for ring in 0..RINGS {
        let there = table.iter().filter(|m| m.record.state != MemberState::Gone);
        let pairs = there.map(|m| (m.seed, &m.record.instance));
        let next = choice::successor(seed, ring, pairs);
        names.extend(next.filter(|name| !names.contains(name)).cloned());
    }
    names
}

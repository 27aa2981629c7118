//! The controller of members.

use rand::Rng;
use rand::RngCore;

use super::choice;
use super::member::Member;
use super::roster::Roster;
use super::table::Table;
use super::watch::Watch;
use crate::Context;
use crate::Controller;
use crate::OpId;
use crate::PlatformReply;
use crate::PlatformRequest;
use crate::Reply;
use crate::Sender;
use crate::platform::ListedInstance;
use siskinyoke_base::Incarnation;
use siskinyoke_base::InstanceId;
use siskinyoke_base::Millis;
use siskinyoke_base::message::MemberDigest;
use siskinyoke_base::message::MemberRecord;
use siskinyoke_base::message::MemberState;
use siskinyoke_base::message::Message;
use siskinyoke_base::message::Resource;

/// Span between two heartbeats: two a second find a dead member in about a second, for some
/// hundred bytes each.
const PERIOD: Millis = Millis(500);

/// After this silence of peers and platform a daemon is isolated.
const ISOLATION: Millis = Millis::from_secs(5);

/// How long after its first contact a daemon still learns its predecessor's counter.
const JOINING: Millis = Millis::from_secs(10);

/// News carried by one digest, at most.
const MOST_NEWS: usize = 6;

/// Records picked at random that each digest carries, so that gaps close by themselves.
const FILL: usize = 2;

/// Records that the answer to a newcomer carries.
const NEWCOMER_FILL: usize = 24;

/// The most records read from one digest.
const MOST_RECORDS: usize = 64;

/// How many peers hear at once that this daemon is leaving.
const LEAVE_FANOUT: usize = 3;

/// Span between two sweeps of members long gone.
const SWEEP: Millis = Millis::from_secs(10);

/// Where a peer is reached, and by which certificate it is known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberAddress {
    /// The instance.
    pub instance: InstanceId,
    /// Address for peers.
    pub address: String,
    /// Fingerprint of its certificate; `None` before the first contact with a listed address.
    pub fingerprint: Option<[u8; 32]>,
}

/// Keeps the view of members.
#[derive(Debug)]
pub struct Members {
    own: MemberRecord,
    seed: u64,
    table: Table,
    watch: Watch,
    roster: Roster,
    next: Millis,
    sweep: Millis,
    joined: Option<Millis>,
    superseded: bool,
}

impl Members {
    /// Starts with this daemon's own record and the seeds from its settings.
    pub fn new(own: MemberRecord, seeds: Vec<ListedInstance>) -> Self {
        Self {
            seed: choice::seed(&own.instance),
            own,
            table: Table::default(),
            watch: Watch::default(),
            roster: Roster::new(seeds),
            next: Millis::ZERO,
            sweep: Millis::ZERO,
            joined: None,
            superseded: false,
        }
    }

    /// Returns this daemon's own record.
    pub fn own(&self) -> &MemberRecord {
        &self.own
    }

    /// Returns the live members in the order of their names, this daemon among them.
    pub fn live(&self) -> impl Iterator<Item = &MemberRecord> {
        self.all()
            .map(|(record, _)| record)
            .filter(|record| record.state == MemberState::Live)
    }

    /// Returns every peer known, gone ones too, in the order of their names.
    pub fn peers(&self) -> impl Iterator<Item = &MemberRecord> {
        self.table.iter().map(|member| &member.record)
    }

    /// Returns a member's record.
    pub fn get(&self, instance: &InstanceId) -> Option<&MemberRecord> {
        if *instance == self.own.instance {
            return Some(&self.own);
        }
        self.table.get(instance).map(|member| &member.record)
    }

    /// Returns the record of a daemon start.
    pub fn find(&self, incarnation: Incarnation) -> Option<&MemberRecord> {
        self.all()
            .map(|(record, _)| record)
            .find(|record| record.incarnation == incarnation)
    }

    /// Tells whether a start is gone: found dead, or replaced by another of its instance.
    ///
    /// A start found dead may yet turn out to be alive; one that was replaced never does.
    pub fn is_gone(&self, incarnation: Incarnation) -> bool {
        let found = self.find(incarnation);
        self.table.is_retired(incarnation) || found.is_some_and(|r| r.state == MemberState::Gone)
    }

    /// Announces that this daemon takes no new work; it cannot be unsaid.
    pub fn leave(&mut self, cx: &mut Context<'_>) {
        if self.own.state == MemberState::Leaving {
            return;
        }
        self.own.state = MemberState::Leaving;
        self.own.beat += 1;
        for _ in 0..LEAVE_FANOUT {
            let Some(to) = self.pick_live(cx.rng) else {
                return;
            };
            self.send(cx, &to, true, FILL);
        }
    }

    /// Tells whether neither a peer nor the platform was heard for some seconds.
    pub fn isolated(&self, now: Millis) -> bool {
        self.watch.lonely(now) >= ISOLATION
    }

    /// Tells whether a newer start of this very instance is at work, so that this one must leave.
    pub fn superseded(&self) -> bool {
        self.superseded
    }

    /// Tells whether the platform's list says that this instance is being taken away.
    pub fn recalled(&self) -> bool {
        let listed = self.roster.get(&self.own.instance);
        listed.is_some_and(|entry| entry.leaving)
    }

    /// Notes that the platform answered another controller.
    pub fn heard_platform(&mut self, now: Millis) {
        self.watch.heard_platform(now);
    }

    /// Notes that a stranger was refused; the list is read early, as it may be a newcomer.
    pub fn refused(&mut self) {
        self.roster.urge();
    }

    /// Returns the members to name to callers: live ones, or suspected ones if none is live.
    pub fn addresses_for_callers(&self) -> Vec<&MemberRecord> {
        let live: Vec<&MemberRecord> = self.live().collect();
        if !live.is_empty() {
            return live;
        }
        let suspect = |record: &&MemberRecord| record.state == MemberState::Suspect;
        self.peers().filter(suspect).collect()
    }

    /// Returns the member that shares out a resource.
    pub fn allocator(&self, resource: &Resource) -> Option<&InstanceId> {
        let subject = choice::resource_hash(resource);
        self.all()
            .filter(|(record, _)| record.state == MemberState::Live)
            .max_by_key(|(_, seed)| choice::score(*seed, subject))
            .map(|(record, _)| &record.instance)
    }

    /// Returns the `n` live peers that hold this daemon's records, the first choice first.
    pub fn successors(&self, n: usize) -> Vec<&InstanceId> {
        let live = |member: &&Member| member.record.state == MemberState::Live;
        let mut peers: Vec<&Member> = self.table.iter().filter(live).collect();
        peers.sort_by_key(|member| std::cmp::Reverse(choice::score(member.seed, self.seed)));
        let names = peers.into_iter().map(|member| &member.record.instance);
        names.take(n).collect()
    }

    /// Returns the changes since last asked, each as the record before and after.
    pub fn changes(&mut self) -> Vec<(Option<MemberRecord>, MemberRecord)> {
        self.table.take_changes()
    }

    /// Tells whether it is known where an instance may be reached.
    pub fn knows(&self, instance: &InstanceId) -> bool {
        self.table.get(instance).is_some() || self.roster.get(instance).is_some()
    }

    /// Returns where a peer is reached.
    pub fn address(&self, instance: &InstanceId) -> Option<MemberAddress> {
        let held = self.table.get(instance).map(|member| &member.record);
        let listed = self.roster.get(instance);
        // Guards against never finding a daemon again that came back with a new certificate
        // while its old record stands as gone: its pinned fingerprint would refuse it for ever.
        // The listed address stands for it then, as at the first contact.
        let held = held.filter(|record| listed.is_none() || record.state != MemberState::Gone);
        if let Some(record) = held {
            return Some(MemberAddress {
                instance: instance.clone(),
                address: record.peer.clone(),
                fingerprint: Some(record.fingerprint),
            });
        }
        listed.map(|entry| MemberAddress {
            instance: instance.clone(),
            address: entry.peer.clone(),
            fingerprint: None,
        })
    }

    /// Returns the instances from which a first contact is taken, with their peer addresses.
    pub fn listed(&self) -> impl Iterator<Item = (&InstanceId, &str)> {
        self.roster
            .iter()
            .map(|entry| (&entry.instance, entry.peer.as_str()))
    }

    fn all(&self) -> impl Iterator<Item = (&MemberRecord, u64)> {
        let own = &self.own;
        let before = move |member: &&Member| member.record.instance < own.instance;
        let after = move |member: &&Member| member.record.instance > own.instance;
        let pair = |member: &Member| member.seed;
        let first = self.table.iter().take_while(before);
        let last = self.table.iter().skip_while(before).filter(after);
        first
            .map(move |m| (&m.record, pair(m)))
            .chain(std::iter::once((own, self.seed)))
            .chain(last.map(move |m| (&m.record, pair(m))))
    }

    fn read_list(&mut self, cx: &mut Context<'_>) {
        if cx.now < self.roster.due() {
            return;
        }
        let op = cx.out.platform(PlatformRequest::Instances);
        let members = self.table.len() + 1;
        self.roster.sent(op, cx.now, members, cx.rng);
    }

    fn probe(&mut self, cx: &mut Context<'_>) {
        let (table, roster) = (&self.table, &self.roster);
        let Some(to) = self.watch.choose(table, roster, &self.own.instance, cx) else {
            return;
        };
        self.own.beat += 1;
        self.send(cx, &to, true, FILL);
    }

    fn pick_live(&self, rng: &mut dyn RngCore) -> Option<InstanceId> {
        let live = |record: &&MemberRecord| record.state == MemberState::Live;
        let names: Vec<&InstanceId> = self.peers().filter(live).map(|r| &r.instance).collect();
        let place = rng.random_range(0..names.len().max(1));
        names.get(place).map(|name| (*name).clone())
    }

    fn send(&mut self, cx: &mut Context<'_>, to: &InstanceId, ping: bool, fill: usize) {
        let mut members = vec![self.own.clone()];
        // A member that others suspect hears of it first from whoever speaks to it, and answers
        // with a higher counter.
        let held = self.table.get(to).map(|member| &member.record);
        members.extend(held.filter(|r| r.state != MemberState::Live).cloned());
        members.extend(self.table.take_news(MOST_NEWS));
        for _ in 0..fill {
            let picked = self.table.pick(cx.rng).map(|member| &member.record);
            members.extend(picked.cloned());
        }
        cx.out
            .send(to, Message::Members(MemberDigest { members, ping }));
    }

    fn take(&mut self, record: &MemberRecord, now: Millis) {
        if record.instance == self.own.instance {
            self.hear_of_self(record, now);
            return;
        }
        self.table.merge(record, now);
        self.watch.follow(&self.table, &record.instance);
    }

    fn hear_of_self(&mut self, record: &MemberRecord, now: Millis) {
        if record.incarnation == self.own.incarnation {
            let accused = matches!(record.state, MemberState::Suspect | MemberState::Gone);
            if accused {
                self.watch.accused();
            }
            if accused || record.beat > self.own.beat {
                self.own.beat = self.own.beat.max(record.beat) + 1;
            }
            return;
        }
        if record.beat < self.own.beat {
            return;
        }
        // Starts are drawn at random and tell no order. A daemon that has just joined is the
        // newer one and steps over its predecessor's counter; a daemon that finds itself
        // outrun later was replaced while it was frozen or cut off.
        if self.joined.is_none_or(|at| now.since(at) < JOINING) {
            self.own.beat = record.beat + 1;
        } else {
            self.superseded = true;
        }
    }

    fn hear(&mut self, cx: &mut Context<'_>, from: &Sender, digest: &MemberDigest) {
        let Some((first, others)) = digest.members.split_first() else {
            return;
        };
        let own_word = first.instance == from.instance && first.incarnation == from.incarnation;
        if !own_word || from.instance == self.own.instance {
            return;
        }
        self.joined.get_or_insert(cx.now);
        self.watch.heard(&from.instance, cx.now);
        let held = self.table.get(&from.instance);
        let newcomer = held.is_none_or(|m| m.record.incarnation != from.incarnation);
        self.table.merge_direct(first, cx.now);
        self.watch.follow(&self.table, &from.instance);
        for record in others.iter().take(MOST_RECORDS) {
            self.take(record, cx.now);
        }
        if digest.ping {
            let fill = if newcomer { NEWCOMER_FILL } else { FILL };
            self.send(cx, &from.instance, false, fill);
        }
    }
}

impl Controller for Members {
    fn tick(&mut self, cx: &mut Context<'_>) {
        self.read_list(cx);
        self.watch.judge(&mut self.table, cx.now);
        if cx.now >= self.next {
            self.next = cx.now + PERIOD;
            self.probe(cx);
        }
        if cx.now >= self.sweep {
            self.sweep = cx.now + SWEEP;
            let roster = &self.roster;
            let listed = |name: &InstanceId| roster.get(name).is_some();
            self.table.sweep(cx.now, listed);
        }
    }

    fn next(&self) -> Millis {
        self.next.min(self.roster.due())
    }

    fn message(&mut self, cx: &mut Context<'_>, from: &Sender, message: &Message) {
        if let Message::Members(digest) = message {
            self.hear(cx, from, digest);
        }
    }

    fn reply(&mut self, cx: &mut Context<'_>, op: OpId, reply: &Reply) -> bool {
        if !self.roster.answered(op) {
            return false;
        }
        if let Ok(PlatformReply::Instances(list)) = reply {
            self.watch.heard_platform(cx.now);
            self.roster.set(list);
            for entry in list.iter().filter(|entry| entry.leaving) {
                self.table.set_leaving(&entry.instance, cx.now);
            }
        }
        true
    }
}

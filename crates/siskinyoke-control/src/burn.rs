//! Service-level burn: how many requests meet their need, against the objective of their tier.

mod report;
mod snapshot;
mod tally;

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::Context;
use crate::Controller;
use crate::OpId;
use crate::PlatformReply;
use crate::PlatformRequest;
use crate::Reply;
use crate::Sender;
use crate::platform::LeaseId;
pub use report::BurnLine;
pub use report::BurnState;
pub use report::Point;
pub use report::Report;
pub use report::Window;
use siskinyoke_base::EndpointId;
use siskinyoke_base::Millis;
use siskinyoke_base::OrganisationId;
use siskinyoke_base::TierName;
use siskinyoke_base::message::Message;
pub use snapshot::BurnReply;
pub use snapshot::MemberAddress;
pub use snapshot::Row;
pub use snapshot::SNAPSHOTS;
pub use snapshot::Snapshot;
pub use snapshot::Target;
pub use tally::Outcome;
pub use tally::Tally;

/// Length of a slot in seconds.
pub const SLOT_SECS: u64 = 300;

/// Slots of the short window: the present one and the one before, five to ten minutes.
pub const SHORT: u64 = 2;

/// Slots of the long window, an hour: a lesson, or an evening's first rush.
pub const LONG: u64 = 12;

/// The most rows of a slot: 2,048 of 150 bytes in 12 slots make 4 MB. What comes on top is counted
/// under one name.
const MOST_ROWS: usize = 2_048;

/// The name under which what has no row of its own is counted.
const OTHERS: &str = "(others)";

/// Time between two writes to the service; a daemon that dies takes so much with it. At 370
/// daemons these are three calls a second.
const KEEP_GAP: Millis = Millis::from_secs(300);

/// How long the service keeps a snapshot after its daemon is gone: the long window and one write.
const KEEP_TTL: Millis = Millis::from_secs(SLOT_SECS * (LONG + 1));

/// The most bytes of a snapshot, below the largest value that the service takes.
const MOST_BYTES: usize = 900 * 1024;

/// A span of five minutes of universal time, counted from 1 January 1970.
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Slot(pub u64);

impl Slot {
    /// Returns the slot of a time in seconds since 1 January 1970.
    pub const fn at(secs: u64) -> Self {
        Self(secs / SLOT_SECS)
    }

    /// Tells whether it is among the last `count` slots up to `now`; slots ahead of `now` are, as
    /// the instances' clocks differ a little.
    pub const fn within(self, now: Self, count: u64) -> bool {
        now.0 < self.0 + count
    }
}

/// A request that has ended.
#[derive(Debug, Clone, Copy)]
pub struct Ended<'a> {
    /// Its tier.
    pub tier: &'a TierName,
    /// Its organisation.
    pub organisation: &'a OrganisationId,
    /// The endpoint that had it last, if any.
    pub endpoint: Option<&'a EndpointId>,
}

/// Counts how requests end on this daemon, and keeps a copy in the platform's service.
#[derive(Debug)]
pub struct Burn {
    me: Sender,
    slot: Slot,
    target: Target,
    slots: BTreeMap<Slot, BTreeMap<RowKey, Tally>>,
    keeper: Keeper,
}

type RowKey = (TierName, OrganisationId, Option<EndpointId>);

/// The copy in the service: it lives under a lease, so that it goes when its time has passed.
#[derive(Debug, Default)]
struct Keeper {
    due: Millis,
    lease: Option<LeaseId>,
    leasing: Option<OpId>,
    writing: Option<OpId>,
    version: u64,
}

impl Burn {
    /// Starts with nothing counted.
    pub fn new(me: Sender, slot: Slot) -> Self {
        let keeper = Keeper {
            due: KEEP_GAP,
            ..Keeper::default()
        };
        Self {
            me,
            slot,
            target: Target::default(),
            slots: BTreeMap::new(),
            keeper,
        }
    }

    /// Moves to the present slot and forgets what lies before the long window.
    pub fn set_slot(&mut self, slot: Slot) {
        self.slot = self.slot.max(slot);
        let now = self.slot;
        self.slots.retain(|slot, _| slot.within(now, LONG));
    }

    /// Sets what the preset in force asks for.
    pub fn set_target(&mut self, target: Target) {
        self.target = target;
    }

    /// Counts a request that has ended.
    pub fn count(&mut self, ended: Ended<'_>, outcome: Outcome) {
        self.tally(ended, outcome != Outcome::Within).count(outcome);
    }

    /// Counts prompt tokens that were computed and thrown away.
    pub fn waste(&mut self, ended: Ended<'_>, prompt: u64) {
        self.tally(ended, true).wasted += prompt;
    }

    /// Returns the counts of the long window.
    pub fn snapshot(&self) -> Snapshot {
        let row = |slot: Slot, (key, tally): (&RowKey, &Tally)| Row {
            slot,
            tier: key.0.clone(),
            organisation: key.1.clone(),
            endpoint: key.2.clone(),
            tally: *tally,
        };
        let slots = self.slots.iter();
        Snapshot {
            instance: self.me.instance.clone(),
            incarnation: self.me.incarnation,
            slot: self.slot,
            target: self.target.clone(),
            rows: slots
                .flat_map(|(slot, rows)| rows.iter().map(move |pair| row(*slot, pair)))
                .collect(),
        }
    }

    /// Writes the copy now, as the daemon is leaving.
    pub fn flush(&mut self, cx: &mut Context<'_>) {
        self.keeper.due = cx.now;
        self.tick(cx);
    }

    /// Returns the counts for a request; an endpoint has its own only for what went wrong there.
    ///
    /// Guards the memory: each organisation on each endpoint would otherwise have a row, and a
    /// caller with made-up names, or thousands of small ones, could fill it.
    fn tally(&mut self, ended: Ended<'_>, wrong: bool) -> &mut Tally {
        let rows = self.slots.entry(self.slot).or_default();
        let endpoint = ended.endpoint.filter(|_| wrong).cloned();
        let mut key = (ended.tier.clone(), ended.organisation.clone(), endpoint);
        if rows.len() >= MOST_ROWS && !rows.contains_key(&key) {
            key = (ended.tier.clone(), OTHERS.into(), None);
        }
        rows.entry(key).or_default()
    }

    fn write(&mut self, cx: &mut Context<'_>, lease: LeaseId) {
        let op = cx.out.platform(PlatformRequest::Swap {
            key: Snapshot::key(self.me.incarnation),
            expected: self.keeper.version,
            value: self.snapshot().encode(MOST_BYTES),
            lease: Some(lease),
        });
        self.keeper.writing = Some(op);
    }

    fn leased(&mut self, cx: &mut Context<'_>, reply: &Reply) {
        let Ok(PlatformReply::Lease { lease, .. }) = reply else {
            return;
        };
        self.keeper.lease = Some(*lease);
        self.write(cx, *lease);
    }

    fn written(&mut self, cx: &mut Context<'_>, reply: &Reply) {
        match reply {
            Ok(PlatformReply::Swapped { done: true, .. }) => self.keeper.version += 1,
            Ok(PlatformReply::Swapped { current, .. }) => {
                // The answer to an earlier write was lost.
                let version = current.as_ref().map_or(0, |current| current.version);
                let known = std::mem::replace(&mut self.keeper.version, version);
                match self.keeper.lease {
                    Some(lease) if version != known => self.write(cx, lease),
                    // Or the lease has lapsed in a long outage, and the copy with it.
                    _ => self.keeper.lease = None,
                }
            }
            _ => {}
        }
    }
}

impl Controller for Burn {
    fn tick(&mut self, cx: &mut Context<'_>) {
        if cx.now < self.keeper.due {
            return;
        }
        self.keeper.due = cx.now + KEEP_GAP;
        if self.keeper.leasing.is_some() || self.keeper.writing.is_some() {
            return;
        }
        let ttl = KEEP_TTL;
        let request = match self.keeper.lease {
            Some(lease) => PlatformRequest::LeaseKeep { lease },
            None => PlatformRequest::LeaseGrant { ttl },
        };
        self.keeper.leasing = Some(cx.out.platform(request));
    }

    fn next(&self) -> Millis {
        self.keeper.due
    }

    fn message(&mut self, _cx: &mut Context<'_>, _from: &Sender, _message: &Message) {}

    fn reply(&mut self, cx: &mut Context<'_>, op: OpId, reply: &Reply) -> bool {
        if self.keeper.leasing.take_if(|at| *at == op).is_some() {
            self.leased(cx, reply);
            return true;
        }
        if self.keeper.writing.take_if(|at| *at == op).is_some() {
            self.written(cx, reply);
            return true;
        }
        false
    }
}

//! A claim to give orders to a pool: a lease of the platform's service and a fencing number.

use std::collections::BTreeSet;

use bytes::Bytes;

use crate::Context;
use crate::OpId;
use crate::PlatformReply;
use crate::PlatformRequest;
use crate::Reply;
use crate::platform::LeaseId;
use siskinyoke_base::Incarnation;
use siskinyoke_base::Millis;

/// Time until a step that the service did not answer is tried again.
const RETRY_GAP: Millis = Millis::from_secs(2);

/// A lease lives three times the longest order: an order may begin while a third is gone and a
/// renewal is under way, and a second renewal may fail.
const ORDERS_IN_LEASE: u64 = 3;

/// The claim of one daemon start to one pool.
///
/// Two keys: `…/holder` lives under the lease, so that only one daemon has it; `…/fence` stays, and
/// its version, which only grows, is the fencing number. The version of a key under a lease would
/// begin anew with each holder.
#[derive(Debug)]
pub struct Claim {
    holder: String,
    fence: String,
    me: Incarnation,
    ttl: Millis,
    stage: Stage,
    asked: BTreeSet<OpId>,
}

#[derive(Debug, Clone, Copy)]
enum Stage {
    Idle {
        until: Millis,
    },
    Looking {
        op: OpId,
    },
    Granting {
        op: OpId,
        sent: Millis,
    },
    Taking {
        op: OpId,
        lease: Lease,
    },
    Reading {
        op: Option<OpId>,
        lease: Lease,
        until: Millis,
    },
    Fencing {
        op: OpId,
        lease: Lease,
    },
    Held {
        lease: Lease,
        held: Held,
    },
}

/// A lease with the time at which it lapses at the earliest.
#[derive(Debug, Clone, Copy)]
struct Lease {
    id: LeaseId,
    valid: Millis,
}

#[derive(Debug, Clone, Copy)]
struct Held {
    fence: u64,
    since: Millis,
    keep: Option<(OpId, Millis)>,
    due: Millis,
}

impl Claim {
    /// Makes a claim that asks for nothing yet.
    pub fn new(pool: &str, me: Incarnation, longest: Millis) -> Self {
        Self {
            holder: format!("siskinyoke/orders/{pool}/holder"),
            fence: format!("siskinyoke/orders/{pool}/fence"),
            me,
            ttl: Millis(longest.0 * ORDERS_IN_LEASE),
            stage: Stage::Idle {
                until: Millis::ZERO,
            },
            asked: BTreeSet::new(),
        }
    }

    /// Returns the fencing number, if an order of this length that begins now ends in the lease.
    ///
    /// Guards against a holder that was paused or cut off from the service: another one takes
    /// over when the lease has lapsed, and no order may still run then. The lease is counted from
    /// the sending of the request for it, so the service never counts a shorter one.
    pub fn covers(&self, now: Millis, limit: Millis) -> Option<u64> {
        let Stage::Held { lease, held } = self.stage else {
            return None;
        };
        (now + limit <= lease.valid).then_some(held.fence)
    }

    /// Returns the last moment at which an order of this length may begin.
    pub fn before(&self, limit: Millis) -> Millis {
        match self.stage {
            Stage::Held { lease, .. } => lease.valid - limit,
            _ => Millis::ZERO,
        }
    }

    /// Returns when the claim was won, on the daemon's own clock.
    pub fn since(&self) -> Option<Millis> {
        match self.stage {
            Stage::Held { held, .. } => Some(held.since),
            _ => None,
        }
    }

    /// Gives the claim up, as when an endpoint has seen a higher number.
    pub fn give_up(&mut self, cx: &mut Context<'_>) {
        if let Stage::Held { lease, .. } = self.stage {
            let lease = lease.id;
            self.ask(cx, PlatformRequest::LeaseRevoke { lease });
        }
        self.rest(cx.now);
    }

    /// Takes the next step; `wanted` tells whether this daemon should hold the claim.
    pub fn tick(&mut self, cx: &mut Context<'_>, wanted: bool) {
        if self.lapsed(cx.now) {
            self.rest(cx.now);
        }
        match self.stage {
            Stage::Idle { until } if wanted && cx.now >= until => {
                let key = self.holder.clone();
                let op = self.ask(cx, PlatformRequest::Get { key });
                self.stage = Stage::Looking { op };
            }
            Stage::Reading {
                op: None,
                lease,
                until,
            } if cx.now >= until => self.read(cx, lease),
            Stage::Held { lease, held } if held.keep.is_none() && cx.now >= held.due => {
                self.keep(cx, lease, held);
            }
            _ => {}
        }
    }

    /// Returns when [`Claim::tick`] is due.
    pub fn next(&self) -> Millis {
        match self.stage {
            Stage::Idle { until }
            | Stage::Reading {
                op: None, until, ..
            } => until,
            Stage::Held { lease, held } if held.keep.is_none() => held.due.min(lease.valid),
            Stage::Taking { lease, .. }
            | Stage::Fencing { lease, .. }
            | Stage::Held { lease, .. } => lease.valid,
            _ => Millis::NEVER,
        }
    }

    /// Takes an answer; returns false if it is to no request of this claim.
    pub fn reply(&mut self, cx: &mut Context<'_>, op: OpId, reply: &Reply) -> bool {
        if !self.asked.remove(&op) {
            return false;
        }
        // A paused daemon wakes with answers waiting for it: none of them counts any more.
        if self.lapsed(cx.now) {
            self.rest(cx.now);
            return true;
        }
        match self.stage {
            Stage::Looking { op: at } if at == op => self.looked(cx, reply),
            Stage::Granting { op: at, sent } if at == op => self.granted(cx, sent, reply),
            Stage::Taking { op: at, lease } if at == op => self.taken(cx, lease, reply),
            Stage::Reading {
                op: Some(at),
                lease,
                ..
            } if at == op => self.was_read(cx, lease, reply),
            Stage::Fencing { op: at, lease } if at == op => self.fenced(cx, lease, reply),
            Stage::Held { lease, held } if held.keep.is_some_and(|(at, _)| at == op) => {
                self.kept(cx, lease, held, reply);
            }
            _ => {}
        }
        true
    }

    fn ask(&mut self, cx: &mut Context<'_>, request: PlatformRequest) -> OpId {
        let op = cx.out.platform(request);
        self.asked.insert(op);
        op
    }

    fn looked(&mut self, cx: &mut Context<'_>, reply: &Reply) {
        let Ok(PlatformReply::Value(None)) = reply else {
            self.rest(cx.now);
            return;
        };
        let ttl = self.ttl;
        let op = self.ask(cx, PlatformRequest::LeaseGrant { ttl });
        let sent = cx.now;
        self.stage = Stage::Granting { op, sent };
    }

    fn granted(&mut self, cx: &mut Context<'_>, sent: Millis, reply: &Reply) {
        let Ok(PlatformReply::Lease { lease, ttl }) = reply else {
            // A lease whose answer was lost holds no key and lapses by itself.
            self.rest(cx.now);
            return;
        };
        let (id, valid) = (*lease, sent + *ttl);
        self.take(cx, Lease { id, valid });
    }

    fn take(&mut self, cx: &mut Context<'_>, lease: Lease) {
        let op = self.ask(
            cx,
            PlatformRequest::Swap {
                key: self.holder.clone(),
                expected: 0,
                value: self.mark(lease),
                lease: Some(lease.id),
            },
        );
        self.stage = Stage::Taking { op, lease };
    }

    fn taken(&mut self, cx: &mut Context<'_>, lease: Lease, reply: &Reply) {
        if let Ok(PlatformReply::Swapped { done: true, .. }) = reply {
            self.read(cx, lease);
            return;
        }
        // Another daemon was first, or the answer was lost and the key may be this daemon's: with
        // its lease given up it goes, and the claim begins anew.
        let lease = lease.id;
        self.ask(cx, PlatformRequest::LeaseRevoke { lease });
        self.rest(cx.now);
    }

    fn read(&mut self, cx: &mut Context<'_>, lease: Lease) {
        let key = self.fence.clone();
        let op = Some(self.ask(cx, PlatformRequest::Get { key }));
        let until = Millis::NEVER;
        self.stage = Stage::Reading { op, lease, until };
    }

    fn was_read(&mut self, cx: &mut Context<'_>, lease: Lease, reply: &Reply) {
        let Ok(PlatformReply::Value(current)) = reply else {
            let (op, until) = (None, cx.now + RETRY_GAP);
            self.stage = Stage::Reading { op, lease, until };
            return;
        };
        let expected = current.as_ref().map_or(0, |current| current.version);
        // The answer to an earlier swap was lost: the number is this daemon's already.
        if current
            .as_ref()
            .is_some_and(|current| current.value == self.mark(lease))
        {
            self.hold(cx.now, lease, expected);
            return;
        }
        let op = self.ask(
            cx,
            PlatformRequest::Swap {
                key: self.fence.clone(),
                expected,
                value: self.mark(lease),
                lease: None,
            },
        );
        self.stage = Stage::Fencing { op, lease };
    }

    fn fenced(&mut self, cx: &mut Context<'_>, lease: Lease, reply: &Reply) {
        // Also after a swap that took: the version that it made is the number, and is read back.
        let _ = reply;
        self.read(cx, lease);
    }

    fn hold(&mut self, now: Millis, lease: Lease, fence: u64) {
        let held = Held {
            fence,
            since: now,
            keep: None,
            due: now,
        };
        self.stage = Stage::Held { lease, held };
    }

    fn keep(&mut self, cx: &mut Context<'_>, lease: Lease, mut held: Held) {
        let id = lease.id;
        let op = self.ask(cx, PlatformRequest::LeaseKeep { lease: id });
        held.keep = Some((op, cx.now));
        self.stage = Stage::Held { lease, held };
    }

    fn kept(&mut self, cx: &mut Context<'_>, mut lease: Lease, mut held: Held, reply: &Reply) {
        let sent = held.keep.take().map_or(cx.now, |(_, sent)| sent);
        held.due = cx.now + RETRY_GAP;
        if let Ok(PlatformReply::Lease { ttl, .. }) = reply {
            if *ttl == Millis::ZERO {
                self.rest(cx.now);
                return;
            }
            lease.valid = lease.valid.max(sent + *ttl);
            held.due = sent + Millis(self.ttl.0 / (2 * ORDERS_IN_LEASE));
        }
        self.stage = Stage::Held { lease, held };
    }

    fn lapsed(&self, now: Millis) -> bool {
        match self.stage {
            Stage::Taking { lease, .. }
            | Stage::Reading { lease, .. }
            | Stage::Fencing { lease, .. }
            | Stage::Held { lease, .. } => now >= lease.valid,
            _ => false,
        }
    }

    fn rest(&mut self, now: Millis) {
        let until = now + Millis(self.ttl.0 / (2 * ORDERS_IN_LEASE));
        self.stage = Stage::Idle { until };
    }

    fn mark(&self, lease: Lease) -> Bytes {
        Bytes::from(format!("{} {}", self.me, lease.id.0))
    }
}

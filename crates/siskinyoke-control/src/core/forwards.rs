//! Requests of callers here that another instance owns.

use std::collections::BTreeMap;

use super::job::Listener;
use crate::Outbox;
use crate::Sender;
use siskinyoke_base::CallClass;
use siskinyoke_base::CallHead;
use siskinyoke_base::Millis;
use siskinyoke_base::message::Forward;
use siskinyoke_base::message::Message;
use siskinyoke_base::message::Part;

/// Requests sent on to their owners.
#[derive(Debug, Default)]
pub struct Forwards {
    open: BTreeMap<u64, Forwarded>,
    last: u64,
}

/// One request sent on to its owner.
#[derive(Debug, Clone)]
pub struct Forwarded {
    /// The caller.
    pub listener: Listener,
    /// The owner.
    pub owner: Sender,
    /// What the caller sent.
    pub head: CallHead,
    /// How often it may be dispatched.
    pub class: CallClass,
    /// Whether the owner was found by a claim.
    pub claimed: bool,
    /// Until when its answer is useful.
    pub deadline: Millis,
    /// When the owner was last heard of it.
    pub heard: Millis,
    /// When the owner was last asked.
    pub asked: Millis,
    /// The number of the next part to give to the caller.
    pub seq: u32,
}

impl Forwards {
    /// Sends a request on to its owner.
    pub fn open(&mut self, now: Millis, forwarded: Forwarded, out: &mut Outbox) -> u64 {
        self.last += 1;
        ask(self.last, &forwarded, now, out);
        self.open.insert(self.last, forwarded);
        self.last
    }

    /// Takes a part of an answer; returns it if it is the next one for the caller.
    ///
    /// A part can come twice when the owner was asked again, and be missing when a connection
    /// between the instances broke. A doubled one is dropped; after a gap the owner is asked
    /// again, and gives the whole answer once more from its start.
    pub fn take(
        &mut self,
        now: Millis,
        id: u64,
        seq: u32,
        part: &Part,
        out: &mut Outbox,
    ) -> Option<Forwarded> {
        let forwarded = self.open.get_mut(&id)?;
        forwarded.heard = now;
        // An end without the whole answer holds at any place: the owner keeps no parts of what
        // it could not finish, so asked again it gives nothing but that end, numbered 0.
        if matches!(part, Part::End(end) if !end.code.is_whole()) {
            return self.open.remove(&id);
        }
        if seq < forwarded.seq {
            return None;
        }
        if seq > forwarded.seq {
            // Every later part shows the same gap; asking for each would answer one lost
            // message with a storm of whole answers.
            if now.since(forwarded.asked) >= ASK_AGAIN {
                forwarded.asked = now;
                ask(id, forwarded, now, out);
            }
            return None;
        }
        forwarded.seq += 1;
        let copy = forwarded.clone();
        if matches!(part, Part::End(_)) {
            self.open.remove(&id);
        }
        Some(copy)
    }

    /// Notes that the owner has a request.
    pub fn acknowledge(&mut self, now: Millis, id: u64) {
        if let Some(forwarded) = self.open.get_mut(&id) {
            forwarded.heard = now;
        }
    }

    /// Drops a request whose caller went away and tells its owner.
    pub fn abandon(&mut self, id: u64, out: &mut Outbox) {
        if let Some(forwarded) = self.open.remove(&id) {
            out.send(
                &forwarded.owner.instance,
                Message::ForwardGone { id, lost: false },
            );
        }
    }

    /// Asks silent owners again, and takes out the requests whose owner counts as lost.
    pub fn lost(
        &mut self,
        now: Millis,
        silence: Millis,
        gone: impl Fn(&Sender) -> bool,
        out: &mut Outbox,
    ) -> Vec<Forwarded> {
        let mut lost = Vec::new();
        for (id, forwarded) in &mut self.open {
            if gone(&forwarded.owner) || now.since(forwarded.heard) >= silence {
                lost.push(*id);
            } else if now.since(forwarded.heard.max(forwarded.asked)) >= ASK_AGAIN {
                forwarded.asked = now;
                ask(*id, forwarded, now, out);
            }
        }
        let mut taken = Vec::new();
        for id in lost {
            let Some(forwarded) = self.open.remove(&id) else {
                continue;
            };
            // An owner that was frozen finds this behind the request when it wakes, and neither
            // runs nor charges what is run here instead.
            let message = Message::ForwardGone { id, lost: true };
            out.send(&forwarded.owner.instance, message);
            taken.push(forwarded);
        }
        taken
    }

    /// Tells whether nothing is open.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }
}

/// How long an owner may be silent before it is asked again; a round trip takes milliseconds,
/// and the owner answers each asking at once.
const ASK_AGAIN: Millis = Millis::from_secs(1);

fn ask(id: u64, forwarded: &Forwarded, now: Millis, out: &mut Outbox) {
    let forward = Forward {
        id,
        owner: forwarded.owner.incarnation,
        head: forwarded.head.clone(),
        remaining: forwarded.deadline.since(now),
        claimed: forwarded.claimed,
    };
    out.send(
        &forwarded.owner.instance,
        Message::Forward(Box::new(forward)),
    );
}

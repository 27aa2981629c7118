//! Peers' side of the core: requests forwarded to their owner, and answers coming back.

use super::Core;
use super::Place;
use super::ask::Ask;
use super::ask::Origin;
use super::forwards::Forwarded;
use super::job::Listener;
use super::roster::Roster;
use crate::Sender;
use crate::ledger::Standing;
use siskinyoke_base::CallClass;
use siskinyoke_base::CallHead;
use siskinyoke_base::Code;
use siskinyoke_base::Identity;
use siskinyoke_base::Millis;
use siskinyoke_base::message::End;
use siskinyoke_base::message::Forward;
use siskinyoke_base::message::Message;
use siskinyoke_base::message::Part;

impl Core {
    /// Takes a request in that a peer forwarded to its owner.
    ///
    /// A peer that heard nothing asks again under the same number; it then gets the answer
    /// once more from its start, and drops what it has already.
    pub(super) fn forwarded(&mut self, now: Millis, from: &Sender, forward: Forward) {
        let listener = Listener::Peer {
            peer: from.clone(),
            id: forward.id,
        };
        if forward.owner != self.me.incarnation {
            return self.give(&listener, Part::End(End::new(Code::OwnerGone)), 0);
        }
        self.out.send(
            &from.instance,
            Message::ForwardAck {
                asker: from.incarnation,
                id: forward.id,
            },
        );
        // Unless another sending of it has run since: that answer is its own.
        if let Some(end) = self.refusals.get(&listener).cloned()
            && self.is_idle(&forward.head)
        {
            return self.give(&listener, Part::End(end), 0);
        }
        if matches!(self.calls.get(&listener), Some(Place::Claim(_))) {
            return;
        }
        let digest = forward.head.digest();
        let origin = Origin::Peer {
            remaining: forward.remaining,
            claimed: forward.claimed,
        };
        let view = self.view.clone();
        self.submit(
            now,
            Ask {
                listener,
                head: forward.head,
                digest,
                arrived: now,
                view,
                origin,
            },
        );
    }

    /// Tells whether a request that this daemon start owns was never dispatched.
    fn is_idle(&self, head: &CallHead) -> bool {
        let organisation = self.view.caller(&head.bearer).cloned();
        let (Some(organisation), Some(key)) = (organisation, head.key.clone()) else {
            return true;
        };
        let owner = self.me.incarnation;
        let identity = Identity {
            organisation,
            owner,
            key,
        };
        let entry = self.ledger.get(&identity);
        entry.is_none_or(|entry| matches!(entry.standing, Standing::Idle))
    }

    /// Gives a part of an owner's answer to the caller here.
    pub(super) fn forward_part(&mut self, now: Millis, id: u64, seq: u32, part: Part) {
        let Some(forwarded) = self.forwards.take(now, id, seq, &part, &mut self.out) else {
            return;
        };
        let orphaned = matches!(&part, Part::End(end) if end.code == Code::OwnerGone);
        if orphaned {
            return self.orphaned(now, forwarded);
        }
        self.give(&forwarded.listener, part, seq);
    }

    /// A peer no longer waits for a forwarded request.
    ///
    /// Guards against repeatable work that runs twice and is charged twice: an owner that was
    /// frozen wakes and finds a request that its peer has taken over meanwhile.
    pub(super) fn forward_gone(&mut self, now: Millis, listener: &Listener, lost: bool) {
        let place = self.calls.get(listener).cloned();
        self.gone(now, listener);
        let Some(Place::Job(id)) = place.filter(|_| lost) else {
            return;
        };
        let job = self.jobs.get(&id);
        if job.is_some_and(|job| job.repeatable() && job.listeners.is_empty()) {
            self.end(now, id, End::new(Code::CallerGone));
        }
    }

    /// Decides about requests whose owner is gone or silent.
    pub(super) fn forward_losses(&mut self, now: Millis) {
        let roster = &self.members;
        let gone = |owner: &Sender| roster.is_over(&owner.instance, owner.incarnation);
        let lost = self
            .forwards
            .lost(now, self.settings.silence, gone, &mut self.out);
        for forwarded in lost {
            self.orphaned(now, forwarded);
        }
    }

    /// Runs a repeatable request here after its owner was lost, or says that it may have run.
    fn orphaned(&mut self, now: Millis, forwarded: Forwarded) {
        let begun = forwarded.seq > 1;
        if begun || forwarded.class != CallClass::Idempotent {
            let seq = forwarded.seq;
            return self.give(
                &forwarded.listener,
                Part::End(End::new(Code::OwnerGone)),
                seq,
            );
        }
        let organisation = self.view.caller(&forwarded.head.bearer).cloned();
        let (Some(organisation), Some(key)) = (organisation, forwarded.head.key.clone()) else {
            return self.give(&forwarded.listener, Part::End(End::new(Code::WrongKey)), 0);
        };
        let owner = forwarded.owner.incarnation;
        self.calls.remove(&forwarded.listener);
        let ask = Ask {
            listener: forwarded.listener,
            digest: forwarded.head.digest(),
            head: forwarded.head,
            arrived: now,
            view: self.view.clone(),
            origin: Origin::Adopted {
                identity: Identity {
                    organisation,
                    owner,
                    key,
                },
            },
        };
        self.submit(now, ask);
    }
}

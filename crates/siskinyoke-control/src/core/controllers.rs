//! The core's dealings with its controllers: answers, timers and messages find the right one.

use super::Core;
use super::job::Listener;
use crate::Context;
use crate::Controller;
use crate::OpId;
use crate::Reply;
use crate::Sender;
use crate::configuration::watchers;
use siskinyoke_base::InstanceId;
use siskinyoke_base::Millis;
use siskinyoke_base::message::Envelope;
use siskinyoke_base::message::Message;

impl Core {
    /// Takes the platform's answer to whichever controller asked.
    pub(super) fn platform(&mut self, now: Millis, op: OpId, reply: &Reply) {
        let mut cx = Context {
            now,
            out: &mut self.out,
            rng: &mut self.rng,
        };
        if reply.is_ok() {
            self.members.heard_platform(now);
        }
        if self.claims.reply(&mut cx, op, reply) {
            return self.claimed(now);
        }
        let taken = self.configuration.reply(&mut cx, op, reply)
            || self.members.reply(&mut cx, op, reply)
            || self.usage.reply(&mut cx, op, reply)
            || self.burn.reply(&mut cx, op, reply);
        if !taken && !self.order_reply(now, op, reply) && !self.burn_reply(op, reply) {
            self.bill_reply(op, reply);
        }
    }

    /// Lets the controllers do what is due.
    pub(super) fn control(&mut self, now: Millis) {
        let mut cx = Context {
            now,
            out: &mut self.out,
            rng: &mut self.rng,
        };
        if self.members.next() <= now {
            self.members.tick(&mut cx);
        }
        if self.configuration.next() <= now {
            self.configuration.tick(&mut cx);
        }
        if self.usage.next() <= now {
            self.usage.tick(&mut cx);
        }
        if self.burn.next() <= now {
            self.burn.tick(&mut cx);
        }
        if self.sweeper {
            self.claims.sweep(&mut cx);
        }
        let changes = self.members.changes();
        if !changes.is_empty() || !self.started {
            self.started = true;
            self.fleet_changed(now);
        }
        self.tell_newcomers(now, &changes);
        self.configuration_events(now);
        if self.members.superseded() || self.members.recalled() {
            self.leave(now);
        }
        self.watch_suspects(now);
        self.share(now);
        self.order(now);
    }

    /// Tells everyone who needs it which members there are.
    fn fleet_changed(&mut self, now: Millis) {
        let live: Vec<InstanceId> = self.members.live().map(|r| r.instance.clone()).collect();
        let watchers = watchers(&live);
        let watching = watchers.contains(&self.me.instance);
        self.sweeper = watchers.first() == Some(&self.me.instance);
        let mut cx = Context {
            now,
            out: &mut self.out,
            rng: &mut self.rng,
        };
        self.configuration.set_fleet(&mut cx, watching, live.len());
        let count = u32::try_from(live.len()).unwrap_or(u32::MAX);
        self.scheduler.set_instances(count.max(1));
        self.usage_members();
        self.claims.set_fleet(live.len());
        self.order_members(&live);
    }

    /// Takes a message from a peer.
    pub(super) fn peer(&mut self, now: Millis, envelope: Envelope) {
        let from = Sender {
            instance: envelope.from,
            incarnation: envelope.incarnation,
        };
        self.heard.note(now, &from);
        let mut cx = Context {
            now,
            out: &mut self.out,
            rng: &mut self.rng,
        };
        let revision = envelope.revision;
        self.configuration
            .observe_revision(&mut cx, &from.instance, revision);
        self.configuration
            .message(&mut cx, &from, &envelope.message);
        self.members.message(&mut cx, &from, &envelope.message);
        self.usage.message(&mut cx, &from, &envelope.message);
        // Guards against a peer whose start is not in the view yet: protected work could be shed
        // here while that peer serves lower work, as nobody would ask it. The transport refuses
        // it too, as its certificate is known from its record only.
        if self.members.find(from.incarnation).is_none() {
            return;
        }
        match envelope.message {
            Message::Forward(forward) => self.forwarded(now, &from, *forward),
            Message::ForwardAck { asker, id } if asker == self.me.incarnation => {
                self.forwards.acknowledge(now, id);
            }
            // Numbers begin anew with each start: an answer that an earlier start of this
            // instance asked for would reach another caller, whose request has its number now.
            Message::ForwardPiece {
                asker,
                id,
                seq,
                part,
            } if asker == self.me.incarnation => {
                self.forward_part(now, id, seq, part);
            }
            Message::ForwardGone { id, lost } => {
                self.forward_gone(now, &Listener::Peer { peer: from, id }, lost);
            }
            Message::Threshold { rank, span, round } => {
                let scheduler = self.scheduler.as_mut();
                self.threshold
                    .raised(now, &from, (rank, span, round), scheduler, &mut self.out);
            }
            Message::Suspects { suspects } => {
                self.quarantine.heard(now, &from.instance, &suspects);
            }
            Message::ThresholdAck { round, serving } => {
                self.threshold.acknowledged(&from, round, serving);
            }
            message => self.lease_message(now, &from, &message),
        }
    }
}

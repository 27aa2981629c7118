//! The admission threshold between instances, which keeps protected work ahead everywhere.

use std::collections::BTreeMap;

use crate::Outbox;
use crate::Sender;
use siskinyoke_base::InstanceId;
use siskinyoke_base::Millis;
use siskinyoke_base::message::Message;
use siskinyoke_policy::Scheduler;

/// How long a threshold stands after it was last raised; long enough for a few lost messages,
/// short enough that a daemon which died under pressure bars nobody for long.
const SPAN: Millis = Millis::from_secs(3);

/// How often a threshold is raised again while pressure lasts.
const PERIOD: Millis = Millis(500);

/// How long a permission to shed holds; well under [`SPAN`], so that peers still hold the
/// threshold when it is used.
const PERMISSION: Millis = Millis::from_secs(1);

/// Raises the threshold under pressure, obeys that of peers, and decides when protected work
/// may be shed.
///
/// Guards against a teacher's marking being refused on one instance while another still serves
/// lower-tier work: it shows as a refusal beside a pupil's batch answered in the same second.
/// Protected work may be shed only after every peer not known dead has acknowledged the present round
/// with nothing lower being served, and each of them admits nothing lower until the threshold
/// lapses, which is later than the permission does.
#[derive(Debug, Default)]
pub struct Threshold {
    mine: Option<Raised>,
    theirs: BTreeMap<InstanceId, Standing>,
    round: u64,
    /// Whether the scheduler was last given a threshold or a permission.
    applied: bool,
}

#[derive(Debug)]
struct Raised {
    /// Work of this rank or a later one is barred.
    rank: u8,
    round: u64,
    sent: Millis,
    /// By the peer's start: what an earlier start of it said does not speak for the present one.
    acks: BTreeMap<Sender, u32>,
}

#[derive(Debug, Clone, Copy)]
struct Standing {
    rank: u8,
    round: u64,
    until: Millis,
    /// What was last acknowledged, so that a change is told without being asked.
    serving: u32,
}

impl Threshold {
    /// Looks at the pressure here, raises or lifts the threshold, tells peers of changes.
    pub fn tick(
        &mut self,
        now: Millis,
        scheduler: &mut dyn Scheduler,
        peers: &[Sender],
        out: &mut Outbox,
    ) {
        self.theirs.retain(|_, standing| now < standing.until);
        self.raise(now, scheduler, peers, out);
        scheduler.set_threshold(now, self.rank());
        self.applied = self.rank().is_some();
        self.permit(now, scheduler, peers);
        self.report(scheduler, out);
    }

    /// Tells whether no threshold stands, here or from a peer, and no permission.
    pub fn is_idle(&self) -> bool {
        self.mine.is_none() && self.theirs.is_empty() && !self.applied
    }

    /// Takes a peer's threshold.
    pub fn raised(
        &mut self,
        now: Millis,
        from: &Sender,
        (rank, span, round): (Option<u8>, Millis, u64),
        scheduler: &mut dyn Scheduler,
        out: &mut Outbox,
    ) {
        let Some(rank) = rank else {
            self.theirs.remove(&from.instance);
            scheduler.set_threshold(now, self.rank());
            return;
        };
        let until = now + span.min(SPAN);
        let serving = scheduler.serving(rank);
        self.applied = true;
        self.theirs.insert(
            from.instance.clone(),
            Standing {
                rank,
                round,
                until,
                serving,
            },
        );
        scheduler.set_threshold(now, self.rank());
        out.send(&from.instance, Message::ThresholdAck { round, serving });
    }

    /// Takes a peer's acknowledgement.
    pub fn acknowledged(&mut self, from: &Sender, round: u64, serving: u32) {
        let Some(mine) = &mut self.mine else { return };
        if mine.round == round {
            mine.acks.insert(from.clone(), serving);
        }
    }

    /// Returns when [`Threshold::tick`] is due; it is also to be called after every event.
    pub fn next(&self, now: Millis) -> Millis {
        let mine = self.mine.as_ref().map(|mine| mine.sent + PERIOD);
        let theirs = self.theirs.values().map(|standing| standing.until).min();
        mine.into_iter()
            .chain(theirs)
            .min()
            .unwrap_or(Millis::NEVER)
            .max(now)
    }

    /// Returns the rank from which work is barred here.
    pub fn rank(&self) -> Option<u8> {
        let mine = self.mine.as_ref().map(|mine| mine.rank);
        self.theirs
            .values()
            .map(|standing| standing.rank)
            .chain(mine)
            .min()
    }

    fn raise(
        &mut self,
        now: Millis,
        scheduler: &dyn Scheduler,
        peers: &[Sender],
        out: &mut Outbox,
    ) {
        let Some(pressed) = scheduler.pressure(now) else {
            if self
                .mine
                .take_if(|mine| now.since(mine.sent) >= PERIOD)
                .is_some()
            {
                self.tell(None, peers, out);
            }
            return;
        };
        let rank = pressed.saturating_add(1);
        let due = self
            .mine
            .as_ref()
            .is_none_or(|mine| mine.rank != rank || now.since(mine.sent) >= PERIOD);
        if !due {
            return;
        }
        self.round += 1;
        self.mine = Some(Raised {
            rank,
            round: self.round,
            sent: now,
            acks: BTreeMap::new(),
        });
        self.tell(Some(rank), peers, out);
    }

    fn tell(&self, rank: Option<u8>, peers: &[Sender], out: &mut Outbox) {
        for peer in peers {
            let message = Message::Threshold {
                rank,
                span: SPAN,
                round: self.round,
            };
            out.send(&peer.instance, message);
        }
    }

    fn permit(&self, now: Millis, scheduler: &mut dyn Scheduler, peers: &[Sender]) {
        // Once the threshold is lifted the peers admit lower work again, so no permission
        // outlives it.
        let Some(mine) = &self.mine else {
            return scheduler.allow_shedding(now, 0, now);
        };
        let clear = |peer: &Sender| mine.acks.get(peer) == Some(&0);
        let all_clear = scheduler.serving(mine.rank) == 0 && peers.iter().all(clear);
        // A permission ends as soon as it is no longer covered: a peer that counted as dead and
        // wakes may still be serving lower work, which shows in its next acknowledgement.
        let until = if all_clear {
            (mine.sent + PERMISSION).max(now)
        } else {
            now
        };
        scheduler.allow_shedding(now, mine.rank - 1, until);
    }

    /// Tells peers when the last request below their threshold has ended here.
    fn report(&mut self, scheduler: &dyn Scheduler, out: &mut Outbox) {
        for (peer, standing) in &mut self.theirs {
            let serving = scheduler.serving(standing.rank);
            if serving != standing.serving {
                standing.serving = serving;
                out.send(
                    peer,
                    Message::ThresholdAck {
                        round: standing.round,
                        serving,
                    },
                );
            }
        }
    }
}

//! Callers' side of the core: arrivals, claims, answers, departures.

use super::Core;
use super::Place;
use super::ask::Ask;
use super::ask::Flow;
use super::ask::Origin;
use super::ask::Passed;
use super::ending::Past;
use super::ending::honest;
use super::filters;
use super::filters::Desk;
use super::filters::RETRY_SOON;
use super::forwards::Forwarded;
use super::job::Job;
use super::job::Listener;
use super::roster::Roster;
use crate::Action;
use crate::CallId;
use crate::Context;
use crate::Sender;
use crate::claims::ClaimOutcome;
use crate::configuration::Resolved;
use crate::ledger::Standing;
use crate::usage::Cause;
use siskinyoke_base::CallClass;
use siskinyoke_base::CallHead;
use siskinyoke_base::Code;
use siskinyoke_base::Identity;
use siskinyoke_base::Kind;
use siskinyoke_base::Millis;
use siskinyoke_base::message::End;
use siskinyoke_base::message::Message;
use siskinyoke_base::message::Part;
use siskinyoke_policy::Finish;
use siskinyoke_policy::WorkId;
use siskinyoke_policy::quarantine::Verdict;

impl Core {
    pub(super) fn arrive(&mut self, now: Millis, call: CallId, head: CallHead) {
        let digest = head.digest();
        let view = self.view.clone();
        let listener = Listener::Call(call);
        let origin = Origin::Caller;
        self.submit(
            now,
            Ask {
                listener,
                head,
                digest,
                arrived: now,
                view,
                origin,
            },
        );
    }

    /// Takes a request through the filters and does what they found.
    pub(super) fn submit(&mut self, now: Millis, ask: Ask) {
        let mut desk = Desk {
            now,
            me: &self.me,
            secret: &self.secret,
            settings: &self.settings,
            roster: &self.members,
            ledger: &mut self.ledger,
            leaving: self.leaving.is_some(),
            isolated: self.members.isolated(now),
        };
        match filters::run(&mut desk, &ask) {
            Flow::Next(passed) => self.let_in(now, ask, passed),
            Flow::End(end) => self.give(&ask.listener, Part::End(end), 0),
            Flow::Join(work) => self.join(&ask, work),
            Flow::Replay(identity) => self.replay(&ask.listener, &identity),
            Flow::Forward { owner, resolved } => self.forward(now, ask, owner, &resolved, false),
            Flow::Claim(identity, begin) => self.claim(now, ask, identity, begin),
        }
    }

    /// Ends a request: tells its listeners, records what became of it.
    pub(super) fn end(&mut self, now: Millis, id: WorkId, end: End) {
        let Some(mut job) = self.jobs.remove(&id) else {
            return;
        };
        if let Some(run) = job.run.take() {
            job.past = Past::Dispatched;
            self.runs.remove(&run.dispatch);
            self.out.push(Action::Cancel {
                dispatch: run.dispatch,
            });
            self.scheduler.finished(now, id, Finish::Cancelled);
            self.quarantine.ended(now, &job.digest);
            self.account_waste(&job, Cause::Cancelled);
        }
        if self.parked.remove(&id).is_some() {
            self.scheduler.finished(now, id, Finish::Cancelled);
        }
        self.scheduler.withdraw(now, id);
        let end = honest(end, job.past);
        log_end(&job, &end);
        self.account(now, id, &job, &end);
        self.burn_end(now, &job, &end);
        let complete = end.code.kind() == Kind::Done;
        let listeners = std::mem::take(&mut job.listeners);
        for listener in &listeners {
            self.give_rest(listener, &job, &end, complete);
        }
        self.record(&job, end);
        if let Some(leaving) = &mut self.leaving {
            leaving.quiet = now;
        }
    }

    /// A listener went away.
    pub(super) fn gone(&mut self, now: Millis, listener: &Listener) {
        match self.calls.remove(listener) {
            Some(Place::Job(id)) => self.listener_gone(now, listener, id),
            Some(Place::Forward(id)) => self.forwards.abandon(id, &mut self.out),
            Some(Place::Claim(identity)) => {
                if let Some(asks) = self.claiming.get_mut(&identity) {
                    asks.retain(|ask| ask.listener != *listener);
                }
            }
            None => {}
        }
    }

    /// Gives a part of an answer to a listener.
    pub(super) fn give(&mut self, listener: &Listener, part: Part, seq: u32) {
        if matches!(part, Part::End(_)) {
            self.calls.remove(listener);
        }
        match listener {
            Listener::Call(call) => self.out.answer(*call, part),
            Listener::Peer { peer, id } => {
                if let Part::End(end) = &part
                    && end.code.kind() == Kind::NotRun
                {
                    self.refusals.note(listener, end);
                }
                let asker = peer.incarnation;
                let message = Message::ForwardPiece {
                    asker,
                    id: *id,
                    seq,
                    part,
                };
                self.out.send(&peer.instance, message);
            }
        }
    }

    /// Acts on claims that were decided.
    pub(super) fn claimed(&mut self, now: Millis) {
        for (identity, outcome) in self.claims.outcomes() {
            let asks = self.claiming.remove(&identity).unwrap_or_default();
            self.ledger.set(&identity, Standing::Idle);
            if outcome == ClaimOutcome::Mine {
                self.ledger.claimed(&identity);
            }
            for ask in asks {
                self.calls.remove(&ask.listener);
                self.after_claim(now, ask, &outcome);
            }
        }
    }

    fn let_in(&mut self, now: Millis, ask: Ask, passed: Passed) {
        let Some(resolved) = passed.resolved else {
            return;
        };
        if let Verdict::Refused { after } = self.quarantine.verdict(now, &ask.digest) {
            let end = honest(End::new(Code::Quarantined).after(after), passed.past);
            return self.give(&ask.listener, Part::End(end), 0);
        }
        let id = WorkId(self.number());
        let remaining = match &ask.origin {
            Origin::Peer { remaining, .. } => resolved.need.min(*remaining),
            _ => resolved.need,
        };
        let job = Job {
            head: ask.head,
            resolved,
            view: ask.view,
            identity: passed.identity,
            digest: ask.digest,
            listeners: vec![ask.listener.clone()],
            arrived: ask.arrived,
            deadline: ask.arrived + remaining,
            run: None,
            past: passed.past,
            parts: Vec::new(),
            seq: 0,
            events: 0,
            tokens: 0,
            streaming: false,
            first: None,
            last: None,
            attempts: 0,
            misses: 0,
            avoid: Vec::new(),
        };
        if let Some(identity) = &job.identity {
            self.ledger.set(identity, Standing::Running(id));
        }
        self.calls.insert(ask.listener, Place::Job(id));
        let apart = self.quarantine.verdict(now, &job.digest) != Verdict::Free;
        let work = job.work(id, apart);
        self.jobs.insert(id, job);
        self.scheduler.arrive(now, work);
    }

    /// Adds a listener to work under way and gives it what there is so far.
    fn join(&mut self, ask: &Ask, id: WorkId) {
        let listener = &ask.listener;
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        // A resend of what may run again may come after another instance adopted it and ran it.
        if job.repeatable() {
            job.past = job.past.max(ask.past(CallClass::Idempotent));
        }
        if !job.listeners.contains(listener) {
            job.listeners.push(listener.clone());
        }
        let parts = if job.streaming {
            job.parts.clone()
        } else {
            Vec::new()
        };
        self.calls.insert(listener.clone(), Place::Job(id));
        for (seq, part) in (0..).zip(parts) {
            self.give(listener, part, seq);
        }
    }

    /// Answers a resend of a request that has ended.
    fn replay(&mut self, listener: &Listener, identity: &Identity) {
        let Some(entry) = self.ledger.get(identity) else {
            return;
        };
        let Standing::Ended { end, parts } = &entry.standing else {
            return;
        };
        let (mut end, parts) = (end.clone(), parts.clone());
        if parts.is_none() && end.code.kind() == Kind::Done {
            end = End::new(Code::AnswerGone);
        }
        let mut seq = 0;
        for part in parts.unwrap_or_default() {
            self.give(listener, part, seq);
            seq += 1;
        }
        self.give(listener, Part::End(end), seq);
    }

    fn forward(
        &mut self,
        now: Millis,
        ask: Ask,
        owner: Sender,
        resolved: &Resolved,
        claimed: bool,
    ) {
        let forwarded = Forwarded {
            listener: ask.listener.clone(),
            owner,
            class: resolved.class,
            claimed,
            deadline: ask.arrived + resolved.need,
            head: ask.head,
            heard: now,
            asked: now,
            seq: 0,
        };
        let id = self.forwards.open(now, forwarded, &mut self.out);
        self.calls.insert(ask.listener, Place::Forward(id));
    }

    fn claim(&mut self, now: Millis, ask: Ask, identity: Identity, begin: bool) {
        if begin {
            let mut cx = Context {
                now,
                out: &mut self.out,
                rng: &mut self.rng,
            };
            if !self.claims.begin(&mut cx, &identity) {
                let end = honest(
                    End::new(Code::NoClaim).after(RETRY_SOON),
                    ask.past(CallClass::NonIdempotent),
                );
                return self.give(&ask.listener, Part::End(end), 0);
            }
            self.ledger.set(&identity, Standing::Claiming);
        }
        self.calls
            .insert(ask.listener.clone(), Place::Claim(identity.clone()));
        self.claiming.entry(identity).or_default().push(ask);
    }

    fn after_claim(&mut self, now: Millis, ask: Ask, outcome: &ClaimOutcome) {
        let end = match outcome {
            ClaimOutcome::Mine => return self.submit(now, ask),
            ClaimOutcome::Other(owner) => match ask.view.resolve(&ask.head) {
                Ok(resolved) if !self.members.is_over(&owner.instance, owner.incarnation) => {
                    return self.forward(now, ask, owner.clone(), &resolved, true);
                }
                Ok(_) => End::new(Code::OwnerGone),
                Err(code) => End::new(code),
            },
            ClaimOutcome::Forgotten => End::new(Code::ClaimLost),
            ClaimOutcome::Failed => End::new(Code::NoClaim).after(RETRY_SOON),
        };
        self.give(
            &ask.listener,
            Part::End(honest(end, ask.past(CallClass::NonIdempotent))),
            0,
        );
    }

    fn listener_gone(&mut self, now: Millis, listener: &Listener, id: WorkId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.listeners.retain(|other| other != listener);
        // Keyed work that runs goes on, as its caller may come back for the answer.
        let wanted = !job.listeners.is_empty() || job.identity.is_some() && job.run.is_some();
        if !wanted {
            self.end(now, id, End::new(Code::CallerGone));
        }
    }

    /// Gives a listener what it does not have yet, and the end.
    fn give_rest(&mut self, listener: &Listener, job: &Job, end: &End, complete: bool) {
        let mut seq = job.seq;
        if complete && !job.streaming {
            seq = 0;
            for part in &job.parts {
                self.give(listener, part.clone(), seq);
                seq += 1;
            }
        }
        self.give(listener, Part::End(end.clone()), seq);
    }

    fn record(&mut self, job: &Job, end: End) {
        let Some(identity) = &job.identity else {
            return;
        };
        if end.code.kind() == Kind::NotRun {
            return self.ledger.set(identity, Standing::Idle);
        }
        let complete = end.code.kind() == Kind::Done;
        let parts = if complete {
            job.parts.clone()
        } else {
            Vec::new()
        };
        self.ledger.end(identity, end, parts);
    }
}

/// Logs how a request ended; never a caller's key or text.
fn log_end(job: &Job, end: &End) {
    let name = job.identity.as_ref().map(ToString::to_string);
    log::info!(
        "request={} organisation={} revision={} code={} kind={}",
        name.as_deref().unwrap_or("-"),
        job.resolved.organisation,
        job.view.revision,
        end.code,
        end.code.kind(),
    );
}

//! The changes that this daemon carries to the service, one after the other.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::mem;

use super::ChangeRequest;
use super::Manifest;
use super::Outcome;
use super::PageDigest;
use super::effect::Effect;
use super::effect::Known;
use super::lookup::Lookups;
use super::manifest::MANIFEST_KEY;
use super::manifest::page_key;
use super::pending::Attempt;
use super::pending::Pending;
use super::pending::Step;
use super::pending::Verdict;
use super::sweep::Sweep;
use crate::CallId;
use crate::Context;
use crate::OpId;
use crate::PlatformError;
use crate::PlatformReply;
use crate::PlatformRequest;
use crate::Reply;
use crate::platform::Versioned;
use siskinyoke_base::Millis;

/// How long a change is tried before its sender is told what is known.
///
/// An operator waits at a terminal; a service that answers in milliseconds and stays away for
/// this long is down.
const CHANGE_LIMIT: Millis = Millis::from_secs(10);

/// How long to wait for one answer of the service; it answers in milliseconds when it is well,
/// and asking a slow one more often only makes it slower.
const STEP_LIMIT: Millis = Millis(2_000);

/// How long to wait after a failure before asking again.
const STEP_RETRY: Millis = Millis(500);

/// The most changes that wait in one daemon, which bounds what operators' scripts can pile up.
const WAITING_MAX: usize = 64;

/// The changes on their way; the first is being carried, the others wait.
#[derive(Debug, Default)]
pub struct Changes {
    queue: VecDeque<Pending>,
    lookups: Lookups,
    ops: BTreeMap<OpId, (u64, Task)>,
    round: u64,
    sweep: Sweep,
    effects: Vec<Effect>,
}

/// What a request to the platform was for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Task {
    Manifest { floor: u64 },
    Page(PageDigest),
    Swap,
}

impl Changes {
    /// Takes a change in.
    pub fn begin(
        &mut self,
        cx: &mut Context<'_>,
        call: CallId,
        request: ChangeRequest,
        operator: &str,
        known: Known<'_>,
    ) {
        let faults = request.faults();
        if !faults.is_empty() {
            return self.done(call, Outcome::Invalid { faults });
        }
        if self.queue.len() >= WAITING_MAX {
            return self.done(call, Outcome::Busy);
        }
        self.round += 1;
        self.queue.push_back(Pending {
            call,
            request,
            operator: operator.to_owned(),
            deadline: cx.now + CHANGE_LIMIT,
            due: cx.now,
            step: Step::Read,
            round: self.round,
            unsure: 0,
        });
        self.advance(cx, known);
    }

    /// Answers what became of a change, from what is held or by asking the service.
    ///
    /// `after` is the revision that the change would follow, as its unknown outcome named it.
    pub fn look_up(
        &mut self,
        cx: &mut Context<'_>,
        call: CallId,
        id: &str,
        after: Option<u64>,
        known: Known<'_>,
    ) {
        let effects = &mut self.effects;
        self.lookups.begin(cx, call, id, after, known, effects);
    }

    /// Returns when [`Changes::advance`] is to be called next.
    pub fn next(&self) -> Millis {
        let front = self.queue.front();
        let due = front.map_or(Millis::NEVER, |pending| pending.due);
        let deadlines = self.queue.iter().map(|pending| pending.deadline);
        deadlines.min().unwrap_or(Millis::NEVER).min(due)
    }

    /// Takes out what the controller is to do.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        mem::take(&mut self.effects)
    }

    /// Takes the platform's answer; returns false if the request was another's.
    pub fn reply(
        &mut self,
        cx: &mut Context<'_>,
        op: OpId,
        reply: &Reply,
        known: Known<'_>,
    ) -> bool {
        if self.sweep.reply(cx, op, reply) || self.lookups.reply(op, reply, &mut self.effects) {
            return true;
        }
        let Some((round, task)) = self.ops.remove(&op) else {
            return false;
        };
        // A slow answer to an earlier step, or to a change given up, says nothing of this step:
        // an old read taken for the check of a swap would call an accepted change lost.
        let front = self.queue.pop_front_if(|pending| pending.round == round);
        match front {
            Some(pending) => self.take_reply(cx, pending, task, reply, known),
            None => self.show_late(task, reply),
        }
        self.advance(cx, known);
        true
    }

    /// Takes the steps that are due.
    pub fn advance(&mut self, cx: &mut Context<'_>, known: Known<'_>) {
        self.give_up(cx);
        let Some(mut pending) = self.queue.pop_front() else {
            return;
        };
        if let Some(outcome) = pending.seen_elsewhere(known) {
            if let (Outcome::Conflict { .. }, Some(attempt)) = (&outcome, pending.attempt()) {
                self.sweep.discard(cx, attempt);
            }
            self.done(pending.call, outcome);
            return self.advance(cx, known);
        }
        if let Step::Load(wanted) = pending.step
            && known.revision() >= wanted
        {
            self.enter(cx, pending, Step::Read);
            return self.advance(cx, known);
        }
        if cx.now >= pending.due {
            pending.due = cx.now + STEP_LIMIT;
            self.send_step(cx, &mut pending, known);
        }
        self.queue.push_front(pending);
    }

    /// Goes on to a step, which is taken at once.
    fn enter(&mut self, cx: &Context<'_>, mut pending: Pending, step: Step) {
        self.round += 1;
        pending.round = self.round;
        pending.step = step;
        pending.due = cx.now;
        self.queue.push_front(pending);
    }

    /// Puts the step just entered off, so that a service that loses every answer is not asked
    /// hundreds of times a second.
    fn delay(&mut self, span: Millis) {
        if let Some(pending) = self.queue.front_mut() {
            pending.due += span;
        }
    }

    /// Tells the outcome of every change whose time is up.
    fn give_up(&mut self, cx: &Context<'_>) {
        let queue = mem::take(&mut self.queue);
        for pending in queue {
            if cx.now >= pending.deadline {
                self.done(pending.call, pending.given_up());
            } else {
                self.queue.push_back(pending);
            }
        }
    }

    fn send_step(&mut self, cx: &mut Context<'_>, pending: &mut Pending, known: Known<'_>) {
        let round = pending.round;
        match &pending.step {
            Step::Read | Step::Verify(_) => {
                let key = MANIFEST_KEY.to_owned();
                let floor = known.highest;
                let task = Task::Manifest { floor };
                self.send(cx, round, PlatformRequest::Get { key }, task);
            }
            Step::Load(_) => {}
            Step::Write(attempt, left) => {
                let fresh = attempt.fresh.iter();
                for (page, bytes) in fresh.filter(|(page, _)| left.contains(page)) {
                    let request = PlatformRequest::Put {
                        key: page_key(*page),
                        value: bytes.clone(),
                    };
                    self.send(cx, round, request, Task::Page(*page));
                }
            }
            Step::Swap(attempt) => {
                let request = PlatformRequest::Swap {
                    key: MANIFEST_KEY.to_owned(),
                    expected: attempt.version,
                    value: attempt.next.bytes.clone(),
                    lease: None,
                };
                pending.unsure += 1;
                self.send(cx, round, request, Task::Swap);
            }
        }
    }

    fn send(&mut self, cx: &mut Context<'_>, round: u64, request: PlatformRequest, task: Task) {
        let op = cx.out.platform(request);
        self.ops.insert(op, (round, task));
    }

    fn take_reply(
        &mut self,
        cx: &mut Context<'_>,
        mut pending: Pending,
        task: Task,
        reply: &Reply,
        known: Known<'_>,
    ) {
        if reply.is_err() {
            pending.due = cx.now + STEP_RETRY;
        }
        match (task, reply) {
            (Task::Manifest { floor }, Ok(PlatformReply::Value(found))) => {
                self.show(floor, found.as_ref());
                match mem::replace(&mut pending.step, Step::Read) {
                    Step::Verify(attempt) => {
                        self.judge(cx, pending, attempt, found.as_ref(), known);
                    }
                    _ => self.take_base(cx, pending, found.as_ref(), floor, known),
                }
            }
            (Task::Page(page), Ok(_)) => self.take_page(cx, pending, page),
            (Task::Swap, reply) => self.take_swap(cx, pending, reply, known),
            _ => self.queue.push_front(pending),
        }
    }

    fn show_late(&mut self, task: Task, reply: &Reply) {
        if let (Task::Manifest { floor }, Ok(PlatformReply::Value(found))) = (task, reply) {
            self.show(floor, found.as_ref());
        }
    }

    fn show(&mut self, floor: u64, found: Option<&Versioned>) {
        let found = found.cloned();
        self.effects.push(Effect::Shown { floor, found });
    }

    /// Builds the new revision on the manifest that the service holds.
    fn take_base(
        &mut self,
        cx: &mut Context<'_>,
        pending: Pending,
        found: Option<&Versioned>,
        floor: u64,
        known: Known<'_>,
    ) {
        let version = found.map_or(0, |found| found.version);
        let manifest = found.and_then(|found| Manifest::decode(&found.value));
        let shown = manifest.map_or(0, |manifest| manifest.revision);
        let base = known.held.filter(|_| found.is_some());
        let same = base.map(|base| &base.bytes) == found.map(|found| &found.value);
        let current = shown >= floor;
        let built = if current && shown != known.revision() {
            return self.enter(cx, pending, Step::Load(shown));
        } else if pending.restores() {
            pending.restore(known, shown, same, version)
        } else if current && same {
            pending.build(base, version)
        } else {
            // The service shows less than was already accepted, or another history. A change
            // built on it would revert what is in force, so none is made here.
            Err(known.older(shown))
        };
        match built {
            Ok(attempt) => self.start_writing(cx, pending, attempt),
            Err(outcome) => self.done(pending.call, outcome),
        }
    }

    fn start_writing(&mut self, cx: &mut Context<'_>, pending: Pending, attempt: Attempt) {
        self.sweep.retire(cx, &attempt);
        let left: BTreeSet<_> = attempt.fresh.iter().map(|(page, _)| *page).collect();
        let step = if left.is_empty() {
            Step::Swap(Box::new(attempt))
        } else {
            Step::Write(Box::new(attempt), left)
        };
        self.enter(cx, pending, step);
    }

    fn take_page(&mut self, cx: &mut Context<'_>, mut pending: Pending, page: PageDigest) {
        let Step::Write(attempt, mut left) = mem::replace(&mut pending.step, Step::Read) else {
            return;
        };
        left.remove(&page);
        if left.is_empty() {
            return self.enter(cx, pending, Step::Swap(attempt));
        }
        pending.step = Step::Write(attempt, left);
        self.queue.push_front(pending);
    }

    fn take_swap(
        &mut self,
        cx: &mut Context<'_>,
        mut pending: Pending,
        reply: &Reply,
        known: Known<'_>,
    ) {
        let Step::Swap(attempt) = mem::replace(&mut pending.step, Step::Read) else {
            return;
        };
        match reply {
            Ok(PlatformReply::Swapped { done: true, .. }) => self.accept(pending.call, *attempt),
            Ok(PlatformReply::Swapped { current, .. }) => {
                pending.unsure -= 1;
                self.show(0, current.as_ref());
                self.judge(cx, pending, attempt, current.as_ref(), known);
            }
            // It certainly did not take; the same swap is sent again when the step is due.
            Err(PlatformError::Down(_)) => {
                pending.unsure -= 1;
                pending.step = Step::Swap(attempt);
                self.queue.push_front(pending);
            }
            // It may have taken. Told as a failure, an accepted change would look refused;
            // sent anew as another change, it might be made twice. So the manifest is read.
            _ => self.enter(cx, pending, Step::Verify(attempt)),
        }
    }

    /// Judges an attempt by the manifest that the service holds now.
    fn judge(
        &mut self,
        cx: &mut Context<'_>,
        pending: Pending,
        attempt: Box<Attempt>,
        found: Option<&Versioned>,
        known: Known<'_>,
    ) {
        let version = found.map_or(0, |found| found.version);
        let manifest = found.and_then(|found| Manifest::decode(&found.value));
        match attempt.verdict(manifest.as_ref(), version) {
            Verdict::Landed => self.accept(pending.call, *attempt),
            Verdict::Lost => {
                self.sweep.discard(cx, &attempt);
                let revision = manifest.map_or(0, |manifest| manifest.revision);
                self.done(pending.call, Outcome::Conflict { revision });
            }
            Verdict::Open => {
                let again = u64::from(pending.unsure.saturating_sub(1));
                self.enter(cx, pending, Step::Swap(attempt));
                self.delay(Millis(STEP_RETRY.0 * again));
            }
            Verdict::Forgotten if pending.unsure == 0 => {
                let shown = manifest.map_or(0, |manifest| manifest.revision);
                self.done(pending.call, known.older(shown));
            }
            Verdict::Forgotten => {
                let base = attempt.base;
                self.done(pending.call, Outcome::Unknown { base });
            }
        }
    }

    fn accept(&mut self, call: CallId, attempt: Attempt) {
        let revision = attempt.next.manifest.revision;
        self.effects.push(Effect::Accept(Box::new(attempt.next)));
        self.done(call, Outcome::Accepted { revision });
    }

    fn done(&mut self, call: CallId, outcome: Outcome) {
        self.effects.push(Effect::Done(call, outcome));
    }
}

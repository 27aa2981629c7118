//! What happens to work that waits: it starts, is given up, or makes room for itself.

use crate::Decision;
use crate::Work;
use crate::WorkId;
use crate::placement::Candidate;
use crate::queue::Entry;
use crate::queue::LaneKey;
use crate::refusal::Refusal;
use crate::state::State;
use siskinyoke_base::Code;
use siskinyoke_base::Millis;

/// The part of a protected request's slack that is left when lower work is cancelled for it, if
/// wasted prefill weighs nothing; and how much later that is if it weighs most. Natural ends come
/// several times a second at today's sizes, so cancelling at once would waste more than it gains.
const CANCEL_LEFT: f64 = 0.6;
const CANCEL_LATER: f64 = 0.3;

/// The part of a protected request's slack that is left when it counts as under pressure: time for
/// one round of thresholds between daemons and for short work on endpoints to end.
const PRESSURE_LEFT: f64 = 0.15;

/// The part of the slots that has to be free for late work to begin, and after how many times its
/// need it begins at the next one: rounds of thresholds end within a second or two, so a late
/// request either is shed by then or nothing more urgent waits.
const IDLE: f64 = 0.25;
const LONGEST_LATE: f64 = 3.0;

/// Gives up what can no longer be useful; protected work is put behind instead.
pub(crate) fn expire(now: Millis, state: &mut State) {
    while let Some(id) = state.queue.overdue(now) {
        let protected = state
            .queue
            .get(id)
            .is_some_and(|entry| entry.work.protected);
        if protected {
            state.queue.defer(id);
        } else if let Some(entry) = state.queue.remove(id) {
            state.forecast.learn_wait(now, &entry);
            state.refusals.push((id, Refusal::new(Code::Late)));
        }
    }
    let late = state.queue.find(|entry| {
        let work = &entry.work;
        work.protected && entry.latest <= now && state.may_shed(now, work.rank)
    });
    for id in late {
        if let Some(entry) = state.queue.get(id) {
            state.shedding.note(now, entry.work.rank);
            state.refuse(id, Refusal::new(Code::Late));
        }
    }
}

/// Starts work, the most urgent tier first, until no endpoint has room.
pub(crate) fn dispatch(now: Millis, state: &mut State, out: &mut Vec<Decision>) {
    for key in state.queue.lanes() {
        if !state.shedding.bars(key.rank) {
            while dispatch_one(now, &key, state, out) {}
        }
    }
}

/// Cancels work stranded on endpoints that have gone silent, so that it can run elsewhere.
pub(crate) fn rescue(now: Millis, state: &mut State, out: &mut Vec<Decision>) {
    for id in state.pool.stalled(now) {
        state.pool.cancel(id);
        out.push(Decision::Cancel { id });
    }
}

/// Cancels lower work in flight for protected work whose need runs out.
pub(crate) fn preempt(now: Millis, state: &mut State, out: &mut Vec<Decision>) {
    let share = CANCEL_LEFT - CANCEL_LATER * state.ramp.prefill_weight();
    let flights = state.pool.flights().iter();
    let pending = flights.filter(|flight| flight.cancelled).count();
    let urgent = state.queue.find(|entry| {
        let late = entry.latest <= now;
        entry.work.protected && !late && left(entry, now) <= slack(entry) * share
    });
    for id in urgent.into_iter().skip(pending) {
        let Some(entry) = state.queue.get(id) else {
            continue;
        };
        let Some(victim) = state.pool.victim(now, &entry.work) else {
            continue;
        };
        state.pool.cancel(victim);
        out.push(Decision::Cancel { id: victim });
    }
}

/// Returns the rank of protected work that would have to be shed now for lack of room.
pub(crate) fn pressure(now: Millis, state: &State) -> Option<u8> {
    let pressed = state.queue.entries().filter(|entry| {
        entry.work.protected
            && left(entry, now) <= slack(entry) * PRESSURE_LEFT
            && !state.pool.can_yield(now, &entry.work)
    });
    let ranks = pressed.map(|entry| entry.work.rank);
    ranks.chain(state.shedding.noted(now)).min()
}

/// Starts one request of a lane: the first that would be useful, or else a protected one that
/// is late, whose answer is owed still.
fn dispatch_one(now: Millis, key: &LaneKey, state: &mut State, out: &mut Vec<Decision>) -> bool {
    let heads = state.queue.heads(key);
    if heads.is_empty() || !state.may_fill(now, key) {
        return false;
    }
    let mut owed = None;
    for id in heads {
        let Some(entry) = state.queue.get(id) else {
            continue;
        };
        let Some(chosen) = state.pool.place(now, &mut state.rng, &entry.work) else {
            continue;
        };
        if chosen.fits {
            return start(now, id, chosen, state, out);
        }
        if owed.is_none() && is_owed(now, &entry.work, state) {
            owed = Some((id, chosen));
        }
    }
    owed.is_some_and(|(id, chosen)| start(now, id, chosen, state, out))
}

/// Tells whether protected work that would be late is to be begun all the same.
///
/// Begun at once, late work after a burst fills the slots that work in time needs, which is
/// late in turn. So it takes slots that are idle, or any once it has waited long; meanwhile
/// the pressure that it makes lets the daemons agree to shed it.
fn is_owed(now: Millis, work: &Work, state: &State) -> bool {
    if !work.protected {
        return false;
    }
    let slots = f64::from(state.pool.slots(now, &work.target));
    let free = f64::from(state.pool.free_slots(now, &work.target));
    let need = work.deadline.since(work.arrived).as_secs();
    let waited = now.since(work.arrived).as_secs();
    free >= slots * IDLE || waited >= need * LONGEST_LATE
}

fn start(
    now: Millis,
    id: WorkId,
    chosen: Candidate,
    state: &mut State,
    out: &mut Vec<Decision>,
) -> bool {
    let Some(entry) = state.queue.remove(id) else {
        return false;
    };
    state.forecast.learn_wait(now, &entry);
    let weight = state.weights.get(&entry.work.organisation);
    let tokens = chosen.fresh + f64::from(entry.work.output);
    state.queue.charge(&entry.work, weight, tokens);
    state.pool.start(now, entry.work, &chosen);
    out.push(Decision::Start {
        id,
        endpoint: chosen.endpoint,
    });
    true
}

/// Returns the seconds until work can no longer begin and be useful.
fn left(entry: &Entry, now: Millis) -> f64 {
    entry.latest.since(now).as_secs()
}

/// Returns the seconds that work could wait in all and be useful.
fn slack(entry: &Entry) -> f64 {
    entry.latest.since(entry.work.arrived).as_secs()
}

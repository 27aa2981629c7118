//! The checks that work passes before it may wait.

use std::collections::BTreeMap;

use rand::Rng;

use crate::Finish;
use crate::Work;
use crate::WorkId;
use crate::allowance::Allowances;
use crate::history::History;
use crate::queue::LaneKey;
use crate::rate::Rate;
use crate::refusal::Refusal;
use crate::retry::RetryBudget;
use crate::state::State;
use crate::units;
use siskinyoke_base::Code;
use siskinyoke_base::Millis;
use siskinyoke_base::OrganisationId;

/// Queue lengths beyond which even protected work is refused, once nothing lower is here: memory
/// has to stay bounded, and this many could not be served within any need.
const HARD_FACTOR: u32 = 4;

/// Attempts after which work is given up whatever is left of its need: each may have cost an
/// endpoint.
const ATTEMPTS: usize = 4;

/// What is remembered of callers and of work that comes back.
#[derive(Debug, Default)]
pub(crate) struct Intake {
    /// Allowances of organisations.
    pub(crate) allowances: Allowances,
    /// Tokens a second that organisations ask for.
    pub(crate) tokens: BTreeMap<OrganisationId, Rate>,
    retries: RetryBudget,
    history: History,
}

impl Intake {
    /// Decides whether work may wait here at all.
    pub(crate) fn admit(
        &mut self,
        now: Millis,
        work: &Work,
        state: &mut State,
    ) -> Result<(), Refusal> {
        self.check_repeat(work)?;
        check_open(work, state)?;
        if !work.protected && !state.pool.offers(&work.target) {
            return Err(Refusal::new(Code::NoEndpoint));
        }
        check_need(now, work, state)?;
        self.check_allowance(now, work, state)?;
        check_room(now, work, state)
    }

    /// Learns how work left its endpoint, in case it comes back.
    pub(crate) fn finished(&mut self, id: WorkId, finish: Finish) {
        match finish {
            Finish::Complete { .. } => self.history.remove(id),
            Finish::Unreachable => {}
            Finish::Broken => self.history.insert(id, Code::Broken),
            Finish::Cancelled => self.history.insert(id, Code::Cancelled),
        }
    }

    /// Returns the code with which work ends: what ran in part is never called "not run".
    pub(crate) fn last_word(&mut self, id: WorkId, code: Code) -> Code {
        let ended = self.history.get(id);
        self.history.remove(id);
        ended.unwrap_or(code)
    }

    /// Refuses a second run of what may run once, and retries past their budget.
    fn check_repeat(&mut self, work: &Work) -> Result<(), Refusal> {
        let ended = self.history.get(work.id);
        if let Some(code) = ended
            && !work.repeatable()
        {
            return Err(Refusal::new(code));
        }
        if work.avoid.is_empty() {
            self.retries.earn();
            return Ok(());
        }
        if work.avoid.len() < ATTEMPTS && (work.protected || self.retries.take()) {
            return Ok(());
        }
        Err(Refusal::new(ended.unwrap_or(Code::NoEndpoint)))
    }

    fn check_allowance(&mut self, now: Millis, work: &Work, state: &State) -> Result<(), Refusal> {
        let tokens = f64::from(work.prompt) + f64::from(work.output);
        let id = &work.organisation;
        self.tokens.entry(id.clone()).or_default().add(now, tokens);
        let instances = state.pool.instances();
        self.allowances
            .take(now, instances, id, tokens, work.protected)
            .map_err(|span| Refusal::after(Code::OverAllowance, span))
    }
}

/// Refuses what the threshold or the preset in force keeps out.
///
/// A protected tier counts as closed only as far as all later ones are: a preset may not shed it
/// while lower work is let in.
fn check_open(work: &Work, state: &mut State) -> Result<(), Refusal> {
    let barred = !work.protected && state.shedding.bars(work.rank);
    let open = if work.protected {
        state.ramp.open_from(work.rank)
    } else {
        state.ramp.open(work.rank)
    };
    if barred || open < 1.0 && state.rng.random::<f64>() >= open {
        return Err(Refusal::new(Code::Shed));
    }
    Ok(())
}

/// Refuses what cannot be answered within its need.
fn check_need(now: Millis, work: &Work, state: &mut State) -> Result<(), Refusal> {
    let key = LaneKey::of(work);
    let service = state.pool.service(now, work);
    state.forecast.offer(now, &key, service);
    let outlook = state.outlook(now, work);
    let excess = outlook.excess();
    if excess <= 0.0 || work.protected && !state.may_shed(now, work.rank) {
        state.forecast.admit(now, &key);
        return Ok(());
    }
    if work.protected {
        state.shedding.note(now, work.rank);
    }
    let place = state.forecast.place(&key);
    let after = place.next(now, units::millis(excess), outlook.gap());
    Err(Refusal::after(Code::Overloaded, after))
}

/// Keeps the queue bounded: the last tier makes room first.
fn check_room(now: Millis, work: &Work, state: &mut State) -> Result<(), Refusal> {
    let bound = state.ramp.queue();
    if state.queue.len() < bound {
        return Ok(());
    }
    if let Some(id) = state.queue.last(work.rank) {
        state.refuse(id, Refusal::new(Code::Shed));
        return Ok(());
    }
    let full = state.queue.len() >= bound.saturating_mul(HARD_FACTOR);
    let keeps = state.has_lower(work.rank) || !full;
    if work.protected && keeps && !state.may_shed(now, work.rank) {
        return Ok(());
    }
    Err(Refusal::new(Code::Overloaded))
}

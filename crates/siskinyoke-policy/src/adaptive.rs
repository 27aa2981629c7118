//! The product's policy: the decisions of the other modules joined behind the border.

use std::collections::BTreeMap;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::Decision;
use crate::EndpointSpec;
use crate::Finish;
use crate::LoadReport;
use crate::PresetSpec;
use crate::Scheduler;
use crate::Work;
use crate::WorkId;
use crate::admission::Outlook;
use crate::admission::Trust;
use crate::allowance::Allowances;
use crate::demand;
use crate::history::History;
use crate::load::Load;
use crate::placement::Candidate;
use crate::pool::Pool;
use crate::queue::Entry;
use crate::queue::LaneKey;
use crate::queue::Queue;
use crate::ramp::Ramp;
use crate::rate::Rate;
use crate::refusal::Place;
use crate::refusal::Refusal;
use crate::retry::RetryBudget;
use crate::units;
use siskinyoke_base::Code;
use siskinyoke_base::EndpointId;
use siskinyoke_base::Millis;
use siskinyoke_base::OrganisationId;
use siskinyoke_base::message::LeaseDemand;
use siskinyoke_base::message::Resource;

/// How often a policy with work looks again without an event: a tenth of the shortest span that
/// it watches for (a second of silence).
const TICK: Millis = Millis(100);

/// The part of a protected request's slack that is left when lower work is cancelled for it, if
/// wasted prefill weighs nothing; and how much later that is if it weighs most. Natural ends come
/// several times a second at today's sizes, so cancelling at once would waste more than it gains.
const CANCEL_LEFT: f64 = 0.6;
const CANCEL_LATER: f64 = 0.3;

/// The part of a protected request's slack that is left when it counts as under pressure: time for
/// one round of thresholds between daemons and for short work on endpoints to end.
const PRESSURE_LEFT: f64 = 0.15;

/// Work that takes this many times less than other work counts as short beside it.
const SHORT: f64 = 2.0;

/// Slots kept for the swing of short work, in square roots of those it fills: arrivals at random
/// swing by about one square root, and half of it can wait a moment within its need.
const SWING: f64 = 0.5;

/// How long after protected work was shed the pressure stands. Without it the threshold would be
/// lifted by the very refusals that it allowed, lower work would come in, and protected work
/// would have to wait for it again.
const PRESSED: Millis = Millis::from_secs(1);

/// The part of the slots that has to be free for late work to begin, and after how many times its
/// need it begins at the next one: rounds of thresholds end within a second or two, so a late
/// request either is shed by then or nothing more urgent waits.
const IDLE: f64 = 0.25;
const LONGEST_LATE: f64 = 3.0;

/// Margin on the time to a useful answer when the last moment to begin is set: work begun at that
/// moment without one misses its need half of the time, and its prefill is wasted.
const LATEST: f64 = 1.2;

/// Queue lengths beyond which even protected work is refused, once nothing lower is here: memory
/// has to stay bounded, and this many could not be served within any need.
const HARD_FACTOR: u32 = 4;

/// Attempts after which work is given up whatever is left of its need: each may have cost an
/// endpoint.
const ATTEMPTS: usize = 4;

/// Decides by need, tier, fair share and expected finish.
#[derive(Debug)]
pub struct Adaptive {
    rng: ChaCha8Rng,
    pool: Pool,
    queue: Queue,
    weights: BTreeMap<OrganisationId, u32>,
    allowances: Allowances,
    tokens: BTreeMap<OrganisationId, Rate>,
    arrivals: BTreeMap<LaneKey, Rate>,
    loads: BTreeMap<LaneKey, Load>,
    trusts: BTreeMap<LaneKey, Trust>,
    places: BTreeMap<LaneKey, Place>,
    retries: RetryBudget,
    history: History,
    ramp: Ramp,
    threshold: Option<u8>,
    shedding: Option<(u8, Millis)>,
    shed: Option<(u8, Millis)>,
    refusals: Vec<(WorkId, Refusal)>,
    offset: f64,
}

impl Adaptive {
    /// Makes a policy from a seed and the number of instances that share the endpoints.
    pub fn new(seed: u64, instances: u32) -> Self {
        let mut pool = Pool::default();
        pool.set_instances(instances);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let offset = rng.random();
        Self {
            rng,
            pool,
            queue: Queue::default(),
            weights: BTreeMap::new(),
            allowances: Allowances::default(),
            tokens: BTreeMap::new(),
            arrivals: BTreeMap::new(),
            loads: BTreeMap::new(),
            trusts: BTreeMap::new(),
            places: BTreeMap::new(),
            retries: RetryBudget::default(),
            history: History::default(),
            ramp: Ramp::new(),
            threshold: None,
            shedding: None,
            shed: None,
            refusals: Vec::new(),
            offset,
        }
    }
}

impl Scheduler for Adaptive {
    fn set_instances(&mut self, count: u32) {
        self.pool.set_instances(count);
    }

    fn set_endpoints(&mut self, now: Millis, specs: &[EndpointSpec]) {
        self.pool.set_endpoints(now, specs);
    }

    fn set_preset(&mut self, now: Millis, preset: &PresetSpec) {
        self.ramp.set(now, preset);
    }

    fn set_organisation(&mut self, id: &OrganisationId, weight: u32, allowance: Option<u32>) {
        self.weights.insert(id.clone(), weight.max(1));
        self.allowances.set(id, allowance);
    }

    fn arrive(&mut self, now: Millis, work: Work) {
        self.ramp.advance(now);
        if let Err(refusal) = self.admit(now, &work) {
            self.refusals.push((work.id, refusal));
            return;
        }
        let latest = self.latest(now, &work);
        let wait = self.outlook(now, &work).wait();
        self.queue.push(work, latest, wait);
    }

    fn poll(&mut self, now: Millis, out: &mut Vec<Decision>) -> Millis {
        self.ramp.advance(now);
        self.expire(now);
        self.dispatch(now, out);
        self.rescue(now, out);
        self.preempt(now, out);
        self.tell(out);
        self.next_poll(now)
    }

    fn first_piece(&mut self, now: Millis, id: WorkId) {
        self.pool.first_piece(now, id);
    }

    fn finished(&mut self, now: Millis, id: WorkId, finish: Finish) {
        if self.pool.finished(now, id, finish).is_none() {
            return;
        }
        match finish {
            Finish::Complete { .. } => self.history.remove(id),
            Finish::Unreachable => {}
            Finish::Broken => self.history.insert(id, Code::Broken),
            Finish::Cancelled => self.history.insert(id, Code::Cancelled),
        }
    }

    fn withdraw(&mut self, _now: Millis, id: WorkId) -> bool {
        self.queue.remove(id).is_some()
    }

    fn report(&mut self, _now: Millis, endpoint: &EndpointId, load: &LoadReport) {
        if let Some(endpoint) = self.pool.endpoint(endpoint) {
            endpoint.hint(load);
        }
    }

    fn set_threshold(&mut self, _now: Millis, rank: Option<u8>) {
        self.threshold = rank;
        let Some(rank) = rank else {
            return;
        };
        // Protected work behind the threshold only waits: evicting it while later tiers are still
        // on endpoints would shed it before them.
        let barred = self
            .queue
            .find(|entry| entry.work.rank >= rank && !entry.work.protected);
        for id in barred {
            self.refuse(id, Refusal::new(Code::Shed));
        }
    }

    fn serving(&self, rank: u8) -> u32 {
        self.pool.flights().count_from(rank)
    }

    fn pressure(&self, now: Millis) -> Option<u8> {
        let pressed = |entry: &&Entry| {
            entry.work.protected
                && left(entry, now) <= slack(entry) * PRESSURE_LEFT
                && !self.pool.can_yield(now, &entry.work)
        };
        let waiting = self.queue.entries().filter(pressed);
        let shed = self.shed.filter(|(_, until)| now < *until);
        let waiting = waiting.map(|entry| entry.work.rank);
        waiting.chain(shed.map(|(rank, _)| rank)).min()
    }

    fn allow_shedding(&mut self, _now: Millis, rank: u8, until: Millis) {
        self.shedding = Some((rank, until));
    }

    fn demand(&self, now: Millis) -> Vec<LeaseDemand> {
        let mut lines = demand::endpoints(now, &self.pool, &self.queue, &self.loads, self.offset);
        lines.extend(demand::allowances(now, &self.allowances, &self.tokens));
        lines
    }

    fn grant(&mut self, _now: Millis, resource: &Resource, units: u32, until: Millis) {
        match resource {
            Resource::Endpoint(id) => {
                if let Some(endpoint) = self.pool.endpoint(id) {
                    endpoint.share.grant(units, until);
                }
            }
            Resource::Allowance(id) => self.allowances.grant(id, units, until),
        }
    }

    fn waiting(&self) -> Vec<u32> {
        let mut counts = vec![0; self.ramp.ranks()];
        for key in self.queue.lanes() {
            let slot = usize::from(key.rank);
            counts.resize(counts.len().max(slot + 1), 0);
            counts[slot] += self.queue.lane_len(&key);
        }
        counts
    }
}

impl Adaptive {
    /// Decides whether work may wait here at all.
    fn admit(&mut self, now: Millis, work: &Work) -> Result<(), Refusal> {
        self.check_repeat(work)?;
        self.check_open(work)?;
        if !work.protected && !self.pool.offers(&work.target) {
            return Err(Refusal::new(Code::NoEndpoint));
        }
        self.check_need(now, work)?;
        self.check_allowance(now, work)?;
        self.check_room(now, work)
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

    /// Refuses what the threshold or the preset in force keeps out.
    fn check_open(&mut self, work: &Work) -> Result<(), Refusal> {
        if work.protected {
            return Ok(());
        }
        let barred = self.threshold.is_some_and(|rank| work.rank >= rank);
        let open = self.ramp.open(work.rank);
        if barred || open < 1.0 && self.rng.random::<f64>() >= open {
            return Err(Refusal::new(Code::Shed));
        }
        Ok(())
    }

    /// Refuses what cannot be answered within its need.
    fn check_need(&mut self, now: Millis, work: &Work) -> Result<(), Refusal> {
        let service = self.pool.service(now, work);
        self.pool.learn_size(now, &work.target, service);
        let key = LaneKey::of(work);
        let loads = self.loads.entry(key.clone());
        let load = loads.or_default();
        load.add(now, service);
        let outlook = self.outlook(now, work);
        let excess = outlook.excess();
        if excess > 0.0 && (!work.protected || self.may_shed(now, work.rank)) {
            if work.protected {
                self.shed = Some((work.rank, now + PRESSED));
            }
            let place = self.places.entry(key).or_default();
            let after = place.next(now, units::millis(excess), outlook.gap());
            return Err(Refusal::after(Code::Overloaded, after));
        }
        let arrivals = self.arrivals.entry(key);
        arrivals.or_insert_with(Rate::steady).add(now, 1.0);
        Ok(())
    }

    fn check_allowance(&mut self, now: Millis, work: &Work) -> Result<(), Refusal> {
        let tokens = f64::from(work.prompt) + f64::from(work.output);
        let id = &work.organisation;
        self.tokens.entry(id.clone()).or_default().add(now, tokens);
        let instances = self.pool.instances();
        self.allowances
            .take(now, instances, id, tokens, work.protected)
            .map_err(|span| Refusal::after(Code::OverAllowance, span))
    }

    /// Keeps the queue bounded: the last tier makes room first.
    fn check_room(&mut self, now: Millis, work: &Work) -> Result<(), Refusal> {
        let bound = self.ramp.queue();
        if self.queue.len() < bound {
            return Ok(());
        }
        if let Some(id) = self.queue.last(work.rank)
            && !self.queue.get(id).is_some_and(|entry| entry.work.protected)
        {
            self.refuse(id, Refusal::new(Code::Shed));
            return Ok(());
        }
        let lower = self.serving(work.rank + 1) > 0 || self.queue.count_from(work.rank + 1) > 0;
        let full = self.queue.len() >= bound.saturating_mul(HARD_FACTOR);
        if work.protected && !self.may_shed(now, work.rank) && (lower || !full) {
            return Ok(());
        }
        Err(Refusal::new(Code::Overloaded))
    }

    /// Estimates what work would find.
    fn outlook(&self, now: Millis, work: &Work) -> Outlook {
        let target = &work.target;
        let above = self
            .arrivals
            .iter()
            .filter(|(key, _)| key.rank < work.rank && key.target == *target)
            .map(|(_, rate)| rate.value(now))
            .sum::<f64>();
        let full = !self.pool.has_room(now, target) || !self.may_fill(now, &LaneKey::of(work));
        let excess = f64::from(self.pool.excess(now, target));
        let queued = f64::from(self.queue.ahead(work.rank, target)) + self.line_ahead(work);
        Outlook {
            ahead: queued + if full { 1.0 + excess } else { 0.0 },
            ends: self.pool.ends(target) * self.ramp.usable(work.rank),
            above,
            useful: self.pool.useful(now, work).unwrap_or(f64::INFINITY),
            left: work.deadline.since(now).as_secs(),
            caution: self.ramp.prefill_weight(),
            trust: self.trust(&LaneKey::of(work)),
        }
    }

    /// Counts the work of its own tier that goes before work under fair turns: while its own
    /// line is served, each other line gets at most its weight's share beside it.
    fn line_ahead(&self, work: &Work) -> f64 {
        let lines: Vec<_> = self.queue.lines(&LaneKey::of(work)).collect();
        let weight = self.weight(&work.organisation);
        let own = lines.iter().filter(|(id, _)| **id == work.organisation);
        let own: f64 = own.map(|(_, count)| f64::from(*count)).sum();
        let others = lines.iter().filter(|(id, _)| **id != work.organisation);
        let beside = others.map(|(id, count)| {
            let turns = (own + 1.0) * self.weight(id) / weight;
            f64::from(*count).min(turns)
        });
        own + beside.sum::<f64>()
    }

    /// Returns the last moment at which work can begin and still be useful.
    fn latest(&self, now: Millis, work: &Work) -> Millis {
        let useful = self.pool.useful(now, work).unwrap_or_default();
        work.deadline.since(units::millis(useful * LATEST))
    }

    /// Gives up what can no longer be useful; protected work is put behind instead.
    fn expire(&mut self, now: Millis) {
        while let Some(id) = self.queue.overdue(now) {
            let protected = self.queue.get(id).is_some_and(|entry| entry.work.protected);
            if protected {
                self.queue.defer(id);
            } else if let Some(entry) = self.queue.remove(id) {
                self.learn_wait(now, &entry);
                self.refusals.push((id, Refusal::new(Code::Late)));
            }
        }
        if self.shedding.is_none_or(|(_, until)| now >= until) {
            return;
        }
        let late = self
            .queue
            .find(|entry| entry.work.protected && entry.latest <= now);
        for id in late {
            let rank = self.queue.get(id).map_or(u8::MAX, |entry| entry.work.rank);
            if self.may_shed(now, rank) {
                self.shed = Some((rank, now + PRESSED));
                self.refuse(id, Refusal::new(Code::Late));
            }
        }
    }

    /// Starts work, the most urgent tier first, until no endpoint has room.
    fn dispatch(&mut self, now: Millis, out: &mut Vec<Decision>) {
        for key in self.queue.lanes() {
            let barred = self.threshold.is_some_and(|rank| key.rank >= rank);
            if !barred {
                while self.dispatch_one(now, &key, out) {}
            }
        }
    }

    /// Starts one request of a lane: the first that would be useful, or else a protected one that
    /// is late anywhere, whose answer is owed still.
    fn dispatch_one(&mut self, now: Millis, key: &LaneKey, out: &mut Vec<Decision>) -> bool {
        let heads = self.queue.heads(key);
        if heads.is_empty() || !self.may_fill(now, key) {
            return false;
        }
        let mut owed = None;
        for id in heads {
            let Some(entry) = self.queue.get(id) else {
                continue;
            };
            let Some(chosen) = self.pool.place(now, &mut self.rng, &entry.work) else {
                continue;
            };
            if chosen.fits {
                return self.start(now, id, chosen, out);
            }
            if owed.is_none() && self.is_owed(now, entry) {
                owed = Some((id, chosen));
            }
        }
        owed.is_some_and(|(id, chosen)| self.start(now, id, chosen, out))
    }

    /// Tells whether protected work that would be late is to be begun all the same.
    ///
    /// Begun at once, late work after a burst fills the slots that work in time needs, which is
    /// late in turn. So it takes slots that are idle, or any once it has waited long; meanwhile
    /// the pressure that it makes lets the daemons agree to shed it.
    fn is_owed(&self, now: Millis, entry: &Entry) -> bool {
        let work = &entry.work;
        if !work.protected {
            return false;
        }
        let slots = f64::from(self.pool.slots(now, &work.target));
        let free = f64::from(self.pool.free_slots(now, &work.target));
        let waited = now.since(work.arrived).as_secs();
        free >= slots * IDLE || waited >= need(work) * LONGEST_LATE
    }

    fn start(
        &mut self,
        now: Millis,
        id: WorkId,
        chosen: Candidate,
        out: &mut Vec<Decision>,
    ) -> bool {
        let Some(entry) = self.queue.remove(id) else {
            return false;
        };
        self.learn_wait(now, &entry);
        let weight = self.weight(&entry.work.organisation);
        let tokens = chosen.fresh + f64::from(entry.work.output);
        self.queue.charge(&entry.work, weight, tokens);
        self.pool.start(now, entry.work, &chosen);
        out.push(Decision::Start {
            id,
            endpoint: chosen.endpoint,
        });
        true
    }

    /// Tells whether a lane may take one more slot beside what is kept for others.
    fn may_fill(&self, now: Millis, key: &LaneKey) -> bool {
        let share = self.ramp.usable(key.rank);
        let target = &key.target;
        if share < 1.0 {
            let slots = f64::from(self.pool.slots(now, target));
            let usable = units::floor(slots * share).max(u32::from(share > 0.0));
            if self.pool.flights().count_target(target, key.rank) >= usable {
                return false;
            }
        }
        let kept = self.kept_for_short(now, key);
        kept <= 0.0 || f64::from(self.pool.free_slots(now, target)) >= kept + 1.0
    }

    /// Returns the slots that a lane leaves free to more urgent lanes of much shorter work.
    ///
    /// Load pattern: short work with a short need beside work a hundred times longer. A slot that
    /// is free for a moment goes to long work and is gone for ten seconds, and short work that
    /// comes a moment later misses its need. So it keeps the slots that it fills on average, and
    /// some for its swing, less those that it fills now.
    fn kept_for_short(&self, now: Millis, key: &LaneKey) -> f64 {
        let own = self.loads.get(key).map_or(0.0, |load| load.service(now));
        let above = self.loads.iter().filter(|(other, load)| {
            other.rank < key.rank && other.target == key.target && load.service(now) * SHORT < own
        });
        let kept = above.map(|(other, load)| {
            let load = load.slots(now);
            let running = self.pool.flights().count_lane(other);
            (load + load.sqrt() * SWING - f64::from(running)).max(0.0)
        });
        kept.sum()
    }

    /// Cancels work stranded on endpoints that have gone silent, so that it can run elsewhere.
    fn rescue(&mut self, now: Millis, out: &mut Vec<Decision>) {
        for id in self.pool.stalled(now) {
            self.pool.cancel(id);
            out.push(Decision::Cancel { id });
        }
    }

    /// Cancels lower work in flight for protected work whose need runs out.
    fn preempt(&mut self, now: Millis, out: &mut Vec<Decision>) {
        let weight = self.ramp.prefill_weight();
        let share = CANCEL_LEFT - CANCEL_LATER * weight;
        let pending = self.pool.flights().iter().filter(|flight| flight.cancelled);
        let pending = pending.count();
        let urgent = self.queue.find(|entry| {
            let late = entry.latest <= now;
            entry.work.protected && !late && left(entry, now) <= slack(entry) * share
        });
        for id in urgent.into_iter().skip(pending) {
            let Some(entry) = self.queue.get(id) else {
                continue;
            };
            let Some(victim) = self.pool.victim(now, &entry.work) else {
                continue;
            };
            self.pool.cancel(victim);
            out.push(Decision::Cancel { id: victim });
        }
    }

    /// Takes work out of the queue and refuses it.
    fn refuse(&mut self, id: WorkId, refusal: Refusal) {
        if self.queue.remove(id).is_some() {
            self.refusals.push((id, refusal));
        }
    }

    /// Hands out refusals; work that ran in part keeps the code that says so.
    fn tell(&mut self, out: &mut Vec<Decision>) {
        for (id, refusal) in std::mem::take(&mut self.refusals) {
            let code = self.history.get(id).unwrap_or(refusal.code);
            self.history.remove(id);
            let after = refusal.spread(&mut self.rng);
            out.push(Decision::Refuse { id, code, after });
        }
    }

    fn next_poll(&self, now: Millis) -> Millis {
        if self.queue.len() == 0 && self.pool.flights().is_empty() {
            return Millis::NEVER;
        }
        self.queue.next_latest().min(now + TICK)
    }

    /// Tells whether protected work of a rank may be shed.
    ///
    /// Besides the word of all daemons, nothing later may wait or run here: the word is as old as
    /// the round that gave it.
    fn may_shed(&self, now: Millis, rank: u8) -> bool {
        let allowed = self
            .shedding
            .is_some_and(|(from, until)| rank >= from && now < until);
        allowed && self.serving(rank + 1) == 0 && self.queue.count_from(rank + 1) == 0
    }

    /// Learns how long work waited against the estimate.
    fn learn_wait(&mut self, now: Millis, entry: &Entry) {
        let waited = now.since(entry.work.arrived).as_secs();
        let trust = self.trusts.entry(LaneKey::of(&entry.work)).or_default();
        trust.learn(entry.wait, waited);
    }

    fn trust(&self, key: &LaneKey) -> f64 {
        self.trusts.get(key).map_or(1.0, Trust::ratio)
    }

    fn weight(&self, id: &OrganisationId) -> f64 {
        f64::from(self.weights.get(id).copied().unwrap_or(1))
    }
}

/// Returns the seconds until work can no longer begin and be useful.
fn left(entry: &Entry, now: Millis) -> f64 {
    entry.latest.since(now).as_secs()
}

/// Returns a request's whole need in seconds.
fn need(work: &Work) -> f64 {
    work.deadline.since(work.arrived).as_secs()
}

/// Returns the seconds that work could wait in all and be useful.
fn slack(entry: &Entry) -> f64 {
    entry.latest.since(entry.work.arrived).as_secs()
}

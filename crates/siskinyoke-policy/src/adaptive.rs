//! The product's policy: the decisions of the other modules joined behind the border.

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
use crate::demand;
use crate::dispatch;
use crate::forecast::Forecast;
use crate::intake::Intake;
use crate::pool::Pool;
use crate::queue::Queue;
use crate::ramp::Ramp;
use crate::refusal::Refusal;
use crate::shedding::Shedding;
use crate::state::State;
use crate::weights::Weights;
use siskinyoke_base::Code;
use siskinyoke_base::EndpointId;
use siskinyoke_base::Millis;
use siskinyoke_base::OrganisationId;
use siskinyoke_base::message::LeaseDemand;
use siskinyoke_base::message::Resource;

/// How often a policy with work looks again without an event: a tenth of the shortest span that
/// it watches for (a second of silence).
const TICK: Millis = Millis(100);

/// Decides by need, tier, fair share and expected finish.
#[derive(Debug)]
pub struct Adaptive {
    state: State,
    intake: Intake,
    offset: f64,
}

impl Adaptive {
    /// Makes a policy from a seed and the number of instances that share the endpoints.
    pub fn new(seed: u64, instances: u32) -> Self {
        let mut pool = Pool::default();
        pool.set_instances(instances);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let offset = rng.random();
        let state = State {
            rng,
            pool,
            queue: Queue::default(),
            weights: Weights::default(),
            forecast: Forecast::default(),
            ramp: Ramp::new(),
            shedding: Shedding::default(),
            refusals: Vec::new(),
        };
        Self {
            state,
            intake: Intake::default(),
            offset,
        }
    }
}

impl Scheduler for Adaptive {
    fn set_instances(&mut self, count: u32) {
        self.state.pool.set_instances(count);
    }

    fn set_endpoints(&mut self, now: Millis, specs: &[EndpointSpec]) {
        self.state.pool.set_endpoints(now, specs);
    }

    fn set_preset(&mut self, now: Millis, preset: &PresetSpec) {
        self.state.ramp.set(now, preset);
    }

    fn set_organisation(&mut self, id: &OrganisationId, weight: u32, allowance: Option<u32>) {
        self.state.weights.set(id, weight);
        self.intake.allowances.set(id, allowance);
    }

    fn arrive(&mut self, now: Millis, work: Work) {
        self.state.ramp.advance(now);
        if let Err(refusal) = self.intake.admit(now, &work, &mut self.state) {
            self.state.refusals.push((work.id, refusal));
            return;
        }
        let latest = self.state.latest(now, &work);
        let wait = self.state.outlook(now, &work).wait();
        self.state.queue.push(work, latest, wait);
    }

    fn poll(&mut self, now: Millis, out: &mut Vec<Decision>) -> Millis {
        self.state.ramp.advance(now);
        dispatch::expire(now, &mut self.state);
        dispatch::dispatch(now, &mut self.state, out);
        dispatch::rescue(now, &mut self.state, out);
        dispatch::preempt(now, &mut self.state, out);
        self.tell(out);
        self.next_poll(now)
    }

    fn first_piece(&mut self, now: Millis, id: WorkId) {
        self.state.pool.first_piece(now, id);
    }

    fn finished(&mut self, now: Millis, id: WorkId, finish: Finish) {
        if self.state.pool.finished(now, id, finish).is_some() {
            self.intake.finished(id, finish);
        }
    }

    fn withdraw(&mut self, _now: Millis, id: WorkId) -> bool {
        self.state.queue.remove(id).is_some()
    }

    fn report(&mut self, _now: Millis, endpoint: &EndpointId, load: &LoadReport) {
        if let Some(endpoint) = self.state.pool.endpoint(endpoint) {
            endpoint.hint(load);
        }
    }

    fn set_threshold(&mut self, _now: Millis, rank: Option<u8>) {
        self.state.shedding.set_threshold(rank);
        let Some(rank) = rank else {
            return;
        };
        // Protected work behind the threshold only waits: evicting it while later tiers are still
        // on endpoints would shed it before them.
        let barred = self
            .state
            .queue
            .find(|entry| entry.work.rank >= rank && !entry.work.protected);
        for id in barred {
            self.state.refuse(id, Refusal::new(Code::Shed));
        }
    }

    fn serving(&self, rank: u8) -> u32 {
        self.state.pool.flights().count_from(rank)
    }

    fn pressure(&self, now: Millis) -> Option<u8> {
        dispatch::pressure(now, &self.state)
    }

    fn allow_shedding(&mut self, _now: Millis, rank: u8, until: Millis) {
        self.state.shedding.allow(rank, until);
    }

    fn demand(&self, now: Millis) -> Vec<LeaseDemand> {
        let state = &self.state;
        let mut lines = demand::endpoints(now, state, self.offset);
        lines.extend(demand::allowances(now, &self.intake));
        lines
    }

    fn grant(&mut self, _now: Millis, resource: &Resource, units: u32, until: Millis) {
        match resource {
            Resource::Endpoint(id) => {
                if let Some(endpoint) = self.state.pool.endpoint(id) {
                    endpoint.share.grant(units, until);
                }
            }
            Resource::Allowance(id) => self.intake.allowances.grant(id, units, until),
        }
    }

    fn waiting(&self) -> Vec<u32> {
        let mut counts = vec![0; self.state.ramp.ranks()];
        for key in self.state.queue.lanes() {
            let slot = usize::from(key.rank);
            counts.resize(counts.len().max(slot + 1), 0);
            counts[slot] += self.state.queue.lane_len(&key);
        }
        counts
    }
}

impl Adaptive {
    /// Hands out the refusals.
    fn tell(&mut self, out: &mut Vec<Decision>) {
        for (id, refusal) in std::mem::take(&mut self.state.refusals) {
            let code = self.intake.last_word(id, refusal.code);
            let after = refusal.spread(&mut self.state.rng);
            out.push(Decision::Refuse { id, code, after });
        }
    }

    fn next_poll(&self, now: Millis) -> Millis {
        let state = &self.state;
        if state.queue.len() == 0 && state.pool.flights().is_empty() {
            return Millis::NEVER;
        }
        state.queue.next_latest().min(now + TICK)
    }
}

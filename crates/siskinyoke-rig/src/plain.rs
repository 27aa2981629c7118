//! The baselines: a plain queue, and an endpoint chosen by a rule of thumb.

use std::collections::BTreeMap;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use siskinyoke_base::Code;
use siskinyoke_base::EndpointId;
use siskinyoke_base::Millis;
use siskinyoke_base::OrganisationId;
use siskinyoke_base::message::LeaseDemand;
use siskinyoke_base::message::Resource;
use siskinyoke_policy::Decision;
use siskinyoke_policy::EndpointSpec;
use siskinyoke_policy::Finish;
use siskinyoke_policy::LoadReport;
use siskinyoke_policy::PresetSpec;
use siskinyoke_policy::Scheduler;
use siskinyoke_policy::Work;
use siskinyoke_policy::WorkId;

/// How a baseline chooses an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rule {
    /// The next one in turn, within an equal share of its slots.
    RoundRobin,
    /// The one with the least load by the last reports.
    LeastLoad,
    /// The less loaded of two drawn at random, by reports and own requests.
    TwoChoices,
    /// The one with the least own requests for its slots; all of its work comes through here.
    Owner,
}

/// A plain queue before a rule of thumb; tiers count only for [`Rule::Owner`].
#[derive(Debug)]
pub struct Plain {
    rule: Rule,
    instances: u32,
    rng: ChaCha8Rng,
    endpoints: BTreeMap<EndpointId, EndpointSpec>,
    loads: BTreeMap<EndpointId, LoadReport>,
    waiting: BTreeMap<(u8, u64), Work>,
    running: BTreeMap<WorkId, EndpointId>,
    counts: BTreeMap<EndpointId, u32>,
    turn: usize,
    arrivals: u64,
}

impl Plain {
    /// Makes a baseline.
    pub fn new(rule: Rule, seed: u64, instances: u32) -> Self {
        Self {
            rule,
            instances,
            rng: ChaCha8Rng::seed_from_u64(seed),
            endpoints: BTreeMap::new(),
            loads: BTreeMap::new(),
            waiting: BTreeMap::new(),
            running: BTreeMap::new(),
            counts: BTreeMap::new(),
            turn: 0,
            arrivals: 0,
        }
    }

    fn place(&mut self, work: &Work) -> Option<EndpointId> {
        let free: Vec<EndpointId> = self
            .endpoints
            .values()
            .filter(|spec| spec.targets.contains(&work.target) && self.has_room(spec))
            .map(|spec| spec.id.clone())
            .collect();
        if free.is_empty() {
            return None;
        }
        let at = match self.rule {
            Rule::RoundRobin => {
                self.turn += 1;
                self.turn % free.len()
            }
            Rule::TwoChoices => {
                let first = self.rng.random_range(0..free.len());
                let second = self.rng.random_range(0..free.len());
                if self.load(&free[second]) < self.load(&free[first]) {
                    second
                } else {
                    first
                }
            }
            Rule::LeastLoad | Rule::Owner => {
                let loads = free.iter().map(|id| self.load(id)).enumerate();
                loads.min_by(|a, b| a.1.total_cmp(&b.1))?.0
            }
        };
        Some(free[at].clone())
    }

    fn has_room(&self, spec: &EndpointSpec) -> bool {
        let share = spec.slots.div_ceil(self.instances);
        let own = self.count(&spec.id);
        match self.rule {
            Rule::RoundRobin => own < share,
            _ => own < spec.slots,
        }
    }

    /// Returns the load that the rule believes in, as a part of the slots.
    fn load(&self, id: &EndpointId) -> f64 {
        let reported = self.loads.get(id);
        let reported = reported.map_or(0, |load| load.running + load.waiting);
        let count = match self.rule {
            Rule::LeastLoad => reported,
            Rule::TwoChoices => reported + self.count(id),
            Rule::RoundRobin | Rule::Owner => self.count(id),
        };
        f64::from(count) / f64::from(self.endpoints[id].slots.max(1))
    }

    fn count(&self, id: &EndpointId) -> u32 {
        self.counts.get(id).copied().unwrap_or(0)
    }
}

impl Scheduler for Plain {
    fn set_endpoints(&mut self, _now: Millis, specs: &[EndpointSpec]) {
        let specs = specs.iter().map(|spec| (spec.id.clone(), spec.clone()));
        self.endpoints = specs.collect();
    }

    fn set_preset(&mut self, _now: Millis, _preset: &PresetSpec) {}

    fn set_organisation(&mut self, _id: &OrganisationId, _weight: u32, _allowance: Option<u32>) {}

    fn arrive(&mut self, _now: Millis, work: Work) {
        self.arrivals += 1;
        let rank = if self.rule == Rule::Owner {
            work.rank
        } else {
            0
        };
        self.waiting.insert((rank, self.arrivals), work);
    }

    fn poll(&mut self, now: Millis, out: &mut Vec<Decision>) -> Millis {
        let keys: Vec<(u8, u64)> = self.waiting.keys().copied().collect();
        let mut next = Millis::NEVER;
        let mut blocked = Vec::new();
        for key in keys {
            let work = self.waiting[&key].clone();
            if now >= work.deadline {
                self.waiting.remove(&key);
                out.push(Decision::Refuse {
                    id: work.id,
                    code: Code::Late,
                    after: Millis::from_secs(1),
                });
                continue;
            }
            next = next.min(work.deadline);
            if blocked.contains(&work.target) {
                continue;
            }
            let Some(endpoint) = self.place(&work) else {
                blocked.push(work.target);
                continue;
            };
            self.waiting.remove(&key);
            self.running.insert(work.id, endpoint.clone());
            *self.counts.entry(endpoint.clone()).or_default() += 1;
            out.push(Decision::Start {
                id: work.id,
                endpoint,
            });
        }
        next
    }

    fn first_piece(&mut self, _now: Millis, _id: WorkId) {}

    fn finished(&mut self, _now: Millis, id: WorkId, _finish: Finish) {
        if let Some(endpoint) = self.running.remove(&id) {
            *self.counts.entry(endpoint).or_default() -= 1;
        }
    }

    fn withdraw(&mut self, _now: Millis, id: WorkId) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|_, work| work.id != id);
        self.waiting.len() < before
    }

    fn report(&mut self, _now: Millis, endpoint: &EndpointId, load: &LoadReport) {
        self.loads.insert(endpoint.clone(), load.clone());
    }

    fn set_threshold(&mut self, _now: Millis, _rank: Option<u8>) {}

    fn serving(&self, _rank: u8) -> u32 {
        0
    }

    fn pressure(&self, _now: Millis) -> Option<u8> {
        None
    }

    fn allow_shedding(&mut self, _now: Millis, _rank: u8, _until: Millis) {}

    fn demand(&self, _now: Millis) -> Vec<LeaseDemand> {
        Vec::new()
    }

    fn grant(&mut self, _now: Millis, _resource: &Resource, _units: u32, _until: Millis) {}

    fn waiting(&self) -> Vec<u32> {
        vec![u32::try_from(self.waiting.len()).unwrap_or(u32::MAX)]
    }
}

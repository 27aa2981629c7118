//! The plainest policy: strict tiers, first come first served, least work on an endpoint.

use std::collections::BTreeMap;

use crate::Decision;
use crate::EndpointSpec;
use crate::Finish;
use crate::LoadReport;
use crate::PresetSpec;
use crate::Scheduler;
use crate::Work;
use crate::WorkId;
use siskinyoke_base::Code;
use siskinyoke_base::EndpointId;
use siskinyoke_base::Millis;
use siskinyoke_base::OrganisationId;
use siskinyoke_base::message::LeaseDemand;
use siskinyoke_base::message::Resource;

/// When to come back after a refusal, where nothing better is known.
const COME_BACK: Millis = Millis::from_secs(1);

/// The plainest policy; a baseline, and what the other parts are tested with.
#[derive(Debug, Default)]
pub struct Simple {
    endpoints: BTreeMap<EndpointId, EndpointSpec>,
    waiting: BTreeMap<(u8, WorkId), Work>,
    running: BTreeMap<WorkId, (EndpointId, Work)>,
    threshold: Option<u8>,
    shedding: Option<(u8, Millis)>,
}

impl Scheduler for Simple {
    fn set_endpoints(&mut self, _now: Millis, specs: &[EndpointSpec]) {
        self.endpoints = specs
            .iter()
            .map(|spec| (spec.id.clone(), spec.clone()))
            .collect();
    }

    fn set_preset(&mut self, _now: Millis, _preset: &PresetSpec) {}

    fn set_organisation(&mut self, _id: &OrganisationId, _weight: u32, _allowance: Option<u32>) {}

    fn arrive(&mut self, _now: Millis, work: Work) {
        self.waiting.insert((work.rank, work.id), work);
    }

    fn poll(&mut self, now: Millis, out: &mut Vec<Decision>) -> Millis {
        let mut next = Millis::NEVER;
        let keys: Vec<(u8, WorkId)> = self.waiting.keys().copied().collect();
        for key in keys {
            let work = &self.waiting[&key];
            let id = work.id;
            let barred = self.threshold.is_some_and(|rank| work.rank >= rank);
            let shed = work.protected && self.may_shed(now, work.rank);
            if barred || now >= work.deadline && (!work.protected || shed) {
                let code = if barred { Code::Shed } else { Code::Late };
                out.push(Decision::Refuse {
                    id,
                    code,
                    after: COME_BACK,
                });
                self.waiting.remove(&key);
                continue;
            }
            if let Some(endpoint) = self.place(work) {
                let work = self.waiting.remove(&key).expect("it was just read");
                out.push(Decision::Start {
                    id,
                    endpoint: endpoint.clone(),
                });
                self.running.insert(id, (endpoint, work));
            } else if now < work.deadline {
                next = next.min(work.deadline);
            }
        }
        next
    }

    fn first_piece(&mut self, _now: Millis, _id: WorkId) {}

    fn finished(&mut self, _now: Millis, id: WorkId, _finish: Finish) {
        self.running.remove(&id);
    }

    fn withdraw(&mut self, _now: Millis, id: WorkId) -> bool {
        let key = self.waiting.keys().find(|key| key.1 == id).copied();
        key.is_some_and(|key| self.waiting.remove(&key).is_some())
    }

    fn report(&mut self, _now: Millis, _endpoint: &EndpointId, _load: &LoadReport) {}

    fn set_threshold(&mut self, _now: Millis, rank: Option<u8>) {
        self.threshold = rank;
    }

    fn serving(&self, rank: u8) -> u32 {
        let count = self
            .running
            .values()
            .filter(|(_, work)| work.rank >= rank)
            .count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    fn pressure(&self, now: Millis) -> Option<u8> {
        let late = |work: &&Work| work.protected && now >= work.deadline;
        self.waiting
            .values()
            .filter(late)
            .map(|work| work.rank)
            .min()
    }

    fn allow_shedding(&mut self, _now: Millis, rank: u8, until: Millis) {
        self.shedding = Some((rank, until));
    }

    fn demand(&self, _now: Millis) -> Vec<LeaseDemand> {
        Vec::new()
    }

    fn grant(&mut self, _now: Millis, _resource: &Resource, _units: u32, _until: Millis) {}

    fn waiting(&self) -> Vec<u32> {
        let mut counts = Vec::new();
        for (rank, _) in self.waiting.keys() {
            let slot = usize::from(*rank);
            counts.resize(counts.len().max(slot + 1), 0);
            counts[slot] += 1;
        }
        counts
    }
}

impl Simple {
    /// Returns the endpoint with the least work that has room; one that failed the work is
    /// taken only where every other did too.
    fn place(&self, work: &Work) -> Option<EndpointId> {
        let load = |id: &EndpointId| self.running.values().filter(|(at, _)| at == id).count();
        let able = |spec: &&EndpointSpec| spec.targets.contains(&work.target);
        let fresh = |spec: &&EndpointSpec| !work.avoid.contains(&spec.id);
        let all = self.endpoints.values().filter(able);
        let any_fresh = all.clone().any(|spec| fresh(&spec));
        all.filter(|spec| !any_fresh || fresh(spec))
            .map(|spec| (load(&spec.id), spec))
            .filter(|(load, spec)| *load < spec.slots as usize)
            .min_by_key(|(load, spec)| (*load, spec.id.clone()))
            .map(|(_, spec)| spec.id.clone())
    }

    fn may_shed(&self, now: Millis, rank: u8) -> bool {
        self.shedding
            .is_some_and(|(shed, until)| rank >= shed && now < until)
    }
}

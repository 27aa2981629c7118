//! One policy over a few endpoints of fixed speed, in virtual time.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use siskinyoke_base::CallClass;
use siskinyoke_base::Code;
use siskinyoke_base::DataCentre;
use siskinyoke_base::EndpointId;
use siskinyoke_base::Millis;
use siskinyoke_base::ModelId;
use siskinyoke_base::OrganisationId;
use siskinyoke_policy::Adaptive;
use siskinyoke_policy::Decision;
use siskinyoke_policy::EndpointSpec;
use siskinyoke_policy::Finish;
use siskinyoke_policy::PresetSpec;
use siskinyoke_policy::Scheduler;
use siskinyoke_policy::TierWeights;
use siskinyoke_policy::Work;
use siskinyoke_policy::WorkId;

/// The model that every endpoint offers.
pub const MODEL: &str = "model";

/// A policy with the world around it.
#[derive(Debug)]
pub struct Bench {
    /// The policy.
    pub policy: Adaptive,
    /// The present.
    pub now: Millis,
    /// Work that was cancelled, in order.
    pub cancelled: Vec<WorkId>,
    /// When and where work was started, each time.
    pub starts: Vec<(Millis, WorkId, EndpointId)>,
    /// When, why and until when work was refused.
    pub refusals: BTreeMap<WorkId, (Millis, Code, Millis)>,
    /// When first pieces came.
    pub firsts: BTreeMap<WorkId, Millis>,
    /// When answers were whole.
    pub done: BTreeMap<WorkId, Millis>,
    /// The work sent.
    pub works: BTreeMap<WorkId, Work>,
    specs: Vec<EndpointSpec>,
    factors: BTreeMap<EndpointId, f64>,
    events: BTreeSet<(Millis, WorkId, usize, bool)>,
    running: BTreeMap<WorkId, (usize, EndpointId)>,
}

impl Bench {
    /// Makes endpoints of 1000 prompt and 100 answer tokens a second by name and slots.
    pub fn new(endpoints: &[(&str, u32)]) -> Self {
        let specs: Vec<_> = endpoints
            .iter()
            .map(|(id, slots)| spec(id, *slots))
            .collect();
        let mut policy = Adaptive::new(1, 1);
        policy.set_endpoints(Millis::ZERO, &specs);
        policy.set_preset(Millis::ZERO, &preset(1000, 0.5));
        Self {
            policy,
            now: Millis::ZERO,
            cancelled: Vec::new(),
            starts: Vec::new(),
            refusals: BTreeMap::new(),
            firsts: BTreeMap::new(),
            done: BTreeMap::new(),
            works: BTreeMap::new(),
            specs,
            factors: BTreeMap::new(),
            events: BTreeSet::new(),
            running: BTreeMap::new(),
        }
    }

    /// Makes an endpoint slower from now on; infinity freezes it.
    pub fn slow(&mut self, id: &str, factor: f64) {
        self.factors.insert(EndpointId::new(id), factor);
    }

    /// Sends work now.
    pub fn send(&mut self, work: Work) {
        self.works.insert(work.id, work.clone());
        self.policy.arrive(self.now, work);
        self.poll();
    }

    /// Goes on until a time.
    pub fn run_until(&mut self, end: Millis) {
        while self.now < end {
            while let Some(event) = self.events.first().copied()
                && event.0 <= self.now
            {
                self.events.remove(&event);
                self.happen(event);
            }
            self.poll();
            self.now += Millis(10);
        }
    }

    /// Tells whether work was answered within its need.
    pub fn useful(&self, id: u64) -> bool {
        let id = WorkId(id);
        let work = &self.works[&id];
        let times = if work.stream {
            &self.firsts
        } else {
            &self.done
        };
        self.done.contains_key(&id) && times.get(&id).is_some_and(|at| *at <= work.deadline)
    }

    /// Counts the starts of work on an endpoint from a time on.
    pub fn starts_on(&self, endpoint: &str, from: Millis) -> usize {
        let starts = self.starts.iter();
        starts
            .filter(|(at, _, id)| *at >= from && id.as_str() == endpoint)
            .count()
    }

    /// Counts how often work was started.
    pub fn runs(&self, id: u64) -> usize {
        self.starts
            .iter()
            .filter(|start| start.1 == WorkId(id))
            .count()
    }

    /// Tells whether work is on an endpoint.
    pub fn is_running(&self, id: WorkId) -> bool {
        self.running.contains_key(&id)
    }

    /// Ends work on its endpoint in some way.
    pub fn finish(&mut self, id: WorkId, finish: Finish) {
        self.running.remove(&id);
        self.policy.finished(self.now, id, finish);
    }

    /// Polls the policy and obeys.
    pub fn poll(&mut self) {
        let mut decisions = Vec::new();
        self.policy.poll(self.now, &mut decisions);
        for decision in decisions {
            self.obey(decision);
        }
    }

    fn obey(&mut self, decision: Decision) {
        match decision {
            Decision::Start { id, endpoint } => self.start(id, endpoint),
            Decision::Refuse { id, code, after } => {
                let before = self.refusals.insert(id, (self.now, code, after));
                assert_eq!(before, None, "{id:?} was refused twice");
            }
            Decision::Cancel { id } => {
                self.cancelled.push(id);
                self.running.remove(&id);
                self.policy.finished(self.now, id, Finish::Cancelled);
                self.policy.arrive(self.now, self.works[&id].clone());
            }
        }
    }

    fn start(&mut self, id: WorkId, endpoint: EndpointId) {
        let run = self.starts.len();
        let work = &self.works[&id];
        let factor = self.factors.get(&endpoint).copied().unwrap_or(1.0);
        let slots = self.specs.iter().find(|spec| spec.id == endpoint);
        let busy = self
            .running
            .values()
            .filter(|(_, at)| *at == endpoint)
            .count();
        assert!(
            busy < slots.unwrap().slots as usize,
            "{endpoint} was overfilled"
        );
        if factor.is_finite() {
            let first = f64::from(work.prompt) / 1000.0 * factor;
            let whole = first + f64::from(work.output) / 100.0 * factor;
            self.events.insert((self.now + secs(first), id, run, false));
            self.events.insert((self.now + secs(whole), id, run, true));
        }
        self.running.insert(id, (run, endpoint.clone()));
        self.starts.push((self.now, id, endpoint));
    }

    fn happen(&mut self, event: (Millis, WorkId, usize, bool)) {
        let (_, id, run, whole) = event;
        if self.running.get(&id).is_none_or(|(now, _)| *now != run) {
            return;
        }
        if !whole {
            self.firsts.insert(id, self.now);
            self.policy.first_piece(self.now, id);
            return;
        }
        let output = self.works[&id].output;
        self.done.insert(id, self.now);
        self.finish(id, Finish::Complete { output });
    }
}

/// Makes streamed repeatable work that arrives at `now`.
pub fn work(id: u64, rank: u8, now: Millis, need: Millis) -> Work {
    Work {
        id: WorkId(id),
        organisation: OrganisationId::new("north"),
        rank,
        protected: rank == 0,
        arrived: now,
        deadline: now + need,
        stream: true,
        target: ModelId::new(MODEL),
        prompt: 100,
        output: 100,
        prefix: Vec::new(),
        class: CallClass::Idempotent,
        apart: false,
        avoid: Vec::new(),
    }
}

/// Makes an endpoint as configured.
pub fn spec(id: &str, slots: u32) -> EndpointSpec {
    EndpointSpec {
        id: EndpointId::new(id),
        centre: DataCentre::new("muscat-a"),
        distance: Millis::ZERO,
        targets: vec![ModelId::new(MODEL)],
        slots,
        speed: 100,
        prefill: 1000,
    }
}

/// Makes a preset with three open tiers.
pub fn preset(queue: u32, prefill_weight: f64) -> PresetSpec {
    PresetSpec {
        name: "ordinary".to_owned(),
        tiers: vec![
            TierWeights {
                reserve: 0.0,
                open: true,
            };
            3
        ],
        prefill_weight,
        shift: 0.1,
        queue,
    }
}

/// Turns seconds into a span.
pub fn secs(secs: f64) -> Millis {
    Millis::from(Span(secs))
}

struct Span(f64);

impl From<Span> for Millis {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "spans of tests are small and not negative"
    )]
    fn from(span: Span) -> Self {
        Self((span.0 * 1000.0).ceil() as u64)
    }
}

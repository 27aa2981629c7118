//! Simulation of a fleet before endpoints that reject requests, in virtual time; times are in ms.

use std::collections::BTreeMap;

use rand::Rng;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

use crate::common::completed;
use crate::common::configuration;
use crate::common::endpoint;
use crate::common::identity;
use crate::common::instance_number;
use crate::common::location;
use crate::common::organisation;
use crate::common::request;
use siskinyoke_base::Millis;
use siskinyoke_dispatch::Core;
use siskinyoke_dispatch::Decision;
use siskinyoke_dispatch::Endpoint;
use siskinyoke_dispatch::Grant;
use siskinyoke_dispatch::Outcome;
use siskinyoke_dispatch::StoreUpdate;
use siskinyoke_dispatch::Ticket;

const STEP_MS: u64 = 5;
const REPORT_INTERVAL_MS: u64 = 10;
const SWEEP_INTERVAL_MS: u64 = 200;
const SERVICE_TIME_MS: u64 = 150;
const SLOTS: u32 = 4;

/// The part of the slots that the submitted requests keep busy.
const LOAD: f64 = 0.6;

/// The time until a rejection reaches the instance.
const REJECTION_MS: u64 = 5;

/// How long requests may still reach an endpoint after it requested a back-off, and how many may
/// reach it from one instance after that.
const SLACK_MS: u64 = 500;
const MAX_REQUESTS_IN_BACKOFF: usize = 2;

/// The time from the end of all rejections within which an endpoint is used again under load.
const RECOVERY_MS: u64 = 6_000;

struct SimulatedEndpoint {
    endpoint: Endpoint,
    rejects_until: u64,
    // The end of the back-off that it requested of each instance, when it did so, and the number of
    // requests that it got in spite of it.
    backoffs: BTreeMap<usize, (u64, u64, usize)>,
    accepted_at: u64,
}

struct Attempt {
    instance: usize,
    ticket: Ticket,
    ends: u64,
    outcome: Outcome,
    // The endpoint and the duration of the back-off that the response requests.
    backoff: Option<(Endpoint, Millis)>,
    // The lender of the slot and the ID of the request for it.
    lender: Option<(usize, u64)>,
}

/// A fleet and its endpoints.
pub struct Fleet {
    rng: ChaCha8Rng,
    now: u64,
    cores: Vec<Core>,
    endpoints: Vec<SimulatedEndpoint>,
    attempts: Vec<Attempt>,
    /// The number of completed requests.
    pub served: usize,
    /// The number of requests that could have been completed: those that were submitted, as far as
    /// there were slots at endpoints that neither rejected requests nor had requested back-offs of
    /// all instances.
    pub servable: f64,
    /// Descriptions of the violated bounds.
    pub violations: Vec<String>,
}

impl Fleet {
    /// Starts a fleet of this many instances, with one endpoint more than instances.
    pub fn new(seed: u64, size: usize) -> Self {
        let endpoints = (0..=size.max(3)).map(|index| SimulatedEndpoint {
            endpoint: endpoint(&format!("e{index}"), SLOTS),
            rejects_until: 0,
            backoffs: BTreeMap::new(),
            accepted_at: 0,
        });
        let mut fleet = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            cores: Vec::new(),
            endpoints: endpoints.collect(),
            attempts: Vec::new(),
            served: 0,
            servable: 0.0,
            violations: Vec::new(),
        };
        for index in 0..size {
            let core = fleet.start_core(index, size);
            fleet.cores.push(core);
        }
        fleet
    }

    /// Runs the simulation under load: endpoints reject requests, and restart, until `RECOVERY_MS`
    /// before the end.
    pub fn run(&mut self, end: u64) {
        while self.now < end {
            self.now += STEP_MS;
            if self.now + RECOVERY_MS < end {
                self.inject_faults();
            }
            self.servable += self.completed_per_step();
            self.finish_attempts();
            if self.now.is_multiple_of(REPORT_INTERVAL_MS) {
                self.exchange_reports();
            }
            for index in 0..self.cores.len() {
                if self.now.is_multiple_of(SWEEP_INTERVAL_MS) {
                    self.cores[index].sweep(Millis(self.now));
                }
                self.submit(index);
                self.decide(index);
            }
        }
        for simulated in &self.endpoints {
            if simulated.accepted_at + RECOVERY_MS / 2 < end {
                let id = &simulated.endpoint.id;
                let text = format!("{id} got no request since {} ms", simulated.accepted_at);
                self.violations.push(text);
            }
        }
    }

    // Returns how many of the submitted requests endpoints can complete in one step.
    fn completed_per_step(&self) -> f64 {
        let open = self.endpoints.iter().filter(|it| self.is_open(it)).count();
        let slots = f64::from(SLOTS) * (open as f64).min(LOAD * self.endpoints.len() as f64);
        slots * STEP_MS as f64 / SERVICE_TIME_MS as f64
    }

    // Returns whether an endpoint neither rejects requests nor has requested a back-off of all
    // instances.
    fn is_open(&self, simulated: &SimulatedEndpoint) -> bool {
        let backs_off = |index| {
            let backoff = simulated.backoffs.get(&index);
            backoff.is_some_and(|it| it.0 > self.now)
        };
        simulated.rejects_until <= self.now && !(0..self.cores.len()).all(backs_off)
    }

    fn start_core(&mut self, index: usize, size: usize) -> Core {
        let now = Millis(self.now);
        let mut core = Core::new(identity(&format!("i{index}"), self.rng.random()));
        core.configure(now, configuration(1, organisation(0.0, 0.0)));
        let names = (0..size).map(|it| format!("i{it}"));
        let instances = names.map(|it| StoreUpdate::Instance(it.clone(), location(&it, "a")));
        let endpoints = self.endpoints.iter();
        let endpoints = endpoints.map(|it| StoreUpdate::Endpoint(it.endpoint.clone()));
        core.apply_updates(now, 1.into(), instances.chain(endpoints).collect());
        core
    }

    fn inject_faults(&mut self) {
        let index = self.rng.random_range(0..self.endpoints.len());
        if self.rng.random_bool(0.01) {
            let until = self.now + self.rng.random_range(100..2_500);
            self.endpoints[index].rejects_until = until;
        }
        // Occasionally all endpoints reject requests.
        if self.rng.random_bool(0.000_5) {
            let until = self.now + self.rng.random_range(100..1_500);
            for simulated in &mut self.endpoints {
                simulated.rejects_until = until;
            }
        }
        if self.rng.random_bool(0.001) {
            self.restart_endpoint(index);
        }
        if self.rng.random_bool(0.000_5) {
            let instance = self.rng.random_range(0..self.cores.len());
            self.restart_instance(instance);
        }
    }

    // Starts an endpoint again under its ID; what the previous start requested no longer counts.
    fn restart_endpoint(&mut self, index: usize) {
        let simulated = &mut self.endpoints[index];
        simulated.endpoint.started_ms = self.now;
        simulated.rejects_until = 0;
        simulated.backoffs.clear();
        for core in &mut self.cores {
            core.registry()
                .put(Millis(self.now), simulated.endpoint.clone());
        }
    }

    fn restart_instance(&mut self, index: usize) {
        self.cores[index] = self.start_core(index, self.cores.len());
        self.attempts.retain(|it| it.instance != index);
        for simulated in &mut self.endpoints {
            simulated.backoffs.remove(&index);
        }
    }

    fn finish_attempts(&mut self) {
        let now = Millis(self.now);
        let (ended, running) = std::mem::take(&mut self.attempts)
            .into_iter()
            .partition(|it| it.ends <= self.now);
        self.attempts = running;
        for attempt in ended {
            let core = &mut self.cores[attempt.instance];
            if let Some((endpoint, backoff)) = &attempt.backoff {
                core.request_backoff(now, endpoint, *backoff);
            }
            self.served += usize::from(matches!(attempt.outcome, Outcome::Completed { .. }));
            let retry = attempt.outcome == Outcome::Full;
            core.attempt_ended(now, attempt.ticket, attempt.outcome, retry);
            if let Some((lender, id)) = attempt.lender {
                self.cores[lender].reclaim_slot(id);
            }
        }
    }

    fn exchange_reports(&mut self) {
        let now = Millis(self.now);
        let cores = self.cores.iter_mut();
        let reports: Vec<_> = cores.map(|it| it.next_report(now, true)).collect();
        for (index, core) in self.cores.iter_mut().enumerate() {
            for (from, report) in reports.iter().enumerate() {
                if from != index {
                    core.receive_report(now, report.clone());
                }
            }
        }
    }

    // Submits requests that keep a part of the slots busy.
    fn submit(&mut self, index: usize) {
        let slots = f64::from(SLOTS) * self.endpoints.len() as f64 / self.cores.len() as f64;
        let rate = LOAD * slots * STEP_MS as f64 / SERVICE_TIME_MS as f64;
        if !self.rng.random_bool(rate) {
            return;
        }
        let now = Millis(self.now);
        let core = &mut self.cores[index];
        let path = if self.rng.random() {
            "/safe/x"
        } else {
            "/stream/x"
        };
        let routed = core.route(now, request(path)).expect("it is allowed");
        let result = core.admit(now, &routed, self.rng.random());
        if let Err(refusal) = result {
            self.check_refusal(index, refusal.retry_after);
        }
    }

    fn decide(&mut self, index: usize) {
        let now = Millis(self.now);
        for decision in self.cores[index].decide(now) {
            match decision {
                Decision::Start(ticket, endpoint) => self.send(index, ticket, &endpoint, None),
                Decision::Refuse(_, refusal) => self.check_refusal(index, refusal.retry_after),
            }
        }
        for (ticket, query) in self.cores[index].borrow_requests(now) {
            let shards = self.cores[index].instances_by_other_shard();
            let lender = shards.choose(&mut self.rng);
            let lender = lender.and_then(|shard| shard.choose(&mut self.rng));
            let Some(lender) = lender.map(|it| instance_number(it)) else {
                continue;
            };
            let id = self.rng.random();
            let Grant::Slot(key) = self.cores[lender].lend(now, id, query) else {
                self.cores[index].slot_denied(now, ticket);
                continue;
            };
            match self.cores[index].slot_granted(now, ticket, key) {
                Some(endpoint) => self.send(index, ticket, &endpoint, Some((lender, id))),
                None => self.cores[lender].reclaim_slot(id),
            }
        }
    }

    // A refusal must not name a time at which all endpoints of a single shard still back off.
    fn check_refusal(&mut self, index: usize, retry_after: Millis) {
        if self.cores[index].registry().is_sharded() {
            return;
        }
        let ends = self.endpoints.iter().map(|it| it.backoffs.get(&index));
        let ends: Option<Vec<u64>> = ends.map(|it| Some(it?.0)).collect();
        let first_end = ends.into_iter().flatten().min().unwrap_or(0);
        if self.now + retry_after.0 + REJECTION_MS < first_end {
            let text = format!(
                "{} ms: i{index} refused for {} ms, all endpoints back off until {first_end} ms",
                self.now, retry_after.0
            );
            self.violations.push(text);
        }
    }

    fn send(
        &mut self,
        instance: usize,
        ticket: Ticket,
        endpoint: &Endpoint,
        lender: Option<(usize, u64)>,
    ) {
        let now = self.now;
        let found = self.endpoints.iter_mut();
        let simulated = found.into_iter().find(|it| it.endpoint.id == endpoint.id);
        let simulated = simulated.expect("it exists");
        if let Some((until, since, count)) = simulated.backoffs.get_mut(&instance)
            && now > *since + SLACK_MS
            && now < *until
        {
            *count += 1;
            if *count > MAX_REQUESTS_IN_BACKOFF {
                let text = format!("{now} ms: i{instance} sent {count} to {}", endpoint.id);
                self.violations.push(text);
            }
        }
        let rejects = now < simulated.rejects_until;
        let duration = Millis(self.rng.random_range(200..4_000));
        if rejects {
            let until = now + duration.0;
            let entry = simulated.backoffs.entry(instance).or_insert((0, now, 0));
            if until > entry.0 {
                *entry = (until, now, 0);
            }
        } else {
            simulated.accepted_at = now;
            simulated.backoffs.remove(&instance);
        }
        let time = if rejects {
            REJECTION_MS
        } else {
            SERVICE_TIME_MS
        };
        self.attempts.push(Attempt {
            instance,
            ticket,
            ends: now + time,
            outcome: if rejects { Outcome::Full } else { completed() },
            backoff: rejects.then(|| (simulated.endpoint.clone(), duration)),
            lender,
        });
    }
}

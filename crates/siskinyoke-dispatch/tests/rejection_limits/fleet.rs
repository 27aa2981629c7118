//! Simulation of a fleet before endpoints that fall over when they reject too many requests, in
//! virtual time; times are in ms.

use std::collections::VecDeque;

use rand::Rng;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

use crate::common::InFlightReport;
use crate::common::completed;
use crate::common::endpoint;
use crate::common::fleet_core;
use crate::common::instance_number;
use crate::common::request;
use crate::common::take_arrived;
use siskinyoke_base::Millis;
use siskinyoke_dispatch::Core;
use siskinyoke_dispatch::Decision;
use siskinyoke_dispatch::Endpoint;
use siskinyoke_dispatch::Grant;
use siskinyoke_dispatch::Outcome;
use siskinyoke_dispatch::Ticket;

const STEP_MS: u64 = 1;
const REPORT_INTERVAL_MS: u64 = 10;
const SWEEP_INTERVAL_MS: u64 = 200;
const SLOTS: u32 = 6;

/// The time from sending a request to its arrival, and from the response to its receipt.
const TRANSIT_MS: u64 = 2;

/// When the endpoints begin to state their limit, when their queues are gone, and the end.
const STATED_AT_MS: u64 = 1_000;
const SHRUNK_AT_MS: u64 = 4_000;
const END_MS: u64 = 10_000;

/// How long an endpoint is down after it has fallen over.
const DOWN_MS: u64 = 3_000;

/// What happens to a fleet.
#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    /// The number of instances.
    pub instances: usize,
    /// The rejections a second that an endpoint bears.
    pub limit: u32,
    /// The requests, as a multiple of what the endpoints run.
    pub load: f64,
    /// Whether instances restart or are cut off, reports are lost and callers leave.
    pub faults: bool,
}

struct SimulatedEndpoint {
    endpoint: Endpoint,
    // Ends of the requests that run.
    running: Vec<u64>,
    rejections: VecDeque<u64>,
    down_until: u64,
}

struct Attempt {
    instance: usize,
    ticket: Ticket,
    endpoint: usize,
    sent_at: u64,
    ends: u64,
    outcome: Outcome,
    lender: Option<(usize, u64)>,
}

/// A fleet and its endpoints.
pub struct Fleet {
    scenario: Scenario,
    rng: ChaCha8Rng,
    now: u64,
    cores: Vec<Core>,
    // Until when an instance exchanges no reports.
    cut_until: Vec<u64>,
    endpoints: Vec<SimulatedEndpoint>,
    attempts: Vec<Attempt>,
    reports: Vec<InFlightReport>,
    /// How often endpoints fell over.
    pub falls: usize,
    /// The number of requests completed while the queues were gone.
    pub served: usize,
}

impl Fleet {
    /// Runs a scenario to its end.
    pub fn run(seed: u64, scenario: Scenario) -> Self {
        let size = scenario.instances;
        let endpoints = (0..size.max(3) * 3 / 2).map(|index| SimulatedEndpoint {
            endpoint: endpoint(&format!("e{index}"), SLOTS),
            running: Vec::new(),
            rejections: VecDeque::new(),
            down_until: 0,
        });
        let mut fleet = Self {
            scenario,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            cores: Vec::new(),
            cut_until: vec![0; size],
            endpoints: endpoints.collect(),
            attempts: Vec::new(),
            reports: Vec::new(),
            falls: 0,
            served: 0,
        };
        for index in 0..size {
            let core = fleet.start_core(index);
            fleet.cores.push(core);
        }
        while fleet.now < END_MS {
            fleet.now += STEP_MS;
            fleet.step();
        }
        fleet
    }

    /// Returns how many requests the endpoints could have completed while their queues were gone.
    pub fn capacity(&self) -> usize {
        let slots = self.endpoints.len() * SLOTS as usize;
        slots * usize::try_from((END_MS - SHRUNK_AT_MS) / mean_service_time()).unwrap()
    }

    /// Returns the number of endpoints.
    pub fn endpoint_count(&self) -> usize {
        self.endpoints.len()
    }

    fn step(&mut self) {
        if self.scenario.faults && self.now > SHRUNK_AT_MS {
            self.inject_faults();
        }
        self.finish_attempts();
        self.deliver_reports();
        for index in 0..self.cores.len() {
            if self.now.is_multiple_of(SWEEP_INTERVAL_MS) {
                self.cores[index].sweep(Millis(self.now));
            }
            self.submit(index);
            self.decide(index);
            // Instances report at moments of their own.
            if (self.now + index as u64).is_multiple_of(REPORT_INTERVAL_MS) {
                self.send_report(index);
            }
        }
    }

    fn start_core(&mut self, index: usize) -> Core {
        let incarnation = self.rng.random();
        let count = self.scenario.instances;
        let endpoints = self.endpoints.iter().map(|it| &it.endpoint);
        fleet_core(Millis(self.now), index, count, incarnation, endpoints)
    }

    fn inject_faults(&mut self) {
        let index = self.rng.random_range(0..self.cores.len());
        if self.rng.random_bool(0.000_2) {
            self.cores[index] = self.start_core(index);
            self.attempts.retain(|it| it.instance != index);
        }
        if self.rng.random_bool(0.000_2) {
            self.cut_until[index] = self.now + self.rng.random_range(200..2_000);
        }
        // A caller leaves; the endpoint works on for a while.
        if self.rng.random_bool(0.005) && !self.attempts.is_empty() {
            let attempt = self.rng.random_range(0..self.attempts.len());
            let attempt = self.attempts.swap_remove(attempt);
            self.cores[attempt.instance].cancel(Millis(self.now), attempt.ticket);
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
            let endpoint = &self.endpoints[attempt.endpoint].endpoint;
            let stated = self.now >= STATED_AT_MS && attempt.outcome != Outcome::ConnectFailed;
            let limit = stated.then_some(self.scenario.limit);
            core.record_rejection_limit(now, endpoint, Millis(attempt.sent_at), limit);
            if attempt.outcome == Outcome::Full {
                core.record_rejection(now, endpoint);
            }
            let completed = matches!(attempt.outcome, Outcome::Completed { .. });
            self.served += usize::from(completed && self.now > SHRUNK_AT_MS);
            core.attempt_ended(now, attempt.ticket, attempt.outcome, !completed);
            if let Some((lender, id)) = attempt.lender {
                self.cores[lender].reclaim_slot(id);
            }
        }
    }

    fn send_report(&mut self, from: usize) {
        if self.cut_until[from] > self.now {
            return;
        }
        let full = self.rng.random_bool(0.05) || self.now < STATED_AT_MS;
        let report = self.cores[from].next_report(Millis(self.now), full);
        for to in 0..self.cores.len() {
            let lost = self.scenario.faults && self.rng.random_bool(0.02);
            if to == from || lost || self.cut_until[to] > self.now {
                continue;
            }
            self.reports.push(InFlightReport {
                arrives_at: self.now + self.rng.random_range(1..6),
                to,
                report: report.clone(),
            });
        }
    }

    fn deliver_reports(&mut self) {
        let arrived = take_arrived(&mut self.reports, self.now);
        for InFlightReport { to, report, .. } in arrived {
            self.cores[to].receive_report(Millis(self.now), report);
        }
    }

    fn submit(&mut self, index: usize) {
        let slots = f64::from(SLOTS) * self.endpoints.len() as f64 / self.cores.len() as f64;
        let rate = self.scenario.load * slots * STEP_MS as f64 / mean_service_time() as f64;
        if !self.rng.random_bool(rate.min(1.0)) {
            return;
        }
        let now = Millis(self.now);
        let core = &mut self.cores[index];
        let routed = core.route(now, request("/safe/x")).expect("it is allowed");
        // A refused caller may come back; that is not part of this simulation.
        let _ = core.admit(now, &routed, self.rng.random());
    }

    fn decide(&mut self, index: usize) {
        let now = Millis(self.now);
        for decision in self.cores[index].decide(now) {
            if let Decision::Start(ticket, endpoint) = decision {
                self.send(index, ticket, &endpoint, None);
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

    fn send(
        &mut self,
        instance: usize,
        ticket: Ticket,
        endpoint: &Endpoint,
        lender: Option<(usize, u64)>,
    ) {
        let found = self.endpoints.iter();
        let index = found
            .into_iter()
            .position(|it| it.endpoint.id == endpoint.id);
        let index = index.expect("it exists");
        let service_time = self.rng.random_range(60..240);
        let (outcome, time) = self.arrive(index, service_time);
        self.attempts.push(Attempt {
            instance,
            ticket,
            endpoint: index,
            sent_at: self.now,
            ends: self.now + time + 2 * TRANSIT_MS,
            outcome,
            lender,
        });
    }

    // Lets a request arrive at an endpoint, and returns how it ends and after what time.
    fn arrive(&mut self, index: usize, service_time: u64) -> (Outcome, u64) {
        let now = self.now + TRANSIT_MS;
        let simulated = &mut self.endpoints[index];
        if now < simulated.down_until {
            return (Outcome::ConnectFailed, 0);
        }
        simulated.running.retain(|it| *it > now);
        let queue = if self.now < SHRUNK_AT_MS { 4 } else { 0 };
        if simulated.running.len() < SLOTS as usize + queue {
            simulated.running.push(now + service_time);
            return (completed(), service_time);
        }
        if now < STATED_AT_MS {
            return (Outcome::Full, 0);
        }
        simulated.rejections.push_back(now);
        simulated.rejections.retain(|it| now - it < 1_000);
        if simulated.rejections.len() > self.scenario.limit as usize {
            simulated.rejections.clear();
            simulated.running.clear();
            simulated.down_until = now + DOWN_MS;
            self.falls += 1;
        }
        (Outcome::Full, 0)
    }
}

fn mean_service_time() -> u64 {
    150
}

//! Simulation of instances, endpoints and callers in virtual time.

use std::collections::BTreeMap;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::common::configuration;
use crate::common::endpoint;
use crate::common::identity;
use crate::common::location;
use crate::common::organisation;
use crate::common::request;
use siskinyoke_base::Millis;
use siskinyoke_dispatch::Core;
use siskinyoke_dispatch::Decision;
use siskinyoke_dispatch::Endpoint;
use siskinyoke_dispatch::Outcome;
use siskinyoke_dispatch::RefusalReason;
use siskinyoke_dispatch::Report;
use siskinyoke_dispatch::Ticket;
use siskinyoke_dispatch::core::IncomingRequest;

const INSTANCE_COUNT: usize = 3;
const ENDPOINT_COUNT: usize = 4;
const SLOTS_PER_ENDPOINT: u32 = 2;

/// Length of a history. Arrivals stop early enough for every request to end within it.
const HISTORY_LENGTH_MS: u64 = 20_000;
const STEP_MS: u64 = 10;

/// Longest deadline of a caller.
const MAX_DEADLINE_MS: u64 = 5_000;

/// Fingerprint of the request that crashes endpoints.
const POISON_FINGERPRINT: u64 = 666;

/// Number of endpoints that a request may crash before it is quarantined.
const CRASHES_TO_QUARANTINE: usize = 2;

/// Time until every instance knows of a crash: the interval between two full reports less one step,
/// plus transit.
const PROPAGATION_MS: u64 = 250;

/// What goes wrong in a history.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scenario {
    /// Killed instances, partitions, lost reports, endpoint crashes and configuration changes.
    RandomFaults,
    /// One request crashes every endpoint that runs it; no other faults.
    PoisonRequest,
    /// Requests exceed the capacity of the endpoints; no other faults.
    Overload,
}

/// How a request ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ending {
    Completed,
    NotRun(RefusalReason),
    MayHaveRun,
    // The instance was killed.
    ConnectionLost,
}

#[derive(Debug)]
struct SimulatedRequest {
    path: &'static str,
    fingerprint: u64,
    instance: usize,
    ticket: Option<Ticket>,
    deadline: u64,
    has_run: bool,
    // Number of attempts that an endpoint accepted.
    run_count: usize,
    // Number of attempts during which the endpoint crashed.
    crash_count: usize,
    // Time and kind of its end.
    end: Option<(u64, Ending)>,
}

#[derive(Debug)]
struct SimulatedEndpoint {
    endpoint: Endpoint,
    // Request number, end time and success of each running request.
    running: Vec<(usize, u64, bool)>,
    // When a crashed endpoint is back.
    down_until: Option<u64>,
}

struct InFlightReport {
    due_at: u64,
    recipient: usize,
    report: Report,
}

/// Simulation of instances, endpoints and callers in virtual time.
pub struct Simulation {
    rng: ChaCha8Rng,
    scenario: Scenario,
    now: u64,
    cores: Vec<Core>,
    seen_versions: Vec<u64>,
    endpoints: Vec<SimulatedEndpoint>,
    requests: Vec<SimulatedRequest>,
    // Request number by instance and ticket.
    tickets: BTreeMap<(usize, Ticket), usize>,
    in_flight: Vec<InFlightReport>,
    // Sender, recipient and end of each one-way partition.
    partitions: Vec<(usize, usize, u64)>,
    latest_version: u64,
    // When the poison request was sent to an endpoint, and when it crashed one.
    poison_sent: Vec<u64>,
    poison_crashes: Vec<u64>,
    violations: Vec<String>,
}

impl Simulation {
    /// Starts all instances and endpoints.
    pub fn new(seed: u64, scenario: Scenario) -> Self {
        let endpoints = (0..ENDPOINT_COUNT).map(|index| SimulatedEndpoint {
            endpoint: endpoint(&format!("e{index}"), SLOTS_PER_ENDPOINT),
            running: Vec::new(),
            down_until: None,
        });
        let mut simulation = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            scenario,
            now: 0,
            cores: Vec::new(),
            seen_versions: vec![0; INSTANCE_COUNT],
            endpoints: endpoints.collect(),
            requests: Vec::new(),
            tickets: BTreeMap::new(),
            in_flight: Vec::new(),
            partitions: Vec::new(),
            latest_version: 1,
            poison_sent: Vec::new(),
            poison_crashes: Vec::new(),
            violations: Vec::new(),
        };
        simulation.cores = (0..INSTANCE_COUNT)
            .map(|index| simulation.start_instance(index))
            .collect();
        simulation
    }

    /// Runs the history to its end.
    pub fn run(&mut self) {
        while self.now < HISTORY_LENGTH_MS {
            self.now += STEP_MS;
            if self.scenario == Scenario::RandomFaults {
                self.inject_faults();
            }
            self.generate_arrivals();
            self.run_endpoints();
            self.decide();
            self.exchange_reports();
            self.expire_requests();
            self.check_invariants();
        }
    }

    /// Returns a description of each violated guarantee.
    pub fn violations(&mut self) -> Vec<String> {
        for (number, request) in self.requests.iter().enumerate() {
            let run_once = request.path == "/unsafe/";
            if run_once && request.run_count > 1 {
                let text = format!(
                    "request {number} may run once and ran {} times",
                    request.run_count
                );
                self.violations.push(text);
            }
            match request.end {
                None => self
                    .violations
                    .push(format!("request {number} never ended")),
                Some((at, _)) if at > request.deadline + STEP_MS => {
                    self.violations.push(format!(
                        "request {number} ended at {at} ms, after its deadline"
                    ));
                }
                Some((_, Ending::NotRun(reason))) if request.run_count > 0 => {
                    let text = format!(
                        "request {number} ran {} times, reported as not run: {reason:?}",
                        request.run_count
                    );
                    self.violations.push(text);
                }
                Some(_) => {}
            }
        }
        self.check_poison();
        std::mem::take(&mut self.violations)
    }

    // Checks that no instance sends the poison request once all must know of its crashes, and that
    // no request is quarantined for a single crash.
    fn check_poison(&mut self) {
        self.poison_crashes.sort_unstable();
        let known = self
            .poison_crashes
            .get(CRASHES_TO_QUARANTINE - 1)
            .map(|at| at + PROPAGATION_MS);
        let late = self
            .poison_sent
            .iter()
            .filter(|at| known.is_some_and(|it| **at > it));
        if self.scenario == Scenario::PoisonRequest {
            let messages: Vec<String> = late
                .map(|at| format!("poison request sent at {at} ms, known since {known:?} ms"))
                .collect();
            self.violations.extend(messages);
        }
        let crashes = |fingerprint| {
            let same = self
                .requests
                .iter()
                .filter(|request| request.fingerprint == fingerprint);
            same.map(|request| request.crash_count).sum::<usize>()
        };
        for (number, request) in self.requests.iter().enumerate() {
            let quarantined = matches!(
                request.end,
                Some((_, Ending::NotRun(RefusalReason::Quarantined)))
            );
            if quarantined && crashes(request.fingerprint) < 2 {
                let text = format!("request {number} is quarantined without two crashes");
                self.violations.push(text);
            }
        }
    }

    fn start_instance(&mut self, index: usize) -> Core {
        let incarnation = self.rng.random();
        let mut core = Core::new(identity(&format!("i{index}"), incarnation));
        let now = Millis(self.now);
        core.configure(
            now,
            configuration(self.latest_version, organisation(0.0, 0.0)),
        );
        for other in 0..INSTANCE_COUNT {
            let name = format!("i{other}");
            core.add_instance(&name, location(&name, "a"));
        }
        for simulated in &self.endpoints {
            if simulated.down_until.is_none() {
                core.registry().put(now, simulated.endpoint.clone());
            }
        }
        self.seen_versions[index] = 0;
        core
    }

    fn inject_faults(&mut self) {
        if self.rng.random_bool(0.002) {
            let index = self.random_index(INSTANCE_COUNT);
            self.restart_instance(index);
        }
        if self.rng.random_bool(0.003) {
            let index = self.random_index(ENDPOINT_COUNT);
            self.crash_endpoint(index);
        }
        if self.rng.random_bool(0.003) {
            let until = self.now + self.rng.random_range(100..3_000);
            let (from, to) = (
                self.random_index(INSTANCE_COUNT),
                self.random_index(INSTANCE_COUNT),
            );
            self.partitions.push((from, to, until));
        }
        if self.rng.random_bool(0.005) {
            // The store sometimes returns an older version.
            let version = self
                .latest_version
                .saturating_sub(self.rng.random_range(0..3))
                .max(1);
            self.latest_version += u64::from(self.rng.random_bool(0.5));
            let index = self.random_index(INSTANCE_COUNT);
            let now = Millis(self.now);
            for version in [self.latest_version, version] {
                self.cores[index].configure(now, configuration(version, organisation(0.0, 0.0)));
            }
        }
    }

    fn random_index(&mut self, count: usize) -> usize {
        self.rng.random_range(0..count)
    }

    // Its connections close: callers lose their requests, and endpoints abort the attempts.
    fn restart_instance(&mut self, index: usize) {
        for request in &mut self.requests {
            if request.instance == index && request.end.is_none() {
                request.end = Some((self.now, Ending::ConnectionLost));
            }
        }
        self.tickets.retain(|key, _| key.0 != index);
        let requests = &self.requests;
        for simulated in &mut self.endpoints {
            simulated
                .running
                .retain(|run| requests[run.0].instance != index);
        }
        self.cores[index] = self.start_instance(index);
    }

    fn crash_endpoint(&mut self, index: usize) {
        if self.endpoints[index].down_until.is_some() {
            return;
        }
        let down_until = self.now + self.rng.random_range(300..2_000);
        self.endpoints[index].down_until = Some(down_until);
        for (number, _, _) in std::mem::take(&mut self.endpoints[index].running) {
            self.requests[number].crash_count += 1;
            self.finish_attempt(number, Outcome::ConnectionLost);
        }
    }

    fn generate_arrivals(&mut self) {
        if self.now + MAX_DEADLINE_MS + 1_000 > HISTORY_LENGTH_MS {
            return;
        }
        // Eight slots and a mean service time of 220 ms: 0.36 requests a step saturate them.
        let arrivals_per_step = if self.scenario == Scenario::Overload {
            0.8
        } else {
            0.25
        };
        if self.rng.random_bool(arrivals_per_step) {
            let fingerprint = self.requests.len() as u64 + 1_000;
            self.submit(fingerprint);
        }
        if self.scenario == Scenario::PoisonRequest && self.rng.random_bool(0.01) {
            self.submit(POISON_FINGERPRINT);
        }
    }

    fn submit(&mut self, fingerprint: u64) {
        let path = ["/safe/", "/unsafe/", "/stream/"][self.random_index(3)];
        let instance = self.random_index(INSTANCE_COUNT);
        let now = Millis(self.now);
        let number = self.requests.len();
        let incoming = IncomingRequest {
            timeout: Some(Millis(self.rng.random_range(500..=MAX_DEADLINE_MS))),
            ..request(path)
        };
        let core = &mut self.cores[instance];
        let pass = core
            .route(now, incoming)
            .expect("the key and the route are known");
        let admitted = core.admit(now, &pass, fingerprint);
        self.requests.push(SimulatedRequest {
            path,
            fingerprint,
            instance,
            ticket: admitted.ok(),
            deadline: pass.deadline.0,
            has_run: false,
            run_count: 0,
            crash_count: 0,
            end: admitted
                .err()
                .map(|it| (self.now, Ending::NotRun(it.reason))),
        });
        if let Some(ticket) = self.requests[number].ticket {
            self.tickets.insert((instance, ticket), number);
        }
    }

    // Finishes due requests, and restarts crashed endpoints.
    fn run_endpoints(&mut self) {
        for index in 0..ENDPOINT_COUNT {
            let simulated = &mut self.endpoints[index];
            if simulated.down_until.is_some_and(|until| until <= self.now) {
                simulated.down_until = None;
                // A different start time, by which instances tell a restarted endpoint apart.
                simulated.endpoint.started_ms += 1;
                for core in &mut self.cores {
                    core.registry()
                        .put(Millis(self.now), simulated.endpoint.clone());
                }
            }
            let now = self.now;
            let (finished, running) = simulated.running.iter().partition(|run| run.1 <= now);
            simulated.running = running;
            for (number, _, succeeds) in finished {
                if self.requests[number].fingerprint == POISON_FINGERPRINT {
                    self.endpoints[index].running.push((number, now, succeeds));
                    self.poison_crashes.push(now);
                    self.crash_endpoint(index);
                    break;
                }
                let took = Millis(200);
                let outcome = if succeeds {
                    Outcome::Completed {
                        first_latency: took,
                        total: took,
                        parts: 0,
                        longest_pause: Millis::ZERO,
                    }
                } else {
                    Outcome::Failed
                };
                self.finish_attempt(number, outcome);
            }
        }
    }

    fn decide(&mut self) {
        for instance in 0..INSTANCE_COUNT {
            let now = Millis(self.now);
            if self.now.is_multiple_of(200) {
                self.cores[instance].sweep(now);
            }
            for probed in self.cores[instance].due_probes(now) {
                let responds = self
                    .endpoints
                    .iter()
                    .any(|it| it.down_until.is_none() && it.endpoint.key() == probed.key());
                self.cores[instance].probe_ended(now, &probed, responds);
            }
            for decision in self.cores[instance].decide(now) {
                match decision {
                    Decision::Start(ticket, endpoint) => {
                        if let Some(number) = self.tickets.get(&(instance, ticket)).copied() {
                            self.dispatch(number, &endpoint);
                        }
                    }
                    Decision::Refuse(ticket, refusal) => {
                        if let Some(number) = self.tickets.remove(&(instance, ticket)) {
                            self.record_refusal(number, refusal.reason);
                        }
                    }
                }
            }
        }
    }

    fn dispatch(&mut self, number: usize, endpoint: &Endpoint) {
        let position = self
            .endpoints
            .iter()
            .position(|it| it.endpoint.id == endpoint.id);
        let index = position.expect("an endpoint of this simulation");
        let target = &mut self.endpoints[index];
        if target.down_until.is_some() {
            return self.finish_attempt(number, Outcome::ConnectFailed);
        }
        if target.endpoint.started_ms != endpoint.started_ms {
            return self.finish_attempt(number, Outcome::Misdirected);
        }
        if target.running.len() >= SLOTS_PER_ENDPOINT as usize {
            return self.finish_attempt(number, Outcome::Full);
        }
        if self.requests[number].fingerprint == POISON_FINGERPRINT {
            self.poison_sent.push(self.now);
        }
        let service_time = self.rng.random_range(40..400);
        let succeeds = self.rng.random_bool(0.95);
        target
            .running
            .push((number, self.now + service_time, succeeds));
        self.requests[number].has_run = true;
        self.requests[number].run_count += 1;
    }

    fn finish_attempt(&mut self, number: usize, outcome: Outcome) {
        let request = &mut self.requests[number];
        let (None, Some(ticket)) = (request.end, request.ticket) else {
            return;
        };
        let instance = request.instance;
        self.tickets.remove(&(instance, ticket));
        let completed = matches!(outcome, Outcome::Completed { .. });
        let retry =
            self.cores[instance].attempt_ended(Millis(self.now), ticket, outcome, !completed);
        let request = &mut self.requests[number];
        request.ticket = retry;
        match retry {
            Some(ticket) => {
                self.tickets.insert((instance, ticket), number);
            }
            None if completed => request.end = Some((self.now, Ending::Completed)),
            None if request.has_run => request.end = Some((self.now, Ending::MayHaveRun)),
            None => request.end = Some((self.now, Ending::NotRun(RefusalReason::EndpointRejected))),
        }
    }

    fn record_refusal(&mut self, number: usize, reason: RefusalReason) {
        let instance = self.requests[number].instance;
        if reason == RefusalReason::Displaced {
            self.check_displaced(number);
        }
        let request = &mut self.requests[number];
        let ending = if request.has_run {
            Ending::MayHaveRun
        } else {
            Ending::NotRun(reason)
        };
        request.end = Some((self.now, ending));
        self.tickets
            .retain(|key, value| key.0 != instance || *value != number);
    }

    // Only a more urgent request may displace a queued one. All have the same priority here, so
    // only one that can still meet its deadline may displace one that cannot.
    fn check_displaced(&mut self, number: usize) {
        let request = &self.requests[number];
        let waiting = self
            .tickets
            .iter()
            .filter(|(key, _)| key.0 == request.instance);
        if waiting.count() == 0 {
            let text = format!("request {number} was displaced from an empty queue");
            self.violations.push(text);
        }
    }

    fn exchange_reports(&mut self) {
        if self.now.is_multiple_of(50) {
            for from in 0..INSTANCE_COUNT {
                let full = self.now.is_multiple_of(200);
                let report = self.cores[from].next_report(Millis(self.now), full);
                for to in 0..INSTANCE_COUNT {
                    self.send_report(from, to, &report);
                }
            }
        }
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|it| it.due_at <= now);
        self.in_flight = later;
        for message in due {
            self.cores[message.recipient].receive_report(Millis(now), message.report);
        }
        self.partitions.retain(|partition| partition.2 > now);
    }

    fn send_report(&mut self, from: usize, recipient: usize, report: &Report) {
        let partitioned = self
            .partitions
            .iter()
            .any(|partition| (partition.0, partition.1) == (from, recipient));
        let lost = self.scenario == Scenario::RandomFaults && self.rng.random_bool(0.1);
        if from == recipient || partitioned || lost {
            return;
        }
        let due_at = self.now + self.rng.random_range(1..30);
        let report = report.clone();
        self.in_flight.push(InFlightReport {
            due_at,
            recipient,
            report,
        });
    }

    fn expire_requests(&mut self) {
        for number in 0..self.requests.len() {
            let request = &mut self.requests[number];
            if request.end.is_some() || request.deadline > self.now {
                continue;
            }
            let (instance, ticket) = (request.instance, request.ticket);
            let ending = if request.has_run {
                Ending::MayHaveRun
            } else {
                Ending::NotRun(RefusalReason::QueueTimeout)
            };
            request.end = Some((self.now, ending));
            if let Some(ticket) = ticket {
                self.tickets.remove(&(instance, ticket));
                self.cores[instance].cancel(Millis(self.now), ticket);
                for simulated in &mut self.endpoints {
                    simulated.running.retain(|run| run.0 != number);
                }
            }
        }
    }

    // Checks what must hold at every step.
    fn check_invariants(&mut self) {
        for (index, core) in self.cores.iter().enumerate() {
            let version = core.configuration_version();
            if version < self.seen_versions[index] {
                let text = format!(
                    "instance i{index} went from version {} to {version}",
                    self.seen_versions[index]
                );
                self.violations.push(text);
            }
            self.seen_versions[index] = version;
            for usage in core.scheduler().endpoint_usage() {
                if u32::from(usage.count) > SLOTS_PER_ENDPOINT {
                    let text = format!(
                        "instance i{index} runs {} requests at endpoint {}",
                        usage.count, usage.endpoint
                    );
                    self.violations.push(text);
                }
            }
        }
    }
}

//! Instances, endpoints and callers in virtual time.

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

/// How long a history lasts; callers stop one longest wait before its end.
const HISTORY_LENGTH_MS: u64 = 20_000;
const STEP_MS: u64 = 10;

/// How long callers wait.
const MAX_DEADLINE_MS: u64 = 5_000;

/// The work that crashes endpoints.
const POISON_FINGERPRINT: u64 = 666;

/// Endpoints that one content may crash, and how long until every instance knows: two whole reports'
/// spacing less a step, and their way.
const CRASHES_TO_QUARANTINE: usize = 2;
const PROPAGATION_MS: u64 = 250;

/// What goes wrong in a history.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scenario {
    /// Kills, cuts, lost reports, crashes and changes of the configuration.
    RandomFaults,
    /// One content crashes what runs it; nothing else goes wrong.
    PoisonRequest,
    /// Too much work; nothing else goes wrong.
    Overload,
}

/// How a request ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ending {
    Completed,
    NotRun(RefusalReason),
    MayHaveRun,
    // Its instance was killed.
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
    // Times it was taken in by an endpoint, and times that one crashed under it.
    run_count: usize,
    crash_count: usize,
    result: Option<(u64, Ending)>,
}

#[derive(Debug)]
struct SimulatedEndpoint {
    endpoint: Endpoint,
    // Requests it runs, by their number, with their ends and whether these are successes.
    running: Vec<(usize, u64, bool)>,
    // Crashed until then.
    down_until: Option<u64>,
}

struct InFlightReport {
    due_at: u64,
    recipient: usize,
    report: Report,
}

/// Instances, endpoints and callers in virtual time.
pub struct Simulation {
    rng: ChaCha8Rng,
    scenario: Scenario,
    now: u64,
    cores: Vec<Core>,
    seen_versions: Vec<u64>,
    endpoints: Vec<SimulatedEndpoint>,
    requests: Vec<SimulatedRequest>,
    tickets: BTreeMap<(usize, Ticket), usize>,
    in_flight: Vec<InFlightReport>,
    partitions: Vec<(usize, usize, u64)>,
    latest_version: u64,
    // When the poison was sent to an endpoint, and when it crashed one.
    poison_sent: Vec<u64>,
    poison_crashes: Vec<u64>,
    violations: Vec<String>,
}

impl Simulation {
    /// Starts all instances and endpoints.
    pub fn new(seed: u64, trouble: Scenario) -> Self {
        let machines = (0..ENDPOINT_COUNT).map(|at| SimulatedEndpoint {
            endpoint: endpoint(&format!("e{at}"), SLOTS_PER_ENDPOINT),
            running: Vec::new(),
            down_until: None,
        });
        let mut world = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            scenario: trouble,
            now: 0,
            cores: Vec::new(),
            seen_versions: vec![0; INSTANCE_COUNT],
            endpoints: machines.collect(),
            requests: Vec::new(),
            tickets: BTreeMap::new(),
            in_flight: Vec::new(),
            partitions: Vec::new(),
            latest_version: 1,
            poison_sent: Vec::new(),
            poison_crashes: Vec::new(),
            violations: Vec::new(),
        };
        world.cores = (0..INSTANCE_COUNT)
            .map(|at| world.start_instance(at))
            .collect();
        world
    }

    /// Plays the history to its end.
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

    /// Returns each broken promise, in words.
    pub fn violations(&mut self) -> Vec<String> {
        for (number, job) in self.requests.iter().enumerate() {
            let once = job.path == "/unsafe/";
            if once && job.run_count > 1 {
                let text = format!("{number} may run once and ran {} times", job.run_count);
                self.violations.push(text);
            }
            match job.result {
                None => self.violations.push(format!("{number} never ended")),
                Some((at, _)) if at > job.deadline + STEP_MS => {
                    self.violations
                        .push(format!("{number} ended at {at}, too late"));
                }
                Some((_, Ending::NotRun(reason))) if job.run_count > 0 => {
                    let text = format!("{number} ran {} times, told {reason:?}", job.run_count);
                    self.violations.push(text);
                }
                Some(_) => {}
            }
        }
        self.check_poison();
        std::mem::take(&mut self.violations)
    }

    // Nobody runs the poison once all can know of it, and who ran beside it once is no suspect.
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
            let late: Vec<String> = late
                .map(|at| format!("the poison was sent at {at}, known since {known:?}"))
                .collect();
            self.violations.extend(late);
        }
        let crashes = |print| {
            let same = self.requests.iter().filter(|job| job.fingerprint == print);
            same.map(|job| job.crash_count).sum::<usize>()
        };
        for (number, job) in self.requests.iter().enumerate() {
            let suspect = matches!(
                job.result,
                Some((_, Ending::NotRun(RefusalReason::Quarantined)))
            );
            if suspect && crashes(job.fingerprint) < 2 {
                let text = format!("{number} crashed nothing twice and is held for a suspect");
                self.violations.push(text);
            }
        }
    }

    fn start_instance(&mut self, at: usize) -> Core {
        let source = self.rng.random();
        let mut core = Core::new(identity(&format!("i{at}"), source));
        let now = Millis(self.now);
        core.configure(
            now,
            configuration(self.latest_version, organisation(0.0, 0.0)),
        );
        for other in 0..INSTANCE_COUNT {
            let name = format!("i{other}");
            core.add_instance(&name, location(&name, "a"));
        }
        for machine in &self.endpoints {
            if machine.down_until.is_none() {
                core.registry().put(now, machine.endpoint.clone());
            }
        }
        self.seen_versions[at] = 0;
        core
    }

    fn inject_faults(&mut self) {
        if self.rng.random_bool(0.002) {
            let at = self.random_index(INSTANCE_COUNT);
            self.restart_instance(at);
        }
        if self.rng.random_bool(0.003) {
            let at = self.random_index(ENDPOINT_COUNT);
            self.crash_endpoint(at);
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
            // Now and then the store shows an older one.
            let version = self
                .latest_version
                .saturating_sub(self.rng.random_range(0..3))
                .max(1);
            self.latest_version += u64::from(self.rng.random_bool(0.5));
            let at = self.random_index(INSTANCE_COUNT);
            let now = Millis(self.now);
            for version in [self.latest_version, version] {
                self.cores[at].configure(now, configuration(version, organisation(0.0, 0.0)));
            }
        }
    }

    fn random_index(&mut self, count: usize) -> usize {
        self.rng.random_range(0..count)
    }

    // Its connections close: callers see theirs break, and endpoints stop what it had sent.
    fn restart_instance(&mut self, at: usize) {
        for job in &mut self.requests {
            if job.instance == at && job.result.is_none() {
                job.result = Some((self.now, Ending::ConnectionLost));
            }
        }
        self.tickets.retain(|key, _| key.0 != at);
        let jobs = &self.requests;
        for machine in &mut self.endpoints {
            machine.running.retain(|it| jobs[it.0].instance != at);
        }
        self.cores[at] = self.start_instance(at);
    }

    fn crash_endpoint(&mut self, at: usize) {
        if self.endpoints[at].down_until.is_some() {
            return;
        }
        let back = self.now + self.rng.random_range(300..2_000);
        self.endpoints[at].down_until = Some(back);
        for (number, _, _) in std::mem::take(&mut self.endpoints[at].running) {
            self.requests[number].crash_count += 1;
            self.finish_attempt(number, Outcome::ConnectionLost);
        }
    }

    fn generate_arrivals(&mut self) {
        if self.now + MAX_DEADLINE_MS + 1_000 > HISTORY_LENGTH_MS {
            return;
        }
        // Eight places and some 220 ms of work: 0.36 in a step fill them.
        let rate = if self.scenario == Scenario::Overload {
            0.8
        } else {
            0.25
        };
        if self.rng.random_bool(rate) {
            let print = self.requests.len() as u64 + 1_000;
            self.submit(print);
        }
        if self.scenario == Scenario::PoisonRequest && self.rng.random_bool(0.01) {
            self.submit(POISON_FINGERPRINT);
        }
    }

    fn submit(&mut self, print: u64) {
        let path = ["/safe/", "/unsafe/", "/stream/"][self.random_index(3)];
        let instance = self.random_index(INSTANCE_COUNT);
        let now = Millis(self.now);
        let number = self.requests.len();
        let wanted = IncomingRequest {
            deadline: Some(Millis(self.rng.random_range(500..=MAX_DEADLINE_MS))),
            ..request(path)
        };
        let core = &mut self.cores[instance];
        let pass = core
            .route(now, wanted)
            .expect("the key and the route are known");
        let admitted = core.admit(now, &pass, print);
        self.requests.push(SimulatedRequest {
            path,
            fingerprint: print,
            instance,
            ticket: admitted.ok(),
            deadline: pass.deadline.0,
            has_run: false,
            run_count: 0,
            crash_count: 0,
            result: admitted
                .err()
                .map(|it| (self.now, Ending::NotRun(it.reason))),
        });
        if let Some(ticket) = self.requests[number].ticket {
            self.tickets.insert((instance, ticket), number);
        }
    }

    // Endpoints finish what they run, and come back after a crash.
    fn run_endpoints(&mut self) {
        for at in 0..ENDPOINT_COUNT {
            let machine = &mut self.endpoints[at];
            if machine.down_until.is_some_and(|back| back <= self.now) {
                machine.down_until = None;
                machine.endpoint.started_ms += 1;
                for core in &mut self.cores {
                    core.registry()
                        .put(Millis(self.now), machine.endpoint.clone());
                }
            }
            let now = self.now;
            let (over, running) = machine.running.iter().partition(|it| it.1 <= now);
            machine.running = running;
            for (number, _, good) in over {
                if self.requests[number].fingerprint == POISON_FINGERPRINT {
                    self.endpoints[at].running.push((number, now, good));
                    self.poison_crashes.push(now);
                    self.crash_endpoint(at);
                    break;
                }
                let took = Millis(200);
                let outcome = if good {
                    Outcome::Completed {
                        to_first_part: took,
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
            for decision in self.cores[instance].decide(now) {
                match decision {
                    Decision::Start(ticket, endpoint) => {
                        if let Some(number) = self.tickets.get(&(instance, ticket)).copied() {
                            self.dispatch(number, &endpoint);
                        }
                    }
                    Decision::Refuse(ticket, refusal) => {
                        if let Some(number) = self.tickets.remove(&(instance, ticket)) {
                            self.record_rejection(number, refusal.reason);
                        }
                    }
                }
            }
        }
    }

    fn dispatch(&mut self, number: usize, endpoint: &Endpoint) {
        let place = self
            .endpoints
            .iter()
            .position(|it| it.endpoint.id == endpoint.id);
        let at = place.expect("an endpoint of this world");
        let machine = &mut self.endpoints[at];
        if machine.down_until.is_some() {
            return self.finish_attempt(number, Outcome::ConnectFailed);
        }
        if machine.endpoint.started_ms != endpoint.started_ms {
            return self.finish_attempt(number, Outcome::Misdirected);
        }
        if machine.running.len() >= SLOTS_PER_ENDPOINT as usize {
            return self.finish_attempt(number, Outcome::Full);
        }
        if self.requests[number].fingerprint == POISON_FINGERPRINT {
            self.poison_sent.push(self.now);
        }
        let span = self.rng.random_range(40..400);
        let good = self.rng.random_bool(0.95);
        machine.running.push((number, self.now + span, good));
        self.requests[number].has_run = true;
        self.requests[number].run_count += 1;
    }

    fn finish_attempt(&mut self, number: usize, outcome: Outcome) {
        let job = &mut self.requests[number];
        let (None, Some(ticket)) = (job.result, job.ticket) else {
            return;
        };
        let instance = job.instance;
        self.tickets.remove(&(instance, ticket));
        let done = matches!(outcome, Outcome::Completed { .. });
        let again = self.cores[instance].attempt_ended(Millis(self.now), ticket, outcome, !done);
        let job = &mut self.requests[number];
        job.ticket = again;
        match again {
            Some(ticket) => {
                self.tickets.insert((instance, ticket), number);
            }
            None if done => job.result = Some((self.now, Ending::Completed)),
            None if job.has_run => job.result = Some((self.now, Ending::MayHaveRun)),
            None => job.result = Some((self.now, Ending::NotRun(RefusalReason::EndpointRejected))),
        }
    }

    fn record_rejection(&mut self, number: usize, reason: RefusalReason) {
        let instance = self.requests[number].instance;
        if reason == RefusalReason::Displaced {
            self.check_displaced(number);
        }
        let job = &mut self.requests[number];
        let end = if job.has_run {
            Ending::MayHaveRun
        } else {
            Ending::NotRun(reason)
        };
        job.result = Some((self.now, end));
        self.tickets
            .retain(|key, held| key.0 != instance || *held != number);
    }

    // Only more urgent work may take a place in the queue; all has the same tier here, so that only
    // work that can still be on time may push out what cannot.
    fn check_displaced(&mut self, number: usize) {
        let job = &self.requests[number];
        let waiting = self.tickets.iter().filter(|(key, _)| key.0 == job.instance);
        if waiting.count() == 0 {
            let text = format!("{number} was pushed out of an empty queue");
            self.violations.push(text);
        }
    }

    fn exchange_reports(&mut self) {
        if self.now.is_multiple_of(50) {
            for from in 0..INSTANCE_COUNT {
                let whole = self.now.is_multiple_of(200);
                let report = self.cores[from].next_report(Millis(self.now), whole);
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
        for letter in due {
            self.cores[letter.recipient].receive_report(Millis(now), letter.report);
        }
        self.partitions.retain(|cut| cut.2 > now);
    }

    fn send_report(&mut self, from: usize, to: usize, report: &Report) {
        let cut = self.partitions.iter().any(|it| (it.0, it.1) == (from, to));
        let lost = self.scenario == Scenario::RandomFaults && self.rng.random_bool(0.1);
        if from == to || cut || lost {
            return;
        }
        let due = self.now + self.rng.random_range(1..30);
        let report = report.clone();
        self.in_flight.push(InFlightReport {
            due_at: due,
            recipient: to,
            report,
        });
    }

    fn expire_requests(&mut self) {
        for number in 0..self.requests.len() {
            let job = &mut self.requests[number];
            if job.result.is_some() || job.deadline > self.now {
                continue;
            }
            let (instance, ticket) = (job.instance, job.ticket);
            let end = if job.has_run {
                Ending::MayHaveRun
            } else {
                Ending::NotRun(RefusalReason::QueueTimeout)
            };
            job.result = Some((self.now, end));
            if let Some(ticket) = ticket {
                self.tickets.remove(&(instance, ticket));
                self.cores[instance].cancel(Millis(self.now), ticket);
                for machine in &mut self.endpoints {
                    machine.running.retain(|it| it.0 != number);
                }
            }
        }
    }

    // What holds at every moment.
    fn check_invariants(&mut self) {
        for (at, core) in self.cores.iter().enumerate() {
            let version = core.configuration_version();
            if version < self.seen_versions[at] {
                let text = format!("i{at} went from {} to {version}", self.seen_versions[at]);
                self.violations.push(text);
            }
            self.seen_versions[at] = version;
            for busy in core.scheduler().endpoint_usage() {
                if u32::from(busy.count) > SLOTS_PER_ENDPOINT {
                    let text = format!("i{at} runs {} at {}", busy.count, busy.endpoint);
                    self.violations.push(text);
                }
            }
        }
    }
}

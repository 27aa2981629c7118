//! Simulation of a fleet that rolls out a new version of a service, in virtual time.

#![expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "counts and times of a short simulation"
)]

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
use siskinyoke_dispatch::Report;
use siskinyoke_dispatch::StoreUpdate;
use siskinyoke_dispatch::Ticket;
use siskinyoke_dispatch::rollout::Order;
use siskinyoke_dispatch::rollout::State;
use siskinyoke_dispatch::rollout::Status;

const STEP_MS: u64 = 10;

/// When the order is placed, and its duration.
pub const ORDERED_MS: u64 = 4_000;
pub const DURATION_MS: u64 = 12_000;

/// Endpoints of each version, and their slots.
const ENDPOINTS_PER_VERSION: usize = 24;
const SLOTS_PER_ENDPOINT: u32 = 6;

/// The operators' bounds: the share of requests that a bad version may get, plus a constant number,
/// and how long it may still get requests after its 50th bad response.
const MAX_EXPOSURE_RATIO: f64 = 0.1;
const EXPOSURE_SLACK: usize = 50;
const ROLLBACK_TIME_MS: u64 = 5_000;
const EVIDENT_RESPONSES: usize = 50;

/// What is wrong with the new version.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// Nothing.
    None,
    /// This share of its responses fail.
    Fails(f64),
    /// Its service times are this many times as long.
    Slow(f64),
    /// This share of its responses fail, starting this many ms after the order.
    FailsLater(f64, u64),
    /// This share of its responses fail on one route.
    FailsOnRoute(f64),
    /// This share of its responses fail if more than half of the endpoint's slots are taken.
    FailsUnderLoad(f64),
}

/// What happens around the rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scenario {
    /// Nothing.
    None,
    /// Instances are killed and restarted, the store is unreachable for some or all instances,
    /// responses to writes are lost, and endpoints of both versions fail for some seconds.
    RandomFaults,
    /// All endpoints take five times as long, starting at this percentage of the order's duration.
    GeneralSlowdown(u64),
}

struct RunningRequest {
    ends_at: u64,
    ticket: Ticket,
    endpoint: usize,
    outcome: Outcome,
}

struct Instance {
    core: Core,
    name: String,
    running: Vec<RunningRequest>,
    // The instance is down until this time.
    down_until: u64,
    // The store cannot be reached until this time.
    store_down_until: u64,
    // The number of store changes that the instance has read, and when it reads next.
    known_changes: usize,
    next_read: u64,
}

/// Observations of a rollout.
#[derive(Debug, Default)]
pub struct Observations {
    /// Each state that was written, and when.
    pub states: Vec<(u64, State)>,
    /// Descriptions of violated guarantees.
    pub violations: Vec<String>,
    /// Requests sent to the new version and to all endpoints, for the duration of the order.
    pub exposed: usize,
    pub total: usize,
    /// Bad responses of the new version.
    pub bad: usize,
    /// Requests that were running on old endpoints when these stopped.
    pub aborted: usize,
    /// Requests that were refused.
    pub refused: usize,
}

/// A fleet that rolls out a new version of a service.
pub struct Simulation {
    rng: ChaCha8Rng,
    now: u64,
    fault: Fault,
    scenario: Scenario,
    rate: f64,
    instances: Vec<Instance>,
    endpoints: Vec<Endpoint>,
    slots_in_use: Vec<u32>,
    // All requests fail at an endpoint until this time.
    failing_until: Vec<u64>,
    reports: Vec<(u64, usize, Report)>,
    changes: Vec<StoreUpdate>,
    status_revision: u64,
    // When the 50th bad response occurred.
    evident_since: Option<u64>,
    start_count: u64,
    /// What was observed.
    pub observed: Observations,
}

impl Simulation {
    /// Creates a fleet that gets `rate` requests per second.
    pub fn new(seed: u64, size: usize, rate: f64, fault: Fault, scenario: Scenario) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let endpoints: Vec<_> = (0..2 * ENDPOINTS_PER_VERSION)
            .map(simulated_endpoint)
            .collect();
        let mut simulation = Self {
            rng,
            now: 0,
            fault,
            scenario,
            rate,
            instances: Vec::new(),
            slots_in_use: vec![0; endpoints.len()],
            failing_until: vec![0; endpoints.len()],
            changes: Vec::new(),
            endpoints,
            reports: Vec::new(),
            status_revision: 0,
            evident_since: None,
            start_count: 0,
            observed: Observations::default(),
        };
        for index in 0..size {
            let name = format!("i{index}");
            simulation
                .changes
                .push(StoreUpdate::Instance(name.clone(), location(&name, "a")));
        }
        for index in 0..ENDPOINTS_PER_VERSION {
            simulation
                .changes
                .push(StoreUpdate::Endpoint(simulation.endpoints[index].clone()));
        }
        for index in 0..size {
            let instance = simulation.start_instance(index);
            simulation.instances.push(instance);
        }
        simulation
    }

    /// Runs the simulation until some seconds after the order's duration.
    pub fn run(&mut self) {
        while self.now < ORDERED_MS + DURATION_MS + 6_000 {
            self.now += STEP_MS;
            if self.now == ORDERED_MS {
                self.place_order();
            }
            if self.scenario == Scenario::RandomFaults {
                self.inject_faults();
            }
            self.deliver_reports();
            self.generate_arrivals();
            for index in 0..self.instances.len() {
                if self.instances[index].down_until <= self.now {
                    self.step_instance(index);
                }
            }
        }
        self.check_exposure();
    }

    /// Returns the outcome of the order and when it was written.
    pub fn outcome(&self) -> Option<(u64, State)> {
        let outcomes = self
            .observed
            .states
            .iter()
            .filter(|written| written.1 != State::Running);
        outcomes.copied().next()
    }

    fn start_instance(&mut self, index: usize) -> Instance {
        self.start_count += 1;
        let name = format!("i{index}");
        let mut core = Core::new(identity(&name, self.start_count));
        core.configure(Millis(self.now), configuration(1, organisation(0.0, 0.0)));
        Instance {
            core,
            name,
            running: Vec::new(),
            down_until: 0,
            store_down_until: 0,
            known_changes: 0,
            next_read: self.now + self.rng.random_range(10..100),
        }
    }

    fn place_order(&mut self) {
        let order = Order {
            service: "lm".into(),
            version: "v2".into(),
            duration: Millis(DURATION_MS),
            revision: (self.revision() + 1).into(),
        };
        self.changes.push(StoreUpdate::RolloutOrder(order));
        for index in ENDPOINTS_PER_VERSION..2 * ENDPOINTS_PER_VERSION {
            self.changes
                .push(StoreUpdate::Endpoint(self.endpoints[index].clone()));
        }
    }

    fn revision(&self) -> u64 {
        self.changes.len() as u64
    }

    fn inject_faults(&mut self) {
        if self.rng.random_bool(0.01) {
            let index = self.rng.random_range(0..self.instances.len());
            let down_until = self.now + self.rng.random_range(200..2_000);
            for request in std::mem::take(&mut self.instances[index].running) {
                self.slots_in_use[request.endpoint] -= 1;
            }
            self.instances[index] = self.start_instance(index);
            self.instances[index].down_until = down_until;
        }
        if self.rng.random_bool(0.01) {
            let index = self.rng.random_range(0..self.instances.len());
            self.instances[index].store_down_until = self.now + self.rng.random_range(500..3_000);
        }
        if self.rng.random_bool(0.001) {
            let store_down_until = self.now + self.rng.random_range(500..3_000);
            for instance in &mut self.instances {
                instance.store_down_until = store_down_until;
            }
        }
        if self.rng.random_bool(0.002) {
            let index = self.rng.random_range(0..self.endpoints.len());
            self.failing_until[index] = self.now + self.rng.random_range(500..3_000);
        }
    }

    fn deliver_reports(&mut self) {
        let (arrived, in_flight) = std::mem::take(&mut self.reports)
            .into_iter()
            .partition(|it: &(u64, usize, Report)| it.0 <= self.now);
        self.reports = in_flight;
        for (_, to, report) in arrived {
            if self.instances[to].down_until <= self.now {
                self.instances[to]
                    .core
                    .receive_report(Millis(self.now), report);
            }
        }
    }

    fn generate_arrivals(&mut self) {
        let mean = self.rate * STEP_MS as f64 / 1_000.0;
        let count = mean as usize + usize::from(self.rng.random_bool(mean.fract()));
        for _ in 0..count {
            let index = self.rng.random_range(0..self.instances.len());
            if self.instances[index].down_until <= self.now {
                self.admit_request(index);
            }
        }
    }

    fn admit_request(&mut self, index: usize) {
        let now = Millis(self.now);
        let path = if self.rng.random_bool(0.1) {
            "/unsafe/x"
        } else {
            "/safe/x"
        };
        let fingerprint = self.rng.random();
        let core = &mut self.instances[index].core;
        if let Ok(routed) = core.route(now, request(path)) {
            self.observed.refused += usize::from(core.admit(now, &routed, fingerprint).is_err());
        }
    }

    fn step_instance(&mut self, index: usize) {
        self.read_store(index);
        self.finish_requests(index);
        let now = Millis(self.now);
        for decision in self.instances[index].core.decide(now) {
            if let Decision::Start(ticket, endpoint) = decision {
                self.start_request(index, ticket, &endpoint);
            }
        }
        if (self.now / STEP_MS + index as u64).is_multiple_of(10) {
            self.send_reports(index);
        }
        if (self.now / STEP_MS + index as u64).is_multiple_of(20) {
            self.instances[index].core.sweep(now);
            self.instances[index].core.advance_rollouts(now);
            self.write_statuses(index);
        }
    }

    fn read_store(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        if instance.store_down_until > self.now {
            instance.core.store_call_failed(Millis(self.now));
            return;
        }
        instance.core.store_call_succeeded();
        if instance.next_read > self.now || instance.known_changes == self.changes.len() {
            return;
        }
        let updates = self.changes[instance.known_changes..].to_vec();
        instance.known_changes = self.changes.len();
        instance.next_read = self.now + self.rng.random_range(10..600);
        instance.core.apply_updates(
            Millis(self.now),
            (self.changes.len() as u64).into(),
            updates,
        );
        instance.core.advance_rollouts(Millis(self.now));
    }

    fn finish_requests(&mut self, index: usize) {
        let running = std::mem::take(&mut self.instances[index].running);
        let (done, rest): (Vec<_>, Vec<_>) =
            running.into_iter().partition(|it| it.ends_at <= self.now);
        self.instances[index].running = rest;
        for request in done {
            self.slots_in_use[request.endpoint] -= 1;
            let outcome = request.outcome;
            self.instances[index].core.attempt_ended(
                Millis(self.now),
                request.ticket,
                outcome,
                false,
            );
        }
    }

    fn start_request(&mut self, index: usize, ticket: Ticket, endpoint: &Endpoint) {
        let endpoint_index = self
            .endpoints
            .iter()
            .position(|it| it.id == endpoint.id)
            .unwrap();
        let new = endpoint_index >= ENDPOINTS_PER_VERSION;
        self.slots_in_use[endpoint_index] += 1;
        let route = self.instances[index]
            .core
            .scheduler()
            .running(ticket)
            .unwrap()
            .route
            .clone();
        let under_load = self.slots_in_use[endpoint_index] * 2 > SLOTS_PER_ENDPOINT;
        let age = self.now.saturating_sub(ORDERED_MS);
        let (failure_ratio, slow_factor) = match self.fault {
            _ if !new => (0.01, 1.0),
            Fault::None => (0.01, 1.0),
            Fault::Fails(ratio) => (ratio, 1.0),
            Fault::Slow(factor) => (0.01, factor),
            Fault::FailsLater(ratio, start) => (if age >= start { ratio } else { 0.01 }, 1.0),
            Fault::FailsOnRoute(ratio) => (if &*route.name == "safe" { 0.01 } else { ratio }, 1.0),
            Fault::FailsUnderLoad(ratio) => (if under_load { ratio } else { 0.01 }, 1.0),
        };
        let failed =
            self.rng.random_bool(failure_ratio) || self.failing_until[endpoint_index] > self.now;
        let slowdown = match self.scenario {
            Scenario::GeneralSlowdown(start) if age * 100 >= start * DURATION_MS => 5.0,
            _ => 1.0,
        };
        let service_time = (self.rng.random_range(80.0..240.0) * slow_factor * slowdown) as u64;
        let outcome = if failed {
            Outcome::Failed
        } else {
            Outcome::Completed {
                first_latency: Millis(service_time),
                total: Millis(service_time),
                parts: 0,
                longest_pause: Millis::ZERO,
            }
        };
        self.record_request(index, new, failed || slow_factor > 1.0);
        self.instances[index].running.push(RunningRequest {
            ends_at: self.now + service_time,
            ticket,
            endpoint: endpoint_index,
            outcome,
        });
    }

    // Records a request that is sent to an endpoint, and whether its response will be bad.
    fn record_request(&mut self, index: usize, new: bool, bad: bool) {
        let window = ORDERED_MS..ORDERED_MS + DURATION_MS;
        if window.contains(&self.now) {
            self.observed.total += 1;
            self.observed.exposed += usize::from(new);
        }
        if !new || self.fault == Fault::None {
            return;
        }
        let store_recovered = self.instances[index].store_down_until + 4_000 < self.now;
        if let Some(evident_since) = self.evident_since
            && store_recovered
            && self.now > evident_since + ROLLBACK_TIME_MS
        {
            self.observed.violations.push(format!(
                "{}: request sent to a bad version at {} ms",
                self.instances[index].name, self.now
            ));
        }
        self.observed.bad += usize::from(bad);
        if self.observed.bad >= EVIDENT_RESPONSES {
            self.evident_since.get_or_insert(self.now);
        }
    }

    fn send_reports(&mut self, index: usize) {
        let include_info = self.rng.random_bool(0.2);
        let report = self.instances[index]
            .core
            .next_report(Millis(self.now), include_info);
        for to in 0..self.instances.len() {
            if to != index && !self.rng.random_bool(0.02) {
                let arrives_at = self.now + self.rng.random_range(1..20);
                self.reports.push((arrives_at, to, report.clone()));
            }
        }
    }

    fn write_statuses(&mut self, index: usize) {
        let instance = &self.instances[index];
        if instance.store_down_until > self.now {
            return;
        }
        for write in instance.core.status_writes(Millis(self.now)) {
            // The result of a write is not awaited, as if every one were lost.
            if write.status_revision != self.status_revision.into() {
                continue;
            }
            if self
                .observed
                .states
                .iter()
                .any(|written| written.1 != State::Running)
            {
                self.observed
                    .violations
                    .push(format!("a second outcome: {:?}", write.state));
            }
            self.observed.states.push((self.now, write.state));
            if write.state == State::Completed {
                self.observed.aborted = self
                    .instances
                    .iter()
                    .flat_map(|it| &it.running)
                    .filter(|it| it.endpoint < ENDPOINTS_PER_VERSION)
                    .count();
            }
            let revision = self.revision() + 1;
            self.status_revision = revision;
            let status = Status {
                state: write.state,
                version: write.order.version,
                revision: revision.into(),
            };
            self.changes
                .push(StoreUpdate::RolloutStatus("lm".into(), status));
        }
    }

    fn check_exposure(&mut self) {
        let max_exposed =
            (self.observed.total as f64 * MAX_EXPOSURE_RATIO) as usize + EXPOSURE_SLACK;
        if self.fault != Fault::None && self.observed.exposed > max_exposed {
            let text = format!(
                "{} of {} requests exposed",
                self.observed.exposed, self.observed.total
            );
            self.observed.violations.push(text);
        }
    }
}

fn simulated_endpoint(index: usize) -> Endpoint {
    let version = if index < ENDPOINTS_PER_VERSION {
        "v1"
    } else {
        "v2"
    };
    Endpoint {
        version: version.into(),
        ..endpoint(&format!("e{index}"), SLOTS_PER_ENDPOINT)
    }
}

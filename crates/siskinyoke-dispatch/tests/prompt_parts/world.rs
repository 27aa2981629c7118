//! Simulation of instances, endpoints and callers in virtual time; times are in ms.

mod faults;

use std::collections::BTreeMap;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::common::InFlightReport;
use crate::common::endpoint;
use crate::common::fleet_core;
use crate::common::request;
use crate::common::take_arrived;
use crate::record::Event;
use crate::record::RECOVERY_TIME_MS;
use crate::record::Record;
use crate::record::SoundRequest;
use crate::scenario::Scenario;
use siskinyoke_base::Millis;
use siskinyoke_dispatch::Core;
use siskinyoke_dispatch::Decision;
use siskinyoke_dispatch::Endpoint;
use siskinyoke_dispatch::Outcome;
use siskinyoke_dispatch::PromptParts;
use siskinyoke_dispatch::RefusalReason;
use siskinyoke_dispatch::Ticket;

const STEP_MS: u64 = 10;
const DECISION_INTERVAL_MS: u64 = 50;
const SWEEP_INTERVAL_MS: u64 = 200;
const FULL_REPORT_INTERVAL_MS: u64 = 500;
const SLOTS: u32 = 7;
const SERVICE: &str = "lm";
const ROUTES: [&str; 3] = ["/safe/", "/unsafe/", "/stream/"];
const STREAM_ROUTE: usize = 2;

/// Sound requests a second and instance; they use about six in ten slots.
const SOUND_RATE: f64 = 8.5;

/// The number of middle parts of each route.
const MIDDLE_PARTS: u64 = 6;

/// Time from sending a request to its arrival, and from the response to its receipt.
const TRANSIT_MS: u64 = 2;

/// Time from the arrival of a request to the head of its response.
const HEAD_MS: u64 = 20;

/// How long an endpoint is down after a crash.
const DOWN_MS: u64 = 4_000;

/// How long the fleet is observed after the last request that crashes endpoints.
const OBSERVATION_MS: u64 = 2_500;

struct SimulatedEndpoint {
    endpoint: Endpoint,
    down_until: Option<u64>,
}

struct SimulatedRequest {
    instance: usize,
    route: usize,
    last_part: Option<u64>,
    poisoned: Option<usize>,
    deadline: u64,
    // Its index in the record, if it is sound.
    recorded: usize,
}

struct Attempt {
    request: usize,
    ticket: Ticket,
    endpoint: usize,
    sent_at: u64,
    // Whether it has a slot of the endpoint.
    runs: bool,
    relayed: bool,
    // When the head and the first event arrive.
    head_at: Option<u64>,
    begins_at: Option<u64>,
    ends_at: u64,
    outcome: Outcome,
    crashes: bool,
}

/// Instances, endpoints and callers.
pub struct Fleet {
    scenario: Scenario,
    rng: ChaCha8Rng,
    now: u64,
    cores: Vec<Core>,
    next_reports: Vec<u64>,
    // Instances to which something has happened since they last decided.
    changed: Vec<bool>,
    // Until when instances are down, exchange no reports, or have no links to endpoints.
    down_until: Vec<u64>,
    cut_until: Vec<u64>,
    unlinked_until: Vec<u64>,
    endpoints: Vec<SimulatedEndpoint>,
    requests: Vec<SimulatedRequest>,
    tickets: BTreeMap<(usize, Ticket), usize>,
    attempts: Vec<Attempt>,
    reports: Vec<InFlightReport>,
    record: Record,
}

impl Fleet {
    /// Plays a scenario to its end.
    pub fn run(seed: u64, scenario: &Scenario) -> Self {
        let size = scenario.instances;
        let endpoints = (0..(size * 3).div_ceil(2)).map(|index| SimulatedEndpoint {
            endpoint: endpoint(&format!("e{index}"), SLOTS),
            down_until: None,
        });
        let mut fleet = Self {
            scenario: scenario.clone(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            cores: Vec::new(),
            next_reports: (0..size as u64).map(|it| it * 7).collect(),
            changed: vec![true; size],
            down_until: vec![0; size],
            cut_until: vec![0; size],
            unlinked_until: vec![0; size],
            endpoints: endpoints.collect(),
            requests: Vec::new(),
            tickets: BTreeMap::new(),
            attempts: Vec::new(),
            reports: Vec::new(),
            record: Record::new(scenario.poisoned.len()),
        };
        for index in 0..size {
            let core = fleet.start_core(index);
            fleet.cores.push(core);
        }
        while !fleet.is_over() {
            fleet.now += STEP_MS;
            fleet.step();
        }
        fleet
    }

    /// Returns a description of each violated rule.
    pub fn violations(&self) -> Vec<String> {
        self.record.violations(&self.scenario, self.now)
    }

    // A fleet in which sound parts are quarantined is observed until that has to be over.
    fn is_over(&self) -> bool {
        let last = self.record.last_refused.unwrap_or(0);
        let rest = self.now.saturating_sub(self.scenario.until.max(last));
        rest >= OBSERVATION_MS || self.now >= self.scenario.until + RECOVERY_TIME_MS
    }

    fn step(&mut self) {
        if self.now < self.scenario.until {
            self.inject_faults();
        }
        self.restart_endpoints();
        self.advance_attempts();
        self.deliver_reports();
        self.submit_sound();
        self.submit_poisoned();
        for index in 0..self.cores.len() {
            if self.down_until[index] > self.now {
                continue;
            }
            if self.now.is_multiple_of(SWEEP_INTERVAL_MS) {
                self.cores[index].sweep(Millis(self.now));
            }
            if self.changed[index] || self.now.is_multiple_of(DECISION_INTERVAL_MS) {
                self.changed[index] = false;
                self.probe_links(index);
                self.decide(index);
            }
            self.send_report(index);
        }
    }

    fn start_core(&mut self, index: usize) -> Core {
        let incarnation = self.rng.random();
        let count = self.scenario.instances;
        let endpoints = self.endpoints.iter().map(|it| &it.endpoint);
        fleet_core(Millis(self.now), index, count, incarnation, endpoints)
    }

    fn restart_endpoints(&mut self) {
        let now = Millis(self.now);
        for simulated in &mut self.endpoints {
            if simulated.down_until.take_if(|it| *it <= now.0).is_none() {
                continue;
            }
            simulated.endpoint.started_ms += 1;
            for core in &mut self.cores {
                core.registry().put(now, simulated.endpoint.clone());
            }
        }
    }

    fn submit_sound(&mut self) {
        let rate = SOUND_RATE * self.cores.len() as f64 * STEP_MS as f64 / 1_000.0;
        let mut count = rate.floor();
        count += f64::from(u8::from(self.rng.random_bool(rate.fract())));
        while count > 0.0 {
            count -= 1.0;
            let route = [0, 0, 1, 2, 2][self.rng.random_range(0..5)];
            let mut parts = Vec::new();
            if self.rng.random_bool(0.8) {
                parts.push(first_part(route));
            } else {
                parts.push(first_part(route) + self.rng.random_range(1..4));
            }
            if self.rng.random_bool(0.3) {
                parts.push(middle_part(route, self.rng.random_range(0..MIDDLE_PARTS)));
            }
            self.submit(route, &parts, None);
        }
    }

    fn submit_poisoned(&mut self) {
        if self.now >= self.scenario.until {
            return;
        }
        for index in 0..self.scenario.poisoned.len() {
            let part = self.scenario.poisoned[index];
            let due = self.now >= part.from;
            if !due || !self.rng.random_bool(part.rate * STEP_MS as f64 / 1_000.0) {
                continue;
            }
            let middle = self.rng.random_range(0..MIDDLE_PARTS);
            let shared = [first_part(part.route), middle_part(part.route, middle)];
            let mut parts = shared[..part.position].to_vec();
            self.record.first_parts[index] = parts.first().copied().unwrap_or(0);
            parts.push(0xbad0 + index as u64);
            self.submit(part.route, &parts, Some(index));
        }
    }

    fn submit(&mut self, route: usize, parts: &[u64], poisoned: Option<usize>) {
        let now = Millis(self.now);
        let up = (0..self.cores.len()).filter(|it| self.down_until[*it] <= self.now);
        let up: Vec<_> = up.collect();
        let instance = up[self.rng.random_range(0..up.len())];
        let core = &mut self.cores[instance];
        let mut routed = core
            .route(now, request(ROUTES[route]))
            .expect("it is allowed");
        let ids: Vec<_> = parts.iter().map(|it| format!("{it:x}")).collect();
        let own = format!("{:x}", self.rng.random::<u64>());
        let ids = ids.iter().map(String::as_str).chain([own.as_str()]);
        routed.prompt_parts = PromptParts::from_ids(ids);
        let admitted = core.admit(now, &routed, self.rng.random());
        let number = self.requests.len();
        self.requests.push(SimulatedRequest {
            instance,
            route,
            last_part: parts.last().copied(),
            poisoned,
            deadline: routed.deadline.0,
            recorded: self.record.sound.len(),
        });
        if poisoned.is_none() {
            self.record.sound.push(SoundRequest {
                sent_at: self.now,
                instance,
                route,
                first_part: parts[0],
                begun: false,
            });
        }
        self.changed[instance] = true;
        match admitted {
            Ok(ticket) => {
                self.tickets.insert((instance, ticket), number);
                self.record_quarantine(number, false);
            }
            Err(refusal) if refusal.reason == RefusalReason::Quarantined => {
                self.record_quarantine(number, true);
            }
            Err(_) => {}
        }
    }

    fn record_quarantine(&mut self, number: usize, refused: bool) {
        let request = &self.requests[number];
        if let (None, Some(part)) = (request.poisoned, request.last_part) {
            self.record
                .quarantined(self.now, request.instance, part, refused);
        }
    }

    fn decide(&mut self, index: usize) {
        for decision in self.cores[index].decide(Millis(self.now)) {
            match decision {
                Decision::Start(ticket, endpoint) => self.send(index, ticket, &endpoint),
                Decision::Refuse(ticket, refusal) => {
                    let number = self.tickets.remove(&(index, ticket));
                    let number = number.expect("it was admitted");
                    if refusal.reason == RefusalReason::Quarantined {
                        self.record_quarantine(number, true);
                    }
                }
            }
        }
    }

    fn send(&mut self, instance: usize, ticket: Ticket, target: &Endpoint) {
        let request = self.tickets[&(instance, ticket)];
        let mut found = self.endpoints.iter();
        let index = found.position(|it| it.endpoint.id == target.id);
        let index = index.expect("it exists");
        let relayed = self.cores[instance].links_lost(SERVICE);
        let simulated = &self.endpoints[index];
        let unlinked = self.unlinked_until[instance] > self.now && !relayed;
        let running = self.attempts.iter().filter(|it| it.runs);
        let running = running.filter(|it| it.endpoint == index).count();
        let failure = if simulated.down_until.is_some() || unlinked {
            Some(Outcome::ConnectFailed)
        } else if simulated.endpoint.started_ms != target.started_ms {
            Some(Outcome::Misdirected)
        } else if running >= SLOTS as usize {
            Some(Outcome::Full)
        } else {
            None
        };
        let unreached = failure == Some(Outcome::ConnectFailed);
        if let Some(part) = self.requests[request].poisoned.filter(|_| !unreached) {
            let at = self.now;
            self.record.reached[part].push(Event { at, instance });
        }
        let mut attempt = Attempt {
            request,
            ticket,
            endpoint: index,
            sent_at: self.now,
            runs: failure.is_none(),
            relayed,
            head_at: None,
            begins_at: None,
            ends_at: self.now + 2 * TRANSIT_MS,
            outcome: failure.unwrap_or(Outcome::ConnectionLost),
            crashes: false,
        };
        if failure.is_none() {
            self.draw_response(&mut attempt);
        }
        self.attempts.push(attempt);
    }

    // Draws when an attempt begins and ends if nothing happens to its endpoint.
    fn draw_response(&mut self, attempt: &mut Attempt) {
        let request = &self.requests[attempt.request];
        let head_at = self.now + 2 * TRANSIT_MS + HEAD_MS;
        attempt.head_at = Some(head_at);
        if request.poisoned.is_some() {
            attempt.crashes = true;
            attempt.ends_at = head_at + self.rng.random_range(20..230);
            return;
        }
        let first = self.rng.random_range(40..180);
        let time = if request.route != STREAM_ROUTE {
            first + self.rng.random_range(20..120)
        } else if self.rng.random_bool(0.3) {
            4_000
        } else {
            first + self.rng.random_range(200..700)
        };
        let is_stream = request.route == STREAM_ROUTE;
        attempt.begins_at = is_stream.then_some(self.now + first);
        attempt.ends_at = self.now + time;
        attempt.outcome = Outcome::Completed {
            first_latency: Millis(first),
            total: Millis(time),
            parts: if is_stream { 40 } else { 0 },
            longest_pause: Millis(time / 40),
        };
        if attempt.ends_at > request.deadline {
            attempt.ends_at = request.deadline;
            attempt.outcome = Outcome::Cancelled;
        }
    }

    fn advance_attempts(&mut self) {
        let now = self.now;
        let mut begun = Vec::new();
        for attempt in &mut self.attempts {
            let instance = self.requests[attempt.request].instance;
            let core = &mut self.cores[instance];
            if attempt.head_at.take_if(|it| *it <= now).is_some() && !attempt.relayed {
                let endpoint = &self.endpoints[attempt.endpoint].endpoint;
                core.record_response(Millis(now), endpoint);
            }
            if attempt.begins_at.take_if(|it| *it <= now).is_some() {
                core.first_part_received(Millis(now), attempt.ticket);
                begun.push(attempt.request);
            }
        }
        for number in begun {
            self.record_begun(number);
        }
        while let Some(index) = self.attempts.iter().position(|it| it.ends_at <= now) {
            let attempt = self.attempts.swap_remove(index);
            if attempt.crashes {
                self.record_crash(&attempt);
            }
            let (endpoint, crashes) = (attempt.endpoint, attempt.crashes);
            self.end_attempt(attempt);
            if crashes {
                self.crash_endpoint(endpoint);
            }
        }
    }

    fn record_begun(&mut self, number: usize) {
        let request = &self.requests[number];
        if request.poisoned.is_none() {
            self.record.sound[request.recorded].begun = true;
        }
    }

    fn record_crash(&mut self, attempt: &Attempt) {
        let request = &self.requests[attempt.request];
        let part = request.poisoned.expect("it crashes endpoints");
        self.record.crashes[part].push(Event {
            at: self.now,
            instance: request.instance,
        });
    }

    // All connections of the endpoint break.
    fn crash_endpoint(&mut self, index: usize) {
        self.endpoints[index].down_until = Some(self.now + DOWN_MS);
        let (broken, others) = std::mem::take(&mut self.attempts)
            .into_iter()
            .partition(|it| it.endpoint == index && it.runs);
        self.attempts = others;
        let broken: Vec<Attempt> = broken;
        for attempt in broken {
            self.break_off(attempt);
        }
    }

    fn break_off(&mut self, mut attempt: Attempt) {
        attempt.outcome = Outcome::ConnectionLost;
        self.end_attempt(attempt);
    }

    fn end_attempt(&mut self, mut attempt: Attempt) {
        let now = Millis(self.now);
        let number = attempt.request;
        let instance = self.requests[number].instance;
        let core = &mut self.cores[instance];
        let endpoint = &self.endpoints[attempt.endpoint].endpoint;
        let outcome = attempt.outcome;
        // A connection that breaks before the head makes the instance doubt its links.
        if outcome == Outcome::ConnectFailed {
            core.record_unreachable(now, endpoint);
        } else if outcome == Outcome::ConnectionLost && attempt.head_at.is_some() {
            core.record_no_response(now, endpoint, Millis(attempt.sent_at));
            if core.links_lost(SERVICE) && !attempt.relayed {
                attempt.outcome = Outcome::LinkLost;
            }
        }
        let outcome = attempt.outcome;
        let completed = matches!(outcome, Outcome::Completed { .. });
        let retry = !completed && outcome != Outcome::Cancelled;
        let ticket = core.attempt_ended(now, attempt.ticket, outcome, retry);
        self.tickets.remove(&(instance, attempt.ticket));
        if let Some(ticket) = ticket {
            self.tickets.insert((instance, ticket), number);
        }
        if completed {
            self.record_begun(number);
        }
        self.changed[instance] = true;
    }

    fn probe_links(&mut self, index: usize) {
        let now = Millis(self.now);
        loop {
            let due = self.cores[index].due_probes(now);
            if due.is_empty() {
                return;
            }
            for endpoint in due {
                let mut found = self.endpoints.iter();
                let target = found.find(|it| it.endpoint.id == endpoint.id);
                let up = target.is_some_and(|it| it.down_until.is_none());
                let responded = up && self.unlinked_until[index] <= self.now;
                self.cores[index].probe_ended(now, &endpoint, responded);
            }
        }
    }

    fn send_report(&mut self, from: usize) {
        if self.now < self.next_reports[from] {
            return;
        }
        self.next_reports[from] = self.now + self.rng.random_range(50..=100);
        let full = self.is_full_report_due(from);
        let report = self.cores[from].next_report(Millis(self.now), full);
        for to in 0..self.cores.len() {
            let lost = self.rng.random_bool(0.02);
            let cut = self.cut_until[from].max(self.cut_until[to]) > self.now;
            if to == from || lost || cut || self.down_until[to] > self.now {
                continue;
            }
            self.reports.push(InFlightReport {
                arrives_at: self.now + self.rng.random_range(1..30),
                to,
                report: report.clone(),
            });
        }
    }

    // Returns whether an interval of full reports has begun since the last report.
    fn is_full_report_due(&mut self, from: usize) -> bool {
        let offset = from as u64 * 13;
        let interval = |at: u64| (at + offset) / FULL_REPORT_INTERVAL_MS;
        interval(self.next_reports[from]) > interval(self.now)
    }

    fn deliver_reports(&mut self) {
        let arrived = take_arrived(&mut self.reports, self.now);
        for InFlightReport { to, report, .. } in arrived {
            if self.down_until[to] <= self.now {
                self.cores[to].receive_report(Millis(self.now), report);
            }
        }
    }
}

fn first_part(route: usize) -> u64 {
    0xa0 + 0x10 * route as u64
}

fn middle_part(route: usize, number: u64) -> u64 {
    0xc00 + 0x10 * route as u64 + number
}

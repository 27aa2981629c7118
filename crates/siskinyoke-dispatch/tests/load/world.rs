//! Simulation of callers, two instances and several engines in virtual time.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rand_distr::Distribution;
use rand_distr::LogNormal;

use crate::common::add_fleet;
use crate::common::identity;
use crate::common::organisation;
use crate::common::route;
use crate::common::scheduled_request;
use crate::engine::Engine;
use crate::engine::Run;
use siskinyoke_base::Millis;
use siskinyoke_dispatch::Configuration;
use siskinyoke_dispatch::Core;
use siskinyoke_dispatch::Decision;
use siskinyoke_dispatch::Endpoint;
use siskinyoke_dispatch::Outcome;
use siskinyoke_dispatch::Route;
use siskinyoke_dispatch::RouteKind;
use siskinyoke_dispatch::Ticket;
use siskinyoke_dispatch::core::IncomingRequest;

const INSTANCE_COUNT: usize = 2;
const SLOTS_PER_ENDPOINT: u32 = 12;
const STEP_MS: u64 = 5;

/// The interval at which instances exchange reports.
const REPORT_INTERVAL_MS: u64 = 20;

/// How long callers wait for a response.
const TIMEOUT_MS: u64 = 15_000;

/// A class of requests.
#[derive(Debug, Clone, Copy)]
pub struct RequestClass {
    /// The priority; each class has a route of its own.
    pub priority: u8,
    /// Requests per second.
    pub rate: f64,
    /// The median and the sigma of the log-normal distributions of prompt and output tokens.
    pub prompt: (f64, f64),
    pub output: (f64, f64),
}

/// The outcome of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobOutcome {
    Open,
    InTime,
    LateFirstPart,
    LongPause,
    TimedOut,
    Refused,
}

/// One request of a caller.
#[derive(Debug, Clone)]
pub struct Job {
    pub class: usize,
    pub prompt: f64,
    pub output: u32,
    pub arrived: u64,
    /// How long it waited before it was refused, in ms.
    pub queued: u64,
    pub outcome: JobOutcome,
    /// The number of attempts abandoned because the endpoint stalled.
    pub abandoned: usize,
    estimate: u64,
    // How often its caller was refused.
    refusals: usize,
    instance: usize,
    ticket: Option<Ticket>,
    first_part_seen: bool,
}

impl Job {
    // Returns its prompt tokens and output tokens, weighted by their processing times.
    fn size(&self) -> f64 {
        self.prompt + 50.0 * f64::from(self.output)
    }

    // Returns when its caller stops waiting.
    fn deadline(&self) -> u64 {
        self.arrived + TIMEOUT_MS
    }
}

/// A simulation of callers, instances and engines.
pub struct World {
    pub jobs: Vec<Job>,
    pub engines: Vec<Engine>,
    /// The longest wait for a first part in an abandoned attempt, in ms.
    pub longest_stall: u64,
    classes: Vec<RequestClass>,
    cores: Vec<Core>,
    rng: ChaCha8Rng,
    now: u64,
    tickets: BTreeMap<(usize, Ticket), usize>,
    // How often a refused caller tries again, and the jobs that do so with the times at which they do.
    caller_retries: usize,
    retries: BTreeSet<(u64, usize)>,
}

impl World {
    /// Starts the instances, and an engine for each of these slowdowns.
    pub fn new(seed: u64, classes: &[RequestClass], slowdowns: &[f64]) -> Self {
        let start_core = |index| {
            let name = format!("i{index}");
            let mut core = Core::new(identity(&name, index as u64 + 1));
            core.configure(Millis(0), configuration(classes));
            add_fleet(
                &mut core,
                slowdowns.len(),
                SLOTS_PER_ENDPOINT,
                INSTANCE_COUNT,
            );
            core
        };
        Self {
            jobs: Vec::new(),
            engines: slowdowns
                .iter()
                .map(|slowdown| Engine::new(*slowdown))
                .collect(),
            longest_stall: 0,
            classes: classes.to_vec(),
            cores: (0..INSTANCE_COUNT).map(start_core).collect(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 1_000,
            tickets: BTreeMap::new(),
            caller_retries: 0,
            retries: BTreeSet::new(),
        }
    }

    /// Sets how often a refused caller tries again.
    pub fn with_caller_retries(self, caller_retries: usize) -> Self {
        Self {
            caller_retries,
            ..self
        }
    }

    /// Simulates `duration_ms` with `load_factor` times the usual request rate.
    pub fn simulate(&mut self, duration_ms: u64, load_factor: f64) {
        let end = self.now + duration_ms;
        while self.now < end {
            self.now += STEP_MS;
            self.generate_arrivals(load_factor);
            self.retry_refused();
            self.advance_engines();
            self.end_timed_out();
            if self.now.is_multiple_of(REPORT_INTERVAL_MS) {
                self.exchange_reports();
            }
            self.decide();
            self.abandon_stalled();
        }
    }

    /// Returns the fraction of the decided jobs of a class that match.
    pub fn fraction(&self, class: usize, matches: impl Fn(&Job) -> bool) -> f64 {
        let all = self.jobs.iter().filter(|job| job.class == class);
        let all: Vec<&Job> = all.filter(|job| job.outcome != JobOutcome::Open).collect();
        let matching = all.iter().filter(|job| matches(job)).count();
        ratio(matching, all.len())
    }

    /// Returns the fraction of the decided jobs of a class that match, among those in a band of sizes:
    /// a range of shares of the class, from the smallest job to the largest.
    pub fn band_fraction(
        &self,
        class: usize,
        band: (f64, f64),
        matches: impl Fn(&Job) -> bool,
    ) -> f64 {
        let jobs = self.jobs.iter();
        let mut jobs: Vec<&Job> = jobs
            .filter(|job| job.class == class && job.outcome != JobOutcome::Open)
            .collect();
        jobs.sort_by(|one, other| one.size().total_cmp(&other.size()));
        let index = |share: f64| (jobs.len() as f64 * share).round() as usize;
        let jobs = &jobs[index(band.0)..index(band.1)];
        ratio(jobs.iter().filter(|job| matches(job)).count(), jobs.len())
    }

    fn generate_arrivals(&mut self, load_factor: f64) {
        for class in 0..self.classes.len() {
            let RequestClass {
                rate,
                prompt,
                output,
                ..
            } = self.classes[class];
            if !self
                .rng
                .random_bool(rate * load_factor * STEP_MS as f64 / 1_000.0)
            {
                continue;
            }
            let draw = |rng: &mut ChaCha8Rng, (median, sigma): (f64, f64)| {
                let distribution = LogNormal::new(median.ln(), sigma).expect("a valid sigma");
                distribution.sample(rng)
            };
            let prompt = draw(&mut self.rng, prompt).clamp(50.0, 55_000.0);
            let output = draw(&mut self.rng, output).clamp(5.0, 1_900.0);
            let estimate = output * draw(&mut self.rng, (1.0, 0.5));
            self.submit(class, prompt.round(), output as u32, estimate as u64);
        }
    }

    fn submit(&mut self, class: usize, prompt: f64, output: u32, estimate: u64) {
        let number = self.jobs.len();
        self.jobs.push(Job {
            class,
            prompt,
            output,
            arrived: self.now,
            queued: 0,
            outcome: JobOutcome::Open,
            abandoned: 0,
            estimate,
            refusals: 0,
            instance: number % INSTANCE_COUNT,
            ticket: None,
            first_part_seen: false,
        });
        self.send(number);
    }

    fn send(&mut self, number: usize) {
        let job = &self.jobs[number];
        let instance = job.instance;
        let path = format!("/{}/", job.class);
        let request = IncomingRequest {
            host: "host",
            path: &path,
            hold_time: Millis::ZERO,
            key: None,
            timeout: Some(Millis(job.deadline() - self.now)),
            tokens: Some((job.prompt as u64, 3_800)),
            output_estimate: Some(job.estimate),
            id_hash: 0,
        };
        let now = Millis(self.now);
        let core = &mut self.cores[instance];
        let pass = core.route(now, request).expect("a route");
        match core.admit(now, &pass, number as u64) {
            Ok(ticket) => {
                self.jobs[number].ticket = Some(ticket);
                self.tickets.insert((instance, ticket), number);
            }
            Err(refusal) => self.refused(number, refusal.retry_after),
        }
    }

    // Ends a job whose caller was refused, or lets the caller try again at the next instance.
    fn refused(&mut self, number: usize, retry_after: Millis) {
        let job = &mut self.jobs[number];
        job.ticket = None;
        job.refusals += 1;
        let retry_at = self.now + retry_after.0;
        if job.refusals > self.caller_retries || retry_at >= job.deadline() {
            job.outcome = JobOutcome::Refused;
            return;
        }
        job.instance = (job.instance + 1) % INSTANCE_COUNT;
        self.retries.insert((retry_at, number));
    }

    fn retry_refused(&mut self) {
        while let Some((at, number)) = self.retries.pop_first() {
            if at > self.now {
                self.retries.insert((at, number));
                return;
            }
            self.send(number);
        }
    }

    // Ends the running jobs whose callers have stopped waiting.
    fn end_timed_out(&mut self) {
        for engine in &mut self.engines {
            let jobs = &mut self.jobs;
            let ended = engine
                .runs
                .extract_if(.., |run| jobs[run.job].deadline() <= self.now);
            for run in ended.collect::<Vec<Run>>() {
                let job = &mut jobs[run.job];
                let Some(ticket) = job.ticket.take() else {
                    continue;
                };
                job.outcome = JobOutcome::TimedOut;
                self.tickets.remove(&(job.instance, ticket));
                self.cores[job.instance].cancel(Millis(self.now), ticket);
            }
        }
    }

    fn advance_engines(&mut self) {
        for index in 0..self.engines.len() {
            let completed = self.engines[index].advance(self.now as f64);
            for run in completed {
                self.complete(&run);
            }
            let started = self.engines[index].runs.iter();
            let started: Vec<usize> = started
                .filter(|run| run.first_part.is_some())
                .map(|run| run.job)
                .collect();
            for number in started {
                self.record_first_part(number);
            }
        }
    }

    fn record_first_part(&mut self, number: usize) {
        let job = &mut self.jobs[number];
        if let (false, Some(ticket)) = (job.first_part_seen, job.ticket) {
            job.first_part_seen = true;
            self.cores[job.instance].first_part_received(Millis(self.now), ticket);
        }
    }

    fn complete(&mut self, run: &Run) {
        self.record_first_part(run.job);
        let job = &mut self.jobs[run.job];
        let Some(ticket) = job.ticket.take() else {
            return;
        };
        let first = run.first_part.unwrap_or(run.last_part);
        let objectives = route(RouteKind::Stream, 0);
        job.outcome = if first - job.arrived as f64 > 800.0 {
            JobOutcome::LateFirstPart
        } else if run.longest_pause > objectives.gap_target.0 as f64 {
            JobOutcome::LongPause
        } else {
            JobOutcome::InTime
        };
        let outcome = Outcome::Completed {
            first_latency: Millis((first - run.sent) as u64),
            total: Millis((run.last_part - run.sent) as u64),
            parts: run.parts,
            longest_pause: Millis(run.longest_pause as u64),
        };
        self.tickets.remove(&(job.instance, ticket));
        self.cores[job.instance].attempt_ended(Millis(self.now), ticket, outcome, false);
    }

    fn exchange_reports(&mut self) {
        let now = Millis(self.now);
        for from in 0..INSTANCE_COUNT {
            let report = self.cores[from].next_report(now, true);
            for to in (0..INSTANCE_COUNT).filter(|to| *to != from) {
                self.cores[to].receive_report(now, report.clone());
            }
        }
    }

    fn decide(&mut self) {
        for instance in 0..INSTANCE_COUNT {
            for decision in self.cores[instance].decide(Millis(self.now)) {
                let (Decision::Start(ticket, _) | Decision::Refuse(ticket, _)) = &decision;
                let number = self.tickets[&(instance, *ticket)];
                match decision {
                    Decision::Start(_, endpoint) => self.start(number, &endpoint),
                    Decision::Refuse(ticket, refusal) => {
                        self.jobs[number].queued = self.now - self.jobs[number].arrived;
                        self.tickets.remove(&(instance, ticket));
                        self.refused(number, refusal.retry_after);
                    }
                }
            }
        }
    }

    fn start(&mut self, number: usize, endpoint: &Endpoint) {
        let index = endpoint.id[1..].parse::<usize>().expect("a number");
        let job = &mut self.jobs[number];
        job.first_part_seen = false;
        let run = Run::new(number, self.now as f64, job.prompt, job.output);
        self.engines[index].runs.push(run);
    }

    // Abandons attempts that have stalled for too long, as the gateway does.
    fn abandon_stalled(&mut self) {
        for index in 0..self.engines.len() {
            let runs = self.engines[index].runs.iter();
            let waiting: Vec<(usize, f64)> = runs
                .filter(|run| run.first_part.is_none())
                .map(|run| (run.job, run.sent))
                .collect();
            for (number, sent) in waiting {
                let job = &mut self.jobs[number];
                let Some(ticket) = job.ticket else { continue };
                let core = &mut self.cores[job.instance];
                let stalled_ms = self.now - sent as u64;
                let limit = core.scheduler().stall_timeout(ticket);
                if stalled_ms < limit.0 {
                    continue;
                }
                let Some((next, endpoint)) = core.try_abandon(Millis(self.now), ticket) else {
                    continue;
                };
                job.abandoned += 1;
                self.longest_stall = self.longest_stall.max(stalled_ms);
                self.engines[index].runs.retain(|run| run.job != number);
                self.tickets.remove(&(job.instance, ticket));
                self.tickets.insert((job.instance, next), number);
                job.ticket = Some(next);
                self.start(number, &endpoint);
            }
        }
    }
}

fn configuration(classes: &[RequestClass]) -> Configuration {
    let mut configuration = crate::common::configuration(1, organisation(0.0, 0.0));
    for (index, class) in classes.iter().enumerate() {
        let template = scheduled_request(RouteKind::Stream, class.priority, 0).route;
        let route = Route {
            name: format!("{index}").into(),
            prefix: format!("/{index}/").into(),
            timeout: Millis(TIMEOUT_MS),
            latency_target: Millis(800),
            auth_exempt: true,
            ..(*template).clone()
        };
        configuration.add_route("host", route);
    }
    configuration
}

fn ratio(part: usize, total: usize) -> f64 {
    part as f64 / total.max(1) as f64
}

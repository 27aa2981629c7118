//! Callers, two instances and engines in virtual time.

use std::collections::BTreeMap;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rand_distr::Distribution;
use rand_distr::LogNormal;

use crate::common::endpoint;
use crate::common::identity;
use crate::common::location;
use crate::common::organisation;
use crate::common::pending;
use crate::common::route;
use crate::engine::Engine;
use crate::engine::Run;
use siskinyoke_base::Millis;
use siskinyoke_dispatch::Configuration;
use siskinyoke_dispatch::Core;
use siskinyoke_dispatch::Decision;
use siskinyoke_dispatch::Kind;
use siskinyoke_dispatch::Outcome;
use siskinyoke_dispatch::Route;
use siskinyoke_dispatch::Ticket;
use siskinyoke_dispatch::core::IncomingRequest;

const INSTANCES: usize = 2;
const SLOTS: u32 = 12;
const STEP: u64 = 5;

/// How often instances tell each other how they stand, in ms.
const REPORTS: u64 = 20;

/// How long callers wait, in ms.
const NEED: u64 = 15_000;

/// A kind of request.
#[derive(Debug, Clone, Copy)]
pub struct Class {
    /// Its priority, which tells its route too.
    pub priority: u8,
    /// Requests a second.
    pub rate: f64,
    /// Median tokens of prompt and of output, and how far they spread.
    pub prompt: (f64, f64),
    pub output: (f64, f64),
}

/// How a request fared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    Open,
    InTime,
    LateFirst,
    LatePause,
    Refused,
}

/// A request.
#[derive(Debug, Clone)]
pub struct Job {
    pub class: usize,
    pub prompt: f64,
    pub output: u32,
    pub arrived: u64,
    /// How long it was held before it was refused.
    pub held: u64,
    pub end: End,
    /// Endpoints given up for their silence.
    pub given_up: usize,
    instance: usize,
    ticket: Option<Ticket>,
    begun: bool,
}

/// Callers, instances and engines in virtual time.
pub struct World {
    pub jobs: Vec<Job>,
    pub engines: Vec<Engine>,
    /// The most a caller waited for a first part that never came from the endpoint it was at.
    pub longest: u64,
    classes: Vec<Class>,
    cores: Vec<Core>,
    rng: ChaCha8Rng,
    now: u64,
    tickets: BTreeMap<(usize, Ticket), usize>,
}

impl World {
    /// Starts instances before engines of these paces.
    pub fn new(seed: u64, classes: &[Class], paces: &[f64]) -> Self {
        let make = |at| {
            let name = format!("i{at}");
            let mut core = Core::new(identity(&name, at as u64 + 1));
            core.configure(Millis(0), configuration(classes));
            for number in 0..paces.len() {
                let mut it = endpoint(&format!("e{number}"), SLOTS);
                it.service = "lm".into();
                core.registry().put(Millis(0), it);
            }
            for other in 0..INSTANCES {
                let name = format!("i{other}");
                core.add_instance(&name, location(&name, "a"));
            }
            core
        };
        Self {
            jobs: Vec::new(),
            engines: paces.iter().map(|pace| Engine::new(*pace)).collect(),
            longest: 0,
            classes: classes.to_vec(),
            cores: (0..INSTANCES).map(make).collect(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 1_000,
            tickets: BTreeMap::new(),
        }
    }

    /// Plays so many ms, with callers coming at so many times their usual rate.
    pub fn play(&mut self, span: u64, crowd: f64) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP;
            self.arrive(crowd);
            self.run();
            if self.now.is_multiple_of(REPORTS) {
                self.tell();
            }
            self.decide();
            self.watch();
        }
    }

    /// Returns the part of the requests of a kind for which this holds.
    pub fn part(&self, class: usize, holds: impl Fn(&Job) -> bool) -> f64 {
        let all = self.jobs.iter().filter(|job| job.class == class);
        let all: Vec<&Job> = all.filter(|job| job.end != End::Open).collect();
        let found = all.iter().filter(|job| holds(job)).count();
        ratio(found, all.len())
    }

    fn arrive(&mut self, crowd: f64) {
        for class in 0..self.classes.len() {
            let Class {
                rate,
                prompt,
                output,
                ..
            } = self.classes[class];
            if !self.rng.random_bool(rate * crowd * STEP as f64 / 1_000.0) {
                continue;
            }
            let draw = |rng: &mut ChaCha8Rng, (median, spread): (f64, f64)| {
                let law = LogNormal::new(median.ln(), spread).expect("a spread");
                law.sample(rng)
            };
            let prompt = draw(&mut self.rng, prompt).clamp(50.0, 55_000.0);
            let output = draw(&mut self.rng, output).clamp(5.0, 1_900.0);
            let guess = output * draw(&mut self.rng, (1.0, 0.5));
            self.send(class, prompt.round(), output as u32, guess as u64);
        }
    }

    fn send(&mut self, class: usize, prompt: f64, output: u32, guess: u64) {
        let number = self.jobs.len();
        let instance = number % INSTANCES;
        let path = format!("/{class}/");
        let wanted = IncomingRequest {
            host: "host",
            path: &path,
            hold_time: Millis::ZERO,
            key: None,
            deadline: Some(Millis(NEED)),
            tokens: Some((prompt as u64, 3_800)),
            output_estimate: Some(guess),
            draw: 0,
        };
        let now = Millis(self.now);
        let core = &mut self.cores[instance];
        let pass = core.route(now, wanted).expect("a route");
        let ticket = core.admit(now, &pass, number as u64).ok();
        if let Some(ticket) = ticket {
            self.tickets.insert((instance, ticket), number);
        }
        self.jobs.push(Job {
            class,
            prompt,
            output,
            arrived: self.now,
            held: 0,
            end: if ticket.is_some() {
                End::Open
            } else {
                End::Refused
            },
            given_up: 0,
            instance,
            ticket,
            begun: false,
        });
    }

    fn run(&mut self) {
        for at in 0..self.engines.len() {
            let over = self.engines[at].advance(self.now as f64);
            for run in over {
                self.finish(&run);
            }
            let begun = self.engines[at].runs.iter();
            let begun: Vec<usize> = begun
                .filter(|run| run.first.is_some())
                .map(|run| run.number)
                .collect();
            for number in begun {
                self.begin(number);
            }
        }
    }

    fn begin(&mut self, number: usize) {
        let job = &mut self.jobs[number];
        if let (false, Some(ticket)) = (job.begun, job.ticket) {
            job.begun = true;
            self.cores[job.instance].first_part_received(Millis(self.now), ticket);
        }
    }

    fn finish(&mut self, run: &Run) {
        self.begin(run.number);
        let job = &mut self.jobs[run.number];
        let Some(ticket) = job.ticket.take() else {
            return;
        };
        let first = run.first.unwrap_or(run.last);
        let aim = route(Kind::Stream, 0);
        job.end = if first - job.arrived as f64 > 800.0 {
            End::LateFirst
        } else if run.pause > aim.gap_target.0 as f64 {
            End::LatePause
        } else {
            End::InTime
        };
        let outcome = Outcome::Completed {
            to_first_part: Millis((first - run.sent) as u64),
            total: Millis((run.last - run.sent) as u64),
            parts: run.parts,
            longest_pause: Millis(run.pause as u64),
        };
        self.tickets.remove(&(job.instance, ticket));
        self.cores[job.instance].attempt_ended(Millis(self.now), ticket, outcome, false);
    }

    fn tell(&mut self) {
        let now = Millis(self.now);
        for from in 0..INSTANCES {
            let report = self.cores[from].next_report(now, true);
            for to in (0..INSTANCES).filter(|to| *to != from) {
                self.cores[to].receive_report(now, report.clone());
            }
        }
    }

    fn decide(&mut self) {
        for instance in 0..INSTANCES {
            for decision in self.cores[instance].decide(Millis(self.now)) {
                let (Decision::Start(ticket, _) | Decision::Refuse(ticket, _)) = &decision;
                let number = self.tickets[&(instance, *ticket)];
                let job = &mut self.jobs[number];
                match decision {
                    Decision::Start(_, endpoint) => {
                        let at = endpoint.id[1..].parse::<usize>().expect("a number");
                        job.begun = false;
                        let run = Run::new(number, self.now as f64, job.prompt, job.output);
                        self.engines[at].runs.push(run);
                    }
                    Decision::Refuse(ticket, _) => {
                        job.end = End::Refused;
                        job.held = self.now - job.arrived;
                        job.ticket = None;
                        self.tickets.remove(&(instance, ticket));
                    }
                }
            }
        }
    }

    // Gives up endpoints that stay silent for too long, as the runtime does.
    fn watch(&mut self) {
        for at in 0..self.engines.len() {
            let runs = self.engines[at].runs.iter();
            let silent: Vec<(usize, f64)> = runs
                .filter(|run| run.first.is_none())
                .map(|run| (run.number, run.sent))
                .collect();
            for (number, sent) in silent {
                let job = &mut self.jobs[number];
                let Some(ticket) = job.ticket else { continue };
                let core = &mut self.cores[job.instance];
                let silence = self.now - sent as u64;
                let limit = core.scheduler().stall_timeout(ticket);
                if silence < limit.0 || !core.try_abandon(Millis(self.now), ticket) {
                    continue;
                }
                job.given_up += 1;
                self.longest = self.longest.max(silence);
                self.engines[at].runs.retain(|run| run.number != number);
                let next = core.attempt_ended(Millis(self.now), ticket, Outcome::Stalled, true);
                self.tickets.remove(&(job.instance, ticket));
                job.ticket = next;
                match next {
                    Some(next) => {
                        self.tickets.insert((job.instance, next), number);
                    }
                    None => job.end = End::Refused,
                }
            }
        }
    }
}

fn configuration(classes: &[Class]) -> Configuration {
    let mut configuration = crate::common::configuration(1, organisation(0.0, 0.0));
    for (at, class) in classes.iter().enumerate() {
        let model = pending(Kind::Stream, class.priority, 0).route;
        let route = Route {
            name: format!("{at}").into(),
            prefix: format!("/{at}/").into(),
            timeout: Millis(NEED),
            latency_target: Millis(800),
            auth_exempt: true,
            ..(*model).clone()
        };
        configuration.add_route("host", route);
    }
    configuration
}

fn ratio(part: usize, whole: usize) -> f64 {
    part as f64 / whole.max(1) as f64
}

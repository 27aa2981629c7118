//! Instances, endpoints and callers in virtual time.

use std::collections::BTreeMap;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::common::configuration;
use crate::common::endpoint;
use crate::common::identity;
use crate::common::organisation;
use crate::common::place;
use crate::common::request;
use siskinyoke_base::Millis;
use siskinyoke_dispatch::Core;
use siskinyoke_dispatch::Decision;
use siskinyoke_dispatch::Endpoint;
use siskinyoke_dispatch::Outcome;
use siskinyoke_dispatch::Reason;
use siskinyoke_dispatch::Report;
use siskinyoke_dispatch::Ticket;
use siskinyoke_dispatch::core::Request;

const INSTANCES: usize = 3;
const ENDPOINTS: usize = 4;
const SLOTS: u32 = 2;

/// How long a history lasts; callers stop one longest wait before its end.
const LENGTH: u64 = 20_000;
const STEP: u64 = 10;

/// How long callers wait.
const ON_TIME_PART: u64 = 5_000;

/// The work that crashes endpoints.
const POISON: u64 = 666;

/// Endpoints that one content may crash, and how long until every instance knows: two whole reports'
/// spacing less a step, and their way.
const CRASHES: usize = 2;
const NEWS: u64 = 250;

/// What goes wrong in a history.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trouble {
    /// Kills, cuts, lost reports, crashes and changes of the configuration.
    Wild,
    /// One content crashes what runs it; nothing else goes wrong.
    Poisoned,
    /// Too much work; nothing else goes wrong.
    Crowded,
}

/// How a request ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Whole,
    NotRun(Reason),
    MayHaveRun,
    // Its instance was killed.
    Lost,
}

#[derive(Debug)]
struct Job {
    path: &'static str,
    print: u64,
    instance: usize,
    ticket: Option<Ticket>,
    until: u64,
    ran: bool,
    // Times it was taken in by an endpoint, and times that one crashed under it.
    runs: usize,
    crashes: usize,
    end: Option<(u64, End)>,
}

#[derive(Debug)]
struct Machine {
    endpoint: Endpoint,
    // Requests it runs, by their number, with their ends and whether these are successes.
    running: Vec<(usize, u64, bool)>,
    // Crashed until then.
    down: Option<u64>,
}

struct Letter {
    due: u64,
    to: usize,
    report: Report,
}

/// Instances, endpoints and callers in virtual time.
pub struct World {
    rng: ChaCha8Rng,
    trouble: Trouble,
    now: u64,
    cores: Vec<Core>,
    versions: Vec<u64>,
    machines: Vec<Machine>,
    jobs: Vec<Job>,
    tickets: BTreeMap<(usize, Ticket), usize>,
    letters: Vec<Letter>,
    cuts: Vec<(usize, usize, u64)>,
    version: u64,
    // When the poison was sent to an endpoint, and when it crashed one.
    fed: Vec<u64>,
    poisoned: Vec<u64>,
    broken: Vec<String>,
}

impl World {
    /// Starts all instances and endpoints.
    pub fn new(seed: u64, trouble: Trouble) -> Self {
        let machines = (0..ENDPOINTS).map(|at| Machine {
            endpoint: endpoint(&format!("e{at}"), SLOTS),
            running: Vec::new(),
            down: None,
        });
        let mut world = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            trouble,
            now: 0,
            cores: Vec::new(),
            versions: vec![0; INSTANCES],
            machines: machines.collect(),
            jobs: Vec::new(),
            tickets: BTreeMap::new(),
            letters: Vec::new(),
            cuts: Vec::new(),
            version: 1,
            fed: Vec::new(),
            poisoned: Vec::new(),
            broken: Vec::new(),
        };
        world.cores = (0..INSTANCES).map(|at| world.start(at)).collect();
        world
    }

    /// Plays the history to its end.
    pub fn run(&mut self) {
        while self.now < LENGTH {
            self.now += STEP;
            if self.trouble == Trouble::Wild {
                self.harm();
            }
            self.arrive();
            self.work();
            self.decide();
            self.tell();
            self.expire();
            self.look();
        }
    }

    /// Returns each broken promise, in words.
    pub fn broken(&mut self) -> Vec<String> {
        for (number, job) in self.jobs.iter().enumerate() {
            let once = job.path == "/unsafe/";
            if once && job.runs > 1 {
                let text = format!("{number} may run once and ran {} times", job.runs);
                self.broken.push(text);
            }
            match job.end {
                None => self.broken.push(format!("{number} never ended")),
                Some((at, _)) if at > job.until + STEP => {
                    self.broken
                        .push(format!("{number} ended at {at}, too late"));
                }
                Some((_, End::NotRun(reason))) if job.runs > 0 => {
                    let text = format!("{number} ran {} times, told {reason:?}", job.runs);
                    self.broken.push(text);
                }
                Some(_) => {}
            }
        }
        self.check_poison();
        std::mem::take(&mut self.broken)
    }

    // Nobody runs the poison once all can know of it, and who ran beside it once is no suspect.
    fn check_poison(&mut self) {
        self.poisoned.sort_unstable();
        let known = self.poisoned.get(CRASHES - 1).map(|at| at + NEWS);
        let late = self
            .fed
            .iter()
            .filter(|at| known.is_some_and(|it| **at > it));
        if self.trouble == Trouble::Poisoned {
            let late: Vec<String> = late
                .map(|at| format!("the poison was sent at {at}, known since {known:?}"))
                .collect();
            self.broken.extend(late);
        }
        let crashes = |print| {
            let same = self.jobs.iter().filter(|job| job.print == print);
            same.map(|job| job.crashes).sum::<usize>()
        };
        for (number, job) in self.jobs.iter().enumerate() {
            let suspect = matches!(job.end, Some((_, End::NotRun(Reason::Suspect))));
            if suspect && crashes(job.print) < 2 {
                let text = format!("{number} crashed nothing twice and is held for a suspect");
                self.broken.push(text);
            }
        }
    }

    fn start(&mut self, at: usize) -> Core {
        let source = self.rng.random();
        let mut core = Core::new(identity(&format!("i{at}"), source));
        let now = Millis(self.now);
        core.configure(now, configuration(self.version, organisation(0.0, 0.0)));
        for other in 0..INSTANCES {
            let name = format!("i{other}");
            core.list(&name, place(&name, "a"));
        }
        for machine in &self.machines {
            if machine.down.is_none() {
                core.registry().put(now, machine.endpoint.clone());
            }
        }
        self.versions[at] = 0;
        core
    }

    fn harm(&mut self) {
        if self.rng.random_bool(0.002) {
            let at = self.draw(INSTANCES);
            self.kill(at);
        }
        if self.rng.random_bool(0.003) {
            let at = self.draw(ENDPOINTS);
            self.crash(at);
        }
        if self.rng.random_bool(0.003) {
            let until = self.now + self.rng.random_range(100..3_000);
            let (from, to) = (self.draw(INSTANCES), self.draw(INSTANCES));
            self.cuts.push((from, to, until));
        }
        if self.rng.random_bool(0.005) {
            // Now and then the store shows an older one.
            let version = self
                .version
                .saturating_sub(self.rng.random_range(0..3))
                .max(1);
            self.version += u64::from(self.rng.random_bool(0.5));
            let at = self.draw(INSTANCES);
            let now = Millis(self.now);
            for version in [self.version, version] {
                self.cores[at].configure(now, configuration(version, organisation(0.0, 0.0)));
            }
        }
    }

    fn draw(&mut self, count: usize) -> usize {
        self.rng.random_range(0..count)
    }

    // Its connections close: callers see theirs break, and endpoints stop what it had sent.
    fn kill(&mut self, at: usize) {
        for job in &mut self.jobs {
            if job.instance == at && job.end.is_none() {
                job.end = Some((self.now, End::Lost));
            }
        }
        self.tickets.retain(|key, _| key.0 != at);
        let jobs = &self.jobs;
        for machine in &mut self.machines {
            machine.running.retain(|it| jobs[it.0].instance != at);
        }
        self.cores[at] = self.start(at);
    }

    fn crash(&mut self, at: usize) {
        if self.machines[at].down.is_some() {
            return;
        }
        let back = self.now + self.rng.random_range(300..2_000);
        self.machines[at].down = Some(back);
        for (number, _, _) in std::mem::take(&mut self.machines[at].running) {
            self.jobs[number].crashes += 1;
            self.ended(number, Outcome::Broken);
        }
    }

    fn arrive(&mut self) {
        if self.now + ON_TIME_PART + 1_000 > LENGTH {
            return;
        }
        // Eight places and some 220 ms of work: 0.36 in a step fill them.
        let rate = if self.trouble == Trouble::Crowded {
            0.8
        } else {
            0.25
        };
        if self.rng.random_bool(rate) {
            let print = self.jobs.len() as u64 + 1_000;
            self.send(print);
        }
        if self.trouble == Trouble::Poisoned && self.rng.random_bool(0.01) {
            self.send(POISON);
        }
    }

    fn send(&mut self, print: u64) {
        let path = ["/safe/", "/unsafe/", "/stream/"][self.draw(3)];
        let instance = self.draw(INSTANCES);
        let now = Millis(self.now);
        let number = self.jobs.len();
        let wanted = Request {
            deadline: Some(Millis(self.rng.random_range(500..=ON_TIME_PART))),
            ..request(path)
        };
        let core = &mut self.cores[instance];
        let pass = core
            .pass(now, wanted)
            .expect("the key and the route are known");
        let admitted = core.admit(now, &pass, print);
        self.jobs.push(Job {
            path,
            print,
            instance,
            ticket: admitted.ok(),
            until: pass.until.0,
            ran: false,
            runs: 0,
            crashes: 0,
            end: admitted.err().map(|it| (self.now, End::NotRun(it.reason))),
        });
        if let Some(ticket) = self.jobs[number].ticket {
            self.tickets.insert((instance, ticket), number);
        }
    }

    // Endpoints finish what they run, and come back after a crash.
    fn work(&mut self) {
        for at in 0..ENDPOINTS {
            let machine = &mut self.machines[at];
            if machine.down.is_some_and(|back| back <= self.now) {
                machine.down = None;
                machine.endpoint.born += 1;
                for core in &mut self.cores {
                    core.registry()
                        .put(Millis(self.now), machine.endpoint.clone());
                }
            }
            let now = self.now;
            let (over, running) = machine.running.iter().partition(|it| it.1 <= now);
            machine.running = running;
            for (number, _, good) in over {
                if self.jobs[number].print == POISON {
                    self.machines[at].running.push((number, now, good));
                    self.poisoned.push(now);
                    self.crash(at);
                    break;
                }
                let took = Millis(200);
                let outcome = if good {
                    Outcome::Done {
                        first: took,
                        took,
                        parts: 0,
                        pause: Millis::ZERO,
                    }
                } else {
                    Outcome::Failed
                };
                self.ended(number, outcome);
            }
        }
    }

    fn decide(&mut self) {
        for instance in 0..INSTANCES {
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
                            self.refused(number, refusal.reason);
                        }
                    }
                }
            }
        }
    }

    fn dispatch(&mut self, number: usize, endpoint: &Endpoint) {
        let place = self
            .machines
            .iter()
            .position(|it| it.endpoint.id == endpoint.id);
        let at = place.expect("an endpoint of this world");
        let machine = &mut self.machines[at];
        if machine.down.is_some() {
            return self.ended(number, Outcome::Unreached);
        }
        if machine.endpoint.born != endpoint.born {
            return self.ended(number, Outcome::Moved);
        }
        if machine.running.len() >= SLOTS as usize {
            return self.ended(number, Outcome::Full);
        }
        if self.jobs[number].print == POISON {
            self.fed.push(self.now);
        }
        let span = self.rng.random_range(40..400);
        let good = self.rng.random_bool(0.95);
        machine.running.push((number, self.now + span, good));
        self.jobs[number].ran = true;
        self.jobs[number].runs += 1;
    }

    fn ended(&mut self, number: usize, outcome: Outcome) {
        let job = &mut self.jobs[number];
        let (None, Some(ticket)) = (job.end, job.ticket) else {
            return;
        };
        let instance = job.instance;
        self.tickets.remove(&(instance, ticket));
        let done = matches!(outcome, Outcome::Done { .. });
        let again = self.cores[instance].ended(Millis(self.now), ticket, outcome, !done);
        let job = &mut self.jobs[number];
        job.ticket = again;
        match again {
            Some(ticket) => {
                self.tickets.insert((instance, ticket), number);
            }
            None if done => job.end = Some((self.now, End::Whole)),
            None if job.ran => job.end = Some((self.now, End::MayHaveRun)),
            None => job.end = Some((self.now, End::NotRun(Reason::Rejected))),
        }
    }

    fn refused(&mut self, number: usize, reason: Reason) {
        let instance = self.jobs[number].instance;
        if reason == Reason::Displaced {
            self.check_displaced(number);
        }
        let job = &mut self.jobs[number];
        let end = if job.ran {
            End::MayHaveRun
        } else {
            End::NotRun(reason)
        };
        job.end = Some((self.now, end));
        self.tickets
            .retain(|key, held| key.0 != instance || *held != number);
    }

    // Only more urgent work may take a place in the queue; all has the same tier here, so that only
    // work that can still be on time may push out what cannot.
    fn check_displaced(&mut self, number: usize) {
        let job = &self.jobs[number];
        let waiting = self.tickets.iter().filter(|(key, _)| key.0 == job.instance);
        if waiting.count() == 0 {
            let text = format!("{number} was pushed out of an empty queue");
            self.broken.push(text);
        }
    }

    fn tell(&mut self) {
        if self.now.is_multiple_of(50) {
            for from in 0..INSTANCES {
                let whole = self.now.is_multiple_of(200);
                let report = self.cores[from].report(Millis(self.now), whole);
                for to in 0..INSTANCES {
                    self.post(from, to, &report);
                }
            }
        }
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.letters)
            .into_iter()
            .partition(|it| it.due <= now);
        self.letters = later;
        for letter in due {
            self.cores[letter.to].heard(Millis(now), letter.report);
        }
        self.cuts.retain(|cut| cut.2 > now);
    }

    fn post(&mut self, from: usize, to: usize, report: &Report) {
        let cut = self.cuts.iter().any(|it| (it.0, it.1) == (from, to));
        let lost = self.trouble == Trouble::Wild && self.rng.random_bool(0.1);
        if from == to || cut || lost {
            return;
        }
        let due = self.now + self.rng.random_range(1..30);
        let report = report.clone();
        self.letters.push(Letter { due, to, report });
    }

    fn expire(&mut self) {
        for number in 0..self.jobs.len() {
            let job = &mut self.jobs[number];
            if job.end.is_some() || job.until > self.now {
                continue;
            }
            let (instance, ticket) = (job.instance, job.ticket);
            let end = if job.ran {
                End::MayHaveRun
            } else {
                End::NotRun(Reason::Waited)
            };
            job.end = Some((self.now, end));
            if let Some(ticket) = ticket {
                self.tickets.remove(&(instance, ticket));
                self.cores[instance].cancel(Millis(self.now), ticket);
                for machine in &mut self.machines {
                    machine.running.retain(|it| it.0 != number);
                }
            }
        }
    }

    // What holds at every moment.
    fn look(&mut self) {
        for (at, core) in self.cores.iter().enumerate() {
            let version = core.version();
            if version < self.versions[at] {
                let text = format!("i{at} went from {} to {version}", self.versions[at]);
                self.broken.push(text);
            }
            self.versions[at] = version;
            for busy in core.scheduler().counts() {
                if u32::from(busy.count) > SLOTS {
                    let text = format!("i{at} runs {} at {}", busy.count, busy.endpoint);
                    self.broken.push(text);
                }
            }
        }
    }
}

//! A fleet that moves a service to another version, in virtual time.

#![expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "counts and spans of a short play"
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

const STEP: u64 = 10;

/// When the order is placed, and how long it gives.
pub const ORDERED: u64 = 4_000;
pub const SPAN: u64 = 12_000;

/// Endpoints of each version, and their slots.
const ENDPOINTS: usize = 24;
const SLOTS: u32 = 6;

/// The operators' bounds: the part of requests that a bad version may get, some besides, and how long after its
/// 50th bad answer it may still get any.
const SHARE: f64 = 0.1;
const SLACK: usize = 50;
const ROLLBACK: u64 = 5_000;
const EVIDENCE: usize = 50;

/// What is wrong with the new version.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// Nothing.
    None,
    /// This part of its answers fail.
    Fails(f64),
    /// Its answers take so many times as long.
    Slow(f64),
    /// This part of its answers fail, from so many ms after the order on.
    Later(f64, u64),
    /// This part of its answers fail on one route.
    OneRoute(f64),
    /// This part of its answers fail where more than half of an endpoint's slots are taken.
    Loaded(f64),
}

/// What happens around the rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trouble {
    /// Nothing.
    None,
    /// Instances are killed and start again, the store goes away for some instances and for all, answers of its
    /// writes are lost, and endpoints of both versions fail for some seconds.
    Wild,
    /// All endpoints take five times as long from this part of the order's time on, in hundredths.
    Slow(u64),
}

struct Run {
    due: u64,
    ticket: Ticket,
    endpoint: usize,
    outcome: Outcome,
}

struct Node {
    core: Core,
    name: String,
    runs: Vec<Run>,
    // Down until then.
    down: u64,
    // The store cannot be reached until then.
    away: u64,
    // Changes of the store that are known, and when the next one is.
    known: usize,
    learns: u64,
}

/// What was seen of a rollout.
#[derive(Debug, Default)]
pub struct Seen {
    /// Each state that was written, and when.
    pub states: Vec<(u64, State)>,
    /// Each broken promise, in words.
    pub broken: Vec<String>,
    /// Requests that were sent to the new version while it could be judged, and to the service.
    pub exposed: usize,
    pub all: usize,
    /// Bad answers of the new version.
    pub bad: usize,
    /// Requests that ran at old endpoints when these stopped.
    pub cut: usize,
    /// Requests that were rejected.
    pub rejected: usize,
}

/// A fleet that moves a service to another version.
pub struct World {
    rng: ChaCha8Rng,
    now: u64,
    fault: Fault,
    trouble: Trouble,
    rate: f64,
    nodes: Vec<Node>,
    endpoints: Vec<Endpoint>,
    busy: Vec<u32>,
    // Endpoints fail everything until then.
    sick: Vec<u64>,
    reports: Vec<(u64, usize, Report)>,
    changes: Vec<StoreUpdate>,
    status: u64,
    // When the 50th bad answer came.
    evident: Option<u64>,
    started: u64,
    /// What was seen.
    pub seen: Seen,
}

impl World {
    /// Starts a fleet under so many requests a second.
    pub fn new(seed: u64, size: usize, rate: f64, fault: Fault, trouble: Trouble) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let endpoints: Vec<_> = (0..2 * ENDPOINTS).map(entry).collect();
        let mut world = Self {
            rng,
            now: 0,
            fault,
            trouble,
            rate,
            nodes: Vec::new(),
            busy: vec![0; endpoints.len()],
            sick: vec![0; endpoints.len()],
            changes: Vec::new(),
            endpoints,
            reports: Vec::new(),
            status: 0,
            evident: None,
            started: 0,
            seen: Seen::default(),
        };
        for at in 0..size {
            let name = format!("i{at}");
            world
                .changes
                .push(StoreUpdate::Instance(name.clone(), location(&name, "a")));
        }
        for at in 0..ENDPOINTS {
            world
                .changes
                .push(StoreUpdate::Endpoint(world.endpoints[at].clone()));
        }
        for at in 0..size {
            let node = world.start(at);
            world.nodes.push(node);
        }
        world
    }

    /// Plays until some seconds after the order's time.
    pub fn run(&mut self) {
        while self.now < ORDERED + SPAN + 6_000 {
            self.now += STEP;
            if self.now == ORDERED {
                self.order();
            }
            if self.trouble == Trouble::Wild {
                self.harm();
            }
            self.deliver();
            self.arrive();
            for at in 0..self.nodes.len() {
                if self.nodes[at].down <= self.now {
                    self.act(at);
                }
            }
        }
        self.check_exposure();
    }

    /// Returns the outcome of the order.
    pub fn outcome(&self) -> Option<(u64, State)> {
        let ends = self.seen.states.iter().filter(|it| it.1 != State::Running);
        ends.copied().next()
    }

    fn start(&mut self, at: usize) -> Node {
        self.started += 1;
        let name = format!("i{at}");
        let mut core = Core::new(identity(&name, self.started));
        core.configure(Millis(self.now), configuration(1, organisation(0.0, 0.0)));
        Node {
            core,
            name,
            runs: Vec::new(),
            down: 0,
            away: 0,
            known: 0,
            learns: self.now + self.rng.random_range(10..100),
        }
    }

    fn order(&mut self) {
        let order = Order {
            service: "lm".into(),
            version: "v2".into(),
            duration: Millis(SPAN),
            revision: self.revision() + 1,
        };
        self.changes.push(StoreUpdate::RolloutOrder(order));
        for at in ENDPOINTS..2 * ENDPOINTS {
            self.changes
                .push(StoreUpdate::Endpoint(self.endpoints[at].clone()));
        }
    }

    fn revision(&self) -> u64 {
        self.changes.len() as u64
    }

    fn harm(&mut self) {
        if self.rng.random_bool(0.01) {
            let at = self.rng.random_range(0..self.nodes.len());
            let down = self.now + self.rng.random_range(200..2_000);
            for run in std::mem::take(&mut self.nodes[at].runs) {
                self.busy[run.endpoint] -= 1;
            }
            self.nodes[at] = self.start(at);
            self.nodes[at].down = down;
        }
        if self.rng.random_bool(0.01) {
            let at = self.rng.random_range(0..self.nodes.len());
            self.nodes[at].away = self.now + self.rng.random_range(500..3_000);
        }
        if self.rng.random_bool(0.001) {
            let away = self.now + self.rng.random_range(500..3_000);
            for node in &mut self.nodes {
                node.away = away;
            }
        }
        if self.rng.random_bool(0.002) {
            let at = self.rng.random_range(0..self.endpoints.len());
            self.sick[at] = self.now + self.rng.random_range(500..3_000);
        }
    }

    fn deliver(&mut self) {
        let (due, later) = std::mem::take(&mut self.reports)
            .into_iter()
            .partition(|it: &(u64, usize, Report)| it.0 <= self.now);
        self.reports = later;
        for (_, to, report) in due {
            if self.nodes[to].down <= self.now {
                self.nodes[to].core.receive_report(Millis(self.now), report);
            }
        }
    }

    fn arrive(&mut self) {
        let mean = self.rate * STEP as f64 / 1_000.0;
        let count = mean as usize + usize::from(self.rng.random_bool(mean.fract()));
        for _ in 0..count {
            let at = self.rng.random_range(0..self.nodes.len());
            if self.nodes[at].down <= self.now {
                self.pending(at);
            }
        }
    }

    fn pending(&mut self, at: usize) {
        let now = Millis(self.now);
        let path = if self.rng.random_bool(0.1) {
            "/unsafe/x"
        } else {
            "/safe/x"
        };
        let print = self.rng.random();
        let core = &mut self.nodes[at].core;
        if let Ok(pass) = core.route(now, request(path)) {
            self.seen.rejected += usize::from(core.admit(now, &pass, print).is_err());
        }
    }

    fn act(&mut self, at: usize) {
        self.learn(at);
        self.end(at);
        let now = Millis(self.now);
        for decision in self.nodes[at].core.decide(now) {
            if let Decision::Start(ticket, endpoint) = decision {
                self.send(at, ticket, &endpoint);
            }
        }
        if (self.now / STEP + at as u64).is_multiple_of(10) {
            self.tell(at);
        }
        if (self.now / STEP + at as u64).is_multiple_of(20) {
            self.nodes[at].core.sweep(now);
            self.nodes[at].core.advance_rollouts(now);
            self.write(at);
        }
    }

    fn learn(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        if node.away > self.now {
            node.core.store_call_failed(Millis(self.now));
            return;
        }
        node.core.store_call_succeeded();
        if node.learns > self.now || node.known == self.changes.len() {
            return;
        }
        let news = self.changes[node.known..].to_vec();
        node.known = self.changes.len();
        node.learns = self.now + self.rng.random_range(10..600);
        node.core
            .apply_updates(Millis(self.now), self.changes.len() as u64, news);
        node.core.advance_rollouts(Millis(self.now));
    }

    fn end(&mut self, at: usize) {
        let runs = std::mem::take(&mut self.nodes[at].runs);
        let (done, rest): (Vec<_>, Vec<_>) = runs.into_iter().partition(|it| it.due <= self.now);
        self.nodes[at].runs = rest;
        for run in done {
            self.busy[run.endpoint] -= 1;
            let outcome = run.outcome;
            self.nodes[at]
                .core
                .attempt_ended(Millis(self.now), run.ticket, outcome, false);
        }
    }

    fn send(&mut self, at: usize, ticket: Ticket, endpoint: &Endpoint) {
        let index = self
            .endpoints
            .iter()
            .position(|it| it.id == endpoint.id)
            .unwrap();
        let new = index >= ENDPOINTS;
        self.busy[index] += 1;
        let route = self.nodes[at]
            .core
            .scheduler()
            .running(ticket)
            .unwrap()
            .route
            .clone();
        let loaded = self.busy[index] * 2 > SLOTS;
        let age = self.now.saturating_sub(ORDERED);
        let (part, slow) = match self.fault {
            _ if !new => (0.01, 1.0),
            Fault::None => (0.01, 1.0),
            Fault::Fails(part) => (part, 1.0),
            Fault::Slow(times) => (0.01, times),
            Fault::Later(part, from) => (if age >= from { part } else { 0.01 }, 1.0),
            Fault::OneRoute(part) => (if &*route.name == "safe" { 0.01 } else { part }, 1.0),
            Fault::Loaded(part) => (if loaded { part } else { 0.01 }, 1.0),
        };
        let failed = self.rng.random_bool(part) || self.sick[index] > self.now;
        let all = match self.trouble {
            Trouble::Slow(from) if age * 100 >= from * SPAN => 5.0,
            _ => 1.0,
        };
        let took = (self.rng.random_range(80.0..240.0) * slow * all) as u64;
        let outcome = if failed {
            Outcome::Failed
        } else {
            Outcome::Completed {
                to_first_part: Millis(took),
                total: Millis(took),
                parts: 0,
                longest_pause: Millis::ZERO,
            }
        };
        self.observe(at, new, failed || slow > 1.0);
        self.nodes[at].runs.push(Run {
            due: self.now + took,
            ticket,
            endpoint: index,
            outcome,
        });
    }

    // Takes note of a request that reaches an endpoint, with whether its answer will be bad.
    fn observe(&mut self, at: usize, new: bool, bad: bool) {
        let window = ORDERED..ORDERED + SPAN;
        if window.contains(&self.now) {
            self.seen.all += 1;
            self.seen.exposed += usize::from(new);
        }
        if !new || self.fault == Fault::None {
            return;
        }
        let touch = self.nodes[at].away + 4_000 < self.now;
        if let Some(evident) = self.evident
            && touch
            && self.now > evident + ROLLBACK
        {
            self.seen.broken.push(format!(
                "{}: sent to a bad version at {}",
                self.nodes[at].name, self.now
            ));
        }
        self.seen.bad += usize::from(bad);
        if self.seen.bad >= EVIDENCE {
            self.evident.get_or_insert(self.now);
        }
    }

    fn tell(&mut self, at: usize) {
        let whole = self.rng.random_bool(0.2);
        let report = self.nodes[at].core.next_report(Millis(self.now), whole);
        for to in 0..self.nodes.len() {
            if to != at && !self.rng.random_bool(0.02) {
                let due = self.now + self.rng.random_range(1..20);
                self.reports.push((due, to, report.clone()));
            }
        }
    }

    fn write(&mut self, at: usize) {
        let node = &self.nodes[at];
        if node.away > self.now {
            return;
        }
        for due in node.core.status_writes(Millis(self.now)) {
            // Nobody waits for the answer here, as if each were lost.
            if due.status_revision != self.status {
                continue;
            }
            if self.seen.states.iter().any(|it| it.1 != State::Running) {
                self.seen
                    .broken
                    .push(format!("a second outcome: {:?}", due.state));
            }
            self.seen.states.push((self.now, due.state));
            if due.state == State::Completed {
                self.seen.cut = self
                    .nodes
                    .iter()
                    .flat_map(|it| &it.runs)
                    .filter(|it| it.endpoint < ENDPOINTS)
                    .count();
            }
            let revision = self.revision() + 1;
            self.status = revision;
            let status = Status {
                state: due.state,
                version: due.order.version,
                revision,
            };
            self.changes
                .push(StoreUpdate::RolloutStatus("lm".into(), status));
        }
    }

    fn check_exposure(&mut self) {
        let most = (self.seen.all as f64 * SHARE) as usize + SLACK;
        if self.fault != Fault::None && self.seen.exposed > most {
            let text = format!(
                "{} of {} requests exposed",
                self.seen.exposed, self.seen.all
            );
            self.seen.broken.push(text);
        }
    }
}

fn entry(at: usize) -> Endpoint {
    let version = if at < ENDPOINTS { "v1" } else { "v2" };
    Endpoint {
        version: version.into(),
        ..endpoint(&format!("e{at}"), SLOTS)
    }
}

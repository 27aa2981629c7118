//! A fleet in virtual time before endpoints of which one names a limit for a while.

use std::collections::BTreeMap;

use rand::Rng;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

use crate::common::configuration;
use crate::common::done;
use crate::common::endpoint;
use crate::common::identity;
use crate::common::number;
use crate::common::organisation;
use crate::common::place;
use crate::common::request;
use siskinyoke_base::Millis;
use siskinyoke_dispatch::BorrowRequest;
use siskinyoke_dispatch::Core;
use siskinyoke_dispatch::Decision;
use siskinyoke_dispatch::Endpoint;
use siskinyoke_dispatch::Grant;
use siskinyoke_dispatch::Outcome;
use siskinyoke_dispatch::Report;
use siskinyoke_dispatch::Ticket;
use siskinyoke_dispatch::core::Request;
use siskinyoke_dispatch::message::SlotRequest;

const STEP: u64 = 10;

/// When the endpoint names its limit, and when a play ends.
const NAMED: std::ops::Range<u64> = 4_000..20_000;
const END: u64 = 30_000;

/// When nobody asks for anything, where that is played.
const PAUSE: std::ops::Range<u64> = 5_000..15_000;

/// The window of the bound, how long after the first naming it begins to hold, and how long an instance has had to know.
const WINDOW: u64 = 4_000;
const STABLE: u64 = 3_000;
const KNOWN: u64 = 500;

/// How long a request runs, and the slots of an endpoint.
const STAY: u64 = 200;
const SLOTS: u32 = 4;

/// The most instances of a fleet of one shard.
const ONE_SHARD: usize = 11;

/// As in the gateway: how many holders or shards are asked at once, and how many instances of others are told.
const CHOICES: usize = 2;
const OTHERS: usize = 3;

/// Requests that may come in one step.
const TRIES: u32 = 4;

/// The endpoint for which the bound is checked.
const CHECKED: &str = "e0";

/// What is played.
#[derive(Debug, Clone, Copy)]
pub struct Plan {
    /// Instances.
    pub size: usize,
    /// The limit, in requests a second.
    pub rate: f64,
    /// Endpoints.
    pub endpoints: usize,
    /// How many of them name the limit; the bound is checked for the first.
    pub limited: usize,
    /// Requests a second over all instances.
    pub per_s: f64,
    /// Whether instances start anew, freeze and are cut off, and reports are lost.
    pub wild: bool,
    /// Whether nobody asks for anything for some seconds after the naming.
    pub pause: bool,
}

// A request at an endpoint.
struct Run {
    instance: usize,
    ticket: Ticket,
    endpoint: String,
    sent: u64,
    ends: u64,
    // The instance of another shard that gave the place, and the question.
    lender: Option<(usize, u64)>,
}

struct Letter {
    due: u64,
    to: usize,
    report: Report,
}

/// A fleet in virtual time before endpoints of which one names a limit for a while.
pub struct Fleet {
    rng: ChaCha8Rng,
    plan: Plan,
    now: u64,
    cores: Vec<Core>,
    frozen: Vec<u64>,
    runs: Vec<Run>,
    letters: Vec<Letter>,
    cuts: BTreeMap<(usize, usize), u64>,
    // When each instance, in its present start, passed on an answer that named the limit.
    told: Vec<Option<u64>>,
    // Until when an instance is excused.
    excused: Vec<u64>,
    // When the limited endpoint got requests, from instances that had been told.
    arrivals: Vec<u64>,
    all: Vec<u64>,
    // When those with a limit got any.
    named: Vec<u64>,
    /// Requests that were refused when they came.
    pub refused: u64,
    /// Each broken promise, in words.
    pub broken: Vec<String>,
    /// Requests a second that the limited endpoint got while it named its limit.
    pub used: f64,
    /// Requests a second that all endpoints with a limit got meanwhile.
    pub together: f64,
    /// Requests a second that it got in the last seconds.
    pub after: f64,
}

impl Fleet {
    /// Plays a seed to its end.
    pub fn play(seed: u64, plan: Plan) -> Self {
        let mut fleet = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            plan,
            now: 0,
            cores: Vec::new(),
            frozen: vec![0; plan.size],
            runs: Vec::new(),
            letters: Vec::new(),
            cuts: BTreeMap::new(),
            told: vec![None; plan.size],
            excused: vec![0; plan.size],
            arrivals: Vec::new(),
            all: Vec::new(),
            named: Vec::new(),
            together: 0.0,
            refused: 0,
            broken: Vec::new(),
            used: 0.0,
            after: 0.0,
        };
        fleet.cores = (0..plan.size).map(|at| fleet.start(at)).collect();
        while fleet.now < END {
            fleet.now += STEP;
            fleet.step();
        }
        let rate = |sent: &[u64], from: u64, to: u64| {
            let count = sent.iter().filter(|it| (from..to).contains(it)).count();
            float(count) / Millis(to - from).as_secs()
        };
        let begin = NAMED.start + STABLE;
        let used = rate(&fleet.all, begin, NAMED.end);
        let together = rate(&fleet.named, begin, NAMED.end);
        let after = rate(&fleet.all, END - 4_000, END);
        fleet.used = used;
        fleet.together = together;
        fleet.after = after;
        fleet
    }

    fn start(&mut self, at: usize) -> Core {
        let mut core = Core::new(identity(&format!("i{at}"), self.rng.random()));
        let now = Millis(self.now);
        core.configure(now, configuration(1, organisation(0.0, 0.0)));
        for other in 0..self.plan.size {
            let name = format!("i{other}");
            core.list(&name, place(&name, "a"));
        }
        for number in 0..self.plan.endpoints {
            core.registry()
                .put(now, endpoint(&format!("e{number}"), SLOTS));
        }
        core
    }

    fn step(&mut self) {
        if self.plan.wild {
            self.harm();
        }
        self.arrive();
        self.work();
        for at in 0..self.plan.size {
            if self.frozen[at] <= self.now {
                self.decide(at);
                self.tell(at);
            }
        }
        self.deliver();
    }

    fn limited(&self, endpoint: &str) -> bool {
        let number: usize = endpoint[1..].parse().expect("a number");
        number < self.plan.limited
    }

    fn harm(&mut self) {
        let at = self.rng.random_range(0..self.plan.size);
        let until = self.now + self.rng.random_range(200..3_000);
        if self.rng.random_bool(0.003) {
            self.frozen[at] = until;
            self.excused[at] = until + STABLE;
        }
        if self.rng.random_bool(0.002) {
            self.cores[at] = self.start(at);
            self.runs.retain(|it| it.instance != at);
            self.told[at] = None;
            self.excused[at] = self.now + STABLE;
        }
        if self.rng.random_bool(0.005) {
            let other = self.rng.random_range(0..self.plan.size);
            self.cuts.insert((at, other), until);
            for node in [at, other] {
                self.excused[node] = self.excused[node].max(until + STABLE);
            }
        }
    }

    fn arrive(&mut self) {
        if self.plan.pause && PAUSE.contains(&self.now) {
            return;
        }
        // So many tries a step make even arrivals with some chance in them.
        let chance = self.plan.per_s * Millis(STEP).as_secs() / f64::from(TRIES);
        for _ in 0..TRIES {
            if !self.rng.random_bool(chance) {
                continue;
            }
            let at = self.rng.random_range(0..self.plan.size);
            if self.frozen[at] > self.now {
                continue;
            }
            let now = Millis(self.now);
            let wanted = Request {
                deadline: Some(Millis(3_000)),
                ..request("/safe/")
            };
            let core = &mut self.cores[at];
            let pass = core.pass(now, wanted).expect("the route is known");
            let admitted = core.admit(now, &pass, self.now);
            self.refused += u64::from(admitted.is_err());
        }
    }

    // Runs end; an answer of the limited endpoint names its limit.
    fn work(&mut self) {
        let now = self.now;
        let (over, left) = std::mem::take(&mut self.runs)
            .into_iter()
            .partition(|it: &Run| it.ends <= now && self.frozen[it.instance] <= now);
        self.runs = left;
        for run in over {
            let named = self.limited(&run.endpoint) && NAMED.contains(&run.ends);
            let core = &mut self.cores[run.instance];
            let rate = named.then_some(self.plan.rate);
            let answering = endpoint(&run.endpoint, SLOTS);
            core.note_limit(Millis(now), &answering, Millis(run.sent), rate);
            if named {
                self.told[run.instance].get_or_insert(now);
            }
            // Some fail, so that others are tried.
            if let Some((lender, id)) = run.lender {
                self.cores[lender].returned(id);
            }
            let core = &mut self.cores[run.instance];
            let outcome = if self.rng.random_bool(0.1) {
                Outcome::Failed
            } else {
                done()
            };
            let more = outcome == Outcome::Failed;
            core.ended(Millis(now), run.ticket, outcome, more);
        }
    }

    fn decide(&mut self, at: usize) {
        let now = Millis(self.now);
        if self.now.is_multiple_of(200) {
            self.cores[at].sweep(now);
        }
        for decision in self.cores[at].decide(now) {
            if let Decision::Start(ticket, endpoint) = decision {
                self.send(at, ticket, &endpoint, None);
            }
        }
        for (ticket, need) in self.cores[at].needs(now) {
            match need {
                BorrowRequest::RateLimitedSlot(place) => self.ask_holders(at, ticket, place),
                BorrowRequest::Slot(_) => self.ask_shards(at, ticket, need),
                BorrowRequest::Units(_) => {}
            }
        }
    }

    fn send(
        &mut self,
        at: usize,
        ticket: Ticket,
        endpoint: &Endpoint,
        lender: Option<(usize, u64)>,
    ) {
        self.runs.push(Run {
            instance: at,
            ticket,
            endpoint: endpoint.id.to_string(),
            sent: self.now,
            ends: self.now + STAY,
            lender,
        });
        if self.limited(&endpoint.id) {
            self.named.push(self.now);
        }
        if &*endpoint.id == CHECKED {
            self.arrived(at);
        }
    }

    // Asks some holders of the limit for a token.
    fn ask_holders(&mut self, at: usize, ticket: Ticket, need: SlotRequest) {
        let now = Millis(self.now);
        let holders = self.cores[at].holders(now, need.service);
        let some = holders.choose_multiple(&mut self.rng, CHOICES);
        let some: Vec<usize> = some.map(|it| number(it)).collect();
        if !self.ask(at, ticket, BorrowRequest::RateLimitedSlot(need), &some) {
            self.cores[at].token_declined(now, ticket);
        }
    }

    // Asks instances of some other shards for a place.
    fn ask_shards(&mut self, at: usize, ticket: Ticket, need: BorrowRequest) {
        let shards = self.cores[at].other_shards();
        let some: Vec<_> = shards.choose_multiple(&mut self.rng, CHOICES).collect();
        let some = some.into_iter().filter_map(|it| it.choose(&mut self.rng));
        let some: Vec<usize> = some.map(|it| number(it)).collect();
        if !self.ask(at, ticket, need, &some) {
            self.cores[at].place_declined(Millis(self.now), ticket);
        }
    }

    // Returns whether the request was sent with what one of them gave; the way there and back is left out.
    fn ask(&mut self, at: usize, ticket: Ticket, need: BorrowRequest, lenders: &[usize]) -> bool {
        let now = Millis(self.now);
        let mut started = false;
        for &lender in lenders {
            let ways = [(at, lender), (lender, at)].map(|it| self.cuts.get(&it).copied());
            let cut = ways.into_iter().flatten().any(|it| it > self.now);
            if cut || self.frozen[lender] > self.now {
                continue;
            }
            let id = self.rng.random();
            let Grant::Place(key) = self.cores[lender].lend(now, id, need) else {
                continue;
            };
            if let Some(endpoint) = self.cores[at].place_granted(now, ticket, key) {
                started = true;
                self.send(at, ticket, &endpoint, Some((lender, id)));
            } else {
                self.cores[lender].returned(id);
            }
        }
        started
    }

    fn arrived(&mut self, at: usize) {
        let now = self.now;
        self.all.push(now);
        let told = self.told[at].is_some_and(|it| it + KNOWN <= now);
        // Where nothing is lost, peers have heard of it.
        let all = !self.plan.wild && self.plan.size <= ONE_SHARD;
        let known = told || (all && now >= NAMED.start + 2 * KNOWN);
        if !known || self.excused[at] > now || now > NAMED.end {
            return;
        }
        self.arrivals.push(now);
        if now < NAMED.start + STABLE {
            return;
        }
        let recent = self
            .arrivals
            .iter()
            .filter(|it| **it + WINDOW > now)
            .count();
        let most = 1.5 * self.plan.rate * Millis(WINDOW).as_secs() + 5.0;
        if float(recent) > most && self.broken.len() < 3 {
            self.broken.push(format!(
                "{now}: {recent} requests in {WINDOW} ms, {most} allowed"
            ));
        }
    }

    fn tell(&mut self, at: usize) {
        if !(self.now + 10 * at as u64).is_multiple_of(50) {
            return;
        }
        let whole = (self.now + 10 * at as u64).is_multiple_of(500);
        let report = self.cores[at].report(Millis(self.now), whole);
        let listed = self.cores[at].listed();
        let (members, others): (Vec<_>, Vec<_>) = listed.partition(|row| row.1);
        let some = others.choose_multiple(&mut self.rng, OTHERS).copied();
        let to = members.into_iter().chain(some.filter(|_| whole));
        let to: Vec<usize> = to.map(|row| number(row.0)).collect();
        for to in to {
            let cut = self.cuts.get(&(at, to)).is_some_and(|it| *it > self.now);
            let lost = self.plan.wild && self.rng.random_bool(0.05);
            if cut || lost {
                continue;
            }
            self.letters.push(Letter {
                due: self.now + self.rng.random_range(1..30),
                to,
                report: report.clone(),
            });
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.letters)
            .into_iter()
            .partition(|it| it.due <= now);
        self.letters = later;
        for letter in due {
            if self.frozen[letter.to] <= now {
                self.cores[letter.to].heard(Millis(now), letter.report);
            }
        }
    }
}

fn float(count: usize) -> f64 {
    f64::from(u32::try_from(count).expect("a small count"))
}

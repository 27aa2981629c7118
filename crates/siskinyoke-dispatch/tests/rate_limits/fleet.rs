//! A fleet in virtual time before endpoints of which one names a limit for a while.

use std::collections::BTreeMap;

use rand::Rng;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

use crate::common::completed;
use crate::common::configuration;
use crate::common::endpoint;
use crate::common::identity;
use crate::common::instance_number;
use crate::common::location;
use crate::common::organisation;
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
use siskinyoke_dispatch::core::IncomingRequest;
use siskinyoke_dispatch::message::SlotRequest;

const STEP_MS: u64 = 10;

/// When the endpoint names its limit, and when a play ends.
const LIMIT_NAMED_MS: std::ops::Range<u64> = 4_000..20_000;
const END_MS: u64 = 30_000;

/// When nobody asks for anything, where that is played.
const PAUSE_MS: std::ops::Range<u64> = 5_000..15_000;

/// The window of the bound, how long after the first naming it begins to hold, and how long an instance has had to know.
const WINDOW_MS: u64 = 4_000;
const SETTLING_MS: u64 = 3_000;
const PROPAGATION_MS: u64 = 500;

/// How long a request runs, and the slots of an endpoint.
const SERVICE_TIME_MS: u64 = 200;
const SLOTS_PER_ENDPOINT: u32 = 4;

/// The most instances of a fleet of one shard.
const MAX_SINGLE_SHARD_SIZE: usize = 11;

/// As in the gateway: how many holders or shards are asked at once, and how many instances of others are told.
const LENDER_COUNT: usize = 2;
const FOREIGN_PEER_COUNT: usize = 3;

/// Requests that may come in one step.
const MAX_ARRIVALS_PER_STEP: u32 = 4;

/// The endpoint for which the bound is checked.
const CHECKED_ENDPOINT: &str = "e0";

/// What is played.
#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    /// Instances.
    pub instances: usize,
    /// The limit, in requests a second.
    pub limit_rate: f64,
    /// Endpoints.
    pub endpoints: usize,
    /// How many of them name the limit; the bound is checked for the first.
    pub limited_endpoints: usize,
    /// Requests a second over all instances.
    pub arrival_rate: f64,
    /// Whether instances start anew, freeze and are cut off, and reports are lost.
    pub random_faults: bool,
    /// Whether nobody asks for anything for some seconds after the naming.
    pub pause: bool,
}

// A request at an endpoint.
struct Attempt {
    instance: usize,
    ticket: Ticket,
    endpoint: String,
    sent_ms: u64,
    ends_ms: u64,
    // The instance of another shard that gave the place, and the question.
    lender: Option<(usize, u64)>,
}

struct InFlightReport {
    due_ms: u64,
    recipient: usize,
    report: Report,
}

/// A fleet in virtual time before endpoints of which one names a limit for a while.
pub struct Fleet {
    rng: ChaCha8Rng,
    scenario: Scenario,
    now: u64,
    cores: Vec<Core>,
    frozen_until: Vec<u64>,
    running: Vec<Attempt>,
    in_flight: Vec<InFlightReport>,
    partitions: BTreeMap<(usize, usize), u64>,
    // When each instance, in its present start, passed on an answer that named the limit.
    learned_at: Vec<Option<u64>>,
    // Until when an instance is excused.
    excused_until: Vec<u64>,
    // When the limited endpoint got requests, from instances that had been told.
    checked_arrivals: Vec<u64>,
    all_arrivals: Vec<u64>,
    // When those with a limit got any.
    limited_arrivals: Vec<u64>,
    /// Requests that were refused when they came.
    pub rejected: u64,
    /// Each broken promise, in words.
    pub violations: Vec<String>,
    /// Requests a second that the limited endpoint got while it named its limit.
    pub checked_rate: f64,
    /// Requests a second that all endpoints with a limit got meanwhile.
    pub limited_rate: f64,
    /// Requests a second that it got in the last seconds.
    pub final_rate: f64,
}

impl Fleet {
    /// Plays a seed to its end.
    pub fn run(seed: u64, plan: Scenario) -> Self {
        let mut fleet = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            scenario: plan,
            now: 0,
            cores: Vec::new(),
            frozen_until: vec![0; plan.instances],
            running: Vec::new(),
            in_flight: Vec::new(),
            partitions: BTreeMap::new(),
            learned_at: vec![None; plan.instances],
            excused_until: vec![0; plan.instances],
            checked_arrivals: Vec::new(),
            all_arrivals: Vec::new(),
            limited_arrivals: Vec::new(),
            limited_rate: 0.0,
            rejected: 0,
            violations: Vec::new(),
            checked_rate: 0.0,
            final_rate: 0.0,
        };
        fleet.cores = (0..plan.instances)
            .map(|at| fleet.start_instance(at))
            .collect();
        while fleet.now < END_MS {
            fleet.now += STEP_MS;
            fleet.step();
        }
        let rate = |sent: &[u64], from: u64, to: u64| {
            let count = sent.iter().filter(|it| (from..to).contains(it)).count();
            to_f64(count) / Millis(to - from).as_secs()
        };
        let begin = LIMIT_NAMED_MS.start + SETTLING_MS;
        let used = rate(&fleet.all_arrivals, begin, LIMIT_NAMED_MS.end);
        let together = rate(&fleet.limited_arrivals, begin, LIMIT_NAMED_MS.end);
        let after = rate(&fleet.all_arrivals, END_MS - 4_000, END_MS);
        fleet.checked_rate = used;
        fleet.limited_rate = together;
        fleet.final_rate = after;
        fleet
    }

    fn start_instance(&mut self, at: usize) -> Core {
        let mut core = Core::new(identity(&format!("i{at}"), self.rng.random()));
        let now = Millis(self.now);
        core.configure(now, configuration(1, organisation(0.0, 0.0)));
        for other in 0..self.scenario.instances {
            let name = format!("i{other}");
            core.add_instance(&name, location(&name, "a"));
        }
        for number in 0..self.scenario.endpoints {
            core.registry()
                .put(now, endpoint(&format!("e{number}"), SLOTS_PER_ENDPOINT));
        }
        core
    }

    fn step(&mut self) {
        if self.scenario.random_faults {
            self.inject_faults();
        }
        self.generate_arrivals();
        self.finish_requests();
        for at in 0..self.scenario.instances {
            if self.frozen_until[at] <= self.now {
                self.decide(at);
                self.send_reports(at);
            }
        }
        self.deliver();
    }

    fn is_limited(&self, endpoint: &str) -> bool {
        let number: usize = endpoint[1..].parse().expect("a number");
        number < self.scenario.limited_endpoints
    }

    fn inject_faults(&mut self) {
        let at = self.rng.random_range(0..self.scenario.instances);
        let until = self.now + self.rng.random_range(200..3_000);
        if self.rng.random_bool(0.003) {
            self.frozen_until[at] = until;
            self.excused_until[at] = until + SETTLING_MS;
        }
        if self.rng.random_bool(0.002) {
            self.cores[at] = self.start_instance(at);
            self.running.retain(|it| it.instance != at);
            self.learned_at[at] = None;
            self.excused_until[at] = self.now + SETTLING_MS;
        }
        if self.rng.random_bool(0.005) {
            let other = self.rng.random_range(0..self.scenario.instances);
            self.partitions.insert((at, other), until);
            for node in [at, other] {
                self.excused_until[node] = self.excused_until[node].max(until + SETTLING_MS);
            }
        }
    }

    fn generate_arrivals(&mut self) {
        if self.scenario.pause && PAUSE_MS.contains(&self.now) {
            return;
        }
        // So many tries a step make even arrivals with some chance in them.
        let chance = self.scenario.arrival_rate * Millis(STEP_MS).as_secs()
            / f64::from(MAX_ARRIVALS_PER_STEP);
        for _ in 0..MAX_ARRIVALS_PER_STEP {
            if !self.rng.random_bool(chance) {
                continue;
            }
            let at = self.rng.random_range(0..self.scenario.instances);
            if self.frozen_until[at] > self.now {
                continue;
            }
            let now = Millis(self.now);
            let wanted = IncomingRequest {
                deadline: Some(Millis(3_000)),
                ..request("/safe/")
            };
            let core = &mut self.cores[at];
            let pass = core.route(now, wanted).expect("the route is known");
            let admitted = core.admit(now, &pass, self.now);
            self.rejected += u64::from(admitted.is_err());
        }
    }

    // Runs end; an answer of the limited endpoint names its limit.
    fn finish_requests(&mut self) {
        let now = self.now;
        let (over, left) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|it: &Attempt| it.ends_ms <= now && self.frozen_until[it.instance] <= now);
        self.running = left;
        for run in over {
            let named = self.is_limited(&run.endpoint) && LIMIT_NAMED_MS.contains(&run.ends_ms);
            let core = &mut self.cores[run.instance];
            let rate = named.then_some(self.scenario.limit_rate);
            let answering = endpoint(&run.endpoint, SLOTS_PER_ENDPOINT);
            core.record_limit(Millis(now), &answering, Millis(run.sent_ms), rate);
            if named {
                self.learned_at[run.instance].get_or_insert(now);
            }
            // Some fail, so that others are tried.
            if let Some((lender, id)) = run.lender {
                self.cores[lender].reclaim_slot(id);
            }
            let core = &mut self.cores[run.instance];
            let outcome = if self.rng.random_bool(0.1) {
                Outcome::Failed
            } else {
                completed()
            };
            let more = outcome == Outcome::Failed;
            core.attempt_ended(Millis(now), run.ticket, outcome, more);
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
        for (ticket, need) in self.cores[at].borrow_requests(now) {
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
        self.running.push(Attempt {
            instance: at,
            ticket,
            endpoint: endpoint.id.to_string(),
            sent_ms: self.now,
            ends_ms: self.now + SERVICE_TIME_MS,
            lender,
        });
        if self.is_limited(&endpoint.id) {
            self.limited_arrivals.push(self.now);
        }
        if &*endpoint.id == CHECKED_ENDPOINT {
            self.record_arrival(at);
        }
    }

    // Asks some holders of the limit for a token.
    fn ask_holders(&mut self, at: usize, ticket: Ticket, need: SlotRequest) {
        let now = Millis(self.now);
        let holders = self.cores[at].token_holders(now, need.service);
        let some = holders.choose_multiple(&mut self.rng, LENDER_COUNT);
        let some: Vec<usize> = some.map(|it| instance_number(it)).collect();
        if !self.ask(at, ticket, BorrowRequest::RateLimitedSlot(need), &some) {
            self.cores[at].token_declined(now, ticket);
        }
    }

    // Asks instances of some other shards for a place.
    fn ask_shards(&mut self, at: usize, ticket: Ticket, need: BorrowRequest) {
        let shards = self.cores[at].instances_by_other_shard();
        let some: Vec<_> = shards
            .choose_multiple(&mut self.rng, LENDER_COUNT)
            .collect();
        let some = some.into_iter().filter_map(|it| it.choose(&mut self.rng));
        let some: Vec<usize> = some.map(|it| instance_number(it)).collect();
        if !self.ask(at, ticket, need, &some) {
            self.cores[at].slot_declined(Millis(self.now), ticket);
        }
    }

    // Returns whether the request was sent with what one of them gave; the way there and back is left out.
    fn ask(&mut self, at: usize, ticket: Ticket, need: BorrowRequest, lenders: &[usize]) -> bool {
        let now = Millis(self.now);
        let mut started = false;
        for &lender in lenders {
            let ways = [(at, lender), (lender, at)].map(|it| self.partitions.get(&it).copied());
            let cut = ways.into_iter().flatten().any(|it| it > self.now);
            if cut || self.frozen_until[lender] > self.now {
                continue;
            }
            let id = self.rng.random();
            let Grant::Slot(key) = self.cores[lender].lend(now, id, need) else {
                continue;
            };
            if let Some(endpoint) = self.cores[at].slot_granted(now, ticket, key) {
                started = true;
                self.send(at, ticket, &endpoint, Some((lender, id)));
            } else {
                self.cores[lender].reclaim_slot(id);
            }
        }
        started
    }

    fn record_arrival(&mut self, at: usize) {
        let now = self.now;
        self.all_arrivals.push(now);
        let told = self.learned_at[at].is_some_and(|it| it + PROPAGATION_MS <= now);
        // Where nothing is lost, peers have heard of it.
        let all = !self.scenario.random_faults && self.scenario.instances <= MAX_SINGLE_SHARD_SIZE;
        let known = told || (all && now >= LIMIT_NAMED_MS.start + 2 * PROPAGATION_MS);
        if !known || self.excused_until[at] > now || now > LIMIT_NAMED_MS.end {
            return;
        }
        self.checked_arrivals.push(now);
        if now < LIMIT_NAMED_MS.start + SETTLING_MS {
            return;
        }
        let recent = self
            .checked_arrivals
            .iter()
            .filter(|it| **it + WINDOW_MS > now)
            .count();
        let most = 1.5 * self.scenario.limit_rate * Millis(WINDOW_MS).as_secs() + 5.0;
        if to_f64(recent) > most && self.violations.len() < 3 {
            self.violations.push(format!(
                "{now}: {recent} requests in {WINDOW_MS} ms, {most} allowed"
            ));
        }
    }

    fn send_reports(&mut self, at: usize) {
        if !(self.now + 10 * at as u64).is_multiple_of(50) {
            return;
        }
        let whole = (self.now + 10 * at as u64).is_multiple_of(500);
        let report = self.cores[at].next_report(Millis(self.now), whole);
        let listed = self.cores[at].other_instances();
        let (members, others): (Vec<_>, Vec<_>) = listed.partition(|row| row.1);
        let some = others
            .choose_multiple(&mut self.rng, FOREIGN_PEER_COUNT)
            .copied();
        let to = members.into_iter().chain(some.filter(|_| whole));
        let to: Vec<usize> = to.map(|row| instance_number(row.0)).collect();
        for to in to {
            let cut = self
                .partitions
                .get(&(at, to))
                .is_some_and(|it| *it > self.now);
            let lost = self.scenario.random_faults && self.rng.random_bool(0.05);
            if cut || lost {
                continue;
            }
            self.in_flight.push(InFlightReport {
                due_ms: self.now + self.rng.random_range(1..30),
                recipient: to,
                report: report.clone(),
            });
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|it| it.due_ms <= now);
        self.in_flight = later;
        for letter in due {
            if self.frozen_until[letter.recipient] <= now {
                self.cores[letter.recipient].receive_report(Millis(now), letter.report);
            }
        }
    }
}

fn to_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).expect("a small count"))
}

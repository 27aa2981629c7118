//! Simulation of a fleet and endpoints that announce a rate limit for some time.

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

/// When endpoints announce their limit.
const LIMIT_ANNOUNCED_MS: std::ops::Range<u64> = 4_000..20_000;

/// When a simulation ends.
const END_MS: u64 = 30_000;

/// When no requests arrive in a scenario with a pause.
const PAUSE_MS: std::ops::Range<u64> = 5_000..15_000;

/// Sliding window in which arrivals are counted against the limit.
const WINDOW_MS: u64 = 4_000;

/// Time after a limit is announced, or a fault ends, until the limit must hold.
const SETTLING_MS: u64 = 3_000;

/// Time after which an instance must know a limit that it or a peer received.
const PROPAGATION_MS: u64 = 500;

/// Service time of a request.
const SERVICE_TIME_MS: u64 = 200;
const SLOTS_PER_ENDPOINT: u32 = 4;

/// Maximum number of instances of a fleet with a single shard.
const MAX_SINGLE_SHARD_SIZE: usize = 11;

/// Number of holders or shards that are asked for a slot at once, as in the gateway.
const LENDER_COUNT: usize = 2;

/// Number of instances of other shards that get a full report, as in the gateway.
const CROSS_SHARD_RECEIVERS: usize = 3;

/// Maximum number of requests that arrive in one step.
const MAX_ARRIVALS_PER_STEP: u32 = 4;

/// Endpoint whose limit is checked.
const CHECKED_ENDPOINT: &str = "e0";

/// Parameters of a simulation.
#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    /// Number of instances.
    pub instances: usize,
    /// Limit of an endpoint in requests a second.
    pub limit_rate: f64,
    /// Number of endpoints.
    pub endpoints: usize,
    /// Number of endpoints that announce the limit, which is checked for the first.
    pub limited_endpoints: usize,
    /// Requests a second over all instances.
    pub arrival_rate: f64,
    /// Whether instances restart, freeze and are partitioned, and reports are lost.
    pub random_faults: bool,
    /// Whether no requests arrive for some seconds after the limit is announced.
    pub pause: bool,
}

// Attempt of a request at an endpoint.
struct Attempt {
    instance: usize,
    ticket: Ticket,
    endpoint: String,
    sent_ms: u64,
    ends_ms: u64,
    // Instance that lent the slot, and the id of the borrow request.
    lender: Option<(usize, u64)>,
}

struct InFlightReport {
    due_ms: u64,
    recipient: usize,
    report: Report,
}

/// Simulation of a fleet and endpoints that announce a rate limit for some time.
pub struct Fleet {
    rng: ChaCha8Rng,
    scenario: Scenario,
    now: u64,
    cores: Vec<Core>,
    frozen_until: Vec<u64>,
    running: Vec<Attempt>,
    in_flight: Vec<InFlightReport>,
    // End of each one-way partition by sender and recipient.
    partitions: BTreeMap<(usize, usize), u64>,
    // When each instance first received a limit in a response since its last restart.
    learned_at: Vec<Option<u64>>,
    // Until when the arrivals from an instance are not checked because of a fault.
    excused_until: Vec<u64>,
    // Arrivals at the checked endpoint from instances that must know its limit.
    checked_arrivals: Vec<u64>,
    // All arrivals at the checked endpoint.
    all_arrivals: Vec<u64>,
    // Arrivals at all endpoints with a limit.
    limited_arrivals: Vec<u64>,
    /// Number of requests that were refused on arrival.
    pub refused: u64,
    /// Description of each time the limit was exceeded.
    pub violations: Vec<String>,
    /// Requests a second at the checked endpoint while its limit had to hold.
    pub checked_rate: f64,
    /// Requests a second at all endpoints with a limit in the same time.
    pub limited_rate: f64,
    /// Requests a second at the checked endpoint in the last four seconds.
    pub final_rate: f64,
}

impl Fleet {
    /// Runs a scenario with a seed to its end.
    pub fn run(seed: u64, scenario: Scenario) -> Self {
        let mut fleet = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            scenario,
            now: 0,
            cores: Vec::new(),
            frozen_until: vec![0; scenario.instances],
            running: Vec::new(),
            in_flight: Vec::new(),
            partitions: BTreeMap::new(),
            learned_at: vec![None; scenario.instances],
            excused_until: vec![0; scenario.instances],
            checked_arrivals: Vec::new(),
            all_arrivals: Vec::new(),
            limited_arrivals: Vec::new(),
            limited_rate: 0.0,
            refused: 0,
            violations: Vec::new(),
            checked_rate: 0.0,
            final_rate: 0.0,
        };
        fleet.cores = (0..scenario.instances)
            .map(|index| fleet.start_instance(index))
            .collect();
        while fleet.now < END_MS {
            fleet.now += STEP_MS;
            fleet.step();
        }
        let arrival_rate = |arrivals: &[u64], from: u64, to: u64| {
            let count = arrivals.iter().filter(|it| (from..to).contains(it)).count();
            to_f64(count) / Millis(to - from).as_secs()
        };
        let settled = LIMIT_ANNOUNCED_MS.start + SETTLING_MS;
        let checked_rate = arrival_rate(&fleet.all_arrivals, settled, LIMIT_ANNOUNCED_MS.end);
        let limited_rate = arrival_rate(&fleet.limited_arrivals, settled, LIMIT_ANNOUNCED_MS.end);
        let final_rate = arrival_rate(&fleet.all_arrivals, END_MS - 4_000, END_MS);
        fleet.checked_rate = checked_rate;
        fleet.limited_rate = limited_rate;
        fleet.final_rate = final_rate;
        fleet
    }

    fn start_instance(&mut self, index: usize) -> Core {
        let mut core = Core::new(identity(&format!("i{index}"), self.rng.random()));
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
        for index in 0..self.scenario.instances {
            if self.frozen_until[index] <= self.now {
                self.decide(index);
                self.send_reports(index);
            }
        }
        self.deliver();
    }

    fn is_limited(&self, endpoint: &str) -> bool {
        let number: usize = endpoint[1..].parse().expect("a number");
        number < self.scenario.limited_endpoints
    }

    fn inject_faults(&mut self) {
        let index = self.rng.random_range(0..self.scenario.instances);
        let until = self.now + self.rng.random_range(200..3_000);
        if self.rng.random_bool(0.003) {
            self.frozen_until[index] = until;
            self.excused_until[index] = until + SETTLING_MS;
        }
        if self.rng.random_bool(0.002) {
            self.cores[index] = self.start_instance(index);
            self.running.retain(|it| it.instance != index);
            self.learned_at[index] = None;
            self.excused_until[index] = self.now + SETTLING_MS;
        }
        if self.rng.random_bool(0.005) {
            let other = self.rng.random_range(0..self.scenario.instances);
            self.partitions.insert((index, other), until);
            for affected in [index, other] {
                self.excused_until[affected] =
                    self.excused_until[affected].max(until + SETTLING_MS);
            }
        }
    }

    fn generate_arrivals(&mut self) {
        if self.scenario.pause && PAUSE_MS.contains(&self.now) {
            return;
        }
        // Several trials a step spread the arrivals evenly, with some randomness.
        let probability = self.scenario.arrival_rate * Millis(STEP_MS).as_secs()
            / f64::from(MAX_ARRIVALS_PER_STEP);
        for _ in 0..MAX_ARRIVALS_PER_STEP {
            if !self.rng.random_bool(probability) {
                continue;
            }
            let index = self.rng.random_range(0..self.scenario.instances);
            if self.frozen_until[index] > self.now {
                continue;
            }
            let now = Millis(self.now);
            let incoming = IncomingRequest {
                timeout: Some(Millis(3_000)),
                ..request("/safe/")
            };
            let core = &mut self.cores[index];
            let pass = core.route(now, incoming).expect("the route is known");
            let admitted = core.admit(now, &pass, self.now);
            self.refused += u64::from(admitted.is_err());
        }
    }

    // Finishes due attempts, whose responses announce the limit of limited endpoints.
    fn finish_requests(&mut self) {
        let now = self.now;
        let (finished, running) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|it: &Attempt| it.ends_ms <= now && self.frozen_until[it.instance] <= now);
        self.running = running;
        for attempt in finished {
            let announced =
                self.is_limited(&attempt.endpoint) && LIMIT_ANNOUNCED_MS.contains(&attempt.ends_ms);
            let core = &mut self.cores[attempt.instance];
            let rate = announced.then_some(self.scenario.limit_rate);
            let responding = endpoint(&attempt.endpoint, SLOTS_PER_ENDPOINT);
            core.record_limit(Millis(now), &responding, Millis(attempt.sent_ms), rate);
            if announced {
                self.learned_at[attempt.instance].get_or_insert(now);
            }
            if let Some((lender, id)) = attempt.lender {
                self.cores[lender].reclaim_slot(id);
            }
            let core = &mut self.cores[attempt.instance];
            // Some attempts fail, so that requests are retried at other endpoints.
            let outcome = if self.rng.random_bool(0.1) {
                Outcome::Failed
            } else {
                completed()
            };
            let retry = outcome == Outcome::Failed;
            core.attempt_ended(Millis(now), attempt.ticket, outcome, retry);
        }
    }

    fn decide(&mut self, index: usize) {
        let now = Millis(self.now);
        if self.now.is_multiple_of(200) {
            self.cores[index].sweep(now);
        }
        for decision in self.cores[index].decide(now) {
            if let Decision::Start(ticket, endpoint) = decision {
                self.send(index, ticket, &endpoint, None);
            }
        }
        for (ticket, query) in self.cores[index].borrow_requests(now) {
            match query {
                BorrowRequest::RateLimitedSlot(slot) => self.ask_holders(index, ticket, slot),
                BorrowRequest::Slot(_) => self.ask_shards(index, ticket, query),
                BorrowRequest::Units(_) => {}
            }
        }
    }

    fn send(
        &mut self,
        index: usize,
        ticket: Ticket,
        endpoint: &Endpoint,
        lender: Option<(usize, u64)>,
    ) {
        self.running.push(Attempt {
            instance: index,
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
            self.record_arrival(index);
        }
    }

    // Asks some holders of the limit for a token.
    fn ask_holders(&mut self, index: usize, ticket: Ticket, query: SlotRequest) {
        let now = Millis(self.now);
        let holders = self.cores[index].token_holders(now, query.service);
        let chosen = holders.choose_multiple(&mut self.rng, LENDER_COUNT);
        let lenders: Vec<usize> = chosen.map(|it| instance_number(it)).collect();
        if !self.ask(
            index,
            ticket,
            BorrowRequest::RateLimitedSlot(query),
            &lenders,
        ) {
            self.cores[index].token_denied(now, ticket);
        }
    }

    // Asks instances of some other shards for a slot.
    fn ask_shards(&mut self, index: usize, ticket: Ticket, query: BorrowRequest) {
        let shards = self.cores[index].instances_by_other_shard();
        let chosen: Vec<_> = shards
            .choose_multiple(&mut self.rng, LENDER_COUNT)
            .collect();
        let chosen = chosen.into_iter().filter_map(|it| it.choose(&mut self.rng));
        let lenders: Vec<usize> = chosen.map(|it| instance_number(it)).collect();
        if !self.ask(index, ticket, query, &lenders) {
            self.cores[index].slot_denied(Millis(self.now), ticket);
        }
    }

    // Returns whether a lender gave a slot, with which the request was sent. Transit takes no time
    // here.
    fn ask(
        &mut self,
        index: usize,
        ticket: Ticket,
        query: BorrowRequest,
        lenders: &[usize],
    ) -> bool {
        let now = Millis(self.now);
        let mut started = false;
        for &lender in lenders {
            let partition_ends =
                [(index, lender), (lender, index)].map(|it| self.partitions.get(&it).copied());
            let partitioned = partition_ends.into_iter().flatten().any(|it| it > self.now);
            if partitioned || self.frozen_until[lender] > self.now {
                continue;
            }
            let id = self.rng.random();
            let Grant::Slot(key) = self.cores[lender].lend(now, id, query) else {
                continue;
            };
            if let Some(endpoint) = self.cores[index].slot_granted(now, ticket, key) {
                started = true;
                self.send(index, ticket, &endpoint, Some((lender, id)));
            } else {
                self.cores[lender].reclaim_slot(id);
            }
        }
        started
    }

    fn record_arrival(&mut self, index: usize) {
        let now = self.now;
        self.all_arrivals.push(now);
        let learned = self.learned_at[index].is_some_and(|it| it + PROPAGATION_MS <= now);
        // Without lost reports, all peers in the shard have received the limit.
        let no_loss =
            !self.scenario.random_faults && self.scenario.instances <= MAX_SINGLE_SHARD_SIZE;
        let must_know =
            learned || (no_loss && now >= LIMIT_ANNOUNCED_MS.start + 2 * PROPAGATION_MS);
        if !must_know || self.excused_until[index] > now || now > LIMIT_ANNOUNCED_MS.end {
            return;
        }
        self.checked_arrivals.push(now);
        if now < LIMIT_ANNOUNCED_MS.start + SETTLING_MS {
            return;
        }
        let recent = self
            .checked_arrivals
            .iter()
            .filter(|it| **it + WINDOW_MS > now)
            .count();
        let allowed = 1.5 * self.scenario.limit_rate * Millis(WINDOW_MS).as_secs() + 5.0;
        if to_f64(recent) > allowed && self.violations.len() < 3 {
            self.violations.push(format!(
                "{recent} requests in {WINDOW_MS} ms until {now} ms, {allowed} allowed"
            ));
        }
    }

    fn send_reports(&mut self, index: usize) {
        if !(self.now + 10 * index as u64).is_multiple_of(50) {
            return;
        }
        let full = (self.now + 10 * index as u64).is_multiple_of(500);
        let report = self.cores[index].next_report(Millis(self.now), full);
        let others = self.cores[index].other_instances();
        let (shard_peers, others): (Vec<_>, Vec<_>) = others.partition(|row| row.1);
        let selected = others
            .choose_multiple(&mut self.rng, CROSS_SHARD_RECEIVERS)
            .copied();
        let recipients = shard_peers.into_iter().chain(selected.filter(|_| full));
        let recipients: Vec<usize> = recipients.map(|row| instance_number(row.0)).collect();
        for recipient in recipients {
            let partitioned = self
                .partitions
                .get(&(index, recipient))
                .is_some_and(|it| *it > self.now);
            let lost = self.scenario.random_faults && self.rng.random_bool(0.05);
            if partitioned || lost {
                continue;
            }
            self.in_flight.push(InFlightReport {
                due_ms: self.now + self.rng.random_range(1..30),
                recipient,
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
        for message in due {
            if self.frozen_until[message.recipient] <= now {
                self.cores[message.recipient].receive_report(Millis(now), message.report);
            }
        }
    }
}

fn to_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).expect("a small count"))
}

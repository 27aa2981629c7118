//! A fleet of instances that serves several organisations, in virtual time.

#![expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "the simulated values are small"
)]

use std::collections::BTreeMap;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::common::configuration;
use crate::common::endpoint;
use crate::common::identity;
use crate::common::location;
use crate::common::organisation;
use crate::common::route;
use siskinyoke_base::Millis;
use siskinyoke_dispatch::Configuration;
use siskinyoke_dispatch::Core;
use siskinyoke_dispatch::Decision;
use siskinyoke_dispatch::Organisation;
use siskinyoke_dispatch::Outcome;
use siskinyoke_dispatch::Report;
use siskinyoke_dispatch::Route;
use siskinyoke_dispatch::RouteKind;
use siskinyoke_dispatch::Ticket;
use siskinyoke_dispatch::core::Identity;
use siskinyoke_dispatch::core::IncomingRequest;
use siskinyoke_dispatch::organisation_shares::share_weights::WeightSource;

const STEP_MS: u64 = 5;
const REPORT_INTERVAL_MS: u64 = 20;
const ENDPOINTS: usize = 10;
const SLOTS_PER_ENDPOINT: usize = 6;
/// All slots of the fleet.
pub const SLOTS: usize = ENDPOINTS * SLOTS_PER_ENDPOINT;
/// The mean service time of a request.
pub const SERVICE_TIME_MS: u64 = 200;

/// What an organisation sends, and its configuration.
#[derive(Debug, Clone, Copy)]
pub struct Sender {
    pub tier: u8,
    /// The slots that its usual requests keep busy.
    pub usual_slots: f64,
    /// The multiple of the usual that it sends while the fleet is loaded.
    pub factor: f64,
    /// The part of its requests that is urgent.
    pub urgent_ratio: f64,
    /// Whether its callers repeat refused requests at once, and five times instead of once.
    pub repeats: bool,
}

/// What became of an organisation's requests while the fleet was loaded.
#[derive(Debug, Default, Clone, Copy)]
pub struct Served {
    pub tries: usize,
    pub refused: usize,
    /// Urgent requests, and how many of them were refused.
    pub urgent: usize,
    pub urgent_refused: usize,
    /// Slot time used, in ms.
    pub slot_time: u64,
    /// The longest time without a start, in ms.
    pub longest_gap: u64,
    last_start: u64,
}

/// How reports travel, and which instances know shares.
#[derive(Debug, Clone, Copy)]
pub struct Network {
    pub instances: usize,
    /// The share of reports that is lost, and the longest delay of the others.
    pub loss: f64,
    pub delay_ms: u64,
    /// The number of instances of a version that knows no shares.
    pub earlier: usize,
    /// Whether an instance restarts every second, and half of them are cut off from the others for
    /// two seconds.
    pub faults: bool,
}

impl Network {
    pub const ONE: Self = Self {
        instances: 1,
        loss: 0.0,
        delay_ms: 1,
        earlier: 0,
        faults: false,
    };
    pub const TWELVE: Self = Self {
        instances: 12,
        loss: 0.1,
        delay_ms: 40,
        ..Self::ONE
    };
}

#[derive(Debug, Clone, Copy)]
struct Try {
    at: u64,
    sender: usize,
    urgent: bool,
    number: usize,
}

struct Run {
    ends_at: u64,
    instance: usize,
    incarnation: u64,
    ticket: Ticket,
    duration: u64,
    endpoint: usize,
}

pub struct Fleet {
    pub senders: Vec<Sender>,
    pub served: Vec<Served>,
    /// Every decision, as text.
    pub decisions: Vec<String>,
    /// Slots in use and slots that could have been, summed over the steps in which requests waited.
    pub used_slots: usize,
    pub usable_slots: usize,
    weights: WeightSource,
    network: Network,
    cores: Vec<(u64, Core)>,
    tickets: BTreeMap<(usize, u64, Ticket), Try>,
    running: Vec<Run>,
    retries: Vec<Try>,
    reports: Vec<(u64, usize, Report)>,
    rng: ChaCha8Rng,
    now: u64,
    loaded: bool,
    fingerprint: u64,
}

impl Fleet {
    pub fn new(seed: u64, weights: WeightSource, network: Network, senders: &[Sender]) -> Self {
        let mut fleet = Self {
            senders: senders.to_vec(),
            served: vec![Served::default(); senders.len()],
            decisions: Vec::new(),
            used_slots: 0,
            usable_slots: 0,
            weights,
            network,
            cores: Vec::new(),
            tickets: BTreeMap::new(),
            running: Vec::new(),
            retries: Vec::new(),
            reports: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 1_000,
            loaded: false,
            fingerprint: 0,
        };
        for index in 0..network.instances {
            let core = fleet.start(index, 1);
            fleet.cores.push((1, core));
        }
        fleet
    }

    /// Plays the usual load, and then the given one.
    pub fn play(&mut self, usual_ms: u64, loaded_ms: u64) {
        let loaded_at = self.now + usual_ms;
        let end = loaded_at + loaded_ms;
        while self.now < end {
            self.now += STEP_MS;
            if !self.loaded && self.now >= loaded_at {
                self.loaded = true;
                for served in &mut self.served {
                    served.last_start = self.now;
                }
            }
            if self.network.faults && self.now.is_multiple_of(1_000) {
                self.restart();
            }
            self.end_runs();
            self.send_requests();
            self.decide();
            if self.now.is_multiple_of(REPORT_INTERVAL_MS) {
                self.exchange_reports();
            }
        }
    }

    fn start(&self, index: usize, incarnation: u64) -> Core {
        let name = format!("i{index}");
        let earlier = index < self.network.earlier;
        let mut core = Core::new(Identity {
            share_weights: if earlier {
                WeightSource::Off
            } else {
                self.weights
            },
            ..identity(&name, index as u64 * 1_000 + incarnation)
        });
        core.configure(Millis(self.now), self.configuration());
        for number in 0..ENDPOINTS {
            let endpoint = endpoint(&format!("e{number}"), SLOTS_PER_ENDPOINT as u32);
            core.registry().put(Millis(self.now), endpoint);
        }
        for other in 0..self.network.instances {
            let name = format!("i{other}");
            core.add_instance(&name, location(&name, "a"));
        }
        core
    }

    // Limits are far above what is sent, so that quotas refuse nothing.
    fn configuration(&self) -> Configuration {
        let unused = Organisation {
            name: "unused".into(),
            ..organisation(0.0, 0.0)
        };
        let mut configuration = configuration(1, unused);
        for (prefix, priority) in [("/urgent/", 0), ("/deferrable/", 2)] {
            configuration.add_route(
                "host",
                Route {
                    name: prefix.trim_matches('/').into(),
                    prefix: prefix.into(),
                    ..route(RouteKind::Safe, priority)
                },
            );
        }
        for (index, sender) in self.senders.iter().enumerate() {
            let organisation = Organisation {
                name: format!("o{index}").into(),
                priority: Some(sender.tier),
                counts_tokens: false,
                ..organisation(sender.usual_slots * 1e6, 1e9)
            };
            configuration.add_organisation(organisation, &[format!("k{index}")]);
        }
        configuration
    }

    fn restart(&mut self) {
        let index = self.rng.random_range(0..self.cores.len());
        let incarnation = self.cores[index].0 + 1;
        let core = self.start(index, incarnation);
        self.cores[index] = (incarnation, core);
        self.tickets.retain(|key, _| key.0 != index);
        // Endpoints abort the requests of an instance that is gone.
        self.running.retain(|run| run.instance != index);
    }

    fn end_runs(&mut self) {
        let now = self.now;
        let (ended, running) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|run: &Run| run.ends_at <= now);
        self.running = running;
        for run in ended {
            let total = Millis(run.duration);
            let outcome = Outcome::Completed {
                first_latency: total,
                total,
                parts: 0,
                longest_pause: Millis::ZERO,
            };
            let (incarnation, core) = &mut self.cores[run.instance];
            if *incarnation == run.incarnation {
                core.attempt_ended(Millis(now), run.ticket, outcome, false);
            }
        }
    }

    fn send_requests(&mut self) {
        for index in 0..self.senders.len() {
            let sender = self.senders[index];
            let factor = if self.loaded { sender.factor } else { 1.0 };
            let mean = sender.usual_slots * factor * STEP_MS as f64 / SERVICE_TIME_MS as f64;
            let count = mean as usize + usize::from(self.rng.random_bool(mean.fract()));
            for _ in 0..count {
                let urgent = self.rng.random_bool(sender.urgent_ratio);
                self.submit(Try {
                    at: self.now,
                    sender: index,
                    urgent,
                    number: 0,
                });
            }
        }
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.retries)
            .into_iter()
            .partition(|retry: &Try| retry.at <= now);
        self.retries = later;
        for retry in due {
            self.submit(retry);
        }
    }

    fn submit(&mut self, request: Try) {
        let instance = self.rng.random_range(0..self.cores.len());
        self.fingerprint += 1;
        let key = format!("k{}", request.sender);
        let path = if request.urgent {
            "/urgent/x"
        } else {
            "/deferrable/x"
        };
        let incoming = IncomingRequest {
            host: "host",
            path,
            hold_time: Millis::ZERO,
            key: Some(&key),
            timeout: Some(Millis(3_000)),
            tokens: None,
            output_estimate: None,
            id_hash: 0,
        };
        let now = Millis(self.now);
        if self.loaded {
            self.served[request.sender].tries += 1;
            self.served[request.sender].urgent += usize::from(request.urgent);
        }
        let (incarnation, core) = &mut self.cores[instance];
        let routed = core.route(now, incoming).expect("within its quota");
        match core.admit(now, &routed, self.fingerprint) {
            Ok(ticket) => {
                let key = (instance, *incarnation, ticket);
                self.tickets.insert(key, request);
            }
            Err(refusal) => self.refused(request, refusal.retry_after),
        }
    }

    fn refused(&mut self, request: Try, retry_after: Millis) {
        let sender = self.senders[request.sender];
        if self.loaded {
            self.served[request.sender].refused += 1;
            self.served[request.sender].urgent_refused += usize::from(request.urgent);
        }
        let (max_retries, delay) = if sender.repeats {
            (5, 0)
        } else {
            (1, retry_after.0)
        };
        if request.number < max_retries {
            self.retries.push(Try {
                at: self.now + delay,
                number: request.number + 1,
                ..request
            });
        }
    }

    fn decide(&mut self) {
        let mut waiting = 0;
        for instance in 0..self.cores.len() {
            let now = Millis(self.now);
            let incarnation = self.cores[instance].0;
            if self.now.is_multiple_of(200) {
                self.cores[instance].1.sweep(now);
            }
            for decision in self.cores[instance].1.decide(now) {
                self.decisions.push(format!("{instance} {decision:?}"));
                match decision {
                    Decision::Start(ticket, endpoint) => {
                        let endpoint = endpoint.id[1..].parse().expect("a number");
                        self.run((instance, incarnation, ticket), endpoint);
                    }
                    Decision::Refuse(ticket, refusal) => {
                        let key = (instance, incarnation, ticket);
                        if let Some(request) = self.tickets.remove(&key) {
                            self.refused(request, refusal.retry_after);
                        }
                    }
                }
            }
            waiting += self.cores[instance].1.scheduler().request_counts().0;
        }
        if self.loaded && waiting > 0 {
            self.used_slots += self.running.len().min(SLOTS);
            self.usable_slots += SLOTS;
        }
    }

    fn run(&mut self, key: (usize, u64, Ticket), endpoint: usize) {
        let Some(request) = self.tickets.remove(&key) else {
            return;
        };
        let duration = self
            .rng
            .random_range(SERVICE_TIME_MS / 2..SERVICE_TIME_MS * 3 / 2);
        if self.loaded {
            let served = &mut self.served[request.sender];
            served.slot_time += duration;
            served.longest_gap = served.longest_gap.max(self.now - served.last_start);
            served.last_start = self.now;
        }
        // An endpoint queues what it has no slot for.
        let ahead = self.running.iter().filter(|it| it.endpoint == endpoint);
        let mut ends: Vec<u64> = ahead.map(|it| it.ends_at).collect();
        ends.sort_unstable();
        let position = ends.len().checked_sub(SLOTS_PER_ENDPOINT);
        let starts_at = position.map_or(self.now, |it| ends[it]);
        self.running.push(Run {
            ends_at: starts_at + duration,
            instance: key.0,
            incarnation: key.1,
            ticket: key.2,
            duration: starts_at + duration - self.now,
            endpoint,
        });
    }

    fn exchange_reports(&mut self) {
        let now = self.now;
        let count = self.cores.len();
        let full = now.is_multiple_of(200);
        let parted = self.network.faults && now % 6_000 < 2_000;
        for from in 0..count {
            let mut report = self.cores[from].1.next_report(Millis(now), full);
            if from < self.network.earlier {
                report.shares.clear();
            }
            for to in (0..count).filter(|it| *it != from) {
                let cut = parted && (from < count / 2) != (to < count / 2);
                if !cut && !self.rng.random_bool(self.network.loss) {
                    let arrives_at = now + self.rng.random_range(0..=self.network.delay_ms);
                    self.reports.push((arrives_at, to, report.clone()));
                }
            }
        }
        let (due, later) = std::mem::take(&mut self.reports)
            .into_iter()
            .partition(|row: &(u64, usize, Report)| row.0 <= now);
        self.reports = later;
        for (_, to, report) in due {
            self.cores[to].1.receive_report(Millis(now), report);
        }
    }
}

//! Simulation of a fleet whose callers ask for several times an organisation's quota; times are in
//! ms.

#![expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "counts and times of a short simulation"
)]

use std::collections::BTreeSet;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::common::configuration;
use crate::common::endpoint;
use crate::common::identity;
use crate::common::instance_at;
use crate::common::location;
use crate::common::most_granted_in_window;
use crate::common::organisation;
use crate::common::request;
use siskinyoke_base::Millis;
use siskinyoke_dispatch::Core;
use siskinyoke_dispatch::Report;
use siskinyoke_dispatch::StoreUpdate;
use siskinyoke_dispatch::core::IncomingRequest;

const STEP_MS: u64 = 10;
const REPORT_INTERVAL_MS: u64 = 40;
const SWEEP_INTERVAL_MS: u64 = 200;

/// The quota, and what callers ask for as a multiple of it.
pub const RATE: f64 = 800_000.0;
pub const BURST: f64 = 400_000.0;
const DEMAND_RATIO: f64 = 3.0;
const REQUEST_UNITS: f64 = 1_000.0;

/// How long an instance's entry in the store outlives its last renewal.
const LEASE_MS: u64 = 12_000;

struct Instance {
    core: Core,
    // Neither runs nor keeps its state before this time.
    down_until: u64,
    // Neither runs nor receives before this time.
    frozen_until: u64,
    // Exchanges no messages with instances of other groups, and reaches no store, before this time.
    cut_until: u64,
    group: usize,
    renewed_at: u64,
    listed: bool,
    known_changes: usize,
}

/// A fleet of instances.
pub struct Fleet {
    rng: ChaCha8Rng,
    now: u64,
    instances: Vec<Instance>,
    changes: Vec<StoreUpdate>,
    reports: Vec<(u64, usize, usize, Report)>,
    // Time and units of each grant.
    grants: Vec<(u64, f64)>,
    starts: u64,
}

impl Fleet {
    /// Starts a fleet.
    pub fn new(seed: u64, size: usize) -> Self {
        let mut fleet = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            instances: Vec::new(),
            changes: Vec::new(),
            reports: Vec::new(),
            grants: Vec::new(),
            starts: 0,
        };
        for index in 0..size {
            fleet.changes.push(entry(index));
        }
        for index in 0..size {
            let core = fleet.start_core(index);
            let known_changes = fleet.changes.len();
            fleet.instances.push(Instance {
                core,
                down_until: 0,
                frozen_until: 0,
                cut_until: 0,
                group: 0,
                renewed_at: 0,
                listed: true,
                known_changes,
            });
        }
        fleet
    }

    /// Runs the simulation until a time.
    pub fn run(&mut self, end: u64) {
        while self.now < end {
            self.now += STEP_MS;
            self.inject_faults();
            self.update_store();
            self.deliver_reports();
            for index in 0..self.instances.len() {
                self.step(index);
            }
        }
    }

    /// Returns the window in which the most units were granted, by its start, and how many.
    pub fn most_in_window(&self) -> (u64, f64) {
        most_granted_in_window(&self.grants)
    }

    fn start_core(&mut self, index: usize) -> Core {
        self.starts += 1;
        let now = Millis(self.now);
        let mut core = Core::new(identity(&format!("i{index}"), self.starts));
        let mut updates = self.changes.clone();
        updates.push(StoreUpdate::Endpoint(endpoint("e1", 10_000)));
        core.apply_updates(now, (self.changes.len() as u64).into(), updates);
        core.configure(now, configuration(1, organisation(RATE, BURST)));
        core
    }

    fn inject_faults(&mut self) {
        let size = self.instances.len();
        if self.rng.random_bool(0.002) {
            // Cuts some instances off from all others, together or each by itself.
            let share = self.rng.random_range(0.02..0.5);
            let until = self.now + self.rng.random_range(500..20_000);
            let alone = self.rng.random();
            for index in 0..size {
                if self.rng.random_bool(share) {
                    self.instances[index].cut_until = until;
                    self.instances[index].group = if alone { index + 1 } else { 1 };
                }
            }
        }
        if self.rng.random_bool(0.002) {
            let share = self.rng.random_range(0.02..0.4);
            let until = self.now + self.rng.random_range(200..16_000);
            for instance in &mut self.instances {
                if self.rng.random_bool(share) {
                    instance.frozen_until = until;
                }
            }
        }
        if self.rng.random_bool(0.001_5) {
            let share = self.rng.random_range(0.1..1.0);
            let until = self.now + self.rng.random_range(300..3_000);
            for index in 0..size {
                if self.rng.random_bool(share) {
                    self.instances[index].down_until = until;
                }
            }
        }
    }

    // Renews and removes entries, and lets instances read the changes.
    fn update_store(&mut self) {
        let now = self.now;
        for (index, instance) in self.instances.iter_mut().enumerate() {
            let reaches = instance.runs(now) && instance.cut_until <= now;
            if reaches && now >= instance.renewed_at + 4_000 {
                instance.renewed_at = now;
                if !instance.listed {
                    instance.listed = true;
                    self.changes.push(entry(index));
                }
            }
            if instance.listed && now >= instance.renewed_at + LEASE_MS {
                instance.listed = false;
                let name = format!("i{index}");
                self.changes.push(StoreUpdate::InstanceRemoved(name));
            }
        }
    }

    fn step(&mut self, index: usize) {
        let now = self.now;
        if self.instances[index].down_until > now {
            self.instances[index].known_changes = usize::MAX;
            return;
        }
        if self.instances[index].known_changes == usize::MAX {
            if self.instances[index].cut_until > now {
                return;
            }
            self.instances[index].core = self.start_core(index);
            self.instances[index].known_changes = self.changes.len();
        }
        if !self.instances[index].runs(now) {
            return;
        }
        self.read_store(index);
        let time = Millis(now);
        if now.is_multiple_of(SWEEP_INTERVAL_MS) {
            self.instances[index].core.sweep(time);
        }
        self.send_requests(index);
        if now.is_multiple_of(REPORT_INTERVAL_MS) {
            self.send_reports(index);
        }
    }

    fn read_store(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        let time = Millis(self.now);
        if instance.cut_until > self.now {
            instance.core.store_call_failed(time);
            return;
        }
        instance.core.store_call_succeeded();
        let known = instance.known_changes;
        if known < self.changes.len() && self.rng.random_bool(0.03) {
            let revision = self.changes.len() as u64;
            let updates = self.changes[known..].to_vec();
            instance.core.apply_updates(time, revision.into(), updates);
            instance.known_changes = self.changes.len();
        }
    }

    fn send_requests(&mut self, index: usize) {
        let size = self.instances.len() as f64;
        let mean = RATE * DEMAND_RATIO / REQUEST_UNITS / size * STEP_MS as f64 / 1_000.0;
        let count = mean as usize + usize::from(self.rng.random_bool(mean.fract()));
        for _ in 0..count {
            let sample = self.rng.random();
            let incoming = IncomingRequest {
                id_hash: sample,
                ..request("/safe/x")
            };
            let core = &mut self.instances[index].core;
            if core.route(Millis(self.now), incoming).is_ok() {
                self.grants.push((self.now, REQUEST_UNITS));
            }
        }
    }

    fn send_reports(&mut self, index: usize) {
        let full = self.rng.random_bool(0.2);
        let core = &mut self.instances[index].core;
        let report = core.next_report(Millis(self.now), full);
        let reporting = core.peers().fresh(Millis(self.now));
        let reporting = reporting.map(|peer| peer.info.location.peer_address.clone());
        let mut addresses: BTreeSet<String> = reporting.collect();
        if full {
            addresses.append(&mut core.discovery_addresses());
        }
        let peers = addresses.iter().map(|it| instance_at(it));
        for to in peers.filter(|it| *it != index) {
            if !self.rng.random_bool(0.02) {
                let arrives_at = self.now + self.rng.random_range(1..20);
                self.reports.push((arrives_at, index, to, report.clone()));
            }
        }
    }

    fn deliver_reports(&mut self) {
        let now = self.now;
        let (arrived, in_flight) = std::mem::take(&mut self.reports)
            .into_iter()
            .partition(|it: &(u64, usize, usize, Report)| it.0 <= now);
        self.reports = in_flight;
        for (_, from, to, report) in arrived {
            let group = |it: &Instance| if it.cut_until > now { it.group } else { 0 };
            let connected = group(&self.instances[from]) == group(&self.instances[to]);
            let receiver = &mut self.instances[to];
            if connected && receiver.runs(now) && receiver.known_changes != usize::MAX {
                receiver.core.receive_report(Millis(now), report);
            }
        }
    }
}

impl Instance {
    fn runs(&self, now: u64) -> bool {
        self.down_until <= now && self.frozen_until <= now
    }
}

fn entry(index: usize) -> StoreUpdate {
    let name = format!("i{index}");
    StoreUpdate::Instance(name.clone(), location(&name, "a"))
}

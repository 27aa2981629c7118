//! One seeded run: real processes, callers, and faults that overlap.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;

use crate::Endpoint;
use crate::Instance;
use crate::Proxy;
use crate::Store;
use crate::checker::Checker;
use crate::client;
use crate::configuration;
use crate::instance::http_get;
use crate::proxy::Fault;
use crate::store::Availability;

const CALLER_COUNT: u64 = 6;

/// How many processes and endpoints a run has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetSize {
    /// Processes.
    pub instances: usize,
    /// Endpoints.
    pub endpoints: usize,
}

impl FleetSize {
    /// A fleet of one shard, in which each instance watches the store.
    pub const ONE_SHARD: Self = Self {
        instances: 3,
        endpoints: 4,
    };

    /// A fleet of two shards, in each of which one instance watches the store for the others.
    pub const TWO_SHARDS: Self = Self {
        instances: 14,
        endpoints: 8,
    };
}

/// How long an instance has to have been without faults to be held to the time in which changes are in
/// force, and that time: what operators of large fleets count on.
const STABLE_PERIOD: Duration = Duration::from_secs(5);
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(4);

/// The versions of endpoints, by turns. The first endpoint of each never leaves.
const ENDPOINT_VERSIONS: [&str; 2] = ["v1", "v2"];

/// Faults in a run, and the longest pause between two.
const FAULT_COUNT: usize = 25;
const MAX_PAUSE_MS: u64 = 250;

/// What a run showed.
#[derive(Debug)]
pub struct RunReport {
    /// Answers that were successes.
    pub served: usize,
    /// Callers that got anything else.
    pub unserved: usize,
    /// States of rollouts that were written.
    pub rollout_states: usize,
    /// Each broken promise, in words.
    pub violations: Vec<String>,
}

struct Fleet {
    store: Store,
    endpoints: Vec<Endpoint>,
    endpoint_proxies: Vec<Proxy>,
    store_proxies: Vec<Proxy>,
    instances: Vec<Instance>,
    version: u64,
}

/// Plays the run of a seed with gateway processes of this program.
///
/// # Panics
///
/// If the machine cannot run it: no ports, no processes.
pub fn run_seed(seed: u64, program: &Path, size: FleetSize) -> RunReport {
    let mut world = Fleet::start(program, size);
    let checker = Arc::new(Checker::default());
    let stop = Arc::new(AtomicBool::new(false));
    let addresses: Vec<SocketAddr> = world.instances.iter().map(|it| it.caller_address).collect();
    let callers: Vec<_> = (0..CALLER_COUNT)
        .map(|number| {
            let (checker, stop, addresses) = (checker.clone(), stop.clone(), addresses.clone());
            thread::spawn(move || client::run_caller(seed, number, &addresses, &checker, &stop))
        })
        .collect();
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    for _ in 0..FAULT_COUNT {
        world.inject_fault(&mut rng);
        thread::sleep(Duration::from_millis(rng.random_range(0..MAX_PAUSE_MS)));
    }
    world.clear_faults();
    let mut broken = world.check_recovery();
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        if caller.join().is_err() {
            broken.push("a caller of the soak failed".to_owned());
        }
    }
    broken.extend(checker.violations(&world.endpoints));
    broken.extend(check_rollout_states(&world.store.rollout_states()));
    let (good, other) = checker.result_counts();
    RunReport {
        served: good,
        unserved: other,
        rollout_states: world.store.rollout_states().len(),
        violations: broken,
    }
}

impl Fleet {
    fn start(program: &Path, size: FleetSize) -> Self {
        let store = Store::start();
        store.put("op/config", &configuration::text(3, "k1"));
        let endpoints: Vec<Endpoint> = (0..size.endpoints)
            .map(|at| {
                Endpoint::start_with_version(&format!("e{at}"), Some(ENDPOINT_VERSIONS[at % 2]))
            })
            .collect();
        let endpoint_proxies: Vec<Proxy> = endpoints
            .iter()
            .map(|it| Proxy::start(it.address))
            .collect();
        for (endpoint, proxy) in endpoints.iter().zip(&endpoint_proxies) {
            let entry = endpoint.entry_at(proxy.address, "ready");
            store.put(&format!("servers/{}", endpoint.id), &entry);
        }
        let store_proxies: Vec<Proxy> = (0..size.instances)
            .map(|_| Proxy::start(store.address))
            .collect();
        let instances = store_proxies
            .iter()
            .enumerate()
            .map(|(at, proxy)| {
                Instance::start(program, &format!("i{at}"), proxy.address).wait_until_ready()
            })
            .collect();
        Self {
            store,
            endpoints,
            endpoint_proxies,
            store_proxies,
            instances,
            version: 3,
        }
    }

    fn inject_fault(&mut self, rng: &mut ChaCha8Rng) {
        let at = rng.random_range(0..self.instances.len());
        match rng.random_range(0..11) {
            0 => self.instances[at].send_signal(Signal::STOP),
            1 | 2 => self
                .instances
                .iter()
                .for_each(|it| it.send_signal(Signal::CONT)),
            3 => {
                self.instances[at].kill();
                self.instances[at].restart();
            }
            4 => self.instances[at].send_signal(Signal::TERM),
            5 => {
                for instance in &mut self.instances {
                    instance.restart_if_exited();
                }
                self.instances[at].send_signal(Signal::HUP);
            }
            6 => set_random_fault(&self.store_proxies, rng),
            7 => set_random_fault(&self.endpoint_proxies, rng),
            8 => {
                let moods = [
                    Availability::Unavailable,
                    Availability::Unresponsive,
                    Availability::Available,
                    Availability::Available,
                ];
                self.store
                    .set_availability(*moods.choose(rng).unwrap_or(&moods[0]));
            }
            9 => self.change_rollout_order(rng),
            _ => self.update_store(rng),
        }
    }

    // The operator orders another version, or takes the order away.
    fn change_rollout_order(&mut self, rng: &mut ChaCha8Rng) {
        if rng.random_bool(0.2) {
            self.store.remove("op/rollout/lm");
            return;
        }
        let version = ENDPOINT_VERSIONS[rng.random_range(0..2)];
        let seconds = rng.random_range(1..5);
        let text = format!(r#"{{"Service":"lm","To":"{version}","DurationS":{seconds}}}"#);
        self.store.put("op/rollout/lm", &text);
    }

    // The configuration or an endpoint's state changes, or the store forgets its history.
    fn update_store(&mut self, rng: &mut ChaCha8Rng) {
        let endpoint = rng.random_range(0..self.endpoints.len());
        let state = if endpoint > 1 && rng.random() {
            "draining"
        } else {
            "ready"
        };
        let (id, proxy) = (
            &self.endpoints[endpoint].id,
            &self.endpoint_proxies[endpoint],
        );
        let entry = self.endpoints[endpoint].entry_at(proxy.address, state);
        self.store.put(&format!("servers/{id}"), &entry);
        self.version += 1;
        self.store
            .put("op/config", &configuration::text(self.version, "k1"));
        if rng.random() {
            self.store.compact();
        }
    }

    fn clear_faults(&mut self) {
        self.store.set_availability(Availability::Available);
        for proxy in self.store_proxies.iter().chain(&self.endpoint_proxies) {
            proxy.set_fault(Fault::None);
        }
        for instance in &mut self.instances {
            instance.send_signal(Signal::CONT);
            instance.restart_if_exited();
        }
    }

    // After all faults every instance serves again within some seconds.
    fn check_recovery(&mut self) -> Vec<String> {
        let mut broken = Vec::new();
        for number in 0..self.instances.len() {
            let served = (0..200).any(|_| {
                thread::sleep(Duration::from_millis(50));
                self.instances[number].restart_if_exited();
                self.instances[number].serves_requests()
            });
            if !served {
                broken.push(format!("instance {number} serves no more after the faults"));
            }
        }
        broken.extend(self.check_propagation());
        broken
    }

    // Waits until all have run without a fault for some time: one that was told to stop may take a while.
    fn wait_until_stable(&mut self) {
        let mut since = Instant::now();
        while since.elapsed() < STABLE_PERIOD {
            thread::sleep(Duration::from_millis(50));
            for instance in &mut self.instances {
                if instance.restart_if_exited() {
                    since = Instant::now();
                }
            }
        }
    }

    // After all faults a change is in force everywhere in time, also at instances that take it from a peer.
    fn check_propagation(&mut self) -> Vec<String> {
        self.wait_until_stable();
        self.version += 1;
        self.store
            .put("op/config", &configuration::text(self.version, "k1"));
        thread::sleep(PROPAGATION_TIMEOUT);
        let lacks = |it: &&Instance| active_version(it) != Some(self.version);
        let late = self.instances.iter().filter(lacks);
        late.map(|it| {
            format!(
                "version {} is not in force at {}: {:?}",
                self.version,
                it.caller_address,
                active_version(it)
            )
        })
        .collect()
    }
}

// An order has one outcome: nothing is written after it while the order stands.
fn check_rollout_states(outcomes: &[(u64, String)]) -> Vec<String> {
    let mut broken = Vec::new();
    for pair in outcomes.windows(2) {
        let [(order, first), (next, second)] = pair else {
            continue;
        };
        let over = first.contains("completed") || first.contains("rolled_back");
        if *order > 0 && order == next && over && first != second {
            broken.push(format!("order {order} was {first} and then {second}"));
        }
    }
    broken
}

// The version that an instance has in force, by its metrics.
fn active_version(instance: &Instance) -> Option<u64> {
    let page = http_get(instance.metrics_address, "/metrics")?;
    let mut rows = page.lines().filter(|row| row.contains("siskinyoke_state"));
    let row = rows.find(|row| row.contains("what=\"configuration\""))?;
    row.rsplit(' ').next()?.trim().parse().ok()
}

fn set_random_fault(proxies: &[Proxy], rng: &mut ChaCha8Rng) {
    let harms = [
        Fault::None,
        Fault::None,
        Fault::DelayMs(30),
        Fault::DropAll,
        Fault::DropResponses,
        Fault::Reset,
    ];
    if let (Some(proxy), Some(harm)) = (proxies.choose(rng), harms.choose(rng)) {
        proxy.set_fault(*harm);
    }
}

//! A seeded run of gateway processes and callers under overlapping faults.

mod callers;
mod chat_service;
mod checks;
mod prompt_parts;
mod versions;

use std::collections::BTreeMap;
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
use crate::configuration;
use crate::endpoint::crash::CrashResponse;
use crate::poison;
use crate::proxy::Cut;
use crate::proxy::Fault;
use crate::run::chat_service::ChatService;
use crate::run::checks::check_rollout_statuses;
use crate::store::Availability;
use crate::store::Copy;

/// The size of a run's fleet, and what its endpoints do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetSize {
    /// The number of gateway processes.
    pub instances: usize,
    /// The number of endpoints.
    pub endpoints: usize,
    /// Whether endpoints leave, reject requests and restart at random.
    pub endpoint_steps: bool,
    /// Whether the store comes back from earlier copies at random.
    pub store_steps: bool,
    /// Whether instances lose their links to endpoints, endpoints bear few rejections, and requests
    /// with a part that crashes endpoints come for a while, at random.
    pub link_steps: bool,
    /// The number of endpoints of the first version of a service whose further versions join and leave
    /// while an instance does not see it, at random; 0 if there is no such service.
    pub chat_endpoints: usize,
}

impl FleetSize {
    /// A fleet of one shard, in which each instance watches the store.
    pub const ONE_SHARD: Self = Self {
        instances: 3,
        endpoints: 4,
        endpoint_steps: true,
        store_steps: true,
        link_steps: true,
        chat_endpoints: 1,
    };

    /// A fleet of two shards, in each of which one instance watches the store for the others.
    pub const TWO_SHARDS: Self = Self {
        instances: 14,
        endpoints: 8,
        endpoint_steps: true,
        store_steps: true,
        link_steps: true,
        chat_endpoints: 2,
    };
}

/// How long the store is away before it comes back from a copy.
const STORE_ABSENCE: Duration = Duration::from_millis(300);

/// The versions of the service, assigned to its endpoints in turn. The first endpoint of each is
/// never drained.
const SERVICE_VERSIONS: [&str; 2] = ["v1", "v2"];

/// Number of steps in a run, each of which is a fault, the end of one, or an update of the store.
const STEP_COUNT: usize = 25;

/// Upper bound of the pause after each step.
const MAX_PAUSE_MS: u64 = 250;

/// The result of a run.
#[derive(Debug)]
pub struct RunReport {
    /// How many requests got a response with status 200.
    pub served: usize,
    /// How many requests got any other response, or none.
    pub unserved: usize,
    /// How many streams were taken up by their callers.
    pub resumed: usize,
    /// How many of these went on.
    pub went_on: usize,
    /// How many rollout statuses were written to the store.
    pub rollout_statuses: usize,
    /// How often endpoints crashed because of a prompt part.
    pub crashes: usize,
    /// A description of each violated guarantee.
    pub violations: Vec<String>,
}

struct Fleet {
    store: Store,
    // The copy that the store comes back from next.
    copy: Copy,
    // What operators and endpoints wrote last, which they write again after a return from a copy.
    written: BTreeMap<String, Option<String>>,
    endpoints: Vec<Endpoint>,
    endpoint_proxies: Vec<Proxy>,
    store_proxies: Vec<Proxy>,
    instances: Vec<Instance>,
    configuration_version: u64,
    // Whether callers send requests with a part that crashes endpoints.
    poisoned: Arc<AtomicBool>,
    // Whether callers send requests that make endpoints fail.
    endpoint_failures: Arc<AtomicBool>,
    // The service whose versions come and go.
    chat: ChatService,
    // When a process last started, as of the last wait for all of them.
    stable_since: Instant,
}

/// Runs the given seed with processes of the given gateway program.
///
/// # Panics
///
/// If the machine has no free port or cannot start a process.
pub fn run_seed(seed: u64, program: &Path, size: FleetSize) -> RunReport {
    let mut fleet = Fleet::start(program, size);
    let checker = Arc::new(Checker::default());
    let stop = Arc::new(AtomicBool::new(false));
    let callers = fleet.start_callers(seed, &checker, &stop);
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    // The steps of endpoints have a stream of their own, so that seeds keep their other steps.
    let mut endpoint_rng = ChaCha8Rng::seed_from_u64(seed);
    endpoint_rng.set_stream(1);
    let mut store_rng = ChaCha8Rng::seed_from_u64(seed);
    store_rng.set_stream(2);
    let mut link_rng = ChaCha8Rng::seed_from_u64(seed);
    link_rng.set_stream(3);
    let mut poison_rng = ChaCha8Rng::seed_from_u64(seed);
    poison_rng.set_stream(4);
    let mut version_rng = ChaCha8Rng::seed_from_u64(seed);
    version_rng.set_stream(5);
    for _ in 0..STEP_COUNT {
        fleet.run_random_step(&mut rng);
        if size.endpoint_steps {
            fleet.run_endpoint_step(&mut endpoint_rng);
        }
        if size.store_steps {
            fleet.run_store_step(&mut store_rng);
        }
        if size.link_steps {
            fleet.run_link_step(&mut link_rng);
            fleet.run_poison_step(&mut poison_rng);
        }
        if size.chat_endpoints > 0 {
            fleet.run_version_step(&mut version_rng);
        }
        thread::sleep(Duration::from_millis(rng.random_range(0..MAX_PAUSE_MS)));
    }
    fleet.clear_faults();
    let mut violations = fleet.check_recovery(&mut version_rng);
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        if caller.join().is_err() {
            violations.push("a caller thread panicked".to_owned());
        }
    }
    violations.extend(checker.violations(&fleet.endpoints));
    violations.extend(check_rollout_statuses(&fleet.store.rollout_statuses()));
    let (served, unserved) = checker.result_counts();
    let (resumed, went_on) = checker.stream_counts();
    RunReport {
        served,
        unserved,
        resumed,
        went_on,
        rollout_statuses: fleet.store.rollout_statuses().len(),
        crashes: fleet
            .endpoints
            .iter()
            .map(|it| it.crash_times().len())
            .sum(),
        violations,
    }
}

impl Fleet {
    fn start(program: &Path, size: FleetSize) -> Self {
        let store = Store::start();
        let mut chat = ChatService::default();
        if size.chat_endpoints > 0 {
            chat.join(size.chat_endpoints);
            store.put("op/config", &configuration::text_with_chat(3, "k1"));
        } else {
            store.put("op/config", &configuration::text(3, "k1"));
        }
        for (key, entry) in chat.entries("ready") {
            store.put(&key, &entry);
        }
        let endpoints: Vec<Endpoint> = (0..size.endpoints)
            .map(|i| Endpoint::start_with_version(&format!("e{i}"), Some(SERVICE_VERSIONS[i % 2])))
            .collect();
        for (index, endpoint) in endpoints.iter().enumerate() {
            let responses = [CrashResponse::Chunked, CrashResponse::Unmarked];
            endpoint.set_poisoned_parts(&[poison::POISONED_PART], responses[index % 2]);
        }
        let endpoint_proxies: Vec<Proxy> = endpoints
            .iter()
            .map(|endpoint| Proxy::start(endpoint.address))
            .collect();
        for (endpoint, proxy) in endpoints.iter().zip(&endpoint_proxies) {
            let entry = endpoint.entry_at(proxy.address, "ready");
            store.put(&format!("servers/{}", endpoint.id), &entry);
        }
        let store_proxies: Vec<Proxy> = (0..size.instances)
            .map(|_| Proxy::start(store.address))
            .collect();
        let written = endpoints
            .iter()
            .zip(&endpoint_proxies)
            .map(|(endpoint, proxy)| {
                let key = format!("servers/{}", endpoint.id);
                (key, endpoint.entry_at(proxy.address, "ready"))
            })
            .chain(chat.entries("ready"))
            .map(|(key, entry)| (key, Some(entry)))
            .collect();
        let instances = store_proxies
            .iter()
            .enumerate()
            .map(|(i, proxy)| {
                Instance::start(program, &format!("i{i}"), proxy.address).wait_until_ready()
            })
            .collect();
        Self {
            copy: store.copy(),
            store,
            written,
            endpoints,
            endpoint_proxies,
            store_proxies,
            instances,
            configuration_version: 3,
            poisoned: Arc::default(),
            endpoint_failures: Arc::new(AtomicBool::new(true)),
            chat,
            stable_since: Instant::now(),
        }
    }

    // Writes a value, or removes the key.
    fn write(&mut self, key: &str, value: Option<String>) {
        match &value {
            Some(value) => self.store.put(key, value),
            None => self.store.remove(key),
        }
        self.written.insert(key.to_owned(), value);
    }

    // Lets the store come back from a copy. Operators and endpoints write again what it has lost,
    // and what they had written before.
    fn restore_store(&mut self) {
        self.store.set_availability(Availability::Unavailable);
        thread::sleep(STORE_ABSENCE);
        self.store.restore(self.copy.clone());
        self.store.set_availability(Availability::Available);
        for (key, value) in self.written.clone() {
            self.write(&key, value);
        }
    }

    // Takes a copy of the store, or lets it come back from the last one.
    fn run_store_step(&mut self, rng: &mut ChaCha8Rng) {
        match rng.random_range(0..10) {
            0 => self.copy = self.store.copy(),
            1 => self.restore_store(),
            _ => {}
        }
    }

    // Cuts an instance off from all endpoints, ends that, or lets an endpoint bear few rejections.
    fn run_link_step(&mut self, rng: &mut ChaCha8Rng) {
        let index = rng.random_range(0..self.instances.len());
        match rng.random_range(0..6) {
            0 => {
                let cuts = [Cut::Silent, Cut::Reset, Cut::RefuseNew];
                self.set_cut(index, cuts.choose(rng).copied());
            }
            1 | 2 => self.set_cut(index, None),
            3 => {
                let limit = rng.random_bool(0.5).then(|| rng.random_range(0..4));
                if let Some(endpoint) = self.endpoints.choose(rng) {
                    endpoint.set_brittle(limit);
                }
            }
            _ => {}
        }
    }

    // Begins or ends requests with a part that crashes endpoints.
    fn run_poison_step(&mut self, rng: &mut ChaCha8Rng) {
        self.register_returned();
        match rng.random_range(0..40) {
            0 | 1 => self.poisoned.store(true, Ordering::Relaxed),
            2 => self.poisoned.store(false, Ordering::Relaxed),
            _ => {}
        }
    }

    fn set_cut(&self, index: usize, cut: Option<Cut>) {
        let source = self.instances[index].caller_address.ip();
        for proxy in &self.endpoint_proxies {
            proxy.set_cut(source, cut);
        }
    }

    // Injects a random fault, ends one, or writes a random update to the store.
    fn run_random_step(&mut self, rng: &mut ChaCha8Rng) {
        let index = rng.random_range(0..self.instances.len());
        match rng.random_range(0..11) {
            0 => self.instances[index].send_signal(Signal::STOP),
            1 | 2 => self
                .instances
                .iter()
                .for_each(|instance| instance.send_signal(Signal::CONT)),
            3 => {
                self.instances[index].kill();
                self.instances[index].restart();
            }
            4 => self.instances[index].send_signal(Signal::TERM),
            5 => {
                for instance in &mut self.instances {
                    instance.restart_if_exited();
                }
                self.instances[index].send_signal(Signal::HUP);
            }
            6 => set_random_fault(&self.store_proxies, rng),
            7 => set_random_fault(&self.endpoint_proxies, rng),
            8 => {
                let availabilities = [
                    Availability::Unavailable,
                    Availability::Unresponsive,
                    Availability::Available,
                    Availability::Available,
                ];
                self.store
                    .set_availability(*availabilities.choose(rng).unwrap_or(&availabilities[0]));
            }
            9 => self.change_rollout_order(rng),
            _ => self.update_store(rng),
        }
    }

    // Writes a rollout order for a random version, or removes the order.
    fn change_rollout_order(&mut self, rng: &mut ChaCha8Rng) {
        if rng.random_bool(0.2) {
            self.write("op/rollout/lm", None);
            return;
        }
        let version = SERVICE_VERSIONS[rng.random_range(0..2)];
        let seconds = rng.random_range(1..5);
        let text = format!(r#"{{"Service":"lm","To":"{version}","DurationS":{seconds}}}"#);
        self.write("op/rollout/lm", Some(text));
    }

    // Writes a random endpoint's state and a new configuration version, and may compact the store.
    fn update_store(&mut self, rng: &mut ChaCha8Rng) {
        let index = rng.random_range(0..self.endpoints.len());
        let state = if index > 1 && rng.random() {
            "draining"
        } else {
            "ready"
        };
        let (id, proxy) = (&self.endpoints[index].id, &self.endpoint_proxies[index]);
        let entry = self.endpoints[index].entry_at(proxy.address, state);
        let key = format!("servers/{id}");
        self.write(&key, Some(entry));
        self.write_configuration();
        if rng.random() {
            self.store.compact();
        }
    }

    // Lets an endpoint say in its responses that it is leaving, reject requests or restart.
    fn run_endpoint_step(&mut self, rng: &mut ChaCha8Rng) {
        let index = rng.random_range(0..self.endpoints.len());
        let endpoint = &self.endpoints[index];
        match rng.random_range(0..12) {
            0 if index > 1 => endpoint.leave(),
            1 => endpoint.reject_for(Duration::from_millis(rng.random_range(100..3_000))),
            2 => self.restart_endpoint(index),
            _ => {}
        }
    }

    // Starts an endpoint anew under its ID.
    fn restart_endpoint(&mut self, index: usize) {
        let endpoint = &self.endpoints[index];
        endpoint.restart();
        let entry = endpoint.entry_at(self.endpoint_proxies[index].address, "ready");
        let key = format!("servers/{}", endpoint.id);
        self.write(&key, Some(entry));
    }

    // Writes the next version of the configuration.
    fn write_configuration(&mut self) {
        self.configuration_version += 1;
        let text = if self.chat.is_used() {
            configuration::text_with_chat(self.configuration_version, "k1")
        } else {
            configuration::text(self.configuration_version, "k1")
        };
        self.write("op/config", Some(text));
    }

    fn clear_faults(&mut self) {
        for index in 0..self.instances.len() {
            self.set_cut(index, None);
        }
        for endpoint in &self.endpoints {
            endpoint.set_brittle(None);
        }
        self.register_returned();
        self.store.set_availability(Availability::Available);
        for proxy in self.store_proxies.iter().chain(&self.endpoint_proxies) {
            proxy.set_fault(Fault::None);
        }
        for instance in &mut self.instances {
            instance.send_signal(Signal::CONT);
            instance.restart_if_exited();
        }
    }
}

// Sets a random fault, or none, at a random proxy.
fn set_random_fault(proxies: &[Proxy], rng: &mut ChaCha8Rng) {
    let faults = [
        Fault::None,
        Fault::None,
        Fault::DelayMs(30),
        Fault::DropAll,
        Fault::DropResponses,
        Fault::Reset,
    ];
    if let (Some(proxy), Some(fault)) = (proxies.choose(rng), faults.choose(rng)) {
        proxy.set_fault(*fault);
    }
}

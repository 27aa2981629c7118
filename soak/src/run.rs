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
use crate::instance::get;
use crate::proxy::Harm;
use crate::store::Mood;

const CALLERS: u64 = 6;

/// How many processes and endpoints a run has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Size {
    /// Processes.
    pub instances: usize,
    /// Endpoints.
    pub endpoints: usize,
}

impl Size {
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
const STABLE: Duration = Duration::from_secs(5);
const IN_FORCE: Duration = Duration::from_secs(4);

/// The versions of endpoints, by turns. The first endpoint of each never leaves.
const VERSIONS: [&str; 2] = ["v1", "v2"];

/// Faults in a run, and the longest pause between two.
const FAULTS: usize = 25;
const PAUSE: u64 = 250;

/// What a run showed.
#[derive(Debug)]
pub struct Verdict {
    /// Answers that were successes.
    pub good: usize,
    /// Callers that got anything else.
    pub other: usize,
    /// States of rollouts that were written.
    pub states: usize,
    /// Each broken promise, in words.
    pub broken: Vec<String>,
}

struct World {
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
pub fn play(seed: u64, program: &Path, size: Size) -> Verdict {
    let mut world = World::start(program, size);
    let checker = Arc::new(Checker::default());
    let stop = Arc::new(AtomicBool::new(false));
    let addresses: Vec<SocketAddr> = world.instances.iter().map(|it| it.callers).collect();
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let (checker, stop, addresses) = (checker.clone(), stop.clone(), addresses.clone());
            thread::spawn(move || client::send_all(seed, number, &addresses, &checker, &stop))
        })
        .collect();
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    for _ in 0..FAULTS {
        world.harm(&mut rng);
        thread::sleep(Duration::from_millis(rng.random_range(0..PAUSE)));
    }
    world.heal();
    let mut broken = world.recover();
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        if caller.join().is_err() {
            broken.push("a caller of the soak failed".to_owned());
        }
    }
    broken.extend(checker.broken(&world.endpoints));
    broken.extend(taken_back(&world.store.outcomes()));
    let (good, other) = checker.counts();
    Verdict {
        good,
        other,
        states: world.store.outcomes().len(),
        broken,
    }
}

impl World {
    fn start(program: &Path, size: Size) -> Self {
        let store = Store::start();
        store.put("op/config", &configuration::text(3, "k1"));
        let endpoints: Vec<Endpoint> = (0..size.endpoints)
            .map(|at| Endpoint::start_version(&format!("e{at}"), Some(VERSIONS[at % 2])))
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
            .map(|(at, proxy)| Instance::start(program, &format!("i{at}"), proxy.address).ready())
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

    fn harm(&mut self, rng: &mut ChaCha8Rng) {
        let at = rng.random_range(0..self.instances.len());
        match rng.random_range(0..11) {
            0 => self.instances[at].signal(Signal::STOP),
            1 | 2 => self.instances.iter().for_each(|it| it.signal(Signal::CONT)),
            3 => {
                self.instances[at].kill();
                self.instances[at].restart();
            }
            4 => self.instances[at].signal(Signal::TERM),
            5 => {
                for instance in &mut self.instances {
                    instance.restart_if_gone();
                }
                self.instances[at].signal(Signal::HUP);
            }
            6 => set_one(&self.store_proxies, rng),
            7 => set_one(&self.endpoint_proxies, rng),
            8 => {
                let moods = [Mood::Busy, Mood::Silent, Mood::Well, Mood::Well];
                self.store.set_mood(*moods.choose(rng).unwrap_or(&moods[0]));
            }
            9 => self.order(rng),
            _ => self.change(rng),
        }
    }

    // The operator orders another version, or takes the order away.
    fn order(&mut self, rng: &mut ChaCha8Rng) {
        if rng.random_bool(0.2) {
            self.store.remove("op/rollout/lm");
            return;
        }
        let version = VERSIONS[rng.random_range(0..2)];
        let seconds = rng.random_range(1..5);
        let text = format!(r#"{{"Service":"lm","To":"{version}","DurationS":{seconds}}}"#);
        self.store.put("op/rollout/lm", &text);
    }

    // The configuration or an endpoint's state changes, or the store forgets its history.
    fn change(&mut self, rng: &mut ChaCha8Rng) {
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
            self.store.forget_history();
        }
    }

    fn heal(&mut self) {
        self.store.set_mood(Mood::Well);
        for proxy in self.store_proxies.iter().chain(&self.endpoint_proxies) {
            proxy.set(Harm::None);
        }
        for instance in &mut self.instances {
            instance.signal(Signal::CONT);
            instance.restart_if_gone();
        }
    }

    // After all faults every instance serves again within some seconds.
    fn recover(&mut self) -> Vec<String> {
        let mut broken = Vec::new();
        for number in 0..self.instances.len() {
            let served = (0..200).any(|_| {
                thread::sleep(Duration::from_millis(50));
                self.instances[number].restart_if_gone();
                self.instances[number].serves()
            });
            if !served {
                broken.push(format!("instance {number} serves no more after the faults"));
            }
        }
        broken.extend(self.change_again());
        broken
    }

    // Waits until all have run without a fault for some time: one that was told to stop may take a while.
    fn settle(&mut self) {
        let mut since = Instant::now();
        while since.elapsed() < STABLE {
            thread::sleep(Duration::from_millis(50));
            for instance in &mut self.instances {
                if instance.restart_if_gone() {
                    since = Instant::now();
                }
            }
        }
    }

    // After all faults a change is in force everywhere in time, also at instances that take it from a peer.
    fn change_again(&mut self) -> Vec<String> {
        self.settle();
        self.version += 1;
        self.store
            .put("op/config", &configuration::text(self.version, "k1"));
        thread::sleep(IN_FORCE);
        let lacks = |it: &&Instance| in_force(it) != Some(self.version);
        let late = self.instances.iter().filter(lacks);
        late.map(|it| {
            format!(
                "version {} is not in force at {}: {:?}",
                self.version,
                it.callers,
                in_force(it)
            )
        })
        .collect()
    }
}

// An order has one outcome: nothing is written after it while the order stands.
fn taken_back(outcomes: &[(u64, String)]) -> Vec<String> {
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
fn in_force(instance: &Instance) -> Option<u64> {
    let page = get(instance.metrics, "/metrics")?;
    let mut rows = page.lines().filter(|row| row.contains("siskinyoke_state"));
    let row = rows.find(|row| row.contains("what=\"configuration\""))?;
    row.rsplit(' ').next()?.trim().parse().ok()
}

fn set_one(proxies: &[Proxy], rng: &mut ChaCha8Rng) {
    let harms = [
        Harm::None,
        Harm::None,
        Harm::Delay(30),
        Harm::Silence,
        Harm::OneWay,
        Harm::Reset,
    ];
    if let (Some(proxy), Some(harm)) = (proxies.choose(rng), harms.choose(rng)) {
        proxy.set(*harm);
    }
}

//! A fleet before the store, in virtual time.

use std::collections::BTreeMap;

use rand::Rng;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

use crate::common::identity;
use crate::common::instance_number;
use crate::common::location;
use siskinyoke_base::Millis;
use siskinyoke_dispatch::Core;
use siskinyoke_dispatch::Report;
use siskinyoke_dispatch::StoreUpdate;
use siskinyoke_dispatch::watchers::StoreRole;

const STEP: u64 = 10;

/// How long an instance must have been well to be held to the bound, and the bound, in ms: of fleets of one shard and
/// of larger ones.
const STABLE: [u64; 2] = [3_000, 4_000];
const BOUND: [u64; 2] = [2_000, 3_000];

/// The most instances of a fleet of one shard.
const SMALL: usize = 11;

/// As in the gateway: how often whole reports go out and other ones, and how many go to other shards.
const WHOLE: u64 = 500;
const BEAT: u64 = 100;
const OTHERS: usize = 3;

/// As in the gateway: how long a silent call of the store is waited for, and a silent peer.
const SILENT: u64 = 1_500;
const MARGIN: u64 = 700;
const PEER: u64 = 1_000;
const AVOIDED: u64 = 3_000;

/// What goes wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trouble {
    /// Nothing.
    None,
    /// Freezes, kills, cuts, lost reports, and a store that some do not reach.
    Wild,
    /// A store that all find silent or refusing, time and again.
    Outages,
}

/// How the store treats an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Store {
    Well,
    Refuses,
    Silent,
}

struct Node {
    core: Core,
    // Frozen until then.
    frozen: u64,
    store: (Store, u64),
    // Since when it has been well.
    well: u64,
    watch: Option<Watch>,
    // No look at the watch before then.
    rests: u64,
    pause: u64,
    renews: u64,
    retry: u64,
    // When a renewal that was sent into silence is given up.
    unanswered: Option<u64>,
    // What is being taken from a peer: when, from whom.
    taking: Option<(u64, usize)>,
    // Who handed over nothing, and when.
    failed: Option<(usize, u64)>,
}

// A call that waits for changes.
#[derive(Clone, Copy)]
struct Watch {
    since: u64,
    held: u64,
    // Whether it was sent to a silent store, or met one since: it stays unanswered when the store is back.
    lost: bool,
}

struct Letter {
    due: u64,
    from: usize,
    to: usize,
    report: Report,
}

/// A fleet before the store.
pub struct Fleet {
    rng: ChaCha8Rng,
    trouble: Trouble,
    now: u64,
    nodes: Vec<Node>,
    letters: Vec<Letter>,
    // How the store treats everybody, and until when.
    outage: (Store, u64),
    // Nothing goes from one to the other until then.
    cuts: BTreeMap<(usize, usize), u64>,
    // When each revision was reached.
    history: Vec<u64>,
    /// Watches so far.
    pub calls: u64,
    /// Each broken promise, in words.
    pub broken: Vec<String>,
}

impl Fleet {
    /// Starts all instances.
    pub fn new(seed: u64, size: usize, trouble: Trouble) -> Self {
        let mut fleet = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            trouble,
            now: 0,
            nodes: Vec::new(),
            letters: Vec::new(),
            outage: (Store::Well, 0),
            cuts: BTreeMap::new(),
            history: vec![0, 0],
            calls: 0,
            broken: Vec::new(),
        };
        for at in 0..size {
            let node = fleet.start(at);
            fleet.nodes.push(node);
        }
        fleet
    }

    /// Plays so many ms.
    pub fn run(&mut self, length: u64) {
        while self.now < length {
            self.now += STEP;
            match self.trouble {
                Trouble::None => {}
                Trouble::Wild => self.harm(),
                Trouble::Outages => self.fail_store(),
            }
            // The operators cannot write either while nobody reaches the store.
            if self.now.is_multiple_of(1_000) && self.outage.1 <= self.now {
                self.history.push(self.now);
            }
            self.deliver();
            for at in 0..self.nodes.len() {
                if self.nodes[at].frozen <= self.now {
                    self.step(at);
                }
            }
            self.check();
        }
    }

    fn start(&mut self, at: usize) -> Node {
        let mut renews = self.now + self.rng.random_range(0..1_000);
        renews -= renews % STEP;
        Node {
            core: Core::new(identity(&format!("i{at}"), self.rng.random())),
            frozen: self.now + self.rng.random_range(0..30) / STEP * STEP,
            store: (Store::Well, 0),
            well: self.now,
            watch: None,
            rests: 0,
            pause: 100,
            renews,
            retry: 1_000,
            unanswered: None,
            taking: None,
            failed: None,
        }
    }

    fn revision(&self) -> u64 {
        self.history.len() as u64 - 1
    }

    fn harm(&mut self) {
        let count = self.nodes.len();
        let at = self.rng.random_range(0..count);
        let until = self.now + self.rng.random_range(300..6_000);
        if self.rng.random_bool(0.01) {
            self.nodes[at].frozen = self.nodes[at].frozen.max(until);
            self.nodes[at].well = self.nodes[at].well.max(until);
        }
        if self.rng.random_bool(0.005) {
            self.nodes[at] = self.start(at);
        }
        if self.rng.random_bool(0.02) {
            let store = if self.rng.random() {
                Store::Refuses
            } else {
                Store::Silent
            };
            self.nodes[at].store = (store, until.max(self.nodes[at].store.1));
            self.nodes[at].well = self.nodes[at].well.max(until);
        }
        if self.rng.random_bool(0.03) {
            let other = self.rng.random_range(0..count);
            self.cuts.insert((at, other), until);
            for node in [at, other] {
                self.nodes[node].well = self.nodes[node].well.max(until);
            }
        }
    }

    // Begins an outage now and then, with some calm between two.
    fn fail_store(&mut self) {
        let calm = 6_000;
        if self.now < self.outage.1 + calm || !self.rng.random_bool(0.002) {
            return;
        }
        let store = if self.rng.random_bool(0.7) {
            Store::Silent
        } else {
            Store::Refuses
        };
        let until = self.now + self.rng.random_range(200..8_000);
        self.outage = (store, until);
        for node in &mut self.nodes {
            node.well = node.well.max(until);
        }
    }

    fn cut(&self, from: usize, to: usize) -> bool {
        self.cuts
            .get(&(from, to))
            .is_some_and(|until| *until > self.now)
    }

    fn store(&self, at: usize) -> Store {
        let states = [self.outage, self.nodes[at].store];
        let bad = states.iter().find(|it| it.1 > self.now);
        bad.map_or(Store::Well, |it| it.0)
    }

    fn step(&mut self, at: usize) {
        let now = Millis(self.now);
        if self.now.is_multiple_of(200) {
            self.nodes[at].core.sweep(now);
            self.nodes[at].core.update_store_availability(now);
        }
        self.renew(at);
        self.take(at);
        self.watch(at);
        if (self.now + 10 * at as u64).is_multiple_of(BEAT) {
            self.tell(at);
        }
    }

    // The lease is renewed; that it is not shows that the store is out of reach.
    fn renew(&mut self, at: usize) {
        if self.nodes[at].unanswered.is_some_and(|due| due <= self.now) {
            return self.renewal_failed(at);
        }
        if self.nodes[at].renews > self.now {
            return;
        }
        match self.store(at) {
            Store::Well => {
                let node = &mut self.nodes[at];
                node.core.store_call_succeeded();
                node.retry = 1_000;
                let watching = node.watch.is_some();
                node.renews = self.now + if watching { 1_000 } else { 4_000 };
            }
            Store::Refuses => self.renewal_failed(at),
            Store::Silent => {
                let node = &mut self.nodes[at];
                node.unanswered = Some(self.now + SILENT);
                node.renews = u64::MAX;
            }
        }
    }

    fn renewal_failed(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        node.unanswered = None;
        node.core.store_call_failed(Millis(self.now));
        node.renews = self.now + node.retry;
        node.retry = (node.retry * 2).min(4_000);
        if node.watch.is_some() {
            self.fail(at);
        }
    }

    fn take(&mut self, at: usize) {
        let Some((due, from)) = self.nodes[at].taking else {
            return;
        };
        if due > self.now {
            return;
        }
        let silent = self.nodes[from].frozen > self.now || self.cut(at, from) || self.cut(from, at);
        if silent {
            if self.now >= due + PEER {
                let node = &mut self.nodes[at];
                node.taking = None;
                node.failed = Some((from, self.now));
                if node.watch.is_none() {
                    node.rests = self.now;
                }
            }
            return;
        }
        let revision = self.nodes[from].core.store_revision();
        let node = &mut self.nodes[at];
        node.taking = None;
        node.core
            .apply_updates(Millis(self.now), revision, Vec::new());
    }

    fn watch(&mut self, at: usize) {
        if self.nodes[at].rests > self.now {
            return;
        }
        if let Some(watch) = self.nodes[at].watch {
            return self.wait(at, watch);
        }
        if self.nodes[at].core.store_role(Millis(self.now)) == StoreRole::Follower {
            self.nodes[at].rests = self.now + 200;
            return;
        }
        // The first reading is none.
        self.calls += u64::from(self.nodes[at].core.store_revision() > 0);
        if self.store(at) == Store::Refuses {
            return self.fail(at);
        }
        let watch = Watch {
            since: self.now,
            held: self.nodes[at].core.watch_timeout().0,
            lost: false,
        };
        self.wait(at, watch);
    }

    fn wait(&mut self, at: usize, mut watch: Watch) {
        watch.lost |= self.store(at) == Store::Silent;
        self.nodes[at].watch = Some(watch);
        if watch.lost || self.store(at) == Store::Refuses {
            if self.now >= watch.since + watch.held + MARGIN {
                self.fail(at);
            }
            return;
        }
        let revision = self.revision();
        let first = self.nodes[at].core.store_revision() == 0;
        let count = if first { self.nodes.len() } else { 0 };
        let node = &mut self.nodes[at];
        let changed = revision > node.core.store_revision();
        if !changed && self.now < watch.since + watch.held {
            return;
        }
        node.watch = None;
        node.pause = 100;
        node.core.store_call_succeeded();
        if changed {
            let names = (0..count).map(|it| format!("i{it}"));
            let news = names.map(|it| StoreUpdate::Instance(it.clone(), location(&it, "a")));
            node.core
                .apply_updates(Millis(self.now), revision, news.collect());
            if !first {
                node.rests = self.now + node.core.update_batch_delay().0;
            }
        }
    }

    fn fail(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        node.watch = None;
        node.core.store_call_failed(Millis(self.now));
        node.rests = self.now + node.pause;
        node.pause = (node.pause * 2).min(500);
    }

    fn tell(&mut self, at: usize) {
        let whole = (self.now + 10 * at as u64).is_multiple_of(WHOLE);
        let report = self.nodes[at].core.next_report(Millis(self.now), whole);
        let listed = self.nodes[at].core.other_instances();
        let (members, others): (Vec<_>, Vec<_>) = listed.partition(|row| row.1);
        let members: Vec<usize> = members.iter().map(|row| instance_number(row.0)).collect();
        let others: Vec<usize> = others.iter().map(|row| instance_number(row.0)).collect();
        let some = others.choose_multiple(&mut self.rng, OTHERS).copied();
        let to: Vec<usize> = members.into_iter().chain(some.filter(|_| whole)).collect();
        for to in to {
            let lost = self.trouble == Trouble::Wild && self.rng.random_bool(0.05);
            if lost || self.cut(at, to) {
                continue;
            }
            let due = self.now + self.rng.random_range(1..30);
            let report = report.clone();
            self.letters.push(Letter {
                due,
                from: at,
                to,
                report,
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
            let node = &mut self.nodes[letter.to];
            if node.frozen > now {
                continue;
            }
            let revision = letter.report.revision;
            node.core.receive_report(Millis(now), letter.report);
            let avoided = node
                .failed
                .is_some_and(|it| it.0 == letter.from && now < it.1 + AVOIDED);
            let ahead = node.core.record_peer_revision(Millis(now), revision);
            if ahead && !avoided && node.taking.is_none() {
                let pause = if node.watch.is_some() { 150 } else { 30 };
                node.taking = Some((now + pause, letter.from));
            }
        }
    }

    // Whoever has been well for some time knows what was known to the store some time ago.
    fn check(&mut self) {
        let size = usize::from(self.nodes.len() > SMALL);
        let due = self.now.saturating_sub(BOUND[size]);
        let known = self.history.iter().filter(|at| **at <= due).count() as u64 - 1;
        for (at, node) in self.nodes.iter().enumerate() {
            let well = self.now >= node.well + STABLE[size];
            if well && node.core.store_revision() < known && self.broken.len() < 5 {
                let text = format!(
                    "{}: i{at} knows {} of {known}, watched by {}",
                    self.now,
                    node.core.store_revision(),
                    node.core.watcher(Millis(self.now)),
                );
                self.broken.push(text);
            }
        }
    }
}

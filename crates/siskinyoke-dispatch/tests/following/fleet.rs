//! Simulation of a fleet and its store in virtual time; all times are in ms.

mod checks;
mod configurations;
mod faults;
mod reports;
mod watches;

use std::collections::BTreeMap;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::common::configuration;
use crate::common::endpoint;
use crate::common::identity;
use crate::common::location;
use crate::common::organisation;
use crate::fleet::configurations::ConfigurationFetch;
use crate::links::Host;
use crate::links::Links;
use crate::links::TransferId;
use crate::store_history::StoreHistory;
use siskinyoke_base::Millis;
use siskinyoke_dispatch::Core;
use siskinyoke_dispatch::Report;
use siskinyoke_dispatch::StoreUpdate;
use siskinyoke_dispatch::configuration_sources::ConfigurationSources;

const STEP_MS: u64 = 10;

/// The capacities of the store's link and of the narrowest links of instances, in Mbit/s.
const STORE_LINK_MBPS: u32 = 1_000;
const INSTANCE_LINK_MBPS: u32 = 10;

/// How long an instance must have been healthy before the propagation bound applies to it, in
/// fleets of one shard and in larger ones.
const HEALTHY_PERIOD_MS: [u64; 2] = [3_000, 4_000];

/// The longest time in which a change must reach a healthy instance, in fleets of one shard and in
/// larger ones.
const PROPAGATION_BOUND_MS: [u64; 2] = [2_000, 3_000];

/// The largest number of instances that form a single shard.
const MAX_SINGLE_SHARD: usize = 11;

/// The intervals of full reports and of all reports, as in the gateway.
const FULL_REPORT_INTERVAL_MS: u64 = 500;
const REPORT_INTERVAL_MS: u64 = 100;

/// The number of instances of other shards that a full report goes to, as in the gateway.
const CROSS_SHARD_RECEIVERS: usize = 3;

/// The timeouts of calls to the store and to peers, and the time that a watch may take beyond its
/// timeout, as in the gateway.
const STORE_TIMEOUT_MS: u64 = 1_500;
const READ_TIMEOUT_MS: u64 = 1_000;

/// The size from which small changes are read while a response arrives, as in the gateway.
const LARGE_RESPONSE_BYTES: u32 = 64 * 1024;
const WATCH_MARGIN_MS: u64 = 700;
const PEER_TIMEOUT_MS: u64 = 1_000;

/// How often expired entries are removed, as in the gateway.
const SWEEP_INTERVAL_MS: u64 = 200;

/// The size of a small configuration in bytes.
const SMALL_CONFIGURATION: u32 = 20_000;

/// When large configurations are written, the second of two while the first is under way.
const CONFIGURATION_TIMES_MS: [u64; 4] = [4_010, 5_210, 9_260, 10_490];

/// The number of endpoints. One leaves with each revision, without having reported that it drains.
const ENDPOINT_COUNT: u64 = 70;

/// How long no changes are fetched from a peer after a fetch failed, as in the gateway.
const FAILED_PEER_BACKOFF_MS: u64 = 3_000;

/// The faults that are injected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Faults {
    /// No faults.
    None,
    /// Frozen and killed instances, cut links, lost reports, and a store that some instances cannot
    /// reach.
    Mixed,
    /// Repeated outages in which the store is unresponsive to all instances or rejects
    /// their calls.
    StoreOutages,
    /// An endpoint leaves every half second, and the configuration, of this many bytes from the start
    /// on, is replaced now and then, twice in a row. There are no faults.
    LargeChanges(u32),
    /// As above, but instances freeze.
    LargeChangesAndFreezes(u32),
}

impl Faults {
    // Returns the size of configurations if they are large.
    fn large_bytes(self) -> Option<u32> {
        match self {
            Self::LargeChanges(bytes) | Self::LargeChangesAndFreezes(bytes) => Some(bytes),
            Self::None | Self::Mixed | Self::StoreOutages => None,
        }
    }
}

/// How the store responds to an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StoreState {
    Healthy,
    Rejecting,
    Unresponsive,
}

struct Node {
    core: Core,
    // The instance does nothing before this time.
    frozen_until: u64,
    // How the store responds to this instance, and until when.
    store_state: (StoreState, u64),
    // When the last fault ended that affects this instance.
    healthy_since: u64,
    watch: Option<Watch>,
    // When the watch is processed next.
    watch_due: u64,
    watch_backoff: u64,
    renewal_due: u64,
    renewal_backoff: u64,
    // When a renewal without a response times out.
    renewal_timeout: Option<u64>,
    // The ongoing fetch of changes from a peer.
    fetch: Option<Fetch>,
    // The peer that the last fetch failed at, and when.
    failed_fetch: Option<(usize, u64)>,
    // The revision up to which the configuration in force is known to be the newest.
    configuration_revision: u64,
    sources: ConfigurationSources,
    // Whether a full report is sent at once.
    broadcast_due: bool,
    // The ongoing fetch of a configuration from a peer.
    configuration_fetch: Option<ConfigurationFetch>,
    retrying_fetch: bool,
}

// A call to a peer for its changes.
#[derive(Clone, Copy)]
struct Fetch {
    // When the call is sent.
    due: u64,
    from: usize,
    transfer: Option<Transfer>,
}

// A response on its way.
#[derive(Clone, Copy)]
struct Transfer {
    id: TransferId,
    // The revision that it leads to.
    revision: u64,
    // Whether small changes are read while it arrives.
    large: bool,
}

// A call to the store that waits for changes.
#[derive(Clone, Copy)]
struct Watch {
    started: u64,
    timeout: u64,
    // Whether the store was unresponsive at any time since the call began: it is then never
    // answered, even after the store recovers.
    lost: bool,
    // How often it was sent; more than once only after a failed call.
    sent: u32,
    // Whether it follows a failed call.
    probing: bool,
    // The revision that the response follows.
    known: u64,
    body_started: u64,
    transfer: Option<Transfer>,
}

struct InFlightReport {
    due: u64,
    from: usize,
    to: usize,
    report: Report,
}

/// A fleet and its store.
pub struct Fleet {
    rng: ChaCha8Rng,
    // Reports out of turn have a stream of their own, so that seeds keep their other draws.
    broadcast_rng: ChaCha8Rng,
    faults: Faults,
    now: u64,
    nodes: Vec<Node>,
    in_flight: Vec<InFlightReport>,
    // How the store responds to all instances, and until when.
    store_outage: (StoreState, u64),
    // Links from one instance to another that drop everything, and until when.
    cut_links: BTreeMap<(usize, usize), u64>,
    history: StoreHistory,
    links: Links,
    /// The number of watches so far.
    pub calls: u64,
    /// Descriptions of the violated bounds.
    pub violations: Vec<String>,
    /// Descriptions of endpoints that were used for too long after they left.
    pub late_departures: Vec<String>,
    /// Descriptions of instances that applied a configuration too late.
    pub late_configurations: Vec<String>,
}

impl Fleet {
    /// Starts all instances.
    pub fn new(seed: u64, size: usize, faults: Faults) -> Self {
        let mut fleet = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            broadcast_rng: ChaCha8Rng::seed_from_u64(!seed),
            faults,
            now: 0,
            nodes: Vec::new(),
            in_flight: Vec::new(),
            store_outage: (StoreState::Healthy, 0),
            cut_links: BTreeMap::new(),
            history: StoreHistory::new(faults.large_bytes().unwrap_or(SMALL_CONFIGURATION)),
            links: Links::new(STORE_LINK_MBPS, INSTANCE_LINK_MBPS),
            calls: 0,
            violations: Vec::new(),
            late_departures: Vec::new(),
            late_configurations: Vec::new(),
        };
        for index in 0..size {
            let node = fleet.start(index);
            fleet.nodes.push(node);
        }
        fleet
    }

    /// Runs the simulation until this time, in ms.
    pub fn run(&mut self, end: u64) {
        while self.now < end {
            self.now += STEP_MS;
            match self.faults {
                Faults::None | Faults::LargeChanges(_) => {}
                Faults::LargeChangesAndFreezes(_) => self.inject_freezes(),
                Faults::Mixed => self.inject_faults(),
                Faults::StoreOutages => self.inject_outage(),
            }
            // Operators cannot write to the store during an outage either.
            if self.store_outage.1 <= self.now {
                self.write_changes();
            }
            let (nodes, now) = (&self.nodes, self.now);
            self.links.advance(STEP_MS, |host| match host {
                Host::Store => true,
                Host::Instance(index) => nodes[index].frozen_until <= now,
            });
            self.deliver_reports();
            for index in 0..self.nodes.len() {
                if self.nodes[index].frozen_until <= self.now {
                    self.step(index);
                }
            }
            self.check_revisions();
            if self.now.is_multiple_of(100) {
                self.check_departures();
                self.check_configurations();
            }
        }
    }

    fn write_changes(&mut self) {
        let Some(bytes) = self.faults.large_bytes() else {
            if self.now.is_multiple_of(1_000) {
                self.history.remove_endpoint(self.now);
            }
            return;
        };
        if self.now.is_multiple_of(500) {
            self.history.remove_endpoint(self.now);
        }
        if CONFIGURATION_TIMES_MS.contains(&self.now) {
            self.history.replace_configuration(self.now, bytes);
        }
    }

    fn start(&mut self, index: usize) -> Node {
        let mut renewal_due = self.now + self.rng.random_range(0..1_000);
        renewal_due -= renewal_due % STEP_MS;
        Node {
            core: Core::new(identity(&format!("i{index}"), self.rng.random())),
            frozen_until: self.now + self.rng.random_range(0..30) / STEP_MS * STEP_MS,
            store_state: (StoreState::Healthy, 0),
            healthy_since: self.now,
            watch: None,
            watch_due: 0,
            watch_backoff: 100,
            renewal_due,
            renewal_backoff: 1_000,
            renewal_timeout: None,
            fetch: None,
            failed_fetch: None,
            configuration_revision: 0,
            sources: ConfigurationSources::default(),
            broadcast_due: false,
            configuration_fetch: None,
            retrying_fetch: false,
        }
    }

    fn step(&mut self, index: usize) {
        let now = Millis(self.now);
        if self.now.is_multiple_of(SWEEP_INTERVAL_MS) {
            self.nodes[index].core.sweep(now);
            self.nodes[index].core.update_store_availability(now);
        }
        self.step_renewal(index);
        self.step_fetch(index);
        self.step_configuration_fetch(index);
        self.step_watch(index);
        if (self.now + 10 * index as u64).is_multiple_of(REPORT_INTERVAL_MS) {
            let full = (self.now + 10 * index as u64).is_multiple_of(FULL_REPORT_INTERVAL_MS);
            self.send_reports(index, full);
        } else if std::mem::take(&mut self.nodes[index].broadcast_due) {
            std::mem::swap(&mut self.rng, &mut self.broadcast_rng);
            self.send_reports(index, true);
            std::mem::swap(&mut self.rng, &mut self.broadcast_rng);
        }
    }

    // Renews the lease; a failed renewal counts as a failed store call.
    fn step_renewal(&mut self, index: usize) {
        if self.nodes[index]
            .renewal_timeout
            .is_some_and(|due| due <= self.now)
        {
            return self.renewal_failed(index);
        }
        if self.nodes[index].renewal_due > self.now {
            return;
        }
        match self.store_state(index) {
            StoreState::Healthy => {
                let node = &mut self.nodes[index];
                node.core.store_call_succeeded();
                node.renewal_backoff = 1_000;
                let watching = node.watch.is_some();
                node.renewal_due = self.now + if watching { 1_000 } else { 4_000 };
            }
            StoreState::Rejecting => self.renewal_failed(index),
            StoreState::Unresponsive => {
                let node = &mut self.nodes[index];
                node.renewal_timeout = Some(self.now + STORE_TIMEOUT_MS);
                node.renewal_due = u64::MAX;
            }
        }
    }

    fn renewal_failed(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        node.renewal_timeout = None;
        node.core.store_call_failed(Millis(self.now));
        node.renewal_due = self.now + node.renewal_backoff;
        node.renewal_backoff = (node.renewal_backoff * 2).min(4_000);
        // Probes need no sign that the store is unresponsive.
        if node.watch.is_some_and(|it| !it.probing) {
            self.watch_failed(index);
        }
    }

    fn step_fetch(&mut self, index: usize) {
        let Some(mut fetch) = self.nodes[index].fetch else {
            return;
        };
        if fetch.due > self.now {
            return;
        }
        if self.now >= fetch.due + PEER_TIMEOUT_MS {
            return self.fetch_failed(index, fetch);
        }
        let from = fetch.from;
        let unreachable = self.nodes[from].frozen_until > self.now
            || self.is_cut(index, from)
            || self.is_cut(from, index);
        if unreachable {
            return;
        }
        if let Some(transfer) = fetch.transfer {
            if self.links.is_complete(transfer.id) {
                self.links.finish(transfer.id);
                self.nodes[index].fetch = None;
                if transfer.revision > self.nodes[index].core.store_revision().number {
                    self.apply_revisions(index, transfer.revision);
                }
                self.share_configuration_revision(from, index);
            }
            return;
        }
        let known = self.nodes[index].core.store_revision().number;
        let revision = self.nodes[from].core.store_revision().number;
        let bytes = self.history.peer_bytes(known, revision);
        let id = self
            .links
            .start(Host::Instance(from), Host::Instance(index), bytes);
        fetch.transfer = Some(Transfer {
            id,
            revision,
            large: false,
        });
        self.nodes[index].fetch = Some(fetch);
    }

    fn fetch_failed(&mut self, index: usize, fetch: Fetch) {
        if let Some(transfer) = fetch.transfer {
            self.links.finish(transfer.id);
        }
        let node = &mut self.nodes[index];
        node.fetch = None;
        node.failed_fetch = Some((fetch.from, self.now));
        if node.watch.is_none() {
            node.watch_due = self.now;
        }
    }

    // Applies the changes up to a revision other than those of the configuration. The first read
    // lists the instances and the endpoints that are left.
    fn apply_revisions(&mut self, index: usize, revision: u64) {
        let now = Millis(self.now);
        let count = self.nodes.len();
        let core = &mut self.nodes[index].core;
        core.update_store_availability(now);
        let known = core.store_revision().number;
        let updates: Vec<StoreUpdate> = if known == 0 {
            let names = (0..count).map(|it| format!("i{it}"));
            let instances = names.map(|it| StoreUpdate::Instance(it.clone(), location(&it, "a")));
            let endpoints = if self.faults == Faults::None {
                0
            } else {
                ENDPOINT_COUNT
            };
            let left = (2..endpoints).filter(|it| !self.history.has_left(*it, revision));
            let left = left.map(endpoint_id);
            let endpoints = left.map(|id| StoreUpdate::Endpoint(endpoint(&id, 1)));
            instances.chain(endpoints).collect()
        } else {
            let gone = self.history.departures(known, revision).map(endpoint_id);
            gone.map(StoreUpdate::EndpointRemoved).collect()
        };
        core.apply_updates(now, revision.into(), updates);
    }
}

// Returns the ID of the endpoint that leaves with a revision.
fn endpoint_id(revision: u64) -> String {
    format!("e{revision}")
}

fn endpoint_revision(id: &str) -> u64 {
    id.trim_start_matches('e').parse().expect("a number")
}

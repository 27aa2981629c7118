//! Which instances there are, and which of them share endpoints with this one.

use std::collections::BTreeSet;

use crate::cells;
use crate::core::Core;
use crate::directory;
use crate::report::Place;
use siskinyoke_base::Millis;

/// The fewest instances among which the retries beside the budget's ratio are shared out.
///
/// A few more than the smallest deployments have, as the list may lag behind machines added.
const FLEET: usize = 12;

/// The most instances of a fleet that looks for changes of the store as often as it can.
///
/// Each instance's calls cost the same, so that a large fleet has to make fewer of them.
const SMALL: usize = 16;

/// How long the store may hold a watch before it answers that nothing changed, in a small fleet and
/// in a large one.
///
/// A connection may go silent for good; this bounds how long that goes unnoticed.
const WATCH: [Millis; 2] = [Millis(3_500), Millis(7_000)];

/// How long changes of the store are gathered before the next look, in a small fleet and in a large
/// one.
///
/// Changes come in bursts: when a fleet starts, each instance's entry is a change that every other
/// one is told. Half a second at a time, seventy instances make less than half of the calls (8,200
/// on a quiet day before). What cannot wait, configurations and endpoints that leave, is told by
/// peers as well.
const GATHER: [Millis; 2] = [Millis(500), Millis(1_000)];

/// How long an instance that went still counts for the making of cells.
///
/// A restart takes some seconds. If cells changed with each one, a rolling restart of the fleet
/// would move endpoints several times a second, and no count of what runs there would hold.
const RESTART: Millis = Millis::from_secs(15);

/// Peers that one report names, so that it stays short.
const NAMED: usize = 8;

impl Core {
    /// Takes note of an instance's entry in the store.
    pub fn list(&mut self, name: &str, place: Place) {
        self.departed.remove(name);
        self.instances.put(name, place);
        self.settle();
    }

    /// Takes note that an instance's entry is gone.
    pub fn unlist(&mut self, now: Millis, name: &str) {
        self.departed.insert(name.to_owned(), now);
        self.instances.remove(now, name);
        self.settle();
    }

    /// Takes note of the instances that a whole reading of the store found.
    pub fn keep_listed(&mut self, now: Millis, found: &[String]) {
        self.instances.keep(now, found);
        self.settle();
    }

    /// Takes note that the store could not be reached.
    pub fn store_lost(&mut self) {
        self.registry.store_lost();
        self.instances.store_lost();
    }

    /// Takes note that the store answers again.
    pub fn store_back(&mut self, now: Millis) {
        self.registry.store_back(now);
        self.instances.store_back(now);
    }

    /// Returns the listed instances, with whether each belongs to this one's cell.
    pub fn listed(&self) -> impl Iterator<Item = (&Place, bool)> {
        let others = self.instances.iter().filter(|row| row.0 != self.me.name);
        others.map(|(name, place)| (place, self.mate(name)))
    }

    /// Chooses the instances that a caller of a data centre is told to use.
    pub fn addresses(&self, now: Millis, centre: &str) -> Vec<String> {
        let own = self.about(now);
        let peers = self
            .peers
            .fresh(now)
            .filter(|it| it.report.ready && !it.report.leaving);
        let mates = peers.map(|peer| &peer.about.place);
        let others = self.listed().filter(|row| !row.1).map(|row| row.0);
        let others = others.filter(|_| self.cells > 1);
        let ready = mates
            .chain(self.ready().then_some(&own.place))
            .chain(others);
        directory::choose(centre, ready)
    }

    /// Returns how long the store may hold a watch.
    pub fn watch(&self) -> Millis {
        WATCH[self.large()]
    }

    /// Returns how long changes of the store should be gathered before the next look.
    pub fn gather(&self) -> Millis {
        GATHER[self.large()]
    }

    fn large(&self) -> usize {
        usize::from(self.fleet().len() > SMALL)
    }

    // A few peers, others with each report, so that all get to know all.
    pub(super) fn inner_addresses(&self, now: Millis) -> Vec<String> {
        let all: Vec<&String> = self
            .peers
            .fresh(now)
            .map(|peer| &peer.about.place.inner)
            .collect();
        let skip = usize::try_from(self.number).unwrap_or(0) % all.len().max(1);
        all.iter()
            .cycle()
            .skip(skip)
            .take(all.len().min(NAMED))
            .map(|it| (*it).clone())
            .collect()
    }

    // The instances that cells are made of: those listed, and those that may be restarting.
    pub(super) fn fleet(&self) -> BTreeSet<&str> {
        let listed = self.instances.iter().map(|row| row.0);
        listed
            .chain(self.departed.keys().map(String::as_str))
            .collect()
    }

    // Finds out which cell of the fleet this instance belongs to.
    pub(super) fn settle(&mut self) {
        self.peers.listed(self.fleet().len());
        let cells = cells::count(self.fleet().len());
        let mut sizes = vec![0; cells];
        for name in self.fleet() {
            sizes[cells::home(name, cells)] += 1;
        }
        self.cell = cells::home(&self.me.name, cells);
        self.cells = cells;
        self.registry.settle(self.cell, sizes);
        if cells > 1 {
            let own = self.cell;
            self.peers.retain(|name| cells::home(name, cells) == own);
        }
    }

    pub(super) fn mate(&self, name: &str) -> bool {
        cells::home(name, self.cells) == self.cell
    }

    // The part of the retries beside the budget's ratio that is this instance's.
    pub(super) fn floor(&self) -> f64 {
        let fleet = self.instances.iter().count().max(FLEET);
        self.me.floor / 2.0 / f64::from(u32::try_from(fleet).unwrap_or(u32::MAX))
    }

    // Drops instances whose time is over.
    pub(super) fn sweep_fleet(&mut self, now: Millis) {
        let before = self.departed.len();
        self.departed.retain(|_, since| now.since(*since) < RESTART);
        if self.instances.sweep(now) || self.departed.len() < before {
            self.settle();
        }
    }
}

//! The other instances of the shard, as known from their reports.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::Report;
use crate::report::InstanceInfo;
use crate::report::WaitingRow;
use siskinyoke_base::Map;
use siskinyoke_base::Millis;

/// The maximum age of a report whose sender still counts as reporting.
///
/// Idle instances report ten times a second, so this tolerates four lost reports in a row.
pub(crate) const REPORT_TTL: Millis = Millis(450);

/// The maximum age of a report whose waiting requests still take precedence over local ones.
///
/// Under load reports arrive every 10 to 20 ms. A slot left free for a peer that does not use it
/// stays idle for at most this long.
const QUEUE_TTL: Millis = Millis(80);

/// How long an unresponsive peer still counts as part of the fleet.
///
/// It may be partitioned and still be admitting requests.
const PEER_RETENTION: Millis = Millis::from_secs(12);

/// One peer.
#[derive(Debug)]
pub struct Peer {
    /// Its latest report.
    pub report: Report,
    /// The latest information that it sent about itself.
    pub info: InstanceInfo,
    /// When the latest report arrived.
    pub received_at: Millis,
}

impl Peer {
    /// Returns whether the peer counts as reporting, by the age of its latest report.
    pub fn is_fresh(&self, now: Millis) -> bool {
        now.since(self.received_at) <= REPORT_TTL
    }
}

/// The effect of an incoming report.
#[derive(Debug, PartialEq, Eq)]
pub enum Received {
    /// None: the report is outdated, or its sender has not identified itself yet.
    Ignored,
    /// It updated a known peer.
    Update,
    /// It is the first from a new process; holds the incarnation that this replaces, if any.
    NewProcess(Option<u64>),
}

/// The other instances of the shard, as known from their reports.
#[derive(Debug, Default)]
pub struct Peers {
    by_incarnation: BTreeMap<u64, Peer>,
    listed_count: usize,
    // The names of the instances of this shard according to the store, including this one.
    listed_members: Vec<String>,
}

impl Peers {
    /// Sets the size of the fleet according to the store, including this instance.
    pub fn set_listed_count(&mut self, count: usize) {
        self.listed_count = count;
    }

    /// Sets the names of the instances of this shard according to the store.
    pub fn set_listed_members(&mut self, names: Vec<String>) {
        self.listed_members = names;
    }

    /// Returns the names of the other instances of this shard, from the store and from reports.
    pub fn members<'a>(&'a self, own: &str) -> BTreeSet<&'a str> {
        let listed = self.listed_members.iter().map(String::as_str);
        let reporting = self.all().map(|peer| &*peer.info.name);
        let mut members: BTreeSet<&str> = listed.chain(reporting).collect();
        members.remove(own);
        members
    }

    /// Returns the effect that a report has if it is recorded now.
    pub fn classify(&self, now: Millis, report: &Report) -> Received {
        if let Some(peer) = self.by_incarnation.get(&report.incarnation) {
            if peer.report.number >= report.number {
                return Received::Ignored;
            }
            return Received::Update;
        }
        let Some(info) = &report.info else {
            return Received::Ignored;
        };
        let previous = self
            .by_incarnation
            .values()
            .find(|peer| peer.info.name == info.name);
        // The last report of the previous process may arrive late. The process age tells the two
        // apart without a wall clock, which may step back between two starts.
        if previous.is_some_and(|peer| peer.is_fresh(now) && peer.report.age < report.age) {
            return Received::Ignored;
        }
        Received::NewProcess(previous.map(|peer| peer.report.incarnation))
    }

    /// Records a report.
    pub fn receive(&mut self, now: Millis, mut report: Report) -> Received {
        let received = self.classify(now, &report);
        if received == Received::Ignored {
            return received;
        }
        if let Received::NewProcess(Some(previous)) = received {
            self.by_incarnation.remove(&previous);
        }
        let info = report.info.take();
        if let Some(peer) = self.by_incarnation.get_mut(&report.incarnation) {
            peer.info = info.unwrap_or_else(|| peer.info.clone());
            peer.report = report;
            peer.received_at = now;
        } else if let Some(info) = info {
            let peer = Peer {
                report,
                info,
                received_at: now,
            };
            self.by_incarnation.insert(peer.report.incarnation, peer);
        }
        received
    }

    /// Keeps only the peers whose name belongs to this instance's shard.
    pub fn retain(&mut self, in_shard: impl Fn(&str) -> bool) {
        self.by_incarnation
            .retain(|_, peer| in_shard(&peer.info.name));
    }

    /// Removes a peer that belongs to another shard.
    pub fn remove(&mut self, incarnation: u64) {
        self.by_incarnation.remove(&incarnation);
    }

    /// Removes peers that shut down or were unresponsive for too long.
    pub fn sweep(&mut self, now: Millis) {
        self.by_incarnation.retain(|_, peer| {
            let report_age = now.since(peer.received_at);
            report_age < PEER_RETENTION && !(peer.report.shutting_down && report_age > REPORT_TTL)
        });
    }

    /// Returns all known peers, whether they report at present or not.
    pub fn all(&self) -> impl Iterator<Item = &Peer> {
        self.by_incarnation.values()
    }

    /// Returns the peers that count as reporting.
    pub fn fresh(&self, now: Millis) -> impl Iterator<Item = &Peer> {
        self.by_incarnation
            .values()
            .filter(move |peer| peer.is_fresh(now))
    }

    /// Returns the running requests of peers and their prefill tokens by the endpoint's short key.
    ///
    /// Computed once per decision: searching all reports for each endpoint would grow with the
    /// square of their number.
    pub fn running_by_endpoint(&self, now: Millis) -> Map<u32, (u32, u32)> {
        let mut sums: Map<u32, (u32, u32)> = Map::default();
        for row in self.fresh(now).flat_map(|peer| &peer.report.running) {
            let sum = sums.entry(row.endpoint).or_default();
            sum.0 += u32::from(row.count);
            sum.1 += row.prefill_tokens;
        }
        sums
    }

    /// Returns the requests that wait at peers for a service, with wait times brought up to date.
    pub fn waiting(&self, now: Millis, service: u32) -> impl Iterator<Item = WaitingRow> {
        self.by_incarnation
            .values()
            .filter(move |peer| now.since(peer.received_at) <= QUEUE_TTL)
            .flat_map(move |peer| {
                let age = u32::try_from(now.since(peer.received_at).0).unwrap_or(u32::MAX);
                peer.report.waiting.iter().map(move |row| WaitingRow {
                    oldest_wait: row.oldest_wait.saturating_add(age),
                    ..*row
                })
            })
            .filter(move |row| row.service == service)
    }

    /// Returns the fraction of the fleet that this instance and its reporting peers make up.
    ///
    /// In a fleet of one shard it is 1 while all peers report, and 1 / n on an instance that is cut
    /// off from the other n - 1. The size of the fleet in the store counts too, because a process
    /// that has just started has received no reports yet but is not alone.
    pub fn fleet_share(&self, now: Millis) -> f64 {
        let reporting = self.fresh(now).count() + 1;
        ratio(reporting, self.known_count())
    }

    /// Returns the fraction of the fleet that a single instance makes up.
    pub fn instance_share(&self) -> f64 {
        ratio(1, self.known_count())
    }

    /// Returns the number of instances that report at present, including this one.
    pub fn instance_count(&self, now: Millis) -> usize {
        self.fresh(now).count() + 1
    }

    fn known_count(&self) -> usize {
        (self.by_incarnation.len() + 1).max(self.listed_count)
    }
}

#[expect(clippy::cast_precision_loss, reason = "fleets are far below 2^52")]
fn ratio(part: usize, total: usize) -> f64 {
    part as f64 / total as f64
}

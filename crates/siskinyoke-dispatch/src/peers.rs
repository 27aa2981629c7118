//! The other instances, as their reports show them.

use std::collections::BTreeMap;

use crate::Report;
use crate::report::InstanceInfo;
use crate::report::WaitingRow;
use siskinyoke_base::Map;
use siskinyoke_base::Millis;

/// How old a report may be before its sender's running requests are no longer counted.
///
/// Idle instances report ten times a second, so this is four lost reports in a row.
const REPORT_TTL: Millis = Millis(450);

/// How old a report may be before its sender's waiting requests are no longer given way to.
///
/// Under pressure reports come every ten or twenty ms. A place left free for a peer that does not
/// take it is lost for this time at most.
const QUEUE_TTL: Millis = Millis(80);

/// How long a silent instance is remembered as one that may go on alone.
const PEER_RETENTION: Millis = Millis::from_secs(12);

/// One peer.
#[derive(Debug)]
pub struct Peer {
    /// Its latest report.
    pub report: Report,
    /// What it told last of itself.
    pub info: InstanceInfo,
    /// When that came.
    pub received_at: Millis,
}

impl Peer {
    /// Returns whether the peer is heard of at present.
    pub fn is_fresh(&self, now: Millis) -> bool {
        now.since(self.received_at) <= REPORT_TTL
    }
}

/// What a new report brought.
#[derive(Debug, PartialEq, Eq)]
pub enum Received {
    /// Nothing: it is older than what is known, or from a peer that has not said who it is.
    Ignored,
    /// The next report of a known peer.
    Update,
    /// The first report of a peer's start; the start before it, if any, is over.
    NewProcess(Option<u64>),
}

/// The other instances, as their reports show them.
#[derive(Debug, Default)]
pub struct Peers {
    known: BTreeMap<u64, Peer>,
    listed_count: usize,
}

impl Peers {
    /// Takes note of how many instances there are by the store's list, this one included.
    pub fn set_listed_count(&mut self, count: usize) {
        self.listed_count = count;
    }

    /// Takes in a report.
    pub fn receive(&mut self, now: Millis, mut report: Report) -> Received {
        let about = report.info.take();
        if let Some(peer) = self.known.get_mut(&report.source) {
            if peer.report.number >= report.number {
                return Received::Ignored;
            }
            peer.info = about.unwrap_or_else(|| peer.info.clone());
            peer.report = report;
            peer.received_at = now;
            return Received::Update;
        }
        let Some(about) = about else {
            return Received::Ignored;
        };
        let before = self
            .known
            .values()
            .find(|peer| peer.info.name == about.name);
        // The last report of the start before may come late. Ages tell the two apart, and need
        // no time of day, which may step back between two starts.
        if before.is_some_and(|peer| peer.is_fresh(now) && peer.report.age < report.age) {
            return Received::Ignored;
        }
        let before = before.map(|peer| peer.report.source);
        if let Some(source) = before {
            self.known.remove(&source);
        }
        self.known.insert(
            report.source,
            Peer {
                report,
                info: about,
                received_at: now,
            },
        );
        Received::NewProcess(before)
    }

    /// Keeps the peers whose name belongs to this instance's shard.
    pub fn retain(&mut self, in_shard: impl Fn(&str) -> bool) {
        self.known.retain(|_, peer| in_shard(&peer.info.name));
    }

    /// Forgets a peer that is none of this instance's shard.
    pub fn remove(&mut self, source: u64) {
        self.known.remove(&source);
    }

    /// Drops peers that left, or that were silent for long, and returns their sources.
    pub fn sweep(&mut self, now: Millis) -> Vec<u64> {
        let mut gone = Vec::new();
        self.known.retain(|_, peer| {
            let silent = now.since(peer.received_at);
            let keep = silent < PEER_RETENTION && !(peer.report.leaving && silent > REPORT_TTL);
            if !keep {
                gone.push(peer.report.source);
            }
            keep
        });
        gone
    }

    /// Returns the peers that are heard at present.
    pub fn fresh(&self, now: Millis) -> impl Iterator<Item = &Peer> {
        self.known.values().filter(move |peer| peer.is_fresh(now))
    }

    /// Returns the requests that peers run at each endpoint, by shortened key, and their prompt tokens still to be
    /// read.
    ///
    /// Summed up once a decision: looking through all reports for each endpoint grows with the square of them.
    pub fn running_by_endpoint(&self, now: Millis) -> Map<u32, (u32, u32)> {
        let mut sums: Map<u32, (u32, u32)> = Map::default();
        for row in self.fresh(now).flat_map(|peer| &peer.report.running) {
            let sum = sums.entry(row.endpoint).or_default();
            sum.0 += u32::from(row.count);
            sum.1 += row.prefill_tokens;
        }
        sums
    }

    /// Returns what waits at peers for a service, each row with the age of its first request.
    pub fn waiting(&self, now: Millis, service: u32) -> impl Iterator<Item = WaitingRow> {
        self.known
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

    /// Returns the part of the fleet that this instance can speak for, from 0 to 1.
    ///
    /// 1 while every peer is heard. Cut off from all, it is one part of them all. The store's list
    /// counts too: a process that has just started hears nobody yet, and is not alone for that.
    pub fn fleet_share(&self, now: Millis) -> f64 {
        let known = (self.known.len() + 1).max(self.listed_count);
        let heard = self.fresh(now).count() + 1;
        ratio(heard, known)
    }

    /// Returns the number of instances that are heard, this one with them.
    pub fn instance_count(&self, now: Millis) -> usize {
        self.fresh(now).count() + 1
    }
}

#[expect(clippy::cast_precision_loss, reason = "fleets are far below 2^52")]
fn ratio(part: usize, whole: usize) -> f64 {
    part as f64 / whole as f64
}

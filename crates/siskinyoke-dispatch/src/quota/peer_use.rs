//! Use of the quotas that peers report.

use crate::peers::REPORT_TTL;
use siskinyoke_base::Map;
use siskinyoke_base::Millis;

/// How long the totals of a silent peer are kept.
///
/// Without them, a peer that returns after a long partition would report its use since its start
/// as new.
const PEER_USE_RETENTION: Millis = Millis::from_secs(600);

/// A peer's process that reports its use.
#[derive(Debug, Clone, Copy)]
pub struct ReportingPeer {
    /// The process.
    pub incarnation: u64,
    /// How long it has run, if it is no older than this process.
    pub age: Option<Millis>,
    /// Its share of the fleet.
    pub fleet_share: f64,
}

/// What a peer has used since its last report.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct UseChange {
    /// The units, net of those borrowed from other shards.
    pub units: f64,
    /// For how long the peer has refilled a part of the bucket by itself meanwhile, in seconds,
    /// times its share of the fleet.
    pub refilled: f64,
}

/// What a peer's process has used.
#[derive(Debug)]
struct PeerUse {
    received_at: Millis,
    // For how long the peer was silent, in seconds, times its share of the fleet.
    refilled: f64,
    // By the organisation's hash: the total used and `refilled`, both as of the last report of it.
    totals: Map<u32, (i64, f64)>,
}

/// What all peers have used.
#[derive(Debug, Default)]
pub struct PeerUses {
    by_incarnation: Map<u64, PeerUse>,
}

impl PeerUses {
    /// Records a report, and returns what the peer has used of each organisation's quota since the
    /// report before it.
    ///
    /// If the process is no older than this one, its first report counts from its start: after a
    /// kill of all instances, they grant requests for some time before they receive each other's
    /// reports. The use of an older process before its first report is not counted, because the
    /// buckets here started almost empty.
    pub fn record(
        &mut self,
        now: Millis,
        peer: ReportingPeer,
        totals: &[(u32, i64)],
    ) -> Vec<(u32, UseChange)> {
        let is_new = !self.by_incarnation.contains_key(&peer.incarnation);
        let row = self
            .by_incarnation
            .entry(peer.incarnation)
            .or_insert_with(|| PeerUse {
                received_at: now,
                refilled: peer.age.unwrap_or_default().as_secs() * peer.fleet_share,
                totals: Map::default(),
            });
        let silence = now.since(row.received_at);
        if silence > REPORT_TTL {
            row.refilled += silence.as_secs() * peer.fleet_share;
        }
        row.received_at = now;
        let refilled = row.refilled;
        let first = peer.age.map(|_| (0, if is_new { 0.0 } else { refilled }));
        let changes = totals.iter().filter_map(|(organisation, total)| {
            let previous = row.totals.insert(*organisation, (*total, refilled));
            let previous = previous.or(first)?;
            let change = UseChange {
                units: i64_to_f64(*total - previous.0),
                refilled: refilled - previous.1,
            };
            Some((*organisation, change))
        });
        changes.collect()
    }

    /// Drops what a process has used that has been replaced.
    pub fn forget(&mut self, incarnation: u64) {
        self.by_incarnation.remove(&incarnation);
    }

    /// Drops what processes have used that have been silent for long.
    pub fn sweep(&mut self, now: Millis) {
        self.by_incarnation
            .retain(|_, it| now.since(it.received_at) < PEER_USE_RETENTION);
    }
}

#[expect(clippy::cast_precision_loss, reason = "values stay far below 2^52")]
fn i64_to_f64(value: i64) -> f64 {
    value as f64
}

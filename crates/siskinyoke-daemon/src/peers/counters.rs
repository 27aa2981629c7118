//! Counts of what the transport has carried and refused.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use quinn::Connection;

use super::Lane;

/// Counts for one lane.
#[derive(Debug, Default)]
struct LaneCounters {
    sent: AtomicU64,
    received: AtomicU64,
    dropped: AtomicU64,
}

/// Counts that threads add to.
#[derive(Debug, Default)]
pub struct Counters {
    control: LaneCounters,
    work: LaneCounters,
    refused: AtomicU64,
    forged: AtomicU64,
    handshakes: AtomicU64,
    wire: LaneCounters,
}

impl LaneCounters {
    fn totals(&self) -> Totals {
        Totals {
            sent: self.sent.load(Ordering::Relaxed),
            received: self.received.load(Ordering::Relaxed),
            dropped: self.dropped.load(Ordering::Relaxed),
        }
    }
}

/// Totals of one lane since the start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Totals {
    /// Bytes of messages sent, without the transport's own.
    pub sent: u64,
    /// Bytes of messages received, without the transport's own.
    pub received: u64,
    /// Messages dropped, as the queue was full or the peer was not reached.
    pub dropped: u64,
}

impl Counters {
    /// Returns a lane's totals.
    pub fn totals(&self, lane: Lane) -> Totals {
        self.lane(lane).totals()
    }

    /// Returns how many connections of strangers were refused.
    pub fn refused(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }

    /// Returns how many messages were dropped as their sender was not who it said.
    pub fn forged(&self) -> u64 {
        self.forged.load(Ordering::Relaxed)
    }

    /// Returns how many connections were made from here.
    pub fn handshakes(&self) -> u64 {
        self.handshakes.load(Ordering::Relaxed)
    }

    /// Returns the bytes of datagrams on connections that have ended, with all that the
    /// transport adds, but for the headers of UDP and IP.
    pub fn wire(&self) -> Totals {
        self.wire.totals()
    }

    pub(super) fn add_wire(&self, connection: &Connection) {
        let stats = connection.stats();
        self.wire
            .sent
            .fetch_add(stats.udp_tx.bytes, Ordering::Relaxed);
        self.wire
            .received
            .fetch_add(stats.udp_rx.bytes, Ordering::Relaxed);
    }

    pub(super) fn add_sent(&self, lane: Lane, bytes: usize) {
        add(&self.lane(lane).sent, bytes);
    }

    pub(super) fn add_received(&self, lane: Lane, bytes: usize) {
        add(&self.lane(lane).received, bytes);
    }

    pub(super) fn add_dropped(&self, lane: Lane) {
        add(&self.lane(lane).dropped, 1);
    }

    pub(super) fn add_refused(&self) {
        add(&self.refused, 1);
    }

    pub(super) fn add_forged(&self) {
        add(&self.forged, 1);
    }

    pub(super) fn add_handshake(&self) {
        add(&self.handshakes, 1);
    }

    fn lane(&self, lane: Lane) -> &LaneCounters {
        match lane {
            Lane::Control => &self.control,
            Lane::Work => &self.work,
        }
    }
}

fn add(counter: &AtomicU64, amount: usize) {
    counter.fetch_add(amount as u64, Ordering::Relaxed);
}

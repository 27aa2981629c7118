//! How often long requests are served, compared with all requests of their route.
//!
//! Answers this load: slots are short for longer than a queue lasts. Shortest first serves the most
//! callers, but what goes before a long request then never ends. Queue order, forecasts, choice of
//! endpoints, deadlines and retries may each serve long requests less often, and the losses add up.
//! Here instances count what becomes of the requests of a route, whatever the reason. By that they set
//! the precedence of long requests in the queue and the waits for which these are queued, so that they
//! are served like the others.

pub mod served_work;

use std::collections::BTreeMap;

use self::served_work::ServedWork;
use crate::Route;
use crate::report::SizeShareRow;
use crate::report::short_hash;
use siskinyoke_base::Millis;

/// The penalty for long requests in the queue order, as a share of the service time, while they are
/// served as often as others, and the lowest one. Where that is negative, they go before short ones.
///
/// With a fifth, a request of two seconds goes behind short ones that arrive up to 0.4 seconds later.
const MAX_PENALTY_RATIO: f64 = 0.2;
const MIN_PENALTY_RATIO: f64 = -0.05;

/// How often long requests are served, as a multiple of all, where the penalty is 0.
const NEUTRAL_LONG_RATIO: f64 = 0.85;

/// How much the penalty rises with how often long requests are served.
const PENALTY_GAIN: f64 = 4.0;

/// How often long requests are served, as a multiple of all, below which longer waits are tolerated.
const TOLERATED_LONG_RATIO: f64 = 0.95;

/// How much the tolerance of long waits rises with the deficit of long requests, for a request of twice
/// the mean service time.
const TOLERANCE_GAIN: f64 = 8.0;

/// The largest tolerance of long waits.
const MAX_WAIT_TOLERANCE: f64 = 8.0;

/// The number of requests of a route, here and at peers, below which their counts show nothing.
const MIN_REQUESTS: f64 = 20.0;

/// The number of requests of a route below which its counts are dropped.
const MIN_KEPT_REQUESTS: f64 = 0.05;

/// The maximum number of routes in a report, so that it fits into a datagram: those with the most
/// requests.
const MAX_REPORTED_ROUTES: usize = 16;

/// How long the rows of a peer that sends none any more are used.
const PEER_ROWS_TTL: Millis = Millis::from_secs(4);

/// The rows of one peer.
#[derive(Debug)]
struct PeerRows {
    received_at: Millis,
    rows: Vec<SizeShareRow>,
}

/// How often long requests are served, compared with all requests of their route.
#[derive(Debug, Default)]
pub struct SizeShares {
    own: BTreeMap<u32, ServedWork>,
    peers: BTreeMap<u64, PeerRows>,
}

impl SizeShares {
    /// Records that a request arrived.
    pub fn record_offered(&mut self, now: Millis, route: &Route, service_time: f64) {
        self.work_mut(route).record_offered(now, service_time);
    }

    /// Records that a request is sent to an endpoint.
    pub fn record_served(&mut self, now: Millis, route: &Route, service_time: f64) {
        self.work_mut(route).record_served(now, service_time);
    }

    /// Records that a request that was sent to an endpoint was not completed there.
    pub fn record_lost(&mut self, now: Millis, route: &Route, service_time: f64) {
        self.work_mut(route).record_lost(now, service_time);
    }

    /// Returns the penalty for long requests of a route in the queue order, as a share of the service
    /// time; if it is negative, they go before short ones.
    pub fn penalty_ratio(&self, now: Millis, route: &Route) -> f64 {
        let work = self.work(now, route);
        if work.offered() < MIN_REQUESTS {
            return MAX_PENALTY_RATIO;
        }
        let penalty = (work.long_ratio() - NEUTRAL_LONG_RATIO) * PENALTY_GAIN;
        penalty.clamp(MIN_PENALTY_RATIO, MAX_PENALTY_RATIO)
    }

    /// Returns how much longer than others a request may be expected to wait and still be queued, as a
    /// ratio. It exceeds 1 for requests above the mean service time of their route while long ones are
    /// served less often.
    pub fn wait_tolerance(&self, now: Millis, route: &Route, service_time: f64) -> f64 {
        let work = self.work(now, route);
        let excess = service_time / work.mean_service_time() - 1.0;
        if work.offered() < MIN_REQUESTS || excess <= 0.0 {
            return 1.0;
        }
        let deficit = (TOLERATED_LONG_RATIO - work.long_ratio()).max(0.0);
        (1.0 + excess * deficit * TOLERANCE_GAIN).min(MAX_WAIT_TOLERANCE)
    }

    /// Returns what became of the requests of a route, here and at peers.
    pub fn work(&self, now: Millis, route: &Route) -> ServedWork {
        let route = short_hash(&route.name);
        let own = self.own.get(&route).copied().unwrap_or_default();
        let mut work = own.at(now);
        let rows = self.peers.values().flat_map(|peer| &peer.rows);
        for row in rows.filter(|row| row.route == route) {
            work.add_row(row);
        }
        work
    }

    /// Returns the rows for a report.
    pub fn rows(&self, now: Millis) -> Vec<SizeShareRow> {
        let own = self.own.iter();
        let mut rows: Vec<SizeShareRow> =
            own.map(|(route, work)| work.at(now).row(*route)).collect();
        rows.sort_by(|one, other| other.offered.total_cmp(&one.offered));
        rows.truncate(MAX_REPORTED_ROUTES);
        rows
    }

    /// Records the rows of a peer's report.
    pub fn receive(&mut self, now: Millis, incarnation: u64, rows: &[SizeShareRow]) {
        if rows.is_empty() {
            return;
        }
        let peer = PeerRows {
            received_at: now,
            rows: rows.to_vec(),
        };
        self.peers.insert(incarnation, peer);
    }

    /// Forgets the rows of a peer's process that has been replaced.
    pub fn forget_peer(&mut self, incarnation: u64) {
        self.peers.remove(&incarnation);
    }

    /// Drops what has decayed.
    pub fn prune(&mut self, now: Millis) {
        self.peers
            .retain(|_, peer| now.since(peer.received_at) < PEER_ROWS_TTL);
        self.own
            .retain(|_, work| work.at(now).offered() >= MIN_KEPT_REQUESTS);
    }

    fn work_mut(&mut self, route: &Route) -> &mut ServedWork {
        self.own.entry(short_hash(&route.name)).or_default()
    }
}

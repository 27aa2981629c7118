//! Organisation quotas, enforced across all instances with token buckets.

mod peer_use;
mod recent_use;

use std::sync::Arc;

use self::peer_use::PeerUses;
pub use self::peer_use::ReportingPeer;
use self::peer_use::UseChange;
use self::recent_use::RecentUse;
use crate::Organisation;
use crate::peers::REPORT_TTL;
use crate::report::short_hash;
use siskinyoke_base::Map;
use siskinyoke_base::Millis;

/// Share of the operators' tolerance that is granted.
///
/// The rest covers what peers grant between two reports, and requests that cost more than the
/// bucket held when they were granted.
const TOLERANCE_USED_RATIO: f64 = 0.75;

/// Fill ratio of a bucket when the process starts.
///
/// An empty bucket would refuse the first requests after a restart of all instances even from
/// organisations within their quota. A fuller one would grant an organisation above its quota these
/// units on top of what it was granted before the restart.
const INITIAL_FILL_RATIO: f64 = 0.15;

/// Fill ratio below which a bucket lends nothing to other shards.
///
/// The reserve serves this shard's own requests, and covers units that several peers lend at once
/// before they receive each other's reports.
const LENDING_RESERVE_RATIO: f64 = 0.25;

/// Maximum capacity of a bucket, as a time span at the organisation's rate.
///
/// Capacity and the refill of one window add up to the operators' limit, so a smaller capacity
/// means a faster refill. If an operator lowers a rate but keeps a large burst, most of the limit
/// would otherwise be available only once, and steady use within the limit would be refused.
const MAX_BURST_SPAN: Millis = Millis(1_000);

/// How operators measure compliance with quotas.
#[derive(Debug, Clone, Copy)]
pub struct QuotaPolicy {
    /// Length of the sliding window.
    pub window: Millis,
    /// Ratio by which a limit may be exceeded.
    pub overage: f64,
    /// Units by which a limit may be exceeded in addition.
    pub slack: f64,
}

/// Delay until an instance sees a peer's usage: report interval plus transit.
const PEER_USAGE_DELAY: Millis = Millis(60);

/// A request's claim on its organisation's quota.
#[derive(Debug, Clone, Copy)]
pub struct QuotaRequest {
    /// Cost of the request in quota units.
    pub units: f64,
    /// Number of instances that take from the same bucket.
    pub instances: f64,
    /// Uniform random number from 0 to 1, drawn for this request.
    pub sample: f64,
    /// Units lent by other shards for this request.
    pub borrowed: f64,
}

/// One organisation's token bucket, reduced by local usage and by the usage peers report.
///
/// Its capacity and the refill of one window add up to the operators' limit. It starts almost
/// empty, so that the grants before and after a simultaneous kill of all instances still stay
/// within one capacity and one refill in any window.
#[derive(Debug)]
struct Bucket {
    refill_rate: f64,
    capacity: f64,
    level: f64,
    refilled_at: Millis,
    // Units taken here from the shard's bucket, less units borrowed from other shards.
    consumed: f64,
    last_used: Millis,
    // Units requested here, decaying exponentially with a time constant of one second.
    demand: f64,
    // Units taken here and at peers that report.
    recent_use: RecentUse,
    // The share of the fleet at the last refill.
    fleet_share: f64,
    // When peers last returned, and what those that returned together had used of other parts.
    joined_at: Millis,
    joined_excess: f64,
}

impl Bucket {
    // Refills only `fleet_share` of the bucket: instances beyond a partition refill the rest.
    fn refill(&mut self, now: Millis, fleet_share: f64) {
        self.leave_lost_part(now, fleet_share);
        let elapsed = now.since(self.refilled_at).as_secs();
        self.level = (self.level + self.refill_rate * fleet_share * elapsed)
            .min(self.capacity * fleet_share);
        self.demand *= (-elapsed).exp();
        self.refilled_at = now;
    }

    // Reduces the bucket to this side's part of it, as if the loss of the rest of the fleet had
    // been noticed at once: both sides have refilled the whole bucket since.
    fn leave_lost_part(&mut self, now: Millis, fleet_share: f64) {
        if fleet_share < self.fleet_share {
            let used = self.recent_use.sum(now);
            self.level = (self.level + used) * fleet_share / self.fleet_share - used;
        }
        self.fleet_share = fleet_share;
    }

    // Takes off what returning peers have used beyond the part that they have refilled by
    // themselves, at most what they refill until the loss of a part of the fleet is noticed.
    //
    // One peer may have used the part of several, so all that return together count as one.
    fn join_part(&mut self, now: Millis, change: UseChange) {
        if now.since(self.joined_at) > REPORT_TTL {
            self.joined_excess = 0.0;
        }
        let limit = self.refill_rate * REPORT_TTL.as_secs();
        let before = self.joined_excess.clamp(0.0, limit);
        self.joined_excess += change.units - self.refill_rate * change.refilled;
        self.level -= self.joined_excess.clamp(0.0, limit) - before;
        self.joined_at = now;
    }

    // Takes units, or returns them if negative.
    fn take(&mut self, now: Millis, units: f64) {
        self.level -= units;
        self.recent_use.add(now, units);
    }

    // Takes units here, which peers learn by a report.
    fn consume(&mut self, now: Millis, units: f64) {
        self.take(now, units);
        self.consumed += units;
        self.last_used = now;
    }
}

/// The quotas of all organisations.
///
/// Every instance counts the usage of its whole shard: its own at once, that of its peers with
/// their next report, some tens of milliseconds later.
#[derive(Debug)]
pub struct Quotas {
    policy: QuotaPolicy,
    // By the short hash of the organisation's name.
    buckets: Map<u32, Bucket>,
    peer_uses: PeerUses,
}

impl Quotas {
    /// Creates the quotas of an instance that has no configuration yet.
    pub fn new(policy: QuotaPolicy) -> Self {
        Self {
            policy,
            buckets: Map::default(),
            peer_uses: PeerUses::default(),
        }
    }

    /// Applies the organisations of a configuration, keeping the levels of existing buckets.
    ///
    /// `fleet_share` is the share of the fleet that this instance's side of a partition makes up.
    pub fn configure(
        &mut self,
        now: Millis,
        organisations: &[Arc<Organisation>],
        fleet_share: f64,
    ) {
        let mut buckets = Map::default();
        for organisation in organisations {
            let key = short_hash(&organisation.name);
            let old = self.buckets.remove(&key);
            if organisation.rate <= 0.0 {
                continue;
            }
            let refill_rate = self.refill_rate(organisation);
            let capacity = bucket_capacity(organisation);
            let bucket = match old {
                Some(bucket) => Bucket {
                    refill_rate,
                    capacity,
                    level: bucket.level.min(capacity),
                    ..bucket
                },
                None => Bucket {
                    refill_rate,
                    capacity,
                    level: capacity * INITIAL_FILL_RATIO * fleet_share,
                    refilled_at: now,
                    consumed: 0.0,
                    last_used: now,
                    demand: 0.0,
                    recent_use: RecentUse::default(),
                    fleet_share,
                    joined_at: now,
                    joined_excess: 0.0,
                },
            };
            buckets.insert(key, bucket);
        }
        self.buckets = buckets;
    }

    /// Takes the units of a request, or returns how long until enough are available.
    ///
    /// `fleet_share` is the share of the fleet that this instance's side of a partition makes up: 1
    /// while reports arrive from all peers. Requests of organisations without a quota are always
    /// granted.
    ///
    /// An instance sees a peer's usage only with its next report, so all instances could take the
    /// same remaining units of a low bucket at once. If the demand within that delay exceeds the
    /// level, each instance admits requests at random, in proportion to the level, so that all
    /// together take what is available.
    ///
    /// # Errors
    ///
    /// The time after which enough units are expected.
    pub fn take(
        &mut self,
        now: Millis,
        organisation: &Organisation,
        request: QuotaRequest,
        fleet_share: f64,
    ) -> Result<(), Millis> {
        let Some(bucket) = self.buckets.get_mut(&short_hash(&organisation.name)) else {
            return Ok(());
        };
        bucket.refill(now, fleet_share);
        if request.borrowed <= 0.0 {
            // A request with borrowed units was already counted when it was first refused.
            bucket.demand += request.units;
        }
        let fleet_demand = bucket.demand * request.instances * PEER_USAGE_DELAY.as_secs();
        // Borrowed units go into the bucket, but this request has the first claim on them.
        if request.borrowed > 0.0 {
            bucket.consume(now, -request.borrowed);
        }
        let covered = request.borrowed >= request.units;
        if !covered && (bucket.level <= 0.0 || request.sample * fleet_demand > bucket.level) {
            let needed = (request.units - bucket.level).max(request.units * request.sample);
            let wait = needed / (bucket.refill_rate * fleet_share).max(1.0);
            return Err(Millis(to_u64(wait * 1000.0) + 1));
        }
        bucket.consume(now, request.units);
        Ok(())
    }

    /// Returns the units of a request that never ran to the bucket.
    pub fn refund(&mut self, organisation: &Organisation, units: f64) {
        if let Some(bucket) = self.buckets.get_mut(&short_hash(&organisation.name)) {
            bucket.level = (bucket.level + units).min(bucket.capacity);
            bucket.consumed -= units;
        }
    }

    /// Lends up to `units` of an organisation, given by its hashed name, to another shard, and
    /// returns how many were taken from the bucket.
    ///
    /// A large fleet has one bucket per shard, each worth only a few requests. Requests arrive
    /// unevenly, so without lending a shard's bucket can be empty while the organisation uses half
    /// of its quota. Lent units leave this bucket at once, so none are granted twice.
    /// `LENDING_RESERVE_RATIO` of the capacity is never lent.
    pub fn lend(&mut self, now: Millis, organisation: u32, units: u64, fleet_share: f64) -> u64 {
        let Some(bucket) = self.buckets.get_mut(&organisation) else {
            return 0;
        };
        bucket.refill(now, fleet_share);
        let available =
            to_u64(bucket.level - bucket.capacity * fleet_share * LENDING_RESERVE_RATIO);
        let lent = available.min(units);
        bucket.consume(now, u64_to_f64(lent));
        lent
    }

    /// Subtracts what a peer used since its last report.
    pub fn record_peer_usage(&mut self, now: Millis, peer: ReportingPeer, totals: &[(u32, i64)]) {
        for (key, change) in self.peer_uses.record(now, peer, totals) {
            let Some(bucket) = self.buckets.get_mut(&key) else {
                continue;
            };
            if change.refilled > 0.0 {
                bucket.join_part(now, change);
            } else {
                bucket.take(now, change.units);
            }
        }
    }

    /// Drops the reported usage of a peer's process that has been replaced.
    pub fn forget_peer(&mut self, incarnation: u64) {
        self.peer_uses.forget(incarnation);
    }

    /// Drops what has expired.
    pub fn sweep(&mut self, now: Millis) {
        self.peer_uses.sweep(now);
    }

    /// Returns the units taken here since the process started, less those borrowed from other
    /// shards, for each organisation whose usage changed since `since`.
    pub fn usage(&self, since: Millis) -> Vec<(u32, i64)> {
        let mut usage: Vec<_> = self
            .buckets
            .iter()
            .filter(|(_, bucket)| bucket.last_used >= since)
            .map(|(key, bucket)| (*key, to_i64(bucket.consumed)))
            .collect();
        usage.sort_unstable();
        usage
    }

    // Returns the rate at which capacity and one window's refill add up to the operators' limit.
    fn refill_rate(&self, organisation: &Organisation) -> f64 {
        let policy = self.policy;
        let nominal = organisation.rate * policy.window.as_secs() + organisation.burst;
        let limit = nominal * (1.0 + policy.overage * TOLERANCE_USED_RATIO)
            + policy.slack * TOLERANCE_USED_RATIO;
        (limit - bucket_capacity(organisation)) / policy.window.as_secs()
    }
}

// Returns the organisation's burst, limited to `MAX_BURST_SPAN` at its rate.
fn bucket_capacity(organisation: &Organisation) -> f64 {
    organisation
        .burst
        .min(organisation.rate * MAX_BURST_SPAN.as_secs())
}

#[expect(
    clippy::cast_possible_truncation,
    reason = "values stay far below 2^52"
)]
#[expect(clippy::cast_sign_loss, reason = "negative values become zero")]
pub(crate) fn to_u64(value: f64) -> u64 {
    value.max(0.0) as u64
}

#[expect(
    clippy::cast_possible_truncation,
    reason = "values stay far below 2^52"
)]
fn to_i64(value: f64) -> i64 {
    value as i64
}

#[expect(clippy::cast_precision_loss, reason = "values stay far below 2^52")]
pub(crate) fn u64_to_f64(value: u64) -> f64 {
    value as f64
}

//! What each organisation may use, over all instances together.

use std::sync::Arc;

use crate::Organisation;
use crate::report::short_hash;
use siskinyoke_base::Map;
use siskinyoke_base::Millis;

/// The part of the operators' tolerance that is used.
///
/// The rest covers what peers grant between two of their reports, and what a request takes beyond
/// what the bucket held.
const TOLERANCE_USED_RATIO: f64 = 0.75;

/// The part of a burst that a process finds in the bucket when it starts.
///
/// Nothing at all refuses the first requests after a restart of all instances, though nobody sends
/// beyond its quota. More would be granted twice if somebody does.
const INITIAL_FILL_RATIO: f64 = 0.15;

/// The part of a full bucket below which nothing is given to other shards.
///
/// Its own requests find something too, and what several peers give at the same moment, before they hear of
/// each other, is there.
const LENDING_RESERVE_RATIO: f64 = 0.25;

/// The longest burst that a bucket holds, as a span of the organisation's rate.
///
/// A burst and the filling of one window make the operators' limit, so what a bucket does not hold fills it
/// faster. Where an operator lowers a rate and leaves its burst, most of the limit would lie in a burst that comes
/// once, and steady use within the limit would be rejected.
const MAX_BURST_SPAN: Millis = Millis(1_000);

/// How the operators measure quotas.
#[derive(Debug, Clone, Copy)]
pub struct QuotaPolicy {
    /// The length of the sliding window.
    pub window: Millis,
    /// The part by which a limit may be exceeded.
    pub overage: f64,
    /// Units by which it may be exceeded besides.
    pub slack: f64,
}

/// How long an instance does not see what another took: a report's spacing and its way.
const PEER_USAGE_DELAY: Millis = Millis(60);

/// What a request wants of its organisation's quota.
#[derive(Debug, Clone, Copy)]
pub struct QuotaRequest {
    /// The units it takes.
    pub units: f64,
    /// The number of instances that take from the same bucket.
    pub instances: f64,
    /// A number of its own, evenly spread from 0 to 1.
    pub sample: f64,
    /// Units that other shards gave for it.
    pub borrowed: f64,
}

/// One organisation's token bucket, less what every instance that is heard reports as used.
///
/// It fills so fast that a full burst and the filling of one window make just the operators'
/// limit. It is all but empty when a process starts: were all instances killed at once, what they granted
/// before and what they grant after still keeps to one burst and one filling in any window.
#[derive(Debug)]
struct Bucket {
    refill_rate: f64,
    capacity: f64,
    level: f64,
    refilled_at: Millis,
    // Units that were taken here from what the shard shares.
    consumed: f64,
    last_used: Millis,
    // Units that were asked for here, each counted for about a second.
    demand: f64,
}

impl Bucket {
    // A part of the fleet fills its part of the bucket, as the rest goes on filling the rest.
    fn refill(&mut self, now: Millis, share: f64) {
        let span = now.since(self.refilled_at).as_secs();
        self.level = (self.level + self.refill_rate * share * span).min(self.capacity * share);
        self.demand *= (-span).exp();
        self.refilled_at = now;
    }
}

/// The quotas of all organisations.
///
/// Every instance counts the use of all: its own at once, that of its peers when their next
/// report comes, some tens of milliseconds later.
#[derive(Debug)]
pub struct Quotas {
    policy: QuotaPolicy,
    buckets: Map<u32, Bucket>,
    peer_totals: Map<(u64, u32), i64>,
}

impl Quotas {
    /// Makes the quotas of an instance that knows no organisation yet.
    pub fn new(measure: QuotaPolicy) -> Self {
        Self {
            policy: measure,
            buckets: Map::default(),
            peer_totals: Map::default(),
        }
    }

    /// Takes over the organisations of a configuration; levels of those that stay are kept.
    ///
    /// `share` is the part of the fleet that this instance can speak for.
    pub fn configure(&mut self, now: Millis, organisations: &[Arc<Organisation>], share: f64) {
        let mut buckets = Map::default();
        for organisation in organisations {
            let key = short_hash(&organisation.name);
            let old = self.buckets.remove(&key);
            if organisation.rate <= 0.0 {
                continue;
            }
            let rate = self.refill_rate(organisation);
            let burst = bucket_capacity(organisation);
            let bucket = match old {
                Some(bucket) => Bucket {
                    refill_rate: rate,
                    capacity: burst,
                    level: bucket.level.min(burst),
                    ..bucket
                },
                None => Bucket {
                    refill_rate: rate,
                    capacity: burst,
                    level: burst * INITIAL_FILL_RATIO * share,
                    refilled_at: now,
                    consumed: 0.0,
                    last_used: now,
                    demand: 0.0,
                },
            };
            buckets.insert(key, bucket);
        }
        self.buckets = buckets;
    }

    /// Takes units for a request, or says when there will be enough.
    ///
    /// `share` is the part of the fleet that this instance can speak for: 1 while it hears all
    /// its peers. `crowd` is the number of instances that take from the same bucket, and `chance` a
    /// number of the request's own, evenly spread from 0 to 1.
    ///
    /// Each instance sees what another took only with its next report, so what little a bucket
    /// holds would be taken by all of them at the same moment. Where more is asked for in that
    /// time than there is, each lets in just so large a part that the sum is what there is.
    ///
    /// # Errors
    ///
    /// The time after which there will be enough.
    pub fn take(
        &mut self,
        now: Millis,
        organisation: &Organisation,
        wanted: QuotaRequest,
        share: f64,
    ) -> Result<(), Millis> {
        let Some(bucket) = self.buckets.get_mut(&short_hash(&organisation.name)) else {
            return Ok(());
        };
        bucket.refill(now, share);
        if wanted.borrowed <= 0.0 {
            // Else it was counted when it was refused.
            bucket.demand += wanted.units;
        }
        let asked = bucket.demand * wanted.instances * PEER_USAGE_DELAY.as_secs();
        // What other shards gave goes into the bucket, but this request has the first claim on it.
        if wanted.borrowed > 0.0 {
            bucket.level += wanted.borrowed;
            bucket.consumed -= wanted.borrowed;
            bucket.last_used = now;
        }
        let covered = wanted.borrowed >= wanted.units;
        if !covered && (bucket.level <= 0.0 || wanted.sample * asked > bucket.level) {
            let needed = (wanted.units - bucket.level).max(wanted.units * wanted.sample);
            let wait = needed / (bucket.refill_rate * share).max(1.0);
            return Err(Millis(to_u64(wait * 1000.0) + 1));
        }
        bucket.level -= wanted.units;
        bucket.consumed += wanted.units;
        bucket.last_used = now;
        Ok(())
    }

    /// Gives back units of a request that never ran.
    pub fn refund(&mut self, organisation: &Organisation, units: f64) {
        if let Some(bucket) = self.buckets.get_mut(&short_hash(&organisation.name)) {
            bucket.level = (bucket.level + units).min(bucket.capacity);
            bucket.consumed -= units;
        }
    }

    /// Takes units off for another shard, and returns how many: those beyond a quarter of what this part of
    /// the fleet may hold.
    ///
    /// The bucket of a large fleet is cut into one for each shard, none of them larger than a few requests.
    /// Requests do not arrive evenly, so some would find their shard's bucket empty while the organisation uses
    /// half of its quota. What is given away here is granted there, and nothing twice.
    pub fn lend(&mut self, now: Millis, key: u32, units: u64, share: f64) -> u64 {
        let Some(bucket) = self.buckets.get_mut(&key) else {
            return 0;
        };
        bucket.refill(now, share);
        let most = to_u64(bucket.level - bucket.capacity * share * LENDING_RESERVE_RATIO);
        let given = most.min(units);
        bucket.level -= u64_to_f64(given);
        bucket.consumed += u64_to_f64(given);
        bucket.last_used = now;
        given
    }

    /// Takes off what a peer used since its last report.
    ///
    /// Of the first report all is taken off if the peer is `young`, no older than this instance:
    /// after a kill of all, instances grant for some time before they hear of each other. What an
    /// older peer used before is not ours to count, as our buckets began empty.
    pub fn record_peer_usage(&mut self, peer: u64, young: bool, spent: &[(u32, i64)]) {
        for (key, total) in spent {
            let known = self.peer_totals.insert((peer, *key), *total);
            let known = if young { known.or(Some(0)) } else { known };
            let Some(known) = known else { continue };
            if let Some(bucket) = self.buckets.get_mut(key) {
                bucket.level = (bucket.level - i64_to_f64(*total - known)).min(bucket.capacity);
            }
        }
    }

    /// Forgets a peer's start that is over.
    pub fn forget_peer(&mut self, peer: u64) {
        self.peer_totals.retain(|key, _| key.0 != peer);
    }

    /// Returns the units this instance has taken by organisation since its start, less those that other
    /// shards gave: of those of which some were taken since `since`.
    pub fn usage(&self, since: Millis) -> Vec<(u32, i64)> {
        let mut spent: Vec<_> = self
            .buckets
            .iter()
            .filter(|(_, bucket)| bucket.last_used >= since)
            .map(|(key, bucket)| (*key, to_i64(bucket.consumed)))
            .collect();
        spent.sort_unstable();
        spent
    }

    // The filling that makes, with one burst, the operators' limit for a window.
    fn refill_rate(&self, organisation: &Organisation) -> f64 {
        let measure = self.policy;
        let nominal = organisation.rate * measure.window.as_secs() + organisation.burst;
        let limit = nominal * (1.0 + measure.overage * TOLERANCE_USED_RATIO)
            + measure.slack * TOLERANCE_USED_RATIO;
        (limit - bucket_capacity(organisation)) / measure.window.as_secs()
    }
}

// The part of an organisation's burst that its bucket holds.
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
fn i64_to_f64(value: i64) -> f64 {
    value as f64
}

#[expect(clippy::cast_precision_loss, reason = "values stay far below 2^52")]
pub(crate) fn u64_to_f64(value: u64) -> f64 {
    value as f64
}

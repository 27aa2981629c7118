//! What each organisation may use, over all instances together.

use std::sync::Arc;

use siskinyoke_base::Map;
use siskinyoke_base::Millis;

use crate::Organisation;
use crate::report::short;

/// How much of its burst a bucket holds when an instance starts.
///
/// A new process cannot know what the others granted in the seconds before. Full buckets after
/// a restart of all instances would grant the burst twice; a quarter stays inside the overage
/// that allowances have, and fills within a second or two.
const START: f64 = 0.25;

/// One organisation's token bucket, shared by what every instance reports as used.
#[derive(Debug)]
struct Bucket {
    rate: f64,
    burst: f64,
    level: f64,
    filled: Millis,
    spent: f64,
}

impl Bucket {
    fn refill(&mut self, now: Millis) {
        let span = now.since(self.filled).as_secs();
        self.level = (self.level + self.rate * span).min(self.burst);
        self.filled = now;
    }
}

/// The allowances of all organisations.
///
/// Every instance keeps the whole bucket: what it grants itself is taken off at once, what its
/// peers grant when their next report comes. Reports are tens of milliseconds old, so the sum
/// overshoots by what arrives in that time, far below the tolerated tenth.
#[derive(Debug, Default)]
pub struct Allowances {
    buckets: Map<u32, Bucket>,
    heard: Map<(u64, u32), u64>,
}

impl Allowances {
    /// Takes over the organisations of a configuration; levels of those that stay are kept.
    pub fn configure(&mut self, now: Millis, organisations: &[Arc<Organisation>]) {
        let mut buckets = Map::default();
        for organisation in organisations {
            let key = short(&organisation.name);
            let old = self.buckets.remove(&key);
            let spent = old.as_ref().map_or(0.0, |bucket| bucket.spent);
            if organisation.rate <= 0.0 {
                continue;
            }
            let burst = organisation.burst.max(organisation.rate * 0.01);
            let level = match old {
                Some(mut bucket) => {
                    bucket.refill(now);
                    bucket.level.min(burst)
                }
                None => burst * START,
            };
            let bucket = Bucket { rate: organisation.rate, burst, level, filled: now, spent };
            buckets.insert(key, bucket);
        }
        self.buckets = buckets;
    }

    /// Takes units for a request, or says when there will be enough.
    ///
    /// `share` is the part of the fleet that this instance can speak for: 1 while it hears all
    /// its peers. Cut off from them it may use only its own part of the rate, as the others go
    /// on granting on their side of the cut.
    ///
    /// # Errors
    ///
    /// The time after which the bucket will hold enough.
    pub fn take(
        &mut self,
        now: Millis,
        organisation: &Organisation,
        units: f64,
        share: f64,
    ) -> Result<(), Millis> {
        let Some(bucket) = self.buckets.get_mut(&short(&organisation.name)) else {
            return Ok(());
        };
        bucket.refill(now);
        // A request larger than the burst could never pass; it passes from a full bucket.
        let needed = units.min(bucket.burst);
        let price = units / share.max(0.01);
        if bucket.level < needed {
            let wait = (needed - bucket.level) / bucket.rate * 1000.0;
            return Err(Millis(whole(wait) + 1));
        }
        bucket.level -= price;
        bucket.spent += units;
        Ok(())
    }

    /// Gives back units of a request that never ran.
    pub fn give_back(&mut self, organisation: &Organisation, units: f64) {
        if let Some(bucket) = self.buckets.get_mut(&short(&organisation.name)) {
            bucket.level = (bucket.level + units).min(bucket.burst);
            bucket.spent -= units;
        }
    }

    /// Takes off what a peer used since its last report.
    pub fn heard(&mut self, now: Millis, peer: u64, spent: &[(u32, u64)]) {
        for (key, total) in spent {
            let known = self.heard.insert((peer, *key), *total);
            let Some(known) = known else { continue };
            let Some(bucket) = self.buckets.get_mut(key) else { continue };
            bucket.refill(now);
            bucket.level -= float(*total) - float(known);
        }
    }

    /// Forgets a peer's start that is over.
    pub fn forget(&mut self, peer: u64) {
        self.heard.retain(|key, _| key.0 != peer);
    }

    /// Returns the units this instance has used by organisation since its start.
    pub fn spent(&self) -> Vec<(u32, u64)> {
        let mut spent: Vec<_> = self
            .buckets
            .iter()
            .map(|(key, bucket)| (*key, whole(bucket.spent)))
            .collect();
        spent.sort_unstable();
        spent
    }
}

#[expect(clippy::cast_possible_truncation, reason = "values stay far below 2^52")]
#[expect(clippy::cast_sign_loss, reason = "negative values become zero")]
fn whole(value: f64) -> u64 {
    value.max(0.0) as u64
}

#[expect(clippy::cast_precision_loss, reason = "values stay far below 2^52")]
fn float(value: u64) -> f64 {
    value as f64
}

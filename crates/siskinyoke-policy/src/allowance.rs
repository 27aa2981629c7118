//! Allowances of organisations, as token buckets shared by all instances through leases.
//!
//! Load pattern: an organisation sends more than it has paid for. Without this its surplus
//! competes with work within allowances. Without leases each of eight daemons would have to
//! grant an eighth, and a team whose callers keep one address would get an eighth in all.

use std::collections::BTreeMap;

use crate::share::Share;
use crate::units;
use siskinyoke_base::Millis;
use siskinyoke_base::OrganisationId;

/// Seconds of allowance that may be saved up: one long composition may come at once.
const SAVED: f64 = 4.0;

/// Token buckets by organisation; those without one are not limited.
#[derive(Debug, Default)]
pub(crate) struct Allowances {
    buckets: BTreeMap<OrganisationId, Bucket>,
}

#[derive(Debug)]
struct Bucket {
    rate: u32,
    share: Share,
    left: f64,
    seen: Millis,
}

impl Allowances {
    /// Sets or lifts an organisation's allowance in tokens a second.
    pub(crate) fn set(&mut self, id: &OrganisationId, rate: Option<u32>) {
        let Some(rate) = rate else {
            self.buckets.remove(id);
            return;
        };
        let bucket = self.buckets.entry(id.clone()).or_insert(Bucket {
            rate,
            share: Share::default(),
            left: f64::from(rate) * SAVED,
            seen: Millis::ZERO,
        });
        bucket.rate = rate;
    }

    /// Takes a lease on an organisation's allowance.
    pub(crate) fn grant(&mut self, id: &OrganisationId, units: u32, until: Millis) {
        if let Some(bucket) = self.buckets.get_mut(id) {
            bucket.share.grant(units, until);
        }
    }

    /// Takes tokens; `Err` says after which span they would be there.
    ///
    /// Protected work is let through into debt, which the organisation's other work pays back:
    /// a quota may not shed a teacher's marking while lower tiers run.
    pub(crate) fn take(
        &mut self,
        now: Millis,
        instances: u32,
        id: &OrganisationId,
        tokens: f64,
        protected: bool,
    ) -> Result<(), Millis> {
        let Some(bucket) = self.buckets.get_mut(id) else {
            return Ok(());
        };
        let rate = f64::from(bucket.share.limit(now, bucket.rate, instances)).max(1.0);
        let earned = now.since(bucket.seen).as_secs() * rate;
        bucket.left = (bucket.left + earned).min(f64::from(bucket.rate) * SAVED);
        bucket.seen = now;
        let needed = tokens.min(rate * SAVED);
        if bucket.left < needed && !protected {
            return Err(units::millis((needed - bucket.left) / rate));
        }
        bucket.left -= tokens;
        Ok(())
    }

    /// Lists the organisations with an allowance, in tokens a second.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&OrganisationId, u32)> {
        self.buckets.iter().map(|(id, bucket)| (id, bucket.rate))
    }
}

//! Identity and fixed settings of an instance.

use crate::organisation_shares::share_weights::WeightSource;
use crate::quota::QuotaPolicy;
use crate::report::InstanceLocation;
use siskinyoke_base::Millis;

/// Identity and settings of an instance, fixed for the lifetime of its process.
#[derive(Debug, Clone)]
pub struct Identity {
    /// The instance's name.
    pub name: String,
    /// Its addresses and data centre.
    pub location: InstanceLocation,
    /// Random identifier of this process, distinguishing it from earlier ones of the same name.
    pub incarnation: u64,
    /// Maximum ratio of retries to a service's requests, over all instances.
    pub retry_ratio: f64,
    /// Retries allowed beyond that ratio, over all instances.
    pub retry_slack: f64,
    /// Maximum share of a service's requests that a canary version may receive, over all instances.
    pub max_exposure: f64,
    /// Time after the end of a disturbance within which changes take effect at normal speed again.
    pub settling_time: Millis,
    /// The weights by which slots are divided between organisations.
    pub share_weights: WeightSource,
    /// How compliance with quotas is measured.
    pub quota_policy: QuotaPolicy,
}

//! What an instance is.

use crate::quota::QuotaPolicy;
use crate::report::InstanceLocation;
use siskinyoke_base::Millis;

/// What an instance is, fixed for the life of its process.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Its name.
    pub name: String,
    /// Where it is found.
    pub location: InstanceLocation,
    /// Names this start of its process; drawn at random.
    pub incarnation: u64,
    /// The part of a service's requests that may be sent again, over all instances.
    pub retry_ratio: f64,
    /// Retries allowed beside that part, over all instances.
    pub retry_slack: f64,
    /// The part of a service's requests that a version on trial may get, over all instances.
    pub max_exposure: f64,
    /// The time from the end of a disturbance until changes must be in force as usual.
    pub settling_time: Millis,
    /// How quotas are measured.
    pub quota_policy: QuotaPolicy,
}

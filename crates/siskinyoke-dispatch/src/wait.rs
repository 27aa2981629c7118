//! How long a request may wait, and when a refused one should return.

use std::sync::Arc;

use crate::Endpoint;
use crate::Kind;
use crate::ScheduledRequest;
use crate::latency_model::LatencyModel;
use crate::latency_model::millis_from_f64;
use crate::latency_model::millis_to_f64;
use siskinyoke_base::Millis;

/// The part of what the latency objective leaves, less the expected time to the first part, that a
/// request may wait for and still count as on time.
///
/// Beyond it the answer would be late, and a late answer takes the place of one that could be on time. The
/// tenth that is left covers what that time scatters by.
const ON_TIME_RATIO: f64 = 0.9;

/// The part of a request's own time on an endpoint by which it stands behind shorter ones.
///
/// A fifth puts work of two seconds behind all that comes within the next four tenths.
const LENGTH_PENALTY_RATIO: f64 = 0.2;

/// The most of it, as a part of the objective: long work that has waited for so long stands before short
/// work that comes now, so that none waits for ever.
const MAX_PENALTY_RATIO: f64 = 0.4;

/// Returns the turn of a request among those of its order.
///
/// Where more is asked for than there are places, short work first serves more callers in time; times on an
/// endpoint differ a hundredfold.
pub(crate) fn virtual_arrival(pending: &ScheduledRequest, load: LatencyModel) -> Millis {
    let max_penalty = millis_to_f64(pending.route.latency_target) * MAX_PENALTY_RATIO;
    let penalty = (millis_to_f64(load.service_time_of(&pending.tokens)) * LENGTH_PENALTY_RATIO)
        .min(max_penalty);
    pending
        .arrived
        .since(millis_from_f64(max_penalty - penalty))
}

/// Returns how long a request may wait and still be of use.
///
/// What lost its first endpoint is served even late, up to the time that its own run needs. All other work
/// waits only as long as its answer can still be on time, whatever its rank: served first come first
/// served, urgent work is all late in a peak.
pub(crate) fn queue_timeout(pending: &ScheduledRequest, load: LatencyModel) -> Millis {
    let whole = max_wait(pending, load);
    if is_retry(pending) {
        return whole;
    }
    let response_time = if pending.route.kind == Kind::Stream {
        load.first_part_time(&pending.tokens)
    } else {
        load.mean_service_time()
    };
    let slack =
        pending.route.latency_target.since(response_time).as_secs() * 1000.0 * ON_TIME_RATIO;
    whole.min(millis_from_f64(slack))
}

/// Returns how long a request may wait whose answer will be late: half of its time, so that its
/// caller has the other half to come back in.
pub(crate) fn late_timeout(pending: &ScheduledRequest, load: LatencyModel) -> Millis {
    Millis(pending.deadline.since(pending.arrived).0 / 2).min(max_wait(pending, load))
}

// The longest wait after which the caller is still there for the answer.
pub(crate) fn max_wait(pending: &ScheduledRequest, load: LatencyModel) -> Millis {
    let whole = pending
        .deadline
        .since(pending.arrived)
        .since(load.mean_service_time());
    whole.min(
        pending
            .route
            .caller_timeout()
            .since(load.first_part_time(&pending.tokens)),
    )
}

// Whether every endpoint that could take a request was tried for it: no wait can help then.
pub(crate) fn all_tried(pending: &ScheduledRequest, fit: &[Arc<Endpoint>]) -> bool {
    !pending.tried.is_empty() && fit.iter().all(|it| pending.tried.contains(&it.key()))
}

// Whether a request waits as long as its caller does: one that lost its endpoint has waited before.
pub(crate) fn is_retry(pending: &ScheduledRequest) -> bool {
    !pending.tried.is_empty()
}

// Spreads returns over half as much time again, so that callers refused together do not return
// together.
pub(crate) fn with_jitter(after: Millis, pending: &ScheduledRequest) -> Millis {
    after + Millis(after.0 * (pending.fingerprint % 64) / 128)
}

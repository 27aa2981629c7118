//! Queue order by service time, queue timeouts, and jitter for retries.

use std::sync::Arc;

use crate::Endpoint;
use crate::RouteKind;
use crate::ScheduledRequest;
use crate::latency_model::LatencyModel;
use crate::latency_model::millis_from_f64;
use crate::latency_model::millis_to_f64;
use siskinyoke_base::Millis;

/// The share of the latency target, less the expected response time, that a request may spend in
/// the queue and still count as on time.
///
/// After a longer wait the response would be late, and would use a slot that another request needs
/// to be on time. The remaining tenth covers the variance of the response time.
const ON_TIME_RATIO: f64 = 0.9;

/// The largest penalty for long requests in the queue order, as a share of the latency target.
///
/// A long request that has waited for that time goes before any short one that arrives now.
const MAX_PENALTY_RATIO: f64 = 0.4;

/// The largest precedence of long requests in the queue order, as a share of the latency target.
const MAX_PRECEDENCE_RATIO: f64 = 1.0;

/// Returns the arrival time that determines a request's position among those of the same order.
///
/// Under overload, more callers are served in time if short requests go first: service times differ
/// a hundredfold. `penalty_ratio` is the penalty for long ones as a share of their service time; if it
/// is negative, they take precedence. A stream that its caller takes up goes before new requests: its
/// first events would be of no use without the others, and only endpoints of its version can send
/// these.
pub(crate) fn virtual_arrival(
    request: &ScheduledRequest,
    latency: LatencyModel,
    penalty_ratio: f64,
) -> Millis {
    if is_taken_up(request) {
        return request.arrived.since(request.route.latency_target);
    }
    let target = millis_to_f64(request.route.latency_target);
    let max_penalty = target * MAX_PENALTY_RATIO;
    let penalty = millis_to_f64(latency.service_time_of(&request.tokens)) * penalty_ratio;
    let penalty = penalty.clamp(-target * MAX_PRECEDENCE_RATIO, max_penalty);
    request
        .arrived
        .since(millis_from_f64(max_penalty - penalty))
}

/// Returns how long a request may wait in the queue and still be on time.
///
/// A retried request is served even if it is late, as long as its caller waits for it, and so is a
/// stream that its caller takes up. Any other request waits only while its response can still be on
/// time, whatever its priority: in plain order of arrival, all urgent requests would be late during
/// a peak.
pub(crate) fn queue_timeout(request: &ScheduledRequest, latency: LatencyModel) -> Millis {
    let max_wait = max_wait(request, latency);
    if is_retry(request) || is_taken_up(request) {
        return max_wait;
    }
    let response_time = if request.route.kind == RouteKind::Stream {
        latency.first_part_time(&request.tokens)
    } else {
        latency.mean_service_time()
    };
    let slack =
        request.route.latency_target.since(response_time).as_secs() * 1000.0 * ON_TIME_RATIO;
    max_wait.min(millis_from_f64(slack))
}

/// Returns how long a late request may wait in the queue: at most half of the time to its deadline,
/// so that its caller can retry in the other half.
pub(crate) fn late_timeout(request: &ScheduledRequest, latency: LatencyModel) -> Millis {
    Millis(request.deadline.since(request.wait_start).0 / 2).min(max_wait(request, latency))
}

// Returns the longest queue wait after which the response still arrives before the caller gives up.
pub(crate) fn max_wait(request: &ScheduledRequest, latency: LatencyModel) -> Millis {
    let until_deadline = request
        .deadline
        .since(request.wait_start)
        .since(latency.mean_service_time());
    until_deadline.min(
        request
            .route
            .caller_timeout()
            .since(latency.first_part_time(&request.tokens)),
    )
}

// Returns whether a request was sent to each of the given endpoints, so that none is left to it.
pub(crate) fn all_tried<'a>(
    request: &ScheduledRequest,
    endpoints: impl IntoIterator<Item = &'a Arc<Endpoint>>,
) -> bool {
    let tried = &request.tried;
    let mut endpoints = endpoints.into_iter();
    !tried.is_empty() && endpoints.all(|it| tried.contains(&it.key()))
}

// Returns whether an earlier attempt at the request failed.
pub(crate) fn is_retry(request: &ScheduledRequest) -> bool {
    !request.tried.is_empty()
}

// Returns whether it goes on with a stream that began before.
pub(crate) fn is_taken_up(request: &ScheduledRequest) -> bool {
    request.version.is_some()
}

// Adds up to half of the delay as jitter, so that callers that are refused together do not retry at
// the same time.
pub(crate) fn with_jitter(after: Millis, fingerprint: u64) -> Millis {
    after + Millis(after.0 * (fingerprint % 64) / 128)
}

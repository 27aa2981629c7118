//! Expected waits in the queue, and retry delays of refused requests.

use std::cmp::Ordering;

use super::ClusterView;
use super::Scheduler;
use crate::Refusal;
use crate::RefusalReason;
use crate::ScheduledRequest;
use crate::endpoint_speed::EndpointSpeed;
use crate::forecast::WaitForecast;
use crate::latency_model::millis_from_f64;
use crate::latency_model::millis_to_f64;
use crate::organisation_shares::share_class::ShareClass;
use crate::placement::TIMEOUT_MARGIN_RATIO;
use crate::queue::Queue;
use crate::report::WaitingRow;
use crate::report::short_hash;
use crate::wait;
use siskinyoke_base::Millis;

/// The shortest retry delay.
const MIN_RETRY_AFTER: Millis = Millis(50);

/// The part of the time to its deadline after which a request returns that may need all of that time.
const LONG_RETURN_DIVISOR: u64 = 8;

/// The share of its expected service time that a response takes at least, in most cases.
const LIKELY_TIME_RATIO: f64 = 0.75;

impl Scheduler {
    // Returns the retry delay of a refused request that could get a slot after `wait`.
    //
    // To long requests it leaves enough time for the response: a caller that returns later is cut off
    // at its deadline. Short ones lose nothing by returning late.
    pub(super) fn retry_after(
        &mut self,
        view: &ClusterView<'_>,
        request: &ScheduledRequest,
        wait: Millis,
    ) -> Millis {
        let now = view.now;
        let overload = self.overloads.entry((
            request.service.clone(),
            request.priority,
            request.share_class,
        ));
        let duration = overload.or_default().record_refusal(now);
        let delay = wait::with_jitter(wait.max(duration), request.fingerprint);
        let backoff = self.backoff_wait(view, &request.service);
        let latest = self.latest_return(view, request);
        let delay = latest.map_or(delay, |it| delay.min(it));
        delay.max(backoff).max(MIN_RETRY_AFTER)
    }

    // Returns the longest retry delay after which a request that takes longer than most can still be
    // served: half of the time that its response leaves, and for one that takes all of it a small part.
    fn latest_return(&self, view: &ClusterView<'_>, request: &ScheduledRequest) -> Option<Millis> {
        let latency = self.latency_model(&request.service);
        if latency.service_time_of(&request.tokens) <= latency.mean_service_time() {
            return None;
        }
        let time = self.fastest_time(view, request)?;
        let remaining = request.deadline.since(view.now);
        let spare = remaining.since(millis_from_f64(time * TIMEOUT_MARGIN_RATIO));
        Some(Millis((spare.0 / 2).max(remaining.0 / LONG_RETURN_DIVISOR)))
    }

    // Returns whether a request would be on time if it were queued now.
    pub(super) fn expected_on_time(
        &self,
        view: &ClusterView<'_>,
        request: &ScheduledRequest,
    ) -> bool {
        let wait = self.expected_wait(view, request);
        self.weigh_wait(view.now, request, wait)
            <= wait::queue_timeout(request, self.latency_model(&request.service))
    }

    // Returns whether the response to a request may be complete before its deadline at the fastest
    // endpoint.
    pub(super) fn may_complete(&self, view: &ClusterView<'_>, request: &ScheduledRequest) -> bool {
        let remaining = millis_to_f64(request.deadline.since(view.now));
        let time = self.fastest_time(view, request);
        time.is_none_or(|it| it * LIKELY_TIME_RATIO <= remaining)
    }

    // Returns the expected service time of a request at the fastest endpoint that is not backing off,
    // in ms.
    fn fastest_time(&self, view: &ClusterView<'_>, request: &ScheduledRequest) -> Option<f64> {
        let available = self.available(view.now, view.registry.eligible(&request.service));
        let speeds = available.iter().map(|it| self.selector.speed(it.key()));
        let latency = self.latency_model(&request.service);
        Some(latency.service_time_at(&request.tokens, EndpointSpeed::fastest_of(speeds)?))
    }

    // Marks a request late, or refuses it if it would wait too long even then. Requests above their
    // organisation's share do not wait once they are late: long waits would give them the slots that
    // become free between other requests.
    pub(super) fn admit_late(
        &mut self,
        view: &ClusterView<'_>,
        request: ScheduledRequest,
    ) -> Result<ScheduledRequest, Refusal> {
        let request = ScheduledRequest {
            late: true,
            ..request
        };
        let wait = self.expected_wait(view, &request);
        let timeout = wait::late_timeout(&request, self.latency_model(&request.service));
        let weighed = self.weigh_wait(view.now, &request, wait);
        if weighed <= timeout && request.share_class != ShareClass::Above {
            return Ok(request);
        }
        let backoff = self.backoff_wait(view, &request.service);
        let delay = wait.since(timeout).max(backoff);
        Err(Refusal {
            reason: RefusalReason::Overload,
            retry_after: self.retry_after(view, &request, delay),
        })
    }

    // Returns the wait by which it is decided whether to queue a request: less than the expected one
    // if requests of its size are served less often than others.
    pub(super) fn weigh_wait(
        &self,
        now: Millis,
        request: &ScheduledRequest,
        expected: Millis,
    ) -> Millis {
        let latency = self.latency_model(&request.service);
        let service_time = millis_to_f64(latency.service_time_of(&request.tokens));
        let tolerance = self
            .size_shares
            .wait_tolerance(now, &request.route, service_time);
        millis_from_f64(millis_to_f64(expected) / tolerance)
    }

    // Returns how long a request would wait if it were queued now.
    pub(super) fn expected_wait(
        &self,
        view: &ClusterView<'_>,
        request: &ScheduledRequest,
    ) -> Millis {
        let ahead = self.work_ahead(view, request);
        let backoff = self.backoff_wait(view, &request.service);
        backoff + self.forecast(view, request, backoff).wait(ahead)
    }

    // Returns the total service time, in ms, of the requests ahead of a request, here and at peers.
    fn work_ahead(&self, view: &ClusterView<'_>, request: &ScheduledRequest) -> f64 {
        let latency = self.latency_model(&request.service);
        let available = self.available(view.now, view.registry.eligible(&request.service));
        let own = self.queues.get(&request.service).into_iter();
        let own = own.flat_map(Queue::iter);
        let own = own
            .take_while(|key| (key.0, key.1) <= (request.queue_order(), request.virtual_arrival));
        // A request that all available endpoints have rejected takes none of their slots, and neither
        // does one that waits for a faster endpoint.
        let own = own
            .filter(|key| !self.held_back.contains(&key.2))
            .map(|key| &self.waiting[&key.2])
            .filter(|it| available.is_empty() || !wait::all_tried(it, available.iter().copied()));
        let own: f64 = own
            .map(|it| millis_to_f64(latency.service_time_of(&it.tokens)))
            .sum();
        let peers = view.peers.waiting(view.now, short_hash(&request.service));
        let age = millis_to_f64(view.now.since(request.virtual_arrival));
        own + peers
            .map(|row| peer_work_ahead(&row, request, age))
            .sum::<f64>()
    }

    // Returns the forecast for the time at which the first back-off has ended.
    fn forecast(
        &self,
        view: &ClusterView<'_>,
        request: &ScheduledRequest,
        backoff: Millis,
    ) -> WaitForecast {
        let eligible = view.registry.eligible(&request.service);
        let available = self.available(view.now + backoff, eligible);
        let available = available.into_iter();
        let latency = self.latency_model(&request.service);
        let capacity = available.map(|it| self.effective_slots(it, &latency));
        let demand = self.demands.get(&request.service);
        // What is offered by organisations within their shares is more than what they are served,
        // so for requests above a share it would leave no slot at all.
        let order = request.queue_order().within_share();
        let own_demand = demand.map_or(0.0, |it| it.slots_before(view.now, order));
        let instances = u32::try_from(view.peers.instance_count(view.now)).unwrap_or(u32::MAX);
        WaitForecast {
            capacity: capacity.sum(),
            future_demand: own_demand * f64::from(instances),
        }
    }
}

// Returns the service time of a peer's waiting requests that go before a request of this age. The
// report contains only the age of the oldest one, so the others are assumed to be evenly spread.
fn peer_work_ahead(row: &WaitingRow, request: &ScheduledRequest, age: f64) -> f64 {
    let total = f64::from(row.service_time);
    let oldest = f64::from(row.oldest_wait);
    match row.order.cmp(&request.queue_order()) {
        Ordering::Less => total,
        Ordering::Equal if oldest > age => total * (oldest - age) / oldest,
        _ => 0.0,
    }
}

//! How long requests are expected to wait, and when refused ones should come back.

use std::cmp::Ordering;

use super::ClusterView;
use super::Scheduler;
use crate::Refusal;
use crate::RefusalReason;
use crate::ScheduledRequest;
use crate::forecast::WaitForecast;
use crate::latency_model::millis_to_f64;
use crate::queue::Queue;
use crate::report::WaitingRow;
use crate::report::short_hash;
use crate::wait;
use siskinyoke_base::Millis;

/// How much longer than now it may take for a caller to come back, at least.
const MIN_RETRY_AFTER: Millis = Millis(50);

impl Scheduler {
    // When a request should come back for which there is expected to be a place after `wait`.
    pub(super) fn retry_after(
        &mut self,
        now: Millis,
        request: &ScheduledRequest,
        wait: Millis,
    ) -> Millis {
        let window = self
            .overloads
            .entry((request.service.clone(), request.priority));
        let lasted = window.or_default().record_refusal(now);
        wait::with_jitter(wait.max(lasted).max(MIN_RETRY_AFTER), request)
    }

    // Whether a request is expected to be on time, were it to join its queue now.
    pub(super) fn expected_on_time(
        &self,
        view: &ClusterView<'_>,
        request: &ScheduledRequest,
    ) -> bool {
        self.expected_wait(view, request)
            <= wait::queue_timeout(request, self.latency_model(&request.service))
    }

    // Turns a request into one that is served late, or refuses it where that would take too long.
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
        let bearable = wait::late_timeout(&request, self.latency_model(&request.service));
        if wait <= bearable {
            return Ok(request);
        }
        Err(Refusal {
            reason: RefusalReason::Overload,
            retry_after: self.retry_after(view.now, &request, wait.since(bearable)),
        })
    }

    // How long a request is expected to wait, were it to join its queue now.
    pub(super) fn expected_wait(
        &self,
        view: &ClusterView<'_>,
        request: &ScheduledRequest,
    ) -> Millis {
        let ahead = self.work_ahead(view, request);
        self.forecast(view, request).wait(ahead)
    }

    // Sums up the work that goes before a request, here and at peers.
    fn work_ahead(&self, view: &ClusterView<'_>, request: &ScheduledRequest) -> f64 {
        let latency = self.latency_model(&request.service);
        let own = self.queues.get(&request.service).into_iter();
        let own = own.flat_map(Queue::iter);
        let own = own.take_while(|place| {
            (place.0, place.1) <= (request.queue_order(), request.virtual_arrival)
        });
        let own: f64 = own
            .map(|place| millis_to_f64(latency.service_time_of(&self.waiting[&place.2].tokens)))
            .sum();
        let others = view.peers.waiting(view.now, short_hash(&request.service));
        let age = millis_to_f64(view.now.since(request.virtual_arrival));
        own + others
            .map(|row| peer_work_ahead(&row, request, age))
            .sum::<f64>()
    }

    fn forecast(&self, view: &ClusterView<'_>, request: &ScheduledRequest) -> WaitForecast {
        let awake = self.available(view.now, view.registry.eligible(&request.service));
        let awake = awake.into_iter();
        let latency = self.latency_model(&request.service);
        let capacity = awake.map(|it| self.effective_slots(it, &latency));
        let demand = self.demands.get(&request.service);
        let before = demand.map_or(0.0, |it| {
            it.slots_before(view.now, request.priority, request.late)
        });
        let instances = u32::try_from(view.peers.instance_count(view.now)).unwrap_or(u32::MAX);
        WaitForecast {
            capacity: capacity.sum(),
            future_demand: before * f64::from(instances),
        }
    }
}

// The part of a peer's waiting work that goes before a request which has waited for so long. Nothing is
// told of the rows in between, so their turns are taken to be evenly spread.
fn peer_work_ahead(row: &WaitingRow, request: &ScheduledRequest, age: f64) -> f64 {
    let work = f64::from(row.service_time);
    let oldest = f64::from(row.oldest_wait);
    match row.order.cmp(&request.queue_order()) {
        Ordering::Less => work,
        Ordering::Equal if oldest > age => work * (oldest - age) / oldest,
        _ => 0.0,
    }
}

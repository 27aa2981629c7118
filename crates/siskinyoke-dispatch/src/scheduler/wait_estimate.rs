//! How long requests are expected to wait, and when refused ones should come back.

use std::cmp::Ordering;

use super::Scheduler;
use super::View;
use crate::Pending;
use crate::Refusal;
use crate::RefusalReason;
use crate::forecast::Forecast;
use crate::latency_model::float;
use crate::queue::Queue;
use crate::report::WaitingRow;
use crate::report::short_hash;
use crate::wait;
use siskinyoke_base::Millis;

/// How much longer than now it may take for a caller to come back, at least.
const SOONEST: Millis = Millis(50);

impl Scheduler {
    // When a request should come back for which there is expected to be a place after `wait`.
    pub(super) fn back(&mut self, now: Millis, pending: &Pending, wait: Millis) -> Millis {
        let window = self
            .overloads
            .entry((pending.service.clone(), pending.rank));
        let lasted = window.or_default().refused(now);
        wait::spread(wait.max(lasted).max(SOONEST), pending)
    }

    // Whether a request is expected to be on time, were it to join its queue now.
    pub(super) fn on_time(&self, view: &View<'_>, pending: &Pending) -> bool {
        self.wait(view, pending) <= wait::queue_timeout(pending, self.load(&pending.service))
    }

    // Turns a request into one that is served late, or refuses it where that would take too long.
    pub(super) fn as_late(
        &mut self,
        view: &View<'_>,
        pending: Pending,
    ) -> Result<Pending, Refusal> {
        let pending = Pending {
            late: true,
            ..pending
        };
        let wait = self.wait(view, &pending);
        let bearable = wait::late_timeout(&pending, self.load(&pending.service));
        if wait <= bearable {
            return Ok(pending);
        }
        Err(Refusal {
            reason: RefusalReason::Overload,
            retry_after: self.back(view.now, &pending, wait.since(bearable)),
        })
    }

    // How long a request is expected to wait, were it to join its queue now.
    pub(super) fn wait(&self, view: &View<'_>, pending: &Pending) -> Millis {
        let ahead = self.ahead(view, pending);
        self.forecast(view, pending).wait(ahead)
    }

    // Sums up the work that goes before a request, here and at peers.
    fn ahead(&self, view: &View<'_>, pending: &Pending) -> f64 {
        let load = self.load(&pending.service);
        let own = self.queues.get(&pending.service).into_iter();
        let own = own.flat_map(Queue::iter);
        let own = own.take_while(|place| (place.0, place.1) <= (pending.order(), pending.position));
        let own: f64 = own
            .map(|place| float(load.stay_of(&self.waiting[&place.2].work)))
            .sum();
        let others = view.peers.waiting(view.now, short_hash(&pending.service));
        let age = float(view.now.since(pending.position));
        own + others.map(|row| earlier(&row, pending, age)).sum::<f64>()
    }

    fn forecast(&self, view: &View<'_>, pending: &Pending) -> Forecast {
        let awake = self.awake(view.now, view.registry.fit(&pending.service));
        let awake = awake.into_iter();
        let load = self.load(&pending.service);
        let capacity = awake.map(|it| self.capacity(it, &load));
        let demand = self.demands.get(&pending.service);
        let before = demand.map_or(0.0, |it| it.before(view.now, pending.rank, pending.late));
        let instances = u32::try_from(view.peers.count(view.now)).unwrap_or(u32::MAX);
        Forecast {
            capacity: capacity.sum(),
            before: before * f64::from(instances),
        }
    }
}

// The part of a peer's waiting work that goes before a request which has waited for so long. Nothing is
// told of the rows in between, so their turns are taken to be evenly spread.
fn earlier(row: &WaitingRow, pending: &Pending, age: f64) -> f64 {
    let work = f64::from(row.service_time);
    let oldest = f64::from(row.oldest_wait);
    match row.order.cmp(&pending.order()) {
        Ordering::Less => work,
        Ordering::Equal if oldest > age => work * (oldest - age) / oldest,
        _ => 0.0,
    }
}

//! What becomes of requests that have waited for as long as they can use.

use std::sync::Arc;

use super::Decision;
use super::LATE;
use super::SOONEST;
use super::Scheduler;
use super::place;
use super::places;
use super::to_usize;
use crate::Reason;
use crate::Refusal;
use crate::Ticket;
use crate::queue::Place;
use crate::registry::Registry;
use crate::wait;
use siskinyoke_base::Millis;

impl Scheduler {
    pub(super) fn expire(
        &mut self,
        now: Millis,
        service: &Arc<str>,
        registry: &Registry,
        decisions: &mut Vec<Decision>,
    ) {
        let places = places(service, registry);
        let load = self.load(service);
        let waiting: Vec<Place> = self.queues[service].iter().collect();
        let mut late = waiting
            .iter()
            .filter(|place| self.waiting[&place.2].late)
            .count();
        for (_, arrived, ticket) in waiting {
            let ask = &self.waiting[&ticket];
            if wait::spent(ask, registry.fit(service)) {
                let refusal = Refusal {
                    reason: Reason::NoEndpoint,
                    after: load.stay(),
                };
                self.cancel(ticket);
                decisions.push(Decision::Refuse(ticket, refusal));
                continue;
            }
            let bearable = if ask.late {
                wait::endurance(ask, load)
            } else {
                wait::patience(ask, load)
            };
            if now < arrived + bearable {
                continue;
            }
            if !ask.late && !wait::urgent(ask) && late < LATE * to_usize(places) {
                late += 1;
                self.put_off(ticket);
                continue;
            }
            let after = wait::spread(load.stay().max(SOONEST), ask);
            self.cancel(ticket);
            decisions.push(Decision::Refuse(
                ticket,
                Refusal {
                    reason: Reason::Waited,
                    after,
                },
            ));
        }
    }

    // Moves a request behind what can still be on time.
    fn put_off(&mut self, ticket: Ticket) {
        let Some(ask) = self.waiting.get_mut(&ticket) else {
            return;
        };
        let Some(queue) = self.queues.get_mut(&ask.service) else {
            return;
        };
        queue.remove(place(ticket, ask));
        ask.late = true;
        queue.push(place(ticket, ask));
    }
}

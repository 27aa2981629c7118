//! What is to happen in virtual time, in its order.

use std::collections::BTreeMap;

use siskinyoke_base::EndpointId;
use siskinyoke_base::Incarnation;
use siskinyoke_base::Millis;
use siskinyoke_control::DispatchId;
use siskinyoke_control::DispatchSpec;
use siskinyoke_control::core::DispatchNews;
use siskinyoke_control::core::Event;

/// One thing to happen.
#[derive(Debug, Clone)]
pub enum Due {
    /// A daemon start gets an event.
    Event(usize, Incarnation, Event),
    /// An endpoint's process dies of a request's content.
    Crash(EndpointId, String),
}

/// What is to happen, by time and then by the order in which it was put in.
#[derive(Debug, Default)]
pub struct Queue {
    entries: BTreeMap<(Millis, u64), Due>,
    carried: BTreeMap<(Incarnation, DispatchId), (EndpointId, String)>,
    serial: u64,
}

impl Queue {
    /// Puts something in.
    pub fn push(&mut self, at: Millis, due: Due) {
        self.serial += 1;
        self.entries.insert((at, self.serial), due);
    }

    /// Takes out the next thing, if it is due by `until`.
    pub fn pop(&mut self, until: Millis) -> Option<(Millis, Due)> {
        let (at, _) = *self.entries.first_key_value()?.0;
        if at > until {
            return None;
        }
        self.entries.pop_first().map(|(_, due)| (at, due))
    }

    /// Notes which endpoint a dispatch went to, and its body.
    pub fn carry(&mut self, from: Incarnation, spec: &DispatchSpec, body: &str) {
        let carried = (spec.endpoint.clone(), body.to_owned());
        self.carried.insert((from, spec.dispatch), carried);
    }

    /// Breaks all dispatches on an endpoint, as what it would have sent later never comes;
    /// returns their bodies.
    pub fn break_off(&mut self, now: Millis, endpoint: &EndpointId) -> Vec<String> {
        let mut broken = BTreeMap::new();
        let carried = &self.carried;
        self.entries.retain(|_, due| {
            let Due::Event(index, from, Event::Dispatch { dispatch, news }) = due else {
                return true;
            };
            let carried = carried.get(&(*from, *dispatch));
            let here = carried.is_some_and(|(at, _)| at == endpoint);
            let sent = matches!(news, DispatchNews::Unreachable { .. });
            if here && !sent {
                broken.insert((*from, *dispatch), *index);
            }
            !here || sent
        });
        let mut bodies = Vec::new();
        for ((from, dispatch), index) in broken {
            let carried = self.carried.get(&(from, dispatch));
            bodies.extend(carried.map(|(_, body)| body.clone()));
            let detail = String::from("connection reset");
            let news = DispatchNews::Broken { detail };
            let event = Event::Dispatch { dispatch, news };
            self.push(now + Millis(1), Due::Event(index, from, event));
        }
        bodies
    }
}

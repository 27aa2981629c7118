//! Use of an endpoint's slots while responses and the next requests are in transit.

mod common;

use std::collections::VecDeque;

use crate::common::endpoint;
use crate::common::running_row;
use crate::common::scheduled_request;
use siskinyoke_base::Millis;
use siskinyoke_dispatch::Decision;
use siskinyoke_dispatch::Outcome;
use siskinyoke_dispatch::RouteKind;
use siskinyoke_dispatch::Scheduler;
use siskinyoke_dispatch::Ticket;
use siskinyoke_dispatch::peers::Peers;
use siskinyoke_dispatch::registry::Registry;

const SLOTS_PER_ENDPOINT: u32 = 6;

/// How long a request or a response is in transit, including processing by a small instance.
const NETWORK_DELAY_MS: u64 = 10;

/// The service times at the fast endpoint and at the one of usual speed.
const FAST_SERVICE_MS: u64 = 100;
const USUAL_SERVICE_MS: u64 = 200;

/// The simulated duration.
const DURATION_MS: u64 = 20_000;

/// A simulated endpoint that runs requests in order of arrival.
struct Engine {
    name: &'static str,
    service_ms: u64,
    // Requests in transit or waiting for a slot, with their arrival times.
    queue: VecDeque<(u64, Ticket)>,
    // When each slot becomes free.
    slots: Vec<u64>,
    // The total time for which slots were in use.
    busy_ms: u64,
    // The longest wait for a slot.
    max_wait: u64,
}

impl Engine {
    fn new(name: &'static str, service_ms: u64) -> Self {
        Self {
            name,
            service_ms,
            queue: VecDeque::new(),
            slots: vec![0; SLOTS_PER_ENDPOINT as usize],
            busy_ms: 0,
            max_wait: 0,
        }
    }

    // Starts waiting requests on free slots, and returns them with the arrival times of their
    // responses.
    fn start(&mut self, now: u64) -> Vec<(u64, Ticket)> {
        let mut responses = Vec::new();
        while let Some((at, ticket)) = self.queue.front().copied()
            && at <= now
            && let Some(slot) = self.slots.iter_mut().find(|it| **it <= now)
        {
            self.queue.pop_front();
            *slot = now + self.service_ms;
            self.busy_ms += self.service_ms;
            self.max_wait = self.max_wait.max(now - at);
            responses.push((now + self.service_ms + NETWORK_DELAY_MS, ticket));
        }
        responses
    }
}

// A fast endpoint and one of usual speed are under full load. Guards against sending the next
// request only after the previous response has arrived: the slots of the fast endpoint would be
// idle for a sixth of the time although requests wait for it.
#[test]
fn under_full_load_the_slots_of_a_fast_endpoint_are_rarely_idle() {
    let mut scheduler = Scheduler::new("me", "a");
    let mut registry = Registry::default();
    for id in ["fast", "usual"] {
        registry.put(Millis(0), endpoint(id, SLOTS_PER_ENDPOINT));
    }
    for (id, speed_factor) in [("fast", 4), ("usual", 8)] {
        let mut row = running_row(id, 0);
        row.speed_factor = speed_factor;
        scheduler.record_peer_speeds(&[row]);
    }
    let peers = Peers::default();
    let mut engines = [
        Engine::new("fast", FAST_SERVICE_MS),
        Engine::new("usual", USUAL_SERVICE_MS),
    ];
    let mut responses: Vec<(u64, Ticket)> = Vec::new();
    for now in 1..DURATION_MS {
        while scheduler.request_counts().0 < 20 {
            let request = scheduled_request(RouteKind::Safe, 0, now);
            assert!(
                scheduler
                    .admit(Millis(now), request, &registry, &peers)
                    .is_ok()
            );
        }
        let (arrived, rest) = responses
            .into_iter()
            .partition(|response| response.0 <= now);
        responses = rest;
        for (_, ticket) in arrived {
            scheduler.attempt_ended(Millis(now), ticket, outcome());
        }
        for decision in scheduler.decide(Millis(now), &registry, &peers) {
            if let Decision::Start(ticket, endpoint) = decision {
                let engine = engines.iter_mut().find(|it| it.name == &*endpoint.id);
                engine
                    .unwrap()
                    .queue
                    .push_back((now + NETWORK_DELAY_MS, ticket));
            }
        }
        responses.extend(engines.iter_mut().flat_map(|it| it.start(now)));
    }
    let used_percent = engines[0].busy_ms * 100 / (DURATION_MS * u64::from(SLOTS_PER_ENDPOINT));
    assert!(used_percent >= 92, "{used_percent} % of slot time in use");
    assert_eq!(
        engines[1].max_wait, 0,
        "wait at the endpoint of usual speed"
    );
}

// A complete response at the speed that the peers reported.
fn outcome() -> Outcome {
    Outcome::Completed {
        first_latency: Millis(100),
        total: Millis(200),
        parts: 0,
        longest_pause: Millis::ZERO,
    }
}

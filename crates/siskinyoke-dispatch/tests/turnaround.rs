//! Endpoints whose slots stand idle while the end of an answer and the next request are on their way.

mod common;

use std::collections::VecDeque;

use crate::common::endpoint;
use crate::common::pending;
use crate::common::running_row;
use siskinyoke_base::Millis;
use siskinyoke_dispatch::Decision;
use siskinyoke_dispatch::Kind;
use siskinyoke_dispatch::Outcome;
use siskinyoke_dispatch::Scheduler;
use siskinyoke_dispatch::Ticket;
use siskinyoke_dispatch::peers::Peers;
use siskinyoke_dispatch::registry::Registry;

const SLOTS: u32 = 6;

/// How long a request or an answer is on its way, with what it waits for a small instance, in ms.
const NETWORK_DELAY_MS: u64 = 10;

/// How long a request runs at the fast endpoint, and at the usual one.
const FAST_SERVICE_MS: u64 = 100;
const USUAL_SERVICE_MS: u64 = 200;

/// How long a full load is played, in ms.
const DURATION_MS: u64 = 20_000;

/// An endpoint that runs what arrives in order of arrival.
struct Engine {
    name: &'static str,
    service_ms: u64,
    // Arrivals that are on their way or wait, with when they are there.
    queue: VecDeque<(u64, Ticket)>,
    // When each slot is free.
    slots: Vec<u64>,
    // Time in which slots ran something, and the longest wait for a slot.
    busy_ms: u64,
    max_wait: u64,
}

impl Engine {
    fn new(name: &'static str, takes: u64) -> Self {
        Self {
            name,
            service_ms: takes,
            queue: VecDeque::new(),
            slots: vec![0; SLOTS as usize],
            busy_ms: 0,
            max_wait: 0,
        }
    }

    // Starts what can start, and returns it with when its answer is back.
    fn start(&mut self, now: u64) -> Vec<(u64, Ticket)> {
        let mut done = Vec::new();
        while let Some((at, ticket)) = self.queue.front().copied()
            && at <= now
            && let Some(slot) = self.slots.iter_mut().find(|it| **it <= now)
        {
            self.queue.pop_front();
            *slot = now + self.service_ms;
            self.busy_ms += self.service_ms;
            self.max_wait = self.max_wait.max(now - at);
            done.push((now + self.service_ms + NETWORK_DELAY_MS, ticket));
        }
        done
    }
}

// A full load on a fast endpoint and a usual one. A sixth of the fast one's time passed with free slots while
// requests waited for it.
#[test]
fn under_a_full_load_the_slots_of_a_fast_endpoint_are_never_idle_for_long() {
    let mut scheduler = Scheduler::new("me", "a");
    let mut registry = Registry::default();
    for id in ["fast", "usual"] {
        registry.put(Millis(0), endpoint(id, SLOTS));
    }
    for (id, pace) in [("fast", 4), ("usual", 8)] {
        let mut row = running_row(id, 0);
        row.speed_factor = pace;
        scheduler.record_peer_speeds(&[row]);
    }
    let peers = Peers::default();
    let mut engines = [
        Engine::new("fast", FAST_SERVICE_MS),
        Engine::new("usual", USUAL_SERVICE_MS),
    ];
    let mut answers: Vec<(u64, Ticket)> = Vec::new();
    for now in 1..DURATION_MS {
        while scheduler.request_counts().0 < 20 {
            let request = pending(Kind::Safe, 0, now);
            assert!(
                scheduler
                    .admit(Millis(now), request, &registry, &peers)
                    .is_ok()
            );
        }
        let (back, rest) = answers.into_iter().partition(|it| it.0 <= now);
        answers = rest;
        for (_, ticket) in back {
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
        answers.extend(engines.iter_mut().flat_map(|it| it.start(now)));
    }
    let used = engines[0].busy_ms * 100 / (DURATION_MS * u64::from(SLOTS));
    assert!(used >= 92, "{used} in 100");
    assert_eq!(engines[1].max_wait, 0, "at the usual endpoint");
}

// Whole answers at the pace that peers told.
fn outcome() -> Outcome {
    Outcome::Completed {
        to_first_part: Millis(100),
        total: Millis(200),
        parts: 0,
        longest_pause: Millis::ZERO,
    }
}

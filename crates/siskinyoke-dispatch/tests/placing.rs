//! Unlike endpoints and unlike work: who goes where, who goes first, and when the others return.

mod common;

use std::sync::Arc;

use crate::common::completed;
use crate::common::endpoint;
use crate::common::running_row;
use crate::common::scheduled_request;
use siskinyoke_base::Millis;
use siskinyoke_dispatch::Decision;
use siskinyoke_dispatch::Endpoint;
use siskinyoke_dispatch::Kind;
use siskinyoke_dispatch::Outcome;
use siskinyoke_dispatch::ScheduledRequest;
use siskinyoke_dispatch::Scheduler;
use siskinyoke_dispatch::Ticket;
use siskinyoke_dispatch::TokenCounts;
use siskinyoke_dispatch::latency_model::LatencyModel;
use siskinyoke_dispatch::peers::Peers;
use siskinyoke_dispatch::placement::Candidate;
use siskinyoke_dispatch::placement::EndpointSelector;
use siskinyoke_dispatch::placement::PlacementQuery;
use siskinyoke_dispatch::registry::Registry;
use siskinyoke_dispatch::report::RunningRow;

/// A pace of four and a half times the usual one, and the usual one, as reports tell them.
const SLOW: u8 = 36;
const USUAL: u8 = 8;

/// Well after the start of the clock, as head starts count back from an arrival.
const START: u64 = 10_000;

struct World {
    registry: Registry,
    peers: Peers,
    scheduler: Scheduler,
}

impl World {
    // Endpoints with their places and paces, which a peer told.
    fn new(endpoints: &[(&str, u32, u8)]) -> Self {
        let mut world = Self {
            registry: Registry::default(),
            peers: Peers::default(),
            scheduler: Scheduler::new("me", "a"),
        };
        for (id, slots, pace) in endpoints {
            world.registry.put(Millis(0), endpoint(id, *slots));
            let told = RunningRow {
                speed_factor: *pace,
                ..running_row(id, 0)
            };
            world.scheduler.record_peer_speeds(&[told]);
        }
        world
    }

    fn admit(&mut self, pending: ScheduledRequest) -> Ticket {
        let now = pending.arrived;
        let admitted = self
            .scheduler
            .admit(now, pending, &self.registry, &self.peers);
        admitted.expect("it may wait")
    }

    fn started(&mut self, now: u64) -> Vec<(Ticket, String)> {
        let decisions = self
            .scheduler
            .decide(Millis(now), &self.registry, &self.peers);
        let started = decisions.into_iter().filter_map(|it| match it {
            Decision::Start(ticket, endpoint) => Some((ticket, endpoint.id.to_string())),
            Decision::Refuse(..) => None,
        });
        started.collect()
    }
}

fn stream(at: u64, prompt: f64, output: f64) -> ScheduledRequest {
    ScheduledRequest {
        tokens: TokenCounts { prompt, output },
        ..scheduled_request(Kind::Stream, 0, at)
    }
}

// The fast endpoint is full for a moment, and a slow one idles. A long draft that goes there is not whole when
// its caller leaves; a short answer does well there.
#[test]
fn a_request_that_can_wait_passes_by_a_slow_endpoint_that_would_spoil_it() {
    let mut world = World::new(&[("usual", 1, USUAL), ("slow", 12, SLOW)]);
    let first = world.admit(stream(0, 500.0, 20.0));
    assert_eq!(world.started(0), [(first, "usual".to_owned())]);
    let long = world.admit(stream(1, 500.0, 600.0));
    let short = world.admit(stream(2, 100.0, 5.0));
    assert_eq!(world.started(2), [(short, "slow".to_owned())]);
    world
        .scheduler
        .attempt_ended(Millis(200), first, completed());
    assert_eq!(world.started(200), [(long, "usual".to_owned())]);
}

// The fast endpoints are gone. If the slow ones went on being passed by, long work would never run.
#[test]
fn where_all_endpoints_are_slow_none_is_passed_by() {
    let mut world = World::new(&[("one", 12, SLOW), ("other", 12, SLOW)]);
    world.admit(stream(0, 500.0, 600.0));
    assert_eq!(world.started(0).len(), 1);
}

// Two endpoints have places, and this instance has seen neither. A peer has.
#[test]
fn what_a_peer_saw_of_an_endpoint_counts() {
    let mut world = World::new(&[("a-slow", 12, SLOW), ("b-usual", 12, USUAL)]);
    for at in 0..6 {
        world.admit(stream(at, 500.0, 20.0));
    }
    let started = world.started(6);
    assert!(started.iter().all(|row| row.1 == "b-usual"), "{started:?}");
}

// One place comes free. The longer draft came first; several short ones could be served in the time that it takes.
#[test]
fn short_work_goes_first_but_long_work_that_waited_goes_before_it() {
    for (gap, short_first) in [(20, true), (250, false)] {
        let mut world = World::new(&[("e", 1, USUAL)]);
        let runs = world.admit(stream(START, 100.0, 20.0));
        world.started(START);
        let long = world.admit(stream(START + 1, 500.0, 60.0));
        let short = world.admit(stream(START + 1 + gap, 100.0, 5.0));
        let now = START + 2 + gap;
        world
            .scheduler
            .attempt_ended(Millis(now), runs, completed());
        let next = if short_first { short } else { long };
        assert_eq!(world.started(now)[0].0, next, "after {gap} ms");
    }
}

// The only place is taken for long. Callers that are refused and told to return in a moment come back into the
// same peak, and have no third try. Those that are refused together are not told to return together.
#[test]
fn the_longer_a_peak_has_lasted_the_later_callers_are_told_to_return() {
    let mut world = World::new(&[("e", 1, USUAL)]);
    let mut told = Vec::new();
    for at in 0..1_000 {
        let now = Millis(START + at * 10);
        if at % 30 == 0 {
            world.admit(scheduled_request(Kind::Safe, 1, now.0));
        }
        let decisions = world.scheduler.decide(now, &world.registry, &world.peers);
        told.extend(decisions.into_iter().filter_map(|it| match it {
            Decision::Refuse(_, refusal) => Some((now, refusal.retry_after)),
            Decision::Start(..) => None,
        }));
    }
    let (begin, first) = told[0];
    let (end, last) = told[told.len() - 1];
    assert!(first < Millis(500), "{first}");
    assert!(
        last >= end.since(begin),
        "{last} after {}",
        end.since(begin)
    );
    let next = told[told.len() - 2].1;
    assert!(next.0.abs_diff(last.0) > 400, "{next} and {last}");
}

// An endpoint cannot be reached. Sent there at once again, each request loses the time of another try.
#[test]
fn an_endpoint_that_cannot_be_reached_rests() {
    let mut world = World::new(&[("e", 12, USUAL)]);
    let first = world.admit(stream(START, 100.0, 5.0));
    assert_eq!(world.started(START).len(), 1);
    world
        .scheduler
        .attempt_ended(Millis(START + 1), first, Outcome::ConnectFailed);
    world.admit(stream(START + 2, 100.0, 5.0));
    assert_eq!(world.started(START + 2).len(), 0);
    assert_eq!(world.started(START + 250).len(), 1);
}

// Equal endpoints stand in two data centres; what crosses between them is paid for.
#[test]
fn of_equal_endpoints_that_of_the_own_data_centre_is_used() {
    let mut world = World::new(&[("a-own", 12, USUAL), ("b-own", 12, USUAL)]);
    for id in ["a-far", "c-far"] {
        let far = Endpoint {
            centre: "b".into(),
            ..endpoint(id, 12)
        };
        world.registry.put(Millis(0), far);
        world.scheduler.record_peer_speeds(&[RunningRow {
            speed_factor: USUAL,
            ..running_row(id, 0)
        }]);
    }
    for at in 0..8 {
        world.admit(stream(START + at, 100.0, 5.0));
    }
    let started = world.started(START + 8);
    let own = started.iter().filter(|row| row.1.ends_with("own"));
    assert_eq!(own.count(), 8, "{started:?}");
}

// Several prompts meet at one slow endpoint, and its streams pause for longer than is borne. None of them alone
// was too long.
#[test]
fn a_stream_passes_by_an_endpoint_whose_streams_paused_lately() {
    let load = LatencyModel::default();
    let pending = stream(0, 100.0, 60.0);
    let query = PlacementQuery {
        now: Millis(0),
        pending: &pending,
        latency_model: &load,
        can_wait: true,
    };
    let slow = Arc::new(endpoint("slow", 12));
    let candidates = [Candidate {
        endpoint: slow.clone(),
        free_slots: 12,
        queue_slots: 0,
        prefill_tokens: 0.0,
        slow: true,
        reserved: false,
        fastest_factor: 1.0,
    }];
    let mut placing = EndpointSelector::new("me", "a");
    assert_eq!(placing.select(&query, &candidates, true), Some(0));
    for _ in 0..10 {
        placing.record_stall(slow.key(), true);
    }
    assert_eq!(placing.select(&query, &candidates, true), None);
    let late = PlacementQuery {
        can_wait: false,
        ..query
    };
    assert_eq!(placing.select(&late, &candidates, true), Some(0));
}

// A prompt of 6,000 tokens at a slow endpoint holds up all who are served there; an empty one holds up nobody.
#[test]
fn a_long_prompt_holds_up_no_streams_at_a_slow_endpoint() {
    let mut load = LatencyModel::default();
    for number in 0..100_u32 {
        let prompt = f64::from(number) * 100.0;
        let work = TokenCounts {
            prompt,
            output: 100.0,
        };
        load.record_first_part(&work, Millis(50 + u64::from(number)));
        load.record_pause(110.0);
    }
    assert!(load.expected_pause(1_000.0) < load.expected_pause(5_000.0));
    assert!(load.expected_pause(50_000.0) <= 110.0);
    let pending = stream(0, 8_000.0, 20.0);
    let query = PlacementQuery {
        now: Millis(0),
        pending: &pending,
        latency_model: &load,
        can_wait: false,
    };
    let mut placing = EndpointSelector::new("me", "a");
    let slow = Arc::new(endpoint("slow", 12));
    placing.record_peer_speeds(&[RunningRow {
        speed_factor: SLOW,
        ..running_row("slow", 0)
    }]);
    let candidate = |left| {
        [Candidate {
            endpoint: slow.clone(),
            free_slots: left,
            queue_slots: 0,
            prefill_tokens: 0.0,
            slow: true,
            reserved: false,
            fastest_factor: 1.0,
        }]
    };
    assert_eq!(placing.select(&query, &candidate(4), true), None);
    assert_eq!(placing.select(&query, &candidate(12), true), Some(0));
}

// A long answer goes to an endpoint that is a little slower than usual, and its caller leaves before it is whole. At a
// fast endpoint, whose slots come free a moment later, it would have been.
#[test]
fn a_long_answer_waits_for_an_endpoint_that_is_fast_enough() {
    let load = LatencyModel::default();
    let pending = stream(0, 100.0, 1_500.0);
    let whole = load.service_time_of(&pending.tokens);
    let left = Millis(whole.0 * 3 / 2);
    let pending = ScheduledRequest {
        deadline: left,
        ..pending
    };
    let query = PlacementQuery {
        now: Millis(0),
        pending: &pending,
        latency_model: &load,
        can_wait: true,
    };
    let placing = EndpointSelector::new("me", "a");
    let candidates = |fastest| {
        [Candidate {
            endpoint: Arc::new(endpoint("usual", 6)),
            free_slots: 6,
            queue_slots: 0,
            prefill_tokens: 0.0,
            slow: false,
            reserved: false,
            fastest_factor: fastest,
        }]
    };
    assert_eq!(
        placing.select(&query, &candidates(1.0), true),
        Some(0),
        "enough time"
    );
    let short = ScheduledRequest {
        deadline: Millis(left.0 - 100),
        ..pending.clone()
    };
    let query = PlacementQuery {
        pending: &short,
        ..query
    };
    assert_eq!(placing.select(&query, &candidates(0.5), true), None);
    assert_eq!(
        placing.select(&query, &candidates(1.0), true),
        Some(0),
        "none is faster"
    );
    let late = PlacementQuery {
        can_wait: false,
        ..query
    };
    assert_eq!(
        placing.select(&late, &candidates(0.5), true),
        Some(0),
        "it cannot wait"
    );
}

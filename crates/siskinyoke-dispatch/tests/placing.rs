//! Selection of endpoints of different speeds, the order of requests, and retry times.

mod common;

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::common::completed;
use crate::common::endpoint;
use crate::common::running_row;
use crate::common::scheduled_request;
use siskinyoke_base::Millis;
use siskinyoke_dispatch::Decision;
use siskinyoke_dispatch::Endpoint;
use siskinyoke_dispatch::Outcome;
use siskinyoke_dispatch::RouteKind;
use siskinyoke_dispatch::ScheduledRequest;
use siskinyoke_dispatch::Scheduler;
use siskinyoke_dispatch::Ticket;
use siskinyoke_dispatch::TokenCounts;
use siskinyoke_dispatch::endpoint_speed::EndpointSpeed;
use siskinyoke_dispatch::latency_model::LatencyModel;
use siskinyoke_dispatch::peers::Peers;
use siskinyoke_dispatch::placement::Candidate;
use siskinyoke_dispatch::placement::EndpointSelector;
use siskinyoke_dispatch::placement::PlacementQuery;
use siskinyoke_dispatch::registry::Registry;
use siskinyoke_dispatch::report::PartIntervalRow;
use siskinyoke_dispatch::report::RunningRow;

/// Reported speed factors: four and a half times the usual service time, and the usual one.
const SLOW_FACTOR: u8 = 36;
const USUAL_FACTOR: u8 = 8;

/// Well after the start of the clock, as queue positions may lie before the arrival.
const START_MS: u64 = 10_000;

struct Fixture {
    registry: Registry,
    peers: Peers,
    scheduler: Scheduler,
}

impl Fixture {
    // Registers endpoints with their slots and the speed factors that a peer reports.
    fn new(endpoints: &[(&str, u32, u8)]) -> Self {
        let mut fixture = Self {
            registry: Registry::default(),
            peers: Peers::default(),
            scheduler: Scheduler::new("me", "a"),
        };
        for (id, slots, speed_factor) in endpoints {
            fixture.registry.put(Millis(0), endpoint(id, *slots));
            let row = RunningRow {
                speed_factor: *speed_factor,
                ..running_row(id, 0)
            };
            fixture.scheduler.record_peer_speeds(&[row]);
        }
        fixture
    }

    fn admit(&mut self, request: ScheduledRequest) -> Ticket {
        let now = request.arrived;
        let admitted = self
            .scheduler
            .admit(now, request, &self.registry, &self.peers);
        admitted.expect("the request is admitted")
    }

    fn start_waiting(&mut self, now: u64) -> Vec<(Ticket, String)> {
        let decisions = self
            .scheduler
            .decide(Millis(now), &self.registry, &self.peers);
        let started = decisions.into_iter().filter_map(|it| match it {
            Decision::Start(ticket, endpoint) => Some((ticket, endpoint.id.to_string())),
            Decision::Refuse(..) => None,
        });
        started.collect()
    }

    // Gives up an attempt that has stalled.
    fn abandon(&mut self, now: u64, ticket: Ticket) {
        self.scheduler
            .attempt_ended(Millis(now), ticket, Outcome::Stalled);
    }

    // Admits another stream, and returns whether it is started.
    fn starts_another(&mut self, now: u64) -> bool {
        let ticket = self.admit(stream(now, 100.0, 5.0));
        let mut started = self.start_waiting(now).into_iter();
        started.any(|it| it.0 == ticket)
    }
}

fn stream(at: u64, prompt: f64, output: f64) -> ScheduledRequest {
    ScheduledRequest {
        tokens: TokenCounts { prompt, output },
        ..scheduled_request(RouteKind::Stream, 0, at)
    }
}

// Guards against idle slow endpoints taking any request while the usual one is briefly full: a long
// response sent there misses its deadline. A short one may use it.
#[test]
fn a_request_that_can_wait_skips_an_endpoint_too_slow_for_it() {
    let mut fixture = Fixture::new(&[("usual", 1, USUAL_FACTOR), ("slow", 12, SLOW_FACTOR)]);
    let first = fixture.admit(stream(0, 500.0, 20.0));
    assert_eq!(fixture.start_waiting(0), [(first, "usual".to_owned())]);
    let long = fixture.admit(stream(1, 500.0, 600.0));
    let short = fixture.admit(stream(2, 100.0, 5.0));
    assert_eq!(fixture.start_waiting(2), [(short, "slow".to_owned())]);
    fixture
        .scheduler
        .attempt_ended(Millis(200), first, completed());
    assert_eq!(fixture.start_waiting(200), [(long, "usual".to_owned())]);
}

// Guards against streams that wait beside free slots because their route has no gap target.
#[test]
fn without_a_gap_target_a_slow_endpoint_is_used_beside_running_streams() {
    let mut fixture = Fixture::new(&[("usual", 1, USUAL_FACTOR), ("slow", 12, SLOW_FACTOR)]);
    for at in 0..3 {
        let mut request = stream(at, 100.0, 5.0);
        Arc::make_mut(&mut request.route).gap_target = Millis::ZERO;
        fixture.admit(request);
    }
    assert_eq!(fixture.start_waiting(2).len(), 3);
}

// Guards against skipping slow endpoints when there are no others: long requests would never run.
#[test]
fn where_all_endpoints_are_slow_none_is_skipped() {
    let mut fixture = Fixture::new(&[("one", 12, SLOW_FACTOR), ("other", 12, SLOW_FACTOR)]);
    fixture.admit(stream(0, 500.0, 600.0));
    assert_eq!(fixture.start_waiting(0).len(), 1);
}

// Guards against ignoring the speed factors that peers report for endpoints that this instance has
// not observed.
#[test]
fn speed_factors_reported_by_peers_are_used() {
    let mut fixture = Fixture::new(&[("a-slow", 12, SLOW_FACTOR), ("b-usual", 12, USUAL_FACTOR)]);
    for at in 0..6 {
        fixture.admit(stream(at, 500.0, 20.0));
    }
    let started = fixture.start_waiting(6);
    assert!(started.iter().all(|row| row.1 == "b-usual"), "{started:?}");
}

// One slot becomes free. The longer request arrived first, but several short ones could be served
// in its time. It must still go first once it has waited long enough.
#[test]
fn short_requests_start_first_unless_a_long_one_has_waited_long_enough() {
    for (gap, short_first) in [(20, true), (250, false)] {
        let mut fixture = Fixture::new(&[("e", 1, USUAL_FACTOR)]);
        let running = fixture.admit(stream(START_MS, 100.0, 20.0));
        fixture.start_waiting(START_MS);
        let long = fixture.admit(stream(START_MS + 1, 500.0, 60.0));
        let short = fixture.admit(stream(START_MS + 1 + gap, 100.0, 5.0));
        let now = START_MS + 2 + gap;
        fixture
            .scheduler
            .attempt_ended(Millis(now), running, completed());
        let next = if short_first { short } else { long };
        assert_eq!(fixture.start_waiting(now)[0].0, next, "after {gap} ms");
    }
}

// The only slot is taken for a long time. Guards against telling refused callers to retry
// shortly: they return during the same peak and have no third attempt. Guards also against giving
// callers that are refused together the same time to retry.
#[test]
fn retry_after_grows_with_the_length_of_a_peak() {
    let mut fixture = Fixture::new(&[("e", 1, USUAL_FACTOR)]);
    let mut refusals = Vec::new();
    for at in 0..1_000 {
        let now = Millis(START_MS + at * 10);
        if at % 30 == 0 {
            fixture.admit(scheduled_request(RouteKind::Safe, 1, now.0));
        }
        let decisions = fixture
            .scheduler
            .decide(now, &fixture.registry, &fixture.peers);
        refusals.extend(decisions.into_iter().filter_map(|it| match it {
            Decision::Refuse(_, refusal) => Some((now, refusal.retry_after)),
            Decision::Start(..) => None,
        }));
    }
    let (begin, first) = refusals[0];
    let (end, last) = refusals[refusals.len() - 1];
    assert!(first < Millis(500), "first retry after {first}");
    assert!(
        last >= end.since(begin),
        "last retry after {last}, {} into the peak",
        end.since(begin)
    );
    let next = refusals[refusals.len() - 2].1;
    assert!(
        next.0.abs_diff(last.0) > 400,
        "last retries after {next} and {last}"
    );
}

// Guards against resending requests at once to an endpoint that cannot be reached: each of them
// loses the time of another attempt.
#[test]
fn an_unreachable_endpoint_is_backed_off_from() {
    let mut fixture = Fixture::new(&[("e", 12, USUAL_FACTOR)]);
    let first = fixture.admit(stream(START_MS, 100.0, 5.0));
    assert_eq!(fixture.start_waiting(START_MS).len(), 1);
    fixture
        .scheduler
        .attempt_ended(Millis(START_MS + 1), first, Outcome::ConnectFailed);
    fixture.admit(stream(START_MS + 2, 100.0, 5.0));
    assert_eq!(fixture.start_waiting(START_MS + 2).len(), 0);
    assert_eq!(fixture.start_waiting(START_MS + 250).len(), 1);
}

// Returns a fixture with one endpoint at which this number of streams have begun, with their
// tickets.
fn begun_streams(count: usize) -> (Fixture, Vec<Ticket>) {
    let mut fixture = Fixture::new(&[("e", 12, USUAL_FACTOR)]);
    let tickets: Vec<_> = (0..count)
        .map(|_| fixture.admit(stream(START_MS, 100.0, 5.0)))
        .collect();
    assert_eq!(fixture.start_waiting(START_MS).len(), count);
    for ticket in &tickets {
        let scheduler = &mut fixture.scheduler;
        scheduler.first_part_received(Millis(START_MS + 50), *ticket);
    }
    (fixture, tickets)
}

// Guards against sound endpoints that are left unused, while requests wait, because some of their
// streams stalled.
#[test]
fn an_endpoint_is_not_backed_off_from_after_a_few_stalled_streams() {
    for count in [1, 2] {
        let (mut fixture, tickets) = begun_streams(count);
        for ticket in tickets {
            fixture.abandon(START_MS + 1_050, ticket);
        }
        assert!(fixture.starts_another(START_MS + 1_060), "{count} stalled");
    }
}

// Guards against back-offs from an endpoint that responds while some of its streams stall.
#[test]
fn an_endpoint_that_responds_between_stalled_streams_is_not_backed_off_from() {
    let (mut fixture, tickets) = begun_streams(4);
    for ticket in &tickets[..2] {
        fixture.abandon(START_MS + 1_050, *ticket);
    }
    let other = fixture.admit(stream(START_MS + 1_060, 100.0, 5.0));
    assert_eq!(fixture.start_waiting(START_MS + 1_060).len(), 1);
    let scheduler = &mut fixture.scheduler;
    scheduler.first_part_received(Millis(START_MS + 1_100), other);
    for ticket in &tickets[2..] {
        fixture.abandon(START_MS + 1_150, *ticket);
    }
    assert!(fixture.starts_another(START_MS + 1_160));
}

// Guards against requests that are sent to an endpoint that has hung.
#[test]
fn an_endpoint_whose_streams_all_stall_is_backed_off_from() {
    let (mut fixture, tickets) = begun_streams(3);
    for ticket in tickets {
        fixture.abandon(START_MS + 1_050, ticket);
    }
    assert!(!fixture.starts_another(START_MS + 1_060));
    assert!(fixture.starts_another(START_MS + 1_300));
}

// Guards against requests that are sent to an endpoint that accepts them without responding.
#[test]
fn an_endpoint_that_does_not_respond_to_a_request_is_backed_off_from() {
    let mut fixture = Fixture::new(&[("e", 12, USUAL_FACTOR)]);
    let ticket = fixture.admit(stream(START_MS, 100.0, 5.0));
    assert_eq!(fixture.start_waiting(START_MS).len(), 1);
    fixture.abandon(START_MS + 400, ticket);
    assert!(!fixture.starts_another(START_MS + 410));
}

// Guards against using endpoints of another data centre while equal ones are free in the local one:
// traffic between data centres costs money.
#[test]
fn of_equal_endpoints_those_of_the_local_data_centre_are_used() {
    let mut fixture = Fixture::new(&[("a-own", 12, USUAL_FACTOR), ("b-own", 12, USUAL_FACTOR)]);
    for id in ["a-far", "c-far"] {
        let remote = Endpoint {
            centre: "b".into(),
            ..endpoint(id, 12)
        };
        fixture.registry.put(Millis(0), remote);
        fixture.scheduler.record_peer_speeds(&[RunningRow {
            speed_factor: USUAL_FACTOR,
            ..running_row(id, 0)
        }]);
    }
    for at in 0..8 {
        fixture.admit(stream(START_MS + at, 100.0, 5.0));
    }
    let started = fixture.start_waiting(START_MS + 8);
    let local = started.iter().filter(|row| row.1.ends_with("own"));
    assert_eq!(local.count(), 8, "{started:?}");
}

// Returns the speed of an endpoint of which only the factor is known.
fn speed(factor: f64) -> EndpointSpeed {
    EndpointSpeed {
        factor,
        part_interval: None,
    }
}

// Returns an endpoint of usual speed with free slots.
fn candidate(endpoint: &Arc<Endpoint>, free_slots: u32, fastest: EndpointSpeed) -> Candidate {
    Candidate {
        endpoint: endpoint.clone(),
        free_slots,
        open_slots: free_slots,
        queue_slots: 0,
        prefill_tokens: 0.0,
        slow: false,
        reserved: false,
        fastest,
    }
}

// Several prompts, none of them too long by itself, meet at one slow endpoint and make its streams
// exceed their gap target. Guards against sending further streams there.
#[test]
fn a_stream_avoids_an_endpoint_whose_streams_stalled_recently() {
    let latency_model = LatencyModel::default();
    let request = stream(0, 100.0, 60.0);
    let query = PlacementQuery {
        now: Millis(0),
        request: &request,
        latency_model: &latency_model,
        can_wait: true,
    };
    let slow = Arc::new(endpoint("slow", 12));
    let candidates = [Candidate {
        slow: true,
        ..candidate(&slow, 12, speed(1.0))
    }];
    let mut selector = EndpointSelector::new("me", "a");
    assert_eq!(selector.select(&query, &candidates, true), Some(0));
    for _ in 0..10 {
        selector.record_stall(slow.key(), true);
    }
    assert_eq!(selector.select(&query, &candidates, true), None);
    let cannot_wait = PlacementQuery {
        can_wait: false,
        ..query
    };
    assert_eq!(selector.select(&cannot_wait, &candidates, true), Some(0));
}

// Guards against a long prompt at a slow endpoint, where it stalls all other streams. If the
// endpoint is empty, there are none to stall.
#[test]
fn a_long_prompt_does_not_stall_streams_at_a_slow_endpoint() {
    let mut latency_model = LatencyModel::default();
    for number in 0..100_u32 {
        let prompt = f64::from(number) * 100.0;
        let tokens = TokenCounts {
            prompt,
            output: 100.0,
        };
        latency_model.record_first_part(&tokens, Millis(50 + u64::from(number)));
        latency_model.record_pause(110.0);
    }
    assert!(latency_model.expected_pause(1_000.0) < latency_model.expected_pause(5_000.0));
    assert!(latency_model.expected_pause(50_000.0) <= 110.0);
    let request = stream(0, 8_000.0, 20.0);
    let query = PlacementQuery {
        now: Millis(0),
        request: &request,
        latency_model: &latency_model,
        can_wait: false,
    };
    let mut selector = EndpointSelector::new("me", "a");
    let slow = Arc::new(endpoint("slow", 12));
    selector.record_peer_speeds(&[RunningRow {
        speed_factor: SLOW_FACTOR,
        ..running_row("slow", 0)
    }]);
    let candidate = |free_slots| {
        [Candidate {
            slow: true,
            ..candidate(&slow, free_slots, speed(1.0))
        }]
    };
    assert_eq!(selector.select(&query, &candidate(4), true), None);
    assert_eq!(selector.select(&query, &candidate(12), true), Some(0));
}

// Guards against sending a long response to an endpoint slightly slower than usual, where it misses
// its deadline, although a faster endpoint would complete it in time after a short wait.
#[test]
fn a_long_response_waits_for_an_endpoint_that_is_fast_enough() {
    let latency_model = LatencyModel::default();
    let request = stream(0, 100.0, 1_500.0);
    let service_time = latency_model.service_time_of(&request.tokens);
    let enough_time = Millis(service_time.0 * 3 / 2);
    let request = ScheduledRequest {
        deadline: enough_time,
        ..request
    };
    let query = PlacementQuery {
        now: Millis(0),
        request: &request,
        latency_model: &latency_model,
        can_wait: true,
    };
    let selector = EndpointSelector::new("me", "a");
    let usual = Arc::new(endpoint("usual", 6));
    let candidates = |fastest_factor| [candidate(&usual, 6, speed(fastest_factor))];
    assert_eq!(
        selector.select(&query, &candidates(1.0), true),
        Some(0),
        "there is enough time"
    );
    let short = ScheduledRequest {
        deadline: Millis(enough_time.0 - 100),
        ..request.clone()
    };
    let query = PlacementQuery {
        request: &short,
        ..query
    };
    assert_eq!(selector.select(&query, &candidates(0.5), true), None);
    assert_eq!(
        selector.select(&query, &candidates(1.0), true),
        Some(0),
        "no endpoint is faster"
    );
    let cannot_wait = PlacementQuery {
        can_wait: false,
        ..query
    };
    assert_eq!(
        selector.select(&cannot_wait, &candidates(0.5), true),
        Some(0),
        "the request cannot wait"
    );
}

// Guards against a speed that is measured by the first parts alone: two endpoints begin responses at
// the same time, and one of them needs four times as long to generate them.
#[test]
fn a_long_response_waits_for_an_endpoint_that_generates_fast_enough() {
    let latency_model = LatencyModel::default();
    let request = stream(0, 100.0, 400.0);
    let query = PlacementQuery {
        now: Millis(0),
        request: &request,
        latency_model: &latency_model,
        can_wait: true,
    };
    let mut selector = EndpointSelector::new("me", "a");
    let slow = Arc::new(endpoint("slow", 6));
    selector.record_peer_intervals(&[PartIntervalRow::new(slow.key(), 40.0)]);
    let candidates = |part_interval| {
        let fastest = EndpointSpeed {
            part_interval: Some(part_interval),
            ..speed(1.0)
        };
        [candidate(&slow, 6, fastest)]
    };
    assert_eq!(selector.select(&query, &candidates(10.0), true), None);
    assert!(selector.holds_back(&query, &candidates(10.0)));
    assert_eq!(
        selector.select(&query, &candidates(35.0), true),
        Some(0),
        "no endpoint is much faster"
    );
}

// The only slot is taken for a long time. Guards against a retry delay after which a long response
// can no longer be complete before its deadline.
#[test]
fn callers_of_long_requests_return_while_these_can_complete() {
    let mut fixture = Fixture::new(&[("e", 1, USUAL_FACTOR)]);
    let mut waiting = BTreeMap::new();
    let mut refused = Vec::new();
    for now in (START_MS..START_MS + 10_000).step_by(10) {
        let urgent = (now % 300 == 0).then(|| scheduled_request(RouteKind::Safe, 0, now));
        let long = (now % 500 == 0).then(|| stream(now, 100.0, 700.0));
        for request in urgent.into_iter().chain(long) {
            let row = request.clone();
            match fixture
                .scheduler
                .admit(Millis(now), request, &fixture.registry, &fixture.peers)
            {
                Ok(ticket) => drop(waiting.insert(ticket, row)),
                Err(refusal) => refused.push((now, row, refusal)),
            }
        }
        let decisions = fixture
            .scheduler
            .decide(Millis(now), &fixture.registry, &fixture.peers);
        refused.extend(decisions.into_iter().filter_map(|it| match it {
            Decision::Refuse(ticket, refusal) => Some((now, waiting.remove(&ticket)?, refusal)),
            Decision::Start(..) => None,
        }));
    }
    let latency = fixture.scheduler.latency_model("lm");
    refused.retain(|row| row.1.route.kind == RouteKind::Stream);
    assert!(refused.len() > 5, "{} long requests refused", refused.len());
    for (now, request, refusal) in refused {
        let service_time = latency.service_time_of(&request.tokens);
        let latest = request.deadline.since(Millis(now)).since(service_time);
        assert!(refusal.retry_after <= latest, "{refusal:?} at {now}");
    }
}

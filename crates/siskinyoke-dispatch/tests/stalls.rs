//! Streams that stall at sound endpoints, in virtual time.

mod common;

use crate::common::add_fleet;
use crate::common::completed;
use crate::common::configuration;
use crate::common::core;
use crate::common::count_starts;
use crate::common::endpoint;
use crate::common::identity;
use crate::common::organisation;
use crate::common::report;
use crate::common::request;
use crate::common::waiting_report;
use siskinyoke_base::Millis;
use siskinyoke_dispatch::Core;
use siskinyoke_dispatch::Decision;
use siskinyoke_dispatch::Outcome;
use siskinyoke_dispatch::Refusal;
use siskinyoke_dispatch::Ticket;
use siskinyoke_dispatch::stall_timeout::STALL_CHECK_INTERVAL;
use siskinyoke_dispatch::stall_timeout::STREAM_STALL_TIMEOUT;

const INSTANCE_COUNT: usize = 3;
const ENDPOINT_COUNT: usize = 3;
const SLOTS_PER_ENDPOINT: u32 = 4;

/// One less than there are slots, so that the last free slot is wanted by many streams at once.
const CALLER_COUNT: usize = 11;

/// The time between the first requests of two callers.
const STAGGER_MS: u64 = 37;

const STEP_MS: u64 = 5;
const REPORT_INTERVAL_MS: u64 = 20;
const DURATION_MS: u64 = 60_000;

/// When an endpoint sends each event of a stream, in ms since it was sent the request; the third
/// one after a silence that is longer than the stall timeout.
const EVENT_TIMES_MS: [u64; 4] = [60, 120, 1_480, 1_540];

/// How a stream ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StreamEnd {
    Complete,
    Refused(Refusal),
    Late,
}

/// A stream that a caller waits for.
#[derive(Debug, Clone, Copy)]
struct Stream {
    ticket: Ticket,
    arrived: u64,
    // When the present attempt was sent.
    sent_at: Option<u64>,
    // The number of events received, and of those received before the present attempt.
    events: usize,
    resumed_after: usize,
    // When it is checked next whether the attempt is to be given up.
    next_check: u64,
}

/// Several instances whose callers send one stream after the other.
struct Fleet {
    now: u64,
    cores: Vec<Core>,
    streams: Vec<Option<Stream>>,
    ends: Vec<StreamEnd>,
    sent: usize,
}

impl Fleet {
    fn new() -> Self {
        let start_core = |index: usize| {
            let name = format!("i{index}");
            let mut core = Core::new(identity(&name, index as u64 + 1));
            core.configure(Millis(0), configuration(1, organisation(0.0, 0.0)));
            add_fleet(
                &mut core,
                ENDPOINT_COUNT,
                SLOTS_PER_ENDPOINT,
                INSTANCE_COUNT,
            );
            core
        };
        Self {
            now: 0,
            cores: (0..INSTANCE_COUNT).map(start_core).collect(),
            streams: vec![None; CALLER_COUNT],
            ends: Vec::new(),
            sent: 0,
        }
    }

    fn simulate(&mut self) {
        while self.now < DURATION_MS {
            self.now += STEP_MS;
            if self.now.is_multiple_of(REPORT_INTERVAL_MS) {
                self.exchange_reports();
            }
            for caller in 0..CALLER_COUNT {
                self.advance(caller);
            }
            for instance in 0..INSTANCE_COUNT {
                self.decide(instance);
            }
        }
    }

    fn exchange_reports(&mut self) {
        let now = Millis(self.now);
        for from in 0..INSTANCE_COUNT {
            let report = self.cores[from].next_report(now, true);
            for to in (0..INSTANCE_COUNT).filter(|to| *to != from) {
                self.cores[to].receive_report(now, report.clone());
            }
        }
    }

    fn advance(&mut self, caller: usize) {
        if self.streams[caller].is_none() && self.now > caller as u64 * STAGGER_MS {
            self.submit(caller);
        }
        let Some(stream) = self.streams[caller] else {
            return;
        };
        let Some(sent_at) = stream.sent_at else {
            if self.now - stream.arrived >= 5_000 {
                self.cores[caller % INSTANCE_COUNT].cancel(Millis(self.now), stream.ticket);
                self.end(caller, StreamEnd::Late);
            }
            return;
        };
        // A resumed stream begins with the next event, after the same time as in a whole one.
        let begin = stream.resumed_after.checked_sub(1);
        let begin = begin.map_or(0, |it| EVENT_TIMES_MS[it]);
        if sent_at + EVENT_TIMES_MS[stream.events] - begin <= self.now {
            self.receive_event(caller);
        } else if stream.events > 0 && self.now >= stream.next_check {
            self.check_stall(caller);
        }
    }

    fn submit(&mut self, caller: usize) {
        let core = &mut self.cores[caller % INSTANCE_COUNT];
        let now = Millis(self.now);
        let routed = core.route(now, request("/stream/a")).unwrap();
        let fingerprint = self.now * CALLER_COUNT as u64 + caller as u64;
        // A caller that is refused sends its next request in the next step.
        let Ok(ticket) = core.admit(now, &routed, fingerprint) else {
            return;
        };
        self.streams[caller] = Some(Stream {
            ticket,
            arrived: self.now,
            sent_at: None,
            events: 0,
            resumed_after: 0,
            next_check: 0,
        });
    }

    fn receive_event(&mut self, caller: usize) {
        let core = &mut self.cores[caller % INSTANCE_COUNT];
        let now = Millis(self.now);
        let stream = self.streams[caller].as_mut().unwrap();
        if stream.events == stream.resumed_after {
            core.first_part_received(now, stream.ticket);
        }
        stream.events += 1;
        stream.next_check = self.now + STREAM_STALL_TIMEOUT.0;
        if stream.events == EVENT_TIMES_MS.len() {
            let total = Millis(self.now - stream.sent_at.unwrap());
            let outcome = Outcome::Completed {
                first_latency: Millis(60),
                total,
                parts: 4,
                longest_pause: Millis(1_360),
            };
            core.attempt_ended(now, stream.ticket, outcome, false);
            self.end(caller, StreamEnd::Complete);
        }
    }

    // Moves a stream that has stalled, as the gateway does.
    fn check_stall(&mut self, caller: usize) {
        let core = &mut self.cores[caller % INSTANCE_COUNT];
        let now = Millis(self.now);
        let stream = self.streams[caller].as_mut().unwrap();
        stream.next_check = self.now + STALL_CHECK_INTERVAL.0;
        let Some((ticket, _)) = core.try_abandon(now, stream.ticket) else {
            return;
        };
        stream.ticket = ticket;
        stream.resumed_after = stream.events;
        self.start(caller);
        self.decide(caller % INSTANCE_COUNT);
    }

    fn decide(&mut self, instance: usize) {
        for decision in self.cores[instance].decide(Millis(self.now)) {
            let (Decision::Start(ticket, _) | Decision::Refuse(ticket, _)) = &decision;
            let caller = (instance..CALLER_COUNT)
                .step_by(INSTANCE_COUNT)
                .find(|it| self.streams[*it].is_some_and(|it| it.ticket == *ticket))
                .unwrap();
            match decision {
                Decision::Start(..) => self.start(caller),
                Decision::Refuse(_, refusal) => self.refuse(caller, refusal),
            }
        }
    }

    fn start(&mut self, caller: usize) {
        let stream = self.streams[caller].as_mut().unwrap();
        stream.sent_at = Some(self.now);
        stream.next_check = self.now + STREAM_STALL_TIMEOUT.0;
        self.sent += 1;
    }

    // A stream that has not begun may be refused, as its caller can send it again.
    fn refuse(&mut self, caller: usize, refusal: Refusal) {
        if self.streams[caller].is_some_and(|it| it.events == 0) {
            self.streams[caller] = None;
        } else {
            self.end(caller, StreamEnd::Refused(refusal));
        }
    }

    fn end(&mut self, caller: usize, end: StreamEnd) {
        self.streams[caller] = None;
        self.ends.push(end);
    }
}

// Guards against sound streams that are cut because a slot for their retry was taken by others.
#[test]
fn streams_that_stall_beside_few_free_slots_are_never_cut() {
    let mut fleet = Fleet::new();
    fleet.simulate();
    let cut = fleet.ends.iter().filter(|it| **it != StreamEnd::Complete);
    let cut: Vec<_> = cut.collect();
    let (count, sent) = (fleet.ends.len(), fleet.sent);
    println!("{count} streams, {sent} sent, {} cut", cut.len());
    assert!(cut.is_empty(), "{} of {count}: {cut:?}", cut.len());
}

// Guards against attempts that are ended for a slot that a peer's request is about to take.
#[test]
fn a_stalled_stream_is_moved_only_to_a_slot_that_no_peer_claims() {
    let mut core = core("i0", 1);
    let routed = core.route(Millis(0), request("/stream/a")).unwrap();
    let ticket = core.admit(Millis(0), &routed, 1).unwrap();
    core.decide(Millis(0));
    core.first_part_received(Millis(50), ticket);
    core.registry().put(Millis(50), endpoint("e2", 1));
    core.receive_report(Millis(1_050), waiting_report("i1", 1));
    assert_eq!(core.try_abandon(Millis(1_050), ticket), None);
    assert_eq!(core.scheduler().request_counts(), (0, 1));
    core.receive_report(Millis(1_150), report("i1", 2));
    let (next, endpoint) = core.try_abandon(Millis(1_150), ticket).unwrap();
    assert_eq!(&*endpoint.id, "e2");
    assert_eq!(core.scheduler().request_counts(), (0, 1));
    assert!(core.scheduler().running(next).is_some());
}

// Guards against streams that are moved late, stall again and are cut at their deadline.
#[test]
fn a_stream_that_has_begun_is_moved_only_if_it_can_stall_again_before_its_deadline() {
    for (begun, at, moved) in [
        (true, 3_700, true),
        (true, 3_900, false),
        (false, 3_900, true),
    ] {
        let mut core = core("i0", 1);
        let routed = core.route(Millis(0), request("/stream/a")).unwrap();
        let ticket = core.admit(Millis(0), &routed, 1).unwrap();
        core.decide(Millis(0));
        if begun {
            core.first_part_received(Millis(50), ticket);
        }
        core.registry().put(Millis(50), endpoint("e2", 1));
        let next = core.try_abandon(Millis(at), ticket);
        assert_eq!(next.is_some(), moved, "begun: {begun}, at {at} ms");
    }
}

// Guards against streams that are cut because their queue timeout runs from their arrival.
#[test]
fn a_stream_that_has_begun_waits_for_a_slot_from_when_it_is_queued_again() {
    let mut core = core("i0", 1);
    core.registry().put(Millis(0), endpoint("e2", 1));
    let routed = core.route(Millis(0), request("/stream/a")).unwrap();
    let tickets = [1, 2].map(|it| core.admit(Millis(0), &routed, it).unwrap());
    assert_eq!(count_starts(&core.decide(Millis(0))), 2);
    for ticket in tickets {
        core.first_part_received(Millis(50), ticket);
    }
    let [broken, other] = tickets;
    let retry = core.attempt_ended(Millis(3_400), broken, Outcome::ConnectionLost, true);
    assert!(core.decide(Millis(3_400)).is_empty());
    assert!(core.decide(Millis(3_800)).is_empty());
    core.attempt_ended(Millis(3_800), other, completed(), false);
    let decisions = core.decide(Millis(3_800));
    assert!(matches!(decisions[..], [Decision::Start(ticket, _)] if Some(ticket) == retry));
}

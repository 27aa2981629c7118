//! Stories of capacity leases in virtual time: instances, their views, and messages on the way.

use std::collections::BTreeMap;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use siskinyoke_base::EndpointId;
use siskinyoke_base::Incarnation;
use siskinyoke_base::InstanceId;
use siskinyoke_base::Millis;
use siskinyoke_base::message::LeaseDemand;
use siskinyoke_base::message::LeaseGrant;
use siskinyoke_base::message::LeaseReport;
use siskinyoke_base::message::Message;
use siskinyoke_base::message::Resource;
use siskinyoke_control::Action;
use siskinyoke_control::Context;
use siskinyoke_control::Outbox;
use siskinyoke_control::Sender;
use siskinyoke_control::leases::LeaseView;
use siskinyoke_control::leases::Leases;
use siskinyoke_control::leases::SPAN;
use siskinyoke_control::leases::divide;

/// Units of the one resource in these stories.
const UNITS: u32 = 24;

/// Step of the virtual time.
const STEP: Millis = Millis(10);

#[derive(Debug, Clone)]
struct View {
    allocator: Option<usize>,
    live: usize,
    wanted: Vec<u32>,
    used: u32,
}

impl LeaseView for View {
    fn allocator(&self, _resource: &Resource) -> Option<InstanceId> {
        self.allocator.map(name)
    }

    fn live(&self) -> usize {
        self.live
    }

    fn units(&self, _resource: &Resource) -> Option<u32> {
        Some(UNITS)
    }

    fn demand(&self, _now: Millis) -> Vec<LeaseDemand> {
        vec![demand(&self.wanted, self.used)]
    }
}

struct Node {
    leases: Leases,
    view: View,
    outbox: Outbox,
    frozen: bool,
    muted: bool,
}

struct Site {
    now: Millis,
    nodes: Vec<Node>,
    wire: BTreeMap<(Millis, u64), (usize, usize, Message)>,
    sequence: u64,
    delay: Millis,
    loss: f64,
    rng: ChaCha8Rng,
}

impl Site {
    fn new(count: usize, wanted: &[u32], seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let node = |number: usize| Node {
            leases: Leases::new(sender(number)),
            view: View {
                allocator: Some(0),
                live: count,
                wanted: wanted.to_vec(),
                used: 0,
            },
            outbox: Outbox::default(),
            frozen: false,
            muted: false,
        };
        let start = Millis(rng.random_range(5_000..6_000) / STEP.0 * STEP.0);
        Self {
            now: start,
            nodes: (0..count).map(node).collect(),
            wire: BTreeMap::new(),
            sequence: 0,
            delay: Millis(STEP.0),
            loss: 0.0,
            rng,
        }
    }

    fn run(&mut self, span: Millis) {
        self.run_checked(span, u32::MAX);
    }

    /// Runs and asserts at each step that no more than `most` units are leased in sum.
    fn run_checked(&mut self, span: Millis, most: u32) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP;
            self.deliver();
            for number in 0..self.nodes.len() {
                self.tick(number);
            }
            let leased: u32 = self.leased().iter().sum();
            assert!(leased <= most, "{leased} units leased at {}", self.now);
        }
    }

    fn leased(&self) -> Vec<u32> {
        let units = |node: &Node| node.leases.holder().units(self.now, &resource());
        self.nodes.iter().map(|n| units(n).unwrap_or(0)).collect()
    }

    fn set_allocator(&mut self, allocator: Option<usize>) {
        for node in &mut self.nodes {
            node.view.allocator = allocator;
        }
    }

    fn tick(&mut self, number: usize) {
        let node = &mut self.nodes[number];
        if node.frozen || self.now < node.leases.next() {
            return;
        }
        let mut cx = Context {
            now: self.now,
            out: &mut node.outbox,
            rng: &mut self.rng,
        };
        node.leases.tick(&mut cx, &node.view);
        self.collect(number);
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.wire.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let (from, to, message) = entry.remove();
            if self.nodes[to].frozen {
                self.post(self.now + STEP, from, to, message);
                continue;
            }
            self.hand(from, to, &message);
        }
    }

    fn hand(&mut self, from: usize, to: usize, message: &Message) {
        let node = &mut self.nodes[to];
        let mut cx = Context {
            now: self.now,
            out: &mut node.outbox,
            rng: &mut self.rng,
        };
        node.leases
            .message(&mut cx, &sender(from), message, &node.view);
        self.collect(to);
    }

    fn collect(&mut self, number: usize) {
        for action in self.nodes[number].outbox.take() {
            let Action::Send { to, message } = action else {
                continue;
            };
            let to = (0..self.nodes.len()).find(|at| name(*at) == to);
            let lost = self.nodes[number].muted || self.rng.random_bool(self.loss);
            if let Some(to) = to.filter(|_| !lost) {
                self.post(self.now + self.delay, number, to, message);
            }
        }
    }

    fn post(&mut self, at: Millis, from: usize, to: usize, message: Message) {
        self.sequence += 1;
        self.wire.insert((at, self.sequence), (from, to, message));
    }
}

fn name(number: usize) -> InstanceId {
    InstanceId::new(&format!("entry-{number}"))
}

fn sender(number: usize) -> Sender {
    Sender {
        instance: name(number),
        incarnation: Incarnation(number as u64),
    }
}

fn resource() -> Resource {
    Resource::Endpoint(EndpointId::new("engine-1"))
}

fn demand(wanted: &[u32], held: u32) -> LeaseDemand {
    LeaseDemand {
        resource: resource(),
        wanted: wanted.to_vec(),
        held,
    }
}

fn shares(total: u32, wanted: &[&[u32]]) -> Vec<u32> {
    let lines: Vec<LeaseDemand> = wanted.iter().map(|wanted| demand(wanted, 0)).collect();
    divide(total, &lines.iter().collect::<Vec<_>>())
}

#[test]
fn a_higher_tier_comes_first_and_a_large_demand_does_not_take_all() {
    assert_eq!(shares(10, &[&[10, 0, 0], &[0, 10, 0]]), [10, 0]);
    assert_eq!(shares(10, &[&[100, 0, 0], &[3, 0, 0]]), [7, 3]);
    assert_eq!(shares(10, &[&[2, 100, 0], &[0, 4, 0]]), [6, 4]);
    assert_eq!(shares(7, &[&[9, 0], &[9, 0], &[9, 0]]), [3, 2, 2]);
}

#[test]
fn room_that_nobody_needs_is_spread() {
    assert_eq!(shares(10, &[&[1, 10], &[3, 10]]), [5, 5]);
    assert_eq!(shares(10, &[&[8, 0, 10], &[1, 10]]), [8, 2]);
    assert_eq!(shares(0, &[&[8, 0, 10]]), [0]);
    assert_eq!(shares(5, &[]), Vec::<u32>::new());
}

#[test]
fn all_units_are_leased_and_never_more() {
    for seed in 0..20 {
        let mut site = Site::new(4, &[10, 24], seed);
        site.run_checked(Millis::from_secs(10), UNITS);
        assert_eq!(site.leased(), [6, 6, 6, 6]);
    }
}

/// Drafts wait on one instance while another's part of the engine lies idle.
/// Callers keep their addresses; the load moves from one instance to the other.
#[test]
fn leases_follow_a_shift_of_load() {
    let mut site = Site::new(2, &[20, 0], 1);
    site.nodes[1].view.wanted = vec![1, 0];
    site.run_checked(Millis::from_secs(5), UNITS);
    assert_eq!(site.leased(), [20, 1]);
    site.nodes[0].view.wanted = vec![1, 0];
    site.nodes[1].view.wanted = vec![20, 0];
    site.run_checked(Millis::from_secs(4), UNITS);
    assert_eq!(site.leased(), [1, 20]);
}

/// An engine gets twice the requests it can take.
/// Instances change from one allocator to another, each at its own time, as the news of the
/// new view reaches them. The new allocator cannot know what the old one has leased.
#[test]
fn a_change_of_allocator_never_leases_a_unit_twice() {
    for seed in 0..50 {
        let mut site = Site::new(6, &[10, 24], seed);
        site.run_checked(Millis::from_secs(5), UNITS);
        let mut order: Vec<usize> = (0..6).collect();
        order.rotate_left(usize::try_from(seed % 6).expect("small"));
        for number in order {
            site.nodes[number].view.allocator = Some(1);
            site.run_checked(Millis(200), UNITS);
        }
        for _ in 0..500 {
            site.run_checked(STEP, UNITS);
            assert!(!site.leased().contains(&0), "a gap at {}", site.now);
        }
        assert_eq!(site.leased().iter().sum::<u32>(), UNITS);
    }
}

/// An engine gets twice the requests it can take, for as long as one instance hears no news.
/// That one still asks the old allocator, which has been told of its successor.
#[test]
fn an_allocator_told_of_its_successor_grants_nothing_more() {
    let mut site = Site::new(3, &[10, 24], 9);
    site.run_checked(Millis::from_secs(5), UNITS);
    for node in &mut site.nodes[..2] {
        node.view.allocator = Some(1);
    }
    site.run_checked(Millis::from_secs(10), UNITS);
    assert_eq!(site.leased(), [12, 12, 0]);
}

/// An engine gets more than it can take for as long as its longest answer.
/// One instance's demand has ended, but what it sent before still runs; another wants the room.
#[test]
fn what_is_in_use_is_not_leased_to_others() {
    let mut site = Site::new(2, &[20, 0], 10);
    site.nodes[1].view.wanted = vec![0, 0];
    site.run_checked(Millis::from_secs(5), UNITS);
    site.nodes[0].view.used = 20;
    site.nodes[0].view.wanted = vec![0, 0];
    site.nodes[1].view.wanted = vec![20, 0];
    for _ in 0..1000 {
        site.run(STEP);
        assert!(site.leased()[1] <= UNITS - 20);
    }
    site.nodes[0].view.used = 0;
    site.run(Millis::from_secs(4));
    assert_eq!(site.leased(), [0, 20]);
}

/// An engine gets more than it can take, as one instance's reports are lost.
/// The allocator gives its units to others two seconds after the last report came; the holder
/// must have stopped by then, though the last grant came to it later than that report.
#[test]
fn a_lease_counts_from_the_sending_of_its_report() {
    for seed in 0..20 {
        let mut site = Site::new(2, &[24, 0], seed);
        site.delay = Millis(400);
        site.run_checked(Millis::from_secs(5), UNITS);
        site.nodes[1].muted = true;
        site.run_checked(Millis::from_secs(6), UNITS);
        assert_eq!(site.leased(), [24, 0]);
    }
}

/// An instance gets what it wanted a second ago.
/// Two of its reports changed places on the way.
#[test]
fn a_report_that_was_overtaken_is_not_answered() {
    let mut site = Site::new(2, &[10, 24], 11);
    site.run(Millis::from_secs(5));
    site.wire.clear();
    let overtaken = LeaseReport {
        round: 1,
        lines: vec![demand(&[24, 0], 0)],
    };
    site.hand(1, 0, &Message::LeaseReport(overtaken));
    assert!(site.wire.is_empty());
}

/// Two halves of the fleet do not see each other for an hour.
/// Each has its own allocator, and neither can know of the other's leases: what the design
/// permits is one full count of units for each allocator in action, no more.
#[test]
fn a_lasting_split_leases_at_most_once_for_each_half() {
    let mut site = Site::new(6, &[10, 24], 2);
    site.run_checked(Millis::from_secs(5), UNITS);
    for node in &mut site.nodes[3..] {
        node.view.allocator = Some(3);
    }
    site.run_checked(Millis::from_secs(30), 2 * UNITS);
    assert_eq!(site.leased().iter().sum::<u32>(), 2 * UNITS);
    site.set_allocator(Some(0));
    site.run(SPAN);
    site.run_checked(Millis::from_secs(10), UNITS);
    assert_eq!(site.leased().iter().sum::<u32>(), UNITS);
}

/// Work stops for a second whenever a message is lost.
/// One grant or report is lost now and then; the lease of the round before must last until the
/// next.
#[test]
fn one_lost_grant_leaves_no_gap() {
    let mut site = Site::new(2, &[10, 24], 3);
    site.run(Millis::from_secs(5));
    let due = site.nodes[1].leases.next();
    site.run(due - site.now - STEP);
    site.loss = 1.0;
    site.run(Millis(100));
    site.loss = 0.0;
    for _ in 0..200 {
        site.run_checked(STEP, UNITS);
        assert!(site.leased()[1] > 0, "no lease at {}", site.now);
    }
}

/// An engine gets more than it can take after a slow second of the network.
/// A grant waits on the way while its units were given to others; it comes after the next
/// report was sent.
#[test]
fn a_late_grant_is_ignored() {
    let mut site = Site::new(2, &[10, 0], 4);
    site.run(Millis::from_secs(5));
    let before = site.nodes[1].leases.holder().ignored();
    let late = LeaseGrant {
        round: 2,
        lines: vec![(resource(), UNITS)],
        span: SPAN,
    };
    site.hand(0, 1, &Message::LeaseGrant(late));
    assert_eq!(site.nodes[1].leases.holder().ignored(), before + 1);
    assert_eq!(site.leased()[1], 10);
}

/// An engine gets more than it can take, as every answer is slower than a round.
/// The network takes 700 ms each way for a while: grants come after the next report.
#[test]
fn slow_messages_cost_leases_and_no_unit_is_leased_twice() {
    for seed in 0..20 {
        let mut site = Site::new(4, &[10, 24], seed);
        site.run_checked(Millis::from_secs(5), UNITS);
        site.delay = Millis(700);
        site.run_checked(Millis::from_secs(5), UNITS);
        site.delay = STEP;
        site.run_checked(Millis::from_secs(5), UNITS);
        assert_eq!(site.leased().iter().sum::<u32>(), UNITS);
    }
}

/// Nothing is sent to the engines after an instance died.
/// It was the allocator; its leases lapse within two seconds, and instances fall back to their
/// own parts until the view names the next one.
#[test]
fn a_dead_allocator_is_replaced() {
    let mut site = Site::new(4, &[10, 24], 5);
    site.run_checked(Millis::from_secs(5), UNITS);
    site.nodes[0].frozen = true;
    site.run_checked(SPAN + STEP, UNITS);
    assert_eq!(site.leased(), [0; 4]);
    for node in &mut site.nodes {
        node.view.allocator = Some(1);
        node.view.live = 3;
    }
    site.run_checked(Millis::from_secs(5), UNITS);
    assert_eq!(site.leased(), [0, 8, 8, 8]);
}

/// An instance wakes after ten seconds and sends work under a lease that others now hold.
/// Its lease counts on its own clock and has lapsed; grants that waited for it are too old.
#[test]
fn a_frozen_holder_wakes_without_a_lease() {
    let mut site = Site::new(3, &[12, 24], 6);
    site.run_checked(Millis::from_secs(5), UNITS);
    site.nodes[2].frozen = true;
    site.run_checked(Millis::from_secs(10), UNITS);
    assert_eq!(site.leased(), [12, 12, 0]);
    site.nodes[2].frozen = false;
    site.run_checked(Millis::from_secs(4), UNITS);
    assert_eq!(site.leased(), [8, 8, 8]);
}

/// A daemon alone has no allocator and must not wait for one.
#[test]
fn without_an_allocator_nothing_is_reported() {
    let mut site = Site::new(2, &[10, 24], 7);
    site.set_allocator(None);
    site.run_checked(Millis::from_secs(5), 0);
    assert!(site.wire.is_empty());
}

/// Each daemon reports on all 600 endpoints every second, whatever it sends to them.
/// Only a wish for spare room is left when nothing runs or waits.
#[test]
fn a_resource_without_demand_is_not_reported() {
    let mut site = Site::new(2, &[0, 24], 8);
    site.run_checked(Millis::from_secs(5), 0);
    assert!(site.wire.is_empty());
    assert!(site.nodes[0].leases.allocator().is_empty());
}

//! Usage through deaths, freezes, outages and lost answers: charged once, and never twice.

mod usage_fakes;

use std::collections::BTreeMap;

use arbtest::arbitrary::Result as Draw;
use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use usage_fakes::Mode;
use usage_fakes::Service;

use siskinyoke_base::Identity;
use siskinyoke_base::Incarnation;
use siskinyoke_base::InstanceId;
use siskinyoke_base::Millis;
use siskinyoke_base::message::Message;
use siskinyoke_control::Action;
use siskinyoke_control::Context;
use siskinyoke_control::Controller;
use siskinyoke_control::Outbox;
use siskinyoke_control::Sender;
use siskinyoke_control::usage::Cause;
use siskinyoke_control::usage::Charge;
use siskinyoke_control::usage::Day;
use siskinyoke_control::usage::LineKey;
use siskinyoke_control::usage::Member;
use siskinyoke_control::usage::Reader;
use siskinyoke_control::usage::Statement;
use siskinyoke_control::usage::Usage;
use siskinyoke_control::usage::stored;

/// Bytes of randomness in a history, about two hundred steps.
const SIZE: u64 = 0x258;

fn key(organisation: usize) -> LineKey {
    LineKey {
        organisation: format!("studio-{organisation}").as_str().into(),
        tier: "drafts".into(),
        model: "planner".into(),
    }
}

#[derive(Debug, PartialEq)]
enum State {
    Runs,
    Frozen,
    Dead,
}

/// A daemon's usage with what is on its way to and from it.
struct Node {
    usage: Usage,
    sender: Sender,
    out: Outbox,
    state: State,
    pending: Vec<Action>,
    inbox: Vec<(Sender, Message)>,
    charged: u64,
    durable: u64,
}

/// Daemons, a service between them, and one clock.
struct World {
    now: Millis,
    day: Day,
    service: Service,
    nodes: Vec<Node>,
    rng: ChaCha8Rng,
    keys: u64,
    mourning: bool,
    bytes: usize,
}

impl World {
    fn new(nodes: usize) -> Self {
        let mut world = Self {
            now: Millis::ZERO,
            day: Day(20_000),
            service: Service::default(),
            nodes: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(7),
            keys: 0,
            mourning: false,
            bytes: 0,
        };
        (0..nodes).for_each(|number| world.start(number));
        world.members();
        world
    }

    fn start(&mut self, number: usize) {
        let sender = Sender {
            instance: InstanceId::new(&format!("entry-{number}")),
            incarnation: Incarnation(100 + self.nodes.len() as u64),
        };
        self.nodes.push(Node {
            usage: Usage::new(sender.instance.clone(), sender.incarnation, self.day),
            sender,
            out: Outbox::default(),
            state: State::Runs,
            pending: Vec::new(),
            inbox: Vec::new(),
            charged: 0,
            durable: 0,
        });
    }

    /// Tells all daemons which are there.
    fn members(&mut self) {
        let there = self.nodes.iter().filter(|node| node.state != State::Dead);
        let members: Vec<Member> = there
            .map(|node| Member {
                instance: node.sender.instance.clone(),
                incarnation: node.sender.incarnation,
                centre: "dokki".into(),
            })
            .collect();
        for node in &mut self.nodes {
            node.usage.set_members(&members);
        }
    }

    fn charge(&mut self, node: usize, organisation: usize) {
        self.keys += 1;
        let identity = Identity {
            organisation: key(organisation).organisation,
            owner: self.nodes[node].sender.incarnation,
            key: self.keys.to_string(),
        };
        let line = key(organisation);
        let charge = Charge {
            identity: &identity,
            line: &line,
            prompt: 7,
            output: 1,
        };
        let node = &mut self.nodes[node];
        assert!(node.usage.charge(self.now, &charge));
        assert!(!node.usage.charge(self.now, &charge), "charged twice");
        node.usage.waste(&line, Cause::Broken, 3);
        node.charged += 1;
        self.note();
    }

    fn with(&mut self, node: usize, act: impl FnOnce(&mut Usage, &mut Context<'_>)) {
        let Self {
            nodes, rng, now, ..
        } = self;
        let Node { usage, out, .. } = &mut nodes[node];
        let now = *now;
        act(usage, &mut Context { now, out, rng });
        let actions = nodes[node].out.take();
        nodes[node].pending.extend(actions);
        self.note();
    }

    /// Notes what each daemon says is durable.
    fn note(&mut self) {
        for node in &mut self.nodes {
            if node.state == State::Runs && node.usage.settled() {
                node.durable = node.charged;
            }
        }
    }

    /// Lets everything run for a span, in steps of half a second.
    fn run(&mut self, secs: u64) {
        for _ in 0..secs * 2 {
            self.now += Millis(500);
            for node in 0..self.nodes.len() {
                if self.nodes[node].state == State::Runs
                    && self.now >= self.nodes[node].usage.next()
                {
                    self.with(node, Usage::tick);
                }
            }
            while (0..self.nodes.len()).any(|node| self.pump(node)) {}
        }
    }

    /// Carries out what a daemon wants and gives it what came for it.
    fn pump(&mut self, at: usize) -> bool {
        if self.nodes[at].state != State::Runs {
            return false;
        }
        let actions = std::mem::take(&mut self.nodes[at].pending);
        let inbox = std::mem::take(&mut self.nodes[at].inbox);
        let busy = !actions.is_empty() || !inbox.is_empty();
        for action in actions {
            match action {
                Action::Send { to, message } => self.deliver(at, &to, message),
                Action::Platform { op, request } => {
                    let reply = self.service.call(self.now, &request);
                    self.with(at, |usage, cx| assert!(usage.reply(cx, op, &reply)));
                }
                other => panic!("not wanted: {other:?}"),
            }
        }
        for (from, message) in inbox {
            self.with(at, |usage, cx| usage.message(cx, &from, &message));
        }
        busy
    }

    fn deliver(&mut self, from: usize, to: &InstanceId, message: Message) {
        let sender = self.nodes[from].sender.clone();
        self.bytes += stored::encode(&message).len();
        let there = |node: &&mut Node| node.sender.instance == *to && node.state != State::Dead;
        if let Some(node) = self.nodes.iter_mut().find(there) {
            node.inbox.push((sender, message));
        }
    }

    fn statement(&self) -> Statement {
        let records = self.service.list(stored::RECORDS);
        Statement::new(&records, &self.service.list(stored::TOTALS))
    }

    /// Counts the charges that can be read, checking that each has its tokens.
    fn read(&self) -> u64 {
        let statement = self.statement();
        assert_eq!(statement.damaged, 0);
        let mut requests = 0;
        for line in statement.lines.values() {
            let waste = line.wasted(Cause::Broken);
            let tokens = (line.prompt, line.output, waste);
            let count = line.requests;
            assert_eq!(tokens, (7 * count, count, 3 * count));
            requests += count;
        }
        requests
    }

    fn charged(&self) -> u64 {
        self.nodes.iter().map(|node| node.charged).sum()
    }

    fn durable(&self) -> u64 {
        self.nodes.iter().map(|node| node.durable).sum()
    }

    /// Moves to a day on which all earlier ones are closed, and adds their records up.
    fn close_days(&mut self) {
        self.day = Day(self.day.0 + 3);
        for node in &mut self.nodes {
            node.usage.set_day(self.day);
        }
        for _ in 0..60 {
            self.run(60);
            if self.service.list(stored::RECORDS).is_empty() {
                return;
            }
        }
    }
}

/// A daemon is killed right after answers, with its write not yet made, or made. The studio finds
/// answers on its bill twice, or a day's worth of them missing.
#[test]
fn a_dead_writer_is_charged_for_once() {
    for secs in [3, 9, 15, 40] {
        let mut world = World::new(4);
        (0..20).for_each(|n| world.charge(0, n % 3));
        world.run(secs);
        assert_eq!(world.durable(), 20, "after {secs} s");
        world.nodes[0].state = State::Dead;
        world.members();
        world.run(40);
        assert_eq!(world.read(), 20, "killed after {secs} s");
        // Both holders wrote for it; a third of the fleet's writes must not be theirs for ever.
        let writes = world.service.writes;
        world.run(100);
        assert_eq!(world.service.writes, writes);
    }
}

/// The service takes each write but its answers are lost. The daemon writes again and again, and
/// each write adds to the bill.
#[test]
fn a_lost_answer_changes_nothing() {
    let mut world = World::new(1);
    world.service.mode = Mode::Deaf;
    (0..5).for_each(|_| world.charge(0, 0));
    world.run(60);
    assert!(!world.nodes[0].usage.settled());
    world.charge(0, 0);
    world.service.mode = Mode::Up;
    world.run(30);
    assert!(world.nodes[0].usage.settled());
    assert_eq!(world.read(), 6);
}

/// The service is away for hours, and daemons leave and die meanwhile. What they had charged is
/// with two peers, and still missing from the bill when the service is back.
#[test]
fn usage_outlives_an_outage_and_the_daemon() {
    let mut world = World::new(4);
    world.service.mode = Mode::Down;
    (0..9).for_each(|n| world.charge(0, n));
    world.with(0, Usage::flush);
    assert!(!world.nodes[0].usage.settled());
    world.run(1);
    assert!(world.nodes[0].usage.settled(), "two peers hold it");
    world.nodes[0].state = State::Dead;
    world.members();
    world.run(7_200);
    // One of its two holders goes as well.
    let holder =
        (1..4).find(|node| world.nodes[*node].inbox.is_empty() && world.nodes[*node].charged == 0);
    world.nodes[holder.unwrap()].state = State::Dead;
    world.members();
    world.service.mode = Mode::Up;
    world.run(60);
    assert_eq!(world.read(), 9);
}

/// A holder is replaced under the same name, and an acknowledgement of its earlier start comes
/// late. The leaving daemon takes it for one of the new start, exits, and its usage is gone.
#[test]
fn an_acknowledgement_of_an_earlier_start_counts_for_nothing() {
    let mut world = World::new(3);
    world.service.mode = Mode::Down;
    world.charge(0, 0);
    for (number, incarnation) in [(1, 101), (2, 999)] {
        let from = Sender {
            instance: InstanceId::new(&format!("entry-{number}")),
            incarnation: Incarnation(incarnation),
        };
        let ack = Message::UsageAck { round: 9 };
        world.with(0, |usage, cx| usage.message(cx, &from, &ack));
    }
    assert!(!world.nodes[0].usage.settled());
}

/// A daemon is frozen with a write on its way and declared gone; its holders write for it. It
/// wakes, its old write arrives, and it charges on. The bill counts the three copies as three.
#[test]
fn a_frozen_writer_that_wakes_is_charged_for_once() {
    let mut world = World::new(4);
    (0..4).for_each(|_| world.charge(0, 0));
    world.run(5);
    world.now += Millis(20_000);
    world.with(0, Usage::tick);
    world.nodes[0].state = State::Frozen;
    let alive: Vec<Member> = Vec::new();
    world.nodes[1].usage.set_members(&alive);
    world.nodes[2].usage.set_members(&alive);
    world.nodes[3].usage.set_members(&alive);
    world.run(60);
    assert_eq!(world.read(), 4);
    world.nodes[0].state = State::Runs;
    world.members();
    (0..3).for_each(|_| world.charge(0, 0));
    world.run(60);
    assert_eq!(world.read(), 7);
}

/// Days are closed by several daemons at once while answers of the service are lost. A record is
/// added to the total twice, or removed and in no total, and the month's bill is wrong.
#[test]
fn closing_days_neither_adds_nor_loses() {
    let mut world = World::new(5);
    for round in 0..60 {
        world.charge(round % 5, round % 13);
    }
    world.run(30);
    world.service.mode = Mode::Deaf;
    world.close_days();
    assert_eq!(world.read(), 60);
    world.service.mode = Mode::Up;
    world.run(3_600);
    assert_eq!(world.read(), 60);
    assert!(world.service.list(stored::RECORDS).is_empty());
    let folded: u64 = world.nodes.iter().map(|node| node.usage.folded()).sum();
    assert!(folded >= 5, "{folded}");
}

/// An operator reads the bill while a day is being closed. A record is removed after the totals
/// were read and before the records are, and is in neither.
#[test]
fn a_reading_while_a_day_is_closed_is_whole() {
    let mut world = World::new(1);
    world.charge(0, 0);
    world.run(20);
    let mut out = Outbox::default();
    let day = world.day;
    let mut reader = Reader::start(&mut out, day);
    let mut answer = |world: &mut World, out: &mut Outbox| {
        let Some(Action::Platform { op, request }) = out.take().pop() else {
            panic!("the reader asked for nothing");
        };
        let reply = world.service.call(world.now, &request);
        reader.reply(out, op, &reply).unwrap()
    };
    assert_eq!(answer(&mut world, &mut out), None);
    world.close_days();
    let statement = answer(&mut world, &mut out).unwrap();
    assert_eq!(statement.total(&key(0).organisation).requests, 1);
}

/// A daemon frozen for three days wakes with a write on its way, while its day is being closed.
/// The write takes, is removed with the record, and the daemon believes it kept.
#[test]
fn a_write_that_comes_too_late_is_known_to_be_late() {
    let mut world = World::new(1);
    world.charge(0, 0);
    world.run(20);
    assert_eq!(world.durable(), 1);
    world.charge(0, 0);
    world.now += Millis(20_000);
    world.with(0, Usage::tick);
    let late = std::mem::take(&mut world.nodes[0].pending);
    // Another daemon closes the day, and is stopped after its first write.
    world.day = Day(world.day.0 + 3);
    world.start(1);
    world.nodes[0].state = State::Frozen;
    let writes = world.service.writes;
    while world.service.writes == writes {
        world.now += Millis(500);
        world.with(1, Usage::tick);
        world.pump(1);
    }
    world.nodes[0].state = State::Runs;
    world.nodes[0].pending = late;
    world.nodes[0].usage.set_day(world.day);
    world.pump(0);
    world.with(0, Usage::flush);
    world.run(3_600);
    assert_eq!(world.nodes[0].usage.late(), 1);
    assert_eq!(world.read(), 1);
}

/// Forty thousand organisations work through one daemon. Its record outgrows the largest value
/// that the service takes, and from then on no write of it succeeds.
#[test]
fn a_record_never_outgrows_a_value() {
    let mut world = World::new(1);
    (0..40_000).for_each(|n| world.charge(0, n));
    world.run(120);
    assert!(world.nodes[0].usage.settled());
    assert!(world.service.largest < 1 << 20, "{}", world.service.largest);
    assert_eq!(world.read(), 40_000);
    let last = key(39_999).organisation;
    let recent = world.nodes[0].usage.recent(&last);
    assert_eq!(recent.count(), 1);
    println!("largest page: {} bytes", world.service.largest);
}

/// The fleet grows, and with it each daemon's messages, or the calls to the service until it
/// refuses them. The load is a daemon's part of what is expected in two years, 19 requests a
/// second of a thousand organisations, so that nearly each one changes a line of its own.
#[test]
fn costs_do_not_grow_with_the_fleet() {
    for size in [3_u32, 8, 32] {
        let mut world = World::new(size as usize);
        let secs = 120;
        for second in 0..secs {
            for number in 0..19 * size {
                let organisation = (second * 7 + number * 31) % 1_000;
                world.charge((number % size) as usize, organisation as usize);
            }
            world.run(1);
        }
        let each = f64::from(size * secs);
        let bytes = f64::from(u32::try_from(world.bytes).unwrap()) / each;
        let calls = f64::from(world.service.calls) / f64::from(secs);
        println!("{size} daemons: {bytes:.0} B/s to peers each, {calls:.2} calls/s in all");
        assert!(bytes < 7_000.0, "a daemon's budget: {bytes}");
        assert!(calls < 20.0, "{calls}");
    }
}

/// One step of a random history.
fn step(world: &mut World, u: &mut Unstructured<'_>) -> Draw<()> {
    let node = u.choose_index(world.nodes.len())?;
    let runs = world.nodes[node].state == State::Runs;
    match u.int_in_range(0..=19)? {
        0..=7 if runs => world.charge(node, u.choose_index(3)?),
        8 => world.service.mode = *u.choose(&[Mode::Up, Mode::Down, Mode::Deaf])?,
        9 if runs => {
            // Frozen just when it has decided to write.
            world.now += Millis(15_000);
            world.with(node, Usage::tick);
            world.nodes[node].state = State::Frozen;
        }
        10 | 11 if world.nodes[node].state == State::Frozen => {
            world.nodes[node].state = State::Runs;
        }
        12 if runs => kill(world, u, node)?,
        13 => world.members(),
        14 if runs => world.with(node, Usage::flush),
        15 => world.nodes[node].usage.set_members(&[]),
        _ => world.run(u.int_in_range(1..=8)?),
    }
    Ok(())
}

/// Kills a daemon with charges that are not written yet, and starts another in its place.
///
/// An earlier death must have been written by its holders before, as the design outlives one
/// daemon and one of its holders, not all three at once.
fn kill(world: &mut World, u: &mut Unstructured<'_>, node: usize) -> Draw<()> {
    let frozen = world.nodes.iter().any(|node| node.state == State::Frozen);
    if world.mourning && (frozen || world.service.mode != Mode::Up) {
        return Ok(());
    }
    if world.mourning {
        world.run(40);
    }
    for _ in 0..u.int_in_range(0..=3)? {
        world.charge(node, 0);
    }
    world.run(u.int_in_range(0..=3)?);
    world.nodes[node].state = State::Dead;
    world.mourning = true;
    let number = world.nodes.len();
    world.start(number);
    world.members();
    Ok(())
}

/// Random histories: charges, kills, freezes, wakings, outages and lost answers in any order.
/// What a daemon called durable is on the bill, nothing is on it that was not charged, and
/// closing the days changes nothing.
#[test]
fn random_histories_charge_once() {
    let mut seen = BTreeMap::new();
    for seed in 0..200 {
        arbtest(|u| {
            let mut world = World::new(4);
            while !u.is_empty() {
                step(&mut world, u)?;
            }
            world.service.mode = Mode::Up;
            for node in &mut world.nodes {
                if node.state == State::Frozen {
                    node.state = State::Runs;
                }
            }
            world.members();
            world.run(60);
            let read = world.read();
            let (durable, charged) = (world.durable(), world.charged());
            assert!(
                durable <= read && read <= charged,
                "{durable} {read} {charged}"
            );
            world.close_days();
            assert_eq!(world.read(), read, "closing the days");
            *seen.entry(world.nodes.len()).or_insert(0) += charged;
            Ok(())
        })
        .seed((seed << 32) | SIZE)
        .run();
    }
    println!("charges by daemons started: {seen:?}");
}

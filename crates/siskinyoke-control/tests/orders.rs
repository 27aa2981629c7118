//! Orders to engines through frozen holders, outages, lost answers and a busy weight store.

mod usage_fakes;

use std::collections::BTreeMap;

use arbtest::arbtest;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use usage_fakes::Mode;
use usage_fakes::Service;

use siskinyoke_base::EndpointId;
use siskinyoke_base::Incarnation;
use siskinyoke_base::InstanceId;
use siskinyoke_base::Millis;
use siskinyoke_control::Action;
use siskinyoke_control::Context;
use siskinyoke_control::Controller;
use siskinyoke_control::OpId;
use siskinyoke_control::Outbox;
use siskinyoke_control::Reply;
use siskinyoke_control::configuration::EndpointDoc;
use siskinyoke_control::configuration::EndpointKind;
use siskinyoke_control::configuration::Fencing;
use siskinyoke_control::orders::EndpointState;
use siskinyoke_control::orders::ModelState;
use siskinyoke_control::orders::Order;
use siskinyoke_control::orders::OrderError;
use siskinyoke_control::orders::OrderReply;
use siskinyoke_control::orders::OrderResult;
use siskinyoke_control::orders::OrderSpec;
use siskinyoke_control::orders::Orders;
use siskinyoke_control::orders::PoolPlan;

const LIMIT: Millis = Millis::from_secs(60);

/// An engine: the even ones refuse old fencing numbers, the odd ones ignore them.
#[derive(Default)]
struct Engine {
    state: EndpointState,
    fence: u64,
    work: Option<(Millis, OrderSpec)>,
    mixed: bool,
}

struct Node {
    orders: Orders,
    out: Outbox,
    frozen: bool,
    /// Whether it cannot reach the service.
    cut: bool,
    pending: Vec<Action>,
    replies: Vec<(Millis, OpId, Reply)>,
    results: Vec<(OrderSpec, OrderResult)>,
}

struct World {
    now: Millis,
    service: Service,
    nodes: Vec<Node>,
    engines: Vec<Engine>,
    rng: ChaCha8Rng,
    /// Whether senders look at the clock right before they send.
    checked: bool,
    /// How long a load takes.
    load: Millis,
    /// How long the service's answers take.
    delay: Millis,
    /// Whether the engines' answers are lost.
    deaf: bool,
    most_loads: usize,
    changes: Vec<u64>,
    /// Orders that the service's lease did not cover to their end.
    uncovered: usize,
}

fn engine(number: usize) -> EndpointId {
    EndpointId::new(&format!("engine-{number}"))
}

fn number(id: &EndpointId) -> usize {
    id.as_str()["engine-".len()..].parse().unwrap()
}

/// A plan in which each engine runs one model in a version, with an adapter.
fn plan(engines: usize, version: &str) -> PoolPlan {
    let model = ModelState {
        version: version.to_owned(),
        adapters: BTreeMap::from([("arabic".to_owned(), version.to_owned())]),
    };
    let state = EndpointState {
        models: BTreeMap::from([("speller".into(), model)]),
        ..EndpointState::default()
    };
    PoolPlan {
        endpoints: (0..engines).map(|n| (engine(n), state.clone())).collect(),
        loads: 2,
        limit: LIMIT,
    }
}

fn docs(engines: usize) -> BTreeMap<EndpointId, EndpointDoc> {
    let doc = |n: usize| EndpointDoc {
        address: format!("10.0.0.{n}:8000"),
        centre: "dokki".into(),
        kind: EndpointKind::Engine,
        targets: Vec::new(),
        slots: 1,
        speed: 30,
        prefill: 2_000,
        fencing: if n.is_multiple_of(2) {
            Fencing::Enforced
        } else {
            Fencing::Ignored
        },
        resume: false,
        leaving: false,
    };
    (0..engines).map(|n| (engine(n), doc(n))).collect()
}

impl World {
    fn new(nodes: usize, engines: usize) -> Self {
        let mut world = Self {
            now: Millis::from_secs(1),
            service: Service::default(),
            nodes: Vec::new(),
            engines: (0..engines).map(|_| Engine::default()).collect(),
            rng: ChaCha8Rng::seed_from_u64(3),
            checked: true,
            load: Millis::from_secs(20),
            delay: Millis::ZERO,
            deaf: false,
            most_loads: 0,
            uncovered: 0,
            changes: Vec::new(),
        };
        let names: Vec<InstanceId> = (0..nodes)
            .map(|n| InstanceId::new(&format!("entry-{n}")))
            .collect();
        for (n, name) in names.iter().enumerate() {
            let start = Incarnation(n as u64);
            let mut orders = Orders::new("pool", name.clone(), start, plan(engines, "v1"));
            orders.set_plan(&plan(engines, "v1"), &docs(engines));
            orders.set_members(&names);
            world.nodes.push(Node {
                orders,
                out: Outbox::default(),
                frozen: false,
                cut: false,
                pending: Vec::new(),
                replies: Vec::new(),
                results: Vec::new(),
            });
        }
        world
    }

    fn with(&mut self, node: usize, act: impl FnOnce(&mut Orders, &mut Context<'_>)) {
        let Self {
            nodes, rng, now, ..
        } = self;
        let Node { orders, out, .. } = &mut nodes[node];
        let now = *now;
        act(orders, &mut Context { now, out, rng });
        let actions = nodes[node].out.take();
        nodes[node].pending.extend(actions);
    }

    fn run(&mut self, secs: u64) {
        for _ in 0..secs {
            self.now += Millis(1_000);
            self.work();
            for node in 0..self.nodes.len() {
                let due = self.now >= self.nodes[node].orders.next();
                if due && !self.nodes[node].frozen {
                    self.with(node, Orders::tick);
                }
            }
            while (0..self.nodes.len()).any(|node| self.pump(node)) {}
            self.check();
        }
    }

    fn pump(&mut self, at: usize) -> bool {
        if self.nodes[at].frozen {
            return false;
        }
        let actions = std::mem::take(&mut self.nodes[at].pending);
        let now = self.now;
        let replies = self.nodes[at]
            .replies
            .extract_if(.., |reply| now >= reply.0);
        let replies: Vec<_> = replies.collect();
        let results = std::mem::take(&mut self.nodes[at].results);
        let busy = !actions.is_empty() || !replies.is_empty() || !results.is_empty();
        for (_, op, reply) in replies {
            self.with(at, |orders, cx| assert!(orders.reply(cx, op, &reply)));
        }
        for (spec, result) in results {
            self.with(at, |orders, cx| orders.on_order(cx, spec.id, &result));
        }
        for action in actions {
            match action {
                Action::Platform { op, request } => {
                    let mode = self.service.mode;
                    if self.nodes[at].cut {
                        self.service.mode = Mode::Down;
                    }
                    let reply = self.service.call(now, &request);
                    self.service.mode = mode;
                    self.nodes[at].replies.push((now + self.delay, op, reply));
                }
                Action::Order(spec) => self.send(at, *spec),
                other => panic!("not wanted: {other:?}"),
            }
        }
        busy
    }

    fn send(&mut self, from: usize, spec: OrderSpec) {
        if self.checked && self.now > spec.before {
            self.nodes[from]
                .results
                .push((spec, Err(OrderError::NotSent)));
            return;
        }
        let number = number(&spec.endpoint);
        let engine = &mut self.engines[number];
        if number.is_multiple_of(2) && spec.id.fence < engine.fence {
            self.nodes[from]
                .results
                .push((spec, Err(OrderError::Stale)));
            return;
        }
        engine.fence = engine.fence.max(spec.id.fence);
        if spec.order.reads() {
            let state = OrderReply::State(engine.state.clone());
            self.nodes[from].results.push((spec, Ok(state)));
            return;
        }
        let covers = |lease: &&(Millis, Millis)| lease.0 >= self.now + spec.limit;
        self.uncovered += usize::from(!self.service.leases.values().any(|at| covers(&at)));
        engine.mixed |= engine.work.is_some();
        self.changes.push(spec.id.fence);
        let span = if spec.order.loads() {
            self.load
        } else {
            Millis(500)
        };
        if self.deaf {
            let result = (spec.clone(), Err(OrderError::Unknown));
            self.nodes[from].results.push(result);
        }
        engine.work = Some((self.now + span, spec));
    }

    /// Ends the orders that engines are done with.
    fn work(&mut self) {
        for engine in &mut self.engines {
            let Some((_, spec)) = engine.work.take_if(|(end, _)| self.now >= *end) else {
                continue;
            };
            apply(&mut engine.state, &spec.order);
            // Only the daemon that ordered it waits for it, if any still does.
            for node in self.nodes.iter_mut().filter(|_| !self.deaf) {
                node.results.push((spec.clone(), Ok(OrderReply::Done)));
            }
        }
    }

    fn check(&mut self) {
        let loading = |engine: &&Engine| engine.work.as_ref().is_some_and(|w| w.1.order.loads());
        let loads = self.engines.iter().filter(loading).count();
        self.most_loads = self.most_loads.max(loads);
    }

    fn holders(&self) -> usize {
        self.nodes.iter().filter(|node| node.orders.holds()).count()
    }

    fn holder(&self) -> usize {
        self.nodes
            .iter()
            .position(|node| node.orders.holds())
            .unwrap()
    }

    fn runs(&self, version: &str) -> bool {
        let wanted = plan(self.engines.len(), version).endpoints;
        let mut states = self.engines.iter().map(|engine| &engine.state);
        states.all(|state| state == &wanted[&engine(0)])
    }

    fn set_plan(&mut self, node: usize, version: &str) {
        let engines = self.engines.len();
        self.nodes[node]
            .orders
            .set_plan(&plan(engines, version), &docs(engines));
    }
}

fn apply(state: &mut EndpointState, order: &Order) {
    match order.clone() {
        Order::Inspect => {}
        Order::Load { model, version } => {
            let adapters = BTreeMap::new();
            state.models.insert(model, ModelState { version, adapters });
        }
        Order::Unload { model } => drop(state.models.remove(&model)),
        Order::LoadAdapter {
            model,
            adapter,
            version,
        } => {
            let model = state.models.get_mut(&model).unwrap();
            model.adapters.insert(adapter, version);
        }
        Order::UnloadAdapter { model, adapter } => {
            state
                .models
                .get_mut(&model)
                .unwrap()
                .adapters
                .remove(&adapter);
        }
        Order::Role { role } => state.role = role,
    }
}

/// Three daemons and six engines start at once. Each daemon orders its own loads, the weight store
/// is asked for all at once, and every load fails.
#[test]
fn one_holder_loads_within_the_weight_stores_limit() {
    let mut world = World::new(3, 6);
    world.run(600);
    assert!(world.runs("v1"));
    assert_eq!(world.most_loads, 2);
    assert_eq!(world.holders(), 1);
    let holder = world.holder();
    assert!(world.nodes[holder].orders.converged());
    assert_eq!(world.changes.len(), 12, "each order once");
    // It leaves in good order and another takes over without loading anything again.
    world.nodes[holder].orders.leave();
    world.run(300);
    assert_eq!(world.holders(), 1);
    assert_ne!(world.holder(), holder);
    assert_eq!(world.changes.len(), 12);
}

/// The holder is frozen with orders for an old version decided but not sent. Another takes over
/// and loads the new version; the first wakes and its orders undo it.
#[test]
fn a_woken_holder_gives_no_order() {
    for checked in [true, false] {
        let mut world = World::new(2, 2);
        world.run(300);
        let old = world.holder();
        world.set_plan(old, "old");
        world.with(old, Orders::tick);
        while !world.nodes[old].pending.iter().any(changes) {
            world.now += Millis(100);
            world.pump(old);
        }
        world.nodes[old].frozen = true;
        world.set_plan(1 - old, "new");
        world.run(600);
        assert!(world.runs("new"));
        world.checked = checked;
        let given = world.changes.len();
        let fence = world.changes[given - 1];
        world.nodes[old].frozen = false;
        world.run(1);
        let late: Vec<u64> = world.changes[given..].to_vec();
        // Paused after its last look at the clock, it reaches the engine that ignores numbers,
        // and no other.
        assert_eq!(late.len(), usize::from(!checked), "checked: {checked}");
        assert!(late.iter().all(|old| *old < fence));
        world.run(600);
        assert!(world.runs("new"), "the holder sets it right");
        assert_eq!(world.holders(), 1);
    }
}

/// A holder is paused, another brings the pool to a new version and leaves. The first takes over
/// again, goes by what it knew before, and loads everything a second time.
#[test]
fn a_new_claim_reads_what_the_engines_run() {
    let mut world = World::new(2, 2);
    world.run(300);
    let old = world.holder();
    world.nodes[old].frozen = true;
    world.set_plan(1 - old, "new");
    world.run(900);
    world.nodes[old].frozen = false;
    world.set_plan(old, "new");
    world.nodes[1 - old].orders.leave();
    let given = world.changes.len();
    world.run(900);
    assert_eq!(world.holder(), old);
    assert_eq!(world.changes.len(), given);
}

fn changes(action: &Action) -> bool {
    matches!(action, Action::Order(spec) if !spec.order.reads())
}

/// The holder is cut off from the service and paused after its last look at the clock, with a load
/// decided. The load leaves late and is under way when the next holder orders one of its own.
#[test]
fn a_new_holder_waits_out_the_longest_order() {
    let mut world = World::new(2, 2);
    world.run(1);
    world.load = LIMIT;
    let old = world.holder();
    while !world.nodes[old].pending.iter().any(changes) {
        world.now += Millis(100);
        world.pump(old);
        if world.now >= world.nodes[old].orders.next() {
            world.with(old, Orders::tick);
        }
    }
    world.nodes[old].frozen = true;
    let lapse = world.service.leases.values().map(|lease| lease.0).max();
    while Some(world.now + Millis(2_000)) < lapse {
        world.run(1);
    }
    world.checked = false;
    world.nodes[old].frozen = false;
    world.nodes[old].cut = true;
    world.run(1);
    world.nodes[old].frozen = true;
    assert!(world.engines.iter().any(|engine| engine.work.is_some()));
    world.run(600);
    assert!(world.runs("v1"));
    assert!(world.engines.iter().all(|engine| !engine.mixed));
    assert!(world.most_loads <= 2, "{}", world.most_loads);
}

/// A holder is cut off from the service, whose answers were slow before, and has many short orders
/// to give. Its last ones are still under way when another daemon takes the lease.
#[test]
fn every_order_ends_within_the_lease() {
    let mut world = World::new(2, 60);
    world.load = Millis::from_secs(7);
    world.delay = Millis::from_secs(20);
    world.checked = false;
    while world.changes.len() < 3 {
        world.run(1);
    }
    let old = world.holder();
    world.nodes[old].cut = true;
    let given = world.changes.len();
    world.run(300);
    assert!(world.changes.len() > given);
    assert_eq!(world.uncovered, 0);
}

/// The answers of engines are lost while they load. The holder takes the loads for failed and
/// begins others, and the weight store is asked for more than it gives.
#[test]
fn a_load_of_unknown_outcome_counts_until_its_end() {
    let mut world = World::new(1, 6);
    world.load = LIMIT;
    world.deaf = true;
    world.run(1_500);
    assert!(world.most_loads <= 2, "{}", world.most_loads);
    assert!(world.runs("v1"));
}

/// The service goes down in the middle of a change. The holder goes on ordering under a lease that
/// it cannot renew, while another may hold it.
#[test]
fn an_outage_stops_new_orders_and_nothing_else() {
    let mut world = World::new(2, 12);
    while world.changes.len() < 3 {
        world.run(1);
    }
    world.service.mode = Mode::Down;
    world.run(180);
    let given = world.changes.len();
    world.run(600);
    assert_eq!(world.changes.len(), given, "none without a lease");
    assert!(world.engines.iter().all(|engine| engine.work.is_none()));
    assert!(!world.runs("v1"));
    world.service.mode = Mode::Up;
    world.run(1_200);
    assert!(world.runs("v1"));
}

/// Every answer of the service is lost while the pool has no holder. Each daemon believes that
/// the other has it, and none orders until the operators notice.
#[test]
fn lost_answers_leave_one_holder() {
    let mut world = World::new(2, 2);
    for round in 0..20 {
        world.service.mode = if round % 2 == 0 { Mode::Up } else { Mode::Deaf };
        world.run(1);
    }
    world.service.mode = Mode::Up;
    world.run(600);
    assert_eq!(world.holders(), 1);
    assert!(world.runs("v1"));
}

/// Random histories of freezes, outages and lost answers. No engine that refuses old numbers
/// carries out an order of an earlier holder, none has two orders at once, the weight store's
/// limit holds, and in the end the engines run what is wanted.
#[test]
fn random_histories_order_one_at_a_time() {
    let mut orders = 0;
    for seed in 0..200_u64 {
        arbtest(|u| {
            let mut world = World::new(3, 4);
            while !u.is_empty() {
                let node = u.choose_index(3)?;
                match u.int_in_range(0..=7)? {
                    0 => world.service.mode = *u.choose(&[Mode::Up, Mode::Down, Mode::Deaf])?,
                    1 => world.nodes[node].frozen = true,
                    2 => world.nodes[node].frozen = false,
                    3 => world.load = Millis::from_secs(u.int_in_range(5..=60)?),
                    _ => world.run(u.int_in_range(1..=90)?),
                }
            }
            world.service.mode = Mode::Up;
            for node in &mut world.nodes {
                node.frozen = false;
            }
            world.run(1_500);
            assert!(world.runs("v1"));
            assert!(world.engines.iter().all(|engine| !engine.mixed));
            assert!(world.most_loads <= 2);
            assert_eq!(world.uncovered, 0);
            assert!(world.changes.is_sorted(), "{:?}", world.changes);
            assert_eq!(world.holders(), 1);
            orders += world.changes.len();
            Ok(())
        })
        .seed((seed << 32) | 0x60)
        .run();
    }
    println!("orders given: {orders}");
}

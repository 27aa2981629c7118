//! What the holder of a pool's orders costs, in virtual time with everything as wanted.

use std::collections::BTreeMap;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::Network;
use crate::cost;
use crate::documents::document;
use siskinyoke_base::EndpointId;
use siskinyoke_base::Incarnation;
use siskinyoke_base::InstanceId;
use siskinyoke_base::Millis;
use siskinyoke_control::Action;
use siskinyoke_control::Context;
use siskinyoke_control::Controller;
use siskinyoke_control::Outbox;
use siskinyoke_control::orders::EndpointState;
use siskinyoke_control::orders::OrderReply;
use siskinyoke_control::orders::Orders;
use siskinyoke_control::orders::PoolPlan;
use siskinyoke_tests::FakePlatform;

/// Virtual time measured.
const SPAN: Millis = Millis::from_secs(3_600);

/// Longest order.
const LIMIT: Millis = Millis::from_secs(2);

/// Prints one line for each number of endpoints in the pool.
pub fn run(sizes: &[usize]) {
    println!("| endpoints | platform calls/s | orders/s (all inspections) | µs/s | bytes each |");
    println!("|---|---|---|---|---|");
    for size in sizes {
        line(*size);
    }
}

fn line(size: usize) {
    let memory = cost::resident();
    let mut orders = pool(size);
    let memory = cost::resident().saturating_sub(memory);
    let mut platform = FakePlatform::default();
    let mut out = Outbox::default();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut now = Millis::from_secs(1);
    let end = now + SPAN;
    let mut given = 0_u64;
    let start = cost::thread_nanos();
    while now < end {
        let mut cx = Context {
            now,
            out: &mut out,
            rng: &mut rng,
        };
        orders.tick(&mut cx);
        loop {
            let actions = cx.out.take();
            if actions.is_empty() {
                break;
            }
            for action in actions {
                given += u64::from(matches!(action, Action::Order(_)));
                answer(&mut orders, &mut platform, &mut cx, action);
            }
        }
        now = orders
            .next()
            .max(now + Millis(10))
            .min(now + Millis::from_secs(60));
    }
    let nanos = cost::thread_nanos() - start;
    println!(
        "| {size} | {:.3} | {:.2} | {:.0} | {} |",
        platform.calls as f64 / SPAN.as_secs(),
        given as f64 / SPAN.as_secs(),
        nanos as f64 / 1000.0 / SPAN.as_secs(),
        memory / size as u64,
    );
}

fn answer(orders: &mut Orders, platform: &mut FakePlatform, cx: &mut Context<'_>, action: Action) {
    match action {
        Action::Platform { op, request } => {
            let reply = platform.call(&request);
            orders.reply(cx, op, &reply);
        }
        Action::Order(spec) => {
            let state = OrderReply::State(EndpointState::default());
            orders.on_order(cx, spec.id, &Ok(state));
        }
        _ => {}
    }
}

fn pool(size: usize) -> Orders {
    let docs = document(1, size).endpoints;
    let wanted = docs.keys().map(|id| (id.clone(), EndpointState::default()));
    let endpoints: BTreeMap<EndpointId, EndpointState> = wanted.collect();
    let plan = PoolPlan {
        endpoints,
        loads: 4,
        limit: LIMIT,
    };
    let own: InstanceId = Network::name(0);
    let mut orders = Orders::new("pool", own.clone(), Incarnation(1), plan.clone());
    orders.set_plan(&plan, &docs);
    orders.set_members(&[own]);
    orders
}

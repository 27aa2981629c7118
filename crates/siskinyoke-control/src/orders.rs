//! Orders to the engines of a pool, given by one daemon at a time.

mod claim;
mod order;
mod plan;

use std::collections::BTreeMap;

use claim::Claim;

use crate::Action;
use crate::Context;
use crate::Controller;
use crate::OpId;
use crate::Reply;
use crate::Sender;
use crate::configuration::EndpointDoc;
use crate::configuration::Fencing;
pub use order::Order;
pub use order::OrderError;
pub use order::OrderId;
pub use order::OrderReply;
pub use order::OrderResult;
pub use order::OrderSpec;
pub use plan::EndpointState;
pub use plan::EngineRole;
pub use plan::ModelState;
pub use plan::PoolPlan;
use siskinyoke_base::EndpointId;
use siskinyoke_base::Incarnation;
use siskinyoke_base::InstanceId;
use siskinyoke_base::Millis;
use siskinyoke_base::message::Message;

/// Time after which an endpoint in the state wanted is asked again what it runs.
const INSPECT_GAP: Millis = Millis::from_secs(60);

/// Least and longest time until an endpoint is tried again that failed an order.
const BACKOFF: (Millis, Millis) = (Millis::from_secs(5), Millis::from_secs(300));

/// Time until it is looked again whether an order that may not be given now may be given.
const PAUSE: Millis = Millis::from_secs(1);

/// How many daemons contend for a pool: one to give the orders and one to follow it.
const CANDIDATES: usize = 2;

/// Brings the endpoints of one pool to the state that the operators want.
#[derive(Debug)]
pub struct Orders {
    pool: String,
    instance: InstanceId,
    claim: Claim,
    plan: PoolPlan,
    sites: BTreeMap<EndpointId, Site>,
    wanted: bool,
    leaving: bool,
    fence: u64,
    number: u64,
    paused: Millis,
}

/// An endpoint as this controller knows it.
#[derive(Debug)]
struct Site {
    id: EndpointId,
    address: String,
    fencing: Fencing,
    state: Option<EndpointState>,
    flight: Option<Flight>,
    due: Millis,
    backoff: Millis,
}

#[derive(Debug)]
struct Flight {
    id: OrderId,
    order: Order,
    end: Millis,
}

impl Orders {
    /// Makes the controller of a pool; it does nothing before it has a plan.
    pub fn new(pool: &str, instance: InstanceId, me: Incarnation, plan: PoolPlan) -> Self {
        Self {
            pool: pool.to_owned(),
            instance,
            claim: Claim::new(pool, me, plan.limit),
            plan,
            sites: BTreeMap::new(),
            wanted: false,
            leaving: false,
            fence: 0,
            number: 0,
            paused: Millis::ZERO,
        }
    }

    /// Sets what the pool should run; the longest order stays as it was at the start.
    pub fn set_plan(&mut self, plan: &PoolPlan, docs: &BTreeMap<EndpointId, EndpointDoc>) {
        let limit = self.plan.limit;
        self.plan = plan.clone();
        self.plan.limit = limit;
        let wanted = |id: &EndpointId| plan.endpoints.contains_key(id) && docs.contains_key(id);
        self.sites
            .retain(|id, site| wanted(id) || site.flight.is_some());
        for (id, doc) in docs.iter().filter(|(id, _)| wanted(id)) {
            let site = self
                .sites
                .entry(id.clone())
                .or_insert_with(|| Site::new(id, doc));
            site.address.clone_from(&doc.address);
            site.fencing = doc.fencing;
            site.due = Millis::ZERO;
        }
    }

    /// Learns the instances that are live; the first two by rendezvous hash contend for the pool.
    pub fn set_members(&mut self, live: &[InstanceId]) {
        let mut order: Vec<_> = live.iter().map(|id| (score(&self.pool, id), id)).collect();
        order.sort_unstable();
        let mut first = order.iter().take(CANDIDATES);
        self.wanted = first.any(|(_, id)| **id == self.instance);
    }

    /// Tells whether an endpoint is one of this pool's.
    pub fn has(&self, endpoint: &EndpointId) -> bool {
        self.sites.contains_key(endpoint)
    }

    /// Stops giving orders; the lease is given up when those under way have ended.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Tells whether this daemon gives the pool's orders now.
    pub fn holds(&self) -> bool {
        self.claim.since().is_some()
    }

    /// Tells whether no order is under way.
    pub fn settled(&self) -> bool {
        self.sites.values().all(|site| site.flight.is_none())
    }

    /// Tells whether all endpoints were found in the state wanted.
    pub fn converged(&self) -> bool {
        let right =
            |(id, wanted)| self.sites.get(id).and_then(|s| s.state.as_ref()) == Some(wanted);
        self.plan.endpoints.iter().all(right)
    }

    /// Learns what became of an order.
    pub fn on_order(&mut self, cx: &mut Context<'_>, id: OrderId, result: &OrderResult) {
        let same = |site: &&mut Site| site.flight.as_ref().is_some_and(|at| at.id == id);
        let Some(site) = self.sites.values_mut().find(same) else {
            return;
        };
        let Some(flight) = site.flight.take() else {
            return;
        };
        match result {
            Ok(OrderReply::State(state)) => {
                let wanted = self.plan.endpoints.get(&site.id);
                site.learned(cx.now, state, wanted);
            }
            // What it runs is read again rather than assumed.
            Ok(OrderReply::Done) => {
                site.retry(cx.now, Millis::ZERO);
                site.backoff = BACKOFF.0;
            }
            Err(OrderError::Busy(after)) => site.retry(cx.now, *after),
            Err(OrderError::NotSent | OrderError::Refused(_)) => site.failed(cx.now),
            Err(OrderError::Unknown) => site.lost(flight),
            Err(OrderError::Stale) => {
                site.failed(cx.now);
                log::warn!(
                    "{}: an endpoint has seen a newer holder of its orders",
                    self.pool
                );
                self.claim.give_up(cx);
            }
        }
        self.tick(cx);
    }

    fn order(&mut self, cx: &mut Context<'_>) {
        let limit = self.plan.limit;
        let Some(fence) = self.claim.covers(cx.now, limit) else {
            self.paused = cx.now + PAUSE;
            return;
        };
        if fence != self.fence {
            self.begin(fence);
        }
        let quiet = self.claim.since().unwrap_or(cx.now) + limit;
        let mut loads = self.sites.values().filter(|site| site.loading()).count();
        for (id, site) in &mut self.sites {
            let Some(order) = site.next(cx.now, self.plan.endpoints.get(id)) else {
                continue;
            };
            // Guards against an order of the holder before that an endpoint is still carrying
            // out: an endpoint that ignores fencing numbers would mix the two, and a load would
            // come on top of those that the weight store has already.
            let mixes = site.fencing == Fencing::Ignored || order.loads();
            if mixes && !order.reads() && cx.now < quiet {
                site.due = quiet;
                continue;
            }
            if order.loads() && loads >= self.plan.loads {
                site.due = cx.now + PAUSE;
                continue;
            }
            loads += usize::from(order.loads());
            self.number += 1;
            let number = self.number;
            site.send(
                cx,
                OrderId { fence, number },
                order,
                self.claim.before(limit),
                limit,
            );
        }
    }

    /// Forgets what endpoints ran when another daemon may have given orders since.
    fn begin(&mut self, fence: u64) {
        self.fence = fence;
        self.number = 0;
        for site in self.sites.values_mut() {
            site.state = None;
            site.due = Millis::ZERO;
        }
    }
}

impl Controller for Orders {
    fn tick(&mut self, cx: &mut Context<'_>) {
        for site in self.sites.values_mut() {
            site.expire(cx.now);
        }
        if self.leaving && self.settled() && self.holds() {
            self.claim.give_up(cx);
        }
        self.claim.tick(cx, self.wanted && !self.leaving);
        if !self.leaving {
            self.order(cx);
        }
    }

    fn next(&self) -> Millis {
        let sites = self.sites.values().map(|site| match &site.flight {
            Some(flight) => flight.end,
            None if self.holds() => site.due.max(self.paused),
            None => Millis::NEVER,
        });
        sites.min().unwrap_or(Millis::NEVER).min(self.claim.next())
    }

    fn message(&mut self, _cx: &mut Context<'_>, _from: &Sender, _message: &Message) {}

    fn reply(&mut self, cx: &mut Context<'_>, op: OpId, reply: &Reply) -> bool {
        let own = self.claim.reply(cx, op, reply);
        if own {
            self.tick(cx);
        }
        own
    }
}

impl Site {
    fn new(id: &EndpointId, doc: &EndpointDoc) -> Self {
        Self {
            id: id.clone(),
            address: doc.address.clone(),
            fencing: doc.fencing,
            state: None,
            flight: None,
            due: Millis::ZERO,
            backoff: BACKOFF.0,
        }
    }

    fn loading(&self) -> bool {
        self.flight
            .as_ref()
            .is_some_and(|flight| flight.order.loads())
    }

    /// Returns the order that is due: to say what it runs if that is not known or long ago.
    fn next(&self, now: Millis, wanted: Option<&EndpointState>) -> Option<Order> {
        let wanted = wanted.filter(|_| self.flight.is_none() && now >= self.due)?;
        let step = self.state.as_ref().map(|state| state.next_order(wanted));
        step.flatten().or(Some(Order::Inspect))
    }

    fn send(
        &mut self,
        cx: &mut Context<'_>,
        id: OrderId,
        order: Order,
        before: Millis,
        limit: Millis,
    ) {
        let end = cx.now + limit;
        self.flight = Some(Flight {
            id,
            order: order.clone(),
            end,
        });
        cx.out.push(Action::Order(Box::new(OrderSpec {
            id,
            endpoint: self.id.clone(),
            address: self.address.clone(),
            order,
            before,
            limit,
        })));
    }

    fn learned(&mut self, now: Millis, state: &EndpointState, wanted: Option<&EndpointState>) {
        self.state = Some(state.clone());
        let right = wanted.is_none_or(|wanted| state == wanted);
        self.due = if right { now + INSPECT_GAP } else { now };
    }

    fn retry(&mut self, now: Millis, after: Millis) {
        self.state = None;
        self.due = now + after;
    }

    fn failed(&mut self, now: Millis) {
        self.retry(now, self.backoff);
        self.backoff = Millis(self.backoff.0 * 2).min(BACKOFF.1);
    }

    /// Keeps an order whose outcome is not known until it must have ended.
    ///
    /// Guards the weight store's limit: the endpoint may still be loading.
    fn lost(&mut self, flight: Flight) {
        self.flight = Some(flight);
    }

    fn expire(&mut self, now: Millis) {
        if self.flight.as_ref().is_some_and(|flight| now >= flight.end) {
            self.flight = None;
            self.failed(now);
        }
    }
}

fn score(pool: &str, instance: &InstanceId) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(pool.as_bytes());
    hasher.update(&[0]);
    hasher.update(instance.as_str().as_bytes());
    *hasher.finalize().as_bytes()
}

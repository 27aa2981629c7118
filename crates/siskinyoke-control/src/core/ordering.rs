//! The core's side of orders to engines: one controller for each pool of the configuration.

use super::Core;
use crate::Context;
use crate::Controller;
use crate::OpId;
use crate::Reply;
use crate::orders::OrderId;
use crate::orders::OrderResult;
use crate::orders::Orders;
use siskinyoke_base::EndpointId;
use siskinyoke_base::InstanceId;
use siskinyoke_base::Millis;

impl Core {
    /// Takes the pools of the configuration in force over.
    pub(super) fn plan_orders(&mut self) {
        let doc = &self.view.doc;
        // A pool that is gone from the configuration gets no more orders; what is under way ends.
        self.orders
            .retain(|name, orders| doc.pools.contains_key(name) || !orders.settled());
        for (name, plan) in &doc.pools {
            let orders = self.orders.entry(name.clone()).or_insert_with(|| {
                Orders::new(
                    name,
                    self.me.instance.clone(),
                    self.me.incarnation,
                    plan.clone(),
                )
            });
            orders.set_plan(plan, &doc.endpoints);
        }
        for (name, orders) in &mut self.orders {
            if !doc.pools.contains_key(name) {
                orders.leave();
            }
        }
        let live: Vec<InstanceId> = self.members.live().map(|r| r.instance.clone()).collect();
        self.order_members(&live);
    }

    /// Tells the controllers of orders which instances are live.
    pub(super) fn order_members(&mut self, live: &[InstanceId]) {
        for orders in self.orders.values_mut() {
            orders.set_members(live);
        }
    }

    /// Gives the orders that are due.
    pub(super) fn order(&mut self, now: Millis) {
        let mut cx = Context {
            now,
            out: &mut self.out,
            rng: &mut self.rng,
        };
        for orders in self
            .orders
            .values_mut()
            .filter(|orders| orders.next() <= now)
        {
            orders.tick(&mut cx);
        }
    }

    /// Takes the platform's answer for a controller of orders.
    pub(super) fn order_reply(&mut self, now: Millis, op: OpId, reply: &Reply) -> bool {
        let mut cx = Context {
            now,
            out: &mut self.out,
            rng: &mut self.rng,
        };
        self.orders
            .values_mut()
            .any(|orders| orders.reply(&mut cx, op, reply))
    }

    /// Learns what became of an order.
    pub(super) fn ordered(
        &mut self,
        now: Millis,
        endpoint: &EndpointId,
        id: OrderId,
        result: &OrderResult,
    ) {
        let mut cx = Context {
            now,
            out: &mut self.out,
            rng: &mut self.rng,
        };
        // An endpoint is in one pool only, which tells equal numbers of two pools apart.
        for orders in self
            .orders
            .values_mut()
            .filter(|orders| orders.has(endpoint))
        {
            orders.on_order(&mut cx, id, result);
        }
    }
}

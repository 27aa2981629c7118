//! The side that divides resources among the instances that report.

use std::collections::BTreeMap;

use super::LeaseView;
use super::SPAN;
use super::division::divide;
use crate::Sender;
use siskinyoke_base::Incarnation;
use siskinyoke_base::InstanceId;
use siskinyoke_base::Millis;
use siskinyoke_base::message::LeaseDemand;
use siskinyoke_base::message::LeaseGrant;
use siskinyoke_base::message::LeaseReport;
use siskinyoke_base::message::Resource;

/// Shortest span between two divisions of one resource: with hundreds of instances a division
/// for each report would cost time in the square of their number.
const DIVIDE_EVERY: Millis = Millis(100);

/// Grants leases on the resources that this daemon allocates.
#[derive(Debug, Default)]
pub struct LeaseAllocator {
    pools: BTreeMap<Resource, Pool>,
}

/// One resource and who reports on it.
#[derive(Debug)]
struct Pool {
    since: Millis,
    divided: Millis,
    holders: BTreeMap<InstanceId, Holder>,
}

/// What one instance reported, and what it was granted for it.
#[derive(Debug)]
struct Holder {
    incarnation: Incarnation,
    round: u64,
    line: LeaseDemand,
    heard: Millis,
    goal: u32,
    granted: u32,
}

impl LeaseAllocator {
    /// Takes a report and answers it; lines on resources of other allocators are left out.
    pub fn report(
        &mut self,
        now: Millis,
        from: &Sender,
        report: &LeaseReport,
        own: &InstanceId,
        view: &dyn LeaseView,
    ) -> LeaseGrant {
        let mut lines = Vec::new();
        for line in &report.lines {
            // Guards against two allocators for longer than the views differ: one that is told
            // of its successor grants nothing more, whoever still asks it.
            if view.allocator(&line.resource).as_ref() != Some(own) {
                self.pools.remove(&line.resource);
                continue;
            }
            let Some(total) = view.units(&line.resource) else {
                continue;
            };
            let pool = self.pools.entry(line.resource.clone());
            let pool = pool.or_insert_with(|| Pool::new(now));
            if pool.hear(now, from, report.round, line) {
                let units = pool.grant(now, &from.instance, total, view.live());
                lines.push((line.resource.clone(), units));
            }
        }
        LeaseGrant {
            round: report.round,
            lines,
            span: SPAN,
        }
    }

    /// Forgets resources that nobody reports on any more.
    pub fn sweep(&mut self, now: Millis) {
        self.pools.retain(|_, pool| {
            pool.expire(now);
            !pool.holders.is_empty()
        });
    }

    /// Counts the resources held, for measurements.
    pub fn len(&self) -> usize {
        self.pools.len()
    }

    /// Tells whether no resource is held.
    pub fn is_empty(&self) -> bool {
        self.pools.is_empty()
    }
}

impl Pool {
    fn new(now: Millis) -> Self {
        Self {
            since: now,
            divided: Millis::ZERO,
            holders: BTreeMap::new(),
        }
    }

    /// Takes one line; returns false if it was overtaken by a later one.
    fn hear(&mut self, now: Millis, from: &Sender, round: u64, line: &LeaseDemand) -> bool {
        self.expire(now);
        let held = self.holders.get(&from.instance);
        let same = held.filter(|held| held.incarnation == from.incarnation);
        if same.is_some_and(|held| held.round >= round) {
            return false;
        }
        if held.is_none() {
            self.divided = Millis::ZERO;
        }
        let holder = Holder {
            incarnation: from.incarnation,
            round,
            line: line.clone(),
            heard: now,
            goal: held.map_or(0, |held| held.goal),
            granted: 0,
        };
        self.holders.insert(from.instance.clone(), holder);
        true
    }

    fn grant(&mut self, now: Millis, to: &InstanceId, total: u32, live: usize) -> u32 {
        self.divide(now, total);
        let others = self.holders.iter().filter(|(name, _)| *name != to);
        let taken: u32 = others.map(|(_, holder)| holder.committed()).sum();
        // Guards against units granted twice when an allocator takes over: leases of the one
        // before are unknown until their holders report, and they have lapsed after a span.
        // Until then each is granted no more than it says it holds, unless all have spoken.
        let settled = now >= self.since + SPAN || self.holders.len() >= live;
        let Some(holder) = self.holders.get_mut(to) else {
            return 0;
        };
        let mut units = holder.goal;
        if !settled {
            units = units.min(holder.line.held);
        }
        holder.granted = units.min(total.saturating_sub(taken));
        holder.granted
    }

    fn divide(&mut self, now: Millis, total: u32) {
        if self.divided != Millis::ZERO && now < self.divided + DIVIDE_EVERY {
            return;
        }
        self.divided = now;
        let lines: Vec<&LeaseDemand> = self.holders.values().map(|held| &held.line).collect();
        let goals = divide(total, &lines);
        for (holder, goal) in self.holders.values_mut().zip(goals) {
            holder.goal = goal;
        }
    }

    /// Drops instances whose leases must have lapsed: they counted from before their report
    /// came.
    fn expire(&mut self, now: Millis) {
        self.holders.retain(|_, held| now < held.heard + SPAN);
    }
}

impl Holder {
    /// Returns the units that it may be using now: what it said it holds, or what it was
    /// granted since.
    fn committed(&self) -> u32 {
        self.line.held.max(self.granted)
    }
}

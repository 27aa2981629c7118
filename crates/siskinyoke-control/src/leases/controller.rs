//! The controller of capacity leases.

use std::fmt;

use super::Granted;
use super::LeaseAllocator;
use super::LeaseHolder;
use super::ROUND;
use crate::Context;
use crate::Sender;
use siskinyoke_base::InstanceId;
use siskinyoke_base::Millis;
use siskinyoke_base::message::LeaseDemand;
use siskinyoke_base::message::LeaseReport;
use siskinyoke_base::message::Message;
use siskinyoke_base::message::Resource;

/// What the controller of leases needs to know of members, configuration and load.
pub trait LeaseView: fmt::Debug {
    /// Returns the instance that allocates a resource.
    fn allocator(&self, resource: &Resource) -> Option<InstanceId>;

    /// Counts live instances, this one among them.
    fn live(&self) -> usize;

    /// Returns how many units a resource has, if it is configured.
    fn units(&self, resource: &Resource) -> Option<u32>;

    /// Returns what this daemon uses and wants.
    fn demand(&self, now: Millis) -> Vec<LeaseDemand>;
}

/// Reports demand, takes grants, and allocates what falls to this daemon.
///
/// Its methods are those of [`crate::Controller`], with the view of the moment added.
#[derive(Debug)]
pub struct Leases {
    own: Sender,
    holder: LeaseHolder,
    allocator: LeaseAllocator,
    granted: Vec<Granted>,
    due: Millis,
}

impl Leases {
    /// Starts without leases.
    pub fn new(own: Sender) -> Self {
        Self {
            own,
            holder: LeaseHolder::default(),
            allocator: LeaseAllocator::default(),
            granted: Vec::new(),
            due: Millis::ZERO,
        }
    }

    /// Sends the reports that are due.
    pub fn tick(&mut self, cx: &mut Context<'_>, view: &dyn LeaseView) {
        if cx.now < self.due {
            return;
        }
        self.due = cx.now + ROUND;
        self.allocator.sweep(cx.now);
        let allocator = |resource: &Resource| view.allocator(resource);
        let reports = self.holder.report(cx.now, view.demand(cx.now), allocator);
        for (to, report) in reports {
            if to == self.own.instance {
                self.report_to_self(cx.now, &report, view);
            } else {
                cx.out.send(&to, Message::LeaseReport(report));
            }
        }
    }

    /// Returns when [`Leases::tick`] is to be called next.
    pub fn next(&self) -> Millis {
        self.due
    }

    /// Takes a report or a grant; messages of other kinds are passed over.
    pub fn message(
        &mut self,
        cx: &mut Context<'_>,
        from: &Sender,
        message: &Message,
        view: &dyn LeaseView,
    ) {
        match message {
            Message::LeaseReport(report) => {
                let own = &self.own.instance;
                let grant = self.allocator.report(cx.now, from, report, own, view);
                if !grant.lines.is_empty() {
                    cx.out.send(&from.instance, Message::LeaseGrant(grant));
                }
            }
            Message::LeaseGrant(grant) => {
                let granted = self.holder.grant(&from.instance, grant);
                self.granted.extend(granted);
            }
            _ => {}
        }
    }

    /// Takes the leases granted since last asked, for the policy.
    pub fn take_granted(&mut self) -> Vec<Granted> {
        std::mem::take(&mut self.granted)
    }

    /// Returns the holder's side.
    pub fn holder(&self) -> &LeaseHolder {
        &self.holder
    }

    /// Returns the allocator's side.
    pub fn allocator(&self) -> &LeaseAllocator {
        &self.allocator
    }

    fn report_to_self(&mut self, now: Millis, report: &LeaseReport, view: &dyn LeaseView) {
        let own = &self.own.instance;
        let grant = self.allocator.report(now, &self.own, report, own, view);
        self.granted.extend(self.holder.grant(own, &grant));
    }
}

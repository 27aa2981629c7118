//! The core's side of capacity leases: demand out, grants in.

use super::Core;
use crate::Context;
use crate::Sender;
use crate::configuration::View;
use crate::leases::LeaseView;
use crate::leases::Leases;
use crate::members::Members;
use siskinyoke_base::EndpointId;
use siskinyoke_base::InstanceId;
use siskinyoke_base::Millis;
use siskinyoke_base::message::LeaseDemand;
use siskinyoke_base::message::Message;
use siskinyoke_base::message::Resource;
use siskinyoke_policy::Scheduler;

/// What the leases' controller is lent of the core.
#[derive(Debug)]
struct Shares<'a> {
    members: &'a Members,
    view: &'a View,
    scheduler: &'a dyn Scheduler,
}

impl LeaseView for Shares<'_> {
    fn allocator(&self, resource: &Resource) -> Option<InstanceId> {
        let group = group(self.view, resource);
        self.members.allocator(&group).cloned()
    }

    fn live(&self) -> usize {
        self.members.live().count()
    }

    fn units(&self, resource: &Resource) -> Option<u32> {
        match resource {
            Resource::Endpoint(id) => self.view.doc.endpoints.get(id).map(|doc| doc.slots),
            Resource::Allowance(id) => self.view.doc.organisations.get(id)?.allowance,
        }
    }

    fn demand(&self, now: Millis) -> Vec<LeaseDemand> {
        self.scheduler.demand(now)
    }
}

impl Core {
    /// Reports demand if a report is due, and hands new leases to the policy.
    pub(super) fn share(&mut self, now: Millis) {
        if self.leases.next() <= now {
            self.with_shares(now, |leases, cx, shares| leases.tick(cx, shares));
        }
        self.take_leases(now);
    }

    /// Takes a peer's report or grant.
    pub(super) fn lease_message(&mut self, now: Millis, from: &Sender, message: &Message) {
        self.with_shares(now, |leases, cx, shares| {
            leases.message(cx, from, message, shares);
        });
        self.take_leases(now);
    }

    /// Calls the leases' controller with what it is lent of the core.
    fn with_shares(
        &mut self,
        now: Millis,
        call: impl FnOnce(&mut Leases, &mut Context<'_>, &Shares<'_>),
    ) {
        let mut cx = Context {
            now,
            out: &mut self.out,
            rng: &mut self.rng,
        };
        let shares = Shares {
            members: &self.members,
            view: &self.view,
            scheduler: self.scheduler.as_ref(),
        };
        call(&mut self.leases, &mut cx, &shares);
    }

    fn take_leases(&mut self, now: Millis) {
        for granted in self.leases.take_granted() {
            self.scheduler
                .grant(now, &granted.resource, granted.units, granted.until);
        }
    }
}

/// Returns what an allocator is chosen for: all endpoints of a target in a data centre share one.
///
/// With an allocator for each endpoint every daemon reports to some 180 of 370 others each
/// second at the size to come; the policy's lines for one target and centre go to one of them.
fn group(view: &View, resource: &Resource) -> Resource {
    let Resource::Endpoint(id) = resource else {
        return resource.clone();
    };
    let Some(doc) = view.doc.endpoints.get(id) else {
        return resource.clone();
    };
    let target = doc.targets.first().map_or("", |target| target.as_str());
    Resource::Endpoint(EndpointId::new(&format!("{target}@{}", doc.centre)))
}

//! The side that reports demand and uses leases.

use std::collections::BTreeMap;

use super::SPAN;
use siskinyoke_base::InstanceId;
use siskinyoke_base::Millis;
use siskinyoke_base::message::LeaseDemand;
use siskinyoke_base::message::LeaseGrant;
use siskinyoke_base::message::LeaseReport;
use siskinyoke_base::message::Resource;

/// A lease as granted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Granted {
    /// The resource.
    pub resource: Resource,
    /// Units that may be used.
    pub units: u32,
    /// Until when, on this daemon's own clock.
    pub until: Millis,
}

/// The last report to one allocator.
#[derive(Debug, Clone, Copy)]
struct Sent {
    round: u64,
    at: Millis,
}

/// Holds leases.
#[derive(Debug, Default)]
pub struct LeaseHolder {
    round: u64,
    sent: BTreeMap<InstanceId, Sent>,
    leases: BTreeMap<Resource, (u32, Millis)>,
    ignored: u64,
}

impl LeaseHolder {
    /// Makes one report for each allocator of a resource with demand.
    ///
    /// Each line counts as held what a lease still allows, even if it is not in use: a new
    /// allocator has no other way to know.
    pub fn report(
        &mut self,
        now: Millis,
        demand: Vec<LeaseDemand>,
        allocator: impl Fn(&Resource) -> Option<InstanceId>,
    ) -> Vec<(InstanceId, LeaseReport)> {
        self.leases.retain(|_, (_, until)| now < *until);
        self.sent.retain(|_, sent| now < sent.at + SPAN);
        self.round += 1;
        let mut reports: BTreeMap<InstanceId, LeaseReport> = BTreeMap::new();
        for mut line in demand.into_iter().filter(in_demand) {
            let Some(to) = allocator(&line.resource) else {
                continue;
            };
            let leased = self.leases.get(&line.resource).map(|(units, _)| *units);
            line.held = line.held.max(leased.unwrap_or(0));
            let report = reports.entry(to).or_default();
            report.round = self.round;
            report.lines.push(line);
        }
        let sent = Sent {
            round: self.round,
            at: now,
        };
        for to in reports.keys() {
            self.sent.insert(to.clone(), sent);
        }
        reports.into_iter().collect()
    }

    /// Takes the grant that answers the last report to `from`; any other is ignored.
    pub fn grant(&mut self, from: &InstanceId, grant: &LeaseGrant) -> Vec<Granted> {
        // Guards against units counted twice: a grant that comes after the next report was
        // sent is not in that report's count of what is held, and the allocator has meanwhile
        // given it to others. The span counts from the sending of the report, which lies before
        // all that the allocator knows, so the lease ends here before it ends there.
        let answered = self.sent.get(from).filter(|sent| sent.round == grant.round);
        let Some(sent) = answered else {
            self.ignored += 1;
            return Vec::new();
        };
        let until = sent.at + grant.span.min(SPAN);
        let lines = grant.lines.iter();
        let granted = lines.map(|(resource, units)| Granted {
            resource: resource.clone(),
            units: *units,
            until,
        });
        let granted: Vec<Granted> = granted.collect();
        for lease in &granted {
            let held = (lease.units, lease.until);
            self.leases.insert(lease.resource.clone(), held);
        }
        granted
    }

    /// Returns the units that may be used now under a lease.
    pub fn units(&self, now: Millis, resource: &Resource) -> Option<u32> {
        let lease = self.leases.get(resource).filter(|(_, until)| now < *until);
        lease.map(|(units, _)| *units)
    }

    /// Counts grants that came too late.
    pub fn ignored(&self) -> u64 {
        self.ignored
    }
}

/// Tells whether anything runs or is wanted; a mere wish for spare room is no demand.
fn in_demand(line: &LeaseDemand) -> bool {
    let tiers = line.wanted.split_last().map_or(&[][..], |(_, tiers)| tiers);
    line.held > 0 || tiers.iter().any(|units| *units > 0)
}

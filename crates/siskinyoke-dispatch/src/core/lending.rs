//! What this instance asks other shards for, and what it gives them.

use std::sync::Arc;

use crate::BorrowRequest;
use crate::Endpoint;
use crate::EndpointKey;
use crate::Grant;
use crate::Ticket;
use crate::core::Core;
use crate::core::IncomingRequest;
use crate::message::UnitsRequest;
use crate::report::short_hash;
use crate::scheduler::ClusterView;
use siskinyoke_base::Millis;

impl Core {
    /// Returns what other shards may be asked for, so that a request finds its quota.
    pub fn missing_quota(&self, now: Millis, request: IncomingRequest<'_>) -> Option<UnitsRequest> {
        if !self.registry.is_sharded() {
            return None;
        }
        let pass = self.resolve(now, request).ok()?;
        let organisation = pass.organisation.as_ref()?;
        Some(UnitsRequest {
            organisation: short_hash(&organisation.name),
            units: pass.quota_units(),
        })
    }

    /// Answers an instance of another shard that asks for something.
    ///
    /// `id` names the question, by which a place is returned.
    pub fn lend(&mut self, now: Millis, id: u64, need: BorrowRequest) -> Grant {
        let view = ClusterView {
            now,
            registry: &self.registry,
            peers: &self.peers,
        };
        match need {
            BorrowRequest::Slot(need) => {
                let given = self.scheduler.lend_slot(&view, id, &need);
                given.map_or(Grant::Denied, Grant::Slot)
            }
            BorrowRequest::RateLimitedSlot(need) => {
                let given = self.scheduler.lend_token(&view, &need);
                given.map_or(Grant::Denied, Grant::Slot)
            }
            BorrowRequest::Units(UnitsRequest {
                organisation,
                units,
            }) => {
                let share = self.peers.fleet_share(now);
                match self.quotas.lend(now, organisation, units, share) {
                    0 => Grant::Denied,
                    units => Grant::Units(units),
                }
            }
        }
    }

    /// Returns requests that cannot start yet, with what to ask other shards for, or holders of rate limits.
    pub fn borrow_requests(&mut self, now: Millis) -> Vec<(Ticket, BorrowRequest)> {
        if !self.registry.is_sharded() && self.scheduler.rate_limits().active_count() == 0 {
            return Vec::new();
        }
        let view = ClusterView {
            now,
            registry: &self.registry,
            peers: &self.peers,
        };
        self.scheduler.borrow_requests(&view)
    }

    /// Starts a waiting request at a place that another shard gave, and returns its endpoint; nothing if
    /// the request waits no more or the endpoint is not to be used.
    pub fn slot_granted(
        &mut self,
        now: Millis,
        ticket: Ticket,
        key: EndpointKey,
    ) -> Option<Arc<Endpoint>> {
        let endpoint = self.registry.find_eligible(key)?.clone();
        let started = self.scheduler.slot_granted(now, ticket, &endpoint);
        started.then_some(endpoint)
    }

    /// Takes note that the shards that were asked had no place for a request.
    pub fn slot_declined(&mut self, now: Millis, ticket: Ticket) {
        self.scheduler.slot_declined(now, ticket);
    }

    /// Takes a place back that was given to another shard.
    pub fn reclaim_slot(&mut self, id: u64) {
        self.scheduler.reclaim_slot(id);
    }
}

//! Borrowing slots and quota from other instances, and lending them.

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
    /// Returns the quota units to borrow from other shards for a request, if it can borrow any.
    pub fn missing_quota(&self, now: Millis, request: IncomingRequest<'_>) -> Option<UnitsRequest> {
        if !self.registry.is_sharded() {
            return None;
        }
        let routed = self.resolve(now, request).ok()?;
        let organisation = routed.organisation.as_ref()?;
        Some(UnitsRequest {
            organisation: short_hash(&organisation.name),
            units: routed.quota_units(),
        })
    }

    /// Handles a borrow request of another instance.
    ///
    /// `id` identifies the request, and later the return of a lent slot.
    pub fn lend(&mut self, now: Millis, id: u64, request: BorrowRequest) -> Grant {
        let view = ClusterView {
            now,
            registry: &self.registry,
            peers: &self.peers,
        };
        match request {
            BorrowRequest::Slot(request) => {
                let endpoint = self.scheduler.lend_slot(&view, id, &request);
                endpoint.map_or(Grant::Denied, Grant::Slot)
            }
            BorrowRequest::RateLimitedSlot(request) => {
                let endpoint = self.scheduler.lend_token(&view, &request);
                endpoint.map_or(Grant::Denied, Grant::Slot)
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

    /// Returns the borrow requests to send for queued requests that cannot start here.
    ///
    /// Slots are borrowed from other shards, tokens of rate limits from the holders in this shard.
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

    /// Starts a queued request at a slot lent by another instance, and returns its endpoint.
    ///
    /// Returns `None` if the request is no longer queued or the endpoint is not eligible.
    pub fn slot_granted(
        &mut self,
        now: Millis,
        ticket: Ticket,
        key: EndpointKey,
    ) -> Option<Arc<Endpoint>> {
        let endpoint = self.registry.find_accepting(key)?.clone();
        let started = self.scheduler.slot_granted(now, ticket, &endpoint);
        started.then_some(endpoint)
    }

    /// Records that the queried shards denied a slot for a request.
    pub fn slot_denied(&mut self, now: Millis, ticket: Ticket) {
        self.scheduler.slot_denied(now, ticket);
    }

    /// Takes back a slot lent to another shard.
    pub fn reclaim_slot(&mut self, id: u64) {
        self.scheduler.reclaim_slot(id);
    }
}

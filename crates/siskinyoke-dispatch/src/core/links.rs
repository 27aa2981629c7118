//! Links of this instance to endpoints, and relays where they are lost.

use std::sync::Arc;

use crate::Endpoint;
use crate::core::Core;
use crate::links::LinkChange;
use crate::relays;
use crate::report::InstanceLocation;
use crate::report::RelayReport;
use crate::report::WaitingRow;
use crate::report::short_hash;
use siskinyoke_base::Millis;

impl Core {
    /// Records that no connection to an endpoint could be established.
    pub fn record_unreachable(&mut self, now: Millis, endpoint: &Endpoint) {
        self.links.record_unreachable(now, endpoint);
        self.record_endpoint_failure(now, endpoint.key());
    }

    /// Records that an endpoint refused the connection for a request.
    pub fn record_refused(&mut self, now: Millis, endpoint: &Endpoint) {
        self.record_unreachable(now, endpoint);
        self.record_endpoint_end(now, endpoint.key());
    }

    /// Records that an endpoint did not respond over this instance's own link to a request sent at
    /// `sent_at`, or that the connection broke.
    pub fn record_no_response(&mut self, now: Millis, endpoint: &Endpoint, sent_at: Millis) {
        self.links.record_no_response(now, endpoint, sent_at);
    }

    /// Records a response that an endpoint sent over this instance's own link.
    pub fn record_response(&mut self, now: Millis, endpoint: &Endpoint) {
        self.links.record_response(now, endpoint);
    }

    /// Records when an endpoint says that it started, in milliseconds of Unix time.
    ///
    /// An earlier start than that of its entry may be about to end at an address that the next one
    /// takes over, so only a later one shows that the entry is outdated.
    pub fn record_start(&mut self, endpoint: &Endpoint, started_ms: u64) {
        if started_ms > endpoint.started_ms {
            self.registry.record_later_start(endpoint.key());
        }
    }

    /// Returns whether this instance has lost its links to the endpoints of a service.
    pub fn links_lost(&self, service: &str) -> bool {
        self.links.is_lost(service)
    }

    /// Returns whether it is being probed whether this instance has lost its links to the endpoints
    /// of a service.
    pub fn links_doubted(&self, service: &str) -> bool {
        self.links.is_doubted(service)
    }

    /// Returns the number of crashes that do not count against requests, as this instance's links were
    /// lost when they were recorded.
    pub fn unconfirmed_crash_count(&self) -> usize {
        self.quarantine.unconfirmed_count()
    }

    /// Returns the number of services to whose endpoints this instance has lost its links.
    pub fn lost_link_count(&self) -> usize {
        self.links.lost_services().count()
    }

    /// Returns the endpoints to probe now, because the links to their services are in doubt or
    /// lost; each one has to be followed by [`Self::probe_ended`].
    pub fn due_probes(&mut self, now: Millis) -> Vec<Arc<Endpoint>> {
        let mut due = Vec::new();
        for service in self.links.unproven_services() {
            let endpoints = self.registry.eligible(&service);
            due.extend(self.links.due_probes(now, &service, endpoints));
        }
        due
    }

    /// Records whether a probed endpoint responded, and returns what that changed.
    ///
    /// When links are found lost, the failures blamed on endpoints of the service are forgotten, and
    /// the crashes blamed on requests do not count until they are confirmed.
    pub fn probe_ended(
        &mut self,
        now: Millis,
        endpoint: &Endpoint,
        responded: bool,
    ) -> Option<LinkChange> {
        let services = self.registry.services();
        let change = self
            .links
            .probe_ended(now, endpoint, responded, &services)?;
        if let LinkChange::Lost(since) = change {
            let eligible = self.registry.eligible(&endpoint.service);
            self.scheduler.forget_failures(eligible);
            self.quarantine.links_lost(since);
            self.part_quarantine.links_lost(since);
        }
        Some(change)
    }

    /// Returns the relays for a request to an endpoint, in the order in which to try them.
    ///
    /// If no peer of the shard can relay it, instances of other shards are tried.
    pub fn relays(&self, now: Millis, endpoint: &Endpoint, seed: u64) -> Vec<InstanceLocation> {
        let centre = &self.identity.location.centre;
        let selected = self
            .relays
            .select(now, &endpoint.service, centre, &self.peers, seed);
        if !selected.is_empty() {
            return selected.into_iter().cloned().collect();
        }
        let others = self.other_instances().filter(|row| !row.1);
        relays::sample(others.map(|row| row.0.clone()).collect(), seed)
    }

    /// Returns whether a peer reports that it can relay requests of a service.
    pub fn has_relay(&self, now: Millis, service: &str) -> bool {
        relays::has_candidate(now, service, &self.peers)
    }

    /// Records that a request is sent to a relay, given by its peer address.
    pub fn relayed_request_started(&mut self, relay: &str) {
        self.relays.request_started(relay);
    }

    /// Records that a request sent to a relay has ended.
    pub fn relayed_request_ended(&mut self, relay: &str) {
        self.relays.request_ended(relay);
    }

    /// Records that a relay could not be reached or had no link or room itself.
    pub fn record_relay_failure(&mut self, now: Millis, relay: &str) {
        self.relays.record_failure(now, relay);
    }

    /// Sets the number of requests that this instance relays for its peers.
    pub fn set_relayed_count(&mut self, count: usize) {
        self.relayed_count = count;
    }

    pub(super) fn relay_report(&self) -> RelayReport {
        RelayReport {
            lost_services: self
                .links
                .lost_services()
                .map(|it| short_hash(it))
                .collect(),
            in_flight: u16::try_from(self.relayed_count).unwrap_or(u16::MAX),
        }
    }

    // Returns the services whose links all instances have newly lost. So the endpoints are at fault,
    // and not the links of one instance.
    pub(super) fn take_shared_losses(&mut self, now: Millis) -> Vec<Arc<str>> {
        let has_peers = || self.peers.fresh(now).next().is_some();
        let lost = self.links.lost_services();
        let lost = lost.filter(|it| has_peers() && !self.has_relay(now, it));
        let mut shared: Vec<Arc<str>> = lost.cloned().collect();
        shared.retain(|it| self.links.record_shared_loss(it));
        shared
    }

    // Returns whether this instance can serve no request although a peer could.
    pub(super) fn is_isolated(&self, now: Millis) -> bool {
        if self.lost_link_count() == 0 {
            return false;
        }
        let services = self.registry.services();
        let unserved = |it: &Arc<str>| self.links.is_lost(it) && !self.has_relay(now, it);
        let peers_serve = || {
            let mut peers = self.peers.fresh(now);
            peers.any(|peer| peer.report.ready && peer.report.relay.is_none())
        };
        !services.is_empty() && services.iter().all(unserved) && peers_serve()
    }

    // Returns the summary of the waiting requests for reports. Requests that have no way to an
    // endpoint are left out, as they claim slots that they cannot use.
    pub(super) fn reported_queues(&self, now: Millis) -> Vec<WaitingRow> {
        let lost = self.links.lost_services();
        let unserved = lost.filter(|it| !self.has_relay(now, it));
        let unserved: Vec<u32> = unserved.map(|it| short_hash(it)).collect();
        let mut rows = self.scheduler.queue_summary(now);
        rows.retain(|row| !unserved.contains(&row.service));
        rows
    }

    // Returns the latest crashes for reports. While links are in doubt, broken connections may be
    // the fault of this instance, so that only confirmed crashes are reported.
    pub(super) fn reported_crashes(&mut self, now: Millis, limit: usize) -> Vec<(u64, Vec<u32>)> {
        let doubt = self.links.any_in_doubt().then_some(Millis::ZERO);
        self.quarantine.next_crash_rows(now, limit, doubt)
    }
}

//! Whether this instance's own links to the endpoints of each service work.
//!
//! A request that fails tells nothing about where the fault is: at the endpoint, or between this
//! instance and all endpoints. Before an endpoint is blamed for what may be this instance's own
//! fault, other endpoints of the service are probed. If none responds, the links count as lost, and
//! requests take another way until a probe gets through again.

mod service_links;

use std::sync::Arc;

use self::service_links::ServiceLinks;
use crate::Endpoint;
use crate::EndpointKey;
use siskinyoke_base::Map;
use siskinyoke_base::Millis;

/// What a probe changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkChange {
    /// The links to a service are lost; the time of the failure that raised the doubt.
    Lost(Millis),
    /// The links to a service work again; the time for which they were lost.
    Restored(Millis),
}

/// Whether the links to the endpoints of each service work.
#[derive(Debug, Default)]
pub struct LinkMonitor {
    services: Map<Arc<str>, ServiceLinks>,
}

impl LinkMonitor {
    /// Records that no connection to an endpoint could be established.
    pub fn record_unreachable(&mut self, now: Millis, endpoint: &Endpoint) {
        self.links(endpoint).doubt(now, Some(endpoint.key()));
    }

    /// Records that an endpoint did not respond to a request sent at `sent_at`, or that the
    /// connection broke.
    ///
    /// That is no reason for doubt if another response of the service has arrived since.
    pub fn record_no_response(&mut self, now: Millis, endpoint: &Endpoint, sent_at: Millis) {
        let links = self.links(endpoint);
        if !links.responded_since(sent_at) {
            links.doubt(now, Some(endpoint.key()));
        }
    }

    /// Records that connections to several endpoints of a service broke under the same request.
    pub fn record_crashes(&mut self, now: Millis, service: &Arc<str>, last: EndpointKey) {
        let links = self.services.entry(service.clone()).or_default();
        links.doubt(now, Some(last));
    }

    /// Records a response that an endpoint sent over a link of this instance.
    pub fn record_response(&mut self, now: Millis, endpoint: &Endpoint) {
        self.links(endpoint).record_response(now);
    }

    /// Returns whether the links to a service are lost.
    pub fn is_lost(&self, service: &str) -> bool {
        self.services
            .get(service)
            .is_some_and(ServiceLinks::is_lost)
    }

    /// Returns whether the links to a service are in doubt and not lost.
    pub fn is_doubted(&self, service: &str) -> bool {
        let links = self.services.get(service);
        links.is_some_and(|it| !it.is_intact() && !it.is_lost())
    }

    /// Returns since when failures may be the fault of the links to a service, if these are in
    /// doubt.
    pub fn doubted_since(&self, service: &str) -> Option<Millis> {
        self.services.get(service)?.doubted_since()
    }

    /// Returns since when failures may be the fault of the links to any service.
    pub fn earliest_doubt(&self) -> Option<Millis> {
        let doubts = self
            .services
            .values()
            .filter_map(ServiceLinks::doubted_since);
        doubts.min()
    }

    /// Returns whether the links to any service are in doubt or lost.
    pub fn any_in_doubt(&self) -> bool {
        self.services.values().any(|it| !it.is_intact())
    }

    /// Returns the services whose links are lost.
    pub fn lost_services(&self) -> impl Iterator<Item = &Arc<str>> {
        let lost = self.services.iter().filter(|row| row.1.is_lost());
        lost.map(|row| row.0)
    }

    /// Records that no peer has links to a service either, and returns whether that is new since
    /// they were lost.
    pub fn record_shared_loss(&mut self, service: &str) -> bool {
        let links = self.services.get_mut(service);
        links.is_some_and(ServiceLinks::record_shared_loss)
    }

    /// Returns the services whose links are in doubt or lost.
    pub fn unproven_services(&self) -> Vec<Arc<str>> {
        let rows = self.services.iter().filter(|row| !row.1.is_intact());
        rows.map(|row| row.0.clone()).collect()
    }

    /// Returns the endpoints of a service to probe now; each one has to be followed by
    /// [`Self::probe_ended`].
    pub fn due_probes(
        &mut self,
        now: Millis,
        service: &str,
        endpoints: &[Arc<Endpoint>],
    ) -> Vec<Arc<Endpoint>> {
        let links = self.services.get_mut(service);
        links.map_or_else(Vec::new, |it| it.due_probes(now, endpoints))
    }

    /// Records whether a probed endpoint responded, and returns what that changed.
    ///
    /// If the links to a service are lost, those to the other services in `services` are in doubt:
    /// one cause often affects all of them.
    pub fn probe_ended(
        &mut self,
        now: Millis,
        endpoint: &Endpoint,
        responded: bool,
        services: &[Arc<str>],
    ) -> Option<LinkChange> {
        let change = self.links(endpoint).probe_ended(now, responded)?;
        if let LinkChange::Lost(_) = change {
            for service in services {
                let links = self.services.entry(service.clone()).or_default();
                links.doubt(now, None);
            }
        }
        Some(change)
    }

    /// Drops the state of services without endpoints.
    pub fn retain_services(&mut self, services: &[Arc<str>]) {
        self.services
            .retain(|service, _| services.contains(service));
    }

    fn links(&mut self, endpoint: &Endpoint) -> &mut ServiceLinks {
        self.services.entry(endpoint.service.clone()).or_default()
    }
}

//! The state of one instance: its cluster view, its queued requests and its running requests.

mod fleet;
mod identity;
mod lending;
mod links;
mod quarantine;
mod rate_limits;
mod rejection_limits;
mod reporting;
mod requested_backoff;
mod retry;
mod rollouts;
mod routing;
mod shares;
mod shutdown;
mod store;
mod streams;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use crate::Configuration;
use crate::EndpointKey;
use crate::Outcome;
use crate::Refusal;
use crate::RefusalReason;
use crate::RetryDenial;
use crate::Scheduler;
use crate::Shutdown;
use crate::Ticket;
use crate::budget::RetryBudget;
use crate::cold_start;
use crate::leased_entries::LeasedEntries;
use crate::links::LinkMonitor;
use crate::part_quarantine::PartQuarantine;
use crate::peers::Peers;
use crate::quarantine::Quarantine;
use crate::quota;
use crate::quota::QuotaRequest;
use crate::quota::Quotas;
use crate::registry::Registry;
use crate::relays::Relays;
use crate::report::InstanceLocation;
use crate::scheduler::Decision;
use crate::silent_attempts::SilentAttempts;
use crate::stream_records::StreamRecords;
use crate::uncleared_runs::UnclearedRuns;
use crate::unsaved_streams::UnsavedStreams;
use crate::version_history::VersionHistory;
use crate::version_key::VersionKey;
use siskinyoke_base::Map;
use siskinyoke_base::Millis;

pub use self::identity::Identity;
pub use self::rollouts::PhaseChange;
pub use self::rollouts::StatusWrite;
pub use self::routing::IncomingRequest;
pub use self::routing::RoutedRequest;
pub use self::shares::ShareListing;

/// The state of one instance.
#[derive(Debug)]
pub struct Core {
    identity: Identity,
    configuration: Option<Arc<Configuration>>,
    registry: Registry,
    scheduler: Scheduler,
    peers: Peers,
    instances: LeasedEntries<InstanceLocation>,
    // Instances removed from the list, with the time of removal; most of them are restarting.
    departed: BTreeMap<String, Millis>,
    // The peer addresses that instances of the shard receive reports from.
    advertised: BTreeSet<String>,
    shard: usize,
    shard_count: usize,
    quotas: Quotas,
    budgets: Map<Arc<str>, RetryBudget>,
    quarantine: Quarantine,
    part_quarantine: PartQuarantine,
    uncleared_runs: UnclearedRuns,
    silent_attempts: SilentAttempts,
    // The generation of the registry up to which crashes were confirmed.
    confirmed_generation: u64,
    links: LinkMonitor,
    relays: Relays,
    // The number of requests that this instance relays for its peers.
    relayed_count: usize,
    store_view: store::StoreView,
    // Endpoints that peers reported as leaving, for the log.
    reported_departures: Vec<EndpointKey>,
    streams: StreamRecords,
    unsaved_streams: UnsavedStreams,
    versions: VersionHistory,
    // When the endpoints' versions were last observed.
    observed_at: Option<Millis>,
    shutdown: Option<Shutdown>,
    report_number: u64,
    configured_at: Option<Millis>,
}

impl Core {
    /// Creates the state of an instance that has read nothing from the store yet.
    pub fn new(identity: Identity) -> Self {
        let scheduler = Scheduler::new(&identity.name, &identity.location.centre)
            .with_share_weights(identity.share_weights);
        Self {
            configuration: None,
            registry: Registry::default(),
            scheduler,
            peers: Peers::default(),
            instances: LeasedEntries::default(),
            departed: BTreeMap::new(),
            advertised: BTreeSet::new(),
            shard: 0,
            shard_count: 1,
            quotas: Quotas::new(identity.quota_policy),
            budgets: Map::default(),
            quarantine: Quarantine::default(),
            part_quarantine: PartQuarantine::default(),
            uncleared_runs: UnclearedRuns::default(),
            silent_attempts: SilentAttempts::default(),
            confirmed_generation: 0,
            links: LinkMonitor::default(),
            relays: Relays::default(),
            relayed_count: 0,
            store_view: store::StoreView::default(),
            reported_departures: Vec::new(),
            streams: StreamRecords::default(),
            unsaved_streams: UnsavedStreams::default(),
            versions: VersionHistory::default(),
            observed_at: None,
            shutdown: None,
            report_number: 0,
            configured_at: None,
            identity,
        }
    }

    /// Applies a configuration if it is newer than the current one, and returns whether it was
    /// applied.
    pub fn configure(&mut self, now: Millis, configuration: Configuration) -> bool {
        if self.configuration_version() >= configuration.version {
            return false;
        }
        self.configured_at.get_or_insert(now);
        self.scheduler.start(now);
        let share = self.peers.fleet_share(now);
        self.quotas
            .configure(now, configuration.organisations(), share);
        self.scheduler
            .configure_shares(configuration.organisations());
        self.configuration = Some(Arc::new(configuration));
        self.configuration_applied();
        true
    }

    /// Returns the version of the configuration in force, or 0 if there is none.
    pub fn configuration_version(&self) -> u64 {
        self.configuration.as_ref().map_or(0, |it| it.version)
    }

    /// Returns the configuration in force.
    pub fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.configuration.as_ref()
    }

    /// Returns the configuration in force.
    ///
    /// # Errors
    ///
    /// A refusal with reason `NotReady` if no configuration has been received yet.
    pub fn require_configuration(&self) -> Result<&Arc<Configuration>, Refusal> {
        self.configuration.as_ref().ok_or(Refusal {
            reason: RefusalReason::NotReady,
            retry_after: cold_start::MIN_RETRY_AFTER,
        })
    }

    /// Returns the registry of known endpoints.
    pub fn registry(&mut self) -> &mut Registry {
        &mut self.registry
    }

    /// Returns the peers: the other instances of this shard.
    pub fn peers(&self) -> &Peers {
        &self.peers
    }

    /// Returns the scheduler.
    pub fn scheduler(&self) -> &Scheduler {
        &self.scheduler
    }

    /// Returns how many endpoints of a service this instance may use, and how many of them it backs
    /// off from.
    pub fn endpoint_counts(&self, now: Millis, service: &str) -> (usize, usize) {
        let eligible = self.registry.eligible(service);
        let available = self.scheduler.available(now, eligible).len();
        (eligible.len(), eligible.len() - available)
    }

    /// Returns whether this instance accepts callers.
    pub fn ready(&self, now: Millis) -> bool {
        self.configuration.is_some()
            && !self.is_shutting_down()
            && self.registry.all().next().is_some()
            && !self.is_isolated(now)
    }

    /// Routes and authenticates a request by its head and charges its organisation's quota.
    ///
    /// # Errors
    ///
    /// A refusal; the request has not run and will not.
    pub fn route(
        &mut self,
        now: Millis,
        request: IncomingRequest<'_>,
    ) -> Result<RoutedRequest, Refusal> {
        let routed = self.resolve(now, request)?;
        self.retry_budget(&routed.service).record_request(now);
        self.charge_quota(now, &routed, routing::unit_fraction(request.id_hash), 0)?;
        Ok(routed)
    }

    /// Routes a request again that exceeded its organisation's quota, with units lent by other
    /// shards.
    ///
    /// Units that the request does not use stay with this shard.
    ///
    /// # Errors
    ///
    /// As [`Self::route`].
    pub fn route_with_borrowed_quota(
        &mut self,
        now: Millis,
        request: IncomingRequest<'_>,
        borrowed: u64,
    ) -> Result<RoutedRequest, Refusal> {
        let routed = self.resolve(now, request)?;
        self.charge_quota(
            now,
            &routed,
            routing::unit_fraction(request.id_hash),
            borrowed,
        )?;
        Ok(routed)
    }

    fn resolve(&self, now: Millis, request: IncomingRequest<'_>) -> Result<RoutedRequest, Refusal> {
        let configuration = self.require_configuration()?.clone();
        let route = routing::find_route(&configuration, request)?;
        let organisation = routing::authenticate(&configuration, &route, request)?;
        routing::route_request(now, route, organisation, request)
    }

    /// Queues a fully received request for an endpoint.
    ///
    /// # Errors
    ///
    /// A refusal; the request has not run, and its quota cost is refunded.
    pub fn admit(
        &mut self,
        now: Millis,
        request: &RoutedRequest,
        fingerprint: u64,
    ) -> Result<Ticket, Refusal> {
        self.admit_at(now, request, fingerprint, None)
    }

    // Queues a request for endpoints of the given version only, if there is one.
    fn admit_at(
        &mut self,
        now: Millis,
        request: &RoutedRequest,
        fingerprint: u64,
        version: Option<VersionKey>,
    ) -> Result<Ticket, Refusal> {
        let mut scheduled = routing::scheduled_request(request, fingerprint);
        let result = if self.may_crash_endpoints(now, request, fingerprint) {
            Err(quarantine::refusal())
        } else if !self.may_begin(now, &scheduled) {
            Err(shutdown::refusal())
        } else {
            let max_exposure = self.identity.max_exposure;
            let rollout = self.registry.rollout(&scheduled.service);
            scheduled.version = version;
            scheduled.canary =
                version.is_none() && rollout.is_some_and(|it| it.select_canary(now, max_exposure));
            self.scheduler
                .admit(now, scheduled, &self.registry, &self.peers)
        };
        if result.is_err() {
            self.refund(request);
        }
        result
    }

    /// Refunds the quota cost of a request that did not run.
    pub fn refund(&mut self, request: &RoutedRequest) {
        if let Some(organisation) = &request.organisation {
            self.quotas.refund(organisation, request.quota_cost);
        }
    }

    /// Starts or refuses queued requests where that is possible now.
    pub fn decide(&mut self, now: Millis) -> Vec<Decision> {
        let mut decisions = self.refuse_quarantined(now);
        decisions.extend(self.refuse_unfinishable(now));
        decisions.extend(self.scheduler.decide(now, &self.registry, &self.peers));
        decisions
    }

    /// Records the outcome of an attempt at an endpoint.
    ///
    /// Queues the request for another endpoint and returns its new ticket if `retry` is set and
    /// both its route and the retry budget allow it.
    pub fn attempt_ended(
        &mut self,
        now: Millis,
        ticket: Ticket,
        outcome: Outcome,
        retry: bool,
    ) -> Option<Ticket> {
        self.end_attempt(now, ticket, outcome, retry).ok()
    }

    /// As [`Self::attempt_ended`], but says why the request is not queued again.
    ///
    /// # Errors
    ///
    /// The reason; the request has ended.
    pub fn end_attempt(
        &mut self,
        now: Millis,
        ticket: Ticket,
        outcome: Outcome,
        retry: bool,
    ) -> Result<Ticket, RetryDenial> {
        let attempt = self.scheduler.running_attempt(ticket);
        let Some(request) = self.scheduler.attempt_ended(now, ticket, outcome) else {
            return Err(RetryDenial::NotRequested);
        };
        self.record_sample(now, &request, outcome);
        if let Some(attempt) = attempt {
            self.record_evidence(now, &request, attempt, outcome);
        }
        if !retry {
            return Err(RetryDenial::NotRequested);
        }
        self.take_retry(now, &request, outcome)?;
        Ok(self.scheduler.requeue(now, request))
    }

    /// Records that the first part of a running request's response arrived.
    pub fn first_part_received(&mut self, now: Millis, ticket: Ticket) {
        if let Some(attempt) = self.scheduler.running_attempt(ticket) {
            self.record_endpoint_response(attempt);
        }
        self.scheduler.first_part_received(now, ticket);
    }

    /// Cancels a queued or running request.
    pub fn cancel(&mut self, now: Millis, ticket: Ticket) {
        self.scheduler.cancel(ticket);
        self.attempt_ended(now, ticket, Outcome::Cancelled, false);
    }

    /// Removes expired endpoints, instances, peers and lent slots.
    pub fn sweep(&mut self, now: Millis) {
        self.registry.remove_expired(now);
        self.observe_versions(now);
        self.expire_departed(now);
        self.peers.sweep(now);
        self.quotas.sweep(now);
        self.scheduler.prune_endpoints(&self.registry);
        self.scheduler.sweep_lent_slots(now);
        self.scheduler.prune_shares(now);
        self.relays.sweep(now);
        self.part_quarantine.prune(now);
        self.record_late_silences(now);
        self.uncleared_runs.prune(now);
        self.silent_attempts.prune(now);
        self.links.retain_services(&self.registry.services());
    }

    fn charge_quota(
        &mut self,
        now: Millis,
        request: &RoutedRequest,
        sample: f64,
        borrowed: u64,
    ) -> Result<(), Refusal> {
        let Some(organisation) = &request.organisation else {
            return Ok(());
        };
        let share = self.peers.fleet_share(now);
        let instances =
            f64::from(u32::try_from(self.peers.instance_count(now)).unwrap_or(u32::MAX));
        let quota_request = QuotaRequest {
            units: request.quota_cost,
            instances,
            sample,
            borrowed: quota::u64_to_f64(borrowed),
        };
        self.quotas
            .take(now, organisation, quota_request, share)
            .map_err(|retry_after| Refusal {
                reason: RefusalReason::QuotaExceeded,
                retry_after,
            })
    }
}

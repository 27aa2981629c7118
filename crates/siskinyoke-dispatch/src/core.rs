//! One instance's state: what it believes, what waits and what runs.

mod fleet;
mod identity;
mod lending;
mod rate_limits;
mod reporting;
mod retry;
mod rollouts;
mod routing;
mod store;

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::Configuration;
use crate::Outcome;
use crate::Refusal;
use crate::RefusalReason;
use crate::Scheduler;
use crate::Ticket;
use crate::budget::RetryBudget;
use crate::cold_start;
use crate::leased_entries::LeasedEntries;
use crate::peers::Peers;
use crate::quarantine::Quarantine;
use crate::quota;
use crate::quota::QuotaRequest;
use crate::quota::Quotas;
use crate::registry::Registry;
use crate::report::InstanceLocation;
use crate::scheduler::Decision;
use siskinyoke_base::Map;
use siskinyoke_base::Millis;

pub use self::identity::Identity;
pub use self::rollouts::StatusWrite;
pub use self::rollouts::TrafficShift;
pub use self::routing::IncomingRequest;
pub use self::routing::RoutedRequest;

/// When a caller should come back whose work crashed endpoints: not soon.
const QUARANTINE_RETRY_AFTER: Millis = Millis::from_secs(30);

/// One instance's state.
#[derive(Debug)]
pub struct Core {
    identity: Identity,
    configuration: Option<Arc<Configuration>>,
    registry: Registry,
    scheduler: Scheduler,
    peers: Peers,
    instances: LeasedEntries<InstanceLocation>,
    // Instances that went, with when: most of them are back in a moment.
    departed: BTreeMap<String, Millis>,
    shard: usize,
    shard_count: usize,
    quotas: Quotas,
    budgets: Map<Arc<str>, RetryBudget>,
    quarantine: Quarantine,
    store_view: store::StoreView,
    leaving: bool,
    report_number: u64,
    configured_at: Option<Millis>,
}

impl Core {
    /// Makes the state of an instance that knows nothing yet.
    pub fn new(me: Identity) -> Self {
        let scheduler = Scheduler::new(&me.name, &me.location.centre);
        Self {
            configuration: None,
            registry: Registry::default(),
            scheduler,
            peers: Peers::default(),
            instances: LeasedEntries::default(),
            departed: BTreeMap::new(),
            shard: 0,
            shard_count: 1,
            quotas: Quotas::new(me.quota_policy),
            budgets: Map::default(),
            quarantine: Quarantine::default(),
            store_view: store::StoreView::default(),
            leaving: false,
            report_number: 0,
            configured_at: None,
            identity: me,
        }
    }

    /// Puts a configuration in force, unless it is older than the one that is.
    ///
    /// Returns whether it is in force now and was not before.
    pub fn configure(&mut self, now: Millis, configuration: Configuration) -> bool {
        if self.configuration_version() >= configuration.version {
            return false;
        }
        self.configured_at.get_or_insert(now);
        let share = self.peers.fleet_share(now);
        self.quotas
            .configure(now, configuration.organisations(), share);
        self.configuration = Some(Arc::new(configuration));
        true
    }

    /// Returns the version in force, 0 for none.
    pub fn configuration_version(&self) -> u64 {
        self.configuration.as_ref().map_or(0, |known| known.version)
    }

    /// Returns the configuration in force.
    pub fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.configuration.as_ref()
    }

    /// Returns the configuration in force, or the refusal of whoever asks before one is known.
    ///
    /// # Errors
    ///
    /// The refusal; the request has not run and never will.
    pub fn require_configuration(&self) -> Result<&Arc<Configuration>, Refusal> {
        self.configuration.as_ref().ok_or(Refusal {
            reason: RefusalReason::NotReady,
            retry_after: cold_start::MIN_RETRY_AFTER,
        })
    }

    /// Returns the endpoints that are known.
    pub fn registry(&mut self) -> &mut Registry {
        &mut self.registry
    }

    /// Returns the other instances.
    pub fn peers(&self) -> &Peers {
        &self.peers
    }

    /// Returns the queues.
    pub fn scheduler(&self) -> &Scheduler {
        &self.scheduler
    }

    /// Returns whether callers may be sent here.
    pub fn ready(&self) -> bool {
        self.configuration.is_some() && !self.leaving && self.registry.all().next().is_some()
    }

    /// Starts to leave: no callers are sent here any more.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Returns whether this instance is leaving.
    pub fn leaving(&self) -> bool {
        self.leaving
    }

    /// Passes a request through the filters that need only its head.
    ///
    /// # Errors
    ///
    /// The refusal; the request has not run and never will.
    pub fn route(
        &mut self,
        now: Millis,
        request: IncomingRequest<'_>,
    ) -> Result<RoutedRequest, Refusal> {
        let pass = self.resolve(now, request)?;
        self.retry_budget(&pass.service).record_request(now);
        self.charge_quota(now, &pass, routing::unit_fraction(request.draw), 0)?;
        Ok(pass)
    }

    /// Passes a request that was refused for its organisation's quota, once other shards gave units.
    ///
    /// What the request does not use of them is its shard's.
    ///
    /// # Errors
    ///
    /// As [`Self::pass`].
    pub fn route_with_borrowed_quota(
        &mut self,
        now: Millis,
        request: IncomingRequest<'_>,
        given: u64,
    ) -> Result<RoutedRequest, Refusal> {
        let pass = self.resolve(now, request)?;
        self.charge_quota(now, &pass, routing::unit_fraction(request.draw), given)?;
        Ok(pass)
    }

    fn resolve(&self, now: Millis, request: IncomingRequest<'_>) -> Result<RoutedRequest, Refusal> {
        let configuration = self.require_configuration()?.clone();
        let route = routing::find_route(&configuration, request)?;
        let organisation = routing::authenticate(&configuration, &route, request)?;
        routing::route_request(now, route, organisation, request)
    }

    /// Lets a whole request wait for an endpoint.
    ///
    /// # Errors
    ///
    /// The refusal; the request has not run, and its quota is given back.
    pub fn admit(
        &mut self,
        now: Millis,
        pass: &RoutedRequest,
        print: u64,
    ) -> Result<Ticket, Refusal> {
        let result = if self.quarantine.is_quarantined(now, print) {
            Err(Refusal {
                reason: RefusalReason::Quarantined,
                retry_after: QUARANTINE_RETRY_AFTER,
            })
        } else {
            let mut pending = routing::scheduled_request(pass, print);
            let exposure = self.identity.max_exposure;
            let rollout = self.registry.rollout(&pending.service);
            pending.canary = rollout.is_some_and(|it| it.select_canary(now, exposure));
            self.scheduler
                .admit(now, pending, &self.registry, &self.peers)
        };
        if result.is_err() {
            self.refund(pass);
        }
        result
    }

    /// Gives back the quota of a request that did not run.
    pub fn refund(&mut self, pass: &RoutedRequest) {
        if let Some(organisation) = &pass.organisation {
            self.quotas.refund(organisation, pass.quota_cost);
        }
    }

    /// Decides what can be decided now.
    pub fn decide(&mut self, now: Millis) -> Vec<Decision> {
        let mut decisions = Vec::new();
        if !self.quarantine.is_empty() {
            let quarantine = &self.quarantine;
            let refused = self
                .scheduler
                .cancel_matching(|pending| quarantine.is_quarantined(now, pending.fingerprint));
            let refusal = Refusal {
                reason: RefusalReason::Quarantined,
                retry_after: QUARANTINE_RETRY_AFTER,
            };
            decisions.extend(refused.into_iter().map(|it| Decision::Refuse(it, refusal)));
        }
        decisions.extend(self.scheduler.decide(now, &self.registry, &self.peers));
        decisions
    }

    /// Takes note of how a stay ended, and lets the request wait for another endpoint if
    /// `more` is set and both its route and the retry budget allow one.
    pub fn attempt_ended(
        &mut self,
        now: Millis,
        ticket: Ticket,
        outcome: Outcome,
        more: bool,
    ) -> Option<Ticket> {
        let pending = self.scheduler.attempt_ended(now, ticket, outcome)?;
        self.record_sample(now, &pending, outcome);
        match outcome {
            Outcome::ConnectionLost => {
                if let Some(key) = pending.tried.last() {
                    self.quarantine
                        .record_crash(now, pending.fingerprint, key.short());
                }
            }
            Outcome::Completed { .. } => self.quarantine.clear(pending.fingerprint),
            _ => {}
        }
        if !more || !self.may_retry(now, &pending, outcome) {
            return None;
        }
        Some(self.scheduler.requeue(pending))
    }

    /// Takes note that the first part of a running request's answer came.
    pub fn first_part_received(&mut self, now: Millis, ticket: Ticket) {
        self.scheduler.first_part_received(now, ticket);
    }

    /// Takes out a request, waiting or running, whose caller left.
    pub fn cancel(&mut self, now: Millis, ticket: Ticket) {
        self.scheduler.cancel(ticket);
        self.scheduler
            .attempt_ended(now, ticket, Outcome::Cancelled);
    }

    /// Does what is due with time: drops what is gone.
    pub fn sweep(&mut self, now: Millis) {
        self.registry.remove_expired(now);
        self.expire_departed(now);
        for source in self.peers.sweep(now) {
            self.quotas.forget_peer(source);
        }
        self.scheduler.prune_endpoints(&self.registry);
        self.scheduler.sweep_lent_slots(now);
    }

    fn charge_quota(
        &mut self,
        now: Millis,
        pass: &RoutedRequest,
        chance: f64,
        given: u64,
    ) -> Result<(), Refusal> {
        let Some(organisation) = &pass.organisation else {
            return Ok(());
        };
        let share = self.peers.fleet_share(now);
        let crowd = f64::from(u32::try_from(self.peers.instance_count(now)).unwrap_or(u32::MAX));
        let wanted = QuotaRequest {
            units: pass.quota_cost,
            instances: crowd,
            sample: chance,
            borrowed: quota::u64_to_f64(given),
        };
        self.quotas
            .take(now, organisation, wanted, share)
            .map_err(|after| Refusal {
                reason: RefusalReason::QuotaExceeded,
                retry_after: after,
            })
    }
}

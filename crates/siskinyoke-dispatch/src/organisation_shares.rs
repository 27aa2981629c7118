//! Shares of the slots of each service between the organisations of one tier.
//!
//! Answers this load: slots are short, and some organisations of a tier ask for several times their
//! usual. In order of arrival all of the tier are refused alike. Here requests of organisations
//! that exceed their share go after those of the others, so that an organisation that asks for less
//! than its share is served as if the others did so too. While slots are not short, no request is
//! marked and nothing is reserved.
//!
//! Slot time contains both prompt and output of a request, by the latency model, and is also known
//! for services without tokens.

mod allotment;
pub mod fair_level;
mod organisation_use;
mod service_shares;
pub mod share_class;
pub mod share_state;
pub mod share_weights;
mod usage;

use std::sync::Arc;

use self::service_shares::ServiceShares;
use self::service_shares::ShareKey;
use self::share_class::ShareClass;
use self::share_state::ShareState;
use self::share_weights::ShareWeights;
use self::share_weights::WeightSource;
use crate::Organisation;
use crate::Priority;
use crate::ScheduledRequest;
use crate::report::ServiceShareRows;
use crate::report::short_hash;
use siskinyoke_base::Map;
use siskinyoke_base::Millis;

/// The interval at which shares are reported to peers while slots are short.
const REPORT_INTERVAL: Millis = Millis(400);

/// How long the rows of a peer that sends none any more are used.
const PEER_ROWS_TTL: Millis = Millis::from_secs(6);

/// The rows of one peer.
#[derive(Debug)]
struct PeerRows {
    received_at: Millis,
    services: Vec<ServiceShareRows>,
}

/// Shares of the slots of each service between the organisations of one tier.
#[derive(Debug, Default)]
pub struct OrganisationShares {
    source: WeightSource,
    weights: ShareWeights,
    services: Map<Arc<str>, ServiceShares>,
    peers: Map<u64, PeerRows>,
    reported_at: Option<Millis>,
}

impl OrganisationShares {
    /// Creates the shares of an instance.
    pub fn new(source: WeightSource) -> Self {
        Self {
            source,
            ..Self::default()
        }
    }

    /// Sets the organisations.
    pub fn configure(&mut self, organisations: &[Arc<Organisation>]) {
        self.weights = ShareWeights::new(self.source, organisations);
    }

    /// Records that a request asks for slot time.
    pub fn record_offered(&mut self, now: Millis, request: &ScheduledRequest, time: f64) {
        self.add(now, request, 0.0, time);
    }

    /// Records that a request uses slot time.
    pub fn record_used(&mut self, now: Millis, request: &ScheduledRequest, time: f64) {
        self.add(now, request, time, 0.0);
    }

    /// Corrects the slot time of a request once an attempt has ended that took `time`, or that did
    /// not run.
    pub fn correct(
        &mut self,
        now: Millis,
        request: &ScheduledRequest,
        recorded: f64,
        time: Option<f64>,
    ) {
        let difference = time.unwrap_or_default() - recorded;
        // A request that did not run still asks for its slot time.
        let offered = if time.is_some() { difference } else { 0.0 };
        self.add(now, request, difference, offered);
    }

    /// Records that a request could not be admitted on time, or waited too long.
    pub fn record_shortage(&mut self, now: Millis, request: &ScheduledRequest) {
        if self.source != WeightSource::Off
            && let Some(service) = self.services.get_mut(&request.service)
        {
            service.record_shortage(now, request.priority.tier());
        }
    }

    /// Computes the fair levels that are due, and returns whether any was computed.
    pub fn update(&mut self, now: Millis) -> bool {
        let mut updated = false;
        for (name, service) in &mut self.services {
            if !service.update_due(now) {
                continue;
            }
            let hash = short_hash(name);
            let peers = self.peers.values().flat_map(|peer| {
                let age = now.since(peer.received_at);
                let services = peer.services.iter().filter(move |it| it.service == hash);
                services.flat_map(move |it| it.rows.iter().map(move |row| (age, row)))
            });
            let weight_of = |organisation| self.weights.of(organisation);
            let peer_count = u32::try_from(self.peers.len()).unwrap_or(u32::MAX);
            service.update(now, peers, peer_count, weight_of);
            updated = true;
        }
        updated
    }

    /// Returns the class of a new request that takes this slot time.
    pub fn classify(&mut self, now: Millis, request: &ScheduledRequest, time: f64) -> ShareClass {
        let Some(key) = share_key(request) else {
            return ShareClass::Within;
        };
        let weight = self.weights.of(key.1);
        let service = self.services.get_mut(&request.service);
        service.map_or(ShareClass::Within, |it| {
            it.classify(now, key, request.priority.route(), weight, time)
        })
    }

    /// Returns whether the organisation of a request asks for much more than the others of its tier
    /// while slots are short.
    pub fn is_loud(&self, request: &ScheduledRequest) -> bool {
        let service = self.services.get(&request.service);
        let loud = share_key(request).zip(service);
        loud.is_some_and(|(key, service)| service.is_loud(key))
    }

    /// Returns an organisation's use of a service and its share, or `None` while slots are not
    /// short.
    pub fn state(
        &self,
        now: Millis,
        service: &str,
        priority: Priority,
        organisation: u32,
    ) -> Option<ShareState> {
        let service = self.services.get(service)?;
        let key = (priority.tier(), organisation);
        service.state(now, key, self.weights.of(organisation))
    }

    /// Returns the organisations with the most use of each service for whose slots they compete.
    pub fn top_users(&self, now: Millis, limit: usize) -> Vec<(Arc<str>, ShareKey, ShareState)> {
        let mut rows = Vec::new();
        for (name, service) in &self.services {
            let top = service.top_users(now).into_iter().take(limit);
            let states = top.filter_map(|((tier, organisation), _)| {
                let key = (tier, organisation);
                let state = service.state(now, key, self.weights.of(organisation))?;
                Some((name.clone(), key, state))
            });
            rows.extend(states);
        }
        rows.sort_by(|a, b| a.0.cmp(&b.0));
        rows
    }

    /// Returns the rows for the next report, which are empty unless slots are short and the last
    /// rows were sent some time ago.
    pub fn report_rows(&mut self, now: Millis) -> Vec<ServiceShareRows> {
        let due = self
            .reported_at
            .is_none_or(|at| now.since(at) >= REPORT_INTERVAL);
        if !due {
            return Vec::new();
        }
        let short = self.services.iter().filter(|row| row.1.any_short(now));
        let services: Vec<_> = short
            .map(|(name, service)| ServiceShareRows {
                service: short_hash(name),
                short_tiers: service.short_tiers(now),
                rows: service.rows(now),
            })
            .collect();
        if !services.is_empty() {
            self.reported_at = Some(now);
        }
        services
    }

    /// Records the rows of a peer's report.
    pub fn receive(&mut self, now: Millis, incarnation: u64, services: &[ServiceShareRows]) {
        if services.is_empty() {
            return;
        }
        for rows in services {
            let mut own = self.services.iter_mut();
            if let Some((_, own)) = own.find(|it| short_hash(it.0) == rows.service) {
                for tier in &rows.short_tiers {
                    own.record_peer_shortage(now, *tier);
                }
            }
        }
        let rows = PeerRows {
            received_at: now,
            services: services.to_vec(),
        };
        self.peers.insert(incarnation, rows);
    }

    /// Forgets the rows of a peer's process that has been replaced.
    pub fn forget_peer(&mut self, incarnation: u64) {
        self.peers.remove(&incarnation);
    }

    /// Drops what has decayed.
    pub fn prune(&mut self, now: Millis) {
        self.peers
            .retain(|_, it| now.since(it.received_at) < PEER_ROWS_TTL);
        for service in self.services.values_mut() {
            service.prune(now);
        }
        self.services.retain(|_, it| !it.is_empty());
    }

    fn add(&mut self, now: Millis, request: &ScheduledRequest, used: f64, offered: f64) {
        let Some(key) = share_key(request) else {
            return;
        };
        if self.source == WeightSource::Off {
            return;
        }
        if !self.services.contains_key(&request.service) {
            let service = ServiceShares::default();
            self.services.insert(request.service.clone(), service);
        }
        if let Some(service) = self.services.get_mut(&request.service) {
            service.add(now, key, request.priority.route(), used, offered);
        }
    }
}

// Returns the tier and the organisation in which a request counts, if that is known.
fn share_key(request: &ScheduledRequest) -> Option<ShareKey> {
    Some((request.priority.tier(), request.organisation?))
}

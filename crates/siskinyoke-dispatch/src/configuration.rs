//! The operators' configuration in force: routes, services, organisations and limits.

use std::sync::Arc;

use crate::latency_model::millis_to_f64;
use siskinyoke_base::Map;
use siskinyoke_base::Millis;

/// Minimum time callers wait for the next event of a stream.
const MIN_STREAM_TIMEOUT: Millis = Millis(2_000);

/// Whether requests on a route may be repeated, and the form of their responses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// Idempotent: may run more than once.
    Safe,
    /// Non-idempotent: runs at most once.
    Unsafe,
    /// An event stream; idempotent only if the route is resumable.
    Stream,
}

/// A route: which requests it matches and how they are served.
#[derive(Debug, Clone)]
pub struct Route {
    /// The route's name.
    pub name: Arc<str>,
    /// The path prefix, with a slash at both ends.
    pub prefix: Box<str>,
    /// Whether its requests may be repeated, and the form of their responses.
    pub kind: RouteKind,
    /// Maximum total duration of a request.
    pub timeout: Millis,
    /// Latency target for the complete response, or for the first event of a stream.
    pub latency_target: Millis,
    /// Target for the longest gap between two events of a stream; 0 if there is none.
    pub gap_target: Millis,
    /// Priority, 0 being the highest; an organisation's own priority takes precedence.
    pub priority: u8,
    /// Services that serve it, with their weights.
    pub targets: Vec<(Arc<str>, u32)>,
    /// Maximum number of endpoints one request may be sent to.
    pub max_attempts: u32,
    /// Whether requests need no API key.
    pub auth_exempt: bool,
    /// Whether a stream may be continued at another endpoint.
    pub resumable: bool,
}

impl Route {
    /// Returns whether a request on this route may run more than once.
    pub fn idempotent(&self) -> bool {
        match self.kind {
            RouteKind::Safe => true,
            RouteKind::Unsafe => false,
            RouteKind::Stream => self.resumable,
        }
    }

    /// Returns how long a caller waits for the first part of a response.
    ///
    /// The platform tells callers to abandon a stream after two seconds without an event, four
    /// times the latency target or eight times the gap target, whichever is longest. A request that
    /// waits longer would occupy the queue after its caller has left.
    pub fn caller_timeout(&self) -> Millis {
        if self.kind != RouteKind::Stream {
            return self.timeout;
        }
        let stream_timeout = MIN_STREAM_TIMEOUT
            .max(Millis(self.latency_target.0 * 4))
            .max(Millis(self.gap_target.0 * 8));
        stream_timeout.min(self.timeout)
    }

    /// Returns whether a gap between two events of a stream, in ms, misses the target.
    pub fn misses_gap_target(&self, gap_ms: f64) -> bool {
        self.gap_target > Millis::ZERO && gap_ms > millis_to_f64(self.gap_target)
    }

    /// Picks the service for a request by weight, from the hash of the request's ID.
    pub fn pick_service(&self, id_hash: u64) -> Option<&Arc<str>> {
        let total: u64 = self.targets.iter().map(|target| u64::from(target.1)).sum();
        if total == 0 {
            return self.targets.first().map(|target| &target.0);
        }
        let mut remaining = id_hash % total;
        for (service, weight) in &self.targets {
            let weight = u64::from(*weight);
            if remaining < weight {
                return Some(service);
            }
            remaining -= weight;
        }
        None
    }
}

/// A service: a set of endpoints that serve the same routes.
#[derive(Debug, Clone)]
pub struct Service {
    /// The service's name.
    pub name: Arc<str>,
    /// Maximum number of connections that each of its endpoints accepts from all callers.
    pub max_connections: usize,
}

/// An organisation: its priority and its quota.
#[derive(Debug, Clone)]
pub struct Organisation {
    /// The organisation's name.
    pub name: Arc<str>,
    /// Its priority, if any; compared before the priority of the route.
    pub priority: Option<u8>,
    /// Quota units per second over all instances; zero means unlimited.
    pub rate: f64,
    /// Quota units that may be used at once after an idle period.
    pub burst: f64,
    /// Whether quota units are tokens; otherwise they are requests.
    pub counts_tokens: bool,
    /// Cost of a request that states no token counts, in quota units.
    pub default_cost: f64,
}

/// Size limits and timeouts for callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub max_head: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body: usize,
    /// Time within which a request head must arrive.
    pub head_timeout: Millis,
    /// How long a connection may stay idle between requests.
    pub keepalive_timeout: Millis,
}

/// One version of the configuration, indexed for lookups.
#[derive(Debug, Clone)]
pub struct Configuration {
    /// Version set by the operators; a higher one replaces a lower one.
    pub version: u64,
    /// Size limits and timeouts for callers.
    pub limits: CallerLimits,
    hosts: Map<Box<str>, Vec<Arc<Route>>>,
    services: Map<Arc<str>, Service>,
    organisations: Vec<Arc<Organisation>>,
    keys: Map<Box<str>, usize>,
}

impl Configuration {
    /// Creates an empty configuration.
    pub fn new(version: u64, limits: CallerLimits) -> Self {
        Self {
            version,
            limits,
            hosts: Map::default(),
            services: Map::default(),
            organisations: Vec::new(),
            keys: Map::default(),
        }
    }

    /// Adds a route to a host, keeping routes sorted by decreasing prefix length.
    pub fn add_route(&mut self, host: &str, route: Route) {
        let routes = self.hosts.entry(host.into()).or_default();
        let index = routes.partition_point(|other| other.prefix.len() >= route.prefix.len());
        routes.insert(index, Arc::new(route));
    }

    /// Adds a service.
    pub fn add_service(&mut self, service: Service) {
        self.services.insert(service.name.clone(), service);
    }

    /// Adds an organisation with its API keys.
    pub fn add_organisation(&mut self, organisation: Organisation, keys: &[String]) {
        let index = self.organisations.len();
        self.organisations.push(Arc::new(organisation));
        for key in keys {
            self.keys.insert(key.as_str().into(), index);
        }
    }

    /// Finds the host's route with the longest prefix of `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.hosts.get(host)?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Returns the routes of all hosts.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts.values().flatten()
    }

    /// Returns whether requests need an API key, which they do if any organisation is configured.
    pub fn requires_key(&self) -> bool {
        !self.organisations.is_empty()
    }

    /// Finds the organisation that owns an API key.
    pub fn organisation_by_key(&self, key: &str) -> Option<&Arc<Organisation>> {
        self.keys.get(key).map(|index| &self.organisations[*index])
    }

    /// Returns the organisations.
    pub fn organisations(&self) -> &[Arc<Organisation>] {
        &self.organisations
    }

    /// Finds a service.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }
}

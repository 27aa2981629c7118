//! The operators' configuration in force: routes, services, organisations and limits.

use std::sync::Arc;

use siskinyoke_base::Map;
use siskinyoke_base::Millis;

/// The shortest silence after which callers leave a stream.
const MIN_STREAM_TIMEOUT: Millis = Millis(2_000);

/// What may be repeated of a request, and what its answer looks like.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Idempotent: may run more than once.
    Safe,
    /// Non-idempotent: runs at most once.
    Unsafe,
    /// An event stream; idempotent only where the route lets it resume.
    Stream,
}

/// One route: which requests it takes and how they are served.
#[derive(Debug, Clone)]
pub struct Route {
    /// The route's name.
    pub name: Arc<str>,
    /// The path prefix, with a slash at both ends.
    pub prefix: Box<str>,
    /// What may be repeated.
    pub kind: Kind,
    /// How long the operator lets a request take in all.
    pub timeout: Millis,
    /// The latency objective: to the whole answer, or to a stream's first event.
    pub latency_target: Millis,
    /// The longest pause between a stream's events for which its answer is on time.
    pub gap_target: Millis,
    /// The priority, 0 first; an organisation's own priority goes before it.
    pub priority: u8,
    /// The services that serve it, with weights.
    pub targets: Vec<(Arc<str>, u32)>,
    /// The most endpoints that one request may be sent to.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub auth_exempt: bool,
    /// Whether a stream may go on at another endpoint.
    pub resumable: bool,
}

impl Route {
    /// Returns whether a request on this route may run more than once.
    pub fn idempotent(&self) -> bool {
        match self.kind {
            Kind::Safe => true,
            Kind::Unsafe => false,
            Kind::Stream => self.resumable,
        }
    }

    /// Returns how long a caller waits for the first part of an answer.
    ///
    /// Callers leave a stream that is silent for two seconds, four times its objective or eight
    /// times its longest pause, whichever is longest, as their platform tells them to. What waits
    /// here for longer would hold a place in the queue for nobody.
    pub fn caller_timeout(&self) -> Millis {
        if self.kind != Kind::Stream {
            return self.timeout;
        }
        let silence = MIN_STREAM_TIMEOUT
            .max(Millis(self.latency_target.0 * 4))
            .max(Millis(self.gap_target.0 * 8));
        silence.min(self.timeout)
    }

    /// Picks the service for a request, spreading by weight; `draw` is any evenly spread number.
    pub fn pick_service(&self, draw: u64) -> Option<&Arc<str>> {
        let total: u64 = self.targets.iter().map(|target| u64::from(target.1)).sum();
        if total == 0 {
            return self.targets.first().map(|target| &target.0);
        }
        let mut left = draw % total;
        for (service, weight) in &self.targets {
            let weight = u64::from(*weight);
            if left < weight {
                return Some(service);
            }
            left -= weight;
        }
        None
    }
}

/// One service: a set of endpoints that serve the same routes.
#[derive(Debug, Clone)]
pub struct Service {
    /// The service's name.
    pub name: Arc<str>,
    /// The most connections that one of its endpoints takes from all callers.
    pub max_connections: usize,
}

/// One organisation: who may call, how urgent it is and what it may use.
#[derive(Debug, Clone)]
pub struct Organisation {
    /// The organisation's name.
    pub name: Arc<str>,
    /// The priority that goes before its routes' own, if it has one.
    pub priority: Option<u8>,
    /// Units a second over all instances; zero is no limit.
    pub rate: f64,
    /// Units that may be used at once after a pause.
    pub burst: f64,
    /// Whether a unit is a token; else it is a request.
    pub counts_tokens: bool,
    /// The units of a request that names no tokens.
    pub default_cost: f64,
}

/// What a caller may send, and how long it may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// The longest head, in bytes.
    pub max_head: usize,
    /// The longest body, in bytes.
    pub max_body: usize,
    /// How long a head may take to arrive.
    pub head_timeout: Millis,
    /// How long a connection may stay open between requests.
    pub keepalive_timeout: Millis,
}

/// One version of the configuration, ready for look-ups.
#[derive(Debug, Clone)]
pub struct Configuration {
    /// The operators' version; a higher one replaces a lower one.
    pub version: u64,
    /// The limits on callers.
    pub limits: Limits,
    hosts: Map<Box<str>, Vec<Arc<Route>>>,
    services: Map<Arc<str>, Service>,
    organisations: Vec<Arc<Organisation>>,
    keys: Map<Box<str>, usize>,
}

impl Configuration {
    /// Makes an empty configuration of a version.
    pub fn new(version: u64, limits: Limits) -> Self {
        Self {
            version,
            limits,
            hosts: Map::default(),
            services: Map::default(),
            organisations: Vec::new(),
            keys: Map::default(),
        }
    }

    /// Adds a route under its host, longest prefix first.
    pub fn add_route(&mut self, host: &str, route: Route) {
        let routes = self.hosts.entry(host.into()).or_default();
        let at = routes.partition_point(|other| other.prefix.len() >= route.prefix.len());
        routes.insert(at, Arc::new(route));
    }

    /// Adds a service.
    pub fn add_service(&mut self, service: Service) {
        self.services.insert(service.name.clone(), service);
    }

    /// Adds an organisation with its keys.
    pub fn add_organisation(&mut self, organisation: Organisation, keys: &[String]) {
        let at = self.organisations.len();
        self.organisations.push(Arc::new(organisation));
        for key in keys {
            self.keys.insert(key.as_str().into(), at);
        }
    }

    /// Finds the route of a request: the longest prefix of its path among the host's routes.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.hosts.get(host)?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Returns whether any organisation is configured, so that requests need a key.
    pub fn requires_key(&self) -> bool {
        !self.organisations.is_empty()
    }

    /// Finds the organisation that holds a key.
    pub fn organisation_by_key(&self, key: &str) -> Option<&Arc<Organisation>> {
        self.keys.get(key).map(|at| &self.organisations[*at])
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

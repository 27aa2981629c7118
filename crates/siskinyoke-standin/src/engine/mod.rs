//! A stand-in for a model engine with continuous batching.

pub mod batch;
pub mod cache;
pub mod chat;
mod chat_handler;
pub mod config;
pub mod control;
pub mod counts;

use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use serde_json::json;

use crate::announcements::Announcements;
use crate::error::StandinError;
use crate::http::Exchange;
use crate::http::Handler;
use crate::http::HttpServer;
use crate::proxy::Cut;
use crate::proxy::Proxy;

pub use self::config::EngineConfig;

use self::batch::Batch;
use self::cache::PrefixCache;
use self::control::Breaks;
use self::control::EngineControl;
use self::control::FaultSettings;
use self::counts::Counts;

/// A running stand-in engine, stopped on drop.
pub struct Engine {
    server: HttpServer,
    shared: Arc<Shared>,
}

impl Engine {
    /// Starts an engine.
    ///
    /// # Errors
    ///
    /// [`StandinError::Listen`] if an address cannot be listened on.
    pub fn start(config: &EngineConfig) -> Result<Self, StandinError> {
        let shared = Arc::new(Shared::new(config.clone()));
        let handler = Arc::clone(&shared) as Arc<dyn Handler>;
        let server = HttpServer::start(&config.listen, &config.control, handler)?;
        Ok(Self { server, shared })
    }

    /// Returns the listen address of the engine.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the control address, which stays reachable while the engine is down.
    pub fn control_address(&self) -> SocketAddr {
        self.server.control_address()
    }

    /// Applies a command, as `POST /control` does.
    pub fn control(&self, command: &EngineControl) {
        self.shared.apply(self.server.proxy(), command);
    }

    /// Cuts off the connections from an IP address, or ends the cut.
    pub fn set_cut(&self, source: IpAddr, cut: Option<Cut>) {
        self.server.proxy().set_cut(source, cut);
    }

    /// Returns the counters since the start.
    pub fn counts(&self) -> Counts {
        self.shared.lock().counts.clone()
    }

    /// Stops the engine and closes every connection.
    pub fn stop(self) {
        drop(self);
    }
}

struct Shared {
    config: EngineConfig,
    batch: Batch,
    state: Mutex<State>,
}

struct State {
    faults: FaultSettings,
    cache: PrefixCache,
    counts: Counts,
}

impl Handler for Shared {
    fn handle(&self, exchange: Exchange) {
        let method = exchange.method();
        let path = exchange.path().to_owned();
        match (method.as_str(), path.as_str()) {
            ("POST", "/v1/chat/completions") => self.handle_chat(exchange),
            ("GET", "/v1/models") => self.list_models(exchange),
            ("GET", "/metrics") => {
                exchange.reply(200, "text/plain; version=0.0.4", &self.metrics());
            }
            ("GET", "/health") => exchange.reply(200, "text/plain", ""),
            ("GET", "/control/counts") => {
                let counts = self.lock().counts.clone();
                exchange.reply_json(200, &counts);
            }
            ("POST", "/control") => exchange.control(|proxy, command| self.apply(proxy, command)),
            _ => exchange.reply_error(404, "no such path"),
        }
    }
}

impl Shared {
    fn new(config: EngineConfig) -> Self {
        let faults = FaultSettings {
            slowdown: 1.0,
            crash_marker: config.crash_marker.clone(),
            breaks: Breaks::default(),
            metrics_lag: config.lag,
            announcements: Announcements::default(),
        };
        Self {
            batch: Batch::new(config.slots),
            state: Mutex::new(State {
                faults,
                cache: PrefixCache::new(config.cache),
                counts: Counts::default(),
            }),
            config,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn list_models(&self, exchange: Exchange) {
        let models = &self.config.models;
        let data = models
            .iter()
            .map(|name| json!({ "id": name, "object": "model" }));
        let data: Vec<_> = data.collect();
        exchange.reply_json(200, &json!({ "object": "list", "data": data }));
    }

    fn metrics(&self) -> String {
        let (metrics_lag, cache_usage, prefilled, cached) = {
            let state = self.lock();
            let counts = &state.counts;
            (
                state.faults.metrics_lag,
                state.cache.usage(),
                counts.prefilled,
                counts.cached,
            )
        };
        let load = self.batch.lagged_load(metrics_lag);
        let model = self.config.models.first().map_or("", String::as_str);
        let metric = |kind: &str, name: &str, value: String| {
            format!("# TYPE vllm:{name} {kind}\nvllm:{name}{{model_name=\"{model}\"}} {value}\n")
        };
        [
            metric("gauge", "num_requests_running", load.running.to_string()),
            metric("gauge", "num_requests_waiting", load.waiting.to_string()),
            metric("gauge", "kv_cache_usage_perc", cache_usage.to_string()),
            metric(
                "counter",
                "prefix_cache_queries_total",
                (prefilled + cached).to_string(),
            ),
            metric("counter", "prefix_cache_hits_total", cached.to_string()),
        ]
        .concat()
    }

    fn apply(&self, proxy: &Proxy, command: &EngineControl) {
        self.lock().faults.apply(command);
        proxy.apply_faults(command.down, command.freeze);
    }
}

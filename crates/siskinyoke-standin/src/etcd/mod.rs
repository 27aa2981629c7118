//! An in-memory stand-in for etcd with its v3 JSON gateway.

pub mod control;
pub mod gateway;
mod server;
pub mod store;
pub mod wire;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;

use serde::Deserialize;
use serde::Serialize;

use self::control::EtcdControl;
use self::server::Shared;
use crate::LOOPBACK_ANY_PORT;
use crate::error::StandinError;
use crate::http::Handler;
use crate::http::HttpServer;
use siskinyoke_base::clock::SystemClock;

/// Configuration of a stand-in for etcd.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EtcdConfig {
    /// Listen address of the store; port 0 for any free port.
    pub listen: String,
    /// Control address, which stays reachable while the store is down.
    pub control: String,
}

impl Default for EtcdConfig {
    fn default() -> Self {
        Self {
            listen: LOOPBACK_ANY_PORT.to_owned(),
            control: LOOPBACK_ANY_PORT.to_owned(),
        }
    }
}

/// A running stand-in for etcd, stopped on drop.
pub struct Etcd {
    server: HttpServer,
    shared: Arc<Shared>,
}

impl Etcd {
    /// Starts a store.
    ///
    /// # Errors
    ///
    /// [`StandinError::Listen`] if an address cannot be listened on.
    pub fn start(config: &EtcdConfig) -> Result<Self, StandinError> {
        let shared = Arc::new(Shared {
            clock: SystemClock::start(),
            state: Mutex::default(),
            changed: Condvar::new(),
        });
        let handler = Arc::clone(&shared) as Arc<dyn Handler>;
        let server = HttpServer::start(&config.listen, &config.control, handler)?;
        Ok(Self { server, shared })
    }

    /// Returns the listen address of the store.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the control address, which stays reachable while the store is down.
    pub fn control_address(&self) -> SocketAddr {
        self.server.control_address()
    }

    /// Applies a control command, as `POST /control` does.
    pub fn control(&self, command: &EtcdControl) {
        self.shared.control(self.server.proxy(), command);
    }

    /// Writes a value, as operators and endpoints do through the gateway.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.shared.lock();
        let revision = state.store.next_revision();
        state.store.put(revision, key.into(), value.into(), 0);
        drop(state);
        self.shared.changed.notify_all();
    }

    /// Returns the value of a key, if present.
    pub fn get(&self, key: &str) -> Option<String> {
        let state = self.shared.lock();
        let entry = state.store.get(key.as_bytes())?;
        Some(String::from_utf8_lossy(&entry.value).into_owned())
    }

    /// Returns the number of calls by kind since the start.
    pub fn call_counts(&self) -> BTreeMap<String, u64> {
        self.shared.lock().call_counts.clone()
    }

    /// Stops the store and closes all connections.
    pub fn stop(self) {
        drop(self);
    }
}

//! A stand-in of etcd's v3 JSON gateway, in memory.

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

/// How a stand-in store is started.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EtcdConfig {
    /// Address of the store; port 0 for any.
    pub listen: String,
    /// Address that stays reachable while the store is down.
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

/// A running stand-in store; it stops when dropped.
pub struct Etcd {
    server: HttpServer,
    shared: Arc<Shared>,
}

impl Etcd {
    /// Starts it.
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
        let web = HttpServer::start(&config.listen, &config.control, handler)?;
        Ok(Self {
            server: web,
            shared,
        })
    }

    /// Returns the address of the store.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the address that stays reachable while the store is down.
    pub fn control_address(&self) -> SocketAddr {
        self.server.control_address()
    }

    /// Carries out orders, as `POST /control` does.
    pub fn control(&self, orders: &EtcdControl) {
        self.shared.control(self.server.proxy(), orders);
    }

    /// Writes a value, as operators and endpoints do.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.shared.lock();
        let revision = state.store.next_revision();
        state.store.put(revision, key.into(), value.into(), 0);
        drop(state);
        self.shared.changed.notify_all();
    }

    /// Returns a value, if its key is there.
    pub fn get(&self, key: &str) -> Option<String> {
        let state = self.shared.lock();
        let entry = state.store.get(key.as_bytes())?;
        Some(String::from_utf8_lossy(&entry.value).into_owned())
    }

    /// Returns the calls by kind since the start.
    pub fn call_counts(&self) -> BTreeMap<String, u64> {
        self.shared.lock().call_counts.clone()
    }

    /// Stops it, cutting every connection.
    pub fn stop(self) {
        drop(self);
    }
}

//! Pool of idle connections to endpoints and relays.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::HeaderMap;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::body::Incoming;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::clock::BootClock;
use crate::connection::Connection;
use siskinyoke_base::Clock;
use siskinyoke_base::Map;
use siskinyoke_base::Millis;
use siskinyoke_dispatch::EndpointKey;
use siskinyoke_interface::headers;

/// Time before an endpoint closes an idle connection at which the connection is no longer used.
///
/// A request that is sent while the endpoint closes the connection may have run and cannot be sent
/// again. The margin covers network latency and a late timer.
const KEEP_ALIVE_MARGIN: Millis = Millis(700);

/// Keep-alive timeout assumed for endpoints that send none.
const DEFAULT_KEEP_ALIVE: Millis = Millis(4_000);

/// How long a connection must have been idle before it is reused.
///
/// A duplicate of the response that has just ended would be taken for the response to the next
/// request. One that follows within this time closes the connection instead.
pub const MIN_IDLE_TIME: Millis = Millis(2);

/// Time within which a connection must be ready for reuse after a response.
const REUSE_TIMEOUT: Duration = Duration::from_millis(500);

/// How often it is checked whether an endpoint that has responded early has read the rest of the
/// request.
const UNSENT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum size of a response body that is drained to reuse its connection.
const MAX_DRAINED_BODY_BYTES: usize = 64 * 1024;

/// What a pooled connection leads to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum PoolKey {
    /// An endpoint.
    Endpoint(EndpointKey),
    /// The peer address of an instance that relays requests.
    Relay(SocketAddr),
}

/// A connection, and what it leads to.
#[derive(Debug)]
pub struct PooledConnection {
    /// The connection.
    pub connection: Connection,
    /// What it leads to.
    pub key: PoolKey,
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    idle_since: Millis,
    expires_at: Millis,
}

impl IdleConnection {
    fn is_usable(&self, now: Millis) -> bool {
        now < self.expires_at && self.connection.is_ready()
    }
}

/// Idle connections to endpoints and relays. Of those that have been idle for long enough, the one
/// that was used last is reused.
#[derive(Debug, Default)]
pub struct Pool {
    idle: RefCell<Map<PoolKey, Vec<IdleConnection>>>,
}

impl Pool {
    /// Takes a usable connection, if there is one.
    pub fn take(&self, key: PoolKey) -> Option<PooledConnection> {
        let now = BootClock.now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&key)?;
        connections.retain(|it| it.is_usable(now));
        let index = connections
            .iter()
            .rposition(|it| now.since(it.idle_since) >= MIN_IDLE_TIME)?;
        let connection = connections.remove(index).connection;
        Some(PooledConnection { connection, key })
    }

    /// Drops connections that are expired or closed.
    pub fn remove_expired(&self) {
        let now = BootClock.now();
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections.retain(|it| it.is_usable(now));
        }
        idle.retain(|_, connections| !connections.is_empty());
    }

    /// Drops the idle connections with this key.
    pub fn clear(&self, key: PoolKey) {
        self.idle.borrow_mut().remove(&key);
    }

    /// Returns a connection to the pool after a response, unless the other side closes it.
    pub fn reuse(self: &Rc<Self>, head: &HeaderMap, connection: PooledConnection) {
        if !headers::closes_connection(head) {
            self.put_when_ready(connection, headers::keep_alive_timeout(head));
        }
    }

    /// Reads the body of a response to a request that did not run, so that its connection can be
    /// reused.
    pub fn drain_body(self: &Rc<Self>, response: Response<Incoming>, connection: PooledConnection) {
        let pool = self.clone();
        tokio::task::spawn_local(async move {
            let (parts, body) = response.into_parts();
            let reading = Limited::new(body, MAX_DRAINED_BODY_BYTES).collect();
            if let Ok(Ok(_)) = timeout(REUSE_TIMEOUT, reading).await {
                pool.reuse(&parts.headers, connection);
            }
        });
    }

    // Adds a connection to the pool as soon as it can take another request.
    fn put_when_ready(self: &Rc<Self>, pooled: PooledConnection, keep_alive: Option<Millis>) {
        let lifetime = keep_alive.map_or(DEFAULT_KEEP_ALIVE, |it| it.since(KEEP_ALIVE_MARGIN));
        let expires_at = BootClock.now() + lifetime;
        let PooledConnection {
            mut connection,
            key,
        } = pooled;
        if connection.is_ready() {
            self.put(key, connection, expires_at);
            return;
        }
        let pool = self.clone();
        tokio::task::spawn_local(async move {
            if timeout(REUSE_TIMEOUT, connection.wait_ready()).await != Ok(true) {
                return;
            }
            while connection.has_unsent_bytes() && BootClock.now() < expires_at {
                sleep(UNSENT_POLL_INTERVAL).await;
            }
            pool.put(key, connection, expires_at);
        });
    }

    fn put(&self, key: PoolKey, connection: Connection, expires_at: Millis) {
        self.idle
            .borrow_mut()
            .entry(key)
            .or_default()
            .push(IdleConnection {
                connection,
                idle_since: BootClock.now(),
                expires_at,
            });
    }
}

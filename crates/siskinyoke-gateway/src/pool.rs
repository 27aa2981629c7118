//! Pool of idle connections to endpoints.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::connection::Connection;
use crate::shell::Shell;
use siskinyoke_base::Map;
use siskinyoke_base::Millis;
use siskinyoke_dispatch::Endpoint;
use siskinyoke_dispatch::EndpointKey;
use siskinyoke_interface::headers;

/// Time before an endpoint closes an idle connection at which the connection is no longer used.
///
/// A request that is sent while the endpoint closes the connection may have run and cannot be sent
/// again. The margin covers network latency and a late timer.
const KEEP_ALIVE_MARGIN: Millis = Millis(700);

/// Keep-alive timeout assumed for endpoints that send none.
const DEFAULT_KEEP_ALIVE: Millis = Millis(4_000);

/// Time within which a connection must be ready for reuse after a response.
const REUSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum size of a response body that is drained to reuse its connection.
const MAX_DRAINED_BODY_BYTES: usize = 64 * 1024;

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    expires_at: Millis,
}

/// Idle connections to endpoints, reused in last-in, first-out order.
#[derive(Debug, Default)]
pub struct Pool {
    idle: RefCell<Map<EndpointKey, Vec<IdleConnection>>>,
}

impl Pool {
    /// Takes a usable connection to an endpoint, if there is one.
    pub fn take(&self, now: Millis, key: EndpointKey) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&key)?;
        while let Some(IdleConnection {
            connection,
            expires_at,
        }) = connections.pop()
        {
            if now < expires_at && connection.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    /// Drops connections that are expired or closed.
    pub fn remove_expired(&self, now: Millis) {
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections.retain(|it| now < it.expires_at && it.connection.is_ready());
        }
        idle.retain(|_, connections| !connections.is_empty());
    }

    fn put(&self, key: EndpointKey, connection: Connection, expires_at: Millis) {
        self.idle
            .borrow_mut()
            .entry(key)
            .or_default()
            .push(IdleConnection {
                connection,
                expires_at,
            });
    }
}

/// Returns a connection to the pool after a response, unless the endpoint closes it.
pub fn reuse(shell: &Rc<Shell>, endpoint: &Endpoint, head: &HeaderMap, connection: Connection) {
    if !headers::closes_connection(head) {
        put_when_ready(
            shell,
            endpoint.key(),
            connection,
            headers::keep_alive_timeout(head),
        );
    }
}

/// Reads the body of a response to a request that did not run, so that its connection can be
/// reused.
pub fn drain_body(
    shell: &Rc<Shell>,
    endpoint: &Arc<Endpoint>,
    response: Response<Incoming>,
    connection: Connection,
) {
    let shell = shell.clone();
    let endpoint = endpoint.clone();
    tokio::task::spawn_local(async move {
        let (parts, body) = response.into_parts();
        let reading = Limited::new(body, MAX_DRAINED_BODY_BYTES).collect();
        if let Ok(Ok(_)) = timeout(REUSE_TIMEOUT, reading).await {
            reuse(&shell, &endpoint, &parts.headers, connection);
        }
    });
}

// Adds a connection to the pool as soon as it can take another request.
fn put_when_ready(
    shell: &Rc<Shell>,
    key: EndpointKey,
    mut connection: Connection,
    keep_alive: Option<Millis>,
) {
    let expires_at =
        shell.now() + keep_alive.map_or(DEFAULT_KEEP_ALIVE, |span| span.since(KEEP_ALIVE_MARGIN));
    if connection.is_ready() {
        shell.pool.put(key, connection, expires_at);
        return;
    }
    let shell = shell.clone();
    tokio::task::spawn_local(async move {
        if timeout(REUSE_TIMEOUT, connection.wait_ready()).await == Ok(true) {
            shell.pool.put(key, connection, expires_at);
        }
    });
}

//! Connections to endpoints that wait to be used again.

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

/// How long before an endpoint closes an idle connection we stop using it.
///
/// Work that crosses the close may have run and cannot be sent again; the margin covers the way
/// there and a late timer.
const MARGIN: Millis = Millis(700);

/// How long an idle connection is used where its endpoint names no time.
const UNNAMED: Millis = Millis(4_000);

/// How long a connection may take to be ready again after its answer ended.
const SETTLE: Duration = Duration::from_millis(500);

/// The longest body of an answer that says "not run", in bytes.
const SHORT: usize = 64 * 1024;

#[derive(Debug)]
struct Idle {
    connection: Connection,
    until: Millis,
}

/// Connections to endpoints that wait to be used again, the latest used first.
#[derive(Debug, Default)]
pub struct Pool {
    idle: RefCell<Map<EndpointKey, Vec<Idle>>>,
}

impl Pool {
    /// Takes a connection to an endpoint, if a sound one waits.
    pub fn take(&self, now: Millis, key: EndpointKey) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(&key)?;
        while let Some(Idle { connection, until }) = list.pop() {
            if now < until && connection.ready() {
                return Some(connection);
            }
        }
        None
    }

    /// Drops connections that cannot be used any more.
    pub fn sweep(&self, now: Millis) {
        let mut idle = self.idle.borrow_mut();
        for list in idle.values_mut() {
            list.retain(|it| now < it.until && it.connection.ready());
        }
        idle.retain(|_, list| !list.is_empty());
    }

    fn put(&self, key: EndpointKey, connection: Connection, until: Millis) {
        self.idle
            .borrow_mut()
            .entry(key)
            .or_default()
            .push(Idle { connection, until });
    }
}

/// Keeps a connection whose answer is over, if its endpoint keeps it too.
pub fn reuse(shell: &Rc<Shell>, endpoint: &Endpoint, head: &HeaderMap, connection: Connection) {
    if !headers::closes(head) {
        keep(shell, endpoint.key(), connection, headers::keep(head));
    }
}

/// Reads the short body of an answer that says "not run", so that its connection can be kept.
pub fn drain(
    shell: &Rc<Shell>,
    endpoint: &Arc<Endpoint>,
    response: Response<Incoming>,
    connection: Connection,
) {
    let shell = shell.clone();
    let endpoint = endpoint.clone();
    tokio::task::spawn_local(async move {
        let (parts, body) = response.into_parts();
        let reading = Limited::new(body, SHORT).collect();
        if let Ok(Ok(_)) = timeout(SETTLE, reading).await {
            reuse(&shell, &endpoint, &parts.headers, connection);
        }
    });
}

// Keeps a connection for later, once its last answer is over.
fn keep(shell: &Rc<Shell>, key: EndpointKey, mut connection: Connection, named: Option<Millis>) {
    let until = shell.now() + named.map_or(UNNAMED, |span| span.since(MARGIN));
    if connection.ready() {
        shell.pool.put(key, connection, until);
        return;
    }
    let shell = shell.clone();
    tokio::task::spawn_local(async move {
        if timeout(SETTLE, connection.settle()).await == Ok(true) {
            shell.pool.put(key, connection, until);
        }
    });
}

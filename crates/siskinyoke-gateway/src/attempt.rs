//! Sends a request to an endpoint once, over an own link or through a relay.

use std::rc::Rc;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Request;
use http_body_util::Full;

use crate::endpoint_client::OutgoingRequest;
use crate::endpoint_client::Reply;
use crate::endpoint_client::Reuse;
use crate::pool::PoolKey;
use crate::pool::PooledConnection;
use crate::probes;
use crate::shell::Shell;
use crate::start_check::StartError;
use siskinyoke_base::Millis;
use siskinyoke_dispatch::Core;
use siskinyoke_dispatch::Endpoint;

/// A request in the form in which it is sent to endpoints.
#[derive(Debug, Clone)]
pub struct EndpointRequest {
    /// The HTTP method.
    pub method: Method,
    /// Path and query sent to the endpoint.
    pub target: http::Uri,
    /// Headers common to all attempts.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// Hash of the path, organisation and body: equal for every resend of the same request.
    pub fingerprint: u64,
}

impl EndpointRequest {
    /// Returns the request with these headers in place of the common ones.
    pub fn with_headers(&self, headers: HeaderMap) -> OutgoingRequest {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.target.clone();
        *request.headers_mut() = headers;
        request
    }
}

/// Opens a connection on which the endpoint has confirmed its start; returns `None` if the request
/// needs none, or is sent through a relay, which opens its own.
///
/// # Errors
///
/// That there is no such connection; nothing was sent.
pub async fn connect_verified(
    shell: &Rc<Shell>,
    endpoint: &Endpoint,
    reuse: Reuse,
) -> Result<Option<PooledConnection>, Reply> {
    if shell.core.borrow().links_lost(&endpoint.service) {
        return Ok(None);
    }
    let start = shell.now();
    let connecting = shell.endpoint_client.connect_verified(endpoint, reuse);
    let connected = connecting.await;
    connected.map_err(|reply| record(shell, endpoint, start, reply))
}

/// Sends a request over a connection that was opened for it, and waits for the response head.
pub async fn send_over(
    shell: &Rc<Shell>,
    endpoint: &Endpoint,
    request: OutgoingRequest,
    connection: PooledConnection,
) -> Reply {
    let sent_at = shell.now();
    let client = &shell.endpoint_client;
    let reply = client.send_over(endpoint, request, connection).await;
    record(shell, endpoint, sent_at, reply)
}

/// Sends a request to an endpoint and waits for the response head.
///
/// While the links to the service are lost, a connection that has delivered a response since is
/// used, and a relay otherwise.
pub async fn send(
    shell: &Rc<Shell>,
    endpoint: &Endpoint,
    request: OutgoingRequest,
    reuse: Reuse,
) -> Reply {
    let sent_at = shell.now();
    let client = &shell.endpoint_client;
    let request = match client.send_pooled(endpoint, request, reuse).await {
        Ok(reply) => return record(shell, endpoint, sent_at, reply),
        Err(request) => request,
    };
    let lost = shell.core.borrow().links_lost(&endpoint.service);
    let request = if lost {
        match shell.relay.send(endpoint, request, reuse).await {
            Ok(reply) => return reply,
            Err(request) => request,
        }
    } else {
        request
    };
    let reply = client.send_new(endpoint, request, reuse).await;
    record(shell, endpoint, sent_at, reply)
}

/// Records that an endpoint has not responded in time to a request sent at `sent_at`.
pub fn record_overdue(shell: &Rc<Shell>, endpoint: &Endpoint, sent_at: Millis) {
    let now = shell.now();
    shell
        .core
        .borrow_mut()
        .record_no_response(now, endpoint, sent_at);
    probes::start_due(shell);
}

/// Records what a failed check of an endpoint's start, which began at `sent_at`, says about the
/// endpoint and the link to it.
pub fn record_unverified(
    core: &mut Core,
    now: Millis,
    endpoint: &Endpoint,
    sent_at: Millis,
    err: StartError,
) {
    match err {
        StartError::OtherStart(started_ms) => {
            core.record_response(now, endpoint);
            core.record_start(endpoint, started_ms);
        }
        StartError::NoStart => core.record_response(now, endpoint),
        StartError::TimedOut | StartError::ConnectionClosed => {
            core.record_no_response(now, endpoint, sent_at);
        }
        StartError::NotRelayed => {}
    }
}

// Records what a request over an own link says about that link.
fn record(shell: &Rc<Shell>, endpoint: &Endpoint, sent_at: Millis, reply: Reply) -> Reply {
    let now = shell.now();
    let mut core = shell.core.borrow_mut();
    let lost = core.links_lost(&endpoint.service);
    match &reply {
        Reply::Head(_, pooled) if matches!(pooled.key, PoolKey::Endpoint(_)) => {
            core.record_response(now, endpoint);
        }
        Reply::Unverified(err) => record_unverified(&mut core, now, endpoint, sent_at, *err),
        Reply::ConnectFailed => core.record_unreachable(now, endpoint),
        Reply::ConnectRefused => core.record_refused(now, endpoint),
        Reply::ConnectionLost => core.record_no_response(now, endpoint, sent_at),
        _ => {}
    }
    drop(core);
    probes::start_due(shell);
    match reply {
        // The link broke, as far as is known, and not the endpoint.
        Reply::ConnectionLost if lost => Reply::LinkLost,
        reply => reply,
    }
}

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
use crate::probes;
use crate::shell::Shell;
use siskinyoke_base::Millis;
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
    // Returns the request with these headers in place of the common ones.
    fn with_headers(&self, headers: HeaderMap) -> OutgoingRequest {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.target.clone();
        *request.headers_mut() = headers;
        request
    }
}

/// Sends a request to an endpoint and waits for the response head.
///
/// `headers` replace those of the request. While the links to the service are lost, a connection
/// that has delivered a response since is used, and a relay otherwise.
pub async fn send(
    shell: &Rc<Shell>,
    endpoint: &Endpoint,
    outgoing: &EndpointRequest,
    headers: HeaderMap,
    reuse: Reuse,
) -> Reply {
    let sent_at = shell.now();
    let request = outgoing.with_headers(headers);
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
    let reply = client.send_new(endpoint, request).await;
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

// Records what a request over an own link says about that link.
fn record(shell: &Rc<Shell>, endpoint: &Endpoint, sent_at: Millis, reply: Reply) -> Reply {
    let now = shell.now();
    let mut core = shell.core.borrow_mut();
    let lost = core.links_lost(&endpoint.service);
    match &reply {
        Reply::Head(_, pooled) if matches!(pooled.key, PoolKey::Endpoint(_)) => {
            core.record_response(now, endpoint);
        }
        Reply::ConnectFailed => core.record_unreachable(now, endpoint),
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

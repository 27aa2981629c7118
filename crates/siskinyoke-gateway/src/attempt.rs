//! One sending of a request to one endpoint.

use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use serde_json::json;

use crate::connection::Connection;
use crate::connection::SendOutcome;
use crate::memory::MemoryReservation;
use crate::shell::Shell;
use siskinyoke_dispatch::Endpoint;

/// A request as it goes to endpoints.
#[derive(Debug, Clone)]
pub struct EndpointRequest {
    /// The method.
    pub method: Method,
    /// The path with its query, as the caller sent it.
    pub target: http::Uri,
    /// The headers, but for what differs with each sending.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// Identifies what runs: the same for each resend of the same work.
    pub fingerprint: u64,
    /// Counts the body's bytes until the last copy is gone.
    pub reservation: Rc<MemoryReservation>,
}

/// What came of a sending.
#[derive(Debug)]
pub enum Reply {
    /// The head of an answer, and the connection that brings its body.
    Head(Response<Incoming>, Connection),
    /// No connection could be made; nothing was sent.
    ConnectFailed,
    /// The connection broke after something had left.
    ConnectionLost,
}

/// Sends a request to an endpoint and waits for the head of its answer.
///
/// `headers` are those of this sending. A kept connection that the endpoint had closed in the
/// meantime gives the request back unsent; then a new one is opened.
pub async fn send(
    shell: &Rc<Shell>,
    endpoint: &Endpoint,
    outgoing: &EndpointRequest,
    headers: HeaderMap,
) -> Reply {
    let mut request = Request::new(Full::new(outgoing.body.clone()));
    *request.method_mut() = outgoing.method.clone();
    *request.uri_mut() = outgoing.target.clone();
    *request.headers_mut() = headers;
    while let Some(mut pooled) = shell.pool.take(shell.now(), endpoint.key()) {
        match pooled.send(request).await {
            SendOutcome::Head(response) => return Reply::Head(response, pooled),
            SendOutcome::NotSent(unsent) => request = *unsent,
            SendOutcome::ConnectionLost(err) => return connection_lost(shell, endpoint, &err),
        }
    }
    let Some(mut connection) = connect(shell, endpoint).await else {
        return Reply::ConnectFailed;
    };
    match connection.send(request).await {
        SendOutcome::Head(response) => Reply::Head(response, connection),
        SendOutcome::NotSent(_) => Reply::ConnectFailed,
        SendOutcome::ConnectionLost(err) => connection_lost(shell, endpoint, &err),
    }
}

async fn connect(shell: &Shell, endpoint: &Endpoint) -> Option<Connection> {
    let Ok(address) = endpoint.address.parse::<SocketAddr>() else {
        shell.log("endpoint_address", json!({ "endpoint": &*endpoint.id, "address": &*endpoint.address, "hint": "not IP:PORT" }));
        return None;
    };
    match Connection::open(address).await {
        Ok(connection) => Some(connection),
        Err(err) => {
            let fields = json!({ "endpoint": &*endpoint.id, "error": err.to_string() });
            shell.log("endpoint_unreached", fields);
            None
        }
    }
}

fn connection_lost(shell: &Shell, endpoint: &Endpoint, err: &hyper::Error) -> Reply {
    let fields = json!({ "endpoint": &*endpoint.id, "error": err.to_string() });
    shell.log("endpoint_broken", fields);
    Reply::ConnectionLost
}

//! Sends a request to an endpoint once.

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
    /// Accounts for the body's memory until the last clone is dropped.
    pub reservation: Rc<MemoryReservation>,
}

/// Result of sending a request to an endpoint.
#[derive(Debug)]
pub enum Reply {
    /// The response head, and the connection that delivers its body.
    Head(Response<Incoming>, Connection),
    /// No connection could be established; nothing was sent.
    ConnectFailed,
    /// The connection broke after data was sent; the request may have run.
    ConnectionLost,
}

/// Sends a request to an endpoint and waits for the response head.
///
/// `headers` replace those of the request. A pooled connection that the endpoint has closed in
/// the meantime returns the request unsent; the next pooled or a new connection is tried then.
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
        shell.log(
            "endpoint_address",
            json!({
                "endpoint": &*endpoint.id,
                "address": &*endpoint.address,
                "hint": "an endpoint's address must be IP:PORT"
            }),
        );
        return None;
    };
    match Connection::open_from(shell.settings().ip, address).await {
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

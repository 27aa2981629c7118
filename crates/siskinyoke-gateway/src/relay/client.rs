//! Sends requests to endpoints through peers.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::Uri;
use http::header;
use http_body_util::Full;
use hyper::body::Incoming;
use serde_json::json;

use super::ENDPOINT_HEADER;
use super::FRAMING_HEADER;
use super::MISMATCH_HEADER;
use super::NEW_CONNECTION_HEADER;
use super::Relay;
use super::STATUS_HEADER;
use super::VERIFIED_CONNECTION;
use super::status::RelayStatus;
use crate::clock::BootClock;
use crate::connection::Connection;
use crate::connection::SendOutcome;
use crate::endpoint_client::OutgoingRequest;
use crate::endpoint_client::Reply;
use crate::endpoint_client::Reuse;
use crate::pool::PoolKey;
use crate::pool::PooledConnection;
use crate::start_check::StartError;
use siskinyoke_base::Clock;
use siskinyoke_dispatch::Core;
use siskinyoke_dispatch::Endpoint;

impl Relay {
    /// Sends a request to an endpoint through a peer that reaches it.
    ///
    /// Another peer is tried as long as nothing has been sent to the endpoint.
    ///
    /// # Errors
    ///
    /// The request, if there is no peer to send it to.
    pub async fn send(
        &self,
        endpoint: &Endpoint,
        request: OutgoingRequest,
        reuse: Reuse,
    ) -> Result<Reply, OutgoingRequest> {
        let now = BootClock.now();
        let relays = self.core.borrow().relays(now, endpoint, rand::random());
        if relays.is_empty() {
            // A relay that refused a moment ago may take the request soon.
            let has_relay = self.core.borrow().has_relay(now, &endpoint.service);
            return if has_relay {
                Ok(Reply::RelayFailed)
            } else {
                Err(request)
            };
        }
        let template = Template::new(request, endpoint, reuse);
        let mut unreachable = false;
        for relay in relays {
            let Ok(address) = relay.peer_address.parse() else {
                continue;
            };
            let started = StartedRequest::new(&self.core, &relay.peer_address);
            let result = self.send_via(address, &template).await;
            drop(started);
            match result {
                Ok(reply) => return Ok(reply),
                Err(RelayStatus::Unreachable) => unreachable = true,
                Err(RelayStatus::Unverified) => {
                    return Ok(Reply::Unverified(StartError::NotRelayed));
                }
                Err(status) => {
                    self.core
                        .borrow_mut()
                        .record_relay_failure(BootClock.now(), &relay.peer_address);
                    let fields = json!({
                        "relay": relay.peer_address,
                        "endpoint": &*endpoint.id,
                        "status": status.as_str(),
                    });
                    self.log.log("relay_failed", fields);
                }
            }
        }
        Ok(if unreachable {
            Reply::ConnectFailed
        } else {
            Reply::RelayFailed
        })
    }

    // Sends a request through one peer, and returns why if nothing was sent to the endpoint.
    async fn send_via(
        &self,
        address: SocketAddr,
        template: &Template,
    ) -> Result<Reply, RelayStatus> {
        let key = PoolKey::Relay(address);
        while let Some(mut pooled) = self.pool.take(key) {
            match pooled.connection.send(template.request()).await {
                SendOutcome::NotSent(_) => {}
                outcome => return self.reply(outcome, pooled),
            }
        }
        let Ok(connection) = Connection::open_from(self.source, address).await else {
            return Err(RelayStatus::Refused);
        };
        let mut pooled = PooledConnection { connection, key };
        let outcome = pooled.connection.send(template.request()).await;
        self.reply(outcome, pooled)
    }

    fn reply(
        &self,
        outcome: SendOutcome,
        connection: PooledConnection,
    ) -> Result<Reply, RelayStatus> {
        let mut response = match outcome {
            SendOutcome::Head(response) => response,
            SendOutcome::NotSent(_) => return Err(RelayStatus::Refused),
            SendOutcome::ConnectionLost(_) => return Ok(Reply::LinkLost),
        };
        let status = response.headers_mut().remove(STATUS_HEADER);
        let status = status.and_then(|it| RelayStatus::parse(it.as_bytes()));
        if status == Some(RelayStatus::Relayed) {
            if response.headers_mut().remove(FRAMING_HEADER).is_none() {
                distrust_chunks(&mut response);
            }
            return Ok(Reply::Head(response, connection));
        }
        let is_mismatched = response.headers().contains_key(MISMATCH_HEADER);
        self.pool.drain_body(response, connection);
        match status {
            Some(RelayStatus::ConnectionLost) if is_mismatched => Ok(Reply::Mismatched),
            Some(RelayStatus::ConnectionLost) => Ok(Reply::ConnectionLost),
            Some(status) => Err(status),
            // An instance of a version that relays nothing.
            None => Err(RelayStatus::Refused),
        }
    }
}

// Drops the mark that a relay of an earlier version may have set itself.
fn distrust_chunks(response: &mut Response<Incoming>) {
    response.headers_mut().remove(header::TRANSFER_ENCODING);
}

// Counts a request that was sent to a relay and has got no response yet.
struct StartedRequest {
    core: Rc<RefCell<Core>>,
    relay: String,
}

impl StartedRequest {
    fn new(core: &Rc<RefCell<Core>>, relay: &str) -> Self {
        core.borrow_mut().relayed_request_started(relay);
        Self {
            core: core.clone(),
            relay: relay.to_owned(),
        }
    }
}

impl Drop for StartedRequest {
    fn drop(&mut self) {
        self.core.borrow_mut().relayed_request_ended(&self.relay);
    }
}

// A request that may be sent to several relays in turn.
struct Template {
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Full<Bytes>,
}

impl Template {
    fn new(request: OutgoingRequest, endpoint: &Endpoint, reuse: Reuse) -> Self {
        let (parts, body) = request.into_parts();
        let mut headers = parts.headers;
        let key = format!("{:x}", endpoint.key().0);
        if let Ok(value) = HeaderValue::from_str(&key) {
            headers.insert(ENDPOINT_HEADER, value);
        }
        let value = match reuse {
            Reuse::Allowed => None,
            Reuse::Denied => Some("1"),
            Reuse::Verified => Some(VERIFIED_CONNECTION),
        };
        if let Some(value) = value.map(HeaderValue::from_static) {
            headers.insert(NEW_CONNECTION_HEADER, value);
        }
        Self {
            method: parts.method,
            uri: parts.uri,
            headers,
            body,
        }
    }

    fn request(&self) -> OutgoingRequest {
        let mut request = Request::new(self.body.clone());
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        request
    }
}

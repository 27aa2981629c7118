//! Passes requests of peers on to endpoints.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::request::Parts;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Body;
use hyper::body::Incoming;
use serde_json::json;
use tokio::time::Instant;
use tokio::time::sleep;

use super::ENDPOINT_HEADER;
use super::FRAMING_HEADER;
use super::MISMATCH_HEADER;
use super::NEW_CONNECTION_HEADER;
use super::Relay;
use super::STATUS_HEADER;
use super::VERIFIED_CONNECTION;
use super::body::Counted;
use super::body::RelayedBody;
use super::error::LinkLostError;
use super::status::RelayStatus;
use crate::attempt;
use crate::clock::BootClock;
use crate::endpoint_client::OutgoingRequest;
use crate::endpoint_client::Reply;
use crate::endpoint_client::Reuse;
use crate::framing::Framing;
use crate::memory_reservation::MemoryReservation;
use crate::pool::PooledConnection;
use crate::response;
use crate::response::ResponseBody;
use crate::unread_body;
use siskinyoke_base::Clock;
use siskinyoke_dispatch::Endpoint;
use siskinyoke_dispatch::EndpointKey;
use siskinyoke_interface::ResponseClass;
use siskinyoke_interface::headers::end_to_end;

/// Maximum number of requests relayed at a time.
const MAX_IN_FLIGHT: usize = 64;

/// Maximum size of the request bodies held for relaying.
const MAX_HELD_BYTES: usize = 8 * 1024 * 1024;

/// What is reserved for each relayed request beside its body: the buffers of its response.
const RELAYED_BYTES: usize = 192 * 1024;

/// How long the links may be in doubt before a lost connection is put down to the endpoint.
///
/// A probe takes 400 ms at most and begins within 200 ms.
const MAX_DOUBT: Duration = Duration::from_millis(800);

/// How often it is checked whether the links are still in doubt.
const DOUBT_POLL_INTERVAL: Duration = Duration::from_millis(20);

impl Relay {
    /// Returns whether a request on the peers' port is to be relayed.
    pub fn accepts(request: &Request<Incoming>) -> bool {
        request.headers().contains_key(ENDPOINT_HEADER)
    }

    /// Passes a request on to the endpoint that it names, and returns the response.
    ///
    /// # Errors
    ///
    /// The connection to the endpoint broke because this instance has lost its links. The peer's
    /// connection has to break too, which says that the request may have run and blames nobody.
    pub async fn serve(
        &self,
        peer: IpAddr,
        request: Request<Incoming>,
    ) -> Result<Response<ResponseBody>, LinkLostError> {
        let (endpoint, body_size, mut memory) = match self.admit(peer, &request) {
            Ok(admitted) => admitted,
            Err(reason) => {
                let refusal = self.refuse(peer, reason);
                return Ok(unread_body::respond_before(refusal, request.into_body()).await);
            }
        };
        let in_flight = Counted::new(&self.in_flight, 1);
        let held_bytes = Counted::new(&self.held_bytes, body_size);
        let (parts, body) = request.into_parts();
        let id = self.exchange.request_id(&parts).map(str::to_owned);
        let reuse = reuse(&parts);
        let Some(request) = read(parts, body, body_size).await else {
            return Ok(unread_body::closing(self.refuse(peer, "body")));
        };
        let sent_at = BootClock.now();
        let reply = match self.client.send_pooled(&endpoint, request, reuse).await {
            Ok(reply) => reply,
            Err(request) => self.client.send_new(&endpoint, request, reuse).await,
        };
        drop(held_bytes);
        memory.shrink_to(RELAYED_BYTES);
        let now = BootClock.now();
        match reply {
            Reply::Head(response, connection) => {
                self.core.borrow_mut().record_response(now, &endpoint);
                if self.is_mismatched(&response, id.as_deref()) {
                    return Ok(self.state_mismatch(&endpoint, id.as_deref()));
                }
                Ok(self.relayed(response, connection, in_flight, memory))
            }
            Reply::ConnectionLost | Reply::LinkLost | Reply::Mismatched => {
                self.core
                    .borrow_mut()
                    .record_no_response(now, &endpoint, sent_at);
                self.state_lost_connection(&endpoint).await
            }
            Reply::Unverified(err) => {
                let mut core = self.core.borrow_mut();
                attempt::record_unverified(&mut core, now, &endpoint, sent_at, err);
                Ok(status_only(RelayStatus::Unverified))
            }
            Reply::ConnectFailed | Reply::ConnectRefused | Reply::RelayFailed => {
                self.core.borrow_mut().record_unreachable(now, &endpoint);
                Ok(status_only(RelayStatus::Unreachable))
            }
        }
    }

    // States that the connection to an endpoint broke, once it is known that the endpoint is at
    // fault and not this instance's own links.
    async fn state_lost_connection(
        &self,
        endpoint: &Endpoint,
    ) -> Result<Response<ResponseBody>, LinkLostError> {
        let deadline = Instant::now() + MAX_DOUBT;
        while self.core.borrow().links_doubted(&endpoint.service) && Instant::now() < deadline {
            sleep(DOUBT_POLL_INTERVAL).await;
        }
        if self.core.borrow().links_lost(&endpoint.service) {
            let fields = json!({ "endpoint": &*endpoint.id });
            self.log.log("relay_link_lost", fields);
            return Err(LinkLostError::LinkLost);
        }
        Ok(status_only(RelayStatus::ConnectionLost))
    }

    // Returns whether a response is to another request than the one with this ID. Its connection must
    // not be used again, as it would answer each further request with the response before.
    fn is_mismatched(&self, response: &Response<Incoming>, id: Option<&str>) -> bool {
        let (status, headers) = (response.status(), response.headers());
        let class = self.exchange.classify_response(status, headers, id);
        class == ResponseClass::Mismatched
    }

    fn state_mismatch(&self, endpoint: &Endpoint, id: Option<&str>) -> Response<ResponseBody> {
        let fields = json!({ "endpoint": &*endpoint.id, "id": id });
        self.log.log("relay_mismatched", fields);
        let mut response = status_only(RelayStatus::ConnectionLost);
        let value = HeaderValue::from_static("1");
        response.headers_mut().insert(MISMATCH_HEADER, value);
        response
    }

    // Returns the endpoint, the size of the body and the memory of a request that is relayed, or why
    // it is not.
    fn admit(
        &self,
        peer: IpAddr,
        request: &Request<Incoming>,
    ) -> Result<(Arc<Endpoint>, usize, MemoryReservation), &'static str> {
        let mut core = self.core.borrow_mut();
        if !core.is_instance_address(peer) {
            return Err("not_a_peer");
        }
        if core.is_shutting_down() {
            return Err("shutting_down");
        }
        let key = endpoint_key(request).ok_or("endpoint_unreadable")?;
        let endpoint = core.registry().find(key).cloned();
        let endpoint = endpoint.ok_or("endpoint_unknown")?;
        if core.links_lost(&endpoint.service) {
            return Err("links_lost");
        }
        let size = request.body().size_hint().exact().ok_or("body_length")?;
        let size = usize::try_from(size).map_err(|_| "body_length")?;
        let full =
            self.in_flight.get() >= MAX_IN_FLIGHT || self.held_bytes.get() + size > MAX_HELD_BYTES;
        if full {
            return Err("full");
        }
        let memory = self.memory.reserve(size + RELAYED_BYTES);
        Ok((endpoint, size, memory.map_err(|_| "memory")?))
    }

    fn relayed(
        &self,
        response: Response<Incoming>,
        connection: PooledConnection,
        in_flight: Counted,
        memory: MemoryReservation,
    ) -> Response<ResponseBody> {
        let framing = Framing::of(&response);
        let (parts, incoming) = response.into_parts();
        let mut headers = end_to_end(&parts.headers, &[STATUS_HEADER, FRAMING_HEADER]);
        headers.insert(STATUS_HEADER, status_value(RelayStatus::Relayed));
        headers.insert(FRAMING_HEADER, HeaderValue::from_static(framing.as_str()));
        let body = RelayedBody {
            incoming,
            framing,
            connection: Some(connection),
            headers: parts.headers,
            pool: self.pool.clone(),
            _in_flight: in_flight,
            _memory: memory,
        };
        let body = ResponseBody::Relayed(Box::new(body));
        response::forwarded(parts.status, headers, body, framing)
    }

    fn refuse(&self, peer: IpAddr, reason: &str) -> Response<ResponseBody> {
        let fields = json!({
            "peer": peer.to_string(),
            "reason": reason,
            "in_flight": self.in_flight.get(),
        });
        self.log.log("relay_refused", fields);
        status_only(RelayStatus::Refused)
    }
}

// Returns which connections to the endpoint a request may be sent over.
fn reuse(parts: &Parts) -> Reuse {
    match parts.headers.get(NEW_CONNECTION_HEADER) {
        Some(value) if value == VERIFIED_CONNECTION => Reuse::Verified,
        value => Reuse::denied_if(value.is_some()),
    }
}

fn endpoint_key(request: &Request<Incoming>) -> Option<EndpointKey> {
    let value = request.headers().get(ENDPOINT_HEADER)?.to_str().ok()?;
    u64::from_str_radix(value, 16).ok().map(EndpointKey)
}

// Reads a request and returns it as it is sent to the endpoint, or `None` if its sender is gone.
async fn read(parts: Parts, body: Incoming, body_size: usize) -> Option<OutgoingRequest> {
    let body: Bytes = Limited::new(body, body_size)
        .collect()
        .await
        .ok()?
        .to_bytes();
    let mut outgoing = Request::new(Full::new(body));
    *outgoing.method_mut() = parts.method;
    *outgoing.uri_mut() = parts.uri;
    let dropped = [ENDPOINT_HEADER, NEW_CONNECTION_HEADER];
    *outgoing.headers_mut() = end_to_end(&parts.headers, &dropped);
    Some(outgoing)
}

fn status_only(status: RelayStatus) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::Full(None));
    *response.status_mut() = StatusCode::BAD_GATEWAY;
    response
        .headers_mut()
        .insert(STATUS_HEADER, status_value(status));
    response
}

fn status_value(status: RelayStatus) -> HeaderValue {
    HeaderValue::from_static(status.as_str())
}

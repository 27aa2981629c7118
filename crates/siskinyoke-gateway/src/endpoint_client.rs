//! Sends requests to endpoints over this instance's own links.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use serde_json::json;

use crate::connection::Connection;
use crate::connection::SendOutcome;
use crate::event_log::EventLog;
use crate::pool::Pool;
use crate::pool::PoolKey;
use crate::pool::PooledConnection;
use crate::start_check::StartCheck;
use crate::start_check::StartError;
use siskinyoke_dispatch::Endpoint;
use siskinyoke_interface::Exchange;

/// A request as it is sent to endpoints and relays.
pub type OutgoingRequest = Request<Full<Bytes>>;

/// Result of sending a request to an endpoint.
#[derive(Debug)]
pub enum Reply {
    /// The response head, and the connection that delivers its body.
    Head(Response<Incoming>, PooledConnection),
    /// No connection could be established; nothing was sent.
    ConnectFailed,
    /// The endpoint's address refused the connection; nothing was sent.
    ConnectRefused,
    /// No relay took the request; nothing was sent.
    RelayFailed,
    /// It was not confirmed that the endpoint is the start that its entry names; nothing was sent.
    Unverified(StartError),
    /// The connection to the endpoint broke after data was sent; the request may have run.
    ConnectionLost,
    /// The response was to another request; the request may have run.
    Mismatched,
    /// The connection broke on the way to the endpoint; the request may have run.
    LinkLost,
}

/// The number of connections over which a start is verified for one request. Endpoints sometimes
/// close one after a response.
const MAX_VERIFIED_CONNECTIONS: usize = 2;

/// Whether a request may be sent over a connection that has been used before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reuse {
    /// It may.
    Allowed,
    /// It needs a new connection, as the attempt before may have failed because of an old one.
    Denied,
    /// It needs a new connection to the start of the endpoint that its entry names, as it goes on
    /// with a stream that began at that version.
    Verified,
}

impl Reuse {
    /// Returns `Denied` if `denied` is set, and `Allowed` otherwise.
    pub fn denied_if(denied: bool) -> Self {
        if denied { Self::Denied } else { Self::Allowed }
    }
}

/// Sends requests to endpoints over this instance's own links.
#[derive(Debug)]
pub struct EndpointClient {
    pool: Rc<Pool>,
    exchange: Rc<dyn Exchange>,
    log: EventLog,
    source: IpAddr,
}

impl EndpointClient {
    /// Creates a client whose connections leave from `source`.
    pub fn new(pool: Rc<Pool>, exchange: Rc<dyn Exchange>, log: EventLog, source: IpAddr) -> Self {
        Self {
            pool,
            exchange,
            log,
            source,
        }
    }

    /// Sends a request over an idle connection; returns the request if there is none, or if it needs
    /// a new one.
    ///
    /// A connection that the endpoint has closed in the meantime returns the request unsent; the
    /// next one is tried then.
    ///
    /// # Errors
    ///
    /// The request, which was not sent.
    pub async fn send_pooled(
        &self,
        endpoint: &Endpoint,
        mut request: OutgoingRequest,
        reuse: Reuse,
    ) -> Result<Reply, OutgoingRequest> {
        if reuse != Reuse::Allowed {
            return Err(request);
        }
        let key = PoolKey::Endpoint(endpoint.key());
        while let Some(mut pooled) = self.pool.take(key) {
            match pooled.connection.send(request).await {
                SendOutcome::Head(response) => return Ok(Reply::Head(response, pooled)),
                SendOutcome::NotSent(unsent) => request = *unsent,
                SendOutcome::ConnectionLost(err) => return Ok(self.lost(endpoint, &err)),
            }
        }
        Err(request)
    }

    /// Sends a request over a new connection.
    pub async fn send_new(
        &self,
        endpoint: &Endpoint,
        request: OutgoingRequest,
        reuse: Reuse,
    ) -> Reply {
        let connection = match self.connect_verified(endpoint, reuse).await {
            Ok(Some(connection)) => Ok(connection),
            Ok(None) => self.connect(endpoint).await,
            Err(reply) => Err(reply),
        };
        match connection {
            Ok(connection) => self.send_over(endpoint, request, connection).await,
            Err(reply) => reply,
        }
    }

    /// Opens a connection on which the endpoint has confirmed its start; returns `None` if the
    /// request needs none, or the endpoint's entry or the protocol states no starts.
    ///
    /// # Errors
    ///
    /// That there is no such connection.
    pub async fn connect_verified(
        &self,
        endpoint: &Endpoint,
        reuse: Reuse,
    ) -> Result<Option<PooledConnection>, Reply> {
        let check = StartCheck::new(&*self.exchange, endpoint);
        let Some(check) = check.filter(|_| reuse == Reuse::Verified) else {
            return Ok(None);
        };
        for _ in 0..MAX_VERIFIED_CONNECTIONS {
            let mut pooled = self.connect(endpoint).await?;
            match check.run(&mut pooled.connection).await {
                Ok(()) => return Ok(Some(pooled)),
                Err(StartError::ConnectionClosed) => {}
                Err(err) => return Err(self.unverified(endpoint, err)),
            }
        }
        Err(self.unverified(endpoint, StartError::ConnectionClosed))
    }

    /// Sends a request over a connection that was opened for it.
    pub async fn send_over(
        &self,
        endpoint: &Endpoint,
        request: OutgoingRequest,
        mut pooled: PooledConnection,
    ) -> Reply {
        match pooled.connection.send(request).await {
            SendOutcome::Head(response) => Reply::Head(response, pooled),
            SendOutcome::NotSent(_) => Reply::ConnectFailed,
            SendOutcome::ConnectionLost(err) => self.lost(endpoint, &err),
        }
    }

    async fn connect(&self, endpoint: &Endpoint) -> Result<PooledConnection, Reply> {
        let Ok(address) = endpoint.address.parse::<SocketAddr>() else {
            let fields = json!({
                "endpoint": &*endpoint.id,
                "address": &*endpoint.address,
                "hint": "an endpoint's address must be IP:PORT"
            });
            self.log.log("endpoint_address", fields);
            return Err(Reply::ConnectFailed);
        };
        match Connection::open_from(self.source, address).await {
            Ok(connection) => Ok(PooledConnection {
                connection,
                key: PoolKey::Endpoint(endpoint.key()),
            }),
            Err(err) => {
                let fields = json!({ "endpoint": &*endpoint.id, "error": err.to_string() });
                self.log.log("endpoint_unreached", fields);
                Err(if err.is_refusal() {
                    Reply::ConnectRefused
                } else {
                    Reply::ConnectFailed
                })
            }
        }
    }

    fn unverified(&self, endpoint: &Endpoint, err: StartError) -> Reply {
        let fields = json!({
            "endpoint": &*endpoint.id,
            "born": endpoint.started_ms,
            "reported": err.reported_start(),
            "version": &*endpoint.version,
            "error": err.to_string(),
        });
        self.log.log("endpoint_unverified", fields);
        Reply::Unverified(err)
    }

    fn lost(&self, endpoint: &Endpoint, err: &hyper::Error) -> Reply {
        let fields = json!({ "endpoint": &*endpoint.id, "error": err.to_string() });
        self.log.log("endpoint_broken", fields);
        Reply::ConnectionLost
    }
}

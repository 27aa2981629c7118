//! HTTP client for the store, also used for calls between peers.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use quick_error::quick_error;
use tokio::time::timeout;

use crate::connection::ConnectError;
use crate::connection::Connection;
use crate::connection::SendOutcome;
use crate::transfer::Transfer;
use siskinyoke_base::Millis;
use siskinyoke_interface::Batch;
use siskinyoke_interface::Call;
use siskinyoke_interface::FormatError;
use siskinyoke_interface::Store;

quick_error! {
    /// Why a call failed.
    #[derive(Debug)]
    pub enum StoreError {
        /// The connection could not be established.
        Connect(err: ConnectError) {
            display("{err}")
            source(err)
            from()
        }
        /// The connection was lost; a write may have taken effect.
        ConnectionLost(err: hyper::Error) {
            display("connection lost: {err}")
            source(err)
            from()
        }
        /// No complete response arrived in time; a write may have taken effect.
        NoReply {
            display("no complete response within the time limit")
        }
        /// The response has an error status.
        Status(status: StatusCode) {
            display("response has error status {status}")
        }
        /// The response cannot be decoded.
        Format(err: FormatError) {
            display("{err}")
            source(err)
            from()
        }
    }
}

/// A client that keeps one connection open between calls.
#[derive(Debug, Default)]
pub struct Client {
    connection: Option<(SocketAddr, Connection)>,
    transfer: Transfer,
}

impl Client {
    /// Returns how far the response to the last call has arrived.
    pub fn transfer(&self) -> Transfer {
        self.transfer
    }

    /// Makes a call and returns the body of a successful response.
    ///
    /// If the kept connection turns out to be closed before anything was sent, the call is retried
    /// once on a new one.
    ///
    /// # Errors
    ///
    /// If the call fails or the response has an error status. The connection is reused only after a
    /// complete response.
    pub async fn call(
        &mut self,
        address: SocketAddr,
        call: &Call,
        limit: Millis,
    ) -> Result<Bytes, StoreError> {
        let complete = |bytes: &[u8], ended: bool| Ok(ended.then(|| Bytes::copy_from_slice(bytes)));
        self.call_until(address, call, limit, complete).await
    }

    /// Waits until the store has sent a complete batch of changes.
    ///
    /// # Errors
    ///
    /// As for [`Self::call`]. However, if the store sends nothing on an open watch while nothing
    /// changes, reaching the limit is no error and yields an empty batch.
    pub async fn watch(
        &mut self,
        address: SocketAddr,
        call: &Call,
        limit: Millis,
        store: &dyn Store,
    ) -> Result<Batch, StoreError> {
        let opened = Cell::new(false);
        let decode = |bytes: &[u8], ended: bool| {
            opened.set(true);
            store.decode_watch(bytes, ended)
        };
        match self.call_until(address, call, limit, decode).await {
            Err(StoreError::NoReply) if store.idle_watch_is_silent() && opened.get() => {
                Ok(Batch::default())
            }
            other => other,
        }
    }

    // Makes a call within a time limit. `decode` gets the body received so far and whether it is
    // complete, and returns the result once it can be decoded.
    async fn call_until<T>(
        &mut self,
        address: SocketAddr,
        call: &Call,
        limit: Millis,
        decode: impl Fn(&[u8], bool) -> Result<Option<T>, FormatError>,
    ) -> Result<T, StoreError> {
        self.transfer = Transfer::begin();
        let limit = Duration::from(limit);
        let result = timeout(limit, self.send_call(address, call, decode)).await;
        let Ok(result) = result else {
            self.connection = None;
            return Err(StoreError::NoReply);
        };
        if !matches!(result, Ok(_) | Err(StoreError::Status(_))) {
            self.connection = None;
        }
        result
    }

    // Sends a call over the kept connection or a new one, and reads the response.
    async fn send_call<T>(
        &mut self,
        address: SocketAddr,
        call: &Call,
        decode: impl Fn(&[u8], bool) -> Result<Option<T>, FormatError>,
    ) -> Result<T, StoreError> {
        let (connected_to, mut connection) = match self.connection.take() {
            Some((connected_to, open)) if connected_to == address && open.is_ready() => {
                (connected_to, open)
            }
            _ => (address, Connection::open(address).await?),
        };
        let response = match connection.send(encode(address, call)).await {
            SendOutcome::Head(response) => response,
            SendOutcome::ConnectionLost(err) => return Err(err.into()),
            SendOutcome::NotSent(request) => {
                connection = Connection::open(address).await?;
                match connection.send(*request).await {
                    SendOutcome::Head(response) => response,
                    SendOutcome::ConnectionLost(err) => return Err(err.into()),
                    SendOutcome::NotSent(_) => return Err(StoreError::NoReply),
                }
            }
        };
        self.transfer.head_arrived();
        let status = response.status();
        let mut body = response.into_body();
        let mut bytes = BytesMut::new();
        while let Some(frame) = body.frame().await {
            bytes.extend_from_slice(frame?.data_ref().unwrap_or(&Bytes::new()));
            self.transfer.record(bytes.len());
            if status.is_success()
                && let Some(value) = decode(&bytes, false)?
            {
                return Ok(value);
            }
        }
        if connection.wait_ready().await {
            self.connection = Some((connected_to, connection));
        }
        if !status.is_success() {
            return Err(StoreError::Status(status));
        }
        decode(&bytes, true)?.ok_or(StoreError::NoReply)
    }
}

fn encode(address: SocketAddr, call: &Call) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(Bytes::from(call.body.clone())));
    *request.method_mut() = call.method.parse().unwrap_or_default();
    // Paths consist of fixed words and numbers; an invalid one would fall back to the root.
    *request.uri_mut() = call.path.parse().unwrap_or_default();
    let headers = request.headers_mut();
    if let Ok(host) = http::HeaderValue::from_str(&address.to_string()) {
        headers.insert(http::header::HOST, host);
    }
    if !call.body.is_empty() {
        let json = http::HeaderValue::from_static("application/json");
        headers.insert(http::header::CONTENT_TYPE, json);
    }
    request
}

//! HTTP client for the store, also used for calls between peers.

use std::net::SocketAddr;

use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderMap;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Body;
use hyper::body::Incoming;
use quick_error::quick_error;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::connection::ConnectError;
use crate::connection::Connection;
use crate::connection::SendOutcome;
use crate::shell::Shell;
use crate::transfer::Transfer;
use siskinyoke_base::Millis;
use siskinyoke_interface::Batch;
use siskinyoke_interface::Call;
use siskinyoke_interface::FormatError;

/// Maximum time without any byte of a response that has begun.
///
/// A narrow link that carries other traffic too delivers bytes every few milliseconds.
const MAX_BODY_GAP: Millis = Millis(700);

/// Maximum size of the body of a response. The longest in use hold a value of about 1 MiB.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

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
        /// No response arrived in time, or the rest of one did not; a write may have taken effect.
        NoReply {
            display("no complete response within the time limit")
        }
        /// The response is longer than any that the store may send.
        TooLarge {
            display("response has more than {MAX_RESPONSE_BYTES} bytes")
        }
        /// The response has an error status.
        Status(status: StatusCode) {
            display("response has error status {status}")
        }
        /// The response belongs to an earlier history of the store, or to none that is plausible.
        WrongEra {
            display("response belongs to an earlier history of the store")
        }
        /// The response cannot be decoded.
        Format(err: FormatError) {
            display("{err}")
            source(err)
            from()
        }
    }
}

/// A successful response whose body is still to be received.
#[derive(Debug)]
pub struct OpenResponse {
    address: SocketAddr,
    connection: Connection,
    body: Incoming,
    bytes: BytesMut,
    transfer: Transfer,
    // The size of the body in bytes as far as known: as announced, or what has arrived.
    size: watch::Sender<u64>,
}

impl OpenResponse {
    /// Returns the size of the body in bytes as far as known, which grows while the body arrives if
    /// the head does not announce it.
    pub fn size(&self) -> watch::Receiver<u64> {
        self.size.subscribe()
    }
}

/// A client that keeps one connection open between calls.
#[derive(Debug, Default)]
pub struct Client {
    connection: Option<(SocketAddr, Connection)>,
    transfer: Transfer,
    headers: HeaderMap,
}

impl Client {
    /// Returns whether the head of a response to the last call has arrived.
    pub fn has_response(&self) -> bool {
        !self.headers.is_empty()
    }

    /// Returns the headers of the last response, whatever its status.
    pub fn headers(&self) -> &HeaderMap {
        &self.headers
    }

    /// Returns how far the response to the last call has arrived.
    pub fn transfer(&self) -> Transfer {
        self.transfer
    }

    /// Makes a call and returns the body of a successful response, which has to begin within the
    /// time limit.
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
        let response = self.open(address, call, limit).await?;
        self.read(response).await
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
        shell: &Shell,
    ) -> Result<Batch, StoreError> {
        let response = self.open(address, call, limit).await?;
        self.read_watch(response, limit, shell).await
    }

    /// Makes a call and waits for the head of a successful response.
    ///
    /// # Errors
    ///
    /// As for [`Self::call`].
    pub async fn open(
        &mut self,
        address: SocketAddr,
        call: &Call,
        limit: Millis,
    ) -> Result<OpenResponse, StoreError> {
        self.transfer = Transfer::begin();
        self.headers.clear();
        let connection = self.connection.take();
        let sent = timeout(limit.into(), send_call(connection, address, call)).await;
        let Ok(sent) = sent else {
            return Err(StoreError::NoReply);
        };
        let (response, connection) = sent?;
        self.transfer.head_arrived();
        self.headers.clone_from(response.headers());
        let status = response.status();
        let body = response.into_body();
        let response = OpenResponse {
            address,
            connection,
            size: watch::Sender::new(body.size_hint().lower()),
            body,
            bytes: BytesMut::new(),
            transfer: self.transfer,
        };
        if status.is_success() {
            return Ok(response);
        }
        self.read(response).await?;
        Err(StoreError::Status(status))
    }

    /// Receives the rest of a response.
    ///
    /// A response that keeps arriving is never given up for the time that it takes, as it would only be
    /// requested again over the same link, but for its size.
    ///
    /// # Errors
    ///
    /// If the connection is lost, nothing arrives for a while, or the response is too large.
    pub async fn read(&mut self, mut response: OpenResponse) -> Result<Bytes, StoreError> {
        while self.receive(&mut response, MAX_BODY_GAP).await? {}
        Ok(self.complete(response).await)
    }

    /// Receives the rest of a response to a watch; `limit` is the time that the store may be silent
    /// on an open watch.
    ///
    /// # Errors
    ///
    /// As for [`Self::watch`].
    pub async fn read_watch(
        &mut self,
        mut response: OpenResponse,
        limit: Millis,
        shell: &Shell,
    ) -> Result<Batch, StoreError> {
        let store = &*shell.interface.store;
        let era = shell.check_era(&self.headers)?;
        let silent = store.idle_watch_is_silent();
        let max_gap = if silent { limit } else { MAX_BODY_GAP };
        loop {
            match self.receive(&mut response, max_gap).await {
                Ok(true) => {}
                Ok(false) => break,
                Err(StoreError::NoReply) if silent => return Ok(Batch::default()),
                Err(err) => return Err(err),
            }
            if let Some(batch) = store.decode_watch(&response.bytes, false, era)? {
                return Ok(batch);
            }
        }
        let bytes = self.complete(response).await;
        store
            .decode_watch(&bytes, true, era)?
            .ok_or(StoreError::NoReply)
    }

    // Receives the next part of a body, and returns whether there was one.
    async fn receive(
        &mut self,
        response: &mut OpenResponse,
        max_gap: Millis,
    ) -> Result<bool, StoreError> {
        let Ok(frame) = timeout(max_gap.into(), response.body.frame()).await else {
            return Err(StoreError::NoReply);
        };
        let Some(frame) = frame else {
            return Ok(false);
        };
        if let Some(data) = frame?.data_ref() {
            if response.bytes.len() + data.len() > MAX_RESPONSE_BYTES {
                return Err(StoreError::TooLarge);
            }
            response.bytes.extend_from_slice(data);
        }
        response.transfer.record(response.bytes.len());
        let arrived = response.transfer.bytes();
        response.size.send_modify(|size| *size = arrived.max(*size));
        self.transfer = response.transfer;
        Ok(true)
    }

    // Keeps the connection of a complete response for the next call, and returns the body.
    async fn complete(&mut self, mut response: OpenResponse) -> Bytes {
        if response.connection.wait_ready().await {
            self.connection = Some((response.address, response.connection));
        }
        response.bytes.freeze()
    }
}

// Sends a call over an open connection to the address or a new one, and waits for the head of the
// response.
async fn send_call(
    open: Option<(SocketAddr, Connection)>,
    address: SocketAddr,
    call: &Call,
) -> Result<(http::Response<Incoming>, Connection), StoreError> {
    let open = open.filter(|it| it.0 == address && it.1.is_ready());
    let mut connection = match open {
        Some((_, connection)) => connection,
        None => Connection::open(address).await?,
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
    Ok((response, connection))
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

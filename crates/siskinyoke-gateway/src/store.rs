//! The client of the store.

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
use siskinyoke_base::Millis;
use siskinyoke_interface::Batch;
use siskinyoke_interface::Call;
use siskinyoke_interface::FormatError;
use siskinyoke_interface::Store;

quick_error! {
    /// Why a call of the store brought no answer to use.
    #[derive(Debug)]
    pub enum StoreError {
        /// No connection could be made.
        Connect(err: ConnectError) {
            display("{err}")
            source(err)
            from()
        }
        /// The connection broke; a write may have taken effect.
        ConnectionLost(err: hyper::Error) {
            display("the connection broke: {err}")
            source(err)
            from()
        }
        /// No answer came in time; a write may have taken effect.
        NoReply {
            display("no answer in time")
        }
        /// It answered with a failure.
        Status(status: StatusCode) {
            display("answered {status}")
        }
        /// Its answer cannot be understood.
        Format(err: FormatError) {
            display("{err}")
            source(err)
            from()
        }
    }
}

/// A client of the store that keeps one connection.
#[derive(Debug, Default)]
pub struct Client {
    connection: Option<(SocketAddr, Connection)>,
}

impl Client {
    /// Makes a call and returns the body of a success.
    ///
    /// A call whose connection was found closed before anything was sent is made once more.
    ///
    /// # Errors
    ///
    /// Why there is none; the connection is not used again after a doubt.
    pub async fn call(
        &mut self,
        address: SocketAddr,
        call: &Call,
        limit: Millis,
    ) -> Result<Bytes, StoreError> {
        let complete = |bytes: &[u8], ended: bool| Ok(ended.then(|| Bytes::copy_from_slice(bytes)));
        self.call_until(address, call, limit, complete).await
    }

    /// Waits for changes until the store says that they are whole.
    ///
    /// # Errors
    ///
    /// As [`Self::call`]; the limit is no failure where watches are quiet while nothing changes.
    pub async fn watch(
        &mut self,
        address: SocketAddr,
        call: &Call,
        limit: Millis,
        store: &dyn Store,
    ) -> Result<Batch, StoreError> {
        let opened = Cell::new(false);
        let read = |bytes: &[u8], ended: bool| {
            opened.set(true);
            store.decode_watch(bytes, ended)
        };
        match self.call_until(address, call, limit, read).await {
            Err(StoreError::NoReply) if store.quiet_watch() && opened.get() => Ok(Batch::default()),
            other => other,
        }
    }

    async fn call_until<T>(
        &mut self,
        address: SocketAddr,
        call: &Call,
        limit: Millis,
        read: impl Fn(&[u8], bool) -> Result<Option<T>, FormatError>,
    ) -> Result<T, StoreError> {
        let limit = Duration::from(limit);
        let result = timeout(limit, self.exchange(address, call, read)).await;
        let Ok(result) = result else {
            self.connection = None;
            return Err(StoreError::NoReply);
        };
        if !matches!(result, Ok(_) | Err(StoreError::Status(_))) {
            self.connection = None;
        }
        result
    }

    async fn exchange<T>(
        &mut self,
        address: SocketAddr,
        call: &Call,
        read: impl Fn(&[u8], bool) -> Result<Option<T>, FormatError>,
    ) -> Result<T, StoreError> {
        let (at, mut connection) = match self.connection.take() {
            Some((at, open)) if at == address && open.is_ready() => (at, open),
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
        let status = response.status();
        let mut body = response.into_body();
        let mut bytes = BytesMut::new();
        while let Some(frame) = body.frame().await {
            bytes.extend_from_slice(frame?.data_ref().unwrap_or(&Bytes::new()));
            if status.is_success()
                && let Some(answer) = read(&bytes, false)?
            {
                return Ok(answer);
            }
        }
        if connection.wait_ready().await {
            self.connection = Some((at, connection));
        }
        if !status.is_success() {
            return Err(StoreError::Status(status));
        }
        read(&bytes, true)?.ok_or(StoreError::NoReply)
    }
}

fn encode(address: SocketAddr, call: &Call) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(Bytes::from(call.body.clone())));
    *request.method_mut() = call.method.parse().unwrap_or_default();
    // Paths are made of fixed words and numbers; one that is no path asks for the root.
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

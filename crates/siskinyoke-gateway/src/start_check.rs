//! Checks that the process at the other end of a connection is the start of an endpoint that its
//! entry names.
//!
//! An endpoint may start again under its ID and address with another version of its software, and
//! its entry in the store still names the start before. A connection belongs to one process, so what
//! an endpoint says of itself there holds for the requests that follow on the same connection.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Request;
use http::Uri;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use quick_error::quick_error;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::connection::Connection;
use crate::connection::SendOutcome;
use crate::pool::MIN_IDLE_TIME;
use siskinyoke_dispatch::Endpoint;
use siskinyoke_interface::Exchange;
use siskinyoke_interface::headers;

/// Time within which an endpoint has to report.
///
/// A report needs no slot, so that a loaded endpoint responds as fast as an idle one.
const REPORT_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum size of a report. It may list the requests that the endpoint runs.
const MAX_REPORT_BYTES: usize = 256 * 1024;

quick_error! {
    /// Why the start of an endpoint is not confirmed.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum StartError {
        /// Another start responds at its address.
        OtherStart(started_ms: u64) {
            display("another start responds: {started_ms}")
        }
        /// The report states no start.
        NoStart {
            display("the report states no start")
        }
        /// No report arrived in time.
        TimedOut {
            display("no report arrived within {REPORT_TIMEOUT:?}")
        }
        /// The connection was closed before the request could be sent.
        ConnectionClosed {
            display("the connection was closed")
        }
        /// A relay has not confirmed it.
        NotRelayed {
            display("the start was not confirmed at a relay")
        }
    }
}

impl StartError {
    /// Returns the start that the endpoint reported, if that is another one.
    pub fn reported_start(self) -> Option<u64> {
        match self {
            Self::OtherStart(started_ms) => Some(started_ms),
            Self::NoStart | Self::TimedOut | Self::ConnectionClosed | Self::NotRelayed => None,
        }
    }
}

/// A check of the start of an endpoint.
#[derive(Debug)]
pub struct StartCheck<'a> {
    exchange: &'a dyn Exchange,
    endpoint: &'a Endpoint,
    report_path: &'static str,
}

impl<'a> StartCheck<'a> {
    /// Creates the check of an endpoint, unless its entry or the protocol states no starts.
    pub fn new(exchange: &'a dyn Exchange, endpoint: &'a Endpoint) -> Option<Self> {
        let report_path = exchange.report_path()?;
        (endpoint.started_ms != 0).then_some(Self {
            exchange,
            endpoint,
            report_path,
        })
    }

    /// Checks which start responds on a connection, which takes another request afterwards.
    ///
    /// # Errors
    ///
    /// Why the start is not confirmed; the connection must not be used.
    pub async fn run(&self, connection: &mut Connection) -> Result<(), StartError> {
        let reading = timeout(REPORT_TIMEOUT, self.read_report(connection));
        let report = reading.await.unwrap_or(Err(StartError::TimedOut))?;
        let started_ms = self.exchange.decode_start(&report);
        let started_ms = started_ms.ok_or(StartError::NoStart)?;
        if started_ms != self.endpoint.started_ms {
            return Err(StartError::OtherStart(started_ms));
        }
        // A duplicate of the report would be taken for the response to the request.
        sleep(MIN_IDLE_TIME.into()).await;
        if connection.is_ready() {
            Ok(())
        } else {
            Err(StartError::ConnectionClosed)
        }
    }

    async fn read_report(&self, connection: &mut Connection) -> Result<Bytes, StartError> {
        let SendOutcome::Head(response) = connection.send(self.request()).await else {
            return Err(StartError::ConnectionClosed);
        };
        let closes = headers::closes_connection(response.headers());
        if !response.status().is_success() {
            return Err(StartError::NoStart);
        }
        let body = Limited::new(response.into_body(), MAX_REPORT_BYTES);
        let body = body.collect().await;
        let body = body.map_err(|_| StartError::ConnectionClosed)?;
        if closes {
            return Err(StartError::ConnectionClosed);
        }
        Ok(body.to_bytes())
    }

    fn request(&self) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(Bytes::new()));
        *request.uri_mut() = Uri::from_static(self.report_path);
        if let Ok(host) = HeaderValue::from_str(&self.endpoint.address) {
            request.headers_mut().insert(header::HOST, host);
        }
        request
    }
}

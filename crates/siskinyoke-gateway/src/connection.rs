//! One connection over which we call: to an endpoint, the store or a peer.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use hyper::client::conn::http1::handshake;
use hyper_util::rt::TokioIo;
use quick_error::quick_error;
use rustix::net::sockopt::set_tcp_user_timeout;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// How long a connection may take to be made.
///
/// Two data centres are some three milliseconds apart there and back; a machine that is down
/// behind a cut never answers, and an opening packet that was dropped is sent again after a
/// second only.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// How long sent bytes may stay unacknowledged before the connection counts as dead, in ms.
///
/// A cut link drops packets in silence; without it a connection hangs for minutes.
const TCP_USER_TIMEOUT_MS: u32 = 2_000;

quick_error! {
    /// Why a connection could not be made.
    #[derive(Debug)]
    pub enum ConnectError {
        /// The machine refused it, or there is no way to it.
        Io(err: std::io::Error) {
            display("no connection: {err}")
            source(err)
            from()
        }
        /// It took too long.
        TimedOut {
            display("no connection within {CONNECT_TIMEOUT:?}")
        }
        /// It was closed at once.
        Handshake(err: hyper::Error) {
            display("closed at once: {err}")
            source(err)
            from()
        }
    }
}

/// One connection over which we call, closed when it is dropped.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
}

/// What came of sending a request.
#[derive(Debug)]
pub enum SendOutcome {
    /// The head of the answer.
    Head(http::Response<hyper::body::Incoming>),
    /// Nothing of the request left this process; here it is again.
    NotSent(Box<Request<Full<Bytes>>>),
    /// The connection broke after the request, or a part of it, had left.
    ConnectionLost(hyper::Error),
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Why it could not be made; nothing was sent.
    pub async fn open(address: SocketAddr) -> Result<Self, ConnectError> {
        let Ok(stream) = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await else {
            return Err(ConnectError::TimedOut);
        };
        let stream = stream?;
        stream.set_nodelay(true)?;
        set_tcp_user_timeout(&stream, TCP_USER_TIMEOUT_MS).map_err(std::io::Error::from)?;
        let (sender, connection) = handshake(TokioIo::new(stream)).await?;
        let task = tokio::task::spawn_local(async move {
            // Its end shows in the call that used it, or the pool drops it unused.
            drop(connection.await);
        });
        Ok(Self { sender, task })
    }

    /// Sends a request and waits for the head of its answer.
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> SendOutcome {
        match self.sender.try_send_request(request).await {
            Ok(response) => SendOutcome::Head(response),
            Err(mut err) => match err.take_message() {
                Some(request) => SendOutcome::NotSent(Box::new(request)),
                None => SendOutcome::ConnectionLost(err.into_error()),
            },
        }
    }

    /// Returns whether another request may be sent now.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready() && !self.sender.is_closed()
    }

    /// Waits until another request may be sent, and returns whether it ever may.
    pub async fn wait_ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

//! Client connections to endpoints, the store and peers.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use quick_error::quick_error;
use rustix::net::sockopt::set_socket_send_buffer_size;
use rustix::net::sockopt::set_tcp_user_timeout;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::limited_stream::LimitedStream;
use crate::limited_stream::StreamState;

/// Time within which a connection must be established.
///
/// The round trip between two data centres takes about 3 ms. A host that is down or cut off never
/// responds, and a lost SYN packet is sent again only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Time that sent data may stay unacknowledged before the connection is closed.
///
/// A network partition drops packets silently, and without this limit a connection hangs for
/// minutes.
const TCP_USER_TIMEOUT_MS: u32 = 2_000;

/// Size of the send buffer towards an endpoint.
///
/// What is in the buffer counts as sent, although the endpoint may not have read it.
const SEND_BUFFER_BYTES: usize = 64 * 1024;

/// Size up to which the read buffer grows, which bounds the heads of responses.
const MAX_READ_BUFFER_BYTES: usize = 128 * 1024;

quick_error! {
    /// Failure to establish a connection.
    #[derive(Debug)]
    pub enum ConnectError {
        /// The host refused the connection or is unreachable.
        Io(err: std::io::Error) {
            display("connection failed: {err}")
            source(err)
            from()
        }
        /// The connection was not established in time.
        TimedOut {
            display("connection timed out after {CONNECT_TIMEOUT:?}")
        }
        /// The HTTP connection could not be set up.
        Handshake(err: hyper::Error) {
            display("HTTP handshake failed: {err}")
            source(err)
            from()
        }
    }
}

impl ConnectError {
    /// Returns whether the host responded that nothing listens at the address.
    pub fn is_refusal(&self) -> bool {
        matches!(self, Self::Io(err) if err.kind() == std::io::ErrorKind::ConnectionRefused)
    }
}

/// A client connection, closed on drop.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: Box<Driver>,
}

// The task that sends and receives.
#[derive(Debug)]
struct Driver {
    task: JoinHandle<()>,
    state: StreamState,
}

/// Outcome of sending a request over a connection.
#[derive(Debug)]
pub enum SendOutcome {
    /// The response head.
    Head(http::Response<hyper::body::Incoming>),
    /// Nothing was sent; returns the request.
    NotSent(Box<Request<Full<Bytes>>>),
    /// The connection broke after all or part of the request was sent.
    ConnectionLost(hyper::Error),
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Why it could not be established; nothing was sent.
    pub async fn open(address: SocketAddr) -> Result<Self, ConnectError> {
        let stream = connect(TcpStream::connect(address)).await?;
        configure(&stream)?;
        Self::over(stream, StreamState::default()).await
    }

    /// Opens a connection from an IP address of this machine, by which the other side can tell this
    /// instance from others on the same machine.
    ///
    /// The connection fails once too many bytes of a response arrive for which
    /// [`Self::body_received`] is not called.
    ///
    /// # Errors
    ///
    /// Why it could not be established; nothing was sent.
    pub async fn open_from(source: IpAddr, address: SocketAddr) -> Result<Self, ConnectError> {
        let socket = bound_socket(source, address)?;
        let stream = connect(socket.connect(address)).await?;
        configure(&stream)?;
        let limited = set_socket_send_buffer_size(&stream, SEND_BUFFER_BYTES);
        limited.map_err(std::io::Error::from)?;
        let state = StreamState::default();
        let limited = LimitedStream::new(stream, state.clone());
        Self::over(limited, state).await
    }

    async fn over(
        stream: impl AsyncRead + AsyncWrite + Unpin + 'static,
        state: StreamState,
    ) -> Result<Self, ConnectError> {
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_READ_BUFFER_BYTES);
        let (sender, connection) = builder.handshake(TokioIo::new(stream)).await?;
        let task = tokio::task::spawn_local(async move {
            // An error also fails the request in flight; idle connections are dropped by the pool.
            drop(connection.await);
        });
        let driver = Box::new(Driver { task, state });
        Ok(Self { sender, driver })
    }

    /// Sends a request and waits for the response head.
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> SendOutcome {
        self.driver.state.framing.begin_response();
        match self.sender.try_send_request(request).await {
            Ok(response) => SendOutcome::Head(response),
            Err(mut err) => match err.take_message() {
                Some(request) => SendOutcome::NotSent(Box::new(request)),
                None => SendOutcome::ConnectionLost(err.into_error()),
            },
        }
    }

    /// Records that bytes of the body of a response were received.
    pub fn body_received(&self, bytes: usize) {
        self.driver.state.framing.body_received(bytes);
    }

    /// Returns whether another request can be sent now.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready() && !self.sender.is_closed() && !self.has_unsent_bytes()
    }

    /// Returns whether a part of the last request has not been sent, as the other side has
    /// responded before it has read everything. A further request would wait behind it.
    pub fn has_unsent_bytes(&self) -> bool {
        self.driver.state.unsent.any()
    }

    /// Waits until another request can be sent; returns `false` if the connection was closed.
    pub async fn wait_ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }
}

// Waits until a connection is established, up to the time limit.
async fn connect(
    connecting: impl Future<Output = std::io::Result<TcpStream>>,
) -> Result<TcpStream, ConnectError> {
    match timeout(CONNECT_TIMEOUT, connecting).await {
        Ok(stream) => Ok(stream?),
        Err(_) => Err(ConnectError::TimedOut),
    }
}

fn configure(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    Ok(set_tcp_user_timeout(stream, TCP_USER_TIMEOUT_MS)?)
}

// Returns a socket for a connection from `source`, if that is of the address's family.
fn bound_socket(source: IpAddr, address: SocketAddr) -> std::io::Result<TcpSocket> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    if source.is_ipv4() == address.is_ipv4() {
        socket.bind(SocketAddr::new(source, 0))?;
    }
    Ok(socket)
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.task.abort();
    }
}

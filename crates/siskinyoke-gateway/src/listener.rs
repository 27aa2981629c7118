//! Accepts connections and serves requests on them.

use std::cell::Cell;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use http::Request;
use http::Response;
use http::Version;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use rustix::net::sockopt::set_socket_linger;
use rustix::net::sockopt::set_socket_send_buffer_size;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::admin;
use crate::callers;
use crate::peer_api;
use crate::relay::LinkLostError;
use crate::relay::Relay;
use crate::response::ResponseBody;
use crate::shell::Shell;
use siskinyoke_base::Millis;

/// How long callers' connections are accepted and kept open after this instance starts to shut
/// down.
///
/// Callers cache the directory for two seconds and may still send requests here during that time;
/// without the delay their connections would be refused or closed.
pub const DRAIN_PERIOD: Millis = Millis(2_500);

/// Idle timeout of connections before a configuration is known.
const DEFAULT_IDLE_TIMEOUT: Millis = Millis(15_000);

/// Size of the read buffer, which bounds request heads whatever limit is configured.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Size of the send buffer towards a peer.
///
/// The end of a transfer is noticed when the last part enters the buffer, so a large buffer would
/// let more transfers share the link than are meant to.
const PEER_SEND_BUFFER_BYTES: usize = 32 * 1024;

/// Delay before accepting again after the operating system reported an error.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// What a listener serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListenerKind {
    /// Requests of callers.
    Callers,
    /// Whether this instance accepts requests.
    Health,
    /// The directory of instances for callers.
    Directory,
    /// The metrics.
    Metrics,
    /// Store data for peers.
    PeerApi,
}

/// Accepts connections; a listener for callers stops at the end of the drain period.
pub async fn accept(shell: Rc<Shell>, listener: TcpListener, kind: ListenerKind) {
    let mut drained = pin!(drain_period_elapsed(shell.clone(), kind));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = &mut drained => return,
        };
        match accepted {
            Ok((stream, peer)) => {
                tokio::task::spawn_local(serve_connection(shell.clone(), stream, peer.ip(), kind));
            }
            Err(err) => {
                let fields = json!({
                    "error": err.to_string(),
                    "hint": "check the process's limit on open file descriptors",
                });
                shell.log("accept_failed", fields);
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Binds a listener.
///
/// # Errors
///
/// The I/O error, with the address in its message.
pub async fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    TcpListener::bind(address).await.map_err(|err| {
        std::io::Error::new(err.kind(), format!("cannot listen on {address}: {err}"))
    })
}

async fn serve_connection(shell: Rc<Shell>, stream: TcpStream, peer: IpAddr, kind: ListenerKind) {
    if let Err(err) = stream.set_nodelay(true) {
        shell.log("connection_option", json!({ "error": err.to_string() }));
    }
    if kind == ListenerKind::PeerApi
        && let Err(err) = set_socket_send_buffer_size(&stream, PEER_SEND_BUFFER_BYTES)
    {
        shell.log("connection_option", json!({ "error": err.to_string() }));
    }
    let guard = ConnectionGuard::new(&shell, kind);
    let tracker = Rc::new(ConnectionTracker::new(shell.now()));
    let service = service_fn(|request| {
        let shell = shell.clone();
        let tracker = tracker.clone();
        async move {
            tracker.request_started();
            let version = request.version();
            let response = handle(&shell, request, peer, kind).await;
            tracker.request_ended(shell.now());
            if let Ok(response) = &response {
                let version = response.version().min(version);
                tracker.ends_unmarked.set(version == Version::HTTP_10);
            }
            response
        }
    });
    let mut builder = http1::Builder::new();
    builder.max_buf_size(MAX_HEAD_BYTES).half_close(false);
    let mut serving = builder.serve_connection(TokioIo::new(stream), service);
    let mut drained = pin!(drain_period_elapsed(shell.clone(), kind));
    let mut closing = false;
    // Connection errors are not logged: the outcome of each request is logged separately.
    let result = loop {
        tokio::select! {
            result = &mut serving => break result,
            () = &mut drained, if !closing => {
                closing = true;
                Pin::new(&mut serving).graceful_shutdown();
            }
            () = idle_timeout(&shell, &tracker), if !closing => {
                closing = true;
                Pin::new(&mut serving).graceful_shutdown();
            }
        }
    };
    if result.is_err() && tracker.ends_unmarked.get() {
        let stream = serving.into_parts().io.into_inner();
        reset_on_close(&shell, &stream);
    }
    drop(guard);
}

async fn handle(
    shell: &Rc<Shell>,
    request: Request<Incoming>,
    peer: IpAddr,
    kind: ListenerKind,
) -> Result<Response<ResponseBody>, LinkLostError> {
    let response = match kind {
        ListenerKind::Callers => callers::serve(shell.clone(), request).await,
        ListenerKind::Health => admin::health(shell, &request),
        ListenerKind::Directory => admin::directory(shell, &request),
        ListenerKind::Metrics => admin::operators_page(shell, &request),
        ListenerKind::PeerApi if Relay::accepts(&request) => {
            return shell.relay.serve(peer, request).await;
        }
        ListenerKind::PeerApi => peer_api::serve(shell, &request).await,
    };
    Ok(response)
}

// Lets a connection end with a reset, as the regular end would mark the response as complete.
fn reset_on_close(shell: &Shell, stream: &TcpStream) {
    if let Err(err) = set_socket_linger(stream, Some(Duration::ZERO)) {
        shell.log("connection_option", json!({ "error": err.to_string() }));
    }
}

// Completes when connections of this kind are to be closed because this instance is shutting down.
async fn drain_period_elapsed(shell: Rc<Shell>, kind: ListenerKind) {
    if kind != ListenerKind::Callers {
        return std::future::pending().await;
    }
    while !shell.core.borrow().is_shutting_down() {
        shell.shutdown_started.notified().await;
    }
    sleep(DRAIN_PERIOD.into()).await;
}

// Completes when the connection has been idle for the configured time.
async fn idle_timeout(shell: &Shell, tracker: &ConnectionTracker) {
    loop {
        let limit = shell
            .core
            .borrow()
            .configuration()
            .map_or(DEFAULT_IDLE_TIMEOUT, |it| it.limits.keepalive_timeout);
        let idle_time = shell.now().since(tracker.idle_since.get());
        if !tracker.busy.get() && idle_time >= limit {
            return;
        }
        let delay = if tracker.busy.get() {
            limit
        } else {
            limit.since(idle_time)
        };
        sleep(delay.max(Millis(10)).into()).await;
    }
}

/// Tracks whether a connection serves a request, since when it is idle, and how its last response
/// ends.
#[derive(Debug)]
struct ConnectionTracker {
    idle_since: Cell<Millis>,
    busy: Cell<bool>,
    // Whether the last response ends with its connection.
    ends_unmarked: Cell<bool>,
}

impl ConnectionTracker {
    fn new(now: Millis) -> Self {
        Self {
            idle_since: Cell::new(now),
            busy: Cell::new(false),
            ends_unmarked: Cell::new(false),
        }
    }

    fn request_started(&self) {
        self.busy.set(true);
    }

    fn request_ended(&self, now: Millis) {
        self.busy.set(false);
        self.idle_since.set(now);
    }
}

/// Counts an open connection until it is dropped, if it is a caller's.
struct ConnectionGuard {
    shell: Rc<Shell>,
    counted: bool,
}

impl ConnectionGuard {
    fn new(shell: &Rc<Shell>, kind: ListenerKind) -> Self {
        let counted = kind == ListenerKind::Callers;
        shell
            .caller_connections
            .set(shell.caller_connections.get() + usize::from(counted));
        Self {
            shell: shell.clone(),
            counted,
        }
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.shell
            .caller_connections
            .set(self.shell.caller_connections.get() - usize::from(self.counted));
    }
}

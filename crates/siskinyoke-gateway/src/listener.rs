//! Accepts connections and serves requests on them.

use std::io::ErrorKind;
use std::io::Result;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use http::Request;
use http::Response;
use hyper::body::Incoming;
use hyper::service::service_fn;
use rustix::net::sockopt::set_socket_recv_buffer_size;
use rustix::net::sockopt::set_socket_send_buffer_size;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::admin;
use crate::callers;
use crate::connection_group::ConnectionGroup;
use crate::connection_limits::CloseReason;
use crate::connection_limits::ConnectionLimits;
use crate::kept_connection::KeptConnection;
use crate::kept_connection::MAX_HEAD_BYTES;
use crate::open_connections::OpenConnection;
use crate::peer_api;
use crate::relay::LinkLostError;
use crate::relay::Relay;
use crate::response;
use crate::response::ResponseBody;
use crate::shell::Shell;
use crate::signals;
use siskinyoke_base::Millis;

/// How long callers' connections are accepted and kept open after this instance starts to shut
/// down.
///
/// Callers cache the directory for two seconds and may still send requests here during that time;
/// without the delay their connections would be refused or closed.
pub const DRAIN_PERIOD: Millis = Millis(2_500);

/// Idle timeout of connections before a configuration is known.
const DEFAULT_IDLE_TIMEOUT: Millis = Millis(15_000);

/// Time limit for heads before a configuration is known.
const DEFAULT_HEAD_TIMEOUT: Millis = Millis(15_000);

/// Size of the send buffer towards a peer.
///
/// The end of a transfer is noticed when the last part enters the buffer, so a large buffer would
/// let more transfers share the link than are meant to.
const PEER_SEND_BUFFER_BYTES: usize = 32 * 1024;

/// Size of the buffers towards clients, which count towards no limit of this process.
const CLIENT_BUFFER_BYTES: usize = 64 * 1024;

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

impl ListenerKind {
    /// Returns the name in metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Callers => "callers",
            Self::Health => "health",
            Self::Directory => "directory",
            Self::Metrics => "metrics",
            Self::PeerApi => "peers",
        }
    }

    // Returns the connections with which those of this kind share a limit.
    const fn group(self) -> ConnectionGroup {
        match self {
            Self::Callers => ConnectionGroup::Callers,
            Self::Health | Self::Directory | Self::Metrics => ConnectionGroup::Pages,
            Self::PeerApi => ConnectionGroup::Peers,
        }
    }
}

/// Accepts connections; a listener for callers stops at the end of the drain period.
pub async fn accept(shell: Rc<Shell>, listener: TcpListener, kind: ListenerKind) {
    if kind == ListenerKind::Callers {
        shell.accepting_callers.set(true);
    }
    let mut drained = pin!(drain_period_elapsed(&shell, kind));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = &mut drained => break,
        };
        match accepted {
            Ok((stream, peer)) => {
                let open = tokio::select! {
                    // Where there is room, it is served even if the period has elapsed.
                    biased;
                    open = shell.clients.connections.add(kind.group()) => open,
                    () = &mut drained => break,
                };
                start_connection(&shell, open, stream, peer.ip(), kind);
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
    if let Err(err) = accept_waiting(&shell, listener, kind) {
        shell.log("accept_failed", json!({ "error": err.to_string() }));
    }
    shell.accepting_callers.set(false);
}

// Accepts the connections that clients have opened already and for which there is room. The others
// are reset.
fn accept_waiting(shell: &Rc<Shell>, listener: TcpListener, kind: ListenerKind) -> Result<()> {
    let listener = listener.into_std()?;
    loop {
        match listener.accept() {
            Ok((stream, peer)) => {
                stream.set_nonblocking(true)?;
                let stream = TcpStream::from_std(stream)?;
                let Some(open) = shell.clients.connections.try_add(kind.group()) else {
                    return Ok(());
                };
                start_connection(shell, open, stream, peer.ip(), kind);
            }
            Err(err) if err.kind() == ErrorKind::WouldBlock => return Ok(()),
            Err(err) => return Err(err),
        }
    }
}

/// Binds a listener.
///
/// # Errors
///
/// The I/O error, with the address in its message.
pub async fn bind(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address).await.map_err(|err| {
        std::io::Error::new(err.kind(), format!("cannot listen on {address}: {err}"))
    })
}

fn start_connection(
    shell: &Rc<Shell>,
    open: OpenConnection,
    stream: TcpStream,
    peer: IpAddr,
    kind: ListenerKind,
) {
    if let Err(err) = set_options(&stream, kind) {
        shell.log("connection_option", json!({ "error": err.to_string() }));
    }
    tokio::task::spawn_local(serve_connection(shell.clone(), open, stream, peer, kind));
}

fn set_options(stream: &TcpStream, kind: ListenerKind) -> Result<()> {
    stream.set_nodelay(true)?;
    let send_buffer = if kind == ListenerKind::PeerApi {
        PEER_SEND_BUFFER_BYTES
    } else {
        CLIENT_BUFFER_BYTES
    };
    set_socket_send_buffer_size(stream, send_buffer)?;
    set_socket_recv_buffer_size(stream, CLIENT_BUFFER_BYTES)?;
    Ok(())
}

async fn serve_connection(
    shell: Rc<Shell>,
    open: OpenConnection,
    stream: TcpStream,
    peer: IpAddr,
    kind: ListenerKind,
) {
    let shell = &shell;
    let service = service_fn(|request| {
        let shell = shell.clone();
        async move { handle(&shell, request, peer, kind).await }
    });
    let limits = || connection_limits(shell, kind);
    let refusal = |code| shell.interface.exchange.error_response(code);
    let activity = open.activity.clone();
    let connection = KeptConnection::new(limits, refusal, &shell.shutdown_started, activity);
    match connection.serve(stream, service).await {
        Ok(Some(reason)) => {
            if matches!(reason, CloseReason::NoRoom | CloseReason::Unread) {
                let fields = json!({
                    "listener": kind.as_str(),
                    "reason": reason.as_str(),
                    "peer": peer.to_string(),
                    "client_bytes": shell.clients.memory.held(),
                });
                shell.log("connection_closed", fields);
            }
            shell
                .metrics
                .record_closed_connection(kind.as_str(), reason.as_str());
        }
        Ok(None) => {}
        Err(err) => shell.log("connection_option", json!({ "error": err.to_string() })),
    }
}

fn connection_limits(shell: &Shell, kind: ListenerKind) -> ConnectionLimits {
    let core = shell.core.borrow();
    let limits = core.configuration().map(|it| it.limits);
    let drain_end = core.shutdown().map(|it| it.drain_end);
    ConnectionLimits {
        idle: limits.map_or(DEFAULT_IDLE_TIMEOUT, |it| it.keepalive_timeout),
        head: limits.map_or(DEFAULT_HEAD_TIMEOUT, |it| it.head_timeout),
        head_bytes: limits.map_or(MAX_HEAD_BYTES, |it| it.max_head),
        unread: shell.settings.borrow().unread_timeout(),
        drain_end: drain_end.filter(|_| kind == ListenerKind::Callers),
    }
}

async fn handle(
    shell: &Rc<Shell>,
    request: Request<Incoming>,
    peer: IpAddr,
    kind: ListenerKind,
) -> std::result::Result<Response<ResponseBody>, LinkLostError> {
    let response = match kind {
        ListenerKind::Callers => return Ok(callers::serve(shell.clone(), request).await),
        ListenerKind::Health => admin::health(shell, &request),
        ListenerKind::Directory => admin::directory(shell, &request),
        ListenerKind::Metrics => admin::operators_page(shell, &request),
        ListenerKind::PeerApi if Relay::accepts(&request) => {
            return shell.relay.serve(peer, request).await;
        }
        ListenerKind::PeerApi => peer_api::serve(shell, &request).await,
    };
    Ok(response::counted(response, &shell.clients.memory))
}

// Completes when connections of this kind are no longer accepted because this instance shuts down.
async fn drain_period_elapsed(shell: &Shell, kind: ListenerKind) {
    if kind != ListenerKind::Callers {
        return std::future::pending().await;
    }
    let shutdown = signals::shutdown(shell).await;
    sleep(shutdown.drain_end.since(shell.now()).into()).await;
}

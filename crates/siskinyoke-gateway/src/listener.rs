//! Accepts connections and serves the requests that come over them.

use std::cell::Cell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use http::Request;
use http::Response;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::admin;
use crate::answer::AnswerBody;
use crate::callers;
use crate::shell::Shell;
use siskinyoke_base::Millis;

/// How long connections stay open after this instance began to leave.
///
/// Callers keep the directory's answer for two seconds. Until then they may still send here, and
/// find a closed connection or none at all if we go sooner.
pub const LINGER: Millis = Millis(2_500);

/// How long an idle connection may stay before the configuration says how long.
const IDLE: Millis = Millis(15_000);

/// The longest head that is read, in bytes, if the configuration allows no longer one.
const HEAD: usize = 64 * 1024;

/// How long to wait after the system refused another connection.
const PAUSE: Duration = Duration::from_millis(20);

/// What a listener serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Page {
    /// Callers' requests.
    Callers,
    /// Whether this instance takes callers.
    Health,
    /// Which instances a caller should use.
    Directory,
    /// The metrics.
    Metrics,
    /// What peers hand to each other.
    PeerApi,
}

/// Accepts connections until this instance has left.
pub async fn accept(shell: Rc<Shell>, listener: TcpListener, page: Page) {
    let mut left = pin!(departed(shell.clone(), page));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = &mut left => return,
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::task::spawn_local(connection(shell.clone(), stream, page));
            }
            Err(err) => {
                let fields =
                    json!({ "error": err.to_string(), "hint": "are descriptors used up?" });
                shell.log("accept_failed", fields);
                sleep(PAUSE).await;
            }
        }
    }
}

/// Binds a listener.
///
/// # Errors
///
/// The system's reason, with the address.
pub async fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    TcpListener::bind(address).await.map_err(|err| {
        std::io::Error::new(err.kind(), format!("cannot listen on {address}: {err}"))
    })
}

async fn connection(shell: Rc<Shell>, stream: TcpStream, page: Page) {
    if let Err(err) = stream.set_nodelay(true) {
        shell.log("connection_option", json!({ "error": err.to_string() }));
    }
    let open = Open::new(&shell, page);
    let quiet = Rc::new(Quiet::new(shell.now()));
    let service = service_fn(|request| {
        let shell = shell.clone();
        let quiet = quiet.clone();
        async move {
            quiet.begin();
            let response = serve(&shell, request, page).await;
            quiet.end(shell.now());
            Ok::<_, Infallible>(response)
        }
    });
    let mut builder = http1::Builder::new();
    builder
        .max_buf_size(HEAD)
        .half_close(false)
        .pipeline_flush(true);
    let mut serving = pin!(builder.serve_connection(TokioIo::new(stream), service));
    let mut leaving = pin!(departed(shell.clone(), page));
    let mut closing = false;
    loop {
        tokio::select! {
            // Its end is the caller's business; what became of each request is logged there.
            _ = &mut serving => break,
            () = &mut leaving, if !closing => {
                closing = true;
                serving.as_mut().graceful_shutdown();
            }
            () = idle(&shell, &quiet), if !closing => {
                closing = true;
                serving.as_mut().graceful_shutdown();
            }
        }
    }
    drop(open);
}

async fn serve(shell: &Rc<Shell>, request: Request<Incoming>, page: Page) -> Response<AnswerBody> {
    match page {
        Page::Callers => callers::serve(shell.clone(), request).await,
        Page::Health => admin::health(shell, &request),
        Page::Directory => admin::directory(shell, &request),
        Page::Metrics => admin::metrics_page(shell, &request),
        Page::PeerApi => crate::peer_api::serve_changes(shell, &request),
    }
}

// Ends when connections of this kind are to be closed, as this instance leaves.
async fn departed(shell: Rc<Shell>, page: Page) {
    if page != Page::Callers {
        return std::future::pending().await;
    }
    while !shell.core.borrow().leaving() {
        shell.leaving.notified().await;
    }
    sleep(LINGER.into()).await;
}

// Ends when the connection was idle for as long as the configuration allows.
async fn idle(shell: &Shell, quiet: &Quiet) {
    loop {
        let limit = shell
            .core
            .borrow()
            .configuration()
            .map_or(IDLE, |it| it.limits.keepalive_timeout);
        let quiet_for = shell.now().since(quiet.since.get());
        if !quiet.busy.get() && quiet_for >= limit {
            return;
        }
        let left = if quiet.busy.get() {
            limit
        } else {
            limit.since(quiet_for)
        };
        sleep(left.max(Millis(10)).into()).await;
    }
}

/// Since when a connection has had no request.
#[derive(Debug)]
struct Quiet {
    since: Cell<Millis>,
    busy: Cell<bool>,
}

impl Quiet {
    fn new(now: Millis) -> Self {
        Self {
            since: Cell::new(now),
            busy: Cell::new(false),
        }
    }

    fn begin(&self) {
        self.busy.set(true);
    }

    fn end(&self, now: Millis) {
        self.busy.set(false);
        self.since.set(now);
    }
}

/// Counts an open connection of a caller.
struct Open {
    shell: Rc<Shell>,
    counted: bool,
}

impl Open {
    fn new(shell: &Rc<Shell>, page: Page) -> Self {
        let counted = page == Page::Callers;
        shell
            .caller_connections
            .set(shell.caller_connections.get() + usize::from(counted));
        Self {
            shell: shell.clone(),
            counted,
        }
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.shell
            .caller_connections
            .set(self.shell.caller_connections.get() - usize::from(self.counted));
    }
}

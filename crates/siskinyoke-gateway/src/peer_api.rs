//! Replication of store changes between peers, so that not every instance reads the store.

use std::net::SocketAddr;
use std::rc::Rc;

use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use rand::Rng;
use serde::Deserialize;
use serde::Serialize;
use serde_json::json;
use tokio::time::sleep;

use crate::cluster_view;
use crate::configuration_transfer;
use crate::configuration_transfer::CONFIGURATION_PATH;
use crate::fetch_error::FetchError;
use crate::replica::Update;
use crate::response;
use crate::response::ResponseBody;
use crate::shell::Shell;
use crate::store::StoreError;
use siskinyoke_base::Millis;
use siskinyoke_base::Revision;
use siskinyoke_interface::Call;

/// Time limit for fetching changes from a peer.
const FETCH_TIMEOUT: Millis = Millis(1_000);

/// How long an instance that watches the store waits for it before it fetches changes from a peer.
///
/// A reachable store delivers changes within milliseconds.
const WATCHER_FETCH_DELAY: Millis = Millis(150);

/// How long a new process reads the store before it fetches the full state from a peer.
///
/// Reading a few thousand items takes a small instance about a second. When all instances start at
/// once, the first to finish would otherwise have to send a megabyte to each of the others.
const FIRST_READ_FETCH_DELAY: Millis = Millis(1_500);

/// Maximum random delay before a follower fetches changes.
///
/// All followers of a shard learn of a change at the same moment, from the same instance.
const MAX_FETCH_JITTER: Millis = Millis(60);

/// How long no changes are fetched from a peer after a failure; other peers have the same changes.
const FAILED_PEER_BACKOFF: Millis = Millis::from_secs(3);

/// Path prefix of requests for changes, followed by the revision that the sender knows.
const CHANGES_PATH: &str = "/entries/";

/// Path prefix of the same requests of earlier versions of this program, which expect the
/// configuration among the changes.
const EARLIER_CHANGES_PATH: &str = "/changes/";

/// What an instance knows of the store other than the configuration, as it is sent to a peer.
#[derive(Debug, Serialize, Deserialize)]
struct ChangesMessage {
    update: Update,
    // The version of the sender's configuration, and the store revision up to which the sender
    // knows that it is the newest.
    configuration: (u64, Revision),
}

/// Serves a request of a peer.
pub async fn serve(shell: &Shell, request: &Request<Incoming>) -> Response<ResponseBody> {
    let path = request.uri().path();
    if path.starts_with(CONFIGURATION_PATH) {
        return configuration_transfer::serve(shell, request).await;
    }
    if path.starts_with(EARLIER_CHANGES_PATH) {
        return response::text(StatusCode::CONFLICT, "not known to this version");
    }
    serve_changes(shell, request)
}

// Serves a peer's request for the changes since the revision in the path.
fn serve_changes(shell: &Shell, request: &Request<Incoming>) -> Response<ResponseBody> {
    let known = request.uri().path().strip_prefix(CHANGES_PATH);
    let Some(Ok(known)) = known.map(str::parse::<Revision>) else {
        return response::text(StatusCode::NOT_FOUND, "no such page");
    };
    let Some(update) = shell.replica.borrow().changes_since(known) else {
        return response::text(StatusCode::CONFLICT, "not known from that revision on");
    };
    let message = ChangesMessage {
        update,
        configuration: (
            shell.core.borrow().configuration_version(),
            shell.replica.borrow().configuration_revision(),
        ),
    };
    match postcard::to_allocvec(&message) {
        Ok(bytes) => Response::new(ResponseBody::Full(Some(bytes.into()))),
        Err(err) => response::text(StatusCode::INTERNAL_SERVER_ERROR, &err.to_string()),
    }
}

/// Fetches missing changes from a peer if its store revision is ahead of this instance's.
pub fn catch_up(shell: &Rc<Shell>, from: SocketAddr, revision: Revision) {
    let now = shell.now();
    let era = shell.core.borrow().store_era();
    let ahead = shell.core.borrow_mut().record_peer_revision(now, revision);
    if shell.core.borrow().store_era() > era {
        shell.era_raised(era);
    }
    let failed = shell.failed_peer.get();
    let backing_off = failed
        .is_some_and(|failure| failure.0 == from && now.since(failure.1) < FAILED_PEER_BACKOFF);
    if !ahead || backing_off || shell.catching_up.replace(true) {
        return;
    }
    let shell = shell.clone();
    tokio::task::spawn_local(async move {
        sleep(fetch_delay(&shell).into()).await;
        if shell.core.borrow().store_revision() < revision {
            fetch(&shell, from).await;
        }
        shell.catching_up.set(false);
    });
}

/// Returns how long to wait before something is fetched from a peer.
pub fn fetch_delay(shell: &Shell) -> Millis {
    if shell.core.borrow().is_first_read() {
        FIRST_READ_FETCH_DELAY
    } else if shell.watching.get() {
        WATCHER_FETCH_DELAY
    } else {
        Millis(rand::rng().random_range(0..MAX_FETCH_JITTER.0))
    }
}

// Fetches and applies changes from a peer. A failure ends the watcher's delay before its next call
// of the store.
async fn fetch(shell: &Shell, from: SocketAddr) {
    match request_update(shell, from).await {
        Ok(message) => {
            cluster_view::apply(shell, message.update, "peer");
            let (version, revision) = message.configuration;
            if shell.core.borrow().configuration_version() == version {
                shell.replica.borrow_mut().record_configuration(revision);
            }
        }
        // The peer cannot provide the changes, but the store can with a single call.
        Err(FetchError::Call(StoreError::Status(StatusCode::CONFLICT | StatusCode::NOT_FOUND))) => {
            shell.core.borrow_mut().request_store_read();
            shell.fetch_failed.notify_waiters();
        }
        Err(err) => {
            let transfer = shell.peer_client.borrow().transfer();
            let mut fields = transfer.fields("peer");
            fields["from"] = json!(from.to_string());
            fields["error"] = json!(err.to_string());
            shell.log("handover_failed", fields);
            shell.failed_peer.set(Some((from, shell.now())));
            shell.fetch_failed.notify_waiters();
        }
    }
}

async fn request_update(shell: &Shell, from: SocketAddr) -> Result<ChangesMessage, FetchError> {
    let known = shell.replica.borrow().revision();
    let call = Call::get(format!("{CHANGES_PATH}{known}"));
    // `catching_up` keeps other tasks from using the client meanwhile.
    let mut client = shell.peer_client.take();
    let result = client.call(from, &call, FETCH_TIMEOUT).await;
    shell.log_transfer(&client.transfer(), "peer");
    shell.peer_client.replace(client);
    shell.metrics.record_store_call("peer", result.is_ok());
    Ok(postcard::from_bytes(&result?)?)
}

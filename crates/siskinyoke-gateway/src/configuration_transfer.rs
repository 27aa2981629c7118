//! Transfer of the configuration between peers, apart from other changes and to a few at a time.

use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use rand::Rng;
use serde::Deserialize;
use serde::Serialize;
use serde_json::json;
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::cluster_view;
use crate::configuration_copy::ConfigurationCopy;
use crate::fetch_error::FetchError;
use crate::peer_api;
use crate::response;
use crate::response::ResponseBody;
use crate::shell::Shell;
use crate::store::Client;
use crate::store::StoreError;
use siskinyoke_base::Millis;
use siskinyoke_base::Revision;
use siskinyoke_interface::Call;

/// Path prefix of requests for a configuration newer than the version that follows.
pub const CONFIGURATION_PATH: &str = "/configuration/";

/// How many peers are sent the configuration at the same time.
///
/// With each round the instances that have it grow by this factor plus one, but the round takes as
/// much longer as the transfers share the link.
pub const MAX_TRANSFERS: usize = 3;

/// How long a request waits for one of the transfers to end before it is rejected.
const MAX_SLOT_WAIT: Millis = Millis(250);

/// How long a transfer counts if its end is not noticed, as its receiver may freeze.
const MAX_TRANSFER_TIME: Millis = Millis(1_500);

/// Time limit for the head of a peer's response, which may have to wait for another transfer.
const FETCH_TIMEOUT: Millis = Millis(500);

/// How long a peer that rejected a request is not asked again.
const BUSY_DELAY: Millis = Millis(60);

/// How long a peer that failed is not asked again.
const FAILURE_DELAY: Millis = Millis::from_secs(3);

/// How long to wait before sources are looked at again while none can be asked.
const RETRY_INTERVAL: Millis = Millis(40);

/// A configuration as one instance sends it to another.
#[derive(Debug, Serialize, Deserialize)]
struct ConfigurationMessage {
    // The store revision up to which the sender knows that this is the newest configuration.
    revision: Revision,
    compressed: Bytes,
}

/// Serves a peer's request for a configuration newer than the version in the path.
pub async fn serve(shell: &Shell, request: &Request<Incoming>) -> Response<ResponseBody> {
    let known = request.uri().path().strip_prefix(CONFIGURATION_PATH);
    let Some(Ok(known)) = known.map(str::parse::<u64>) else {
        return response::text(StatusCode::NOT_FOUND, "no such page");
    };
    let slot = shell.transfer_slots.clone().acquire_owned();
    let Ok(Ok(slot)) = timeout(MAX_SLOT_WAIT.into(), slot).await else {
        return response::text(StatusCode::SERVICE_UNAVAILABLE, "too many transfers");
    };
    if shell.core.borrow().configuration_version() <= known {
        return response::text(StatusCode::NOT_FOUND, "no newer configuration");
    }
    let bytes = match encode(shell) {
        Ok(Some(bytes)) => bytes,
        Ok(None) => return response::text(StatusCode::NOT_FOUND, "no configuration"),
        Err(err) => return response::text(StatusCode::INTERNAL_SERVER_ERROR, &err),
    };
    let (sent, ended) = oneshot::channel();
    spawn_local(async move {
        // Either way the transfer no longer counts.
        drop(timeout(MAX_TRANSFER_TIME.into(), ended).await);
        drop(slot);
    });
    Response::new(ResponseBody::Transfer(bytes, sent))
}

/// Fetches a newer configuration from peers that have one, unless that is in progress.
pub fn start(shell: &Rc<Shell>) {
    if !has_newer(shell) || shell.fetching_configuration.replace(true) {
        return;
    }
    let shell = shell.clone();
    spawn_local(async move {
        sleep(peer_api::fetch_delay(&shell).into()).await;
        while has_newer(&shell) {
            fetch_once(&shell).await;
        }
        shell.fetching_configuration.set(false);
    });
}

// Returns whether a newer configuration can be fetched. The first one has to follow the list of
// instances, by whose number quota buckets are filled.
fn has_newer(shell: &Shell) -> bool {
    let core = shell.core.borrow();
    if core.store_revision().is_zero() {
        return false;
    }
    let known = core.configuration_version();
    let sources = shell.configuration_sources.borrow();
    sources.has_newer(shell.now(), known)
}

// Asks one of the peers that have a newer configuration, or waits if none is to be asked now.
async fn fetch_once(shell: &Shell) {
    let now = shell.now();
    let known = shell.core.borrow().configuration_version();
    let sample = rand::rng().random_range(0..usize::MAX);
    let selected = {
        let sources = shell.configuration_sources.borrow();
        sources.select(now, known, sample)
    };
    let Some(from) = selected else {
        sleep(RETRY_INTERVAL.into()).await;
        return;
    };
    let Err(err) = fetch(shell, from, known).await else {
        return;
    };
    let busy = matches!(
        err,
        FetchError::Call(StoreError::Status(StatusCode::SERVICE_UNAVAILABLE))
    );
    let delay = if busy { BUSY_DELAY } else { FAILURE_DELAY };
    let mut sources = shell.configuration_sources.borrow_mut();
    sources.postpone(shell.now(), from, delay);
    if !busy {
        let fields = json!({
            "from": from.to_string(),
            "version": known,
            "error": err.to_string(),
        });
        shell.log("configuration_not_fetched", fields);
    }
}

async fn fetch(shell: &Shell, from: SocketAddr, known: u64) -> Result<(), FetchError> {
    let call = Call::get(format!("{CONFIGURATION_PATH}{known}"));
    let mut client = Client::default();
    let result = client.call(from, &call, FETCH_TIMEOUT).await;
    shell
        .metrics
        .record_store_call("peer_configuration", result.is_ok());
    shell.log_transfer(&client.transfer(), "peer");
    let message: ConfigurationMessage = postcard::from_bytes(&result?)?;
    let copy = ConfigurationCopy::Compressed(message.compressed);
    let plain = copy.plain()?;
    if shell.core.borrow().configuration_version() > known {
        return Ok(());
    }
    if !cluster_view::apply_configuration(shell, &plain, copy, "peer") {
        return Err(FetchError::NotApplied);
    }
    let mut replica = shell.replica.borrow_mut();
    replica.record_configuration(message.revision);
    drop(replica);
    shell.decide();
    Ok(())
}

fn encode(shell: &Shell) -> Result<Option<Bytes>, String> {
    let mut copy = shell.configuration_copy.borrow_mut();
    let Some(copy) = &mut *copy else {
        return Ok(None);
    };
    let message = ConfigurationMessage {
        revision: shell.replica.borrow().configuration_revision(),
        compressed: copy.compressed().map_err(|err| err.to_string())?,
    };
    let bytes = postcard::to_allocvec(&message).map_err(|err| err.to_string())?;
    Ok(Some(bytes.into()))
}

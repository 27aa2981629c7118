//! Hands to peers what the store said, for those that cannot reach it.

use std::net::SocketAddr;
use std::rc::Rc;

use http::Response;
use http::StatusCode;
use serde::Deserialize;
use serde::Serialize;
use serde_json::json;
use tokio::time::sleep;

use crate::answer;
use crate::answer::AnswerBody;
use crate::shell::Shell;
use crate::store::Client;
use crate::watcher;
use siskinyoke_base::Millis;
use siskinyoke_interface::Call;

/// How long a peer may take to hand over what it has.
const LIMIT: Millis = Millis(1_000);

/// How often an instance without the store asks a peer for endpoints.
const ASK: Millis = Millis(500);

/// What one instance hands to another.
#[derive(Debug, Serialize, Deserialize)]
struct Handover {
    configuration: Vec<u8>,
    endpoints: Vec<(String, Vec<u8>)>,
}

/// Answers a peer that asks for what the store said.
pub fn hand_over(shell: &Shell) -> Response<AnswerBody> {
    let raw = shell.raw.borrow();
    let handover = Handover {
        configuration: raw.configuration.clone(),
        endpoints: raw
            .endpoints
            .iter()
            .map(|(id, value)| (id.clone(), value.clone()))
            .collect(),
    };
    match postcard::to_allocvec(&handover) {
        Ok(bytes) => Response::new(AnswerBody::Whole(Some(bytes.into()))),
        Err(err) => answer::plain(StatusCode::INTERNAL_SERVER_ERROR, &err.to_string()),
    }
}

/// Fetches a newer configuration from a peer, unless the store brings it first.
pub fn catch_up(shell: &Rc<Shell>, from: SocketAddr, version: u64, wait: Millis) {
    if shell.catching.replace(true) {
        return;
    }
    let shell = shell.clone();
    tokio::task::spawn_local(async move {
        sleep(wait.into()).await;
        if shell.core.borrow().version() < version {
            fetch(&shell, from).await;
        }
        shell.catching.set(false);
    });
}

/// While the store is away, asks peers for endpoints that started since.
pub async fn ask_around(shell: Rc<Shell>) {
    let mut turn = 0;
    loop {
        sleep(ASK.into()).await;
        if shell.stored.get() {
            continue;
        }
        let peers: Vec<SocketAddr> = {
            let core = shell.core.borrow();
            let inner = core
                .peers()
                .fresh(shell.now())
                .map(|peer| peer.about.place.inner.clone());
            inner.filter_map(|it| it.parse().ok()).collect()
        };
        turn += 1;
        if let Some(from) = peers.get(turn % peers.len().max(1)) {
            fetch(&shell, *from).await;
        }
    }
}

async fn fetch(shell: &Shell, from: SocketAddr) {
    let call = Call::get("/state");
    let body = match Client::default().call(from, &call, LIMIT).await {
        Ok(body) => body,
        Err(err) => {
            let fields = json!({ "from": from.to_string(), "error": err.to_string() });
            shell.log("handover_failed", fields);
            return;
        }
    };
    let handover: Handover = match postcard::from_bytes(&body) {
        Ok(handover) => handover,
        Err(err) => {
            let fields = json!({ "from": from.to_string(), "error": err.to_string() });
            shell.log("handover_unreadable", fields);
            return;
        }
    };
    if !handover.configuration.is_empty() {
        watcher::adopt(shell, &handover.configuration, "peer");
    }
    if !shell.stored.get() {
        learn(shell, handover.endpoints);
    }
}

// Adds endpoints that are new to us; what the peer does not name may still be there.
fn learn(shell: &Shell, endpoints: Vec<(String, Vec<u8>)>) {
    for (id, value) in endpoints {
        let Some(endpoint) = watcher::decode_endpoint(shell, &id, &value) else {
            continue;
        };
        let mut core = shell.core.borrow_mut();
        let known = core.registry().all().any(|it| it.key() == endpoint.key());
        if !known || endpoint.draining {
            core.registry().put(shell.now(), endpoint);
        }
    }
    shell.decide();
}

//! Probes endpoints to determine whether this instance's own links work.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Uri;
use http_body_util::Full;
use serde_json::json;
use tokio::time::timeout;

use crate::endpoint_client::Reply;
use crate::endpoint_client::Reuse;
use crate::pool::PoolKey;
use crate::shell::Shell;
use siskinyoke_dispatch::Endpoint;
use siskinyoke_dispatch::links::LinkChange;

/// Time within which an endpoint has to respond to a probe.
///
/// A probe needs no slot, so that a loaded endpoint responds as fast as an idle one.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Sends the probes that are due.
pub fn start_due(shell: &Rc<Shell>) {
    let due = shell.core.borrow_mut().due_probes(shell.now());
    for endpoint in due {
        tokio::task::spawn_local(probe(shell.clone(), endpoint));
    }
}

async fn probe(shell: Rc<Shell>, endpoint: Arc<Endpoint>) {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = Uri::from_static(shell.interface.exchange.probe_path());
    let sending = shell
        .endpoint_client
        .send_new(&endpoint, request, Reuse::Denied);
    let reply = timeout(PROBE_TIMEOUT, sending).await;
    let responded = matches!(reply, Ok(Reply::Head(..)));
    // Any response shows that the link works, whatever it says.
    let now = shell.now();
    let mut core = shell.core.borrow_mut();
    if matches!(reply, Ok(Reply::ConnectRefused)) {
        core.record_endpoint_end(now, endpoint.key());
    }
    let change = core.probe_ended(now, &endpoint, responded);
    drop(core);
    if let Ok(Reply::Head(response, connection)) = reply {
        shell.pool.drain_body(response, connection);
    }
    if let Some(change) = change {
        apply(&shell, &endpoint.service, change);
    }
    start_due(&shell);
}

fn apply(shell: &Rc<Shell>, service: &str, change: LinkChange) {
    match change {
        LinkChange::Lost(since) => {
            let mut core = shell.core.borrow_mut();
            // Idle connections are lost with the links, or prove that they are not by a response.
            for endpoint in core.registry().eligible(service) {
                shell.pool.clear(PoolKey::Endpoint(endpoint.key()));
            }
            let fields = json!({
                "service": service,
                "found_ms": shell.now().since(since).0,
                "peers": core.peers().instance_count(shell.now()) - 1,
                "unconfirmed_crashes": core.unconfirmed_crash_count(),
            });
            drop(core);
            shell.log("links_lost", fields);
        }
        LinkChange::Restored(duration) => {
            let fields = json!({ "service": service, "lost_ms": duration.0 });
            shell.log("links_restored", fields);
        }
    }
    shell.decide();
}

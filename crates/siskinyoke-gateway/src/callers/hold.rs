//! Holds requests that arrive before a configuration is known.

use std::rc::Rc;

use bytes::Bytes;
use http::request::Parts;
use hyper::body::Incoming;
use serde_json::json;
use tokio::time::timeout;

use super::MEMORY_RETRY_AFTER;
use crate::request_body;
use crate::request_body::BodyError;
use crate::shell::Shell;
use siskinyoke_dispatch::CallerLimits;
use siskinyoke_dispatch::Refusal;
use siskinyoke_dispatch::RefusalReason;
use siskinyoke_dispatch::cold_start;

/// Maximum size of a held request body, while the configured limit is unknown.
const MAX_HELD_BODY_BYTES: usize = 1024 * 1024;

/// Memory reserved for each held request in addition to its body.
///
/// It covers the buffers of the connection and bounds the number of held requests.
const HELD_REQUEST_OVERHEAD_BYTES: usize = 16 * 1024;

/// Reads the body of a request and holds the request until a configuration is known.
///
/// The body is read at once because callers abandon an idempotent request if its body is not
/// read for a second.
///
/// # Errors
///
/// The refusal, if no configuration arrives in time or the memory for bodies is used up; the
/// request has not run.
pub(super) async fn until_configured(
    shell: &Rc<Shell>,
    parts: &Parts,
    body: Incoming,
) -> Result<(CallerLimits, Bytes), Refusal> {
    let arrived = shell.now();
    let deadline =
        arrived + cold_start::hold_timeout(shell.interface.exchange.caller_timeout(parts));
    let memory = &shell.clients.bodies;
    let overhead = memory.reserve(HELD_REQUEST_OVERHEAD_BYTES);
    let overhead = overhead.map_err(|_| out_of_memory())?;
    let remaining = deadline.since(shell.now());
    let body = match request_body::read(memory, MAX_HELD_BODY_BYTES, remaining, body).await {
        Ok(body) => body,
        Err(BodyError::OutOfMemory) => return Err(out_of_memory()),
        Err(_) => return Err(not_ready(shell)),
    };
    let remaining = deadline.since(shell.now());
    let limits = timeout(remaining.into(), configured_limits(shell)).await;
    drop(overhead);
    let Ok(limits) = limits else {
        return Err(not_ready(shell));
    };
    let fields = json!({
        "id": shell.interface.exchange.request_id(parts),
        "held_ms": shell.now().since(arrived).0,
        "configuration": shell.core.borrow().configuration_version(),
    });
    shell.log("request_held", fields);
    Ok((limits, body))
}

async fn configured_limits(shell: &Shell) -> CallerLimits {
    loop {
        let changed = shell.configuration_known.notified();
        if let Some(known) = shell.core.borrow().configuration() {
            return known.limits;
        }
        changed.await;
    }
}

fn out_of_memory() -> Refusal {
    Refusal {
        reason: RefusalReason::NotReady,
        retry_after: MEMORY_RETRY_AFTER,
    }
}

fn not_ready(shell: &Shell) -> Refusal {
    Refusal {
        reason: RefusalReason::NotReady,
        retry_after: cold_start::retry_after(shell.now().since(shell.started_at)),
    }
}

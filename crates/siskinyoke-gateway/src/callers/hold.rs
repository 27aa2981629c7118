//! Requests that arrive before a configuration is known.

use std::rc::Rc;

use bytes::Bytes;
use http::request::Parts;
use hyper::body::Incoming;
use serde_json::json;
use tokio::time::timeout;

use super::BodyError;
use super::MEMORY_RETRY_AFTER;
use super::read_body;
use crate::memory::MemoryReservation;
use crate::shell::Shell;
use siskinyoke_dispatch::Limits;
use siskinyoke_dispatch::Refusal;
use siskinyoke_dispatch::RefusalReason;
use siskinyoke_dispatch::cold_start;

/// The longest body that is held before the configuration says how long one may be, in bytes.
const MAX_HELD_BODY_BYTES: usize = 1024 * 1024;

/// What a held request takes of the memory for bodies, beside its own, in bytes.
///
/// Its connection's buffers: it bounds the number of requests that are held.
const HELD_REQUEST_OVERHEAD_BYTES: usize = 16 * 1024;

/// Holds a request, with its body read, until a configuration is known.
///
/// Whoever reads no body of an idempotent request for a second is given up by its caller.
///
/// # Errors
///
/// The refusal, if none is known in time or the memory is full; the request has not run.
pub(super) async fn until_configured(
    shell: &Rc<Shell>,
    parts: &Parts,
    body: Incoming,
) -> Result<(Limits, Bytes, MemoryReservation), Refusal> {
    let arrived = shell.now();
    let deadline = arrived + cold_start::hold_timeout(shell.interface.exchange.deadline(parts));
    let Some(overhead) = MemoryReservation::try_reserve(shell, HELD_REQUEST_OVERHEAD_BYTES) else {
        return Err(out_of_memory());
    };
    let remaining = deadline.since(shell.now());
    let (body, reservation) = match read_body(shell, MAX_HELD_BODY_BYTES, remaining, body).await {
        Ok(taken) => taken,
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
    Ok((limits, body, reservation))
}

async fn configured_limits(shell: &Shell) -> Limits {
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

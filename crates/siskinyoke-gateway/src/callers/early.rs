//! Requests that arrive before a configuration is known.

use std::rc::Rc;

use bytes::Bytes;
use http::request::Parts;
use hyper::body::Incoming;
use serde_json::json;
use tokio::time::timeout;

use super::BodyFault;
use super::CROWDED;
use super::collect;
use crate::held::Held;
use crate::shell::Shell;
use siskinyoke_dispatch::Limits;
use siskinyoke_dispatch::Refusal;
use siskinyoke_dispatch::RefusalReason;
use siskinyoke_dispatch::cold_start;

/// The longest body that is held before the configuration says how long one may be, in bytes.
const BODY: usize = 1024 * 1024;

/// What a held request takes of the memory for bodies, beside its own, in bytes.
///
/// Its connection's buffers: it bounds the number of requests that are held.
const OVERHEAD: usize = 16 * 1024;

/// Holds a request, with its body read, until a configuration is known.
///
/// Whoever reads no body of an idempotent request for a second is given up by its caller.
///
/// # Errors
///
/// The refusal, if none is known in time or the memory is full; the request has not run.
pub(super) async fn hold(
    shell: &Rc<Shell>,
    parts: &Parts,
    body: Incoming,
) -> Result<(Limits, Bytes, Held), Refusal> {
    let arrived = shell.now();
    let until = arrived + cold_start::hold_timeout(shell.interface.exchange.deadline(parts));
    let Some(place) = Held::take(shell, OVERHEAD) else {
        return Err(crowded());
    };
    let left = until.since(shell.now());
    let (body, held) = match collect(shell, BODY, left, body).await {
        Ok(taken) => taken,
        Err(BodyFault::Crowded) => return Err(crowded()),
        Err(_) => return Err(unready(shell)),
    };
    let left = until.since(shell.now());
    let limits = timeout(left.into(), configured(shell)).await;
    drop(place);
    let Ok(limits) = limits else {
        return Err(unready(shell));
    };
    let fields = json!({
        "id": shell.interface.exchange.request_id(parts),
        "held_ms": shell.now().since(arrived).0,
        "configuration": shell.core.borrow().configuration_version(),
    });
    shell.log("request_held", fields);
    Ok((limits, body, held))
}

async fn configured(shell: &Shell) -> Limits {
    loop {
        let changed = shell.configuration_known.notified();
        if let Some(known) = shell.core.borrow().configuration() {
            return known.limits;
        }
        changed.await;
    }
}

fn crowded() -> Refusal {
    Refusal {
        reason: RefusalReason::NotReady,
        retry_after: CROWDED,
    }
}

fn unready(shell: &Shell) -> Refusal {
    Refusal {
        reason: RefusalReason::NotReady,
        retry_after: cold_start::retry_after(shell.now().since(shell.started_at)),
    }
}

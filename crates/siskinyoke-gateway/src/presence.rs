//! Keeps this instance's entry in the store, so that the others find it.

use std::rc::Rc;

use serde_json::json;
use tokio::time::sleep;

use crate::shell::Shell;
use crate::store::Client;
use crate::store::StoreError;
use siskinyoke_base::Millis;

/// The renewals in the span of a lease: one may fail without the entry being lost.
const RENEWALS: u64 = 3;

/// How long to wait after a failed call, so that the entry is back soon after the store.
const RETRY: Millis = Millis(1_000);

/// How long a call may take.
const LIMIT: Millis = Millis(1_500);

/// A lease and the span for which it was granted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Lease {
    id: u64,
    span: Millis,
}

/// Keeps this instance's entry for as long as the process runs.
pub async fn keep(shell: Rc<Shell>) {
    let mut client = Client::default();
    let mut lease = None;
    loop {
        let span = shell.core.borrow().lease();
        let pause = match step(&shell, &mut client, lease, span).await {
            Ok(kept) => {
                lease = Some(kept);
                Millis(kept.span.0 / RENEWALS)
            }
            Err(err) => {
                shell.log("presence_failed", json!({ "error": err.to_string() }));
                RETRY
            }
        };
        tokio::select! {
            () = sleep(pause.into()) => {}
            () = shell.leaving.notified() => {}
        }
        if shell.core.borrow().leaving() {
            leave(&shell, &mut client, lease).await;
            return;
        }
    }
}

// Enters the instance or renews its lease; one of another span than wanted is replaced.
async fn step(
    shell: &Shell,
    client: &mut Client,
    lease: Option<Lease>,
    span: Millis,
) -> Result<Lease, StoreError> {
    let Some(held) = lease else {
        return enter(shell, client, span).await;
    };
    if held.span != span {
        let entered = enter(shell, client, span).await?;
        end(shell, client, held).await?;
        return Ok(entered);
    }
    // One that has ended took the entry with it, which nobody else can find meanwhile.
    match renew(shell, client, held).await? {
        Some(kept) => Ok(kept),
        None => enter(shell, client, span).await,
    }
}

async fn enter(shell: &Shell, client: &mut Client, span: Millis) -> Result<Lease, StoreError> {
    let settings = shell.settings();
    let store = &shell.interface.store;
    let body = client
        .call(settings.store, &store.grant(span), LIMIT)
        .await?;
    let id = store.decode_grant(&body)?;
    let key = shell.interface.documents.instance_key(&settings.instance);
    let value = json!(settings.place()).to_string();
    let call = store.put(&key, value.as_bytes(), id);
    client.call(settings.store, &call, LIMIT).await?;
    shell.log("presence", json!({ "lease": id, "span_ms": span.0 }));
    Ok(Lease { id, span })
}

// Takes the entry away, so that callers are sent here no more; else the lease does so in time.
async fn leave(shell: &Shell, client: &mut Client, lease: Option<Lease>) {
    let Some(lease) = lease else { return };
    if let Err(err) = end(shell, client, lease).await {
        shell.log("presence_failed", json!({ "error": err.to_string() }));
    }
}

async fn end(shell: &Shell, client: &mut Client, lease: Lease) -> Result<(), StoreError> {
    let call = shell.interface.store.end(lease.id);
    let address = shell.settings().store;
    client.call(address, &call, LIMIT).await.map(drop)
}

// Returns the lease, or nothing if it has ended and the entry is to be written anew.
async fn renew(
    shell: &Shell,
    client: &mut Client,
    lease: Lease,
) -> Result<Option<Lease>, StoreError> {
    let address = shell.settings().store;
    let call = shell.interface.store.renew(lease.id);
    match client.call(address, &call, LIMIT).await {
        Ok(body) => {
            let holds = shell.interface.store.decode_renew(&body)?;
            Ok(holds.then_some(lease))
        }
        Err(StoreError::Status(http::StatusCode::NOT_FOUND)) => Ok(None),
        Err(err) => Err(err),
    }
}

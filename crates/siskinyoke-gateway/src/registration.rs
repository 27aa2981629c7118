//! Keeps this instance's entry in the store, so that the others find it.

use std::rc::Rc;

use bytes::Bytes;
use serde_json::json;
use tokio::time::sleep;

use crate::shell::Shell;
use crate::store::Client;
use crate::store::StoreError;
use siskinyoke_base::Millis;
use siskinyoke_interface::Call;

/// How long the entry outlives this process.
///
/// It is only a place to look for others; who is alive shows in their reports, but for those of other
/// shards in a large fleet, which callers are still told of for that long.
const LEASE_TTL: Millis = Millis(12_000);

/// How often the lease is renewed: twice may fail.
const RENEWAL_INTERVAL: Millis = Millis(4_000);

/// How often it is renewed by an instance that watches the store for others.
///
/// A renewal costs the store a tenth of another call. One that is not answered shows that the store
/// cannot be reached while a watch is still silent as usual, so that a peer takes over.
const WATCHER_RENEWAL_INTERVAL: Millis = Millis(1_000);

/// How long to wait after a failed call; it doubles up to the longest.
const MIN_RETRY_DELAY: Millis = Millis(1_000);

/// The longest wait after failed calls: a store that refuses all counts each call.
const MAX_RETRY_DELAY: Millis = Millis(4_000);

/// How long a call may take.
const CALL_TIMEOUT: Millis = Millis(1_500);

/// Keeps this instance's entry for as long as the process runs.
pub async fn maintain(shell: Rc<Shell>) {
    let mut client = Client::default();
    let mut lease = None;
    let mut retry = MIN_RETRY_DELAY;
    loop {
        let pause = match renew_or_register(&shell, &mut client, lease).await {
            Ok(id) => {
                lease = Some(id);
                retry = MIN_RETRY_DELAY;
                shell.core.borrow_mut().store_call_succeeded();
                if shell.watching.get() {
                    WATCHER_RENEWAL_INTERVAL
                } else {
                    RENEWAL_INTERVAL
                }
            }
            Err(err) => {
                shell.log("registration_failed", json!({ "error": err.to_string() }));
                shell.core.borrow_mut().store_call_failed(shell.now());
                shell.store_unresponsive.notify_waiters();
                let pause = retry;
                retry = Millis(retry.0 * 2).min(MAX_RETRY_DELAY);
                pause
            }
        };
        tokio::select! {
            () = sleep(pause.into()) => {}
            () = shell.lease_renewal.notified() => {}
            () = shell.leaving.notified() => {}
        }
        if shell.core.borrow().leaving() {
            deregister(&shell, &mut client, lease).await;
            return;
        }
    }
}

// Renews the lease. One that has ended took the entry with it, which is then written anew at once, as
// nobody else can find this instance meanwhile.
async fn renew_or_register(
    shell: &Shell,
    client: &mut Client,
    lease: Option<u64>,
) -> Result<u64, StoreError> {
    if let Some(lease) = lease
        && renew(shell, client, lease).await?
    {
        return Ok(lease);
    }
    register(shell, client).await
}

async fn register(shell: &Shell, client: &mut Client) -> Result<u64, StoreError> {
    let settings = shell.settings();
    let store = &shell.interface.store;
    let body = call(shell, client, "lease", &store.grant_lease(LEASE_TTL)).await?;
    let lease = store.decode_lease(&body)?;
    let key = shell.interface.documents.instance_key(&settings.instance);
    let value = json!(settings.location()).to_string();
    let put = store.put(&key, value.as_bytes(), lease);
    call(shell, client, "enter", &put).await?;
    shell.log("registration", json!({ "lease": lease }));
    Ok(lease)
}

// Takes the entry away, so that callers are sent here no more; else the lease does so in time.
async fn deregister(shell: &Shell, client: &mut Client, lease: Option<u64>) {
    let Some(lease) = lease else { return };
    let end = shell.interface.store.revoke_lease(lease);
    if let Err(err) = call(shell, client, "leave", &end).await {
        shell.log("registration_failed", json!({ "error": err.to_string() }));
    }
}

// Returns whether the lease still holds.
async fn renew(shell: &Shell, client: &mut Client, lease: u64) -> Result<bool, StoreError> {
    let renewal = shell.interface.store.renew_lease(lease);
    match call(shell, client, "renew", &renewal).await {
        Ok(body) => Ok(shell.interface.store.decode_renewal(&body)?),
        Err(StoreError::Status(http::StatusCode::NOT_FOUND)) => Ok(false),
        Err(err) => Err(err),
    }
}

async fn call(
    shell: &Shell,
    client: &mut Client,
    kind: &'static str,
    call: &Call,
) -> Result<Bytes, StoreError> {
    let result = client
        .call(shell.settings().store, call, CALL_TIMEOUT)
        .await;
    shell.metrics.record_store_call(kind, result.is_ok());
    result
}

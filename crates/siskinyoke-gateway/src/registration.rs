//! Registration of this instance in the store, so that other instances can find it.

use std::rc::Rc;

use bytes::Bytes;
use serde_json::json;
use tokio::time::sleep;

use crate::shell::Shell;
use crate::store::Client;
use crate::store::StoreError;
use siskinyoke_base::Millis;
use siskinyoke_interface::Call;

/// Time to live of the entry after the last renewal.
///
/// Entries serve for discovery only: reports show which instances are alive. Instances of other
/// shards in a large fleet are the exception; callers are directed to them until the entry expires.
const LEASE_TTL: Millis = Millis(12_000);

/// Renewal interval of the lease; two renewals in a row may fail.
const RENEWAL_INTERVAL: Millis = Millis(4_000);

/// Renewal interval of an instance that watches the store for others.
///
/// An idle watch does not show whether the store is reachable. An unanswered renewal does, so that
/// a peer can take over, and it costs the store only a tenth of any other call.
const WATCHER_RENEWAL_INTERVAL: Millis = Millis(1_000);

/// Delay after the first failed call; it doubles with each further one.
const MIN_RETRY_DELAY: Millis = Millis(1_000);

/// Maximum delay after failed calls; a store that rejects all calls still counts each one.
const MAX_RETRY_DELAY: Millis = Millis(4_000);

/// Time limit for a call.
const CALL_TIMEOUT: Millis = Millis(1_500);

/// A lease of the store, and the era in which it was granted.
#[derive(Debug, Clone, Copy)]
struct Lease {
    id: u64,
    era: u64,
}

/// Keeps this instance registered until it shuts down, then removes its entry.
pub async fn maintain(shell: Rc<Shell>) {
    let mut client = Client::default();
    let mut lease: Option<Lease> = None;
    let mut retry_delay = MIN_RETRY_DELAY;
    loop {
        let delay = match renew_or_register(&shell, &mut client, lease).await {
            Ok(renewed) => {
                lease = Some(renewed);
                retry_delay = MIN_RETRY_DELAY;
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
                let delay = retry_delay;
                retry_delay = Millis(retry_delay.0 * 2).min(MAX_RETRY_DELAY);
                delay
            }
        };
        tokio::select! {
            () = sleep(delay.into()) => {}
            () = shell.lease_renewal.notified() => {}
            () = shell.shutdown_started.notified() => {}
        }
        if shell.core.borrow().is_shutting_down() {
            deregister(&shell, &mut client, lease).await;
            return;
        }
    }
}

// Renews the lease. If it has expired, the store has removed the entry, and other instances cannot
// find this one until it is written again, so that happens at once. The same holds if the store has
// come back from a copy, which may lack both.
async fn renew_or_register(
    shell: &Shell,
    client: &mut Client,
    lease: Option<Lease>,
) -> Result<Lease, StoreError> {
    if let Some(lease) = lease
        && lease.era == shell.core.borrow().store_era()
        && renew(shell, client, lease.id).await?
        && lease.era == shell.core.borrow().store_era()
    {
        return Ok(lease);
    }
    register(shell, client).await
}

// Writes the entry under a new lease, and returns the lease.
async fn register(shell: &Shell, client: &mut Client) -> Result<Lease, StoreError> {
    let settings = shell.settings();
    let store = &shell.interface.store;
    let body = call(shell, client, "lease", &store.grant_lease(LEASE_TTL)).await?;
    let lease = Lease {
        id: store.decode_lease(&body)?,
        era: shell.core.borrow().store_era(),
    };
    let key = shell.interface.documents.instance_key(&settings.instance);
    let value = json!(settings.location()).to_string();
    let put = store.put(&key, value.as_bytes(), lease.id);
    call(shell, client, "enter", &put).await?;
    shell.log(
        "registration",
        json!({ "lease": lease.id, "era": lease.era }),
    );
    Ok(lease)
}

// Removes the entry, so that no more callers are directed here. If this fails, it expires with the
// lease.
async fn deregister(shell: &Shell, client: &mut Client, lease: Option<Lease>) {
    let Some(lease) = lease else { return };
    let revocation = shell.interface.store.revoke_lease(lease.id);
    if let Err(err) = call(shell, client, "leave", &revocation).await {
        shell.log("registration_failed", json!({ "error": err.to_string() }));
    }
}

// Renews the lease, and returns whether it is still valid.
async fn renew(shell: &Shell, client: &mut Client, lease: u64) -> Result<bool, StoreError> {
    let renewal = shell.interface.store.renew_lease(lease);
    match call(shell, client, "renew", &renewal).await {
        Ok(body) => {
            check_revision(shell, &body);
            Ok(shell.interface.store.decode_renewal(&body)?)
        }
        Err(StoreError::Status(http::StatusCode::NOT_FOUND)) => Ok(false),
        Err(err) => Err(err),
    }
}

// Requests a full read if the store's latest revision is below the known one. A watch from a
// revision that the store does not have may be silent.
fn check_revision(shell: &Shell, renewal: &[u8]) {
    let known = shell.replica.borrow().revision();
    let latest = shell.interface.store.renewed_at(renewal);
    if latest.is_some_and(|it| it < known.number) {
        shell.request_full_read();
    }
}

// Makes a call and records its result in the metrics.
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
    if result.is_ok() {
        shell.check_era(client.headers())?;
    }
    result
}

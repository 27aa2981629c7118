//! Keeps this instance's entry in the store, so that the others find it.

use std::rc::Rc;

use serde_json::json;
use tokio::time::sleep;

use crate::shell::Shell;
use crate::store::Client;
use crate::store::StoreError;
use siskinyoke_base::Millis;

/// How long the entry outlives this process.
///
/// It is only a place to look for others; who is alive shows in their reports, but for those of other
/// cells in a large fleet, which callers are still told of for that long.
const LEASE: Millis = Millis(7_500);

/// How often the lease is renewed: twice may fail.
const RENEW: Millis = Millis(2_500);

/// How long to wait after a failed call, so that the entry is back soon after the store.
const RETRY: Millis = Millis(1_000);

/// How long a call may take.
const LIMIT: Millis = Millis(1_500);

/// Keeps this instance's entry for as long as the process runs.
pub async fn keep(shell: Rc<Shell>) {
    let mut client = Client::default();
    let mut lease = None;
    loop {
        let pause = match step(&shell, &mut client, lease).await {
            Ok(kept) => {
                lease = Some(kept);
                RENEW
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

// Renews the lease. One that has ended took the entry with it, which is then written anew at once, as
// nobody else can find this instance meanwhile.
async fn step(shell: &Shell, client: &mut Client, lease: Option<u64>) -> Result<u64, StoreError> {
    if let Some(lease) = lease
        && renew(shell, client, lease).await?
    {
        return Ok(lease);
    }
    enter(shell, client).await
}

async fn enter(shell: &Shell, client: &mut Client) -> Result<u64, StoreError> {
    let settings = shell.settings();
    let store = &shell.interface.store;
    let body = client
        .call(settings.store, &store.grant(LEASE), LIMIT)
        .await?;
    let lease = store.decode_grant(&body)?;
    let key = shell.interface.documents.instance_key(&settings.instance);
    let value = json!(settings.place()).to_string();
    let call = store.put(&key, value.as_bytes(), lease);
    client.call(settings.store, &call, LIMIT).await?;
    shell.log("presence", json!({ "lease": lease }));
    Ok(lease)
}

// Takes the entry away, so that callers are sent here no more; else the lease does so in time.
async fn leave(shell: &Shell, client: &mut Client, lease: Option<u64>) {
    let Some(lease) = lease else { return };
    let address = shell.settings().store;
    let call = shell.interface.store.end(lease);
    if let Err(err) = client.call(address, &call, LIMIT).await {
        shell.log("presence_failed", json!({ "error": err.to_string() }));
    }
}

// Returns whether the lease still holds.
async fn renew(shell: &Shell, client: &mut Client, lease: u64) -> Result<bool, StoreError> {
    let address = shell.settings().store;
    let call = shell.interface.store.renew(lease);
    match client.call(address, &call, LIMIT).await {
        Ok(body) => Ok(shell.interface.store.decode_renew(&body)?),
        Err(StoreError::Status(http::StatusCode::NOT_FOUND)) => Ok(false),
        Err(err) => Err(err),
    }
}

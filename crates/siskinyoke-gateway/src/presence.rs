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
/// It is only a place to look for others; who is alive shows in their reports.
const LEASE: Millis = Millis(4_500);

/// How often the lease is renewed: twice may fail.
const RENEW: Millis = Millis(1_500);

/// How long a call may take.
const LIMIT: Millis = Millis(1_500);

/// Keeps this instance's entry for as long as the process runs.
pub async fn keep(shell: Rc<Shell>) {
    let mut client = Client::default();
    let mut lease = None;
    loop {
        let result = match lease {
            None => enter(&shell, &mut client).await.map(Some),
            Some(lease) => renew(&shell, &mut client, lease).await,
        };
        match result {
            Ok(kept) => lease = kept,
            Err(err) => shell.log("presence_failed", json!({ "error": err.to_string() })),
        }
        tokio::select! {
            () = sleep(RENEW.into()) => {}
            () = shell.leaving.notified() => {}
        }
        if shell.core.borrow().leaving() {
            leave(&shell, &mut client, lease).await;
            return;
        }
    }
}

async fn enter(shell: &Shell, client: &mut Client) -> Result<u64, StoreError> {
    let settings = shell.settings();
    let body = client
        .call(settings.store, &shell.interface.store.grant(LEASE), LIMIT)
        .await?;
    let lease = shell.interface.store.decode_grant(&body)?;
    let key = shell.interface.documents.instance_key(&settings.instance);
    let value = json!(settings.place()).to_string();
    client
        .call(
            settings.store,
            &shell.interface.store.put(&key, value.as_bytes(), lease),
            LIMIT,
        )
        .await?;
    shell.log("presence", json!({ "lease": lease }));
    Ok(lease)
}

// Takes the entry away, so that callers are sent here no more; else the lease does so in time.
async fn leave(shell: &Shell, client: &mut Client, lease: Option<u64>) {
    let Some(lease) = lease else { return };
    let address = shell.settings().store;
    if let Err(err) = client
        .call(address, &shell.interface.store.end(lease), LIMIT)
        .await
    {
        shell.log("presence_failed", json!({ "error": err.to_string() }));
    }
}

// Returns the lease, or nothing if it has ended and the entry is to be written anew.
async fn renew(shell: &Shell, client: &mut Client, lease: u64) -> Result<Option<u64>, StoreError> {
    let address = shell.settings().store;
    let call = shell.interface.store.renew(lease);
    match client.call(address, &call, LIMIT).await {
        Ok(body) => {
            let holds = shell.interface.store.decode_renew(&body)?;
            Ok(holds.then_some(lease))
        }
        Err(StoreError::Status(http::StatusCode::NOT_FOUND)) => Ok(None),
        Err(err) => Err(err),
    }
}

//! Reads small changes from the store while a large response is on its way.

use serde_json::json;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::cluster_view;
use crate::replica::Update;
use crate::shell::Shell;
use crate::store::Client;
use crate::store::StoreError;
use crate::transfer::LARGE_RESPONSE_BYTES;
use siskinyoke_base::Millis;
use siskinyoke_base::Revision;
use siskinyoke_interface::Batch;
use siskinyoke_interface::StoreKeys;

/// Interval at which small changes are read.
const READ_INTERVAL: Millis = Millis(250);

/// Later than any revision of the store.
const LAST_REVISION: Revision = Revision::new(u64::MAX, u64::MAX);

/// Time limit for a call.
const CALL_TIMEOUT: Millis = Millis(500);

/// Reads small changes while a response is received, if it is a large one.
///
/// A response with a large configuration takes a narrow link a second or two. The endpoints that
/// leave meanwhile, and those before it in the same response, cannot wait for that. Completes as
/// soon as the large response is of no more use, because a peer has sent the configuration.
pub async fn run(shell: &Shell, mut size: watch::Receiver<u64>, watched_from: Revision) {
    let large = size.wait_for(|it| *it >= LARGE_RESPONSE_BYTES).await;
    if large.is_err() {
        // The response has ended.
        return std::future::pending().await;
    }
    drop(large);
    let mut client = Client::default();
    while shell.replica.borrow().watch_revision() <= watched_from {
        if let Err(err) = read_changes(shell, &mut client).await {
            shell.log("read_ahead_failed", json!({ "error": err.to_string() }));
        }
        tokio::select! {
            () = sleep(READ_INTERVAL.into()) => {}
            () = shell.configuration_known.notified() => {}
        }
    }
}

// Reads and applies the changes under each prefix of small values. The revision up to which they are
// complete is the lowest of the responses.
async fn read_changes(shell: &Shell, client: &mut Client) -> Result<(), StoreError> {
    let known = shell.replica.borrow().revision();
    let mut update = Update {
        revision: LAST_REVISION,
        full: false,
        items: Vec::new(),
    };
    for prefix in small_prefixes(&shell.interface.documents.keys()) {
        let Some(batch) = read_prefix(shell, client, prefix, known).await? else {
            return Ok(());
        };
        update.revision = update.revision.min(batch.revision);
        update.items.extend(batch.items);
    }
    let revision = update.revision;
    update.items.retain(|item| item.revision <= revision);
    cluster_view::apply(shell, update, "read_ahead");
    Ok(())
}

/// Returns the prefixes of the documents that count as known up to the revision of a read. Records of
/// streams are applied whenever they arrive.
pub fn small_prefixes(keys: &StoreKeys) -> [&'static str; 5] {
    [
        keys.endpoints,
        keys.instances,
        keys.rollout_orders,
        keys.rollout_statuses,
        keys.version_notes,
    ]
}

// Returns `None` if the store cannot restrict changes to a prefix.
async fn read_prefix(
    shell: &Shell,
    client: &mut Client,
    prefix: &str,
    known: Revision,
) -> Result<Option<Batch>, StoreError> {
    let Some(call) = shell.interface.store.changes_under(prefix, known) else {
        return Ok(None);
    };
    let address = shell.settings().store;
    let result = client.watch(address, &call, CALL_TIMEOUT, shell).await;
    shell
        .metrics
        .record_store_call("read_ahead", result.is_ok());
    Ok(Some(result?))
}

//! Advances rollouts and writes their statuses to the store.

use std::rc::Rc;

use http::StatusCode;
use serde_json::json;
use tokio::task::spawn_local;

use crate::shell::Shell;
use crate::store::Client;
use crate::store::StoreError;
use siskinyoke_base::Millis;
use siskinyoke_dispatch::core::StatusWrite;

/// Time limit for writing a status.
///
/// A write without a response may still take effect; the condition on revisions keeps it from being
/// applied twice.
const WRITE_TIMEOUT: Millis = Millis(1_500);

/// Advances rollouts by elapsed time and recorded responses, and logs changes of phase.
pub fn advance(shell: &Shell) {
    let phase_changes = shell.core.borrow_mut().advance_rollouts(shell.now());
    if phase_changes.is_empty() {
        return;
    }
    for change in phase_changes {
        let fields = json!({
            "service": &*change.service,
            "version": &*change.version,
            "phase": change.phase.as_str(),
        });
        shell.log("rollout", fields);
    }
    // Report the new phases to other shards at once.
    shell.broadcast_report();
    shell.decide();
}

/// Writes the rollout statuses that are due from this instance, unless a write is in progress.
pub fn write_due_statuses(shell: &Rc<Shell>) {
    let due = shell.core.borrow().status_writes(shell.now());
    if due.is_empty() || shell.writing_status.replace(true) {
        return;
    }
    let shell = shell.clone();
    spawn_local(async move {
        let mut client = Client::default();
        for write in due {
            write_status(&shell, &mut client, &write).await;
        }
        shell.writing_status.set(false);
    });
}

async fn write_status(shell: &Shell, client: &mut Client, write: &StatusWrite) {
    let documents = &shell.interface.documents;
    let store = &shell.interface.store;
    let key = documents.rollout_status_key(&write.order.service);
    let value = documents.encode_rollout_status(write.state, &write.order.version);
    let order = documents.rollout_order_key(&write.order.service);
    let expected = [
        (&*order, write.order_revision),
        (&*key, write.status_revision),
    ];
    let era = shell.core.borrow().store_era();
    // A revision of a lost history may be that of another item by now.
    if expected
        .iter()
        .any(|row| !row.1.is_zero() && row.1.era < era)
    {
        return;
    }
    let call = store.put_if(&key, &value, &expected);
    let result = client
        .call(shell.settings().store, &call, WRITE_TIMEOUT)
        .await;
    shell.metrics.record_store_call("rollout", result.is_ok());
    let outcome = match result {
        Ok(body) => match store.decode_put_if(&body) {
            Ok(true) => "written".to_owned(),
            Ok(false) => "changed meanwhile".to_owned(),
            Err(err) => err.to_string(),
        },
        Err(StoreError::Status(StatusCode::PRECONDITION_FAILED)) => "changed meanwhile".to_owned(),
        Err(err) => err.to_string(),
    };
    let fields = json!({
        "service": &*write.order.service,
        "version": &*write.order.version,
        "order": write.order.revision,
        "state": write.state.as_str(),
        "expected": write.status_revision,
        "standing": write.order_revision,
        "outcome": outcome,
    });
    shell.log("rollout_state", fields);
}

//! Advances rollouts and writes their states to the store.

use std::rc::Rc;

use http::StatusCode;
use serde_json::json;
use tokio::task::spawn_local;

use crate::shell::Shell;
use crate::store::Client;
use crate::store::StoreError;
use siskinyoke_base::Millis;
use siskinyoke_dispatch::core::StatusWrite;

/// Time limit for writing a state.
///
/// A write without a response may still take effect; the condition on revisions keeps it from being
/// applied twice.
const WRITE_TIMEOUT: Millis = Millis(1_500);

/// Advances rollouts by elapsed time and recorded responses, and logs changes of phase.
pub fn advance(shell: &Shell) {
    let shifts = shell.core.borrow_mut().advance_rollouts(shell.now());
    if shifts.is_empty() {
        return;
    }
    for shift in shifts {
        let fields = json!({
            "service": &*shift.service,
            "version": &*shift.version,
            "phase": shift.phase.as_str(),
        });
        shell.log("rollout", fields);
    }
    // Report a verdict to other shards at once.
    shell.start_discovery();
    shell.decide();
}

/// Writes the rollout states due from this instance, unless a write is in progress.
pub fn write_due_statuses(shell: &Rc<Shell>) {
    let due = shell.core.borrow().status_writes(shell.now());
    if due.is_empty() || shell.writing_status.replace(true) {
        return;
    }
    let shell = shell.clone();
    spawn_local(async move {
        let mut client = Client::default();
        for due in due {
            write_status(&shell, &mut client, &due).await;
        }
        shell.writing_status.set(false);
    });
}

async fn write_status(shell: &Shell, client: &mut Client, due: &StatusWrite) {
    let documents = &shell.interface.documents;
    let store = &shell.interface.store;
    let key = documents.rollout_status_key(&due.order.service);
    let value = documents.encode_rollout_status(due.state, &due.order.version);
    let order = documents.rollout_order_key(&due.order.service);
    let expected = [(&*order, due.order_revision), (&*key, due.status_revision)];
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
        "service": &*due.order.service,
        "version": &*due.order.version,
        "order": due.order.revision,
        "state": due.state.as_str(),
        "expected": due.status_revision,
        "standing": due.order_revision,
        "outcome": outcome,
    });
    shell.log("rollout_state", fields);
}

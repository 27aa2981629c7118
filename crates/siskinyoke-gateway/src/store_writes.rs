//! Writes to the store what this instance has to write: statuses of rollouts and notes of versions.

use std::rc::Rc;

use http::StatusCode;
use serde_json::Value;
use tokio::task::spawn_local;

use crate::conditional_write::ConditionalWrite;
use crate::rollouts;
use crate::shell::Shell;
use crate::store::Client;
use crate::store::StoreError;
use crate::version_notes;
use siskinyoke_base::Millis;

/// Time limit for the call that shows the store's era.
const CALL_TIMEOUT: Millis = Millis(1_000);

/// Sends the writes that are due from this instance, unless some are in progress.
pub fn send_due(shell: &Rc<Shell>) {
    let due = due(shell);
    if due.is_empty() || shell.writing.replace(true) {
        return;
    }
    let shell = shell.clone();
    spawn_local(async move {
        let mut client = Client::default();
        for write in due {
            send(&shell, &mut client, write).await;
        }
        shell.writing.set(false);
    });
}

fn due(shell: &Shell) -> Vec<ConditionalWrite> {
    let documents = &*shell.interface.documents;
    let core = shell.core.borrow();
    let statuses = core.status_writes(shell.now());
    let notes = core.due_version_notes(shell.now());
    let statuses = statuses.iter().map(|it| rollouts::encode(documents, it));
    let notes = notes.iter().map(|it| version_notes::encode(documents, it));
    statuses.chain(notes).collect()
}

async fn send(shell: &Shell, client: &mut Client, write: ConditionalWrite) {
    let result = match confirm_era(shell, client, &write.key).await {
        Ok(()) if write.is_outdated(shell.core.borrow().store_era()) => return,
        Ok(()) => {
            let store = &*shell.interface.store;
            let result = write.send(client, shell.settings().store, store).await;
            shell.metrics.record_store_call(write.kind, result.is_ok());
            result
        }
        Err(err) => Err(err),
    };
    let outcome = match result {
        Ok(true) => "written".to_owned(),
        Ok(false) => "changed meanwhile".to_owned(),
        Err(err) => err.to_string(),
    };
    let mut fields = write.fields;
    fields["outcome"] = Value::from(outcome);
    shell.log(write.event, fields);
}

// Makes a call that shows the store's present era. A store that came back from a copy gives out the
// same revisions again, so until its return is known, a condition on revisions says nothing.
async fn confirm_era(shell: &Shell, client: &mut Client, key: &str) -> Result<(), StoreError> {
    let known = shell.replica.borrow().revision();
    let Some(call) = shell.interface.store.changes_under(key, known) else {
        return Ok(());
    };
    let result = client
        .call(shell.settings().store, &call, CALL_TIMEOUT)
        .await;
    shell.metrics.record_store_call("era", result.is_ok());
    match result {
        Ok(_) | Err(StoreError::Status(StatusCode::GONE)) => {
            shell.check_era(client.headers()).map(|_| ())
        }
        Err(err) => Err(err),
    }
}

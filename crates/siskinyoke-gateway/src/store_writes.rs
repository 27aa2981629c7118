//! Writes to the store what this instance has to write: statuses of rollouts and notes of versions.

use std::rc::Rc;

use serde_json::Value;
use tokio::task::spawn_local;

use crate::conditional_write::ConditionalWrite;
use crate::rollouts;
use crate::shell::Shell;
use crate::store::Client;
use crate::version_notes;

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
    if write.is_outdated(shell.core.borrow().store_era()) {
        return;
    }
    let store = &*shell.interface.store;
    let result = write.send(client, shell.settings().store, store).await;
    shell.metrics.record_store_call(write.kind, result.is_ok());
    let outcome = match result {
        Ok(true) => "written".to_owned(),
        Ok(false) => "changed meanwhile".to_owned(),
        Err(err) => err.to_string(),
    };
    let mut fields = write.fields;
    fields["outcome"] = Value::from(outcome);
    shell.log(write.event, fields);
}

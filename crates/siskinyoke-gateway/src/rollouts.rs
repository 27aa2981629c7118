//! Advances rollouts, and encodes their statuses for the store.

use serde_json::json;

use crate::conditional_write::ConditionalWrite;
use crate::shell::Shell;
use siskinyoke_dispatch::core::StatusWrite;
use siskinyoke_interface::Documents;

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

/// Returns the write of a status, which takes effect only while the order and the status before are
/// those that this instance knows.
pub fn encode(documents: &dyn Documents, write: &StatusWrite) -> ConditionalWrite {
    let service = &write.order.service;
    let key = documents.rollout_status_key(service);
    let order = documents.rollout_order_key(service);
    ConditionalWrite {
        value: documents.encode_rollout_status(write.state, &write.order.version),
        expected: vec![
            (order, write.order_revision),
            (key.clone(), write.status_revision),
        ],
        key,
        kind: "rollout",
        event: "rollout_state",
        fields: json!({
            "service": &**service,
            "version": &*write.order.version,
            "order": write.order.revision,
            "state": write.state.as_str(),
            "expected": write.status_revision,
            "standing": write.order_revision,
        }),
    }
}

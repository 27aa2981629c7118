//! Records how many rejections endpoints bear, and logs changes and rejections.

use serde_json::json;

use crate::shell::Shell;
use siskinyoke_base::Millis;
use siskinyoke_dispatch::Endpoint;
use siskinyoke_dispatch::rejection_limits::RejectionLimitChange;
use siskinyoke_interface::ResponseClass;

/// Records what the head of a response to a request sent at `sent_at` states.
///
/// A missing limit counts as lifted only in a regular response.
pub fn record(
    shell: &Shell,
    endpoint: &Endpoint,
    sent_at: Millis,
    class: ResponseClass,
    limit: Option<u32>,
) {
    let now = shell.now();
    let mut core = shell.core.borrow_mut();
    if limit.is_some() || class == ResponseClass::Valid {
        core.record_rejection_limit(now, endpoint, sent_at, limit);
    }
    let rejected = class == ResponseClass::Rejected && core.record_rejection(now, endpoint);
    drop(core);
    log_changes(shell);
    if rejected {
        let fields = json!({ "endpoint": &*endpoint.id, "limit": limit });
        shell.log("endpoint_rejected", fields);
        // Peers keep sending requests until they receive a report.
        shell.report_due.notify_one();
    }
}

/// Logs each limit that was stated, changed or lifted.
pub fn log_changes(shell: &Shell) {
    let changes = shell.core.borrow_mut().take_rejection_limit_changes();
    if !changes.is_empty() {
        shell.report_due.notify_one();
    }
    for change in changes {
        let RejectionLimitChange {
            endpoint,
            limit,
            from_peer,
        } = change;
        let core = shell.core.borrow();
        let known = core.endpoint_by_hash(endpoint);
        let fields = json!({
            "endpoint": known.map(|it| it.id.to_string()),
            "key": endpoint,
            "limit": limit,
            "source": if from_peer { "peer" } else { "answer" },
        });
        drop(core);
        shell.log("rejection_limit", fields);
    }
}

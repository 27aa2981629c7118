//! Records the rate limits that endpoints announce in their responses, and logs changes.

use serde_json::json;

use crate::shell::Shell;
use siskinyoke_base::Millis;
use siskinyoke_dispatch::Endpoint;
use siskinyoke_dispatch::rate_limits::LimitChange;
use siskinyoke_interface::ResponseClass;

/// Records the rate limit in the head of a response to a request sent at `sent_at`.
///
/// A missing limit counts as lifted only in a regular response: a refusal need not state the rate
/// that the endpoint accepts.
pub fn record(
    shell: &Shell,
    endpoint: &Endpoint,
    sent_at: Millis,
    class: ResponseClass,
    rate: Option<f64>,
) {
    if rate.is_none() && class != ResponseClass::Valid {
        return;
    }
    let now = shell.now();
    shell
        .core
        .borrow_mut()
        .record_limit(now, endpoint, sent_at, rate);
    log_changes(shell);
}

/// Logs each limit that was announced, changed or lifted.
pub fn log_changes(shell: &Shell) {
    let changes = shell.core.borrow_mut().take_limit_changes();
    if !changes.is_empty() {
        // Peers keep sending at the previous rate until they receive a report.
        shell.report_due.notify_one();
    }
    for change in changes {
        let LimitChange {
            endpoint,
            before,
            rate,
            from_peer,
        } = change;
        let core = shell.core.borrow();
        let known = core.endpoint_by_hash(endpoint);
        let fields = json!({
            "endpoint": known.map(|it| it.id.to_string()),
            "key": endpoint,
            "before": before,
            "rate": rate,
            "source": if from_peer { "peer" } else { "answer" },
            "peers": core.peers().instance_count(shell.now()) - 1,
        });
        drop(core);
        shell.log("rate_limit", fields);
    }
}

//! Takes in the rate limits that endpoints name in their answers, and logs what becomes of them.

use serde_json::json;

use crate::shell::Shell;
use siskinyoke_base::Millis;
use siskinyoke_dispatch::Endpoint;
use siskinyoke_dispatch::rate_limits::LimitChange;
use siskinyoke_interface::FormatError;
use siskinyoke_interface::Verdict;

/// Takes in what the head of an answer says of a limit; its request was sent at `sent`.
///
/// Only an answer of the endpoint's own shows that it names none any more: a refusal need not name what it takes.
pub fn record(
    shell: &Shell,
    endpoint: &Endpoint,
    sent: Millis,
    verdict: Verdict,
    limit: Result<Option<f64>, FormatError>,
) {
    let rate = match limit {
        Ok(None) if verdict != Verdict::Answer => return,
        Ok(rate) => rate,
        Err(err) => {
            let fields = json!({ "endpoint": &*endpoint.id, "error": err.to_string() });
            shell.log("rate_limit_unreadable", fields);
            return;
        }
    };
    let now = shell.now();
    shell
        .core
        .borrow_mut()
        .record_limit(now, endpoint, sent, rate);
    log_changes(shell);
}

/// Writes a line for each limit that was named, changed or lifted.
pub fn log_changes(shell: &Shell) {
    let changes = shell.core.borrow_mut().take_limit_changes();
    if !changes.is_empty() {
        // Peers send there until they hear of it.
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

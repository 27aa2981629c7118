//! Records endpoints whose responses say that they are leaving, and logs what peers report of them.

use serde_json::json;

use crate::shell::Shell;
use siskinyoke_base::Millis;
use siskinyoke_dispatch::Endpoint;

/// Records that a response to a request sent at `sent_at` says that its endpoint is leaving.
pub fn record(shell: &Shell, endpoint: &Endpoint, sent_at: Millis) {
    let is_new = shell
        .core
        .borrow_mut()
        .announce_departure(shell.now(), endpoint, sent_at);
    if is_new {
        log_departure(shell, endpoint, "answer");
        // Peers keep sending requests until they receive a full report.
        shell.broadcast_report();
    }
}

/// Logs the endpoints that peers reported as leaving.
pub fn log_reported(shell: &Shell) {
    let reported = shell.core.borrow_mut().take_reported_departures();
    for endpoint in reported {
        log_departure(shell, &endpoint, "peer");
    }
}

fn log_departure(shell: &Shell, endpoint: &Endpoint, source: &str) {
    let fields = json!({
        "endpoint": &*endpoint.id,
        "born": endpoint.started_ms,
        "service": &*endpoint.service,
        "source": source,
    });
    shell.log("endpoint_leaving", fields);
}

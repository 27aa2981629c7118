//! Applies the back-offs that endpoints request in their responses.

use serde_json::json;

use crate::shell::Shell;
use siskinyoke_base::Millis;
use siskinyoke_dispatch::Endpoint;
use siskinyoke_dispatch::requested_backoff::MAX_REQUESTED_BACKOFF;

/// Applies the back-off that the head of a response requests.
pub fn apply(shell: &Shell, endpoint: &Endpoint, backoff: Millis) {
    if backoff == Millis::ZERO {
        return;
    }
    let is_new = shell
        .core
        .borrow_mut()
        .request_backoff(shell.now(), endpoint, backoff);
    // Requests that were sent before it are rejected too.
    if is_new {
        let fields = json!({
            "endpoint": &*endpoint.id,
            "service": &*endpoint.service,
            "asked_ms": backoff.0,
            "applied_ms": backoff.min(MAX_REQUESTED_BACKOFF).0,
        });
        shell.log("endpoint_backoff", fields);
    }
}

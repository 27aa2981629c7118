//! What endpoints say of themselves in the heads of their responses.

use http::Response;
use hyper::body::Incoming;
use serde_json::json;

use crate::departures;
use crate::rate_limits;
use crate::rejection_limits;
use crate::requested_backoff;
use crate::shell::Shell;
use siskinyoke_base::Millis;
use siskinyoke_dispatch::Endpoint;
use siskinyoke_interface::FormatError;
use siskinyoke_interface::ResponseClass;

/// Records the announcements in the head of a response to a request sent at `sent_at`.
pub fn record(
    shell: &Shell,
    endpoint: &Endpoint,
    sent_at: Millis,
    class: ResponseClass,
    response: &Response<Incoming>,
) {
    // Other classes mean a response from another endpoint or to another request.
    if !matches!(class, ResponseClass::Valid | ResponseClass::Rejected) {
        return;
    }
    let exchange = &shell.interface.exchange;
    let headers = response.headers();
    let rate_limit = exchange.rate_limit(headers);
    if let Some(rate) = readable(shell, endpoint, "rate_limit_unreadable", rate_limit) {
        rate_limits::record(shell, endpoint, sent_at, class, rate);
    }
    let limit = exchange.rejection_limit(headers);
    if let Some(limit) = readable(shell, endpoint, "rejection_limit_unreadable", limit) {
        rejection_limits::record(shell, endpoint, sent_at, class, limit);
    }
    let backoff = exchange.requested_backoff(response.status(), headers);
    if let Some(Some(backoff)) = readable(shell, endpoint, "endpoint_backoff_unreadable", backoff) {
        requested_backoff::apply(shell, endpoint, backoff);
    }
    let leaving = exchange.is_leaving(headers);
    if readable(shell, endpoint, "endpoint_leaving_unreadable", leaving) == Some(true) {
        departures::record(shell, endpoint, sent_at);
    }
}

// Returns a decoded value, or logs the event of one that is malformed.
fn readable<T>(
    shell: &Shell,
    endpoint: &Endpoint,
    event: &str,
    value: Result<T, FormatError>,
) -> Option<T> {
    match value {
        Ok(value) => Some(value),
        Err(err) => {
            let fields = json!({ "endpoint": &*endpoint.id, "error": err.to_string() });
            shell.log(event, fields);
            None
        }
    }
}

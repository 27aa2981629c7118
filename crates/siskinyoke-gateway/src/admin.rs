//! The auxiliary pages of an instance: readiness, directory and metrics.

use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use serde_json::json;

use crate::connection_group::ConnectionGroup;
use crate::response;
use crate::response::ResponseBody;
use crate::shell::Shell;
use siskinyoke_base::Millis;

/// Maximum time for which callers may cache the directory's response.
///
/// An instance that shuts down serves for longer than this, and callers avoid a dead instance after
/// one failure. A shorter time would add queries for no gain.
const MAX_DIRECTORY_TTL: Millis = Millis(2_000);

/// The path of the page of shares, on the port of the metrics page.
const SHARES_PATH: &str = "/shares";

/// Returns whether this instance accepts requests from callers.
pub fn health(shell: &Shell, request: &Request<Incoming>) -> Response<ResponseBody> {
    if request.uri().path() != shell.interface.directory.readiness_path() {
        return response::text(StatusCode::NOT_FOUND, "no such page");
    }
    if shell.core.borrow().ready(shell.now()) {
        response::text(StatusCode::OK, "ready")
    } else {
        response::text(StatusCode::SERVICE_UNAVAILABLE, "not ready")
    }
}

/// Returns the addresses of the instances that a caller should use.
pub fn directory(shell: &Shell, request: &Request<Incoming>) -> Response<ResponseBody> {
    if request.uri().path() != shell.interface.directory.directory_path() {
        return response::text(StatusCode::NOT_FOUND, "no such page");
    }
    let centre = shell
        .interface
        .directory
        .requested_centre(request.uri().query().unwrap_or(""));
    let addresses = shell.core.borrow().caller_addresses(shell.now(), centre);
    if addresses.is_empty() {
        return response::text(StatusCode::SERVICE_UNAVAILABLE, "no instance is ready");
    }
    let ttl = MAX_DIRECTORY_TTL.min(shell.settings().directory_ttl());
    response::json(shell.interface.directory.encode_addresses(&addresses, ttl))
}

/// Returns the metrics page, or the page of shares.
pub fn operators_page(shell: &Shell, request: &Request<Incoming>) -> Response<ResponseBody> {
    if request.uri().path() == SHARES_PATH {
        shares_page(shell)
    } else {
        metrics_page(shell)
    }
}

// Lists the organisations with the most use of each service whose slots are short.
fn shares_page(shell: &Shell) -> Response<ResponseBody> {
    let listings = shell.core.borrow().share_listings(shell.now());
    let rows: Vec<_> = listings
        .iter()
        .map(|it| {
            json!({
                "service": &*it.service,
                "tier": it.tier,
                "organisation": it.organisation.as_deref(),
                "used_slots": it.state.used_slots,
                "share_slots": it.state.share_slots,
                "above_share": it.state.above_share,
            })
        })
        .collect();
    response::json(json!(rows).to_string().into_bytes())
}

fn metrics_page(shell: &Shell) -> Response<ResponseBody> {
    let core = shell.core.borrow();
    let (waiting, running) = core.scheduler().request_counts();
    shell.metrics.set_state("waiting", to_f64(waiting));
    shell.metrics.set_state("running", to_f64(running));
    shell.metrics.set_state(
        "peers",
        to_f64(core.peers().instance_count(shell.now()) - 1),
    );
    shell
        .metrics
        .set_state("store", f64::from(u8::from(core.store_available())));
    let watching = f64::from(u8::from(shell.watching.get()));
    shell.metrics.set_state("watching", watching);
    let limits = core.scheduler().rate_limits().active_count();
    shell.metrics.set_state("limited_endpoints", to_f64(limits));
    let brittle = core.scheduler().rejection_limits().active_count();
    shell
        .metrics
        .set_state("brittle_endpoints", to_f64(brittle));
    let backoffs = core.scheduler().requested_backoffs(shell.now());
    shell
        .metrics
        .set_state("endpoint_backoffs", to_f64(backoffs));
    shell
        .metrics
        .set_state("lost_links", to_f64(core.lost_link_count()));
    shell
        .metrics
        .set_state("stream_records", to_f64(core.stream_count()));
    let above = core.above_share_count(shell.now());
    shell
        .metrics
        .set_state("organisations_above_share", to_f64(above));
    let client_bytes = shell.clients.memory.held();
    shell
        .metrics
        .set_state("client_bytes", to_f64(client_bytes));
    let callers = shell.clients.connections.count(ConnectionGroup::Callers);
    shell
        .metrics
        .set_state("caller_connections", to_f64(callers));
    let relayed = shell.relay.in_flight();
    shell.metrics.set_state("relayed", to_f64(relayed));
    let age = shell.now().since(shell.store_contact.get());
    shell.metrics.set_state("store_age_seconds", age.as_secs());
    #[expect(clippy::cast_precision_loss, reason = "versions are far below 2^52")]
    shell
        .metrics
        .set_state("configuration", core.configuration_version() as f64);
    match shell.metrics.render() {
        Ok(page) => {
            let mut response = Response::new(ResponseBody::Full(Some(page.into())));
            let value = http::HeaderValue::from_static("text/plain; version=0.0.4");
            response
                .headers_mut()
                .insert(http::header::CONTENT_TYPE, value);
            response
        }
        Err(err) => response::text(StatusCode::INTERNAL_SERVER_ERROR, &err),
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
fn to_f64(value: usize) -> f64 {
    value as f64
}

//! The short answers beside callers' work: readiness, directory, metrics.

use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;

use crate::answer;
use crate::answer::AnswerBody;
use crate::shell::Shell;
use siskinyoke_base::Millis;

/// How long callers should keep the directory's answer.
///
/// An instance that leaves goes on serving for longer; one that died is avoided by its callers
/// after one failure. Shorter answers cost a question each for no gain.
const MAX_DIRECTORY_TTL: Millis = Millis(2_000);

/// Answers whether this instance takes callers.
pub fn health(shell: &Shell, request: &Request<Incoming>) -> Response<AnswerBody> {
    if request.uri().path() != shell.interface.directory.readiness_path() {
        return answer::plain(StatusCode::NOT_FOUND, "no such page");
    }
    if shell.core.borrow().ready() {
        answer::plain(StatusCode::OK, "ready")
    } else {
        answer::plain(StatusCode::SERVICE_UNAVAILABLE, "not ready")
    }
}

/// Answers which instances a caller should use.
pub fn directory(shell: &Shell, request: &Request<Incoming>) -> Response<AnswerBody> {
    if request.uri().path() != shell.interface.directory.directory_path() {
        return answer::plain(StatusCode::NOT_FOUND, "no such page");
    }
    let centre = shell
        .interface
        .directory
        .requested_centre(request.uri().query().unwrap_or(""));
    let addresses = shell.core.borrow().caller_addresses(shell.now(), centre);
    if addresses.is_empty() {
        return answer::plain(StatusCode::SERVICE_UNAVAILABLE, "no instance is ready");
    }
    let keep = MAX_DIRECTORY_TTL.min(shell.settings().directory_ttl());
    answer::json(shell.interface.directory.encode_addresses(&addresses, keep))
}

/// Answers with the metrics page.
pub fn metrics_page(shell: &Shell, _: &Request<Incoming>) -> Response<AnswerBody> {
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
    let age = shell.now().since(shell.store_answered.get());
    shell.metrics.set_state("store_age_seconds", age.as_secs());
    #[expect(clippy::cast_precision_loss, reason = "versions permit far below 2^52")]
    shell
        .metrics
        .set_state("configuration", core.configuration_version() as f64);
    match shell.metrics.render() {
        Ok(page) => {
            let mut response = Response::new(AnswerBody::Whole(Some(page.into())));
            let value = http::HeaderValue::from_static("text/plain; version=0.0.4");
            response
                .headers_mut()
                .insert(http::header::CONTENT_TYPE, value);
            response
        }
        Err(err) => answer::plain(StatusCode::INTERNAL_SERVER_ERROR, &err),
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts permit far below 2^52")]
fn to_f64(value: usize) -> f64 {
    value as f64
}

//! Bodies of requests that are refused before they are read.

use std::time::Duration;

use http::HeaderValue;
use http::Response;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::body::Incoming;
use tokio::time::timeout;

/// How much of a body is discarded to keep its connection.
const MAX_DISCARDED_BYTES: usize = 64 * 1024;

/// How long a refusal waits for the rest of the body.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(100);

/// Returns a response to a request whose body has not been read.
///
/// The connection can be used further only after the body, so the response says that it is closed
/// where the body does not arrive at once.
pub async fn respond_before<B>(response: Response<B>, body: Incoming) -> Response<B> {
    let discarded = timeout(DISCARD_TIMEOUT, discard(body)).await;
    if discarded.unwrap_or(false) {
        response
    } else {
        closing(response)
    }
}

/// Returns a response that says that its connection is closed.
pub fn closing<B>(mut response: Response<B>) -> Response<B> {
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(header::CONNECTION, close);
    response
}

// Returns whether the whole body was discarded.
async fn discard(body: Incoming) -> bool {
    let mut body = Limited::new(body, MAX_DISCARDED_BYTES);
    while let Some(frame) = body.frame().await {
        if frame.is_err() {
            return false;
        }
    }
    true
}

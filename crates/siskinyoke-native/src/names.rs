//! Names of headers, paths and keys.

use http::HeaderName;

/// The identity of a request, for logs; it is passed on and comes back.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// How long the sender still waits, in ms.
pub const CALLER_TIMEOUT: HeaderName = HeaderName::from_static("siskinyoke-need");
/// Output tokens that the caller expects.
pub const OUTPUT_ESTIMATE: HeaderName = HeaderName::from_static("siskinyoke-expected-tokens");
/// Prompt tokens, and the most output tokens.
pub const TOKEN_COUNTS: HeaderName = HeaderName::from_static("siskinyoke-tokens");
/// The organisation, as endpoints are told it.
pub const ORGANISATION_NAME: HeaderName = HeaderName::from_static("siskinyoke-organisation");
/// The requests a second that an endpoint takes from all instances together.
pub const RATE_LIMIT: HeaderName = HeaderName::from_static("siskinyoke-rate-limit");
/// The endpoint that is meant; another at its address answers 421.
pub const TARGET_ENDPOINT: HeaderName = HeaderName::from_static("siskinyoke-endpoint");
/// The number of the result code.
pub const RESULT_CODE: HeaderName = HeaderName::from_static("siskinyoke-code");
/// What the caller may conclude: `done`, `not-run` or `unknown`.
pub const RESULT_KIND: HeaderName = HeaderName::from_static("siskinyoke-kind");
/// The last event a caller has of a stream.
pub const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");

/// The path of chat requests; the model stands in the body.
pub const CHAT_PATH: &str = "/v1/chat/completions";
/// The prefix of plain services' paths; the service's name follows.
pub const SERVICE_PATH: &str = "/v1/services/";
/// The prefix under which models' routes are kept.
pub const MODEL_PATH: &str = "/v1/models/";
/// The path that says whether an instance takes callers.
pub const READY_PATH: &str = "/healthz";
/// The path that names the instances to use.
pub const LOCATE_PATH: &str = "/v1/locate";

/// The prefix of all our keys in the store.
pub const KEY_PREFIX: &str = "siskinyoke/";
/// The key of the configuration.
pub const CONFIGURATION_KEY: &str = "siskinyoke/configuration";
/// The prefix of the endpoints' entries.
pub const ENDPOINT_PREFIX: &str = "siskinyoke/endpoints/";
/// The prefix of the instances' entries.
pub const INSTANCE_PREFIX: &str = "siskinyoke/instances/";
/// The prefix of the operators' orders to move a service to another version.
pub const ROLLOUT_ORDER_PREFIX: &str = "siskinyoke/rollouts/";
/// The prefix of the states of these orders.
pub const ROLLOUT_STATE_PREFIX: &str = "siskinyoke/rollout-states/";

/// Returns the digest under which the configuration holds a bearer key, in hex.
pub fn key_digest(key: &str) -> String {
    blake3::hash(key.as_bytes()).to_hex().to_string()
}

/// Returns the prefix under which the route of a model is kept.
pub fn model_path(model: &str, stream: bool) -> String {
    let end = if stream { "stream/" } else { "" };
    format!("{MODEL_PATH}{model}/{end}")
}

//! Names of headers, paths and store keys.

use http::HeaderName;

/// The ID of a request, for log entries; forwarded to the endpoint, which echoes it.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// Time the sender still waits for the response, in ms.
pub const CALLER_TIMEOUT: HeaderName = HeaderName::from_static("siskinyoke-need");
/// The caller's estimate of the output tokens.
pub const OUTPUT_ESTIMATE: HeaderName = HeaderName::from_static("siskinyoke-expected-tokens");
/// Prompt tokens and maximum output tokens.
pub const TOKEN_COUNTS: HeaderName = HeaderName::from_static("siskinyoke-tokens");
/// The organisation of the caller, sent to endpoints.
pub const ORGANISATION_NAME: HeaderName = HeaderName::from_static("siskinyoke-organisation");
/// How many requests a second, from all instances together, an endpoint can reject.
pub const REJECTION_LIMIT: HeaderName = HeaderName::from_static("siskinyoke-rejection-limit");
/// Requests per second that an endpoint accepts from all instances together.
pub const RATE_LIMIT: HeaderName = HeaderName::from_static("siskinyoke-rate-limit");
/// Whether the endpoint is leaving: 1 if it is.
pub const ENDPOINT_LEAVING: HeaderName = HeaderName::from_static("siskinyoke-leaving");
/// The target endpoint; any other endpoint at its address responds with 421.
pub const TARGET_ENDPOINT: HeaderName = HeaderName::from_static("siskinyoke-endpoint");
/// The numeric result code.
pub const RESULT_CODE: HeaderName = HeaderName::from_static("siskinyoke-code");
/// Whether the request ran: `done`, `not-run` or `unknown`.
pub const RESULT_KIND: HeaderName = HeaderName::from_static("siskinyoke-kind");
/// The request that brought the first event of the stream with which the caller goes on.
pub const RESUMED_ID: HeaderName = HeaderName::from_static("siskinyoke-resumes");
/// The last event of a stream that the caller received.
pub const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");

/// The path at which engines state whether they are up; requests of it need no slot.
pub const PROBE_PATH: &str = "/health";
/// The path of chat requests; the body names the model.
pub const CHAT_PATH: &str = "/v1/chat/completions";
/// The path prefix of plain services, followed by the service's name.
pub const SERVICE_PATH: &str = "/v1/services/";
/// The path prefix of routes for chat requests, followed by the model.
pub const MODEL_PATH: &str = "/v1/models/";
/// The path of the check whether an instance accepts callers.
pub const READY_PATH: &str = "/healthz";
/// The path that lists the instances to use.
pub const LOCATE_PATH: &str = "/v1/locate";

/// The prefix of all store keys.
pub const KEY_PREFIX: &str = "siskinyoke/";
/// The store key of the operators' configuration.
pub const CONFIGURATION_KEY: &str = "siskinyoke/configuration";
/// The key prefix of endpoint entries.
pub const ENDPOINT_PREFIX: &str = "siskinyoke/endpoints/";
/// The key prefix of instance entries.
pub const INSTANCE_PREFIX: &str = "siskinyoke/instances/";
/// The key prefix of rollout orders.
pub const ROLLOUT_ORDER_PREFIX: &str = "siskinyoke/rollouts/";
/// The key prefix of rollout statuses.
pub const ROLLOUT_STATUS_PREFIX: &str = "siskinyoke/rollout-states/";
/// The key prefix of notes of services' versions, which instances write.
pub const VERSION_NOTE_PREFIX: &str = "siskinyoke/versions/";
/// The key prefix of records of streams, which instances write.
pub const STREAM_RECORD_PREFIX: &str = "siskinyoke/streams/";
/// The key prefix of records of requests in quarantine, which instances write.
pub const QUARANTINE_PREFIX: &str = "siskinyoke/quarantine/";

/// Returns the hexadecimal digest of an API key, as stored in the configuration.
pub fn key_digest(key: &str) -> String {
    blake3::hash(key.as_bytes()).to_hex().to_string()
}

/// Returns the path prefix of a model's route, which differs for streams.
pub fn model_path(model: &str, stream: bool) -> String {
    let suffix = if stream { "stream/" } else { "" };
    format!("{MODEL_PATH}{model}/{suffix}")
}

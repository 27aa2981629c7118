//! Heads of requests and responses, for callers and for endpoints.

use std::borrow::Cow;
use std::fmt::Debug;

use http::HeaderMap;
use http::Response;
use http::StatusCode;
use http::Uri;
use http::request::Parts;

use crate::FormatError;
use crate::Resumption;
use siskinyoke_base::Code;
use siskinyoke_base::Millis;
use siskinyoke_dispatch::Endpoint;
use siskinyoke_dispatch::PromptParts;
use siskinyoke_dispatch::Refusal;

/// The properties of a caller's request that routing and scheduling use.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestHead<'a> {
    /// The request ID, if given.
    pub id: Option<&'a str>,
    /// The requested host, without a port.
    pub host: &'a str,
    /// The path used to find the route.
    pub path: Cow<'a, str>,
    /// The API key, in the form in which the configuration stores keys.
    pub api_key: Option<Cow<'a, str>>,
    /// How long the caller waits for the response.
    pub timeout: Option<Millis>,
    /// Prompt tokens and maximum output tokens.
    pub token_counts: Option<(u64, u64)>,
    /// The caller's estimate of the output tokens, which may be far off.
    pub output_estimate: Option<u64>,
    /// The parts of the prompt that other requests may share.
    pub prompt_parts: PromptParts,
    /// Whether it goes on with a stream.
    pub resumption: Resumption<'a>,
}

/// The meaning of the head of an endpoint's response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseClass {
    /// A response to this request, with any status.
    Valid,
    /// The endpoint had no free slot and did not run the request.
    Rejected,
    /// Another endpoint is at this address; it did not run the request.
    Misdirected,
    /// A response to another request, or one that violates the protocol.
    Mismatched,
}

/// Decodes and builds the heads of requests and responses.
pub trait Exchange: Debug {
    /// Returns whether a request can only be decoded together with its body.
    fn needs_body(&self, _: &Parts) -> bool {
        false
    }

    /// Returns the ID of a request, for log entries.
    fn request_id<'a>(&self, parts: &'a Parts) -> Option<&'a str>;

    /// Returns how long the caller waits for the response, if the request states it.
    fn caller_timeout(&self, parts: &Parts) -> Option<Millis>;

    /// Decodes a caller's request; `body` is empty unless [`Self::needs_body`] returns true.
    ///
    /// # Errors
    ///
    /// The body is needed but malformed.
    fn decode_request<'a>(
        &self,
        parts: &'a Parts,
        body: &[u8],
    ) -> Result<RequestHead<'a>, FormatError>;

    /// Returns the path of a request that an endpoint responds to without a slot, whatever the
    /// response says: it only tells whether the endpoint can be reached.
    fn probe_path(&self) -> &'static str;

    /// Returns the path of a request to which an endpoint responds, without a slot, with a report
    /// that states when it started, if the protocol has one.
    fn report_path(&self) -> Option<&'static str> {
        None
    }

    /// Returns when an endpoint started by its report, in milliseconds of Unix time, if that states
    /// it.
    fn decode_start(&self, _report: &[u8]) -> Option<u64> {
        None
    }

    /// Returns the path and query of the request to an endpoint.
    fn endpoint_uri(&self, uri: &Uri) -> Uri {
        uri.clone()
    }

    /// Converts a caller's headers to those for endpoints, except for the headers that differ with
    /// each attempt.
    fn request_headers(&self, headers: &HeaderMap, organisation: Option<&str>) -> HeaderMap;

    /// Sets the headers that differ with each attempt: the target endpoint and the remaining time.
    fn set_endpoint(&self, headers: &mut HeaderMap, endpoint: &Endpoint, remaining: Millis);

    /// Asks the endpoint to resume a stream after this event.
    fn set_last_event(&self, headers: &mut HeaderMap, event: &str);

    /// Returns the data of the event that ends every complete stream, if the protocol has one.
    fn last_event_data(&self) -> Option<&'static str> {
        None
    }

    /// Classifies the head of an endpoint's response to the request with this ID.
    fn classify_response(
        &self,
        status: StatusCode,
        headers: &HeaderMap,
        id: Option<&str>,
    ) -> ResponseClass;

    /// Returns the rate limit stated in an endpoint's response, if any: requests per second from
    /// all instances together.
    ///
    /// # Errors
    ///
    /// The value is not a valid rate.
    fn rate_limit(&self, headers: &HeaderMap) -> Result<Option<f64>, FormatError>;

    /// Returns how many requests from all instances an endpoint can reject in a second without
    /// falling over, if its response states that.
    ///
    /// # Errors
    ///
    /// The value is not a whole number of 0 or more.
    fn rejection_limit(&self, headers: &HeaderMap) -> Result<Option<u32>, FormatError>;

    /// Returns whether an endpoint's response says that the endpoint is leaving: it accepts no new
    /// requests from any instance.
    ///
    /// # Errors
    ///
    /// The value is malformed.
    fn is_leaving(&self, headers: &HeaderMap) -> Result<bool, FormatError>;

    /// Returns for how long an endpoint that rejected a request accepts none from this instance, if
    /// its response states that.
    ///
    /// # Errors
    ///
    /// The value is malformed.
    fn requested_backoff(
        &self,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> Result<Option<Millis>, FormatError>;

    /// Converts the headers of an endpoint's response to those for the caller.
    fn response_headers(&self, status: StatusCode, headers: &HeaderMap) -> HeaderMap;

    /// Builds the response to a refused request, which has not run.
    fn refusal_response(&self, refusal: Refusal) -> Response<Vec<u8>>;

    /// Builds any other error response; the code tells whether the request may have run.
    fn error_response(&self, code: Code) -> Response<Vec<u8>>;
}

//! Heads of requests and answers, towards callers and towards endpoints.

use std::borrow::Cow;
use std::fmt::Debug;

use http::HeaderMap;
use http::Response;
use http::StatusCode;
use http::Uri;
use http::request::Parts;

use crate::FormatError;
use siskinyoke_base::Code;
use siskinyoke_base::Millis;
use siskinyoke_dispatch::Endpoint;
use siskinyoke_dispatch::Refusal;

/// What a caller's request says, beside what is only passed on.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestHead<'a> {
    /// The identity of this attempt.
    pub id: Option<&'a str>,
    /// The host it is for, without a port.
    pub host: &'a str,
    /// The path by which its route is found.
    pub path: Cow<'a, str>,
    /// Its key, in the form in which the configuration holds keys.
    pub api_key: Option<Cow<'a, str>>,
    /// How long the caller waits.
    pub timeout: Option<Millis>,
    /// Prompt tokens, and the most output tokens.
    pub token_counts: Option<(u64, u64)>,
    /// Output tokens that the caller expects; it may be far off.
    pub output_estimate: Option<u64>,
}

/// What the head of an endpoint's answer says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseClass {
    /// The endpoint's own answer, whatever its status.
    Valid,
    /// It had no room and did not run the request.
    Rejected,
    /// The endpoint that was meant is not at this address; nothing ran.
    Misdirected,
    /// It is the answer to another request, or no answer in the protocol.
    Mismatched,
}

/// Heads of requests and answers.
pub trait Exchange: Debug {
    /// Returns whether a request can only be understood with its body.
    fn needs_body(&self, _: &Parts) -> bool {
        false
    }

    /// Returns the identity of a request, for logs.
    fn request_id<'a>(&self, parts: &'a Parts) -> Option<&'a str>;

    /// Returns how long a request's caller waits, if it says so.
    fn deadline(&self, parts: &Parts) -> Option<Millis>;

    /// Decodes a caller's request; `body` is empty unless its head says too little.
    ///
    /// # Errors
    ///
    /// What is wrong with a body that had to be understood.
    fn decode_request<'a>(
        &self,
        parts: &'a Parts,
        body: &[u8],
    ) -> Result<RequestHead<'a>, FormatError>;

    /// Returns the path with its query under which an endpoint is asked.
    fn endpoint_uri(&self, uri: &Uri) -> Uri {
        uri.clone()
    }

    /// Turns a caller's headers into those for endpoints, but for what differs with each sending.
    fn request_headers(&self, headers: &HeaderMap, organisation: Option<&str>) -> HeaderMap;

    /// Sets what differs with each sending: the one endpoint meant, and the time that is left.
    fn set_endpoint(&self, headers: &mut HeaderMap, endpoint: &Endpoint, left: Millis);

    /// Asks an endpoint to go on after an event of a stream.
    fn set_last_event(&self, headers: &mut HeaderMap, event: &str);

    /// Decodes the head of an endpoint's answer to the request with this identity.
    fn classify_response(
        &self,
        status: StatusCode,
        headers: &HeaderMap,
        id: Option<&str>,
    ) -> ResponseClass;

    /// Returns the requests a second that an endpoint says it takes from all instances together, if its answer names
    /// that.
    ///
    /// # Errors
    ///
    /// What is wrong with the figure.
    fn rate_limit(&self, headers: &HeaderMap) -> Result<Option<f64>, FormatError>;

    /// Turns an endpoint's headers into those for the caller.
    fn response_headers(&self, status: StatusCode, headers: &HeaderMap) -> HeaderMap;

    /// Makes the answer to a request that was turned away unrun.
    fn refusal_response(&self, refusal: Refusal) -> Response<Vec<u8>>;

    /// Makes any other answer of our own; the code says whether the request may have run.
    fn error_response(&self, code: Code) -> Response<Vec<u8>>;
}

//! One attempt to send a request, and the errors with which it can fail.

use rand::Rng;
use rand::distr::Alphanumeric;
use ureq::http;

use crate::Outcome;
use crate::Request;
use siskinyoke_base::OutcomeKind;

/// Length of a generated request ID: about 120 bits, so that collisions are negligible.
const ID_LENGTH: usize = 20;

/// One attempt to send a request.
pub struct Attempt<'a> {
    /// The request to send.
    pub request: &'a Request,
    /// The request ID used in logs.
    pub id: &'a str,
    /// The number of earlier attempts.
    pub index: u32,
    /// The event after which the attempt goes on with the stream of an earlier one.
    pub resume_after: Option<&'a str>,
}

/// The reason why an attempt received no complete response.
pub enum AttemptError {
    /// The request was not sent.
    NotSent(String),
    /// The request was sent, at least in part, and may have run.
    ResponseLost(String),
}

impl AttemptError {
    /// Classifies an error of the HTTP client by whether the request may have been sent.
    pub fn from_ureq(err: ureq::Error) -> Self {
        let text = err.to_string();
        match err {
            ureq::Error::ConnectionFailed | ureq::Error::HostNotFound => Self::NotSent(text),
            ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve) => {
                Self::NotSent(text)
            }
            ureq::Error::Io(err) if err.kind() == std::io::ErrorKind::ConnectionRefused => {
                Self::NotSent(text)
            }
            _ => Self::ResponseLost(text),
        }
    }
}

impl Attempt<'_> {
    /// Builds the HTTP request to an address.
    pub fn build_request(
        &self,
        address: &str,
        key: &str,
    ) -> Result<http::Request<Vec<u8>>, String> {
        let mut builder = http::Request::builder()
            .method(self.request.method.as_str())
            .uri(format!("http://{address}{}", self.request.path))
            .header("Authorization", format!("Bearer {key}"))
            .header("Content-Type", &self.request.content_type)
            .header("X-Request-Id", self.id);
        if let Some(event) = self.resume_after {
            builder = builder
                .header("Last-Event-Id", event)
                .header("Siskinyoke-Resumes", self.id);
        }
        if let Some(timeout) = self.request.caller_timeout {
            builder = builder.header("Siskinyoke-Need", timeout.0);
        }
        builder
            .body(self.request.body.clone())
            .map_err(|err| err.to_string())
    }

    /// Returns the outcome of an attempt whose request may have run.
    pub fn unknown_outcome(&self) -> Outcome {
        Outcome {
            status: 0,
            code: 0,
            kind: OutcomeKind::Unknown,
            body: Vec::new(),
            retry_after: None,
            id: self.id.to_owned(),
            attempts: self.index + 1,
        }
    }
}

/// Generates a random request ID.
pub fn generate_id() -> String {
    rand::rng()
        .sample_iter(&Alphanumeric)
        .take(ID_LENGTH)
        .map(char::from)
        .collect()
}

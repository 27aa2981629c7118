//! One sending of a request, and why it may bring no answer.

use rand::Rng;
use rand::distr::Alphanumeric;
use ureq::http;

use crate::Outcome;
use crate::Request;
use siskinyoke_base::Kind;

/// Length of a drawn identity; 120 bits are never drawn twice.
const ID_LENGTH: usize = 20;

/// One sending of a request.
pub struct Attempt<'a> {
    /// What is sent.
    pub request: &'a Request,
    /// Its identity in logs.
    pub id: &'a str,
    /// How many times it was sent before.
    pub index: u32,
}

/// Why a sending brought no answer.
pub enum AttemptError {
    /// Nothing was sent.
    NotSent(String),
    /// Something was sent, and it may have run.
    ResponseLost(String),
}

impl AttemptError {
    /// Tells what an error of the library means.
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
    /// Builds the request for an address.
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
        if let Some(need) = self.request.caller_timeout {
            builder = builder.header("Siskinyoke-Need", need.0);
        }
        builder
            .body(self.request.body.clone())
            .map_err(|err| err.to_string())
    }

    /// Returns the outcome of a sending that may have run.
    pub fn unknown_outcome(&self) -> Outcome {
        Outcome {
            status: 0,
            code: 0,
            kind: Kind::Unknown,
            body: Vec::new(),
            retry_after: None,
            id: self.id.to_owned(),
            attempts: self.index + 1,
        }
    }
}

/// Draws an identity.
pub fn generate_id() -> String {
    rand::rng()
        .sample_iter(&Alphanumeric)
        .take(ID_LENGTH)
        .map(char::from)
        .collect()
}

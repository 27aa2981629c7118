//! HTTP towards the platform, which tells apart what cannot and what may have taken effect.

use std::io::ErrorKind;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use ureq::Agent;
use ureq::Body;
use ureq::Error;
use ureq::Timeout;
use ureq::http::Response;

use siskinyoke_base::Millis;
use siskinyoke_control::PlatformError;

/// Largest answer read: a list of values at their limit is cut short rather than held whole.
const ANSWER_LIMIT: u64 = 16 * 1024 * 1024;

/// Share of the time limit that connecting may take, so that another address still has a chance.
const CONNECT_SHARE: u64 = 2;

/// Statuses by which the gateway says that it no longer waits for the outcome: 408 in its older
/// versions, 499 in newer ones. Unlike other refusals they say nothing about the write.
const GIVEN_UP: [u16; 2] = [408, 499];

/// Whether a request changes something.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// It only reads.
    Read,
    /// It writes.
    Write,
}

/// Sends requests to the first of several addresses that can be connected to.
pub struct Transport {
    agent: Agent,
    addresses: Vec<String>,
    limit: Millis,
}

impl Transport {
    /// Prepares requests to addresses `host:port`.
    pub fn new(addresses: &[String], limit: Millis) -> Self {
        Self {
            agent: agent(),
            addresses: addresses.to_vec(),
            limit,
        }
    }

    /// Posts JSON and reads the answer as JSON.
    pub fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
        effect: Effect,
    ) -> Result<T, PlatformError> {
        let mut response = self.open(path, body, effect, self.limit)?;
        parse(&mut response, effect)
    }

    /// Posts JSON and returns the answer unread; it may be read for `limit`.
    pub fn open(
        &self,
        path: &str,
        body: &impl Serialize,
        effect: Effect,
        limit: Millis,
    ) -> Result<Response<Body>, PlatformError> {
        let mut failure = PlatformError::Down("no address is set".to_owned());
        for address in &self.addresses {
            let url = format!("http://{address}{path}");
            let request = self.agent.post(&url).config();
            let request = request.timeout_connect(Some(self.connect_limit()));
            let request = request.timeout_global(Some(limit.into())).build();
            match request.send_json(body) {
                Ok(response) => return judge(response, effect),
                Err(err) => failure = failed(&err, effect),
            }
            // A write that may have left is never sent to another address: it would run twice.
            if matches!(failure, PlatformError::Lost(_)) {
                break;
            }
        }
        Err(failure)
    }

    /// Reads a URL as JSON.
    pub fn get<T: DeserializeOwned>(&self, url: &str) -> Result<T, PlatformError> {
        let request = self.agent.get(url).config();
        let request = request.timeout_global(Some(self.limit.into())).build();
        let response = request.call().map_err(|err| failed(&err, Effect::Read))?;
        parse(&mut judge(response, Effect::Read)?, Effect::Read)
    }

    fn connect_limit(&self) -> Duration {
        Millis(self.limit.0 / CONNECT_SHARE).into()
    }
}

/// Makes an agent that opens a connection for each request.
///
/// A pooled connection that the service has closed fails in the same way as one that breaks after
/// the request has left, so only on a fresh one does a refusal prove that nothing was sent.
fn agent() -> Agent {
    let config = Agent::config_builder()
        .max_idle_connections(0)
        .max_idle_connections_per_host(0)
        .http_status_as_error(false)
        .max_redirects(0)
        .proxy(None)
        .build();
    Agent::new_with_config(config)
}

/// Passes a good answer on; refused requests had no effect, failures of the service may have.
fn judge(mut response: Response<Body>, effect: Effect) -> Result<Response<Body>, PlatformError> {
    let status = response.status();
    if status.is_success() {
        return Ok(response);
    }
    let text = response.body_mut().read_to_string().unwrap_or_default();
    let detail = format!("HTTP status {status}: {text}");
    if status.is_client_error() && !GIVEN_UP.contains(&status.as_u16()) {
        return Err(PlatformError::Down(detail));
    }
    Err(after_sending(detail, effect))
}

fn parse<T: DeserializeOwned>(
    response: &mut Response<Body>,
    effect: Effect,
) -> Result<T, PlatformError> {
    let body = response.body_mut().with_config().limit(ANSWER_LIMIT);
    body.read_json()
        .map_err(|err| after_sending(err.to_string(), effect))
}

fn failed(err: &Error, effect: Effect) -> PlatformError {
    if before_sending(err) {
        return PlatformError::Down(err.to_string());
    }
    after_sending(err.to_string(), effect)
}

/// Says whether an error proves that no byte of the request left.
fn before_sending(err: &Error) -> bool {
    match err {
        Error::Io(err) => matches!(
            err.kind(),
            ErrorKind::ConnectionRefused
                | ErrorKind::HostUnreachable
                | ErrorKind::NetworkUnreachable
                | ErrorKind::AddrNotAvailable
        ),
        Error::Timeout(Timeout::Connect | Timeout::Resolve)
        | Error::HostNotFound
        | Error::ConnectionFailed
        | Error::BadUri(_)
        | Error::Http(_) => true,
        _ => false,
    }
}

fn after_sending(detail: String, effect: Effect) -> PlatformError {
    match effect {
        Effect::Read => PlatformError::Down(detail),
        Effect::Write => PlatformError::Lost(detail),
    }
}

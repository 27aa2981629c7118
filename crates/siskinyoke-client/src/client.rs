//! The client: locates instances, sends requests and retries them.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use ureq::Agent;
use ureq::Body;
use ureq::http;
use ureq::unversioned::resolver::DefaultResolver;
use ureq::unversioned::transport::Connector;
use ureq::unversioned::transport::DefaultConnector;

use crate::ClientError;
use crate::Events;
use crate::Location;
use crate::Outcome;
use crate::Request;
use crate::attempt::Attempt;
use crate::attempt::AttemptError;
use crate::attempt::generate_id;
use crate::delivered::Delivered;
use crate::reset_connector::ResetConnector;
use siskinyoke_base::Millis;
use siskinyoke_base::OutcomeKind;

/// The data of the event that ends a complete stream.
const STREAM_TERMINATOR: &str = "[DONE]";

/// The delay before a retry if the response has no `Retry-After` header.
const DEFAULT_RETRY_DELAY: Millis = Millis(100);

/// Settings of a client.
#[derive(Debug, Clone)]
pub struct ClientSettings {
    /// Addresses that serve `/v1/locate`, tried in this order.
    pub addresses: Vec<String>,
    /// The API key, sent as bearer token.
    pub key: String,
    /// The maximum number of attempts for a request.
    pub max_attempts: u32,
    /// The maximum delay before a retry. A refusal with a longer `Retry-After` is not retried.
    pub max_delay: Millis,
    /// The timeout of a single attempt.
    pub attempt_timeout: Millis,
}

/// A client that sends requests to siskinyoke instances.
pub struct Client {
    agent: Agent,
    settings: ClientSettings,
    cached_location: Option<(Location, Instant)>,
}

impl Client {
    /// Creates a client.
    pub fn new(settings: ClientSettings) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_connect(Some(Duration::from_secs(1)))
            .timeout_global(Some(settings.attempt_timeout.into()))
            .max_idle_connections(0)
            // A redirect is the response of a service. The HTTP client would also follow one that
            // broke off inside its head.
            .max_redirects(0)
            .build();
        let connector = DefaultConnector::default().chain(ResetConnector);
        Self {
            agent: Agent::with_parts(config, connector, DefaultResolver::default()),
            settings,
            cached_location: None,
        }
    }

    /// Returns the addresses to use, from the cache while its entry is valid.
    ///
    /// # Errors
    ///
    /// [`ClientError`] if no address responds.
    pub fn locate(&mut self) -> Result<Location, ClientError> {
        if let Some((location, fetched_at)) = &self.cached_location
            && fetched_at.elapsed() < location.ttl.into()
        {
            return Ok(location.clone());
        }
        let mut errors = Vec::new();
        for address in self.candidate_addresses() {
            match self.fetch_location(&address) {
                Ok(location) => {
                    self.cached_location = Some((location.clone(), Instant::now()));
                    return Ok(location);
                }
                Err(err) => errors.push(format!("{address}: {err}")),
            }
        }
        Err(ClientError::Unreachable(errors.join("; ")))
    }

    /// Sends a request and retries it where that is safe.
    ///
    /// A request that was refused without running is retried later or at another address. If the
    /// outcome is unknown, only an idempotent request is retried; for any other, the outcome is
    /// returned, because only the caller can decide how to proceed. Each event of a stream is
    /// passed to `sink` as it arrives, and only once across all attempts: where events have IDs, an
    /// attempt goes on with the stream that an earlier one began.
    ///
    /// # Errors
    ///
    /// [`ClientError`] if no address responds.
    pub fn send(
        &mut self,
        request: &Request,
        sink: &mut dyn FnMut(&str),
    ) -> Result<Outcome, ClientError> {
        let id = request.id.clone().unwrap_or_else(generate_id);
        let mut delivered = Delivered::default();
        let mut last_error = String::new();
        for index in 0..self.settings.max_attempts {
            let location = self.locate()?;
            let Some(address) = location
                .addresses
                .get(index as usize % location.addresses.len().max(1))
            else {
                return Err(ClientError::Unreachable("no instance is ready".to_owned()));
            };
            let resume_after = delivered.resume_after().map(ToOwned::to_owned);
            let attempt = Attempt {
                request,
                id: &id,
                index,
                resume_after: resume_after.as_deref(),
            };
            let outcome = match self.send_once(address, &attempt, &mut delivered, sink) {
                Ok(outcome) => outcome,
                Err(AttemptError::NotSent(detail)) => {
                    last_error = format!("{address}: request {id} was not sent: {detail}");
                    self.cached_location = None;
                    thread::sleep(DEFAULT_RETRY_DELAY.into());
                    continue;
                }
                Err(AttemptError::ResponseLost(detail)) => {
                    log::info!("{address}: no complete response to request {id}: {detail}");
                    attempt.unknown_outcome()
                }
            };
            let is_last = index + 1 == self.settings.max_attempts;
            let retry = match outcome.kind {
                OutcomeKind::Done => false,
                OutcomeKind::NotRun => is_retryable(outcome.status),
                OutcomeKind::Unknown => request.idempotent,
            };
            let delay = outcome.retry_after.unwrap_or(DEFAULT_RETRY_DELAY);
            if !retry || is_last || delay > self.settings.max_delay {
                return Ok(outcome);
            }
            thread::sleep(delay.into());
        }
        Err(ClientError::Unreachable(last_error))
    }

    // Returns the cached addresses followed by those of the settings, without duplicates.
    fn candidate_addresses(&self) -> Vec<String> {
        let cached = self
            .cached_location
            .iter()
            .flat_map(|(location, _)| location.addresses.clone());
        let mut addresses: Vec<String> = cached.chain(self.settings.addresses.clone()).collect();
        let mut seen = Vec::new();
        addresses.retain(|address| {
            let is_new = !seen.contains(address);
            seen.push(address.clone());
            is_new
        });
        addresses
    }

    fn fetch_location(&self, address: &str) -> Result<Location, String> {
        let url = format!("http://{address}/v1/locate");
        let response = self.agent.get(&url).call();
        let mut response = response.map_err(|err| err.to_string())?;
        if response.status() != http::StatusCode::OK {
            let text = response.body_mut().read_to_string().unwrap_or_default();
            return Err(format!(
                "responded with status {}: {text}",
                response.status()
            ));
        }
        response
            .body_mut()
            .read_json()
            .map_err(|err| err.to_string())
    }

    fn send_once(
        &self,
        address: &str,
        attempt: &Attempt<'_>,
        delivered: &mut Delivered,
        sink: &mut dyn FnMut(&str),
    ) -> Result<Outcome, AttemptError> {
        let request = attempt
            .build_request(address, &self.settings.key)
            .map_err(AttemptError::NotSent)?;
        let response = self.agent.run(request).map_err(AttemptError::from_ureq)?;
        let is_stream = header(&response, "content-type")
            .is_some_and(|content| content.starts_with("text/event-stream"));
        let mut outcome = Outcome {
            status: response.status().as_u16(),
            code: header(&response, "siskinyoke-code")
                .and_then(|text| text.parse().ok())
                .unwrap_or(0),
            kind: parse_kind(header(&response, "siskinyoke-kind")),
            body: Vec::new(),
            retry_after: header(&response, "retry-after")
                .and_then(|text| text.parse().ok())
                .map(Millis::from_secs),
            id: attempt.id.to_owned(),
            attempts: attempt.index + 1,
        };
        if is_stream {
            read_stream(response, &mut outcome, delivered, sink)
                .map_err(AttemptError::ResponseLost)?;
        } else {
            let text = response
                .into_body()
                .read_to_string()
                .map_err(|err| AttemptError::ResponseLost(err.to_string()))?;
            outcome.body.push(text);
        }
        Ok(outcome)
    }
}

/// Reads a stream to its end. Events that an earlier attempt delivered are not passed to `sink`.
fn read_stream(
    response: http::Response<Body>,
    outcome: &mut Outcome,
    delivered: &mut Delivered,
    sink: &mut dyn FnMut(&str),
) -> Result<(), String> {
    let mut is_first = true;
    for event in Events::new(response.into_body().into_reader()) {
        let event = event?;
        if event.event == "error" {
            let error: serde_json::Value = serde_json::from_str(&event.data).unwrap_or_default();
            let code = error["error"]["code"].as_u64().unwrap_or_default();
            outcome.code = u16::try_from(code).unwrap_or_default();
            outcome.kind = parse_kind(error["error"]["type"].as_str());
            return Ok(());
        }
        if event.data == STREAM_TERMINATOR {
            if is_first {
                outcome.body = delivered.preceding(&event).to_vec();
            }
            outcome.code = siskinyoke_base::Code::Complete.number();
            outcome.kind = OutcomeKind::Done;
            return Ok(());
        }
        if std::mem::take(&mut is_first) {
            outcome.body = delivered.preceding(&event).to_vec();
        }
        if !delivered.contains(outcome.body.len()) {
            delivered.push(&event);
            sink(&event.data);
        }
        outcome.body.push(event.data);
    }
    Err("the stream ended without the event [DONE]".into())
}

fn header<'a>(response: &'a http::Response<Body>, name: &str) -> Option<&'a str> {
    response
        .headers()
        .get(name)
        .and_then(|value| value.to_str().ok())
}

/// Parses the kind of an outcome. Without a valid one, the request may have run.
fn parse_kind(text: Option<&str>) -> OutcomeKind {
    match text {
        Some("done") => OutcomeKind::Done,
        Some("not-run") => OutcomeKind::NotRun,
        _ => OutcomeKind::Unknown,
    }
}

/// Returns whether a retry may succeed, later or at another instance, after a refusal with this
/// status.
fn is_retryable(status: u16) -> bool {
    matches!(status, 408 | 409 | 429 | 503)
}

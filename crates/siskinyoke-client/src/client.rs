//! The caller's side of a request: locate, send, resend.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use ureq::Agent;
use ureq::Body;
use ureq::http;

use crate::ClientError;
use crate::Events;
use crate::Location;
use crate::Outcome;
use crate::Request;
use crate::attempt::Attempt;
use crate::attempt::AttemptError;
use crate::attempt::generate_id;
use siskinyoke_base::Kind;
use siskinyoke_base::Millis;

/// The data of the event that ends a whole stream.
const STREAM_TERMINATOR: &str = "[DONE]";

/// Pause before a resend for which no time was named.
const DEFAULT_RETRY_DELAY: Millis = Millis(100);

/// Bounds on a client's patience.
#[derive(Debug, Clone)]
pub struct ClientSettings {
    /// Addresses that say which instances to use.
    pub addresses: Vec<String>,
    /// The bearer key.
    pub key: String,
    /// The most sendings of one request.
    pub max_attempts: u32,
    /// The longest wait before a resend; a refusal that asks for more is returned.
    pub max_delay: Millis,
    /// The most time for one sending.
    pub attempt_timeout: Millis,
}

/// A caller of the system.
pub struct Client {
    agent: Agent,
    settings: ClientSettings,
    cached_location: Option<(Location, Instant)>,
}

impl Client {
    /// Makes a client.
    pub fn new(settings: ClientSettings) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_connect(Some(Duration::from_secs(1)))
            .timeout_global(Some(settings.attempt_timeout.into()))
            .max_idle_connections(0)
            .build();
        Self {
            agent: config.into(),
            settings,
            cached_location: None,
        }
    }

    /// Asks which address to use; a kept answer is used while it may be.
    ///
    /// # Errors
    ///
    /// [`ClientError`] if no address answers.
    pub fn locate(&mut self) -> Result<Location, ClientError> {
        if let Some((location, at)) = &self.cached_location
            && at.elapsed() < location.ttl.into()
        {
            return Ok(location.clone());
        }
        let mut tried = Vec::new();
        for address in self.candidates() {
            match self.locate_at(&address) {
                Ok(location) => {
                    self.cached_location = Some((location.clone(), Instant::now()));
                    return Ok(location);
                }
                Err(err) => tried.push(format!("{address}: {err}")),
            }
        }
        Err(ClientError::Unreachable(tried.join("; ")))
    }

    /// Sends a request, and sends it again where that cannot run it twice.
    ///
    /// A refusal that says "not run" is tried again elsewhere or later. Where the outcome is not
    /// known, only a request that may run more than once is sent again; any other is returned, as
    /// only the caller knows what to do about it. Each event of a stream goes to `sink` as it
    /// arrives, once.
    ///
    /// # Errors
    ///
    /// [`ClientError`] if no address answers.
    pub fn send(
        &mut self,
        request: &Request,
        sink: &mut dyn FnMut(&str),
    ) -> Result<Outcome, ClientError> {
        let id = request.id.clone().unwrap_or_else(generate_id);
        let mut given = 0;
        let mut failure = String::new();
        for count in 0..self.settings.max_attempts {
            let location = self.locate()?;
            let Some(address) = location
                .addresses
                .get(count as usize % location.addresses.len().max(1))
            else {
                return Err(ClientError::Unreachable("no instance is ready".to_owned()));
            };
            let sending = Attempt {
                request,
                id: &id,
                index: count,
            };
            let outcome = match self.send_once(address, &sending, &mut given, sink) {
                Ok(outcome) => outcome,
                Err(AttemptError::NotSent(detail)) => {
                    failure = format!("{address}: {detail}");
                    self.cached_location = None;
                    thread::sleep(DEFAULT_RETRY_DELAY.into());
                    continue;
                }
                Err(AttemptError::ResponseLost(detail)) => {
                    log::info!("{address}: {detail}");
                    sending.unknown_outcome()
                }
            };
            let last = count + 1 == self.settings.max_attempts;
            let again = match outcome.kind {
                Kind::Done => false,
                Kind::NotRun => is_retryable(outcome.status),
                Kind::Unknown => request.idempotent,
            };
            let wait = outcome.retry_after.unwrap_or(DEFAULT_RETRY_DELAY);
            if !again || last || wait > self.settings.max_delay {
                return Ok(outcome);
            }
            thread::sleep(wait.into());
        }
        Err(ClientError::Unreachable(failure))
    }

    fn candidates(&self) -> Vec<String> {
        let kept = self
            .cached_location
            .iter()
            .flat_map(|(location, _)| location.addresses.clone());
        let mut all: Vec<String> = kept.chain(self.settings.addresses.clone()).collect();
        let mut seen = Vec::new();
        all.retain(|address| {
            let new = !seen.contains(address);
            seen.push(address.clone());
            new
        });
        all
    }

    fn locate_at(&self, address: &str) -> Result<Location, String> {
        let url = format!("http://{address}/v1/locate");
        let answer = self.agent.get(&url).call();
        let mut answer = answer.map_err(|err| err.to_string())?;
        if answer.status() != http::StatusCode::OK {
            let text = answer.body_mut().read_to_string().unwrap_or_default();
            return Err(format!("{} {text}", answer.status()));
        }
        answer.body_mut().read_json().map_err(|err| err.to_string())
    }

    fn send_once(
        &self,
        address: &str,
        sending: &Attempt<'_>,
        given: &mut usize,
        sink: &mut dyn FnMut(&str),
    ) -> Result<Outcome, AttemptError> {
        let request = sending
            .build_request(address, &self.settings.key)
            .map_err(AttemptError::NotSent)?;
        let answer = self.agent.run(request).map_err(AttemptError::from_ureq)?;
        let stream = header(&answer, "content-type")
            .is_some_and(|content| content.starts_with("text/event-stream"));
        let mut outcome = Outcome {
            status: answer.status().as_u16(),
            code: header(&answer, "siskinyoke-code")
                .and_then(|text| text.parse().ok())
                .unwrap_or(0),
            kind: parse_kind(header(&answer, "siskinyoke-kind")),
            body: Vec::new(),
            retry_after: header(&answer, "retry-after")
                .and_then(|text| text.parse().ok())
                .map(Millis::from_secs),
            id: sending.id.to_owned(),
            attempts: sending.index + 1,
        };
        if stream {
            read_stream(answer, &mut outcome, given, sink).map_err(AttemptError::ResponseLost)?;
        } else {
            let text = answer
                .into_body()
                .read_to_string()
                .map_err(|err| AttemptError::ResponseLost(err.to_string()))?;
            outcome.body.push(text);
        }
        Ok(outcome)
    }
}

/// Reads a stream to its end; events that an earlier sending brought are not given again.
fn read_stream(
    answer: http::Response<Body>,
    outcome: &mut Outcome,
    given: &mut usize,
    sink: &mut dyn FnMut(&str),
) -> Result<(), String> {
    for event in Events::new(answer.into_body().into_reader()) {
        let event = event?;
        if event.event == "error" {
            let error: serde_json::Value = serde_json::from_str(&event.data).unwrap_or_default();
            let code = error["error"]["code"].as_u64().unwrap_or_default();
            outcome.code = u16::try_from(code).unwrap_or_default();
            outcome.kind = parse_kind(error["error"]["type"].as_str());
            return Ok(());
        }
        if event.data == STREAM_TERMINATOR {
            outcome.code = siskinyoke_base::Code::Complete.number();
            outcome.kind = Kind::Done;
            return Ok(());
        }
        if outcome.body.len() >= *given {
            *given += 1;
            sink(&event.data);
        }
        outcome.body.push(event.data);
    }
    Err("the stream ended without its terminator".into())
}

fn header<'a>(answer: &'a http::Response<Body>, name: &str) -> Option<&'a str> {
    answer
        .headers()
        .get(name)
        .and_then(|value| value.to_str().ok())
}

/// Reads a kind; an answer without one may have run.
fn parse_kind(text: Option<&str>) -> Kind {
    match text {
        Some("done") => Kind::Done,
        Some("not-run") => Kind::NotRun,
        _ => Kind::Unknown,
    }
}

/// Tells whether a refusal may turn out otherwise later or elsewhere.
fn is_retryable(status: u16) -> bool {
    matches!(status, 408 | 409 | 429 | 503)
}

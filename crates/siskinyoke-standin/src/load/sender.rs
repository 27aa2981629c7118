//! Sends requests and verifies their completions.

use std::io::BufRead;
use std::io::BufReader;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;
use ureq::Agent;
use ureq::Body;
use ureq::http::Response;

use super::file::CallerProfile;
use super::plan::PlannedRequest;
use super::plan::shared_prefix;
use crate::completion::Completion;
use siskinyoke_base::Code;
use siskinyoke_base::Millis;

/// Prefix of a data line in a stream of server-sent events.
const DATA_PREFIX: &str = "data: ";

/// Data of the event that ends a complete stream.
const DONE_DATA: &str = "[DONE]";

/// The classification of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verdict {
    /// Complete, with the expected completion.
    Correct,
    /// An error status, or a stream that ended with an error event.
    Refused,
    /// No response, or an incomplete one.
    Failed,
    /// Looks complete, but lacks the expected completion or a part of it.
    Wrong,
}

/// The result and latencies of one request.
#[derive(Debug)]
pub struct Outcome {
    /// Classification of the response.
    pub verdict: Verdict,
    /// Result code and kind, or the HTTP status or transport error if there is no code.
    pub code: String,
    /// Time from the due time to the first token of a stream.
    pub first_token: Option<Duration>,
    /// Time from the due time to the end of the response.
    pub total: Duration,
    /// Times between later tokens.
    pub token_gaps: Vec<Duration>,
}

/// The HTTP client that sends requests.
pub struct Sender {
    agent: Agent,
}

/// A request whose response is being read.
struct RequestInFlight<'a> {
    planned: &'a PlannedRequest,
    due: Instant,
    last_token: Instant,
    outcome: Outcome,
    text: String,
}

impl Sender {
    /// Creates a sender with a timeout per request; each request opens its own connection, as
    /// the callers of many small instances do.
    pub fn new(timeout: Millis) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .max_idle_connections(0)
            .timeout_global(Some(timeout.into()))
            .build();
        Self {
            agent: Agent::new_with_config(config),
        }
    }

    /// Sends a request, verifies its completion and measures latencies from the due time.
    pub fn send(
        &self,
        address: &str,
        profile: &CallerProfile,
        planned: &PlannedRequest,
        due: Instant,
    ) -> Outcome {
        let mut in_flight = RequestInFlight::new(planned, due);
        match self.post(address, profile, planned) {
            Ok(response) => in_flight.read(response),
            Err(err) => in_flight.record_failure(&err.to_string()),
        }
        in_flight.outcome.total = due.elapsed();
        in_flight.outcome
    }

    fn post(
        &self,
        address: &str,
        profile: &CallerProfile,
        planned: &PlannedRequest,
    ) -> Result<Response<Body>, ureq::Error> {
        let url = format!("http://{address}/v1/chat/completions");
        let mut request = self
            .agent
            .post(url)
            .header("X-Request-Id", &planned.request_id);
        if let Some(key) = &profile.key {
            request = request.header("Authorization", format!("Bearer {key}"));
        }
        if let Some(caller_timeout) = profile.caller_timeout {
            request = request.header("Siskinyoke-Need", caller_timeout.0.to_string());
        }
        request.send_json(request_body(profile, planned))
    }
}

impl<'a> RequestInFlight<'a> {
    fn new(planned: &'a PlannedRequest, due: Instant) -> Self {
        Self {
            planned,
            due,
            last_token: due,
            outcome: Outcome {
                verdict: Verdict::Failed,
                code: String::new(),
                first_token: None,
                total: Duration::ZERO,
                token_gaps: Vec::new(),
            },
            text: String::new(),
        }
    }

    fn read(&mut self, response: Response<Body>) {
        let status = response.status();
        self.outcome.code = result_code(&response);
        if !status.is_success() {
            self.outcome.verdict = Verdict::Refused;
            return;
        }
        if self.planned.stream {
            self.read_stream(response);
        } else {
            self.read_completion(response);
        }
    }

    fn read_completion(&mut self, mut response: Response<Body>) {
        match response.body_mut().read_json::<Value>() {
            Ok(body) => {
                let content = &body["choices"][0]["message"]["content"];
                content
                    .as_str()
                    .unwrap_or_default()
                    .clone_into(&mut self.text);
                self.check_completion();
            }
            Err(err) => self.record_failure(&err.to_string()),
        }
    }

    fn read_stream(&mut self, response: Response<Body>) {
        for line in BufReader::new(response.into_body().into_reader()).lines() {
            let line = match line {
                Ok(line) => line,
                Err(err) => return self.record_failure(&err.to_string()),
            };
            let Some(data) = line.strip_prefix(DATA_PREFIX) else {
                continue;
            };
            if data == DONE_DATA {
                // The response headers precede the result of a stream, so they do not contain it.
                let code = Code::Complete;
                self.outcome.code = format!("{} {}", code.number(), code.kind());
                return self.check_completion();
            }
            let event: Value = serde_json::from_str(data).unwrap_or_default();
            if event["error"].is_object() {
                return self.record_error(&event["error"]);
            }
            self.record_event(&event);
        }
        self.record_failure("the stream ended without its terminator");
    }

    fn record_event(&mut self, event: &Value) {
        let content = event["choices"][0]["delta"]["content"].as_str();
        let Some(content) = content.filter(|content| !content.is_empty()) else {
            return;
        };
        let now = Instant::now();
        if self.outcome.first_token.is_none() {
            self.outcome.first_token = Some(now - self.due);
        } else {
            self.outcome.token_gaps.push(now - self.last_token);
        }
        self.last_token = now;
        self.text.push_str(content);
    }

    /// Records an error event that ends a stream.
    fn record_error(&mut self, error: &Value) {
        self.outcome.verdict = Verdict::Refused;
        let kind = error["type"].as_str().unwrap_or_default();
        self.outcome.code = format!("{} {kind}", error["code"]);
    }

    /// Compares the text of a complete response with the expected completion.
    fn check_completion(&mut self) {
        let expected =
            Completion::generate(&self.planned.content, Some(self.planned.output_tokens));
        let matches = self.text == expected.text();
        self.outcome.verdict = if matches {
            Verdict::Correct
        } else {
            Verdict::Wrong
        };
    }

    fn record_failure(&mut self, detail: &str) {
        self.outcome.verdict = Verdict::Failed;
        detail.clone_into(&mut self.outcome.code);
    }
}

fn request_body(profile: &CallerProfile, planned: &PlannedRequest) -> Value {
    let mut messages = Vec::new();
    if profile.prefix > 0 {
        messages.push(json!({ "role": "system", "content": shared_prefix(profile) }));
    }
    messages.push(json!({ "role": "user", "content": planned.content }));
    json!({
        "model": profile.model,
        "messages": messages,
        "max_tokens": planned.output_tokens,
        "stream": planned.stream,
    })
}

fn result_code(response: &Response<Body>) -> String {
    let header = |name| response.headers().get(name)?.to_str().ok();
    match header("Siskinyoke-Code") {
        Some(code) => format!("{code} {}", header("Siskinyoke-Kind").unwrap_or_default()),
        None => format!("http {}", response.status().as_u16()),
    }
}

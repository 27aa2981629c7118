//! Sends one request and judges its answer.

use std::io::BufRead;
use std::io::BufReader;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;
use ureq::Agent;
use ureq::Body;
use ureq::http::Response;

use super::file::CallerMix;
use super::plan::Shot;
use super::plan::prefix;
use crate::completion::Answer;
use siskinyoke_base::Code;
use siskinyoke_base::Millis;

/// Text before the data of an event.
const DATA: &str = "data: ";

/// Data of the event that ends a whole stream.
const TERMINATOR: &str = "[DONE]";

/// How an answer is to be taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verdict {
    /// Whole and the caller's own.
    Whole,
    /// Refused or ended with an explicit error.
    Refused,
    /// No answer, or one that breaks off.
    Failed,
    /// Looks whole, but is not the caller's own answer or lacks a part of it.
    Wrong,
}

/// What became of one request.
#[derive(Debug)]
pub struct Outcome {
    /// How the answer is to be taken.
    pub verdict: Verdict,
    /// Code and kind, or the HTTP status or error where there is none.
    pub code: String,
    /// Time to the first token of a stream.
    pub first: Option<Duration>,
    /// Time to the end.
    pub whole: Duration,
    /// Times between further tokens.
    pub gaps: Vec<Duration>,
}

/// Where and with what patience requests are sent.
pub struct Sender {
    agent: Agent,
}

/// One request on its way.
struct Flight<'a> {
    shot: &'a Shot,
    due: Instant,
    last: Instant,
    outcome: Outcome,
    text: String,
}

impl Sender {
    /// Prepares sending; each request opens a connection, as the callers of many small
    /// instances do.
    pub fn new(patience: Millis) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .max_idle_connections(0)
            .timeout_global(Some(patience.into()))
            .build();
        Self {
            agent: Agent::new_with_config(config),
        }
    }

    /// Sends a request that was due at a time, and judges its answer.
    pub fn send(&self, address: &str, mix: &CallerMix, shot: &Shot, due: Instant) -> Outcome {
        let mut flight = Flight::new(shot, due);
        match self.open(address, mix, shot) {
            Ok(response) => flight.read(response),
            Err(err) => flight.fail(&err.to_string()),
        }
        flight.outcome.whole = due.elapsed();
        flight.outcome
    }

    fn open(
        &self,
        address: &str,
        mix: &CallerMix,
        shot: &Shot,
    ) -> Result<Response<Body>, ureq::Error> {
        let url = format!("http://{address}/v1/chat/completions");
        let mut request = self.agent.post(url).header("X-Request-Id", &shot.name);
        if let Some(key) = &mix.key {
            request = request.header("Authorization", format!("Bearer {key}"));
        }
        if let Some(need) = mix.need {
            request = request.header("Siskinyoke-Need", need.0.to_string());
        }
        request.send_json(body(mix, shot))
    }
}

impl<'a> Flight<'a> {
    fn new(shot: &'a Shot, due: Instant) -> Self {
        Self {
            shot,
            due,
            last: due,
            outcome: Outcome {
                verdict: Verdict::Failed,
                code: String::new(),
                first: None,
                whole: Duration::ZERO,
                gaps: Vec::new(),
            },
            text: String::new(),
        }
    }

    fn read(&mut self, response: Response<Body>) {
        let status = response.status();
        self.outcome.code = code(&response);
        if !status.is_success() {
            self.outcome.verdict = Verdict::Refused;
            return;
        }
        if self.shot.stream {
            self.read_stream(response);
        } else {
            self.read_whole(response);
        }
    }

    fn read_whole(&mut self, mut response: Response<Body>) {
        match response.body_mut().read_json::<Value>() {
            Ok(answer) => {
                let content = &answer["choices"][0]["message"]["content"];
                content
                    .as_str()
                    .unwrap_or_default()
                    .clone_into(&mut self.text);
                self.judge();
            }
            Err(err) => self.fail(&err.to_string()),
        }
    }

    fn read_stream(&mut self, response: Response<Body>) {
        for line in BufReader::new(response.into_body().into_reader()).lines() {
            let line = match line {
                Ok(line) => line,
                Err(err) => return self.fail(&err.to_string()),
            };
            let Some(data) = line.strip_prefix(DATA) else {
                continue;
            };
            if data == TERMINATOR {
                // The head of a stream only says that it has begun.
                let code = Code::Complete;
                self.outcome.code = format!("{} {}", code.number(), code.kind());
                return self.judge();
            }
            let event: Value = serde_json::from_str(data).unwrap_or_default();
            if event["error"].is_object() {
                return self.error(&event["error"]);
            }
            self.event(&event);
        }
        self.fail("the stream ended without its terminator");
    }

    fn event(&mut self, event: &Value) {
        let content = event["choices"][0]["delta"]["content"].as_str();
        let Some(content) = content.filter(|content| !content.is_empty()) else {
            return;
        };
        let now = Instant::now();
        if self.outcome.first.is_none() {
            self.outcome.first = Some(now - self.due);
        } else {
            self.outcome.gaps.push(now - self.last);
        }
        self.last = now;
        self.text.push_str(content);
    }

    /// Takes an explicit error at the end of a stream.
    fn error(&mut self, error: &Value) {
        self.outcome.verdict = Verdict::Refused;
        let kind = error["type"].as_str().unwrap_or_default();
        self.outcome.code = format!("{} {kind}", error["code"]);
    }

    /// Compares an answer that looks whole with the one that the request must get.
    fn judge(&mut self) {
        let wanted = Answer::of(&self.shot.content, Some(self.shot.output));
        let own = self.text == wanted.text();
        self.outcome.verdict = if own { Verdict::Whole } else { Verdict::Wrong };
    }

    fn fail(&mut self, detail: &str) {
        self.outcome.verdict = Verdict::Failed;
        detail.clone_into(&mut self.outcome.code);
    }
}

fn body(mix: &CallerMix, shot: &Shot) -> Value {
    let mut messages = Vec::new();
    if mix.prefix > 0 {
        messages.push(json!({ "role": "system", "content": prefix(mix) }));
    }
    messages.push(json!({ "role": "user", "content": shot.content }));
    json!({
        "model": mix.model,
        "messages": messages,
        "max_tokens": shot.output,
        "stream": shot.stream,
    })
}

fn code(response: &Response<Body>) -> String {
    let header = |name| response.headers().get(name)?.to_str().ok();
    match header("Siskinyoke-Code") {
        Some(code) => format!("{code} {}", header("Siskinyoke-Kind").unwrap_or_default()),
        None => format!("http {}", response.status().as_u16()),
    }
}

//! The client of the administration API.

use std::io::ErrorKind;
use std::thread;
use std::time::Duration;

use serde_json::Value;
use ureq::Agent;
use ureq::http::Request;

use super::Context;
use super::OperatorError;
use super::options::ChangeOptions;
use siskinyoke_base::Code;

/// How long one sending may take; a daemon answers a change within ten seconds.
const CALL_LIMIT: Duration = Duration::from_secs(15);

/// How long a connect may take.
const CONNECT_LIMIT: Duration = Duration::from_secs(2);

/// How often a request is sent at most, over all addresses.
const SENDINGS: usize = 4;

/// How long to wait between two sendings.
const PAUSE: Duration = Duration::from_millis(200);

/// A request to the administration API.
#[derive(Debug, Clone, Copy)]
pub struct Call<'a> {
    /// The HTTP method.
    pub method: &'a str,
    /// The path behind `/admin/v1/`, with its query.
    pub path: &'a str,
    /// The change's identity, for changes.
    pub id: Option<&'a str>,
    /// The body.
    pub body: Option<&'a str>,
}

/// How one sending failed.
enum Failure {
    /// Nothing was sent.
    Unsent(String),
    /// It may have arrived.
    Lost(String),
}

/// Reads something.
///
/// # Errors
///
/// If it is refused or no daemon can be reached.
pub fn read(cx: &Context<'_>, path: &str) -> Result<Value, OperatorError> {
    let call = Call {
        method: "GET",
        path,
        id: None,
        body: None,
    };
    send(cx, &call)
}

/// Makes a change and prints its outcome.
///
/// # Errors
///
/// If it is refused, its outcome is not known, or no daemon can be reached.
pub fn change(
    cx: &mut Context<'_>,
    options: &ChangeOptions,
    method: &str,
    path: &str,
    body: Option<&str>,
) -> Result<(), OperatorError> {
    let id = options.identity();
    let path = format!("{path}{}", options.query());
    let call = Call {
        method,
        path: &path,
        id: Some(&id),
        body,
    };
    let answer = send(cx, &call)?;
    if cx.json {
        return cx.value(&answer);
    }
    let revision = answer["revision"].as_u64().unwrap_or_default();
    cx.line(&format!("accepted as revision {revision} (change {id})"))
}

/// Sends a request until it is answered, always under the same identity.
///
/// A change whose answer is lost is sent again as it is, to the next address: the daemons take
/// two sendings of one identity for one change, so it can neither be lost nor made twice.
///
/// # Errors
///
/// If it is refused, its outcome is not known, or no daemon can be reached.
pub fn send(cx: &Context<'_>, call: &Call<'_>) -> Result<Value, OperatorError> {
    let Some(key) = cx.key else {
        let detail = "an operator's key is needed; hint: set SISKINYOKE_KEY or give --key";
        return Err(OperatorError::Usage(detail.to_owned()));
    };
    if cx.addresses.is_empty() {
        let detail = "an address is needed; hint: give --address HOST:PORT";
        return Err(OperatorError::Usage(detail.to_owned()));
    }
    let agent = agent();
    let mut maybe_sent = false;
    let mut last = String::new();
    let mut refusal = None;
    for address in cx.addresses.iter().cycle().take(SENDINGS) {
        match attempt(&agent, address, key, call) {
            Ok(answer) if elsewhere(&answer) => refusal = Some(answer),
            Ok(answer) => return judge(cx, call, answer),
            Err(Failure::Unsent(detail)) => last = detail,
            Err(Failure::Lost(detail)) => {
                maybe_sent = true;
                last = detail;
            }
        }
        thread::sleep(PAUSE);
    }
    match (call.id, refusal) {
        (Some(id), _) if maybe_sent => {
            Err(OperatorError::Unknown(id.to_owned(), String::new(), last))
        }
        (_, Some(answer)) => judge(cx, call, answer),
        _ => Err(OperatorError::Unreachable(last)),
    }
}

fn agent() -> Agent {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(CALL_LIMIT))
        .timeout_connect(Some(CONNECT_LIMIT))
        .build();
    config.new_agent()
}

fn attempt(agent: &Agent, address: &str, key: &str, call: &Call<'_>) -> Result<Value, Failure> {
    let mut builder = Request::builder()
        .method(call.method)
        .uri(format!("http://{address}/admin/v1/{}", call.path))
        .header("Authorization", format!("Bearer {key}"));
    if let Some(id) = call.id {
        builder = builder.header("Idempotency-Key", id);
    }
    let unsent = |error: ureq::http::Error| Failure::Unsent(error.to_string());
    let sent = match call.body {
        Some(body) => agent.run(builder.body(body).map_err(unsent)?),
        None => agent.run(builder.body(()).map_err(unsent)?),
    };
    let mut response = sent.map_err(|error| failure(address, &error))?;
    let body = response.body_mut().read_to_string();
    let body = body.map_err(|error| Failure::Lost(format!("{address}: {error}")))?;
    serde_json::from_str(&body)
        .map_err(|error| Failure::Lost(format!("{address}: no answer of a daemon: {error}")))
}

/// Tells whether anything can have been sent.
fn failure(address: &str, error: &ureq::Error) -> Failure {
    let detail = format!("{address}: {error}");
    let unsent = match error {
        ureq::Error::Io(error) => error.kind() == ErrorKind::ConnectionRefused,
        ureq::Error::Timeout(limit) => *limit == ureq::Timeout::Connect,
        ureq::Error::HostNotFound | ureq::Error::ConnectionFailed | ureq::Error::BadUri(_) => true,
        _ => false,
    };
    if unsent {
        Failure::Unsent(detail)
    } else {
        Failure::Lost(detail)
    }
}

/// Tells whether another address may do better: this daemon is leaving, or knows nothing yet.
fn elsewhere(answer: &Value) -> bool {
    let codes = [
        Code::Leaving,
        Code::NoConfiguration,
        Code::TooManyConnections,
    ];
    codes
        .iter()
        .any(|code| code_of(answer) == u64::from(code.number()))
}

fn judge(cx: &Context<'_>, call: &Call<'_>, answer: Value) -> Result<Value, OperatorError> {
    let code = code_of(&answer);
    if code == u64::from(Code::Complete.number()) || code == u64::from(Code::Accepted.number()) {
        return Ok(answer);
    }
    if code == u64::from(Code::ChangeUnknown.number()) {
        let id = answer["change"].as_str().or(call.id).unwrap_or_default();
        let after = answer["after"].as_u64();
        let hint = after.map_or_else(String::new, |after| format!(" --after {after}"));
        return Err(OperatorError::Unknown(id.to_owned(), hint, text(&answer)));
    }
    let mut detail = text(&answer);
    for fault in answer["faults"].as_array().into_iter().flatten() {
        detail.push_str("\n  ");
        detail.push_str(&fault_line(fault));
    }
    if cx.json {
        detail = answer.to_string();
    }
    Err(OperatorError::Refused(code, detail))
}

fn fault_line(fault: &Value) -> String {
    let text = |name: &str| fault[name].as_str().unwrap_or_default().to_owned();
    let line = fault["line"].as_u64();
    let line = line.map_or_else(String::new, |line| format!("line {line}: "));
    let (path, found, allowed) = (text("path"), text("found"), text("allowed"));
    format!("{line}{path}: found {found}; allowed: {allowed}")
}

fn code_of(answer: &Value) -> u64 {
    answer["code"].as_u64().unwrap_or_default()
}

fn text(answer: &Value) -> String {
    let text = answer["text"].as_str();
    text.unwrap_or("the daemon's answer has no text").to_owned()
}

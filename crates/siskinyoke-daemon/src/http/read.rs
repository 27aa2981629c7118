//! Reads what a caller sent.

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Method;
use hyper::header;
use hyper::http::request::Parts;
use serde::Deserialize;

use siskinyoke_base::CallClass;
use siskinyoke_base::CallHead;
use siskinyoke_base::Code;
use siskinyoke_base::Millis;
use siskinyoke_base::Route;
use siskinyoke_base::message::End;
use siskinyoke_control::core::AdminHead;
use siskinyoke_control::core::Past;

/// Where a path leads.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Target {
    /// `GET /v1/locate`.
    Locate,
    /// `GET /v1/models`.
    Models,
    /// `POST /v1/chat/completions`.
    Chat,
    /// `/v1/services/NAME/…`.
    Service {
        /// The service's name.
        name: String,
        /// The rest of path and query, with its slash.
        path: String,
    },
    /// `/admin/v1/…`, or `GET /v1/usage`.
    Admin,
    /// `GET /metrics`.
    Metrics,
    /// `GET /healthz`.
    Health,
}

/// The fields of a chat request that matter to a scheduler.
#[derive(Debug, Deserialize)]
struct ChatBody<'a> {
    model: String,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
    #[serde(borrow)]
    messages: &'a serde_json::value::RawValue,
}

/// Tokens of an answer whose request sets no limit.
const USUAL_OUTPUT: u32 = 256;

/// Bytes of text that make one token, as a rough mean over Arabic and English.
const BYTES_PER_TOKEN: usize = 4;

/// Bytes of one block of the prompt for prefix affinity.
const BLOCK: usize = 512;

/// The most blocks that are looked at; a shared prefix longer than this is rare.
const BLOCKS: usize = 32;

/// Finds where a path leads.
///
/// # Errors
///
/// An end with [`Code::UnknownRoute`].
pub fn target(method: &Method, uri: &hyper::Uri) -> Result<Target, End> {
    let path = uri.path();
    let found = match (method, path) {
        (&Method::GET, "/v1/locate") => Some(Target::Locate),
        (&Method::GET, "/v1/models") => Some(Target::Models),
        (&Method::POST, "/v1/chat/completions") => Some(Target::Chat),
        (&Method::GET, "/metrics") => Some(Target::Metrics),
        (&Method::GET, "/healthz") => Some(Target::Health),
        (&Method::GET, "/v1/usage") => Some(Target::Admin),
        _ if path.starts_with("/admin/v1/") => Some(Target::Admin),
        _ => service(path, uri.query()),
    };
    found.ok_or_else(|| End::new(Code::UnknownRoute))
}

/// Reads the digest of the bearer key.
///
/// # Errors
///
/// An end with [`Code::WrongKey`].
pub fn bearer(headers: &HeaderMap) -> Result<[u8; 32], End> {
    let text = text(headers, header::AUTHORIZATION.as_str())?;
    let key = text.and_then(|text| text.strip_prefix("Bearer "));
    let key = key.ok_or_else(|| End::new(Code::WrongKey).detail("send Authorization: Bearer"))?;
    Ok(*blake3::hash(key.trim().as_bytes()).as_bytes())
}

/// Tells what may have happened to a request that is refused before the core sees it.
///
/// Guards against a "not run" that did run: a caller sends again, to this instance or another,
/// what may be running, and the resend arrives too slowly or on one connection too many. Nobody
/// has looked its identity up by then, so only a caller that says this is its first sending, or
/// that named nothing by which another sending could be the same request, can be told so.
pub fn past(headers: &HeaderMap) -> Past {
    let keyed = headers.contains_key("idempotency-key");
    match retry(headers) {
        Ok(Some(0)) => Past::Untouched,
        Ok(None) if !keyed => Past::Untouched,
        _ => Past::Earlier,
    }
}

/// Reads a chat request.
///
/// # Errors
///
/// An end with [`Code::Malformed`] or [`Code::WrongKey`], naming the place.
pub fn chat(headers: &HeaderMap, body: Bytes) -> Result<CallHead, End> {
    let chat: ChatBody<'_> = serde_json::from_slice(&body)
        .map_err(|err| End::new(Code::Malformed).detail(place(&err)))?;
    let messages = chat.messages.get();
    let output = chat
        .max_completion_tokens
        .or(chat.max_tokens)
        .unwrap_or(USUAL_OUTPUT);
    let prompt = u32::try_from(messages.len() / BYTES_PER_TOKEN).unwrap_or(u32::MAX);
    let prefix = prefix(messages.as_bytes());
    let stream = chat.stream;
    let route = Route::Chat {
        model: chat.model.as_str().into(),
    };
    let head = head(headers, route, body)?;
    Ok(CallHead {
        stream,
        prompt,
        output,
        prefix,
        ..head
    })
}

/// Reads a plain service's request.
///
/// # Errors
///
/// An end with [`Code::Malformed`] or [`Code::WrongKey`], naming the place.
pub fn service_call(
    method: &Method,
    name: &str,
    path: String,
    headers: &HeaderMap,
    body: Bytes,
) -> Result<CallHead, End> {
    let route = Route::Service {
        service: name.into(),
        method: method.to_string(),
        path,
    };
    head(headers, route, body)
}

/// Reads a request to the administration API.
///
/// # Errors
///
/// An end with [`Code::Malformed`], naming the place.
pub fn admin(parts: &Parts, body: Bytes) -> Result<AdminHead, End> {
    let path = parts.uri.path_and_query().map(ToString::to_string);
    Ok(AdminHead {
        method: parts.method.to_string(),
        path: path.unwrap_or_default(),
        key: text(&parts.headers, "idempotency-key")?.map(str::to_owned),
        bearer: bearer(&parts.headers).ok(),
        body,
    })
}

fn head(headers: &HeaderMap, route: Route, body: Bytes) -> Result<CallHead, End> {
    let content = text(headers, header::CONTENT_TYPE.as_str())?.unwrap_or_default();
    Ok(CallHead {
        route,
        bearer: bearer(headers)?,
        key: text(headers, "idempotency-key")?.map(str::to_owned),
        ticket: text(headers, "siskinyoke-ticket")?.map(str::to_owned),
        retry: retry(headers)?,
        care: care(headers)?,
        need: number(headers, "siskinyoke-need")?.map(|need| Millis(u64::from(need))),
        stream: false,
        prompt: 0,
        output: 1,
        prefix: Vec::new(),
        content: content.to_owned(),
        body,
    })
}

/// Reads how many times the request was sent before.
///
/// The published `OpenAI` client libraries count their resends in a header of their own.
fn retry(headers: &HeaderMap) -> Result<Option<u32>, End> {
    match number(headers, "siskinyoke-retry")? {
        Some(count) => Ok(Some(count)),
        None => number(headers, "x-stainless-retry-count"),
    }
}

fn service(path: &str, query: Option<&str>) -> Option<Target> {
    let rest = path.strip_prefix("/v1/services/")?;
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    if name.is_empty() {
        return None;
    }
    let query = query.map(|query| format!("?{query}")).unwrap_or_default();
    Some(Target::Service {
        name: name.to_owned(),
        path: format!("/{path}{query}"),
    })
}

fn care(headers: &HeaderMap) -> Result<Option<CallClass>, End> {
    match text(headers, "siskinyoke-care")? {
        None => Ok(None),
        Some("idempotent") => Ok(Some(CallClass::Idempotent)),
        Some("at-most-once") => Ok(Some(CallClass::AtMostOnce)),
        Some("non-idempotent") => Ok(Some(CallClass::NonIdempotent)),
        Some(_) => Err(malformed(
            "siskinyoke-care",
            "idempotent, at-most-once, non-idempotent",
        )),
    }
}

fn number(headers: &HeaderMap, name: &str) -> Result<Option<u32>, End> {
    let Some(text) = text(headers, name)? else {
        return Ok(None);
    };
    text.parse()
        .map(Some)
        .map_err(|_| malformed(name, "a whole number up to 4294967295"))
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, End> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value
        .to_str()
        .map_err(|_| malformed(name, "visible ASCII characters"))?;
    Ok(Some(text))
}

fn malformed(name: &str, allowed: &str) -> End {
    End::new(Code::Malformed).detail(format!("header {name}: allowed is {allowed}"))
}

/// Says where a body is malformed, without repeating the caller's text.
fn place(err: &serde_json::Error) -> String {
    let what = match err.classify() {
        serde_json::error::Category::Data => "a field is missing or of the wrong type",
        serde_json::error::Category::Eof => "the body ends too early",
        _ => "the body is not JSON",
    };
    let fields = "needed are model (text) and messages (list)";
    format!(
        "{what} at line {}, column {}; {fields}",
        err.line(),
        err.column()
    )
}

/// Returns chained digests of the leading blocks of a prompt.
fn prefix(text: &[u8]) -> Vec<u64> {
    let mut hasher = blake3::Hasher::new();
    let whole = text.chunks_exact(BLOCK).take(BLOCKS);
    whole
        .map(|block| {
            hasher.update(block);
            let digest = hasher.finalize();
            let (head, _) = digest.as_bytes().split_at(8);
            u64::from_le_bytes(head.try_into().expect("a digest has over 8 bytes"))
        })
        .collect()
}

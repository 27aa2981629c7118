//! A client's request.

use siskinyoke_base::Millis;

/// A client's request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Request {
    /// The HTTP method.
    pub method: String,
    /// The path, which starts with `/v1/`.
    pub path: String,
    /// The body.
    pub body: Vec<u8>,
    /// The content type of the body.
    pub content_type: String,
    /// The request ID used in logs; generated if absent.
    pub id: Option<String>,
    /// Whether the request may run more than once, so that it is retried if its outcome is unknown.
    pub idempotent: bool,
    /// How long the caller waits, if shorter than the default of the route.
    pub caller_timeout: Option<Millis>,
}

impl Request {
    /// Creates a chat completion request with at most `max_tokens` output tokens.
    pub fn chat(model: &str, prompt: &str, stream: bool, max_tokens: u32) -> Self {
        let body = serde_json::json!({
            "model": model,
            "messages": [{"role": "user", "content": prompt}],
            "stream": stream,
            "max_tokens": max_tokens,
        });
        Self {
            method: "POST".into(),
            path: "/v1/chat/completions".into(),
            body: body.to_string().into_bytes(),
            content_type: "application/json".into(),
            ..Self::default()
        }
    }

    /// Creates a request to a plain service. `path` starts with a slash.
    pub fn service(name: &str, method: &str, path: &str, body: Vec<u8>) -> Self {
        Self {
            method: method.into(),
            path: format!("/v1/services/{name}{path}"),
            body,
            content_type: "application/json".into(),
            ..Self::default()
        }
    }
}

//! A request as a caller makes it.

use siskinyoke_base::Millis;

/// A request as a caller makes it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Request {
    /// The HTTP method.
    pub method: String,
    /// The path, beginning with `/v1/`.
    pub path: String,
    /// The body.
    pub body: Vec<u8>,
    /// Content type of the body.
    pub content_type: String,
    /// Its identity in logs; one is drawn if none is given.
    pub id: Option<String>,
    /// Whether it may run more than once, so that it is sent again where its outcome is not known.
    pub idempotent: bool,
    /// A shorter need than the route's.
    pub caller_timeout: Option<Millis>,
}

impl Request {
    /// Makes a chat request.
    pub fn chat(model: &str, text: &str, stream: bool, output: u32) -> Self {
        let body = serde_json::json!({
            "model": model,
            "messages": [{"role": "user", "content": text}],
            "stream": stream,
            "max_tokens": output,
        });
        Self {
            method: "POST".into(),
            path: "/v1/chat/completions".into(),
            body: body.to_string().into_bytes(),
            content_type: "application/json".into(),
            ..Self::default()
        }
    }

    /// Makes a call of a plain service; `path` begins with a slash.
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

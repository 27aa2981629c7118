//! OpenAI-compatible chat completion requests and responses.

use serde::Deserialize;
use serde_json::Value;
use serde_json::json;

use super::cache::CacheLookup;
use crate::completion::Completion;

/// The last event of every complete stream.
pub const STREAM_TERMINATOR: &str = "data: [DONE]\n\n";

/// The `created` time of every response; fixed, so that a resumed stream is identical.
const CREATED_AT_SECONDS: u64 = 1_767_225_600;

/// The fields of `POST /v1/chat/completions` that the stand-in uses.
#[derive(Debug, Deserialize)]
pub struct ChatRequest {
    /// The requested model.
    pub model: String,
    /// The conversation.
    pub messages: Vec<Message>,
    /// Whether the response is streamed.
    #[serde(default)]
    pub stream: bool,
    /// Maximum number of completion tokens, in the deprecated field.
    pub max_tokens: Option<u32>,
    /// Maximum number of completion tokens; takes precedence.
    pub max_completion_tokens: Option<u32>,
    /// Options for streamed responses.
    #[serde(default)]
    pub stream_options: StreamOptions,
}

/// Options for streamed responses.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct StreamOptions {
    /// Whether the stream ends with a usage chunk.
    pub include_usage: bool,
}

/// One message of a conversation.
#[derive(Debug, Deserialize)]
pub struct Message {
    /// The role of the author, such as `user`.
    pub role: String,
    /// A string, or an array of parts, of which only text parts are used.
    #[serde(default)]
    pub content: Value,
}

impl Message {
    /// Returns the text of the message.
    pub fn text(&self) -> String {
        match &self.content {
            Value::String(text) => text.clone(),
            Value::Array(parts) => parts
                .iter()
                .filter_map(|part| part["text"].as_str())
                .collect(),
            _ => String::new(),
        }
    }
}

impl ChatRequest {
    /// Returns the prompt: all messages with their roles, one per line.
    pub fn prompt(&self) -> String {
        let lines = self
            .messages
            .iter()
            .map(|message| message.role.clone() + ":" + &message.text());
        lines.collect::<Vec<_>>().join("\n")
    }

    /// Returns the text of the last user message, or an empty string.
    pub fn last_user_message(&self) -> String {
        let mut newest_first = self.messages.iter().rev();
        let last = newest_first.find(|message| message.role == "user");
        last.map(Message::text).unwrap_or_default()
    }

    /// Generates the completion for the last user message.
    pub fn completion(&self) -> Completion {
        let limit = self.max_completion_tokens.or(self.max_tokens);
        Completion::generate(&self.last_user_message(), limit)
    }
}

/// Returns the completion as a single response object.
pub fn response(request: &ChatRequest, completion: &Completion, lookup: CacheLookup) -> Value {
    json!({
        "id": completion.id,
        "object": "chat.completion",
        "created": CREATED_AT_SECONDS,
        "model": request.model,
        "choices": [{
            "index": 0,
            "message": { "role": "assistant", "content": completion.text() },
            "finish_reason": finish_reason(completion),
        }],
        "usage": usage(completion, lookup),
    })
}

/// Returns the completion as server-sent events, including the terminator.
pub fn stream_events(
    request: &ChatRequest,
    completion: &Completion,
    lookup: CacheLookup,
) -> Vec<String> {
    let chunk = |delta: Value, reason: Value| {
        let choice = json!({ "index": 0, "delta": delta, "finish_reason": reason });
        json!({
            "id": completion.id,
            "object": "chat.completion.chunk",
            "created": CREATED_AT_SECONDS,
            "model": request.model,
            "choices": [choice],
        })
    };
    let first = chunk(json!({ "role": "assistant", "content": "" }), Value::Null);
    let mut chunks = vec![first];
    for word in &completion.words {
        chunks.push(chunk(json!({ "content": word }), Value::Null));
    }
    chunks.push(chunk(json!({}), finish_reason(completion).into()));
    if request.stream_options.include_usage {
        let mut usage_chunk = chunk(json!({}), Value::Null);
        usage_chunk["choices"] = json!([]);
        usage_chunk["usage"] = usage(completion, lookup);
        chunks.push(usage_chunk);
    }
    let mut events: Vec<String> = chunks
        .iter()
        .enumerate()
        .map(|(number, chunk)| format!("id: {number}\ndata: {chunk}\n\n"))
        .collect();
    events.push(STREAM_TERMINATOR.to_owned());
    events
}

fn finish_reason(completion: &Completion) -> &'static str {
    if completion.truncated {
        "length"
    } else {
        "stop"
    }
}

fn usage(completion: &Completion, lookup: CacheLookup) -> Value {
    let completion_tokens = completion.words.len();
    json!({
        "prompt_tokens": lookup.prompt_tokens,
        "completion_tokens": completion_tokens,
        "total_tokens": u64::from(lookup.prompt_tokens) + completion_tokens as u64,
        "prompt_tokens_details": { "cached_tokens": lookup.cached_tokens },
    })
}

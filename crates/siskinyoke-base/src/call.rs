//! A caller's request as every crate sees it, without its transport.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::Millis;
use crate::ModelId;

/// How often a request may reach an endpoint; a later value is more careful.
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum CallClass {
    /// May run again after a failure.
    #[default]
    Idempotent,
    /// Is dispatched at most once.
    AtMostOnce,
    /// Runs at most once, and needs an idempotency key.
    NonIdempotent,
}

/// Where a request goes.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Route {
    /// A chat completion by a model.
    Chat {
        /// The model asked for.
        model: ModelId,
    },
    /// A call of a plain service.
    Service {
        /// The service's name.
        service: ModelId,
        /// The HTTP method.
        method: String,
        /// Path and query behind the service's name, with a leading slash.
        path: String,
    },
}

impl Route {
    /// Returns the model or service that the route leads to.
    pub fn target(&self) -> &ModelId {
        match self {
            Self::Chat { model } => model,
            Self::Service { service, .. } => service,
        }
    }
}

/// What a caller sent, apart from its body's meaning.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallHead {
    /// Where it goes.
    pub route: Route,
    /// Digest of the caller's bearer key; the key itself is never kept.
    pub bearer: [u8; 32],
    /// The caller's idempotency key.
    pub key: Option<String>,
    /// The caller's ticket, as sent.
    pub ticket: Option<String>,
    /// How many times the caller sent it before, if it says so.
    pub retry: Option<u32>,
    /// More care than the route asks for.
    pub care: Option<CallClass>,
    /// A shorter need than the route gives, in milliseconds from arrival.
    pub need: Option<Millis>,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Estimated tokens of the prompt.
    pub prompt: u32,
    /// The most tokens the answer may take.
    pub output: u32,
    /// Chained digests of the prompt's leading blocks, for prefix affinity.
    pub prefix: Vec<u64>,
    /// Content type of the body.
    pub content: String,
    /// The body, passed on as it is.
    pub body: Bytes,
}

impl CallHead {
    /// Returns a digest of the content, which is the same however it is sent.
    pub fn digest(&self) -> [u8; 32] {
        let mut hasher = blake3::Hasher::new();
        if let Route::Service { method, path, .. } = &self.route {
            hasher.update(method.as_bytes());
            hasher.update(path.as_bytes());
        }
        hasher.update(self.route.target().as_str().as_bytes());
        hasher.update(&self.body);
        *hasher.finalize().as_bytes()
    }
}

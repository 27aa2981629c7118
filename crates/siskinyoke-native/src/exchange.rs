//! Requests and responses: OpenAI-style chat, plain services, result codes.

use std::borrow::Cow;

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::Uri;
use http::header;
use http::request::Parts;
use serde::Deserialize;
use serde_json::json;
use serde_json::value::RawValue;

use crate::configuration::ANY_HOST;
use crate::names;
use siskinyoke_base::Code;
use siskinyoke_base::Millis;
use siskinyoke_dispatch::Endpoint;
use siskinyoke_dispatch::PromptParts;
use siskinyoke_dispatch::Refusal;
use siskinyoke_dispatch::RefusalReason;
use siskinyoke_interface::Exchange;
use siskinyoke_interface::FormatError;
use siskinyoke_interface::RequestHead;
use siskinyoke_interface::ResponseClass;
use siskinyoke_interface::Resumption;
use siskinyoke_interface::headers;

/// Output tokens assumed for a chat request that sets no limit.
const DEFAULT_OUTPUT_TOKENS: u64 = 256;

/// The data of the event that ends a complete stream.
const STREAM_TERMINATOR: &str = "[DONE]";

/// Bytes of text per token, a rough average of Arabic and English.
const BYTES_PER_TOKEN: usize = 4;

/// Headers of callers that are not forwarded to endpoints: credentials, and headers that only
/// instances may set.
const DROPPED_HEADERS: [HeaderName; 4] = [
    header::AUTHORIZATION,
    header::HOST,
    names::ORGANISATION_NAME,
    names::TARGET_ENDPOINT,
];

/// Requests and responses of the native interface.
#[derive(Debug, Clone, Copy)]
pub struct NativeExchange;

/// The fields of a chat request that routing and scheduling use.
#[derive(Debug, Deserialize)]
struct ChatRequest<'a> {
    model: String,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u64>,
    max_completion_tokens: Option<u64>,
    #[serde(borrow)]
    messages: &'a RawValue,
}

impl Exchange for NativeExchange {
    fn needs_body(&self, parts: &Parts) -> bool {
        parts.uri.path() == names::CHAT_PATH
    }

    fn request_id<'a>(&self, parts: &'a Parts) -> Option<&'a str> {
        headers::header_text(&parts.headers, &names::REQUEST_ID)
    }

    fn caller_timeout(&self, parts: &Parts) -> Option<Millis> {
        let value = headers::header_text(&parts.headers, &names::CALLER_TIMEOUT)?;
        value.trim().parse().ok().map(Millis)
    }

    fn decode_request<'a>(
        &self,
        parts: &'a Parts,
        body: &[u8],
    ) -> Result<RequestHead<'a>, FormatError> {
        let head = &parts.headers;
        let (path, tokens) = if self.needs_body(parts) {
            let chat: ChatRequest<'_> = serde_json::from_slice(body)?;
            (
                names::model_path(&chat.model, chat.stream).into(),
                Some(chat.token_counts()),
            )
        } else {
            let tokens =
                headers::header_text(head, &names::TOKEN_COUNTS).and_then(headers::parse_pair);
            (parts.uri.path().into(), tokens)
        };
        Ok(RequestHead {
            id: self.request_id(parts),
            host: ANY_HOST,
            path,
            api_key: headers::bearer_token(head).map(|key| Cow::Owned(names::key_digest(key))),
            timeout: self.caller_timeout(parts),
            token_counts: tokens,
            output_estimate: headers::header_text(head, &names::OUTPUT_ESTIMATE)
                .and_then(|it| it.trim().parse().ok()),
            prompt_parts: PromptParts::default(),
            resumption: Resumption::decode(head, &names::RESUMED_ID, &names::LAST_EVENT_ID),
        })
    }

    // Services get the path that follows their name.
    fn endpoint_uri(&self, uri: &Uri) -> Uri {
        let Some(service_path) = uri.path().strip_prefix(names::SERVICE_PATH) else {
            return uri.clone();
        };
        let rest = service_path.split_once('/').map_or("", |pair| pair.1);
        let query = uri.query().map_or(String::new(), |it| format!("?{it}"));
        format!("/{rest}{query}")
            .parse()
            .unwrap_or_else(|_| uri.clone())
    }

    fn probe_path(&self) -> &'static str {
        names::PROBE_PATH
    }

    fn request_headers(&self, headers: &HeaderMap, organisation: Option<&str>) -> HeaderMap {
        let mut out = headers::end_to_end(headers, &DROPPED_HEADERS);
        if let Some(value) = organisation.and_then(|name| HeaderValue::from_str(name).ok()) {
            out.insert(names::ORGANISATION_NAME, value);
        }
        out
    }

    fn set_endpoint(&self, headers: &mut HeaderMap, endpoint: &Endpoint, remaining: Millis) {
        if let Ok(value) = HeaderValue::from_str(&endpoint.id) {
            headers.insert(names::TARGET_ENDPOINT, value);
        }
        if let Ok(value) = HeaderValue::from_str(&endpoint.address) {
            headers.insert(header::HOST, value);
        }
        headers.insert(names::CALLER_TIMEOUT, HeaderValue::from(remaining.0));
    }

    fn set_last_event(&self, headers: &mut HeaderMap, event: &str) {
        if let Ok(value) = HeaderValue::from_str(event) {
            headers.insert(names::LAST_EVENT_ID, value);
        }
    }

    fn last_event_data(&self) -> Option<&'static str> {
        Some(STREAM_TERMINATOR)
    }

    // A 503 is no proof that the request did not run: it may come from a proxy that had already
    // forwarded it. Of the refusals, only 429 means by the standard that nothing ran.
    fn classify_response(
        &self,
        status: StatusCode,
        headers: &HeaderMap,
        id: Option<&str>,
    ) -> ResponseClass {
        let echoed = headers::header_text(headers, &names::REQUEST_ID);
        if echoed.is_some() && id.is_some() && echoed != id {
            return ResponseClass::Mismatched;
        }
        match status {
            StatusCode::MISDIRECTED_REQUEST => ResponseClass::Misdirected,
            StatusCode::TOO_MANY_REQUESTS => ResponseClass::Rejected,
            _ if status.is_success() && headers::has_unknown_coding(headers) => {
                ResponseClass::Mismatched
            }
            _ => ResponseClass::Valid,
        }
    }

    fn rate_limit(&self, headers: &HeaderMap) -> Result<Option<f64>, FormatError> {
        headers::parse_rate(headers, &names::RATE_LIMIT)
    }

    fn rejection_limit(&self, headers: &HeaderMap) -> Result<Option<u32>, FormatError> {
        headers::parse_count(headers, &names::REJECTION_LIMIT)
    }

    fn is_leaving(&self, headers: &HeaderMap) -> Result<bool, FormatError> {
        headers::parse_flag(headers, &names::ENDPOINT_LEAVING)
    }

    fn requested_backoff(
        &self,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> Result<Option<Millis>, FormatError> {
        match status {
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
                headers::parse_retry_after(headers)
            }
            _ => Ok(None),
        }
    }

    fn response_headers(&self, status: StatusCode, headers: &HeaderMap) -> HeaderMap {
        let mut out = headers::end_to_end(headers, &[names::RESULT_CODE, names::RESULT_KIND]);
        let content_type = headers::header_text(headers, &header::CONTENT_TYPE).unwrap_or("");
        let code = if status.is_server_error() {
            Code::EndpointError
        } else if content_type.starts_with("text/event-stream") {
            Code::Streaming
        } else {
            Code::Complete
        };
        set_result_code(&mut out, code);
        out
    }

    fn refusal_response(&self, refusal: Refusal) -> Response<Vec<u8>> {
        let retry_after = (!refusal.reason.is_permanent()).then_some(refusal.retry_after);
        result_response(refusal_code(refusal.reason), retry_after)
    }

    fn error_response(&self, code: Code) -> Response<Vec<u8>> {
        result_response(code, None)
    }
}

impl ChatRequest<'_> {
    fn token_counts(&self) -> (u64, u64) {
        let prompt = self.messages.get().len() / BYTES_PER_TOKEN;
        let output = self.max_completion_tokens.or(self.max_tokens);
        (
            u64::try_from(prompt).unwrap_or(u64::MAX),
            output.unwrap_or(DEFAULT_OUTPUT_TOKENS),
        )
    }
}

/// Returns the result code of a refusal.
pub fn refusal_code(reason: RefusalReason) -> Code {
    match reason {
        RefusalReason::NotReady => Code::NoConfiguration,
        RefusalReason::NoRoute => Code::UnknownRoute,
        RefusalReason::UnknownKey => Code::WrongKey,
        RefusalReason::QuotaExceeded => Code::OverQuota,
        RefusalReason::Overload => Code::Overloaded,
        RefusalReason::QueueTimeout => Code::Late,
        RefusalReason::Displaced => Code::Shed,
        RefusalReason::NoEndpoint => Code::NoEndpoint,
        RefusalReason::Quarantined => Code::Quarantined,
        RefusalReason::EndpointRejected => Code::Rejected,
        RefusalReason::VersionUnknown => Code::VersionUnknown,
        RefusalReason::VersionGone => Code::VersionGone,
        RefusalReason::ShuttingDown => Code::ShuttingDown,
    }
}

fn result_response(code: Code, retry_after: Option<Millis>) -> Response<Vec<u8>> {
    let body = json!({
        "error": {
            "message": code.text(),
            "type": code.kind().as_str(),
            "code": code.number(),
            "retry_after_ms": retry_after.map(|delay| delay.0),
        }
    });
    let mut response = Response::new(body.to_string().into_bytes());
    *response.status_mut() = StatusCode::from_u16(code.status()).unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = response.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    set_result_code(headers, code);
    if let Some(retry_after) = retry_after {
        // `Retry-After` is in whole seconds; the body has the exact delay.
        headers.insert(
            header::RETRY_AFTER,
            HeaderValue::from(retry_after.0.div_ceil(1_000)),
        );
    }
    response
}

fn set_result_code(headers: &mut HeaderMap, code: Code) {
    headers.insert(names::RESULT_CODE, HeaderValue::from(code.number()));
    headers.insert(
        names::RESULT_KIND,
        HeaderValue::from_static(code.kind().as_str()),
    );
}

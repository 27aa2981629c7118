//! What HTTP itself says of headers, whatever the interface.

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::header;

use crate::FormatError;
use siskinyoke_base::Millis;

/// Returns how long an idle connection may be used again, if the other side says so.
pub fn keep_alive_timeout(headers: &HeaderMap) -> Option<Millis> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Millis::from_secs)
}

/// Returns whether the other side closes the connection after this answer.
pub fn closes_connection(headers: &HeaderMap) -> bool {
    headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .any(|value| value.to_ascii_lowercase().contains("close"))
}

/// Returns the headers that concern more than one connection, without those in `dropped`.
pub fn end_to_end(headers: &HeaderMap, dropped: &[HeaderName]) -> HeaderMap {
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut out = HeaderMap::with_capacity(headers.len() + 2);
    for (name, value) in headers {
        let text = name.as_str();
        if dropped.contains(name) || is_hop_by_hop(text) || named.iter().any(|it| it == text) {
            continue;
        }
        out.append(name.clone(), value.clone());
    }
    out
}

/// Returns a header's value as text.
pub fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Returns the bearer key of a request.
pub fn bearer_token(headers: &HeaderMap) -> Option<&str> {
    let (scheme, key) = header_text(headers, &header::AUTHORIZATION)?.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
}

/// Reads two numbers with a comma between them.
pub fn parse_pair(text: &str) -> Option<(u64, u64)> {
    let (first, second) = text.split_once(',')?;
    Some((first.trim().parse().ok()?, second.trim().parse().ok()?))
}

/// Reads a header that holds a rate a second, if it is there.
///
/// # Errors
///
/// That it is no rate.
pub fn parse_rate(headers: &HeaderMap, name: &HeaderName) -> Result<Option<f64>, FormatError> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let number = value.to_str().ok().and_then(|it| it.trim().parse().ok());
    match number {
        Some(rate) if f64::is_finite(rate) && rate >= 0.0 => Ok(Some(rate)),
        _ => Err(FormatError::InvalidValue(
            name.to_string(),
            "give requests a second, 0 or more",
        )),
    }
}

/// Returns a span as a header in seconds with three decimals.
pub fn seconds_value(span: Millis) -> HeaderValue {
    let text = format!("{:.3}", span.as_secs());
    HeaderValue::from_str(&text).unwrap_or_else(|_| HeaderValue::from_static("1"))
}

fn is_hop_by_hop(name: &str) -> bool {
    matches!(
        name,
        "connection"
            | "keep-alive"
            | "proxy-connection"
            | "proxy-authenticate"
            | "proxy-authorization"
            | "te"
            | "trailer"
            | "transfer-encoding"
            | "upgrade"
            | "content-length"
            | "expect"
    )
}

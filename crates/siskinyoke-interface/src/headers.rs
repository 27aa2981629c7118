//! HTTP header handling shared by all interfaces.

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::header;

use crate::FormatError;
use siskinyoke_base::Millis;

/// Returns how long the peer keeps an idle connection open, if its response states it.
pub fn keep_alive_timeout(headers: &HeaderMap) -> Option<Millis> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Millis::from_secs)
}

/// Returns whether the peer closes the connection after this response.
pub fn closes_connection(headers: &HeaderMap) -> bool {
    headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .any(|value| value.to_ascii_lowercase().contains("close"))
}

/// Returns whether a body is an event stream, if its content type is stated.
pub fn is_event_stream(headers: &HeaderMap) -> Option<bool> {
    let value = headers.get(header::CONTENT_TYPE)?.to_str().ok()?;
    let media_type = value.split(';').next().unwrap_or(value).trim();
    Some(media_type.eq_ignore_ascii_case("text/event-stream"))
}

/// Returns whether a body has a transfer coding other than chunks, which the HTTP client does not
/// decode.
///
/// Such a header is not forwarded, so that the recipient would take the coded bytes for the body.
pub fn has_unknown_coding(headers: &HeaderMap) -> bool {
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    codings.any(|it| !it.as_bytes().trim_ascii().eq_ignore_ascii_case(b"chunked"))
}

/// Returns the end-to-end headers, without those in `dropped`.
pub fn end_to_end(headers: &HeaderMap, dropped: &[HeaderName]) -> HeaderMap {
    let connection_options: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut out = HeaderMap::with_capacity(headers.len() + 2);
    for (name, value) in headers {
        let text = name.as_str();
        if dropped.contains(name)
            || is_hop_by_hop(text)
            || connection_options.iter().any(|it| it == text)
        {
            continue;
        }
        out.append(name.clone(), value.clone());
    }
    out
}

/// Returns a header's value as text, if it is present and visible ASCII.
pub fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Returns the bearer token of a request.
pub fn bearer_token(headers: &HeaderMap) -> Option<&str> {
    let (scheme, key) = header_text(headers, &header::AUTHORIZATION)?.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
}

/// Parses two integers separated by a comma.
pub fn parse_pair(text: &str) -> Option<(u64, u64)> {
    let (first, second) = text.split_once(',')?;
    Some((first.trim().parse().ok()?, second.trim().parse().ok()?))
}

/// Parses a header that holds requests per second, if present.
///
/// # Errors
///
/// The value is not a finite number of 0 or more.
pub fn parse_rate(headers: &HeaderMap, name: &HeaderName) -> Result<Option<f64>, FormatError> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let number = value.to_str().ok().and_then(|it| it.trim().parse().ok());
    match number {
        Some(rate) if f64::is_finite(rate) && rate >= 0.0 => Ok(Some(rate)),
        _ => Err(FormatError::InvalidValue(
            name.to_string(),
            "give requests per second, 0 or more",
        )),
    }
}

/// Parses a header that holds a whole number, if present; one that is too large counts as the
/// largest.
///
/// # Errors
///
/// The value is not a whole number of 0 or more.
pub fn parse_count(headers: &HeaderMap, name: &HeaderName) -> Result<Option<u32>, FormatError> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str().unwrap_or("").trim();
    if text.is_empty() || !text.bytes().all(|it| it.is_ascii_digit()) {
        return Err(FormatError::InvalidValue(
            name.to_string(),
            "give a whole number, 0 or more",
        ));
    }
    Ok(Some(text.parse().unwrap_or(u32::MAX)))
}

/// Parses a header that is 1 if something holds, and 0 or absent otherwise.
///
/// # Errors
///
/// The value is neither 0 nor 1.
pub fn parse_flag(headers: &HeaderMap, name: &HeaderName) -> Result<bool, FormatError> {
    let Some(value) = headers.get(name) else {
        return Ok(false);
    };
    match value.as_bytes().trim_ascii() {
        b"1" => Ok(true),
        b"0" => Ok(false),
        _ => Err(FormatError::InvalidValue(name.to_string(), "give 1 or 0")),
    }
}

/// Parses the `Retry-After` header, if present: seconds, also with a fraction, or a date.
///
/// A date is compared with the `Date` header of the same response, as clocks differ.
///
/// # Errors
///
/// The value is neither a finite number of 0 or more nor a date, or it is a date and the response
/// has no valid `Date` header.
pub fn parse_retry_after(headers: &HeaderMap) -> Result<Option<Millis>, FormatError> {
    let Some(value) = headers.get(header::RETRY_AFTER) else {
        return Ok(None);
    };
    let invalid = |hint| FormatError::InvalidValue(header::RETRY_AFTER.to_string(), hint);
    let text = value.to_str().unwrap_or("").trim();
    if let Ok(seconds) = text.parse() {
        return duration_from_secs(seconds)
            .map(Some)
            .ok_or_else(|| invalid("give seconds, 0 or more"));
    }
    let until = httpdate::parse_http_date(text)
        .map_err(|_| invalid("give seconds, 0 or more, or a date"))?;
    let sent_at = header_text(headers, &header::DATE)
        .and_then(|it| httpdate::parse_http_date(it).ok())
        .ok_or_else(|| invalid("a date needs a valid `Date` header in the same response"))?;
    let duration = until.duration_since(sent_at).unwrap_or_default();
    Ok(duration_from_secs(duration.as_secs_f64()))
}

/// Formats a duration as a header value in seconds with three decimals.
pub fn seconds_value(duration: Millis) -> HeaderValue {
    let text = format!("{:.3}", duration.as_secs());
    HeaderValue::from_str(&text).unwrap_or_else(|_| HeaderValue::from_static("1"))
}

// Returns a duration rounded up to milliseconds, `None` for a negative or infinite number.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the conversion saturates, and the number is not negative"
)]
fn duration_from_secs(seconds: f64) -> Option<Millis> {
    let valid = seconds.is_finite() && seconds >= 0.0;
    valid.then(|| Millis((seconds * 1_000.0).ceil() as u64))
}

// Includes the headers that are set anew for each message.
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

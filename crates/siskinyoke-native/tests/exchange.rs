//! Requests and responses of the native interface.

use http::HeaderMap;
use http::Request;
use http::StatusCode;
use http::request::Parts;

use siskinyoke_base::Code;
use siskinyoke_base::Millis;
use siskinyoke_dispatch::Endpoint;
use siskinyoke_dispatch::Refusal;
use siskinyoke_dispatch::RefusalReason;
use siskinyoke_interface::Exchange;
use siskinyoke_interface::ResponseClass;
use siskinyoke_native::exchange::NativeExchange;
use siskinyoke_native::names::key_digest;

const CHAT_BODY: &[u8] = br#"{ "model": "qalam-small", "stream": true, "max_tokens": 20, "n": 1,
    "messages": [{ "role": "user", "content": "A paragraph." }] }"#;

fn parts(path: &str, rows: &[(&str, &str)]) -> Parts {
    let mut builder = Request::post(path);
    for (name, value) in rows {
        builder = builder.header(*name, *value);
    }
    builder.body(()).unwrap().into_parts().0
}

fn endpoint() -> Endpoint {
    Endpoint {
        id: "fast-1".into(),
        started_ms: 0,
        service: "qalam".into(),
        version: "".into(),
        address: "10.0.0.1:8000".into(),
        centre: "a".into(),
        slots: 1,
        draining: false,
    }
}

#[test]
fn a_chat_request_is_decoded_from_its_body() {
    let parts = parts(
        "/v1/chat/completions",
        &[
            ("authorization", "Bearer one"),
            ("siskinyoke-need", "900"),
            ("x-request-id", "r1"),
        ],
    );
    assert!(NativeExchange.needs_body(&parts));
    let head = NativeExchange.decode_request(&parts, CHAT_BODY).unwrap();
    assert_eq!(head.path, "/v1/models/qalam-small/stream/");
    assert_eq!(head.token_counts, Some((11, 20)));
    assert_eq!(head.timeout, Some(Millis(900)));
    assert_eq!(head.id, Some("r1"));
    assert_eq!(head.api_key.as_deref(), Some(key_digest("one").as_str()));
}

#[test]
fn a_chat_request_without_a_model_is_malformed() {
    let parts = parts("/v1/chat/completions", &[]);
    let err = NativeExchange
        .decode_request(&parts, br#"{ "messages": [] }"#)
        .unwrap_err();
    assert!(err.to_string().contains("missing field `model`"), "{err}");
    assert_eq!(
        NativeExchange.error_response(Code::Malformed).status(),
        StatusCode::BAD_REQUEST
    );
}

#[test]
fn a_service_request_is_routed_by_path_and_forwarded_without_the_services_name() {
    let parts = parts("/v1/services/portal/marks/7?a=b", &[]);
    assert!(!NativeExchange.needs_body(&parts));
    let head = NativeExchange.decode_request(&parts, b"").unwrap();
    assert_eq!(head.path, "/v1/services/portal/marks/7");
    assert_eq!(NativeExchange.endpoint_uri(&parts.uri), "/marks/7?a=b");
}

// If headers set by the caller were forwarded, it could act as another organisation or choose the
// endpoint, and its API key would end up in the endpoint's logs.
#[test]
fn a_callers_key_and_forged_headers_never_reach_an_endpoint() {
    let parts = parts(
        "/v1/services/portal/",
        &[
            ("authorization", "Bearer one"),
            ("siskinyoke-organisation", "other"),
            ("siskinyoke-endpoint", "other"),
            ("connection", "x-hop"),
            ("x-hop", "1"),
            ("x-own", "kept"),
        ],
    );
    let mut out = NativeExchange.request_headers(&parts.headers, Some("school"));
    NativeExchange.set_endpoint(&mut out, &endpoint(), Millis(450));
    let mut rows: Vec<_> = out
        .iter()
        .map(|(name, value)| (name.as_str(), value.to_str().unwrap()))
        .collect();
    rows.sort_unstable();
    assert_eq!(
        rows,
        [
            ("host", "10.0.0.1:8000"),
            ("siskinyoke-endpoint", "fast-1"),
            ("siskinyoke-need", "450"),
            ("siskinyoke-organisation", "school"),
            ("x-own", "kept"),
        ]
    );
}

// A proxy in front of an endpoint may respond with 503 after forwarding the request. If this were
// taken for "not run", a non-idempotent request, such as a room booking, would run twice.
#[test]
fn only_statuses_that_guarantee_it_mean_that_nothing_ran() {
    let none = HeaderMap::new();
    let classify = |status| NativeExchange.classify_response(status, &none, Some("r1"));
    assert_eq!(
        classify(StatusCode::TOO_MANY_REQUESTS),
        ResponseClass::Rejected
    );
    assert_eq!(
        classify(StatusCode::MISDIRECTED_REQUEST),
        ResponseClass::Misdirected
    );
    assert_eq!(
        classify(StatusCode::SERVICE_UNAVAILABLE),
        ResponseClass::Valid
    );
}

#[test]
fn a_response_with_another_request_id_is_mismatched() {
    let mut headers = HeaderMap::new();
    headers.insert("x-request-id", "r2".parse().unwrap());
    let class = NativeExchange.classify_response(StatusCode::OK, &headers, Some("r1"));
    assert_eq!(class, ResponseClass::Mismatched);
}

#[test]
fn a_refusal_has_its_result_code_and_a_retry_delay() {
    let response = NativeExchange.refusal_response(Refusal {
        reason: RefusalReason::Overload,
        retry_after: Millis(1_250),
    });
    assert_eq!(response.status(), StatusCode::TOO_MANY_REQUESTS);
    assert_eq!(response.headers()["siskinyoke-code"], "3000");
    assert_eq!(response.headers()["siskinyoke-kind"], "not-run");
    assert_eq!(response.headers()["retry-after"], "2");
    let body: serde_json::Value = serde_json::from_slice(response.body()).unwrap();
    assert_eq!(body["error"]["retry_after_ms"], 1_250);
}

#[test]
fn a_refusal_for_an_unknown_key_has_no_retry_delay() {
    let response = NativeExchange.refusal_response(Refusal {
        reason: RefusalReason::UnknownKey,
        retry_after: Millis::ZERO,
    });
    assert_eq!(response.status(), StatusCode::UNAUTHORIZED);
    assert!(!response.headers().contains_key("retry-after"));
}

#[test]
fn an_endpoints_rejection_limit_is_decoded_and_a_malformed_one_is_an_error() {
    let limit = |text: &str| {
        let mut headers = HeaderMap::new();
        headers.insert("siskinyoke-rejection-limit", text.parse().unwrap());
        NativeExchange.rejection_limit(&headers)
    };
    let without = NativeExchange.rejection_limit(&HeaderMap::new());
    assert!(matches!(without, Ok(None)));
    assert!(matches!(limit("3"), Ok(Some(3))));
    assert!(limit("some").is_err());
}

#[test]
fn an_endpoints_departure_is_decoded_and_a_malformed_value_is_an_error() {
    let is_leaving = |text: &str| {
        let mut headers = HeaderMap::new();
        headers.insert("siskinyoke-leaving", text.parse().unwrap());
        NativeExchange.is_leaving(&headers)
    };
    assert!(matches!(
        NativeExchange.is_leaving(&HeaderMap::new()),
        Ok(false)
    ));
    assert!(matches!(is_leaving("1"), Ok(true)));
    assert!(matches!(is_leaving("0"), Ok(false)));
    assert!(is_leaving("soon").is_err());
}

#[test]
fn rejections_may_request_a_backoff() {
    let mut headers = HeaderMap::new();
    headers.insert("retry-after", "2".parse().unwrap());
    for status in [
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::TOO_MANY_REQUESTS,
    ] {
        let backoff = NativeExchange.requested_backoff(status, &headers);
        assert!(matches!(backoff, Ok(Some(it)) if it == Millis(2_000)));
    }
    let backoff = NativeExchange.requested_backoff(StatusCode::OK, &headers);
    assert!(matches!(backoff, Ok(None)));
}

// The header of the coding is not forwarded. Guards against coded bytes in place of the body.
#[test]
fn a_success_with_another_transfer_coding_than_chunks_is_mismatched() {
    for (coding, class) in [
        ("chunked", ResponseClass::Valid),
        ("chunke", ResponseClass::Mismatched),
        ("gzip, chunked", ResponseClass::Mismatched),
    ] {
        let mut head = HeaderMap::new();
        head.insert("transfer-encoding", coding.parse().unwrap());
        let actual = NativeExchange.classify_response(StatusCode::OK, &head, Some("r1"));
        assert_eq!(actual, class, "{coding}");
    }
}

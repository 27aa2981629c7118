//! The native configuration document and endpoint entries.

use std::fs;

use siskinyoke_base::Millis;
use siskinyoke_dispatch::Configuration;
use siskinyoke_dispatch::RouteKind;
use siskinyoke_interface::Documents;
use siskinyoke_interface::FormatError;
use siskinyoke_interface::ItemKind;
use siskinyoke_native::configuration::Document;
use siskinyoke_native::documents::NativeDocuments;

const CONFIGURATION_TEXT: &str = r#"{
    "revision": 4,
    "preset": "ordinary", // in force
    "presets": {
        "ordinary": {},
        "peak": { "closed": ["deferred"], "shares": { "school": 0.5 } }
    },
    "tiers": ["marking", "paragraphs", "deferred"],
    "routes": [
        { "model": "qalam", "services": { "qalam": 1 }, "tier": "marking", "idempotent": true,
          "timeout_ms": 60000, "objective_ms": 2000, "gap_ms": 200 },
        { "model": "nightly", "services": { "qalam": 1 }, "tier": "deferred",
          "timeout_ms": 600000, "objective_ms": 60000 },
        { "path": "/portal/marks", "services": { "portal": 1 }, "tier": "paragraphs",
          "timeout_ms": 2000, "objective_ms": 300 }
    ],
    "organisations": {
        "school": { "keys": ["d1"], "tier": "paragraphs", "rate": 100, "burst": 800, "tokens": true }
    }
}"#;

fn decode(text: &str) -> Result<Configuration, FormatError> {
    NativeDocuments.decode_configuration(text.as_bytes())
}

#[test]
fn a_document_becomes_routes_services_and_organisations() {
    let configuration = decode(CONFIGURATION_TEXT).unwrap();
    assert_eq!(configuration.version, 4);
    let chat = configuration.route("", "/v1/models/qalam/").unwrap();
    assert_eq!(chat.kind, RouteKind::Safe);
    assert_eq!(chat.timeout, Millis(60_000));
    let stream = configuration.route("", "/v1/models/qalam/stream/").unwrap();
    assert_eq!(stream.kind, RouteKind::Stream);
    let marks = configuration.route("", "/v1/services/portal/marks/7");
    assert_eq!(marks.unwrap().kind, RouteKind::Unsafe);
    assert_eq!(marks.unwrap().priority, 1);
    assert!(configuration.route("", "/v1/services/portal/x").is_none());
    let school = configuration.organisation_by_key("d1").unwrap();
    assert_eq!(school.priority, Some(1));
    assert!((school.rate - 100.0).abs() < f64::EPSILON);
}

#[test]
fn the_active_preset_closes_tiers_and_scales_quotas() {
    let text = CONFIGURATION_TEXT.replace(r#""preset": "ordinary""#, r#""preset": "peak""#);
    let configuration = decode(&text).unwrap();
    let nightly = configuration.route("", "/v1/models/nightly/").unwrap();
    assert!(nightly.targets.is_empty());
    let marking = configuration.route("", "/v1/models/qalam/").unwrap();
    assert!(!marking.targets.is_empty());
    let school = configuration.organisation_by_key("d1").unwrap();
    assert!((school.rate - 50.0).abs() < f64::EPSILON);
}

// If a mistyped name were accepted, a preset would close a tier that does not exist and leave the
// intended one open. The whole document is refused, so the previous configuration stays active.
#[test]
fn an_unknown_name_is_refused_with_its_field_and_a_hint() {
    let cases = [
        (
            r#""preset": "ordinary""#,
            r#""preset": "pek""#,
            "preset: pek",
        ),
        (r#"["deferred"]"#, r#"["defered"]"#, "tier: defered"),
        (r#"{ "school": 0.5 }"#, r#"{ "shool": 0.5 }"#, "shool"),
        (
            r#"{ "school": 0.5 }"#,
            r#"{ "school": -1 }"#,
            "give 0 to 100",
        ),
        (
            r#""tier": "marking""#,
            r#""tier": "markin""#,
            "tier: markin",
        ),
        (
            r#""model": "nightly""#,
            r#""modl": "nightly""#,
            "unknown field",
        ),
        (r#""model": "nightly","#, "", "give either model or path"),
        (r#"{ "portal": 1 }"#, r#"{ "portal": 0 }"#, "with a weight"),
        (
            r#""revision": 4,"#,
            r#""revision": ,"#,
            "JSON with comments",
        ),
    ];
    for (valid, invalid, hint) in cases {
        assert!(CONFIGURATION_TEXT.contains(valid), "{valid}");
        let err = decode(&CONFIGURATION_TEXT.replace(valid, invalid))
            .unwrap_err()
            .to_string();
        assert!(err.contains(hint), "{invalid}: {err}");
    }
}

#[test]
fn the_examples_are_valid() {
    for name in ["cairo", "muscat", "local"] {
        let path = format!("{}/../../examples/{name}", env!("CARGO_MANIFEST_DIR"));
        let bytes = fs::read(format!("{path}/configuration.jsonc")).unwrap();
        let document = Document::parse(&bytes).unwrap();
        for preset in document.presets.keys() {
            let with_preset = Document {
                preset: preset.clone(),
                ..document.clone()
            };
            with_preset.resolve().unwrap();
        }
    }
}

#[test]
fn the_kind_of_an_item_is_determined_by_its_key() {
    assert_eq!(
        NativeDocuments.item_kind("siskinyoke/configuration"),
        ItemKind::Configuration
    );
    assert_eq!(
        NativeDocuments.item_kind("siskinyoke/endpoints/fast-1"),
        ItemKind::Endpoint("fast-1")
    );
    let key = NativeDocuments.instance_key("front-1");
    assert_eq!(
        NativeDocuments.item_kind(&key),
        ItemKind::Instance("front-1")
    );
    assert_eq!(
        NativeDocuments.item_kind("siskinyoke/other"),
        ItemKind::Other
    );
}

#[test]
fn an_endpoint_without_slots_or_with_an_unknown_field_is_rejected() {
    let valid = br#"{ "service": "qalam", "address": "10.0.0.1:8000", "slots": 8 }"#;
    assert_eq!(
        NativeDocuments.decode_endpoint("e", valid).unwrap().slots,
        8
    );
    let no_slots = br#"{ "service": "qalam", "address": "10.0.0.1:8000", "slots": 0 }"#;
    assert!(NativeDocuments.decode_endpoint("e", no_slots).is_err());
    let unknown_field =
        br#"{ "service": "qalam", "address": "10.0.0.1:8000", "slots": 8, "drain": true }"#;
    assert!(NativeDocuments.decode_endpoint("e", unknown_field).is_err());
}

// Guards against documents that end the process, and against endpoints that cannot be used.
#[test]
fn extreme_documents_are_errors() {
    let nested = format!("{}{}", "[".repeat(100_000), "]".repeat(100_000));
    for text in [
        &*nested,
        r#"{"revision":1e999}"#,
        "{\"revision\":\"\\ud83d\"}",
        "\"",
        "/*",
        "-",
    ] {
        assert!(
            NativeDocuments
                .decode_configuration(text.as_bytes())
                .is_err()
        );
    }
    for (address, slots) in [
        ("e.example:80", 8),
        ("10.0.0.1:0", 8),
        ("10.0.0.1:80", u32::MAX),
    ] {
        let text = format!(r#"{{ "service": "q", "address": "{address}", "slots": {slots} }}"#);
        assert!(
            NativeDocuments
                .decode_endpoint("e", text.as_bytes())
                .is_err()
        );
    }
}

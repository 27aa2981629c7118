//! The configuration as operators write it, and entries in the store.

use std::fs;

use siskinyoke_base::Millis;
use siskinyoke_dispatch::Configuration;
use siskinyoke_dispatch::Kind;
use siskinyoke_interface::Documents;
use siskinyoke_interface::FormatError;
use siskinyoke_interface::ItemKind;
use siskinyoke_native::configuration::Document;
use siskinyoke_native::documents::NativeDocuments;

const TEXT: &str = r#"{
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

fn read(text: &str) -> Result<Configuration, FormatError> {
    NativeDocuments.decode_configuration(text.as_bytes())
}

#[test]
fn a_document_becomes_routes_services_and_organisations() {
    let configuration = read(TEXT).unwrap();
    assert_eq!(configuration.version, 4);
    let whole = configuration.route("", "/v1/models/qalam/").unwrap();
    assert_eq!(whole.kind, Kind::Safe);
    assert_eq!(whole.timeout, Millis(60_000));
    let stream = configuration.route("", "/v1/models/qalam/stream/").unwrap();
    assert_eq!(stream.kind, Kind::Stream);
    let marks = configuration.route("", "/v1/services/portal/marks/7");
    assert_eq!(marks.unwrap().kind, Kind::Unsafe);
    assert_eq!(marks.unwrap().priority, 1);
    assert!(configuration.route("", "/v1/services/portal/x").is_none());
    let school = configuration.organisation_by_key("d1").unwrap();
    assert_eq!(school.priority, Some(1));
    assert!((school.rate - 100.0).abs() < f64::EPSILON);
}

#[test]
fn the_preset_in_force_closes_tiers_and_shares_quotas() {
    let text = TEXT.replace(r#""preset": "ordinary""#, r#""preset": "peak""#);
    let configuration = read(&text).unwrap();
    let nightly = configuration.route("", "/v1/models/nightly/").unwrap();
    assert!(nightly.targets.is_empty());
    let marking = configuration.route("", "/v1/models/qalam/").unwrap();
    assert!(!marking.targets.is_empty());
    let school = configuration.organisation_by_key("d1").unwrap();
    assert!((school.rate - 50.0).abs() < f64::EPSILON);
}

// An operator mistypes a name. Taken as it is, the change would close a tier that does not exist and
// leave open the one that was meant; refused whole, the configuration before stays in force.
#[test]
fn a_name_that_does_not_fit_is_refused_with_the_place_and_a_hint() {
    let faulty = [
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
    for (sound, broken, hint) in faulty {
        assert!(TEXT.contains(sound), "{sound}");
        let err = read(&TEXT.replace(sound, broken)).unwrap_err().to_string();
        assert!(err.contains(hint), "{broken}: {err}");
    }
}

#[test]
fn the_examples_are_sound() {
    for name in ["cairo", "muscat", "local"] {
        let path = format!("{}/../../examples/{name}", env!("CARGO_MANIFEST_DIR"));
        let bytes = fs::read(format!("{path}/configuration.jsonc")).unwrap();
        let document = Document::parse(&bytes).unwrap();
        for preset in document.presets.keys() {
            let other = Document {
                preset: preset.clone(),
                ..document.clone()
            };
            other.resolve().unwrap();
        }
    }
}

#[test]
fn keys_say_what_an_item_is() {
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
fn an_endpoint_without_slots_or_with_a_mistyped_field_is_none() {
    let sound = br#"{ "service": "qalam", "address": "10.0.0.1:8000", "slots": 8 }"#;
    assert_eq!(
        NativeDocuments.decode_endpoint("e", sound).unwrap().slots,
        8
    );
    let none = br#"{ "service": "qalam", "address": "10.0.0.1:8000", "slots": 0 }"#;
    assert!(NativeDocuments.decode_endpoint("e", none).is_err());
    let odd = br#"{ "service": "qalam", "address": "10.0.0.1:8000", "slots": 8, "drain": true }"#;
    assert!(NativeDocuments.decode_endpoint("e", odd).is_err());
}

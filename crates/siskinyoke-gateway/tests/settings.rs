//! The settings file: the platform's template with values filled in, and invalid files.

use siskinyoke_dispatch::organisation_shares::share_weights::WeightSource;
use siskinyoke_gateway::settings::Settings;

const SETTINGS_TEMPLATE: &str = include_str!("../../../platform/settings.jsonc");

// Fills in the template as the platform does, with the example values of its documentation.
fn filled_template() -> String {
    let values = [
        ("NodeName", "\"front-muscat-a-1\""),
        ("Ip", "\"10.1.0.25\""),
        ("Zone", "\"muscat-a\""),
        ("Listen.Front", "\"10.1.0.25:8221\""),
        ("Listen.ReadyAddr", "\"10.1.0.25:8224\""),
        ("Listen.Directory", "\"10.1.0.25:8220\""),
        ("Listen.Control", "\"10.1.0.25:8229\""),
        ("Seeds", "[\"10.1.0.25:8229\",\"10.2.0.17:8229\"]"),
        ("Platform.Address", "\"10.200.1.7:8225\""),
        ("Limits.MemoryMb", "110"),
        ("Bounds.GraceS", "8"),
        ("Bounds.RetryBudgetRatio", "0.2"),
        ("Bounds.BudgetSlack", "54"),
        ("Bounds.QuotaWindowS", "8"),
        ("Bounds.QuotaOverage", "0.1"),
        ("Bounds.QuotaSlack", "110000"),
        ("Bounds.ttl_max_s", "5"),
        ("Bounds.ExposureShare", "0.2"),
        ("Bounds.StableMs", "4000"),
    ];
    let mut text = SETTINGS_TEMPLATE.to_owned();
    for name in ["Bounds.ExposureShare", "Bounds.StableMs"] {
        for section_mark in ["#", "/"] {
            text = text.replace(&format!("{{{{{section_mark}{name}}}}}"), "");
        }
    }
    for (name, value) in values {
        text = text.replace(&format!("{{{{{name}|json}}}}"), value);
    }
    assert!(
        !text.contains("{{"),
        "a placeholder is not filled in: {text}"
    );
    text
}

#[test]
fn the_platforms_template_gives_valid_settings() {
    let settings = Settings::parse(&filled_template()).unwrap();
    assert_eq!(settings.instance, "front-muscat-a-1");
    assert_eq!(settings.listen.callers.port(), 8221);
    assert_eq!(settings.seeds.len(), 2);
    assert_eq!(settings.grace_period().0, 8_000);
    assert_eq!(settings.quota_window().0, 8_000);
    assert!((settings.bounds.exposure_share - 0.2).abs() < 1e-9);
    assert_eq!(settings.bounds.settle_ms, 4_000);
}

// Guards against rejecting the settings of a deployment without rollouts, which sets no exposure.
#[test]
fn the_exposure_bound_is_optional() {
    let text = filled_template().replace("\"exposure_share\": 0.2,", "");
    let settings = Settings::parse(&text).unwrap();
    assert!((settings.bounds.exposure_share - 0.1).abs() < 1e-9);
}

// Guards against rejecting the settings of a deployment that sets no settling time.
#[test]
fn the_settling_time_is_optional() {
    let text = filled_template().replace("\"settle_ms\": 4000,", "");
    assert_eq!(Settings::parse(&text).unwrap().bounds.settle_ms, 3_000);
}

// Guards against a misspelt choice of weights that would be taken for the default.
#[test]
fn weights_of_shares_are_rates_unless_another_known_value_is_given() {
    let text = filled_template();
    assert_eq!(Settings::parse(&text).unwrap().shares, WeightSource::Rates);
    for (value, source) in [("equal", WeightSource::Equal), ("off", WeightSource::Off)] {
        let text = text.replacen('{', &format!("{{ \"shares\": \"{value}\","), 1);
        assert_eq!(Settings::parse(&text).unwrap().shares, source);
    }
    let text = text.replacen('{', "{ \"shares\": \"rate\",", 1);
    let error = Settings::parse(&text).unwrap_err().to_string();
    for part in ["`rate`", "`rates`", "`equal`", "`off`"] {
        assert!(error.contains(part), "{error}");
    }
}

// Guards against ignoring a misspelt field: the instance would run with the default instead of the
// operator's value.
#[test]
fn an_unknown_field_is_an_error_with_its_name() {
    for (from, name) in [
        ("\"metrics\"", "no_such_field"),
        ("\"callers\"", "caller"),
        ("\"grace_s\"", "grace_ms"),
    ] {
        let text = filled_template().replacen(from, &format!("\"{name}\": 1, {from}"), 1);
        let err = Settings::parse(&text).unwrap_err().to_string();
        assert!(err.contains(name), "{err}");
    }
}

#[test]
fn an_invalid_file_is_an_error_with_the_field_and_a_hint() {
    let cases = [
        ("\"10.1.0.25:8221\"", "\"8221\"", "invalid socket address"),
        ("\"store\": \"10.200.1.7:8225\",", "", "store"),
        (
            "\"retry_ratio\": 0.2",
            "\"retry_ratio\": 7",
            "bounds.retry_ratio",
        ),
        ("\"grace_s\": 8", "\"grace_s\": 0", "bounds.grace_s"),
        ("\"memory_mb\": 110", "\"memory_mb\": 1", "memory_mb"),
        ("\"front-muscat-a-1\"", "\"\"", "instance"),
        ("{", "", "JSON"),
    ];
    for (from, to, expected) in cases {
        let text = filled_template().replacen(from, to, 1);
        let err = Settings::parse(&text).unwrap_err().to_string();
        assert!(err.contains(expected), "{to}: {err}");
    }
}

#[test]
fn all_invalid_values_are_reported_at_once() {
    let text = filled_template()
        .replace("\"memory_mb\": 110", "\"memory_mb\": 1")
        .replace("\"keep_s\": 5", "\"keep_s\": 0");
    let err = Settings::parse(&text).unwrap_err().to_string();
    assert_eq!(
        err,
        "'memory_mb' cannot be used: an instance needs 16 MB or more; \
         'bounds.keep_s' cannot be used: give 0.1 to 3600 seconds"
    );
}

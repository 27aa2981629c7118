//! Tests of the operators' commands against a stand-in store.

use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;

use siskinyoke_standin::etcd::Etcd;
use siskinyoke_standin::etcd::EtcdConfig;
use siskinyoke_standin::etcd::control::EtcdControl;

fn start_store() -> Etcd {
    Etcd::start(&EtcdConfig::default()).expect("a free port")
}

fn run(etcd: &Etcd, args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_siskinyoke"));
    command
        .arg("--store")
        .arg(etcd.address().to_string())
        .args(args);
    command.output().expect("the command runs")
}

fn text_of(output: &Output) -> String {
    let text = [&output.stdout[..], &output.stderr[..]].concat();
    String::from_utf8_lossy(&text).into_owned()
}

fn run_ok(etcd: &Etcd, args: &[&str]) -> String {
    let output = run(etcd, args);
    assert!(output.status.success(), "{args:?}: {}", text_of(&output));
    text_of(&output)
}

fn run_err(etcd: &Etcd, args: &[&str]) -> String {
    let output = run(etcd, args);
    assert!(!output.status.success(), "{args:?}: {}", text_of(&output));
    text_of(&output)
}

fn example_path(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/local");
    path.join(name).display().to_string()
}

fn write_file(name: &str, text: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).expect("the file can be written");
    path
}

#[test]
fn a_configuration_is_put_in_force_shown_and_its_preset_switched() {
    let etcd = start_store();
    assert!(run_err(&etcd, &["configuration", "show"]).contains("configuration apply FILE"));
    let file = example_path("configuration.jsonc");
    let applied = run_ok(&etcd, &["configuration", "apply", &file]);
    assert_eq!(applied, "revision 1 is in force\n");
    assert_eq!(
        run_ok(&etcd, &["preset", "list"]),
        "  maintenance\n* ordinary\n  peak\n"
    );
    let switched = run_ok(&etcd, &["preset", "switch", "peak"]);
    assert_eq!(switched, "preset peak is in force, revision 2\n");
    assert!(run_err(&etcd, &["preset", "switch", "pek"]).contains("preset list"));
    let shown = run_ok(&etcd, &["configuration", "show"]);
    assert!(
        shown.contains("// The most urgent first."),
        "comments are preserved"
    );
    assert!(shown.contains("\"revision\": 2"));
}

// Two operators edit the same revision. If the second write succeeded, it would silently undo the
// change of the first, which was reported as in force.
#[test]
fn a_change_that_was_overtaken_is_refused_and_changes_nothing() {
    let etcd = start_store();
    let file = example_path("configuration.jsonc");
    run_ok(&etcd, &["configuration", "apply", &file]);
    run_ok(&etcd, &["preset", "switch", "peak"]);
    let text = fs::read_to_string(&file).unwrap();
    let second = write_file(
        "second.jsonc",
        &text.replace("\"revision\": 1", "\"revision\": 2"),
    );
    let refused = run_err(&etcd, &["configuration", "apply", second.to_str().unwrap()]);
    assert!(
        refused.contains("another change was made first (revision 2"),
        "{refused}"
    );
    assert!(run_ok(&etcd, &["preset", "list"]).contains("* peak"));
}

#[test]
fn an_invalid_configuration_is_refused_before_anything_is_written() {
    let etcd = start_store();
    let text = fs::read_to_string(example_path("configuration.jsonc")).unwrap();
    let file = write_file(
        "faulty.jsonc",
        &text.replace(
            "\"tier\": \"marking\", \"rate\"",
            "\"tier\": \"mark\", \"rate\"",
        ),
    );
    let refused = run_err(&etcd, &["configuration", "apply", file.to_str().unwrap()]);
    assert!(refused.contains("tier: mark"), "{refused}");
    assert_eq!(etcd.get("siskinyoke/configuration"), None);
}

#[test]
fn endpoints_are_written_drained_and_removed() {
    let etcd = start_store();
    let written = run_ok(
        &etcd,
        &["endpoint", "apply", &example_path("endpoints.jsonc")],
    );
    assert_eq!(written, "3 endpoints are written\n");
    assert_eq!(
        run_ok(&etcd, &["endpoint", "drain", "slow"]),
        "slow is draining\n"
    );
    let entry = etcd.get("siskinyoke/endpoints/slow").unwrap();
    assert!(entry.contains("\"draining\":true"), "{entry}");
    run_ok(&etcd, &["endpoint", "undrain", "slow"]);
    run_ok(&etcd, &["endpoint", "remove", "slow"]);
    let listed = run_ok(&etcd, &["endpoint", "list"]);
    assert!(
        listed.contains("fast: ") && !listed.contains("slow: "),
        "{listed}"
    );
    assert!(run_err(&etcd, &["endpoint", "drain", "slow"]).contains("endpoint list"));
}

#[test]
fn a_rollout_is_started_shown_and_aborted() {
    let etcd = start_store();
    assert!(run_err(&etcd, &["rollout", "abort", "lm"]).contains("rollout start"));
    let started = run_ok(&etcd, &["rollout", "start", "lm", "v2", "--seconds", "60"]);
    assert!(started.contains("lm moves to v2 within 60 s"), "{started}");
    let order = etcd.get("siskinyoke/rollouts/lm").unwrap();
    assert_eq!(order, r#"{"version":"v2","seconds":60}"#);
    let shown = |args: &[&str]| run_ok(&etcd, args);
    assert_eq!(
        shown(&["rollout", "status"]),
        "lm: to v2 within 60 s, no state yet\n"
    );
    let state = |version: &str| format!(r#"{{"state":"rolled-back","version":"{version}"}}"#);
    etcd.put("siskinyoke/rollout-states/lm", &state("v1"));
    assert!(shown(&["rollout", "status", "lm"]).contains("no state yet"));
    etcd.put("siskinyoke/rollout-states/lm", &state("v2"));
    assert!(shown(&["rollout", "status", "lm"]).contains("v2 rolled-back"));
    assert!(shown(&["--json", "rollout", "status"]).contains("\"state\":\"rolled-back\""));
    assert!(run_err(&etcd, &["rollout", "status", "other"]).contains("rollout start"));
    run_ok(&etcd, &["rollout", "abort", "lm"]);
    assert_eq!(etcd.get("siskinyoke/rollouts/lm"), None);
}

// An invalid order in the store would be ignored by every instance.
#[test]
fn an_invalid_rollout_order_is_refused_before_anything_is_written() {
    let etcd = start_store();
    for (args, hint) in [
        (["rollout", "start", "lm", "", "--seconds", "60"], "version"),
        (
            ["rollout", "start", "lm", "v2", "--seconds", "0"],
            "1 to 86400",
        ),
    ] {
        let refused = run_err(&etcd, &args);
        assert!(refused.contains(hint), "{refused}");
    }
    assert_eq!(etcd.get("siskinyoke/rollouts/lm"), None);
}

// A write takes effect, but its response is lost. If this were reported as a failure, the operator
// would repeat the change; if as a success, a write that failed would go unnoticed.
#[test]
fn a_lost_response_is_reported_as_unknown_outcome() {
    let etcd = start_store();
    etcd.control(&EtcdControl {
        lose_answers: Some(1),
        ..EtcdControl::default()
    });
    let file = example_path("configuration.jsonc");
    let unknown = run_err(&etcd, &["configuration", "apply", &file]);
    assert!(
        unknown.contains("show what is in force before"),
        "{unknown}"
    );
}

#[test]
fn a_generated_key_has_the_digest_that_the_configuration_holds() {
    let etcd = start_store();
    let text = run_ok(&etcd, &["--json", "key"]);
    let output: serde_json::Value = serde_json::from_str(&text).unwrap();
    let key = output["key"].as_str().unwrap();
    assert_eq!(output["digest"], siskinyoke_native::names::key_digest(key));
}

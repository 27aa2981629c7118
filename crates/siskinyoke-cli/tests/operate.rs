//! Operators' commands against a store.

use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;

use siskinyoke_standin::etcd::Etcd;
use siskinyoke_standin::etcd::EtcdConfig;
use siskinyoke_standin::etcd::control::EtcdControl;

fn start() -> Etcd {
    Etcd::start(&EtcdConfig::default()).expect("a free port")
}

fn run(etcd: &Etcd, words: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_siskinyoke"));
    command
        .arg("--store")
        .arg(etcd.address().to_string())
        .args(words);
    command.output().expect("it runs")
}

fn told(output: &Output) -> String {
    let text = [&output.stdout[..], &output.stderr[..]].concat();
    String::from_utf8_lossy(&text).into_owned()
}

fn good(etcd: &Etcd, words: &[&str]) -> String {
    let output = run(etcd, words);
    assert!(output.status.success(), "{words:?}: {}", told(&output));
    told(&output)
}

fn bad(etcd: &Etcd, words: &[&str]) -> String {
    let output = run(etcd, words);
    assert!(!output.status.success(), "{words:?}: {}", told(&output));
    told(&output)
}

fn example(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/local");
    path.join(name).display().to_string()
}

fn write(name: &str, text: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).expect("it can be written");
    path
}

#[test]
fn a_configuration_is_put_in_force_shown_and_its_preset_switched() {
    let etcd = start();
    assert!(bad(&etcd, &["configuration", "show"]).contains("configuration apply FILE"));
    let file = example("configuration.jsonc");
    let applied = good(&etcd, &["configuration", "apply", &file]);
    assert_eq!(applied, "revision 1 is in force\n");
    assert_eq!(
        good(&etcd, &["preset", "list"]),
        "  maintenance\n* ordinary\n  peak\n"
    );
    let switched = good(&etcd, &["preset", "switch", "peak"]);
    assert_eq!(switched, "preset peak is in force, revision 2\n");
    assert!(bad(&etcd, &["preset", "switch", "pek"]).contains("preset list"));
    let shown = good(&etcd, &["configuration", "show"]);
    assert!(shown.contains("// The most urgent first."), "comments last");
    assert!(shown.contains("\"revision\": 2"));
}

// Two operators edit the same revision. Were the second write taken, the change of the first would be
// gone although it was told to be in force.
#[test]
fn a_change_that_was_overtaken_is_refused_and_changes_nothing() {
    let etcd = start();
    let file = example("configuration.jsonc");
    good(&etcd, &["configuration", "apply", &file]);
    good(&etcd, &["preset", "switch", "peak"]);
    let text = fs::read_to_string(&file).unwrap();
    let second = write(
        "second.jsonc",
        &text.replace("\"revision\": 1", "\"revision\": 2"),
    );
    let refused = bad(&etcd, &["configuration", "apply", second.to_str().unwrap()]);
    assert!(
        refused.contains("another change came first (revision 2"),
        "{refused}"
    );
    assert!(good(&etcd, &["preset", "list"]).contains("* peak"));
}

#[test]
fn a_faulty_configuration_is_refused_before_anything_is_written() {
    let etcd = start();
    let text = fs::read_to_string(example("configuration.jsonc")).unwrap();
    let file = write(
        "faulty.jsonc",
        &text.replace(
            "\"tier\": \"marking\", \"rate\"",
            "\"tier\": \"mark\", \"rate\"",
        ),
    );
    let refused = bad(&etcd, &["configuration", "apply", file.to_str().unwrap()]);
    assert!(refused.contains("tier: mark"), "{refused}");
    assert_eq!(etcd.get("siskinyoke/configuration"), None);
}

#[test]
fn endpoints_are_written_drained_and_removed() {
    let etcd = start();
    let written = good(&etcd, &["endpoint", "apply", &example("endpoints.jsonc")]);
    assert_eq!(written, "3 endpoints are written\n");
    assert_eq!(good(&etcd, &["endpoint", "drain", "slow"]), "slow drains\n");
    let entry = etcd.get("siskinyoke/endpoints/slow").unwrap();
    assert!(entry.contains("\"draining\":true"), "{entry}");
    good(&etcd, &["endpoint", "undrain", "slow"]);
    good(&etcd, &["endpoint", "remove", "slow"]);
    let listed = good(&etcd, &["endpoint", "list"]);
    assert!(
        listed.contains("fast: ") && !listed.contains("slow: "),
        "{listed}"
    );
    assert!(bad(&etcd, &["endpoint", "drain", "slow"]).contains("endpoint list"));
}

#[test]
fn a_rollout_is_started_shown_and_aborted() {
    let etcd = start();
    assert!(bad(&etcd, &["rollout", "abort", "lm"]).contains("rollout start"));
    let started = good(&etcd, &["rollout", "start", "lm", "v2", "--seconds", "60"]);
    assert!(
        started.contains("lm is to move to v2 within 60 s"),
        "{started}"
    );
    let order = etcd.get("siskinyoke/rollouts/lm").unwrap();
    assert_eq!(order, r#"{"version":"v2","seconds":60}"#);
    let shown = |words: &[&str]| good(&etcd, words);
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
    assert!(bad(&etcd, &["rollout", "status", "other"]).contains("rollout start"));
    good(&etcd, &["rollout", "abort", "lm"]);
    assert_eq!(etcd.get("siskinyoke/rollouts/lm"), None);
}

// Guards against an order that every instance passes over as unreadable.
#[test]
fn a_faulty_order_of_a_rollout_is_refused_before_anything_is_written() {
    let etcd = start();
    for (words, hint) in [
        (["rollout", "start", "lm", "", "--seconds", "60"], "version"),
        (
            ["rollout", "start", "lm", "v2", "--seconds", "0"],
            "1 to 86400",
        ),
    ] {
        let refused = bad(&etcd, &words);
        assert!(refused.contains(hint), "{refused}");
    }
    assert_eq!(etcd.get("siskinyoke/rollouts/lm"), None);
}

// The write took effect and its answer was lost. Told as failed, the operator would make the change a
// second time; told as done, nobody would look when it had not taken.
#[test]
fn a_lost_answer_is_told_as_not_known() {
    let etcd = start();
    etcd.control(&EtcdControl {
        lose_answers: Some(1),
        ..EtcdControl::default()
    });
    let file = example("configuration.jsonc");
    let unknown = bad(&etcd, &["configuration", "apply", &file]);
    assert!(
        unknown.contains("show what is in force before"),
        "{unknown}"
    );
}

#[test]
fn a_key_is_drawn_with_the_digest_that_the_configuration_holds() {
    let etcd = start();
    let text = good(&etcd, &["--json", "key"]);
    let drawn: serde_json::Value = serde_json::from_str(&text).unwrap();
    let key = drawn["key"].as_str().unwrap();
    assert_eq!(drawn["digest"], siskinyoke_native::names::key_digest(key));
}

//! `siskinyoke check` tells every fault of settings and of configurations.

use std::fs;
use std::path::Path;
use std::process::Command;
use std::process::Output;

fn check(path: &Path, json: bool) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_siskinyoke"));
    command.arg("check").arg(path);
    if json {
        command.arg("--json");
    }
    command.output().expect("it runs")
}

fn example(name: &str) -> std::path::PathBuf {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    root.join("../../examples").join(name)
}

fn write(name: &str, text: &str) -> std::path::PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).expect("it can be written");
    path
}

#[test]
fn examples_pass() {
    for (name, kind) in [
        ("local/daemon-1.jsonc", "settings"),
        ("local/configuration.jsonc", "configuration"),
        ("muscat/configuration.jsonc", "configuration"),
        ("cairo/configuration.jsonc", "configuration"),
    ] {
        let run = check(&example(name), false);
        assert_eq!(run.status.code(), Some(0), "{name}");
        let told = String::from_utf8_lossy(&run.stdout);
        assert!(told.contains(&format!("the {kind} can be used")), "{told}");
    }
}

#[test]
fn faults_of_settings_are_told_with_their_lines() {
    let text = "{\n  \"instance\": \"a b\",\n  \"callers\": { \"body\": 0 }\n}\n";
    let path = write("settings.jsonc", text);
    let run = check(&path, false);
    assert_eq!(run.status.code(), Some(2));
    let told = String::from_utf8_lossy(&run.stderr);
    assert!(told.contains("line 2: instance: found \"a b\""), "{told}");
    assert!(told.contains("line 3: callers.body: found 0"), "{told}");
    assert!(
        told.contains("line 3: callers.listen: found nothing"),
        "{told}"
    );
    assert!(told.contains("line 1: platform: found nothing"), "{told}");
}

#[test]
fn faults_of_a_configuration_are_told_as_json() {
    let text = "{\n  \"preset\": \"peak\",\n  \"tiers\": []\n}\n";
    let run = check(&write("configuration.jsonc", text), true);
    assert_eq!(run.status.code(), Some(2));
    let report: serde_json::Value = serde_json::from_slice(&run.stdout).unwrap_or_default();
    assert_eq!(report["kind"], "configuration");
    let faults = report["faults"].as_array().cloned().unwrap_or_default();
    let lines: Vec<_> = faults
        .iter()
        .map(|fault| (&fault["path"], &fault["line"]))
        .collect();
    assert!(lines.contains(&(&"preset".into(), &2.into())), "{faults:?}");
    assert!(lines.contains(&(&"tiers".into(), &3.into())), "{faults:?}");
}

#[test]
fn a_file_that_cannot_be_read_is_a_fault() {
    let run = check(Path::new("/nowhere/at-all"), false);
    assert_eq!(run.status.code(), Some(2));
}

//! Settings are checked as a whole before anything starts.

use std::fs;
use std::path::Path;
use std::process::Command;

use siskinyoke_daemon::Settings;
use siskinyoke_daemon::settings::is_settings;

/// Settings with a fault on nearly every line.
const WRONG: &str = r#"// A comment.
{
  "instance": "muscat 1",
  "center": "muscat-a",
  "callers": {
    "listen": "127.0.0.1",
    "body": 0,
    "head": 1000000,
    "patience": "10s",
    "patience": 5
  },
  "peers": { "listen": "daemon-1:7111", "seeds": [{ "instance": "muscat-2" }] },
  "platform": { "kv": [], "instances": "https://127.0.0.1/instances", "limit": 1.5 },
  "work": [],
}
"#;

/// What is told of them.
const FAULTS: &str = r#"line 2: centre: found nothing; allowed: 1 to 128 letters, digits or any of -_.
line 3: instance: found "muscat 1"; allowed: 1 to 128 letters, digits or any of -_.
line 4: center: found a field that is not known; allowed: instance, centre, callers, peers, platform, work
line 6: callers.listen: found "127.0.0.1"; allowed: host:port, or port 0 for any
line 7: callers.body: found 0; allowed: 1 to 1073741824
line 8: callers.head: found 1000000; allowed: 256 to 65536
line 9: callers.patience: found "10s"; allowed: 1 to 600000
line 10: callers.patience: found a second field of this name; allowed: each name once
line 12: peers.listen: found "daemon-1:7111"; allowed: ip:port, or port 0 for any
line 12: peers.seeds[0].centre: found nothing; allowed: 1 to 128 letters, digits or any of -_.
line 12: peers.seeds[0].peer: found nothing; allowed: ip:port
line 12: peers.seeds[0].caller: found nothing; allowed: host:port
line 13: platform.kv: found []; allowed: a list with one element at least
line 13: platform.instances: found "https://127.0.0.1/instances"; allowed: a URL that begins with http:// and a host
line 13: platform.limit: found 1.5; allowed: 1 to 60000
line 14: work: found []; allowed: an object with fields"#;

/// Settings with every field there is.
const WHOLE: &str = r#"{
  "instance": "muscat-1",
  "centre": "muscat-a",
  "callers": {
    "listen": "0.0.0.0:7101", "address": "10.0.0.1:7101", "connections": 100,
    "head": 8192, "body": 1000000, "patience": 5000
  },
  "peers": {
    "listen": "0.0.0.0:7111", "address": "10.0.0.1:7111",
    "seeds": [{
      "instance": "muscat-2", "centre": "muscat-b",
      "peer": "10.0.0.2:7111", "caller": "10.0.0.2:7101"
    }]
  },
  "platform": {
    "kv": ["10.0.0.9:7001"], "instances": "http://10.0.0.9:7001/instances", "limit": 500
  },
  "work": { "run": 60000, "connect": 500, "answer": 1000000 }
}"#;

#[test]
fn every_fault_is_told_at_once() {
    let told = faults(WRONG);
    assert_eq!(told, FAULTS);
}

#[test]
fn every_field_that_is_allowed_can_be_read() {
    let settings = Settings::check(WHOLE).expect("they can be used");
    assert_eq!(settings.callers.connections, 100);
    assert_eq!(settings.peers.seeds.len(), 1);
}

#[test]
fn a_file_that_is_no_object_is_told_with_its_line() {
    assert!(faults("{\n  \"instance\": \n}").starts_with("line 3: (file): found "));
    assert!(faults("[]").contains("allowed: an object with fields"));
    assert!(faults("").contains("allowed: an object with fields"));
}

/// A daemon listens on every address of its instance and is told no other. Its record in the
/// member table would hold 0.0.0.0, where each peer and caller reaches only itself.
#[test]
fn an_address_that_nobody_could_use_is_a_fault() {
    let text = WHOLE.replace("\"address\": \"10.0.0.1:7101\", ", "");
    let text = text.replace(" \"address\": \"10.0.0.1:7111\",", "");
    let told = faults(&text);
    let found = "found nothing, where listen takes every address";
    assert!(
        told.contains(&format!("line 5: callers.address: {found}")),
        "{told}"
    );
    assert!(
        told.contains(&format!("line 9: peers.address: {found}")),
        "{told}"
    );
}

#[test]
fn examples_can_be_used() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/local");
    for number in 1..=3 {
        let path = root.join(format!("daemon-{number}.jsonc"));
        let settings = Settings::read(&path).expect("they can be used");
        assert_eq!(settings.instance.as_str(), format!("muscat-{number}"));
    }
    let text = fs::read_to_string(root.join("configuration.jsonc")).expect("it is there");
    assert!(!is_settings(&text));
}

#[test]
fn the_daemon_tells_every_fault_and_exits_with_two() {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join("wrong-settings.jsonc");
    fs::write(&path, WRONG).expect("it can be written");
    let daemon = env!("CARGO_BIN_EXE_siskinyoked");
    let run = Command::new(daemon).arg("--settings").arg(&path).output();
    let run = run.expect("it runs");
    assert_eq!(run.status.code(), Some(2));
    let told = String::from_utf8_lossy(&run.stderr);
    let place = path.display().to_string();
    let wanted: Vec<_> = FAULTS
        .lines()
        .map(|line| format!("{place}: {line}"))
        .collect();
    assert_eq!(told.trim_end(), wanted.join("\n"));
    let run = Command::new(daemon)
        .args(["--settings", "/nowhere"])
        .output();
    assert_eq!(run.expect("it runs").status.code(), Some(2));
}

fn faults(text: &str) -> String {
    let faults = Settings::check(text).expect_err("there are faults");
    let lines: Vec<_> = faults.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

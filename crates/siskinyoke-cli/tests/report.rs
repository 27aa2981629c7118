//! Tests of the reports from the instances' logs.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use siskinyoke_cli::report::BurnArgs;
use siskinyoke_cli::report::UsageArgs;

// Returns a log line of a request that ended `minutes` before the instance had run for two hours.
fn line(minutes: u64, outcome: &str, first_ms: u64, organisation: &str) -> String {
    let at_ms = 7_200_000 - minutes * 60_000;
    format!(
        r#"{{"at_ms":{at_ms},"event":"answer","id":"r","rank":257,"outcome":"{outcome}","first_ms":{first_ms},"took_ms":2000,"aim_ms":500,"organisation":"{organisation}","units":10.0}}"#
    )
}

fn write_log(name: &str, lines: &[String]) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, lines.join("\n")).expect("the file can be written");
    path
}

fn run_burn(logs: Vec<PathBuf>, html: Option<PathBuf>) -> Result<String, String> {
    let args = BurnArgs {
        objective: 0.9,
        html,
        logs,
    };
    let mut out = Vec::new();
    args.run(false, &mut out).map_err(|err| err.to_string())?;
    Ok(String::from_utf8(out).unwrap())
}

#[test]
fn a_tier_that_misses_its_objective_in_both_windows_burns_slowly() {
    let mut lines = Vec::new();
    for minutes in 0..60 {
        lines.push(line(minutes, "streamed", 400, "school"));
        lines.push(line(minutes, "streamed", 400, "school"));
        lines.push(line(minutes, "streamed", 700, "school"));
    }
    lines.push(line(5, "overload", 0, "school"));
    lines.push(line(0, "answered", 100, "portal <b>"));
    let page = write_log("burn.html", &[]);
    let text = run_burn(vec![write_log("burn.log", &lines)], Some(page.clone())).unwrap();
    let expected = "\
TIER  ORGANISATION  STATE  ANSWERS  WITHIN   BURN 10 MIN  BURN 1 H  REFUSED/LATE/BROKEN
1     portal <b>    met    1        100.00%  0.0          0.0       0/0/0
1     school        slow   181      66.30%   3.5          3.4       1/60/0
";
    assert_eq!(text, expected);
    let page = fs::read_to_string(page).unwrap();
    assert!(page.contains("<svg") && page.contains("portal &lt;b&gt;"));
}

#[test]
fn errors_caused_by_the_caller_use_no_error_budget() {
    let lines = [
        line(1, "streamed", 400, "school"),
        line(1, "caller_left", 0, "school"),
        r#"{"at_ms":7199000,"event":"refusal","id":"q","admitted":false,"reason":"quota","rank":null}"#
            .to_owned(),
    ];
    let text = run_burn(vec![write_log("own.log", &lines)], None).unwrap();
    assert!(text.contains("1     school        met    1 "), "{text}");
}

// A full disk or a broken pipe truncates a log. The sums are then too low, which the report has to
// state.
#[test]
fn dropped_and_malformed_lines_are_counted() {
    let lines = [
        line(1, "streamed", 400, "school"),
        r#"{"at_ms":7199000,"event":"answer","left_out":12}"#.to_owned(),
        r#"{"at_ms":71"#.to_owned(),
    ];
    let text = run_burn(vec![write_log("cut.log", &lines)], None).unwrap();
    assert!(
        text.starts_with("INCOMPLETE: 13 log lines were dropped or are malformed\n"),
        "{text}"
    );
}

#[test]
fn logs_without_requests_and_missing_files_are_errors() {
    let empty = run_burn(vec![write_log("none.log", &[])], None).unwrap_err();
    assert!(
        empty.contains("no log line records the end of a request"),
        "{empty}"
    );
    let missing = run_burn(vec!["/nowhere/at-all".into()], None).unwrap_err();
    assert!(missing.contains("/nowhere/at-all"), "{missing}");
}

#[test]
fn usage_is_summed_over_the_logs_of_all_instances() {
    let first = write_log(
        "first.log",
        &[
            line(1, "streamed", 400, "school"),
            line(1, "cut", 400, "school"),
        ],
    );
    let second = write_log(
        "second.log",
        &[
            line(1, "answered", 900, "school"),
            line(1, "overload", 0, "studio"),
        ],
    );
    let args = UsageArgs {
        html: None,
        logs: vec![first, second],
    };
    let mut out = Vec::new();
    args.run(false, &mut out).unwrap();
    let expected = "\
ORGANISATION  ANSWERS  UNITS  UNITS WITHOUT AN ANSWER
school        2        20     10
studio        0        0      0
";
    assert_eq!(String::from_utf8(out).unwrap(), expected);
}

#[test]
fn a_response_with_a_gap_above_its_target_is_late() {
    let with_gap = line(1, "streamed", 400, "school")
        .replace("\"aim_ms\"", "\"pause_ms\":480,\"gap_ms\":300,\"aim_ms\"");
    let text = run_burn(vec![write_log("paused.log", &[with_gap])], None).unwrap();
    assert!(text.contains("0/1/0"), "{text}");
}

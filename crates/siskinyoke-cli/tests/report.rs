//! Reports from the instances' logs.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use siskinyoke_cli::report::BurnArgs;
use siskinyoke_cli::report::UsageArgs;

// Minutes before the end, outcome, first part and whole in ms, organisation.
fn line(minutes: u64, outcome: &str, first: u64, organisation: &str) -> String {
    let at = 7_200_000 - minutes * 60_000;
    format!(
        r#"{{"at_ms":{at},"event":"answer","id":"r","rank":257,"outcome":"{outcome}","first_ms":{first},"took_ms":2000,"aim_ms":500,"organisation":"{organisation}","units":10.0}}"#
    )
}

fn write(name: &str, lines: &[String]) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, lines.join("\n")).expect("it can be written");
    path
}

fn burn(logs: Vec<PathBuf>, html: Option<PathBuf>) -> Result<String, String> {
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
    let page = write("burn.html", &[]);
    let told = burn(vec![write("burn.log", &lines)], Some(page.clone())).unwrap();
    let expected = "\
TIER  ORGANISATION  STATE  ANSWERS  WITHIN   BURN 10 MIN  BURN 1 H  REFUSED/LATE/BROKEN
1     portal <b>    met    1        100.00%  0.0          0.0       0/0/0
1     school        slow   181      66.30%   3.5          3.4       1/60/0
";
    assert_eq!(told, expected);
    let page = fs::read_to_string(page).unwrap();
    assert!(page.contains("<svg") && page.contains("portal &lt;b&gt;"));
}

#[test]
fn what_the_caller_did_itself_burns_nothing() {
    let lines = [
        line(1, "streamed", 400, "school"),
        line(1, "caller_left", 0, "school"),
        r#"{"at_ms":7199000,"event":"refusal","id":"q","admitted":false,"reason":"quota","rank":null}"#
            .to_owned(),
    ];
    let told = burn(vec![write("own.log", &lines)], None).unwrap();
    assert!(told.contains("1     school        met    1 "), "{told}");
}

// The log was cut by a disk or a pipe. Its sums are too low, and nobody would know.
#[test]
fn lines_left_out_or_damaged_are_counted() {
    let lines = [
        line(1, "streamed", 400, "school"),
        r#"{"at_ms":7199000,"event":"answer","left_out":12}"#.to_owned(),
        r#"{"at_ms":71"#.to_owned(),
    ];
    let told = burn(vec![write("cut.log", &lines)], None).unwrap();
    assert!(
        told.starts_with("INCOMPLETE: 13 lines are left out or damaged\n"),
        "{told}"
    );
}

#[test]
fn logs_without_answers_and_files_that_are_not_there_are_told() {
    let empty = burn(vec![write("none.log", &[])], None).unwrap_err();
    assert!(empty.contains("no line tells of an answer"), "{empty}");
    let gone = burn(vec!["/nowhere/at-all".into()], None).unwrap_err();
    assert!(gone.contains("/nowhere/at-all"), "{gone}");
}

#[test]
fn use_is_summed_over_the_logs_of_all_instances() {
    let first = write(
        "first.log",
        &[
            line(1, "streamed", 400, "school"),
            line(1, "cut", 400, "school"),
        ],
    );
    let second = write(
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
fn an_answer_whose_parts_paused_for_too_long_is_late() {
    let paused = line(1, "streamed", 400, "school")
        .replace("\"aim_ms\"", "\"pause_ms\":480,\"gap_ms\":300,\"aim_ms\"");
    let told = burn(vec![write("paused.log", &[paused])], None).unwrap();
    assert!(told.contains("0/1/0"), "{told}");
}

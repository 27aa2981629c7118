//! Tests of the report on a request that `siskinyoke explain` writes.

use siskinyoke_cli::explain::write_report;
use siskinyoke_cli::logs::Log;

const SAMPLE_LOG: &str = r#"{"at_ms":1000,"event":"configuration","version":7,"before":3,"source":"store"}
{"at_ms":60000,"event":"answer","id":"other","outcome":"streamed"}
{"at_ms":60010,"event":"endpoint_broken","endpoint":"e1","error":"reset"}
{"at_ms":60011,"event":"attempt","id":"r1","endpoint":"e1","outcome":"broken","since_arrival_ms":210}
{"at_ms":60012,"event":"endpoint_broken","endpoint":"e9","error":"reset"}
12.5 machine-3 {"at_ms":60400,"event":"answer","id":"r1","outcome":"cut","took_ms":600}
{"at_ms":604
"#;

fn report(id: &str, logs: &[(&str, &str)]) -> Result<String, String> {
    let logs: Vec<_> = logs
        .iter()
        .map(|log| (log.0.to_owned(), Log::parse(log.1.as_bytes())))
        .collect();
    let mut out = Vec::new();
    write_report(id, &logs, false, &mut out).map_err(|err| err.to_string())?;
    Ok(String::from_utf8(out).unwrap())
}

#[test]
fn a_request_cut_midway_is_traced_to_its_endpoint() {
    let text = report("r1", &[("quiet.log", ""), ("first.log", SAMPLE_LOG)]).unwrap();
    let expected = r#"first.log
  the response was cut off after 600 ms
        1000 ms  configuration        before=3 source="store" version=7
       60010 ms  endpoint_broken      endpoint="e1" error="reset"
       60011 ms  attempt              endpoint="e1" id="r1" outcome="broken" since_arrival_ms=210
       60400 ms  answer               id="r1" outcome="cut" took_ms=600
1 of 7 lines are malformed and were skipped
"#;
    assert_eq!(text, expected);
}

#[test]
fn a_request_in_no_log_is_an_error() {
    let err = report("nobody", &[("first.log", SAMPLE_LOG)]).unwrap_err();
    assert!(err.contains("7 lines read, 1 of them malformed"), "{err}");
}

#[test]
fn malformed_lines_are_skipped() {
    let mut bytes = SAMPLE_LOG.as_bytes().to_vec();
    bytes.splice(0..0, [0xff, 0xfe, b'\n']);
    let mut out = Vec::new();
    write_report(
        "r1",
        &[("log".to_owned(), Log::parse(&bytes))],
        false,
        &mut out,
    )
    .unwrap();
    assert!(
        String::from_utf8(out)
            .unwrap()
            .contains("2 of 8 lines are malformed")
    );
}

// A request is late because it waited at the instance, its endpoint was slow to respond, or the gap
// between two parts was long. Callers cannot tell these apart.
#[test]
fn the_report_begins_with_the_exceeded_limit() {
    let answer = |fields: &str| {
        let line = format!(
            r#"{{"at_ms":9000,"event":"answer","id":"r1","outcome":"streamed","endpoint":"e1","took_ms":4000,"aim_ms":800,"gap_ms":300,{fields}}}"#
        );
        report("r1", &[("i.log", &line)]).unwrap()
    };
    let text = answer(r#""first_ms":1200,"waited_ms":700,"pause_ms":90"#);
    let waiting = "late: 1200 ms to the first part, target 800 ms (700 ms waiting at the instance, 500 ms at e1)";
    assert!(text.contains(waiting), "{text}");
    let text = answer(r#""first_ms":200,"waited_ms":1,"pause_ms":480"#);
    let gap = "late: a gap of 480 ms between two parts, target 300 ms at e1";
    assert!(text.contains(gap), "{text}");
    let text = answer(r#""first_ms":200,"waited_ms":1,"pause_ms":90"#);
    assert!(text.contains("in time: 200 ms to the first part"), "{text}");
    let refusal = r#"{"at_ms":9000,"event":"refusal","id":"r1","reason":"overload","after_ms":900,"waiting":4,"running":20}"#;
    let text = report("r1", &[("i.log", refusal)]).unwrap();
    let summary = "refused immediately (overload), retry after 900 ms; 4 requests waiting and 20 running on the instance";
    assert!(text.contains(summary), "{text}");
}

// Frequent changes of the configuration would bury the lines of the request, so they are shown only
// on request.
#[test]
fn configuration_changes_are_shown_only_with_the_option() {
    let lines = r#"{"at_ms":1000,"event":"configuration","version":7}
{"at_ms":1100,"event":"answer","id":"r1","outcome":"streamed","took_ms":10}
{"at_ms":1200,"event":"configuration","version":8}
"#;
    let text = |changes| {
        let logs = [("i.log".to_owned(), Log::parse(lines.as_bytes()))];
        let mut out = Vec::new();
        write_report("r1", &logs, changes, &mut out).unwrap();
        String::from_utf8(out).unwrap()
    };
    assert!(text(false).contains("version=7") && !text(false).contains("version=8"));
    assert!(text(true).contains("version=7") && text(true).contains("version=8"));
}

//! The story of one request, from logs.

use siskinyoke_cli::explain::write_report;
use siskinyoke_cli::logs::Log;

const FIRST: &str = r#"{"at_ms":1000,"event":"configuration","version":7,"before":3,"source":"store"}
{"at_ms":60000,"event":"answer","id":"other","outcome":"streamed"}
{"at_ms":60010,"event":"endpoint_broken","endpoint":"e1","error":"reset"}
{"at_ms":60011,"event":"attempt","id":"r1","endpoint":"e1","outcome":"broken","since_arrival_ms":210}
{"at_ms":60012,"event":"endpoint_broken","endpoint":"e9","error":"reset"}
12.5 machine-3 {"at_ms":60400,"event":"answer","id":"r1","outcome":"cut","took_ms":600}
{"at_ms":604
"#;

fn story(id: &str, logs: &[(&str, &str)]) -> Result<String, String> {
    let logs: Vec<_> = logs
        .iter()
        .map(|it| (it.0.to_owned(), Log::read(it.1.as_bytes())))
        .collect();
    let mut out = Vec::new();
    write_report(id, &logs, false, &mut out).map_err(|err| err.to_string())?;
    Ok(String::from_utf8(out).unwrap())
}

#[test]
fn a_request_cut_midway_is_traced_to_its_endpoint() {
    let told = story("r1", &[("quiet.log", ""), ("first.log", FIRST)]).unwrap();
    let expected = r#"first.log
  broken off after 600 ms
        1000 ms  configuration        before=3 source="store" version=7
       60010 ms  endpoint_broken      endpoint="e1" error="reset"
       60011 ms  attempt              endpoint="e1" id="r1" outcome="broken" since_arrival_ms=210
       60400 ms  answer               id="r1" outcome="cut" took_ms=600
1 of 7 lines are damaged and were passed over
"#;
    assert_eq!(told, expected);
}

#[test]
fn a_request_that_no_log_names_is_told_so() {
    let err = story("nobody", &[("first.log", FIRST)]).unwrap_err();
    assert!(err.contains("7 lines read, 1 of them damaged"), "{err}");
}

#[test]
fn damaged_logs_lose_nothing_else() {
    let mut bytes = FIRST.as_bytes().to_vec();
    bytes.splice(0..0, [0xff, 0xfe, b'\n']);
    let mut out = Vec::new();
    write_report(
        "r1",
        &[("log".to_owned(), Log::read(&bytes))],
        false,
        &mut out,
    )
    .unwrap();
    assert!(
        String::from_utf8(out)
            .unwrap()
            .contains("2 of 8 lines are damaged")
    );
}

// A coordinator asks why a draft was late. Three ways to be late look alike from outside: it waited at the
// instance, its endpoint took long, or the parts of its answer paused.
#[test]
fn the_story_begins_with_the_bound_that_was_missed() {
    let answer = |fields: &str| {
        let line = format!(
            r#"{{"at_ms":9000,"event":"answer","id":"r1","outcome":"streamed","endpoint":"e1","took_ms":4000,"aim_ms":800,"gap_ms":300,{fields}}}"#
        );
        story("r1", &[("i.log", &line)]).unwrap()
    };
    let told = answer(r#""first_ms":1200,"waited_ms":700,"pause_ms":90"#);
    let wait =
        "late: 1200 ms to the first part, objective 800 ms (700 ms waited here, 500 ms at e1)";
    assert!(told.contains(wait), "{told}");
    let told = answer(r#""first_ms":200,"waited_ms":1,"pause_ms":480"#);
    let pause = "late: a pause of 480 ms between two parts, limit 300 ms at e1";
    assert!(told.contains(pause), "{told}");
    let told = answer(r#""first_ms":200,"waited_ms":1,"pause_ms":90"#);
    assert!(told.contains("in time: 200 ms to the first part"), "{told}");
    let refusal = r#"{"at_ms":9000,"event":"refusal","id":"r1","reason":"overload","after_ms":900,"waiting":4,"running":20}"#;
    let told = story("r1", &[("i.log", refusal)]).unwrap();
    let sentence =
        "refused at once (overload), told to return after 900 ms; 4 waited and 20 ran here";
    assert!(told.contains(sentence), "{told}");
}

// Changes of the configuration fill the screen around the two lines that concern the request.
#[test]
fn changes_of_the_configuration_are_told_on_demand() {
    let lines = r#"{"at_ms":1000,"event":"configuration","version":7}
{"at_ms":1100,"event":"answer","id":"r1","outcome":"streamed","took_ms":10}
{"at_ms":1200,"event":"configuration","version":8}
"#;
    let told = |changes| {
        let logs = [("i.log".to_owned(), Log::read(lines.as_bytes()))];
        let mut out = Vec::new();
        write_report("r1", &logs, changes, &mut out).unwrap();
        String::from_utf8(out).unwrap()
    };
    assert!(told(false).contains("version=7") && !told(false).contains("version=8"));
    assert!(told(true).contains("version=7") && told(true).contains("version=8"));
}

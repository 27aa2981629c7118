//! Says in one sentence which bound a request missed, and where its time went.

use crate::logs::LogRecord;

/// Says in one sentence how a request ended, by its own lines.
pub fn summarize(rows: &[&LogRecord]) -> Option<String> {
    let last = |event| {
        rows.iter()
            .rfind(|row| row.str_field("event") == Some(event))
    };
    if let Some(answer) = last("answer") {
        return Some(summarize_answer(answer));
    }
    last("refusal").map(|row| summarize_refusal(row))
}

fn summarize_answer(row: &LogRecord) -> String {
    let outcome = row.str_field("outcome").unwrap_or("?");
    let took = row.u64_field("took_ms").unwrap_or(0);
    match outcome {
        "streamed" | "answered" => summarize_latency(row, took),
        "cut" => format!("broken off after {took} ms{}", at_endpoint(row)),
        "no_answer" => format!(
            "no answer after {took} ms{}; it may have run",
            at_endpoint(row)
        ),
        "endpoint_failed" => format!("failed by its endpoint after {took} ms{}", at_endpoint(row)),
        "late" => format!("its time ran out after {took} ms{}", at_endpoint(row)),
        "caller_left" => format!("its caller left after {took} ms{}", at_endpoint(row)),
        reason => format!("refused after {took} ms ({reason}); it has not run"),
    }
}

fn summarize_latency(row: &LogRecord, took: u64) -> String {
    let first = row.u64_field("first_ms").unwrap_or(took);
    let waited = row.u64_field("waited_ms").unwrap_or(0);
    let way = format!(
        "{waited} ms waited here, {} ms{}",
        first.saturating_sub(waited),
        at_endpoint(row)
    );
    if let Some(aim) = row.u64_field("aim_ms").filter(|aim| first > *aim) {
        return format!("late: {first} ms to the first part, objective {aim} ms ({way})");
    }
    let pause = row.u64_field("pause_ms").unwrap_or(0);
    let gap = row
        .u64_field("gap_ms")
        .filter(|gap| *gap > 0 && pause > *gap);
    if let Some(gap) = gap {
        return format!(
            "late: a pause of {pause} ms between two parts, limit {gap} ms{}",
            at_endpoint(row)
        );
    }
    format!("in time: {first} ms to the first part ({way})")
}

fn summarize_refusal(row: &LogRecord) -> String {
    let reason = row.str_field("reason").unwrap_or("?");
    let after = row.u64_field("after_ms").unwrap_or(0);
    let waiting = row.u64_field("waiting").unwrap_or(0);
    let running = row.u64_field("running").unwrap_or(0);
    format!(
        "refused at once ({reason}), told to return after {after} ms; {waiting} waited and {running} ran here"
    )
}

fn at_endpoint(row: &LogRecord) -> String {
    row.str_field("endpoint")
        .map_or(String::new(), |endpoint| format!(" at {endpoint}"))
}

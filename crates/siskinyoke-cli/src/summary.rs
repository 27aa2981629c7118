//! Says in one sentence which bound a request missed, and where its time went.

use crate::logs::Row;

/// Says in one sentence how a request ended, by its own lines.
pub fn sentence(rows: &[&Row]) -> Option<String> {
    let last = |event| rows.iter().rfind(|row| row.field("event") == Some(event));
    if let Some(answer) = last("answer") {
        return Some(ended(answer));
    }
    last("refusal").map(|row| refused(row))
}

fn ended(row: &Row) -> String {
    let outcome = row.field("outcome").unwrap_or("?");
    let took = row.number("took_ms").unwrap_or(0);
    match outcome {
        "streamed" | "answered" => answered(row, took),
        "cut" => format!("broken off after {took} ms{}", at(row)),
        "no_answer" => format!("no answer after {took} ms{}; it may have run", at(row)),
        "endpoint_failed" => format!("failed by its endpoint after {took} ms{}", at(row)),
        "late" => format!("its time ran out after {took} ms{}", at(row)),
        "caller_left" => format!("its caller left after {took} ms{}", at(row)),
        reason => format!("refused after {took} ms ({reason}); it has not run"),
    }
}

fn answered(row: &Row, took: u64) -> String {
    let first = row.number("first_ms").unwrap_or(took);
    let waited = row.number("waited_ms").unwrap_or(0);
    let way = format!(
        "{waited} ms waited here, {} ms{}",
        first.saturating_sub(waited),
        at(row)
    );
    if let Some(aim) = row.number("aim_ms").filter(|aim| first > *aim) {
        return format!("late: {first} ms to the first part, objective {aim} ms ({way})");
    }
    let pause = row.number("pause_ms").unwrap_or(0);
    let gap = row.number("gap_ms").filter(|gap| *gap > 0 && pause > *gap);
    if let Some(gap) = gap {
        return format!(
            "late: a pause of {pause} ms between two parts, limit {gap} ms{}",
            at(row)
        );
    }
    format!("in time: {first} ms to the first part ({way})")
}

fn refused(row: &Row) -> String {
    let reason = row.field("reason").unwrap_or("?");
    let after = row.number("after_ms").unwrap_or(0);
    let waiting = row.number("waiting").unwrap_or(0);
    let running = row.number("running").unwrap_or(0);
    format!(
        "refused at once ({reason}), told to return after {after} ms; {waiting} waited and {running} ran here"
    )
}

fn at(row: &Row) -> String {
    row.field("endpoint")
        .map_or(String::new(), |endpoint| format!(" at {endpoint}"))
}

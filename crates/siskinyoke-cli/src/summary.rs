//! Summarises a request in one sentence: which limit it exceeded and where its time was spent.

use crate::logs::LogRecord;

/// Summarises a request in one sentence from its log records, if one of them records its end.
pub fn summarize(records: &[&LogRecord]) -> Option<String> {
    let last_record = |event| {
        records
            .iter()
            .rfind(|record| record.str_field("event") == Some(event))
    };
    if let Some(answer) = last_record("answer") {
        return Some(summarize_answer(answer));
    }
    last_record("refusal").map(|record| summarize_refusal(record))
}

fn summarize_answer(record: &LogRecord) -> String {
    let outcome = record.str_field("outcome").unwrap_or("?");
    let total_ms = record.u64_field("took_ms").unwrap_or(0);
    match outcome {
        "streamed" | "answered" => summarize_latency(record, total_ms),
        "cut" => format!(
            "the response was cut off after {total_ms} ms{}",
            endpoint_suffix(record)
        ),
        "no_answer" => format!(
            "no response after {total_ms} ms{}; the request may have run",
            endpoint_suffix(record)
        ),
        "endpoint_failed" => format!(
            "failed by the endpoint after {total_ms} ms{}",
            endpoint_suffix(record)
        ),
        "late" => format!("timed out after {total_ms} ms{}", endpoint_suffix(record)),
        "caller_left" => format!(
            "cancelled by the caller after {total_ms} ms{}",
            endpoint_suffix(record)
        ),
        reason => format!("refused after {total_ms} ms ({reason}); the request has not run"),
    }
}

fn summarize_latency(record: &LogRecord, total_ms: u64) -> String {
    let first_ms = record.u64_field("first_ms").unwrap_or(total_ms);
    let waited_ms = record.u64_field("waited_ms").unwrap_or(0);
    let breakdown = format!(
        "{waited_ms} ms waiting at the instance, {} ms{}",
        first_ms.saturating_sub(waited_ms),
        endpoint_suffix(record)
    );
    if let Some(target) = record
        .u64_field("aim_ms")
        .filter(|target| first_ms > *target)
    {
        return format!("late: {first_ms} ms to the first part, target {target} ms ({breakdown})");
    }
    let gap_ms = record.u64_field("pause_ms").unwrap_or(0);
    let gap_target = record
        .u64_field("gap_ms")
        .filter(|target| *target > 0 && gap_ms > *target);
    if let Some(target) = gap_target {
        return format!(
            "late: a gap of {gap_ms} ms between two parts, target {target} ms{}",
            endpoint_suffix(record)
        );
    }
    format!("in time: {first_ms} ms to the first part ({breakdown})")
}

fn summarize_refusal(record: &LogRecord) -> String {
    let reason = record.str_field("reason").unwrap_or("?");
    let retry_after_ms = record.u64_field("after_ms").unwrap_or(0);
    let waiting = record.u64_field("waiting").unwrap_or(0);
    let running = record.u64_field("running").unwrap_or(0);
    format!(
        "refused immediately ({reason}), retry after {retry_after_ms} ms; {waiting} requests waiting \
         and {running} running on the instance"
    )
}

fn endpoint_suffix(record: &LogRecord) -> String {
    record
        .str_field("endpoint")
        .map_or(String::new(), |endpoint| format!(" at {endpoint}"))
}

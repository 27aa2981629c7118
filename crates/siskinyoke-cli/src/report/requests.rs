//! Extracts the outcome of each request from the logs of all instances.

use super::ReportError;
use crate::logs::Log;
use crate::logs::LogRecord;

/// Refusals caused by the caller, which do not count against the error budget.
const CALLER_ERRORS: [&str; 3] = ["quota", "no_key", "no_route"];

/// The outcome of a request from its caller's point of view.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Answered within the latency target.
    Within,
    /// Answered after the latency target.
    Late,
    /// Refused without running.
    Refused,
    /// Ran without a complete response.
    Broken,
}

/// A finished request, taken from the log record of its end.
#[derive(Debug, Clone, PartialEq)]
pub struct FinishedRequest<'a> {
    /// Time from its end to the last line of its log, in milliseconds.
    pub age_ms: u64,
    /// The organisation's tier; 0 is the most urgent.
    pub tier: u64,
    /// The organisation, or an empty string if unknown.
    pub organisation: &'a str,
    /// The outcome for the caller.
    pub outcome: RequestOutcome,
    /// Quota units used.
    pub units: f64,
}

/// Returns all finished requests and the number of log lines that were dropped or are malformed.
///
/// # Errors
///
/// [`ReportError::Empty`] if no log line records the end of a request.
pub fn read_requests(
    logs: &[(String, Log)],
) -> Result<(Vec<FinishedRequest<'_>>, u64), ReportError> {
    let mut requests = Vec::new();
    let mut missing_lines = 0;
    for (_, log) in logs {
        let log_end_ms = log.records.last().map_or(0, |record| record.time_ms);
        missing_lines += u64::try_from(log.malformed).unwrap_or(u64::MAX);
        for record in &log.records {
            missing_lines += record.u64_field("left_out").unwrap_or(0);
            requests.extend(parse_request(record, log_end_ms));
        }
    }
    if requests.is_empty() {
        return Err(ReportError::Empty);
    }
    Ok((requests, missing_lines))
}

fn parse_request(record: &LogRecord, log_end_ms: u64) -> Option<FinishedRequest<'_>> {
    let result = match record.str_field("event")? {
        "answer" => record.str_field("outcome")?,
        // An admitted request also has an `answer` record, which is counted instead.
        "refusal" if record.fields.get("admitted")?.as_bool()? => return None,
        "refusal" => record.str_field("reason")?,
        _ => return None,
    };
    if CALLER_ERRORS.contains(&result) {
        return None;
    }
    let outcome = match result {
        "answered" | "streamed" if is_late(record) => RequestOutcome::Late,
        "answered" | "streamed" => RequestOutcome::Within,
        // The caller cancelled; the log does not show whether the response was too slow.
        "caller_left" => return None,
        "endpoint_failed" | "no_answer" | "cut" | "late" => RequestOutcome::Broken,
        _ => RequestOutcome::Refused,
    };
    Some(FinishedRequest {
        age_ms: log_end_ms.saturating_sub(record.time_ms),
        // The low eight bits hold the route's tier, the higher ones the organisation's.
        tier: record.u64_field("rank")? >> 8,
        organisation: record.str_field("organisation").unwrap_or(""),
        outcome,
        units: record
            .fields
            .get("units")
            .and_then(serde_json::Value::as_f64)?,
    })
}

fn is_late(record: &LogRecord) -> bool {
    let first_part_ms = record.u64_field("first_ms").or(record.u64_field("took_ms"));
    let exceeds = |value: Option<u64>, limit: Option<u64>| match (value, limit) {
        (Some(value), Some(limit)) => limit > 0 && value > limit,
        _ => false,
    };
    exceeds(first_part_ms, record.u64_field("aim_ms"))
        || exceeds(record.u64_field("pause_ms"), record.u64_field("gap_ms"))
}

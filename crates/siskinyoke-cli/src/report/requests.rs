//! What became of each request, by the logs of all instances.

use super::ReportError;
use crate::logs::Log;
use crate::logs::LogRecord;

/// Refusals that are the caller's own doing: they use up no error budget.
const CALLER_ERRORS: [&str; 3] = ["quota", "no_key", "no_route"];

/// How a request fared, as its caller sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Answered within its objective.
    Within,
    /// Answered, but late.
    Late,
    /// Turned away unrun.
    Refused,
    /// Ran and brought no whole answer.
    Broken,
}

/// One request, by the line that tells its end.
#[derive(Debug, Clone, PartialEq)]
pub struct FinishedRequest<'a> {
    /// How long before the last line of its instance it ended, in ms.
    pub age: u64,
    /// Its tier; 0 is the most urgent.
    pub tier: u64,
    /// Its organisation, empty where none is known.
    pub organisation: &'a str,
    /// How it fared.
    pub outcome: RequestOutcome,
    /// What it used of its organisation's quota.
    pub units: f64,
}

/// Returns what became of each request, and how many lines were left out or damaged.
///
/// # Errors
///
/// [`ReportError::Empty`] if no line tells of an answer.
pub fn read_requests(
    logs: &[(String, Log)],
) -> Result<(Vec<FinishedRequest<'_>>, u64), ReportError> {
    let mut answers = Vec::new();
    let mut missing = 0;
    for (_, log) in logs {
        let last = log.records.last().map_or(0, |row| row.at);
        missing += u64::try_from(log.malformed).unwrap_or(u64::MAX);
        for row in &log.records {
            missing += row.u64_field("left_out").unwrap_or(0);
            answers.extend(parse_request(row, last));
        }
    }
    if answers.is_empty() {
        return Err(ReportError::Empty);
    }
    Ok((answers, missing))
}

fn parse_request(row: &LogRecord, last: u64) -> Option<FinishedRequest<'_>> {
    let outcome = match row.str_field("event")? {
        "answer" => row.str_field("outcome")?,
        // One that was let in has an answer's line as well.
        "refusal" if row.fields.get("admitted")?.as_bool()? => return None,
        "refusal" => row.str_field("reason")?,
        _ => return None,
    };
    if CALLER_ERRORS.contains(&outcome) {
        return None;
    }
    let fate = match outcome {
        "answered" | "streamed" if is_late(row) => RequestOutcome::Late,
        "answered" | "streamed" => RequestOutcome::Within,
        // Nobody waited any more; whose fault that was cannot be told.
        "caller_left" => return None,
        "endpoint_failed" | "no_answer" | "cut" | "late" => RequestOutcome::Broken,
        _ => RequestOutcome::Refused,
    };
    Some(FinishedRequest {
        age: last.saturating_sub(row.at),
        // The organisation's tier stands before the route's in a rank.
        tier: row.u64_field("rank")? >> 8,
        organisation: row.str_field("organisation").unwrap_or(""),
        outcome: fate,
        units: row
            .fields
            .get("units")
            .and_then(serde_json::Value::as_f64)?,
    })
}

fn is_late(row: &LogRecord) -> bool {
    let first = row.u64_field("first_ms").or(row.u64_field("took_ms"));
    let beyond = |value: Option<u64>, limit: Option<u64>| match (value, limit) {
        (Some(value), Some(limit)) => limit > 0 && value > limit,
        _ => false,
    };
    beyond(first, row.u64_field("aim_ms"))
        || beyond(row.u64_field("pause_ms"), row.u64_field("gap_ms"))
}

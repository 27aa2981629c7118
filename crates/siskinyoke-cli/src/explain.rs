//! The command `explain`: reconstructs the history of a request from the logs of all instances.

use std::io;
use std::io::Write;
use std::path::PathBuf;

use clap::Args;
use quick_error::quick_error;

use crate::logs::Log;
use crate::logs::LogError;
use crate::logs::LogRecord;
use crate::logs::read_all;
use crate::summary;

/// How long before and after a request related events are shown.
///
/// An endpoint is in backoff for two seconds at most, and leases expire within five.
const CONTEXT_SPAN_MS: u64 = 5_000;

/// Events that record a change of an instance's cluster view.
const CLUSTER_EVENTS: [&str; 4] = ["store_lost", "store_regained", "peer", "leaving"];

quick_error! {
    /// An error of the command `explain`.
    #[derive(Debug)]
    pub enum ExplainError {
        /// A log cannot be read.
        Read(err: LogError) {
            display("{err}")
            source(err)
            from()
        }
        /// The report cannot be written.
        Write(err: io::Error) {
            display("cannot write the report: {err}")
            source(err)
            from()
        }
        /// No log line contains the request ID.
        NotFound(id: String, lines: usize, malformed: usize) {
            display("no log line contains request ID {id} ({lines} lines read, {malformed} of them \
                     malformed); hint: pass the logs of all instances from the time of the request")
        }
    }
}

/// Explains the outcome of a request and the cluster view of the instances at its time.
#[derive(Debug, Args)]
pub struct Explain {
    /// The request ID.
    id: String,
    /// Log files, one per instance; standard input if none are given.
    logs: Vec<PathBuf>,
    /// Also show changes of the configuration around the request, not only the version in force.
    #[arg(long)]
    changes: bool,
}

impl Explain {
    /// Reads the logs and writes the report.
    ///
    /// # Errors
    ///
    /// [`ExplainError`] if a log cannot be read, the report cannot be written, or no line contains
    /// the request ID.
    pub fn run(&self, out: &mut dyn Write) -> Result<(), ExplainError> {
        let logs = read_all(&self.logs)?;
        write_report(&self.id, &logs, self.changes, out)
    }
}

/// Writes a report on a request from named logs: for each log a summary in one sentence, followed
/// by the log lines of the request and those related to it.
///
/// `changes` adds the configurations that came into force around the request to the one that was
/// in force when it arrived. Malformed lines are counted and skipped.
///
/// # Errors
///
/// [`ExplainError`] if the report cannot be written or no line contains the request ID.
pub fn write_report(
    id: &str,
    logs: &[(String, Log)],
    changes: bool,
    out: &mut dyn Write,
) -> Result<(), ExplainError> {
    let (mut lines, mut malformed, mut found) = (0, 0, false);
    for (name, log) in logs {
        lines += log.records.len() + log.malformed;
        malformed += log.malformed;
        let records = relevant_records(log, id, changes);
        if records.is_empty() {
            continue;
        }
        found = true;
        writeln!(out, "{name}")?;
        let request_records = records
            .iter()
            .filter(|record| record.str_field("id") == Some(id));
        let request_records: Vec<&LogRecord> = request_records.copied().collect();
        if let Some(summary) = summary::summarize(&request_records) {
            writeln!(out, "  {summary}")?;
        }
        for record in records {
            writeln!(out, "  {}", record.to_text())?;
        }
    }
    if !found {
        return Err(ExplainError::NotFound(id.to_owned(), lines, malformed));
    }
    if malformed > 0 {
        writeln!(
            out,
            "{malformed} of {lines} lines are malformed and were skipped"
        )?;
    }
    Ok(())
}

// Returns the records of the request, the configuration in force when it arrived, and the records
// about its endpoints and the cluster view from around that time.
fn relevant_records<'a>(log: &'a Log, id: &str, changes: bool) -> Vec<&'a LogRecord> {
    let request_records: Vec<&LogRecord> = log
        .records
        .iter()
        .filter(|record| record.str_field("id") == Some(id))
        .collect();
    let (Some(first), Some(last)) = (request_records.first(), request_records.last()) else {
        return Vec::new();
    };
    let span = first.time_ms.saturating_sub(CONTEXT_SPAN_MS)..=last.time_ms + CONTEXT_SPAN_MS;
    let endpoints: Vec<&str> = request_records
        .iter()
        .filter_map(|record| record.str_field("endpoint"))
        .collect();
    let configuration = log
        .records
        .iter()
        .rfind(|it| it.str_field("event") == Some("configuration") && it.time_ms <= first.time_ms);
    let is_relevant = |record: &&LogRecord| {
        let event = record.str_field("event").unwrap_or("");
        let same_endpoint = record
            .str_field("endpoint")
            .is_some_and(|endpoint| endpoints.contains(&endpoint));
        let is_change = changes && event == "configuration";
        let is_related = is_change
            || CLUSTER_EVENTS.contains(&event)
            || (same_endpoint && !record.fields.contains_key("id"));
        record.str_field("id") == Some(id) || (is_related && span.contains(&record.time_ms))
    };
    let mut records: Vec<&LogRecord> = log.records.iter().filter(is_relevant).collect();
    if let Some(configuration) = configuration.filter(|it| !changes || !span.contains(&it.time_ms))
    {
        records.insert(0, configuration);
    }
    records
}

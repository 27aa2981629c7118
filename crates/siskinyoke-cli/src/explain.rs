//! `siskinyoke explain`: puts the story of one request together from the logs of all instances.

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

/// How long before and after a request's own lines the lines of its surroundings are told, in ms.
///
/// An endpoint rests for two seconds at most, and leases run out within five.
const CONTEXT_SPAN_MS: u64 = 5_000;

/// Events that say what an instance believed.
const CLUSTER_EVENTS: [&str; 4] = ["store_lost", "store_regained", "peer", "leaving"];

quick_error! {
    /// Why no story can be told.
    #[derive(Debug)]
    pub enum ExplainError {
        /// A log cannot be read.
        Read(err: LogError) {
            display("{err}")
            source(err)
            from()
        }
        /// The story cannot be written.
        Write(err: io::Error) {
            display("cannot write: {err}")
            source(err)
            from()
        }
        /// No line names the request.
        Unknown(id: String, lines: usize, damaged: usize) {
            display("no line names {id} ({lines} lines read, {damaged} of them damaged): \
                     are these the logs of all instances, and of its time?")
        }
    }
}

/// Tells what became of a request, and what the instances believed then.
#[derive(Debug, Args)]
pub struct Explain {
    /// The request's identity.
    id: String,
    /// Log files, one an instance; standard input if there are none.
    logs: Vec<PathBuf>,
    /// Tell the changes of the configuration around it too, not only what was in force.
    #[arg(long)]
    changes: bool,
}

impl Explain {
    /// Reads the logs and writes the story.
    ///
    /// # Errors
    ///
    /// Why there is none.
    pub fn run(&self, out: &mut dyn Write) -> Result<(), ExplainError> {
        let logs = read_all(&self.logs)?;
        write_report(&self.id, &logs, self.changes, out)
    }
}

/// Writes the story of a request from logs, each with its name: first in a sentence, then line by
/// line.
///
/// `changes` adds the configurations that came in force around it to the one that was.
///
/// Lines that are damaged are counted and passed over.
///
/// # Errors
///
/// Why there is no story.
pub fn write_report(
    id: &str,
    logs: &[(String, Log)],
    changes: bool,
    out: &mut dyn Write,
) -> Result<(), ExplainError> {
    let (mut lines, mut damaged, mut told) = (0, 0, false);
    for (name, log) in logs {
        lines += log.records.len() + log.malformed;
        damaged += log.malformed;
        let story = relevant_records(log, id, changes);
        if story.is_empty() {
            continue;
        }
        told = true;
        writeln!(out, "{name}")?;
        let own = story.iter().filter(|row| row.str_field("id") == Some(id));
        let own: Vec<&LogRecord> = own.copied().collect();
        if let Some(sentence) = summary::summarize(&own) {
            writeln!(out, "  {sentence}")?;
        }
        for row in story {
            writeln!(out, "  {}", row.text())?;
        }
    }
    if !told {
        return Err(ExplainError::Unknown(id.to_owned(), lines, damaged));
    }
    if damaged > 0 {
        writeln!(
            out,
            "{damaged} of {lines} lines are damaged and were passed over"
        )?;
    }
    Ok(())
}

// The request's own lines, and those around them that tell what decided it.
fn relevant_records<'a>(log: &'a Log, id: &str, changes: bool) -> Vec<&'a LogRecord> {
    let own: Vec<&LogRecord> = log
        .records
        .iter()
        .filter(|it| it.str_field("id") == Some(id))
        .collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        return Vec::new();
    };
    let span = first.at.saturating_sub(CONTEXT_SPAN_MS)..=last.at + CONTEXT_SPAN_MS;
    let endpoints: Vec<&str> = own
        .iter()
        .filter_map(|it| it.str_field("endpoint"))
        .collect();
    let version = log
        .records
        .iter()
        .rfind(|it| it.str_field("event") == Some("configuration") && it.at <= first.at);
    let around = |row: &&LogRecord| {
        let event = row.str_field("event").unwrap_or("");
        let touched = row
            .str_field("endpoint")
            .is_some_and(|it| endpoints.contains(&it));
        let change = changes && event == "configuration";
        let belief = change
            || CLUSTER_EVENTS.contains(&event)
            || (touched && !row.fields.contains_key("id"));
        row.str_field("id") == Some(id) || (belief && span.contains(&row.at))
    };
    let mut story: Vec<&LogRecord> = log.records.iter().filter(around).collect();
    if let Some(version) = version.filter(|it| !changes || !span.contains(&it.at)) {
        story.insert(0, version);
    }
    story
}

//! `siskinyoke explain`: puts the story of one request together from the logs of all instances.

use std::fs;
use std::io;
use std::io::Read;
use std::io::Write;
use std::path::PathBuf;

use clap::Args;
use quick_error::quick_error;
use serde_json::Value;

/// How long before and after a request's own lines the lines of its surroundings are told, in ms.
///
/// An endpoint rests for two seconds at most, and leases run out within five.
const AROUND: u64 = 5_000;

/// Events that say what an instance believed.
const BELIEFS: [&str; 5] = [
    "configuration",
    "store_lost",
    "store_regained",
    "peer",
    "leaving",
];

quick_error! {
    /// Why no story can be told.
    #[derive(Debug)]
    pub enum ExplainError {
        /// A log cannot be read.
        Read(path: PathBuf, err: io::Error) {
            display("{}: {err}", path.display())
            source(err)
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
}

impl Explain {
    /// Reads the logs and writes the story.
    ///
    /// # Errors
    ///
    /// Why there is none.
    pub fn run(&self, out: &mut dyn Write) -> Result<(), ExplainError> {
        let mut logs = Vec::new();
        for path in &self.logs {
            let bytes = fs::read(path).map_err(|err| ExplainError::Read(path.clone(), err))?;
            logs.push((path.display().to_string(), bytes));
        }
        if self.logs.is_empty() {
            let mut bytes = Vec::new();
            let read = io::stdin().read_to_end(&mut bytes);
            read.map_err(|err| ExplainError::Read("standard input".into(), err))?;
            logs.push(("standard input".to_owned(), bytes));
        }
        tell(&self.id, &logs, out)
    }
}

/// Writes the story of a request from logs, each with its name.
///
/// Lines that are damaged are counted and passed over.
///
/// # Errors
///
/// Why there is no story.
pub fn tell(id: &str, logs: &[(String, Vec<u8>)], out: &mut dyn Write) -> Result<(), ExplainError> {
    let (mut lines, mut damaged, mut told) = (0, 0, false);
    for (name, bytes) in logs {
        let log = Log::read(bytes);
        lines += log.rows.len() + log.damaged;
        damaged += log.damaged;
        let story = log.story(id);
        if story.is_empty() {
            continue;
        }
        told = true;
        writeln!(out, "{name}")?;
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

#[derive(Debug)]
struct Row {
    at: u64,
    fields: serde_json::Map<String, Value>,
}

impl Row {
    // A line may have something before its JSON, as a collector's time or machine.
    fn read(line: &str) -> Option<Self> {
        let Value::Object(fields) = serde_json::from_str(line.get(line.find('{')?..)?).ok()? else {
            return None;
        };
        Some(Self {
            at: fields.get("at_ms")?.as_u64()?,
            fields,
        })
    }

    fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    fn text(&self) -> String {
        let event = self.field("event").unwrap_or("?");
        let rest = self
            .fields
            .iter()
            .filter(|row| !matches!(&**row.0, "at_ms" | "event"));
        let rest: Vec<String> = rest
            .map(|(name, value)| format!("{name}={value}"))
            .collect();
        format!("{:>10} ms  {event:<20} {}", self.at, rest.join(" "))
    }
}

#[derive(Debug, Default)]
struct Log {
    rows: Vec<Row>,
    damaged: usize,
}

impl Log {
    fn read(bytes: &[u8]) -> Self {
        let mut log = Self::default();
        for line in String::from_utf8_lossy(bytes)
            .lines()
            .filter(|it| !it.trim().is_empty())
        {
            match Row::read(line) {
                Some(row) => log.rows.push(row),
                None => log.damaged += 1,
            }
        }
        log
    }

    // The request's own lines, and those around them that tell what decided it.
    fn story(&self, id: &str) -> Vec<&Row> {
        let own: Vec<&Row> = self
            .rows
            .iter()
            .filter(|it| it.field("id") == Some(id))
            .collect();
        let (Some(first), Some(last)) = (own.first(), own.last()) else {
            return Vec::new();
        };
        let span = first.at.saturating_sub(AROUND)..=last.at + AROUND;
        let endpoints: Vec<&str> = own.iter().filter_map(|it| it.field("endpoint")).collect();
        let version = self
            .rows
            .iter()
            .rfind(|it| it.field("event") == Some("configuration") && it.at <= first.at);
        let around = |row: &&Row| {
            let event = row.field("event").unwrap_or("");
            let touched = row
                .field("endpoint")
                .is_some_and(|it| endpoints.contains(&it));
            let belief = BELIEFS.contains(&event) || (touched && !row.fields.contains_key("id"));
            row.field("id") == Some(id) || (belief && span.contains(&row.at))
        };
        let mut story: Vec<&Row> = self.rows.iter().filter(around).collect();
        if let Some(version) = version.filter(|it| !span.contains(&it.at)) {
            story.insert(0, version);
        }
        story
    }
}

//! Log lines of instances, read back.

use std::fs;
use std::io;
use std::io::Read;
use std::path::PathBuf;

use quick_error::quick_error;
use serde_json::Value;

quick_error! {
    /// A log that cannot be read.
    #[derive(Debug)]
    pub enum LogError {
        /// The system's reason.
        Read(path: PathBuf, err: io::Error) {
            display("{}: {err} (give log files, or lines on standard input)", path.display())
            source(err)
        }
    }
}

/// Reads log files, each with its name; standard input if there are none.
///
/// # Errors
///
/// Which one cannot be read.
pub fn read_all(paths: &[PathBuf]) -> Result<Vec<(String, Log)>, LogError> {
    let mut logs = Vec::new();
    for path in paths {
        let bytes = fs::read(path).map_err(|err| LogError::Read(path.clone(), err))?;
        logs.push((path.display().to_string(), Log::read(&bytes)));
    }
    if paths.is_empty() {
        let mut bytes = Vec::new();
        let read = io::stdin().read_to_end(&mut bytes);
        read.map_err(|err| LogError::Read("standard input".into(), err))?;
        logs.push(("standard input".to_owned(), Log::read(&bytes)));
    }
    Ok(logs)
}

/// One log line.
#[derive(Debug)]
pub struct LogRecord {
    /// When it was written, in ms of its machine.
    pub at: u64,
    /// What it says.
    pub fields: serde_json::Map<String, Value>,
}

impl LogRecord {
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

    /// Returns a field that is text.
    pub fn str_field(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    /// Returns a field that is a number.
    pub fn u64_field(&self, name: &str) -> Option<u64> {
        self.fields.get(name)?.as_u64()
    }

    /// Writes it for people.
    pub fn text(&self) -> String {
        let event = self.str_field("event").unwrap_or("?");
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

/// The lines of one instance.
#[derive(Debug, Default)]
pub struct Log {
    /// Those that can be read, in their order.
    pub records: Vec<LogRecord>,
    /// How many cannot.
    pub malformed: usize,
}

impl Log {
    /// Reads lines; damaged ones are counted and passed over.
    pub fn read(bytes: &[u8]) -> Self {
        let mut log = Self::default();
        for line in String::from_utf8_lossy(bytes)
            .lines()
            .filter(|it| !it.trim().is_empty())
        {
            match LogRecord::read(line) {
                Some(row) => log.records.push(row),
                None => log.malformed += 1,
            }
        }
        log
    }
}

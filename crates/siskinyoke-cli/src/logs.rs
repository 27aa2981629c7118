//! Parses the JSON log lines of instances.

use std::fs;
use std::io;
use std::io::Read;
use std::path::PathBuf;

use quick_error::quick_error;
use serde_json::Value;

quick_error! {
    /// An error reading a log.
    #[derive(Debug)]
    pub enum LogError {
        /// The file or standard input cannot be read.
        Read(path: PathBuf, err: io::Error) {
            display("cannot read {}: {err}; hint: pass log files, or log lines on standard input", path.display())
            source(err)
        }
    }
}

/// Reads log files and returns each with its name. Reads standard input if `paths` is empty.
///
/// # Errors
///
/// [`LogError`] for the first file that cannot be read.
pub fn read_all(paths: &[PathBuf]) -> Result<Vec<(String, Log)>, LogError> {
    let mut logs = Vec::new();
    for path in paths {
        let bytes = fs::read(path).map_err(|err| LogError::Read(path.clone(), err))?;
        logs.push((path.display().to_string(), Log::parse(&bytes)));
    }
    if paths.is_empty() {
        let mut bytes = Vec::new();
        let read = io::stdin().read_to_end(&mut bytes);
        read.map_err(|err| LogError::Read("standard input".into(), err))?;
        logs.push(("standard input".to_owned(), Log::parse(&bytes)));
    }
    Ok(logs)
}

/// One log line.
#[derive(Debug)]
pub struct LogRecord {
    /// When it was written, in milliseconds since its instance started.
    pub time_ms: u64,
    /// All fields of the line.
    pub fields: serde_json::Map<String, Value>,
}

impl LogRecord {
    // Skips text before the JSON, such as the time or host that a log collector prepends.
    fn parse(line: &str) -> Option<Self> {
        let Value::Object(fields) = serde_json::from_str(line.get(line.find('{')?..)?).ok()? else {
            return None;
        };
        Some(Self {
            time_ms: fields.get("at_ms")?.as_u64()?,
            fields,
        })
    }

    /// Returns the value of a string field.
    pub fn str_field(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    /// Returns the value of an unsigned integer field.
    pub fn u64_field(&self, name: &str) -> Option<u64> {
        self.fields.get(name)?.as_u64()
    }

    /// Formats the record for terminal output.
    pub fn to_text(&self) -> String {
        let event = self.str_field("event").unwrap_or("?");
        let other_fields = self
            .fields
            .iter()
            .filter(|field| !matches!(&**field.0, "at_ms" | "event"));
        let other_fields: Vec<String> = other_fields
            .map(|(name, value)| format!("{name}={value}"))
            .collect();
        format!(
            "{:>10} ms  {event:<20} {}",
            self.time_ms,
            other_fields.join(" ")
        )
    }
}

/// The log of one instance.
#[derive(Debug, Default)]
pub struct Log {
    /// The well-formed lines, in the order of the log.
    pub records: Vec<LogRecord>,
    /// The number of malformed lines.
    pub malformed: usize,
}

impl Log {
    /// Parses log lines. Malformed lines are counted and skipped.
    pub fn parse(bytes: &[u8]) -> Self {
        let mut log = Self::default();
        for line in String::from_utf8_lossy(bytes)
            .lines()
            .filter(|line| !line.trim().is_empty())
        {
            match LogRecord::parse(line) {
                Some(record) => log.records.push(record),
                None => log.malformed += 1,
            }
        }
        log
    }
}

//! A fault found by a check.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// One thing that is wrong in a document, said so that its writer can mend it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// Where it is, as field names joined by dots.
    pub path: String,
    /// The line in the file, counted from one, where there is a file.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub line: Option<usize>,
    /// What was found.
    pub found: String,
    /// What is allowed.
    pub allowed: String,
}

impl Fault {
    /// Makes a fault without a line.
    pub fn new(
        path: impl Into<String>,
        found: impl Into<String>,
        allowed: impl Into<String>,
    ) -> Self {
        Self {
            path: path.into(),
            line: None,
            found: found.into(),
            allowed: allowed.into(),
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(line) = self.line {
            write!(f, "line {line}: ")?;
        }
        write!(
            f,
            "{}: found {}; allowed: {}",
            self.path, self.found, self.allowed
        )
    }
}

//! What a command runs with.

use std::io::Write;

use serde_json::Value;

use super::OperatorError;

/// What a command runs with.
pub struct Context<'a> {
    /// Addresses of daemons, `host:port`, tried in turn.
    pub addresses: &'a [String],
    /// The operator's bearer key.
    pub key: Option<&'a str>,
    /// Whether the answer is printed as JSON.
    pub json: bool,
    /// Where the answer goes.
    pub out: &'a mut dyn Write,
}

impl Context<'_> {
    /// Prints a line.
    ///
    /// # Errors
    ///
    /// If the output is closed.
    pub fn line(&mut self, text: &str) -> Result<(), OperatorError> {
        writeln!(self.out, "{text}")?;
        Ok(())
    }

    /// Prints an answer as JSON.
    ///
    /// # Errors
    ///
    /// If the output is closed.
    pub fn value(&mut self, value: &Value) -> Result<(), OperatorError> {
        writeln!(self.out, "{value:#}")?;
        Ok(())
    }
}

//! The reading of files that operators give to commands.

use std::fs;
use std::io;
use std::io::Read;

use jsonc_parser::ParseOptions;
use jsonc_parser::parse_to_serde_value;
use serde::de::DeserializeOwned;

use super::OperatorError;
use siskinyoke_control::configuration::Fault;

/// Reads a file, or the standard input for `-`.
///
/// # Errors
///
/// If it cannot be read.
pub fn read_text(path: &str) -> Result<String, OperatorError> {
    let mut text = String::new();
    let read = if path == "-" {
        io::stdin().read_to_string(&mut text).map(|_| text)
    } else {
        fs::read_to_string(path)
    };
    read.map_err(|error| {
        let fault = Fault::new("(file)", error.to_string(), "a file that can be read");
        OperatorError::File(path.to_owned(), vec![fault])
    })
}

/// Reads a document of type `T`, so that a wrong one is not even sent, and returns its text.
///
/// # Errors
///
/// If it cannot be read or is of another form.
pub fn read_document<T: DeserializeOwned>(path: &str) -> Result<String, OperatorError> {
    let text = read_text(path)?;
    let parsed = parse_to_serde_value::<T>(&text, &ParseOptions::default());
    let Err(error) = parsed else {
        return Ok(text);
    };
    let allowed = "what docs/operators/configuration.md says";
    let mut fault = Fault::new("(file)", error.kind().to_string(), allowed);
    fault.line = Some(error.line_display());
    Err(OperatorError::File(path.to_owned(), vec![fault]))
}

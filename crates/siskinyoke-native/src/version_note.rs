//! Notes of the versions that a service's endpoints have had lately.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use siskinyoke_interface::FormatError;

/// Decodes the note of a service's versions.
///
/// # Errors
///
/// The document is malformed.
pub fn decode(bytes: &[u8]) -> Result<Vec<String>, FormatError> {
    let note: Note<String> = serde_json::from_slice(bytes)?;
    Ok(note.versions)
}

/// Encodes the note of a service's versions.
pub fn encode(versions: &[Arc<str>]) -> Vec<u8> {
    let note = Note {
        versions: versions.to_vec(),
    };
    serde_json::json!(note).to_string().into_bytes()
}

#[derive(Serialize, Deserialize)]
struct Note<T> {
    versions: Vec<T>,
}

//! Notes of services' versions in the store.

use serde_json::json;

use crate::conditional_write::ConditionalWrite;
use siskinyoke_dispatch::version_history::VersionNote;
use siskinyoke_interface::Documents;

/// Returns the write of a note, which replaces the one that this instance knows.
pub fn encode(documents: &dyn Documents, note: &VersionNote) -> ConditionalWrite {
    let key = documents.version_note_key(&note.service);
    ConditionalWrite {
        value: documents.encode_version_note(&note.versions),
        expected: vec![(key.clone(), note.revision)],
        key,
        kind: "versions",
        event: "version_note",
        fields: json!({
            "service": &*note.service,
            "versions": note.versions,
            "expected": note.revision,
        }),
    }
}

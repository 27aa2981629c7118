//! A question about what became of an earlier change.

use super::Manifest;
use super::Outcome;
use crate::CallId;
use crate::platform::Versioned;

/// A question about an earlier change, while the service is asked.
#[derive(Debug)]
pub struct Lookup {
    /// Who asked.
    pub call: CallId,
    /// The change's identity.
    pub id: String,
    /// The revision that the change would follow, as its unknown outcome named it.
    pub after: Option<u64>,
    /// The highest revision seen when the service was asked.
    pub floor: u64,
}

impl Lookup {
    /// Returns the outcome when the service cannot be asked.
    pub fn unknown(&self) -> Outcome {
        let base = self.after.unwrap_or(self.floor);
        Outcome::Unknown { base }
    }

    /// Judges by what the service holds.
    pub fn judge(&self, found: Option<&Versioned>) -> Outcome {
        let manifest = found.and_then(|found| Manifest::decode(&found.value));
        let Some(manifest) = manifest.filter(|manifest| manifest.revision >= self.floor) else {
            return self.unknown();
        };
        if let Some(made) = manifest.change(&self.id) {
            let revision = made.revision;
            return Outcome::Accepted { revision };
        }
        let next = self.after.and_then(|after| after.checked_add(1));
        let other = next.and_then(|next| manifest.made(next));
        other.map_or_else(
            || self.unknown(),
            |_| Outcome::Conflict {
                revision: manifest.revision,
            },
        )
    }
}

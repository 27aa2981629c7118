//! Parts of prompts, by which requests are compared.

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::stable_hash;

/// Maximum number of parts of one request that are tracked; later ones are left out.
const MAX_PARTS: usize = 16;

/// Identifies a part of a prompt that several requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PromptPart(pub u64);

impl PromptPart {
    /// Returns the part with this ID: the number itself if it is a hexadecimal one of at most 16
    /// digits, and a hash otherwise.
    pub fn from_id(id: &str) -> Self {
        let number = u64::from_str_radix(id, 16);
        Self(number.unwrap_or_else(|_| stable_hash(&id)))
    }
}

impl fmt::Display for PromptPart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}

/// The parts of a request's prompt that other requests may share, in the order of the prompt.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptParts(Arc<[PromptPart]>);

impl PromptParts {
    /// Creates the parts from the IDs of all parts of the prompt. The last one is the request's own
    /// and is left out.
    pub fn from_ids<'a>(ids: impl IntoIterator<Item = &'a str>) -> Self {
        let mut parts: Vec<PromptPart> = ids.into_iter().map(PromptPart::from_id).collect();
        parts.pop();
        parts.truncate(MAX_PARTS);
        Self(parts.into())
    }

    /// Returns the parts, each with its position in the prompt.
    pub fn positions(&self) -> impl Iterator<Item = (u8, PromptPart)> {
        (0..).zip(self.0.iter().copied())
    }

    /// Returns the parts.
    pub fn iter(&self) -> impl Iterator<Item = PromptPart> {
        self.0.iter().copied()
    }

    /// Returns the number of parts.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether there are none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

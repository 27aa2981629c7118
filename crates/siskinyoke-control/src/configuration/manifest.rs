//! The root manifest: the one value whose swap accepts a change.

use std::collections::BTreeSet;
use std::collections::VecDeque;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use super::PageDigest;

/// The key of the root manifest in the platform's service.
pub const MANIFEST_KEY: &str = "siskinyoke/manifest";

/// What the keys of pages begin with.
pub const PAGE_PREFIX: &str = "siskinyoke/pages/";

/// How many changes the manifest remembers.
///
/// At the 2,000 changes a day of the size to come this is three hours, far longer than an
/// operator waits for an unknown outcome, and about 30 KB of the manifest.
pub const RECENT_CHANGES: usize = 256;

/// How many revisions a page outlives its last use by.
///
/// A daemon that reads pages of a revision that is replaced meanwhile finds them this many
/// changes longer; then it is told a newer manifest anyway.
pub const RETIRED_REVISIONS: u64 = 16;

/// The root manifest.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Manifest {
    /// Counts accepted changes.
    pub revision: u64,
    /// The preset in force.
    pub preset: String,
    /// The pages that make up the configuration.
    pub pages: PageList,
    /// The last accepted changes, the oldest first.
    pub recent: VecDeque<RecentChange>,
    /// Pages that left the list not long ago, with the revision that left them out.
    pub retired: Vec<RetiredPage>,
}

/// The pages of a configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PageList {
    /// The tiers.
    pub tiers: PageDigest,
    /// The presets.
    pub presets: PageDigest,
    /// The operators.
    pub operators: PageDigest,
    /// What the engines of each pool should run.
    pub pools: PageDigest,
    /// The endpoints, in buckets by the hash of their names.
    pub endpoints: Vec<PageDigest>,
    /// The organisations, in buckets by the hash of their names.
    pub organisations: Vec<PageDigest>,
}

/// An accepted change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecentChange {
    /// The identity that its sender drew.
    pub id: String,
    /// The revision that it made.
    pub revision: u64,
    /// Short digest of what was asked, so that one identity never stands for two changes.
    pub content: String,
    /// The operator who made it.
    pub operator: String,
}

/// A page that is no longer part of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetiredPage {
    /// The page.
    pub page: PageDigest,
    /// The first revision without it.
    pub revision: u64,
}

impl Manifest {
    /// Reads a manifest as stored; nothing if it is damaged.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        serde_json::from_slice(bytes).ok()
    }

    /// Writes the manifest as it is stored.
    ///
    /// # Panics
    ///
    /// Never: a manifest holds only texts, numbers and lists.
    pub fn encode(&self) -> Bytes {
        let text = serde_json::to_vec(self).expect("a manifest is plain JSON");
        Bytes::from(text)
    }

    /// Finds an accepted change by its identity.
    pub fn change(&self, id: &str) -> Option<&RecentChange> {
        self.recent.iter().find(|change| change.id == id)
    }

    /// Returns the change that made a revision, if the manifest still remembers it.
    pub fn made(&self, revision: u64) -> Option<&RecentChange> {
        self.recent
            .iter()
            .find(|change| change.revision == revision)
    }
}

impl RecentChange {
    /// Tells whether both are one change, whichever daemon and operator sent it.
    pub fn is_same(&self, other: &Self) -> bool {
        self.id == other.id && self.revision == other.revision && self.content == other.content
    }
}

impl PageList {
    /// Returns every page once.
    pub fn all(&self) -> BTreeSet<PageDigest> {
        let single = [self.tiers, self.presets, self.operators, self.pools];
        single
            .into_iter()
            .chain(self.endpoints.iter().copied())
            .chain(self.organisations.iter().copied())
            .collect()
    }
}

/// Returns the key under which a page is stored.
pub fn page_key(page: PageDigest) -> String {
    format!("{PAGE_PREFIX}{page}")
}

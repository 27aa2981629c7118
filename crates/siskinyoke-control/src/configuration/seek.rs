//! The loading of a newer revision, from a peer or from the service.

use std::collections::BTreeMap;

use bytes::Bytes;

use super::Manifest;
use super::PageDigest;
use super::Stored;
use siskinyoke_base::InstanceId;
use siskinyoke_base::Millis;

/// How long a source has to answer before the next one is asked.
///
/// A peer answers within milliseconds; a change is to be in force within seconds.
pub const SOURCE_LIMIT: Millis = Millis(1_000);

/// The longest wait between two attempts, when every source has failed.
const RETRY_MAX: Millis = Millis(8_000);

/// Who is asked for a newer revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Source {
    /// A peer that said it has it.
    Peer(InstanceId),
    /// The platform's service.
    Service,
}

/// A revision that is being loaded.
#[derive(Debug)]
pub struct Seek {
    /// The least revision that is wanted.
    pub revision: u64,
    /// Who is asked now.
    pub source: Source,
    /// The manifest, once it is there.
    pub manifest: Option<(Manifest, Bytes)>,
    /// Pages that have come.
    pub pages: BTreeMap<PageDigest, Bytes>,
    /// When the source is to be asked, or given up once it was asked.
    pub due: Millis,
    /// Whether the source was asked and its answer is awaited.
    pub asked: bool,
    /// Sources that have failed since the last progress.
    pub failures: u32,
}

impl Seek {
    /// Begins to load `revision` or a later one.
    pub fn new(revision: u64, source: Source) -> Self {
        Self {
            revision,
            source,
            manifest: None,
            pages: BTreeMap::new(),
            due: Millis::ZERO,
            asked: false,
            failures: 0,
        }
    }

    /// Takes a manifest; pages that it does not name are dropped.
    pub fn take_manifest(&mut self, manifest: Manifest, bytes: Bytes, held: Option<&Stored>) {
        let named = manifest.pages.all();
        self.pages.retain(|page, _| named.contains(page));
        for page in named {
            if let Some(known) = held.and_then(|held| held.pages.get(&page)) {
                self.pages.insert(page, known.clone());
            }
        }
        self.revision = self.revision.max(manifest.revision);
        self.manifest = Some((manifest, bytes));
        self.progress();
    }

    /// Takes a page; returns false if its bytes are not those that its digest names.
    ///
    /// Guards against a page damaged in the service or on its way: without the comparison an
    /// organisation's routes or keys would silently be others than the operators accepted.
    pub fn take_page(&mut self, page: PageDigest, bytes: Bytes) -> bool {
        if PageDigest::of(&bytes) != page {
            return false;
        }
        if !self.missing().contains(&page) {
            return true;
        }
        self.pages.insert(page, bytes);
        self.progress();
        true
    }

    /// Returns the pages that are still missing.
    pub fn missing(&self) -> Vec<PageDigest> {
        let Some((manifest, _)) = &self.manifest else {
            return Vec::new();
        };
        let named = manifest.pages.all().into_iter();
        named
            .filter(|page| !self.pages.contains_key(page))
            .collect()
    }

    /// Returns the whole revision, once nothing is missing.
    pub fn whole(&self) -> Option<Stored> {
        let (manifest, bytes) = self.manifest.as_ref()?;
        if !self.missing().is_empty() {
            return None;
        }
        Some(Stored {
            manifest: manifest.clone(),
            bytes: bytes.clone(),
            pages: self.pages.clone(),
        })
    }

    /// Goes on once `revision` is held: with its manifest if that is newer, else from the start.
    pub fn after(self, revision: u64, source: Source) -> Self {
        let loading = self.manifest.as_ref();
        if loading.is_some_and(|(manifest, _)| manifest.revision > revision) {
            return self;
        }
        Self::new(self.revision, source)
    }

    /// Learns of a revision; a source that was not known yet ends the wait after a failure.
    pub fn hear(&mut self, revision: u64, source: Option<Source>, now: Millis) {
        self.revision = self.revision.max(revision);
        if let Some(source) = source
            && self.failures > 0
            && !self.asked
        {
            self.source = source;
            self.due = now;
        }
    }

    /// Gives the source up and turns to another, after a wait that grows with each failure.
    pub fn turn_to(&mut self, source: Source, now: Millis) {
        self.failures += 1;
        self.source = source;
        self.asked = false;
        let wait = SOURCE_LIMIT.0 << self.failures.saturating_sub(2).min(8);
        let wait = if self.failures < 2 { 0 } else { wait };
        self.due = now + Millis(wait).min(RETRY_MAX);
    }

    fn progress(&mut self) {
        self.failures = 0;
        self.asked = false;
        self.due = Millis::ZERO;
    }
}

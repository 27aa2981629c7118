//! One revision as it is stored: its manifest and all its pages.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::fmt::Display;

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::ConfigurationDoc;
use super::Manifest;
use super::PageDigest;
use super::PageList;
use super::RecentChange;
use super::RetiredPage;
use super::manifest::MANIFEST_KEY;
use super::manifest::RECENT_CHANGES;
use super::manifest::RETIRED_REVISIONS;
use super::manifest::page_key;
use super::page;
use super::page::PageOrigin;
use siskinyoke_base::message::Message;

/// The most bytes of pages in one answer to a peer, so that it stays one ordinary message.
const ANSWER_LIMIT: usize = 512 * 1024;

/// A whole revision, as the platform's service and peers hold it.
#[derive(Debug, Clone, PartialEq)]
pub struct Stored {
    /// The manifest.
    pub manifest: Manifest,
    /// The manifest's bytes, as they are compared and sent on.
    pub bytes: Bytes,
    /// Every page that the manifest names.
    pub pages: BTreeMap<PageDigest, Bytes>,
}

impl Stored {
    /// Builds the revision that follows `base`; pages that did not change are kept.
    pub fn following(base: Option<&Self>, doc: &ConfigurationDoc, change: RecentChange) -> Self {
        let mut writer = PageWriter {
            origin: PageOrigin {
                revision: change.revision,
                change: &change.id,
                content: &change.content,
            },
            base,
            pages: BTreeMap::new(),
        };
        let list = base.map(|base| &base.manifest.pages);
        let pages = PageList {
            tiers: writer.write(&doc.tiers, list.map(|list| list.tiers)),
            presets: writer.write(&doc.presets, list.map(|list| list.presets)),
            operators: writer.write(&doc.operators, list.map(|list| list.operators)),
            pools: writer.write(&doc.pools, list.map(|list| list.pools)),
            endpoints: writer.buckets(&doc.endpoints, list.map(|list| &list.endpoints)),
            organisations: writer.buckets(&doc.organisations, list.map(|list| &list.organisations)),
        };
        let written = writer.pages;
        let manifest = Manifest {
            revision: change.revision,
            preset: doc.preset.clone(),
            retired: retired(base, &pages, change.revision),
            recent: recent(base, change),
            pages,
        };
        Self {
            bytes: manifest.encode(),
            manifest,
            pages: written,
        }
    }

    /// Reads the documents; nothing if a page is missing or damaged.
    pub fn document(&self) -> Option<ConfigurationDoc> {
        let list = &self.manifest.pages;
        Some(ConfigurationDoc {
            preset: self.manifest.preset.clone(),
            tiers: self.read(list.tiers)?,
            presets: self.read(list.presets)?,
            endpoints: self.join(&list.endpoints)?,
            organisations: self.join(&list.organisations)?,
            operators: self.read(list.operators)?,
            pools: self.read(list.pools)?,
        })
    }

    /// Returns the values that the service holds for this revision, for a first start.
    pub fn values(&self) -> Vec<(String, Bytes)> {
        let pages = self.pages.iter();
        let mut values: Vec<_> = pages
            .map(|(page, bytes)| (page_key(*page), bytes.clone()))
            .collect();
        values.push((MANIFEST_KEY.to_owned(), self.bytes.clone()));
        values
    }

    /// Returns the answer to a peer that asks for pages; as many as one message may hold.
    pub fn answer(&self, wanted: &[[u8; 32]]) -> Message {
        let mut room = ANSWER_LIMIT;
        let mut pages = Vec::new();
        for digest in wanted {
            let Some(bytes) = self.pages.get(&PageDigest(*digest)) else {
                continue;
            };
            if !pages.is_empty() && bytes.len() > room {
                break;
            }
            room = room.saturating_sub(bytes.len());
            pages.push((*digest, bytes.clone()));
        }
        let manifest = self.bytes.clone();
        Message::Documents { manifest, pages }
    }

    fn read<T: DeserializeOwned>(&self, digest: PageDigest) -> Option<T> {
        page::read(self.pages.get(&digest)?)
    }

    fn join<K, V>(&self, digests: &[PageDigest]) -> Option<BTreeMap<K, V>>
    where
        K: Ord + DeserializeOwned,
        V: DeserializeOwned,
    {
        let mut all = BTreeMap::new();
        for digest in digests {
            all.extend(self.read::<BTreeMap<K, V>>(*digest)?);
        }
        Some(all)
    }
}

/// Writes the pages of one revision.
struct PageWriter<'a> {
    origin: PageOrigin<'a>,
    base: Option<&'a Stored>,
    pages: BTreeMap<PageDigest, Bytes>,
}

impl PageWriter<'_> {
    fn write<T: Serialize>(&mut self, body: &T, old: Option<PageDigest>) -> PageDigest {
        let base = self.base;
        let old = old.and_then(|old| base.and_then(|base| base.pages.get(&old)));
        let bytes = page::write(self.origin, body, old);
        let digest = PageDigest::of(&bytes);
        self.pages.insert(digest, bytes);
        digest
    }

    fn buckets<K, V>(
        &mut self,
        entries: &BTreeMap<K, V>,
        old: Option<&Vec<PageDigest>>,
    ) -> Vec<PageDigest>
    where
        K: Ord + Display + Serialize,
        V: Serialize,
    {
        let old = old.map_or(&[][..], Vec::as_slice);
        let buckets = page::split(entries, old.len());
        let mut digests = Vec::with_capacity(buckets.len());
        for (place, bucket) in buckets.iter().enumerate() {
            digests.push(self.write(bucket, old.get(place).copied()));
        }
        digests
    }
}

fn recent(base: Option<&Stored>, change: RecentChange) -> VecDeque<RecentChange> {
    let mut recent = base.map_or_else(Default::default, |base| base.manifest.recent.clone());
    recent.push_back(change);
    while recent.len() > RECENT_CHANGES {
        recent.pop_front();
    }
    recent
}

fn retired(base: Option<&Stored>, pages: &PageList, revision: u64) -> Vec<RetiredPage> {
    let Some(base) = base else {
        return Vec::new();
    };
    let kept = pages.all();
    let earlier = base.manifest.retired.iter();
    let mut retired: Vec<_> = earlier
        .filter(|old| old.revision + RETIRED_REVISIONS >= revision)
        .cloned()
        .collect();
    let left = base.manifest.pages.all().into_iter();
    retired.extend(
        left.filter(|page| !kept.contains(page))
            .map(|page| RetiredPage { page, revision }),
    );
    retired
}

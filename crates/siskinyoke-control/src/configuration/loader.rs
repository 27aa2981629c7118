//! What is held of the configuration, and the loading of what is newer.

use std::collections::BTreeMap;
use std::mem;

use bytes::Bytes;

use super::Alarms;
use super::ConfigurationDoc;
use super::Manifest;
use super::PageDigest;
use super::Stored;
use super::effect::Known;
use super::manifest::MANIFEST_KEY;
use super::manifest::page_key;
use super::seek::SOURCE_LIMIT;
use super::seek::Seek;
use super::seek::Source;
use super::sources::Sources;
use crate::Context;
use crate::OpId;
use crate::PlatformReply;
use crate::PlatformRequest;
use crate::Reply;
use crate::platform::Versioned;
use siskinyoke_base::InstanceId;
use siskinyoke_base::Millis;
use siskinyoke_base::message::Message;

/// How many pages are asked for at once, from the service.
const PAGES_AT_ONCE: usize = 8;

/// Holds the highest revision that could be loaded whole, and loads newer ones.
#[derive(Debug, Default)]
pub struct Loader {
    held: Option<Stored>,
    highest: u64,
    seek: Option<Seek>,
    sources: Sources,
    unreadable: Option<PageDigest>,
    ops: BTreeMap<OpId, Purpose>,
    alarms: Alarms,
    installed: Vec<(u64, ConfigurationDoc)>,
}

/// What a request to the platform was for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Purpose {
    /// Reads or watches the manifest; `floor` is the highest revision seen when it was sent.
    Manifest { floor: u64 },
    /// Reads a page.
    Page(PageDigest),
}

impl Loader {
    /// Returns what is held, if anything is.
    pub fn held(&self) -> Option<&Stored> {
        self.held.as_ref()
    }

    /// Returns what is held and the highest revision seen.
    pub fn known(&self) -> Known<'_> {
        Known {
            held: self.held.as_ref(),
            highest: self.highest,
        }
    }

    /// Returns the counters of what should never be seen.
    pub fn alarms(&self) -> Alarms {
        self.alarms
    }

    /// Returns when [`Loader::advance`] is to be called next.
    pub fn due(&self) -> Millis {
        self.seek.as_ref().map_or(Millis::NEVER, |seek| seek.due)
    }

    /// Takes out the revisions that came to be held, the lower first.
    pub fn take_installed(&mut self) -> Vec<(u64, ConfigurationDoc)> {
        mem::take(&mut self.installed)
    }

    /// Asks the service for the manifest, by a read or a watch.
    pub fn ask(&mut self, cx: &mut Context<'_>, request: PlatformRequest) -> OpId {
        let op = cx.out.platform(request);
        let floor = self.highest;
        self.ops.insert(op, Purpose::Manifest { floor });
        op
    }

    /// Learns that a peer holds a revision.
    pub fn observe(&mut self, cx: &mut Context<'_>, from: &InstanceId, revision: u64) {
        if revision <= self.known().revision() {
            return;
        }
        let new = self.sources.note(from, revision);
        self.highest = self.highest.max(revision);
        let source = Source::Peer(from.clone());
        match &mut self.seek {
            Some(seek) => seek.hear(revision, new.then_some(source), cx.now),
            None => self.seek = Some(Seek::new(revision, source)),
        }
        self.advance(cx);
    }

    /// Takes the platform's answer; returns false if the request was another's.
    pub fn reply(&mut self, cx: &mut Context<'_>, op: OpId, reply: &Reply) -> bool {
        let Some(purpose) = self.ops.remove(&op) else {
            return false;
        };
        match (purpose, reply) {
            (Purpose::Manifest { floor }, Ok(PlatformReply::Value(found))) => {
                self.take_found(floor, found.as_ref());
            }
            (Purpose::Page(page), Ok(PlatformReply::Value(found))) => {
                self.take_page(cx, page, found.as_ref());
            }
            _ => self.fail_source(cx, &Source::Service),
        }
        self.advance(cx);
        true
    }

    /// Takes what the service holds under the manifest's key.
    pub fn take_found(&mut self, floor: u64, found: Option<&Versioned>) {
        let Some(found) = found else {
            if floor > 0 {
                self.alarms.older += 1;
            }
            self.seek.take_if(|seek| seek.revision == 0);
            return;
        };
        let Some(manifest) = Manifest::decode(&found.value) else {
            self.alarms.damaged += 1;
            return;
        };
        // A service restored from an old copy, or read from a replica that lags, shows a
        // revision below one that was seen before the read was sent. Taking it would revert
        // an accepted change; it is only counted, and what is held stays in force.
        if manifest.revision < floor {
            self.alarms.older += 1;
            return;
        }
        self.offer(manifest, &found.value, Source::Service);
    }

    /// Takes a manifest and pages that a peer sent.
    pub fn take_documents(
        &mut self,
        cx: &mut Context<'_>,
        from: &InstanceId,
        manifest: &Bytes,
        pages: &[([u8; 32], Bytes)],
    ) {
        let source = Source::Peer(from.clone());
        match Manifest::decode(manifest) {
            Some(decoded) => self.offer(decoded, manifest, source.clone()),
            None => self.alarms.damaged += 1,
        }
        for (digest, bytes) in pages {
            let Some(seek) = &mut self.seek else {
                break;
            };
            if !seek.take_page(PageDigest(*digest), bytes.clone()) {
                self.alarms.damaged += 1;
                self.fail_source(cx, &source);
            }
        }
        self.advance(cx);
    }

    /// Takes the next step of loading: put the whole in force, ask, or turn to another source.
    pub fn advance(&mut self, cx: &mut Context<'_>) {
        let Some(seek) = &mut self.seek else {
            return;
        };
        if let Some(stored) = seek.whole() {
            return self.install(cx, stored);
        }
        if cx.now < seek.due {
            return;
        }
        if seek.asked {
            let source = seek.source.clone();
            self.fail_source(cx, &source);
            return self.advance(cx);
        }
        seek.asked = true;
        seek.due = cx.now + SOURCE_LIMIT;
        let missing = seek.missing();
        match seek.source.clone() {
            Source::Peer(peer) => {
                let pages = missing.iter().map(|page| page.0).collect();
                cx.out.send(&peer, Message::Fetch { pages });
            }
            Source::Service if seek.manifest.is_none() => {
                let key = MANIFEST_KEY.to_owned();
                self.ask(cx, PlatformRequest::Get { key });
            }
            Source::Service => self.read_pages(cx, &missing),
        }
    }

    /// Holds a whole revision from now on, unless a higher one is held.
    pub fn install(&mut self, cx: &mut Context<'_>, stored: Stored) {
        let revision = stored.manifest.revision;
        if revision <= self.known().revision() {
            return;
        }
        let doc = stored.document();
        let Some(doc) = doc.filter(|doc| doc.presets.contains_key(&doc.preset)) else {
            self.alarms.damaged += 1;
            self.unreadable = Some(PageDigest::of(&stored.bytes));
            self.seek = None;
            return;
        };
        self.held = Some(stored);
        self.installed.push((revision, doc));
        self.highest = self.highest.max(revision);
        self.sources.forget(revision);
        let newer = self.seek.take().filter(|seek| seek.revision > revision);
        self.seek = newer.map(|seek| seek.after(revision, self.sources.first()));
        self.advance(cx);
    }

    /// Considers a manifest, and begins to load it if it is newer than what is held.
    fn offer(&mut self, manifest: Manifest, bytes: &Bytes, source: Source) {
        let digest = PageDigest::of(bytes);
        self.highest = self.highest.max(manifest.revision);
        if manifest.revision < self.known().revision() || self.unreadable == Some(digest) {
            return;
        }
        if let Some(held) = &self.held
            && held.manifest.revision == manifest.revision
        {
            if held.bytes != *bytes {
                self.alarms.forked += 1;
            }
            return;
        }
        let seek = self
            .seek
            .get_or_insert_with(|| Seek::new(manifest.revision, source));
        let known = seek.manifest.as_ref();
        if let Some((known, was)) = known
            && known.revision >= manifest.revision
        {
            if known.revision == manifest.revision && was != bytes {
                self.alarms.forked += 1;
            }
            return;
        }
        seek.take_manifest(manifest, bytes.clone(), self.held.as_ref());
    }

    fn take_page(&mut self, cx: &mut Context<'_>, page: PageDigest, found: Option<&Versioned>) {
        let Some(found) = found else {
            self.alarms.missing += 1;
            return self.fail_source(cx, &Source::Service);
        };
        let Some(seek) = &mut self.seek else {
            return;
        };
        if !seek.take_page(page, found.value.clone()) {
            self.alarms.damaged += 1;
            self.fail_source(cx, &Source::Service);
        }
    }

    fn read_pages(&mut self, cx: &mut Context<'_>, missing: &[PageDigest]) {
        let asked: Vec<_> = self.ops.values().copied().collect();
        for page in missing.iter().take(PAGES_AT_ONCE) {
            if asked.contains(&Purpose::Page(*page)) {
                continue;
            }
            let key = page_key(*page);
            let op = cx.out.platform(PlatformRequest::Get { key });
            self.ops.insert(op, Purpose::Page(*page));
        }
    }

    /// Turns away from a source that failed, to the next one in turn.
    fn fail_source(&mut self, cx: &mut Context<'_>, failed: &Source) {
        let Some(seek) = &mut self.seek else {
            return;
        };
        if seek.source != *failed {
            return;
        }
        seek.turn_to(self.sources.after(failed), cx.now);
    }
}

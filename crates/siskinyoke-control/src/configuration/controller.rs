//! The controller that keeps the configuration in force up to date.

use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::Bytes;

use super::Alarms;
use super::Manifest;
use super::PageDigest;
use super::Stored;
use super::View;
use super::manifest::MANIFEST_KEY;
use super::manifest::page_key;
use super::seek::SOURCE_LIMIT;
use super::seek::Seek;
use super::seek::Source;
use crate::Context;
use crate::Controller;
use crate::OpId;
use crate::PlatformReply;
use crate::PlatformRequest;
use crate::Reply;
use crate::Sender;
use crate::platform::Versioned;
use siskinyoke_base::InstanceId;
use siskinyoke_base::Millis;
use siskinyoke_base::message::Message;

/// How long one watch waits at the service; a waiting watch counts as one call.
const WATCH_LIMIT: Millis = Millis::from_secs(30);

/// How long to wait after a watch that failed, so that an outage is not answered with a storm.
const WATCH_RETRY: Millis = Millis::from_secs(1);

/// How long a daemon that hears from nobody waits before it asks the service itself.
const SILENCE: Millis = Millis::from_secs(5);

/// How many pages are asked for at once, from the service.
const PAGES_AT_ONCE: usize = 8;

/// The most bytes of pages in one answer to a peer, so that it stays one ordinary message.
const ANSWER_LIMIT: usize = 512 * 1024;

/// How many peers are remembered as sources.
const SOURCES_MAX: usize = 8;

/// Keeps the configuration in force, and never goes back to an earlier revision.
#[derive(Debug, Default)]
pub struct ConfigurationController {
    view: Arc<View>,
    held: Option<Stored>,
    highest: u64,
    version: u64,
    watching: bool,
    watch: Option<OpId>,
    due: Millis,
    contact: Millis,
    seek: Option<Seek>,
    sources: Vec<(InstanceId, u64)>,
    unreadable: Option<PageDigest>,
    ops: BTreeMap<OpId, Purpose>,
    events: Vec<Event>,
    alarms: Alarms,
}

/// Something that the daemon is told.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A newer revision is in force here.
    InForce {
        /// The revision.
        revision: u64,
    },
}

/// What a request to the platform was for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Purpose {
    /// Reads or watches the manifest; `floor` is the highest revision seen when it was sent.
    Manifest { floor: u64 },
    /// Reads a page.
    Page(PageDigest),
}

impl Controller for ConfigurationController {
    fn tick(&mut self, cx: &mut Context<'_>) {
        if cx.now >= self.due {
            self.ask_service(cx);
        }
        self.advance(cx);
    }

    fn next(&self) -> Millis {
        let seek = self.seek.as_ref().map_or(Millis::NEVER, |seek| seek.due);
        self.due.min(seek)
    }

    fn message(&mut self, cx: &mut Context<'_>, from: &Sender, message: &Message) {
        match message {
            Message::Fetch { pages } => self.answer_fetch(cx, &from.instance, pages),
            Message::Documents { manifest, pages } => {
                self.take_documents(cx, &from.instance, manifest, pages);
            }
            _ => {}
        }
    }

    fn reply(&mut self, cx: &mut Context<'_>, op: OpId, reply: &Reply) -> bool {
        let Some(purpose) = self.ops.remove(&op) else {
            return false;
        };
        if reply.is_ok() {
            self.contact = cx.now;
        }
        match purpose {
            Purpose::Manifest { floor } => self.take_manifest_reply(cx, op, floor, reply),
            Purpose::Page(page) => self.take_page_reply(cx, page, reply),
        }
        self.advance(cx);
        true
    }
}

impl ConfigurationController {
    /// Returns the view that requests are decided by; it is cheap to clone and to hold.
    pub fn view(&self) -> &Arc<View> {
        &self.view
    }

    /// Returns the revision in force here, which rides on every message to a peer.
    pub fn revision(&self) -> u64 {
        self.view.revision
    }

    /// Returns the highest revision ever seen, whether or not its pages have come.
    pub fn highest(&self) -> u64 {
        self.highest
    }

    /// Returns the counters of what should never be seen.
    pub fn alarms(&self) -> Alarms {
        self.alarms
    }

    /// Returns when the service or any peer was last heard.
    pub fn contact(&self) -> Millis {
        self.contact
    }

    /// Takes out what has happened.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// Says whether this daemon is one of the few that watch the manifest.
    pub fn set_watching(&mut self, cx: &mut Context<'_>, watching: bool) {
        if watching && !self.watching {
            self.due = cx.now;
        }
        self.watching = watching;
    }

    /// Learns the revision that rode on a peer's message.
    pub fn observe_revision(&mut self, cx: &mut Context<'_>, from: &InstanceId, revision: u64) {
        self.contact = cx.now;
        if revision <= self.view.revision {
            return;
        }
        self.sources.retain(|(peer, _)| peer != from);
        self.sources.insert(0, (from.clone(), revision));
        self.sources.truncate(SOURCES_MAX);
        self.highest = self.highest.max(revision);
        match &mut self.seek {
            Some(seek) => seek.revision = seek.revision.max(revision),
            None => self.seek = Some(Seek::new(revision, Source::Peer(from.clone()))),
        }
        self.advance(cx);
    }

    /// Asks the service for the manifest: by a watch, or once if nobody is heard.
    fn ask_service(&mut self, cx: &mut Context<'_>) {
        self.due = cx.now + SILENCE;
        if self.watching {
            if self.watch.is_none() {
                let request = PlatformRequest::Watch {
                    key: MANIFEST_KEY.to_owned(),
                    known: self.version,
                    limit: WATCH_LIMIT,
                };
                self.watch = Some(self.request(cx, request));
            }
            return;
        }
        let silent = cx.now.since(self.contact) >= SILENCE;
        if self.held.is_none() || silent {
            self.read_manifest(cx);
        }
    }

    fn read_manifest(&mut self, cx: &mut Context<'_>) {
        let key = MANIFEST_KEY.to_owned();
        self.request(cx, PlatformRequest::Get { key });
    }

    fn request(&mut self, cx: &mut Context<'_>, request: PlatformRequest) -> OpId {
        let op = cx.out.platform(request);
        let floor = self.highest;
        self.ops.insert(op, Purpose::Manifest { floor });
        op
    }

    fn take_manifest_reply(&mut self, cx: &mut Context<'_>, op: OpId, floor: u64, reply: &Reply) {
        let watched = self.watch == Some(op);
        if watched {
            self.watch = None;
            let wait = if reply.is_ok() {
                Millis::ZERO
            } else {
                WATCH_RETRY
            };
            self.due = cx.now + wait;
        }
        match reply {
            Ok(PlatformReply::Value(found)) => self.take_found(floor, found.as_ref()),
            _ => self.fail_source(cx, &Source::Service),
        }
    }

    /// Takes what the service holds under the manifest's key.
    fn take_found(&mut self, floor: u64, found: Option<&Versioned>) {
        let Some(found) = found else {
            if floor > 0 {
                self.alarms.older += 1;
            }
            self.seek.take_if(|seek| seek.revision == 0);
            return;
        };
        self.version = found.version;
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

    /// Considers a manifest, and begins to load it if it is newer than what is held.
    fn offer(&mut self, manifest: Manifest, bytes: &Bytes, source: Source) {
        let digest = PageDigest::of(bytes);
        self.highest = self.highest.max(manifest.revision);
        if manifest.revision < self.view.revision || self.unreadable == Some(digest) {
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

    fn take_page_reply(&mut self, cx: &mut Context<'_>, page: PageDigest, reply: &Reply) {
        let found = match reply {
            Ok(PlatformReply::Value(Some(found))) => found.value.clone(),
            Ok(PlatformReply::Value(None)) => {
                self.alarms.missing += 1;
                return self.fail_source(cx, &Source::Service);
            }
            _ => return self.fail_source(cx, &Source::Service),
        };
        let Some(seek) = &mut self.seek else {
            return;
        };
        if !seek.take_page(page, found) {
            self.alarms.damaged += 1;
            self.fail_source(cx, &Source::Service);
        }
    }

    fn answer_fetch(&self, cx: &mut Context<'_>, to: &InstanceId, wanted: &[[u8; 32]]) {
        let Some(held) = &self.held else {
            return;
        };
        let mut room = ANSWER_LIMIT;
        let mut pages = Vec::new();
        for digest in wanted {
            let Some(bytes) = held.pages.get(&PageDigest(*digest)) else {
                continue;
            };
            if !pages.is_empty() && bytes.len() > room {
                break;
            }
            room = room.saturating_sub(bytes.len());
            pages.push((*digest, bytes.clone()));
        }
        let manifest = held.bytes.clone();
        cx.out.send(to, Message::Documents { manifest, pages });
    }

    fn take_documents(
        &mut self,
        cx: &mut Context<'_>,
        from: &InstanceId,
        manifest: &Bytes,
        pages: &[([u8; 32], Bytes)],
    ) {
        self.contact = cx.now;
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
    fn advance(&mut self, cx: &mut Context<'_>) {
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
            Source::Service if seek.manifest.is_none() => self.read_manifest(cx),
            Source::Service => self.read_pages(cx, &missing),
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

    /// Puts a whole revision in force; a view is only ever swapped as one.
    fn install(&mut self, cx: &mut Context<'_>, stored: Stored) {
        let revision = stored.manifest.revision;
        let wanted = self.seek.take().map_or(0, |seek| seek.revision);
        let doc = stored.document();
        let Some(doc) = doc.filter(|doc| doc.presets.contains_key(&doc.preset)) else {
            self.alarms.damaged += 1;
            self.unreadable = Some(PageDigest::of(&stored.bytes));
            return;
        };
        if revision <= self.view.revision {
            return;
        }
        self.view = Arc::new(View::new(revision, doc));
        self.held = Some(stored);
        self.highest = self.highest.max(revision);
        self.events.push(Event::InForce { revision });
        self.sources.retain(|(_, known)| *known > revision);
        if wanted > revision {
            self.seek = Some(Seek::new(wanted, self.best_source()));
            self.advance(cx);
        }
    }

    fn best_source(&self) -> Source {
        let first = self.sources.first();
        first.map_or(Source::Service, |(peer, _)| Source::Peer(peer.clone()))
    }

    /// Turns away from a source that failed, to the next one in turn.
    fn fail_source(&mut self, cx: &mut Context<'_>, failed: &Source) {
        let mut all: Vec<_> = self
            .sources
            .iter()
            .map(|(peer, _)| Source::Peer(peer.clone()))
            .collect();
        all.push(Source::Service);
        let Some(seek) = &mut self.seek else {
            return;
        };
        if seek.source != *failed {
            return;
        }
        let place = all.iter().position(|source| source == failed);
        let next = place.map_or(0, |place| (place + 1) % all.len());
        seek.turn_to(all[next].clone(), cx.now);
    }
}

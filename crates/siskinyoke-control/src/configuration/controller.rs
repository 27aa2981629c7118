//! The controller that keeps the configuration in force up to date.

use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::Bytes;

use super::Alarms;
use super::ChangeRequest;
use super::Manifest;
use super::Outcome;
use super::PageDigest;
use super::Stored;
use super::View;
use super::changes::Changes;
use super::effect::Effect;
use super::effect::Known;
use super::manifest::MANIFEST_KEY;
use super::manifest::page_key;
use super::seek::SOURCE_LIMIT;
use super::seek::Seek;
use super::seek::Source;
use super::sources::Sources;
use super::watch::Ask;
use super::watch::WATCH_LIMIT;
use super::watch::Watch;
use crate::CallId;
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

/// How many pages are asked for at once, from the service.
const PAGES_AT_ONCE: usize = 8;

/// Keeps the configuration in force, and never goes back to an earlier revision.
#[derive(Debug, Default)]
pub struct ConfigurationController {
    view: Arc<View>,
    held: Option<Stored>,
    highest: u64,
    watch: Watch,
    contact: Millis,
    seek: Option<Seek>,
    sources: Sources,
    unreadable: Option<PageDigest>,
    ops: BTreeMap<OpId, Purpose>,
    changes: Changes,
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
    /// A change, or a question about one, has its outcome.
    Outcome {
        /// Who asked.
        call: CallId,
        /// The outcome.
        outcome: Outcome,
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
        self.ask_service(cx);
        self.advance(cx);
        self.settle(cx);
    }

    fn next(&self) -> Millis {
        let seek = self.seek.as_ref().map_or(Millis::NEVER, |seek| seek.due);
        self.watch.due().min(seek).min(self.changes.next())
    }

    fn message(&mut self, cx: &mut Context<'_>, from: &Sender, message: &Message) {
        match message {
            Message::Fetch { pages } => {
                if let Some(held) = &self.held {
                    cx.out.send(&from.instance, held.answer(pages));
                }
            }
            Message::Documents { manifest, pages } => {
                self.take_documents(cx, &from.instance, manifest, pages);
            }
            _ => {}
        }
        self.settle(cx);
    }

    fn reply(&mut self, cx: &mut Context<'_>, op: OpId, reply: &Reply) -> bool {
        let Some(purpose) = self.ops.remove(&op) else {
            return self.reply_change(cx, op, reply);
        };
        if reply.is_ok() {
            self.contact = cx.now;
        }
        match purpose {
            Purpose::Manifest { floor } => self.take_manifest_reply(cx, op, floor, reply),
            Purpose::Page(page) => self.take_page_reply(cx, page, reply),
        }
        self.advance(cx);
        self.settle(cx);
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

    /// Says whether this daemon is one of the [`watchers`](super::watchers), and how many
    /// instances are live.
    pub fn set_fleet(&mut self, cx: &mut Context<'_>, watching: bool, live: usize) {
        self.watch.set(cx, watching, live);
    }

    /// Learns the revision that rode on a peer's message.
    pub fn observe_revision(&mut self, cx: &mut Context<'_>, from: &InstanceId, revision: u64) {
        self.contact = cx.now;
        if revision <= self.view.revision {
            return;
        }
        self.sources.note(from, revision);
        self.highest = self.highest.max(revision);
        match &mut self.seek {
            Some(seek) => seek.revision = seek.revision.max(revision),
            None => self.seek = Some(Seek::new(revision, Source::Peer(from.clone()))),
        }
        self.advance(cx);
        self.settle(cx);
    }

    /// Begins a change that an operator asked for; its outcome comes as an [`Event::Outcome`].
    pub fn begin_change(
        &mut self,
        cx: &mut Context<'_>,
        call: CallId,
        request: ChangeRequest,
        operator: &str,
    ) {
        let known = known(self.held.as_ref(), self.highest);
        self.changes.begin(cx, call, request, operator, known);
        self.settle(cx);
    }

    /// Asks what became of a change; the answer comes as an [`Event::Outcome`].
    ///
    /// `after` is the revision that an unknown outcome named.
    pub fn look_up(&mut self, cx: &mut Context<'_>, call: CallId, id: &str, after: Option<u64>) {
        let known = known(self.held.as_ref(), self.highest);
        self.changes.look_up(cx, call, id, after, known);
        self.settle(cx);
    }

    fn reply_change(&mut self, cx: &mut Context<'_>, op: OpId, reply: &Reply) -> bool {
        let known = known(self.held.as_ref(), self.highest);
        let ours = self.changes.reply(cx, op, reply, known);
        if ours && reply.is_ok() {
            self.contact = cx.now;
        }
        self.settle(cx);
        ours
    }

    /// Lets the changes go on with what is known now, and does what they want done.
    fn settle(&mut self, cx: &mut Context<'_>) {
        loop {
            let known = known(self.held.as_ref(), self.highest);
            self.changes.advance(cx, known);
            let effects = self.changes.take_effects();
            if effects.is_empty() {
                return;
            }
            for effect in effects {
                self.take_effect(cx, effect);
            }
        }
    }

    fn take_effect(&mut self, cx: &mut Context<'_>, effect: Effect) {
        match effect {
            Effect::Shown { floor, found } => {
                self.take_found(floor, found.as_ref());
                self.advance(cx);
            }
            Effect::Accept(stored) => self.install(cx, *stored),
            Effect::Done(call, outcome) => self.events.push(Event::Outcome { call, outcome }),
        }
    }

    /// Asks the service for the manifest, by a watch or once, if it is time.
    fn ask_service(&mut self, cx: &mut Context<'_>) {
        let empty = self.held.is_none();
        match self.watch.ask(cx, self.contact, empty) {
            Some(Ask::Watch) => {
                let request = PlatformRequest::Watch {
                    key: MANIFEST_KEY.to_owned(),
                    known: self.watch.known,
                    limit: WATCH_LIMIT,
                };
                let op = self.request(cx, request);
                self.watch.sent(op);
            }
            Some(Ask::Read) => self.read_manifest(cx),
            None => {}
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
        self.watch.answered(cx.now, op, reply.is_ok());
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
        self.watch.known = found.version;
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
        self.sources.forget(revision);
        if wanted > revision {
            self.seek = Some(Seek::new(wanted, self.sources.first()));
            self.advance(cx);
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

fn known(held: Option<&Stored>, highest: u64) -> Known<'_> {
    Known { held, highest }
}

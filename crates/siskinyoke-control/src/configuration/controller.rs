//! The controller that keeps the configuration in force up to date.

use std::sync::Arc;

use super::Alarms;
use super::ChangeRequest;
use super::Outcome;
use super::View;
use super::changes::Changes;
use super::contact::Contact;
use super::effect::Effect;
use super::loader::Loader;
use super::manifest::MANIFEST_KEY;
use super::watch::Ask;
use super::watch::WATCH_LIMIT;
use super::watch::Watch;
use crate::CallId;
use crate::Context;
use crate::Controller;
use crate::OpId;
use crate::PlatformRequest;
use crate::Reply;
use crate::Sender;
use siskinyoke_base::InstanceId;
use siskinyoke_base::Millis;
use siskinyoke_base::message::Message;

/// Keeps the configuration in force, and never goes back to an earlier revision.
#[derive(Debug, Default)]
pub struct ConfigurationController {
    view: Arc<View>,
    loader: Loader,
    watch: Watch,
    contact: Contact,
    changes: Changes,
    events: Vec<Event>,
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

impl Controller for ConfigurationController {
    fn tick(&mut self, cx: &mut Context<'_>) {
        self.ask_service(cx);
        self.loader.advance(cx);
        self.settle(cx);
    }

    fn next(&self) -> Millis {
        let loading = self.loader.due();
        self.watch.due().min(loading).min(self.changes.next())
    }

    fn message(&mut self, cx: &mut Context<'_>, from: &Sender, message: &Message) {
        match message {
            Message::Fetch { pages } => {
                if let Some(held) = self.loader.held() {
                    cx.out.send(&from.instance, held.answer(pages));
                }
            }
            Message::Documents { manifest, pages } => {
                self.contact.peer(cx.now);
                let peer = &from.instance;
                self.loader.take_documents(cx, peer, manifest, pages);
            }
            _ => {}
        }
        self.settle(cx);
    }

    fn reply(&mut self, cx: &mut Context<'_>, op: OpId, reply: &Reply) -> bool {
        self.watch.answered(cx.now, op, reply);
        let ours = self.loader.reply(cx, op, reply)
            || self.changes.reply(cx, op, reply, self.loader.known());
        if ours && reply.is_ok() {
            self.contact.service(cx.now);
        }
        self.settle(cx);
        ours
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
        self.loader.known().highest
    }

    /// Returns the counters of what should never be seen.
    pub fn alarms(&self) -> Alarms {
        self.loader.alarms()
    }

    /// Tells whether this daemon can know what is in force; if not, new work is to be refused
    /// with [`Code::NoConfiguration`](siskinyoke_base::Code::NoConfiguration).
    pub fn is_current(&self, now: Millis) -> bool {
        self.view.revision > 0 && self.contact.is_current(now)
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
        self.contact.peer(cx.now);
        self.loader.observe(cx, from, revision);
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
        let known = self.loader.known();
        self.changes.begin(cx, call, request, operator, known);
        self.settle(cx);
    }

    /// Asks what became of a change; the answer comes as an [`Event::Outcome`].
    ///
    /// `after` is the revision that an unknown outcome named.
    pub fn look_up(&mut self, cx: &mut Context<'_>, call: CallId, id: &str, after: Option<u64>) {
        let known = self.loader.known();
        self.changes.look_up(cx, call, id, after, known);
        self.settle(cx);
    }

    /// Puts in force what came to be held, and lets the changes go on with it.
    fn settle(&mut self, cx: &mut Context<'_>) {
        loop {
            self.put_in_force();
            self.changes.advance(cx, self.loader.known());
            let effects = self.changes.take_effects();
            if effects.is_empty() {
                return;
            }
            for effect in effects {
                self.take_effect(cx, effect);
            }
        }
    }

    /// Swaps the view; it is only ever swapped as a whole.
    fn put_in_force(&mut self) {
        for (revision, doc) in self.loader.take_installed() {
            self.view = Arc::new(View::new(revision, doc));
            self.events.push(Event::InForce { revision });
        }
    }

    fn take_effect(&mut self, cx: &mut Context<'_>, effect: Effect) {
        match effect {
            Effect::Shown { floor, found } => {
                self.loader.take_found(floor, found.as_ref());
                self.loader.advance(cx);
            }
            Effect::Accept(stored) => {
                self.loader.install(cx, *stored);
                self.put_in_force();
            }
            Effect::Done(call, outcome) => self.events.push(Event::Outcome { call, outcome }),
        }
    }

    /// Asks the service for the manifest, by a watch or once, if it is time.
    fn ask_service(&mut self, cx: &mut Context<'_>) {
        let empty = self.loader.held().is_none();
        match self.watch.ask(cx, self.contact.last(), empty) {
            Some(Ask::Watch) => {
                let request = PlatformRequest::Watch {
                    key: MANIFEST_KEY.to_owned(),
                    known: self.watch.known,
                    limit: WATCH_LIMIT,
                };
                let op = self.loader.ask(cx, request);
                self.watch.sent(op);
            }
            Some(Ask::Read) => {
                let key = MANIFEST_KEY.to_owned();
                self.loader.ask(cx, PlatformRequest::Get { key });
            }
            None => {}
        }
    }
}

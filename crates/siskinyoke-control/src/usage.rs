//! Usage: what each organisation is charged, kept so that no failure charges it twice.
//!
//! A charge is durable once the service has taken a write of its page, or both holders have
//! acknowledged it. Until then, a few seconds, the death of the daemon loses it: an organisation
//! may be charged for less than it got, never for more.

mod book;
mod compactor;
mod day;
mod holders;
mod line;
mod reader;
mod recent;
mod statement;
pub mod stored;

use std::collections::BTreeMap;

use book::Book;
use bytes::Bytes;
use compactor::Compactor;
use rand::Rng;
use serde::Deserialize;
use serde::Serialize;

use crate::Context;
use crate::Controller;
use crate::OpId;
use crate::Reply;
use crate::Sender;
pub use compactor::OPEN_DAYS;
pub use day::DateError;
pub use day::Day;
use holders::Holders;
pub use line::Cause;
pub use line::Line;
pub use line::LineKey;
pub use reader::Reader;
pub use recent::Charged;
use recent::Recent;

use siskinyoke_base::DataCentre;
use siskinyoke_base::Identity;
use siskinyoke_base::Incarnation;
use siskinyoke_base::InstanceId;
use siskinyoke_base::Millis;
use siskinyoke_base::OrganisationId;
use siskinyoke_base::message::Message;
pub use statement::Statement;
use stored::HeldLine;

/// Least time between two batches to the service.
const WRITE_GAP: Millis = Millis::from_secs(10);

/// Time between two batches for each member: the fleet writes ten batches a second at most, of
/// the several hundred writes that the service takes.
const WRITE_SHARE: Millis = Millis(100);

/// The most pages in one batch; one is usual.
const WRITE_PAGES: usize = 4;

/// Time between two messages to a holder; the charges of this span are lost with the daemon.
const HOLD_GAP: Millis = Millis::from_secs(2);

/// Time between two tries of either kind while the daemon is leaving.
const URGENT_GAP: Millis = Millis(500);

/// The most lines in a message to a holder, about 100 KB.
const HOLD_LINES: usize = 1_000;

/// Days for which a peer's usage is held while the peer lives: above the longest outage.
const HELD_DAYS: u32 = 7;

/// Time between two looks for closed days, for each member.
const COMPACT_SHARE: Millis = Millis::from_secs(60);

/// A member as the choice of holders needs it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The instance.
    pub instance: InstanceId,
    /// Its start.
    pub incarnation: Incarnation,
    /// Its data centre.
    pub centre: DataCentre,
}

/// A complete answer to be charged.
#[derive(Debug, Clone, Copy)]
pub struct Charge<'a> {
    /// The request.
    pub identity: &'a Identity,
    /// The line.
    pub line: &'a LineKey,
    /// Prompt tokens.
    pub prompt: u64,
    /// Output tokens.
    pub output: u64,
}

/// Keeps this daemon's usage and holds that of peers.
#[derive(Debug)]
pub struct Usage {
    me: Sender,
    today: Day,
    own: BTreeMap<Day, Book>,
    held: BTreeMap<(Incarnation, Day), Held>,
    holders: Holders,
    recent: Recent,
    compactor: Compactor,
    members: u64,
    leaving: bool,
    write: Millis,
    hold: Millis,
    compact: Millis,
    late: usize,
}

/// Usage of a peer, held in case it dies.
#[derive(Debug)]
struct Held {
    book: Book,
    gone: bool,
}

impl Usage {
    /// Starts with nothing charged on the given day.
    pub fn new(instance: InstanceId, incarnation: Incarnation, today: Day) -> Self {
        Self {
            me: Sender {
                instance,
                incarnation,
            },
            today,
            own: BTreeMap::new(),
            held: BTreeMap::new(),
            holders: Holders::default(),
            recent: Recent::default(),
            compactor: Compactor::default(),
            members: 1,
            leaving: false,
            write: WRITE_GAP,
            hold: HOLD_GAP,
            compact: COMPACT_SHARE,
            late: 0,
        }
    }

    /// Charges a complete answer; returns false if the same request was charged already.
    pub fn charge(&mut self, now: Millis, charge: &Charge<'_>) -> bool {
        // Guards against a caller who asks again for an answer that the daemon still holds: it is
        // given a second time and must be charged once.
        if self.recent.contains(charge.identity) {
            return false;
        }
        self.change(charge.line, |line| {
            line.charge(charge.prompt, charge.output);
        });
        self.recent.push(Charged {
            identity: charge.identity.clone(),
            line: charge.line.clone(),
            prompt: charge.prompt,
            output: charge.output,
            at: now,
        });
        true
    }

    /// Books prompt tokens that were computed and thrown away.
    pub fn waste(&mut self, line: &LineKey, cause: Cause, prompt: u64) {
        self.change(line, |line| line.waste(cause, prompt));
    }

    /// Begins a new day; what belongs to earlier ones is still written.
    pub fn set_day(&mut self, today: Day) {
        self.today = self.today.max(today);
    }

    /// Learns the members that are not gone; what is held of any other is due to be written.
    pub fn set_members(&mut self, members: &[Member]) {
        self.members = members.len().max(1) as u64;
        self.holders.choose(&self.me.instance, members);
        for ((writer, _), held) in &mut self.held {
            held.gone = members.iter().all(|member| member.incarnation != *writer);
        }
    }

    /// Writes and sends everything now and often from now on, as the daemon is leaving.
    pub fn flush(&mut self, cx: &mut Context<'_>) {
        self.leaving = true;
        self.write = cx.now;
        self.hold = cx.now;
        self.tick(cx);
    }

    /// Tells whether all charges are durable, and so whether a leaving daemon may exit.
    ///
    /// What is held for peers that are gone must be with the service, or still be held by the
    /// peer's other holder; the latter is not waited for.
    pub fn settled(&self) -> bool {
        self.own.values().all(Book::clean) || self.holders.settled()
    }

    /// Returns the requests of an organisation charged here lately, the oldest first.
    pub fn recent(&self, organisation: &OrganisationId) -> impl Iterator<Item = &Charged> {
        self.recent.of(organisation)
    }

    /// Returns what this daemon start has counted of a line today.
    pub fn line(&self, key: &LineKey) -> Line {
        let book = self.own.get(&self.today);
        book.map_or_else(Line::default, |book| book.line(key))
    }

    /// Counts the pages whose last charges came too late to be kept.
    pub fn late(&self) -> usize {
        self.late
    }

    /// Counts the records of closed days that this daemon added to totals.
    pub fn folded(&self) -> u64 {
        self.compactor.folded()
    }

    fn change(&mut self, key: &LineKey, change: impl FnOnce(&mut Line)) {
        let (day, me) = (self.today, self.me.incarnation);
        let book = self
            .own
            .entry(day)
            .or_insert_with(|| Book::new(day, me, me));
        book.change(key, change);
        self.holders.changed(day, key);
    }

    fn write(&mut self, cx: &mut Context<'_>) {
        let mut left = WRITE_PAGES;
        let gone = self.held.values_mut().filter(|held| held.gone);
        let books = self.own.values_mut().chain(gone.map(|held| &mut held.book));
        for book in books {
            left -= book.write(cx.out, left);
        }
    }

    fn send(&self, cx: &mut Context<'_>) {
        for batch in self.holders.due(HOLD_LINES) {
            let held = |(day, key): &(Day, LineKey)| HeldLine {
                day: *day,
                key: key.clone(),
                line: self.own.get(day).map(|b| b.line(key)).unwrap_or_default(),
            };
            let lines: Vec<HeldLine> = batch.lines.iter().map(held).collect();
            let record = stored::encode(&lines);
            let round = batch.upto;
            cx.out.send(&batch.to, Message::Usage { record, round });
        }
    }

    /// Hands what is held of starts that are gone to this daemon's own holders as it leaves.
    ///
    /// Guards against an outage of the service in which a writer and then its holders leave one
    /// after another: the last of them would take the charges along. It shows as answers that
    /// are not on the bill. Merging takes the larger counter, so doubled word changes nothing.
    fn hand_over(&self, cx: &mut Context<'_>) {
        if !self.leaving {
            return;
        }
        let unsaved = |held: &Held| held.gone && !held.book.clean();
        for ((writer, day), held) in self.held.iter().filter(|(_, held)| unsaved(held)) {
            let line = |(key, line): (&LineKey, Line)| HeldLine {
                day: *day,
                key: key.clone(),
                line,
            };
            let lines: Vec<HeldLine> = held.book.lines().map(line).collect();
            for part in lines.chunks(HOLD_LINES) {
                let record = stored::encode(&part.to_vec());
                for to in self.holders.instances() {
                    let (writer, record) = (*writer, record.clone());
                    cx.out.send(to, Message::UsageHandover { writer, record });
                }
            }
        }
    }

    fn take(&mut self, from: &Sender, writer: Incarnation, record: &Bytes) -> bool {
        let Some(lines) = stored::decode::<Vec<HeldLine>>(record) else {
            log::warn!("a usage record from {} cannot be read", from.instance);
            return false;
        };
        let me = self.me.incarnation;
        let gone = writer != from.incarnation;
        for line in lines {
            let held = self.held.entry((writer, line.day)).or_insert_with(|| Held {
                book: Book::new(line.day, writer, me),
                gone,
            });
            held.book.change(&line.key, |mine| mine.merge(&line.line));
        }
        true
    }

    /// Drops what is closed: own days that the service holds, and held ones that are written or
    /// so old that their writer must have written them.
    fn drop_old(&mut self) {
        let today = self.today;
        let done = |day: &Day, book: &Book| *day < today && book.clean();
        let old: Vec<Day> = self
            .own
            .iter()
            .filter(|(day, book)| done(day, book))
            .map(|(day, _)| *day)
            .collect();
        for day in old {
            self.late += self.own.remove(&day).map_or(0, |book| book.closed());
            self.holders.forget(day);
        }
        let oldest = today.before(HELD_DAYS);
        self.held.retain(|(_, day), held| {
            let written = held.gone && held.book.clean();
            !written && (held.gone || *day >= oldest)
        });
    }

    fn write_gap(&self) -> Millis {
        if self.leaving {
            return URGENT_GAP;
        }
        WRITE_GAP.max(Millis(self.members * WRITE_SHARE.0))
    }
}

impl Controller for Usage {
    fn tick(&mut self, cx: &mut Context<'_>) {
        if cx.now >= self.hold {
            self.send(cx);
            self.hand_over(cx);
            self.hold = cx.now + if self.leaving { URGENT_GAP } else { HOLD_GAP };
        }
        if cx.now >= self.write {
            self.write(cx);
            self.drop_old();
            let gap = self.write_gap();
            // Spread, so that daemons that started together do not write together.
            self.write = cx.now + gap - Millis(cx.rng.random_range(0..=gap.0 / 4));
        }
        if cx.now >= self.compact {
            self.compactor.start(cx.out, self.today);
            let gap = self.members * COMPACT_SHARE.0;
            self.compact = cx.now + Millis(cx.rng.random_range(gap / 2..=gap));
        }
    }

    fn next(&self) -> Millis {
        self.hold.min(self.write).min(self.compact)
    }

    fn message(&mut self, cx: &mut Context<'_>, from: &Sender, message: &Message) {
        match message {
            Message::UsageHandover { writer, record } => {
                self.take(from, *writer, record);
            }
            Message::Usage { record, round } if self.take(from, from.incarnation, record) => {
                let round = *round;
                cx.out.send(&from.instance, Message::UsageAck { round });
            }
            Message::UsageAck { round } => {
                self.holders.acked(&from.instance, from.incarnation, *round);
            }
            _ => {}
        }
    }

    fn reply(&mut self, cx: &mut Context<'_>, op: OpId, reply: &Reply) -> bool {
        let held = self.held.values_mut().map(|held| &mut held.book);
        let mut books = self.own.values_mut().chain(held);
        books.any(|book| book.reply(op, reply)) || self.compactor.reply(cx.out, op, reply)
    }
}

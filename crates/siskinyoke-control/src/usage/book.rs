//! One daemon start's usage of one day, and its way into the platform's service.

use std::collections::BTreeMap;

use super::Day;
use super::Line;
use super::LineKey;
use super::stored;
use super::stored::PageDoc;
use crate::OpId;
use crate::Outbox;
use crate::PlatformReply;
use crate::PlatformRequest;
use crate::Reply;
use crate::platform::Versioned;
use siskinyoke_base::Incarnation;

/// The most bytes of a page, half of what the service takes, as its lines are estimated.
const PAGE_BYTES: usize = 512 * 1024;

/// A record of usage that `by` keeps of `writer`; the two are the same for its own usage.
///
/// Each key in the service has a single daemon start that writes it. The record's lines are
/// spread over pages in the order in which they first came, so that a page stays below the limit
/// of a value, and a line never changes its page.
#[derive(Debug)]
pub struct Book {
    day: Day,
    writer: Incarnation,
    by: Incarnation,
    lines: BTreeMap<LineKey, Slot>,
    pages: Vec<Page>,
}

#[derive(Debug)]
struct Slot {
    line: Line,
    page: usize,
}

#[derive(Debug, Default)]
struct Page {
    keys: Vec<LineKey>,
    bytes: usize,
    version: u64,
    state: State,
}

#[derive(Debug, Default, PartialEq)]
enum State {
    /// The service holds it as it is.
    #[default]
    Clean,
    /// It differs from what the service is known to hold.
    Dirty,
    /// It is being written; `changed` tells whether it has changed since.
    Writing { op: OpId, changed: bool },
    /// Its day was closed before it was written; what is left is not charged.
    Closed,
}

impl Book {
    /// Opens an empty record.
    pub fn new(day: Day, writer: Incarnation, by: Incarnation) -> Self {
        Self {
            day,
            writer,
            by,
            lines: BTreeMap::new(),
            pages: Vec::new(),
        }
    }

    /// Changes a line.
    pub fn change(&mut self, key: &LineKey, change: impl FnOnce(&mut Line)) {
        let page = self.place(key);
        let slot = self.lines.get_mut(key).expect("it was just placed");
        let before = slot.line;
        change(&mut slot.line);
        if slot.line != before {
            self.pages[page].touch();
        }
    }

    /// Returns a line.
    pub fn line(&self, key: &LineKey) -> Line {
        self.lines
            .get(key)
            .map_or_else(Line::default, |slot| slot.line)
    }

    /// Returns all lines in the order of their keys.
    pub fn lines(&self) -> impl Iterator<Item = (&LineKey, Line)> {
        self.lines.iter().map(|(key, slot)| (key, slot.line))
    }

    /// Tells whether the service is known to hold everything.
    pub fn clean(&self) -> bool {
        let settled = |page: &Page| matches!(page.state, State::Clean | State::Closed);
        self.pages.iter().all(settled)
    }

    /// Counts the pages that were closed before all of them was written.
    pub fn closed(&self) -> usize {
        let closed = |page: &&Page| page.state == State::Closed;
        self.pages.iter().filter(closed).count()
    }

    /// Writes at most `most` pages that need it, and returns how many it wrote.
    pub fn write(&mut self, out: &mut Outbox, most: usize) -> usize {
        let dirty = |number: &usize| self.pages[*number].state == State::Dirty;
        let due: Vec<usize> = (0..self.pages.len()).filter(dirty).take(most).collect();
        for number in &due {
            let value = stored::encode(&self.doc(*number));
            let page = &mut self.pages[*number];
            let op = out.platform(PlatformRequest::Swap {
                key: stored::page_key(self.day, self.writer, self.by, *number),
                expected: page.version,
                value,
                lease: None,
            });
            let changed = false;
            page.state = State::Writing { op, changed };
        }
        due.len()
    }

    /// Takes the answer to a write; returns false if it is not one of this record.
    pub fn reply(&mut self, op: OpId, reply: &Reply) -> bool {
        let writes = |page: &Page| matches!(page.state, State::Writing { op: at, .. } if at == op);
        let Some(number) = self.pages.iter().position(writes) else {
            return false;
        };
        match reply {
            Ok(PlatformReply::Swapped { done: true, .. }) => self.pages[number].written(),
            Ok(PlatformReply::Swapped { current, .. }) => self.lost(number, current.as_ref()),
            // It may have taken effect or not: the next write with the same version tells.
            _ => self.pages[number].state = State::Dirty,
        }
        true
    }

    /// Learns that a swap did not take, and what the key holds.
    ///
    /// Guards against a write whose answer was lost: the key then holds this record as it was.
    /// Merging it and writing again over the version found changes nothing twice.
    fn lost(&mut self, number: usize, current: Option<&Versioned>) {
        let doc = current.and_then(|current| stored::decode::<PageDoc>(&current.value));
        let (Some(current), Some(doc)) = (current, doc) else {
            self.close(number);
            return;
        };
        for (key, line) in &doc.lines {
            self.change(key, |mine| mine.merge(line));
        }
        let same = self.doc(number).lines == doc.lines;
        if doc.sealed && !same {
            self.close(number);
            return;
        }
        let page = &mut self.pages[number];
        page.version = current.version;
        page.state = if same { State::Clean } else { State::Dirty };
    }

    /// Gives a page up whose day was added to the totals without its last changes.
    ///
    /// Guards against a writer that was frozen for days and wakes: its key is sealed or gone, and
    /// written anew its counters would be charged on top of the total that has them already.
    fn close(&mut self, number: usize) {
        self.pages[number].state = State::Closed;
        log::error!(
            "the last usage of day {} by start {} came too late and may not be charged; \
             hint: its instance was frozen or cut off for days",
            self.day,
            self.writer
        );
    }

    fn place(&mut self, key: &LineKey) -> usize {
        if let Some(slot) = self.lines.get(key) {
            return slot.page;
        }
        let size = key.size();
        let full = |page: &Page| page.bytes + size > PAGE_BYTES || page.state == State::Closed;
        if self.pages.last().is_none_or(full) {
            self.pages.push(Page::default());
        }
        let page = self.pages.len() - 1;
        self.pages[page].keys.push(key.clone());
        self.pages[page].bytes += size;
        let line = Line::default();
        self.lines.insert(key.clone(), Slot { line, page });
        page
    }

    fn doc(&self, number: usize) -> PageDoc {
        let keys = self.pages[number].keys.iter();
        PageDoc {
            sealed: false,
            lines: keys.map(|key| (key.clone(), self.line(key))).collect(),
        }
    }
}

impl Page {
    fn touch(&mut self) {
        match &mut self.state {
            State::Clean => self.state = State::Dirty,
            State::Writing { changed, .. } => *changed = true,
            State::Dirty | State::Closed => {}
        }
    }

    fn written(&mut self) {
        self.version += 1;
        // Guards a charge made while the write was on its way: it is not in the value written.
        let changed = matches!(self.state, State::Writing { changed: true, .. });
        self.state = if changed { State::Dirty } else { State::Clean };
    }
}

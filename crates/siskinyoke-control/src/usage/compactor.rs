//! Adds the records of closed days to their totals and removes them.

use std::collections::VecDeque;

use super::Day;
use super::statement::merge;
use super::stored;
use super::stored::Lines;
use super::stored::PageDoc;
use super::stored::TotalDoc;
use crate::OpId;
use crate::Outbox;
use crate::PlatformReply;
use crate::PlatformRequest;
use crate::Reply;
use crate::platform::Versioned;
use siskinyoke_base::Incarnation;

/// How many days before the present one stay open: a writer has so long to write, through an
/// outage of the service or a pause of its own.
pub const OPEN_DAYS: u32 = 2;

/// The most pages of one record; a record with more is left alone.
const MOST_PAGES: u32 = 1024;

/// Adds one record after the other to the totals, the oldest first.
///
/// Any number of daemons may do it at once, and each may stop at any step: the pages are first
/// sealed, then each part of the total takes lines and writer's name in one compare-and-swap, then
/// the pages are removed. Whoever repeats a step finds it done.
#[derive(Debug, Default)]
pub struct Compactor {
    stage: Stage,
    folded: u64,
}

#[derive(Debug, Default)]
enum Stage {
    #[default]
    Idle,
    Finding {
        op: OpId,
        open: Day,
    },
    Reading {
        op: OpId,
        record: Record,
    },
    Sealing {
        op: OpId,
        record: Record,
        left: VecDeque<Versioned>,
    },
    Folding {
        op: OpId,
        record: Record,
        step: Fold,
    },
    Removing {
        op: OpId,
        record: Record,
    },
}

/// The record being added.
#[derive(Debug, Clone)]
struct Record {
    day: Day,
    writer: Incarnation,
    sealed: Vec<(String, u64)>,
    lines: Lines,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Fold {
    Read(u8),
    Write(u8),
}

impl Compactor {
    /// Looks for a record of a closed day, if nothing is under way.
    pub fn start(&mut self, out: &mut Outbox, today: Day) {
        if !matches!(self.stage, Stage::Idle) {
            return;
        }
        // Keys sort by day, so the first key is of the oldest day.
        let op = out.platform(PlatformRequest::List {
            prefix: stored::RECORDS.to_owned(),
            limit: 1,
        });
        let open = today.before(OPEN_DAYS - 1);
        self.stage = Stage::Finding { op, open };
    }

    /// Counts the records that were added by this daemon.
    pub fn folded(&self) -> u64 {
        self.folded
    }

    /// Takes an answer; returns false if it is to no request of this machine.
    ///
    /// Any failure ends the run, and the next begins anew.
    pub fn reply(&mut self, out: &mut Outbox, op: OpId, reply: &Reply) -> bool {
        if self.op() != Some(op) {
            return false;
        }
        let stage = std::mem::take(&mut self.stage);
        let Ok(reply) = reply else {
            return true;
        };
        self.stage = match (stage, reply) {
            (Stage::Finding { open, .. }, PlatformReply::Values(values)) => {
                found(out, open, values)
            }
            (Stage::Reading { record, .. }, PlatformReply::Values(values)) => {
                seal(out, record, values.iter().cloned().collect())
            }
            (Stage::Sealing { record, left, .. }, PlatformReply::Swapped { done, current }) => {
                sealed(out, record, left, *done, current.as_ref())
            }
            (Stage::Folding { record, step, .. }, reply) => self.fold(out, record, step, reply),
            (Stage::Removing { record, .. }, _) => remove(out, record),
            _ => Stage::Idle,
        };
        true
    }

    fn op(&self) -> Option<OpId> {
        match &self.stage {
            Stage::Idle => None,
            Stage::Finding { op, .. }
            | Stage::Reading { op, .. }
            | Stage::Sealing { op, .. }
            | Stage::Folding { op, .. }
            | Stage::Removing { op, .. } => Some(*op),
        }
    }

    fn fold(
        &mut self,
        out: &mut Outbox,
        record: Record,
        step: Fold,
        reply: &PlatformReply,
    ) -> Stage {
        match (step, reply) {
            (Fold::Read(shard), PlatformReply::Value(value)) => {
                write_total(out, record, shard, value.as_ref())
            }
            (Fold::Write(shard), PlatformReply::Swapped { done: true, .. }) => {
                next_shard(out, record, shard + 1)
            }
            // Another daemon changed the total: read it again.
            (Fold::Write(shard), PlatformReply::Swapped { .. }) => next_shard(out, record, shard),
            _ => Stage::Idle,
        }
        .count(&mut self.folded)
    }
}

impl Stage {
    fn count(self, folded: &mut u64) -> Self {
        *folded += u64::from(matches!(self, Self::Removing { .. }));
        self
    }
}

fn found(out: &mut Outbox, open: Day, values: &[Versioned]) -> Stage {
    let first = values.first();
    let Some((day, writer)) = first.and_then(|value| stored::parse_page_key(&value.key)) else {
        return Stage::Idle;
    };
    if day >= open {
        return Stage::Idle;
    }
    let op = out.platform(PlatformRequest::List {
        prefix: stored::record_prefix(day, writer),
        limit: MOST_PAGES,
    });
    let record = Record {
        day,
        writer,
        sealed: Vec::new(),
        lines: Lines::new(),
    };
    Stage::Reading { op, record }
}

/// Seals the next page, or goes on to the totals when all are sealed.
///
/// Guards against a writer that writes while its record is being added: with its page sealed its
/// swap fails, and it knows that it came too late. Unsealed, the write would take, be removed with
/// the page, and never be charged though its writer was told that it was kept.
fn seal(out: &mut Outbox, record: Record, mut left: VecDeque<Versioned>) -> Stage {
    if left.len() >= MOST_PAGES as usize {
        return Stage::Idle;
    }
    let Some(page) = left.pop_front() else {
        return next_shard(out, record, 0);
    };
    let Some(mut doc) = stored::decode::<PageDoc>(&page.value) else {
        log::error!("the usage record {} is damaged and left alone", page.key);
        return Stage::Idle;
    };
    if doc.sealed {
        return take(out, record, left, page.key, page.version, &doc.lines);
    }
    doc.sealed = true;
    let op = out.platform(PlatformRequest::Swap {
        key: page.key.clone(),
        expected: page.version,
        value: stored::encode(&doc),
        lease: None,
    });
    left.push_front(page);
    Stage::Sealing { op, record, left }
}

fn sealed(
    out: &mut Outbox,
    record: Record,
    mut left: VecDeque<Versioned>,
    done: bool,
    current: Option<&Versioned>,
) -> Stage {
    let Some(page) = left.pop_front() else {
        return Stage::Idle;
    };
    if !done {
        // It was written meanwhile, or another daemon is ahead: seal what it holds now.
        left.extend(current.cloned());
        return seal(out, record, left);
    }
    let Some(doc) = stored::decode::<PageDoc>(&page.value) else {
        return Stage::Idle;
    };
    take(out, record, left, page.key, page.version + 1, &doc.lines)
}

fn take(
    out: &mut Outbox,
    mut record: Record,
    left: VecDeque<Versioned>,
    key: String,
    version: u64,
    lines: &Lines,
) -> Stage {
    merge(&mut record.lines, lines);
    record.sealed.push((key, version));
    seal(out, record, left)
}

/// Reads the next part of the total that the record has lines for, or goes on to the removal.
fn next_shard(out: &mut Outbox, record: Record, from: u8) -> Stage {
    let needed = |shard: &u8| record.lines.keys().any(|key| stored::shard(key) == *shard);
    let Some(shard) = (from..stored::SHARDS).find(needed) else {
        return remove(out, record);
    };
    let key = stored::total_key(record.day, shard);
    let op = out.platform(PlatformRequest::Get { key });
    let step = Fold::Read(shard);
    Stage::Folding { op, record, step }
}

fn write_total(out: &mut Outbox, record: Record, shard: u8, value: Option<&Versioned>) -> Stage {
    let read = value.map_or_else(
        || Some(TotalDoc::default()),
        |value| stored::decode(&value.value),
    );
    let Some(mut total) = read else {
        log::error!("part {shard} of the total of day {} is damaged", record.day);
        return Stage::Idle;
    };
    // Guards against a lost answer and against two daemons at work: the writer's name stands in
    // the same value as the sum, so what is added already is seen and not added again.
    if !total.folded.insert(record.writer) {
        return next_shard(out, record, shard + 1);
    }
    let own = |(key, _): &(&_, &_)| stored::shard(key) == shard;
    for (key, line) in record.lines.iter().filter(own) {
        total.lines.entry(key.clone()).or_default().add(line);
    }
    let op = out.platform(PlatformRequest::Swap {
        key: stored::total_key(record.day, shard),
        expected: value.map_or(0, |value| value.version),
        value: stored::encode(&total),
        lease: None,
    });
    let step = Fold::Write(shard);
    Stage::Folding { op, record, step }
}

fn remove(out: &mut Outbox, mut record: Record) -> Stage {
    let Some((key, expected)) = record.sealed.pop() else {
        return Stage::Idle;
    };
    let op = out.platform(PlatformRequest::Remove { key, expected });
    Stage::Removing { op, record }
}

//! Usage as read: records and totals added up without counting anything twice.

use std::collections::BTreeMap;

use super::Day;
use super::Line;
use super::LineKey;
use super::stored;
use super::stored::Lines;
use super::stored::PageDoc;
use super::stored::TotalDoc;
use crate::platform::Versioned;
use siskinyoke_base::Incarnation;
use siskinyoke_base::OrganisationId;

/// Usage by day and line, over all daemon starts.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct Statement {
    /// The lines.
    pub lines: BTreeMap<(Day, LineKey), Line>,
    /// Values that could not be read; if not zero, the statement is incomplete.
    pub damaged: usize,
}

impl Statement {
    /// Adds up records and totals.
    ///
    /// The totals must have been read after the records. A record that is added to a total and
    /// removed between the two readings is then found in the total; read the other way round it
    /// would be found in neither.
    pub fn new(records: &[Versioned], totals: &[Versioned]) -> Self {
        let mut statement = Self::default();
        let totals = statement.read_totals(totals);
        let starts = statement.read_records(records);
        for ((day, writer), lines) in starts {
            for (key, line) in lines {
                // Guards against a record that is in the total already but not yet removed, or
                // that was written again by a writer that woke after days.
                let total = totals.get(&(day, stored::shard(&key)));
                if !total.is_some_and(|total| total.folded.contains(&writer)) {
                    statement.add(day, &key, &line);
                }
            }
        }
        for ((day, _), total) in &totals {
            for (key, line) in &total.lines {
                statement.add(*day, key, line);
            }
        }
        statement
    }

    /// Returns the sum of an organisation's lines.
    pub fn total(&self, organisation: &OrganisationId) -> Line {
        let mut sum = Line::default();
        let own = |((_, key), _): &(&(Day, LineKey), &Line)| key.organisation == *organisation;
        for (_, line) in self.lines.iter().filter(own) {
            sum.add(line);
        }
        sum
    }

    fn add(&mut self, day: Day, key: &LineKey, line: &Line) {
        let sum = self.lines.entry((day, key.clone())).or_default();
        sum.add(line);
    }

    fn read_totals(&mut self, values: &[Versioned]) -> BTreeMap<(Day, u8), TotalDoc> {
        let mut totals = BTreeMap::new();
        for value in values {
            let place = stored::parse_total_key(&value.key);
            let (Some(place), Some(doc)) = (place, stored::decode(&value.value)) else {
                self.damaged += 1;
                continue;
            };
            totals.insert(place, doc);
        }
        totals
    }

    fn read_records(&mut self, values: &[Versioned]) -> BTreeMap<(Day, Incarnation), Lines> {
        let mut starts = BTreeMap::new();
        for value in values {
            let place = stored::parse_page_key(&value.key);
            let doc = stored::decode::<PageDoc>(&value.value);
            let (Some(place), Some(doc)) = (place, doc) else {
                self.damaged += 1;
                continue;
            };
            merge(starts.entry(place).or_default(), &doc.lines);
        }
        starts
    }
}

/// Merges lines of the same writer.
pub fn merge(into: &mut Lines, lines: &Lines) {
    for (key, line) in lines {
        into.entry(key.clone()).or_default().merge(line);
    }
}

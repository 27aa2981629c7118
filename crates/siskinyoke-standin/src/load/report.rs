//! Sums results up by phase and kind of work.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::shot::Outcome;
use super::shot::Verdict;

/// Significant digits that a histogram keeps.
const DIGITS: u8 = 3;

/// Longest span that is told apart, an hour in microseconds.
const LONGEST: u64 = 3_600_000_000;

/// Microseconds of a millisecond.
const MICROS: f64 = 1000.0;

/// The results of a run.
#[derive(Debug, Default)]
pub struct Report {
    rows: BTreeMap<(usize, usize), Row>,
}

#[derive(Debug)]
struct Row {
    held: u64,
    verdicts: BTreeMap<Verdict, u64>,
    codes: BTreeMap<String, u64>,
    first: Histogram<u64>,
    gap: Histogram<u64>,
    whole: Histogram<u64>,
}

/// One line of the report.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Line {
    /// The phase.
    pub phase: String,
    /// The kind of work.
    pub caller: String,
    /// Requests sent.
    pub sent: u64,
    /// Requests due that were held back by the bound of those in flight.
    pub held: u64,
    /// Answers that were whole and the caller's own.
    pub whole: u64,
    /// Refusals and explicit errors.
    pub refused: u64,
    /// Requests without an answer, or with one that breaks off.
    pub failed: u64,
    /// Answers that look whole and are not the caller's own or not all of it.
    pub wrong: u64,
    /// Requests by code and kind.
    pub codes: BTreeMap<String, u64>,
    /// Milliseconds to the first token of streams that were whole.
    pub first: Spread,
    /// Milliseconds between further tokens of them.
    pub gap: Spread,
    /// Milliseconds to the end of answers that were whole.
    pub total: Spread,
}

/// A spread of times in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Spread {
    /// How many there were.
    pub count: u64,
    /// The median.
    pub p50: f64,
    /// The 90th percentile.
    pub p90: f64,
    /// The 99th percentile.
    pub p99: f64,
    /// The longest.
    pub max: f64,
}

impl Report {
    /// Counts a request that was not sent.
    pub fn hold(&mut self, phase: usize, caller: usize) {
        self.row(phase, caller).held += 1;
    }

    /// Counts a outcome.
    pub fn add(&mut self, phase: usize, caller: usize, outcome: &Outcome) {
        let row = self.row(phase, caller);
        *row.verdicts.entry(outcome.verdict).or_default() += 1;
        *row.codes.entry(outcome.code.clone()).or_default() += 1;
        if outcome.verdict != Verdict::Whole {
            return;
        }
        record(&mut row.whole, outcome.whole);
        if let Some(first) = outcome.first {
            record(&mut row.first, first);
        }
        for gap in &outcome.gaps {
            record(&mut row.gap, *gap);
        }
    }

    /// Returns the lines by phase and kind of work.
    pub fn lines(&self, phases: &[&str], callers: &[&str]) -> Vec<Line> {
        let lines = self.rows.iter().map(|((phase, caller), row)| Line {
            phase: phases[*phase].to_owned(),
            caller: callers[*caller].to_owned(),
            ..row.line()
        });
        lines.collect()
    }

    fn row(&mut self, phase: usize, caller: usize) -> &mut Row {
        self.rows.entry((phase, caller)).or_insert_with(Row::new)
    }
}

impl Row {
    fn new() -> Self {
        Self {
            held: 0,
            verdicts: BTreeMap::new(),
            codes: BTreeMap::new(),
            first: histogram(),
            gap: histogram(),
            whole: histogram(),
        }
    }

    fn line(&self) -> Line {
        let count = |verdict| self.verdicts.get(&verdict).copied().unwrap_or_default();
        Line {
            phase: String::new(),
            caller: String::new(),
            sent: self.verdicts.values().sum(),
            held: self.held,
            whole: count(Verdict::Whole),
            refused: count(Verdict::Refused),
            failed: count(Verdict::Failed),
            wrong: count(Verdict::Wrong),
            codes: self.codes.clone(),
            first: spread(&self.first),
            gap: spread(&self.gap),
            total: spread(&self.whole),
        }
    }
}

/// Writes lines as a table, with the codes below.
pub fn table(lines: &[Line]) -> String {
    let mut text = format!(
        "{:<12} {:<24} {:>6} {:>6} {:>6} {:>7} {:>6} {:>5}  {:>24}  {:>24}  {:>24}\n",
        "phase",
        "caller",
        "sent",
        "held",
        "whole",
        "refused",
        "failed",
        "wrong",
        "first ms 50/90/99%",
        "further ms 50/90/99%",
        "total ms 50/90/99%"
    );
    for line in lines {
        // Writing to a string cannot fail.
        let _ = writeln!(
            text,
            "{:<12} {:<24} {:>6} {:>6} {:>6} {:>7} {:>6} {:>5}  {:>24}  {:>24}  {:>24}",
            line.phase,
            line.caller,
            line.sent,
            line.held,
            line.whole,
            line.refused,
            line.failed,
            line.wrong,
            line.first.show(),
            line.gap.show(),
            line.total.show()
        );
    }
    for line in lines {
        for (code, count) in &line.codes {
            let _ = writeln!(
                text,
                "{:<12} {:<24} {count:>6} x {code}",
                line.phase, line.caller
            );
        }
    }
    text
}

impl Spread {
    fn show(&self) -> String {
        if self.count == 0 {
            return "-".to_owned();
        }
        format!("{:.1}/{:.1}/{:.1}", self.p50, self.p90, self.p99)
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, LONGEST, DIGITS).expect("the bounds are constant and valid")
}

fn record(histogram: &mut Histogram<u64>, span: Duration) {
    let micros = u64::try_from(span.as_micros()).unwrap_or(LONGEST);
    histogram.saturating_record(micros.clamp(1, LONGEST));
}

#[expect(clippy::cast_precision_loss, reason = "an hour is far below 2^52 us")]
fn spread(histogram: &Histogram<u64>) -> Spread {
    let at = |quantile| histogram.value_at_quantile(quantile) as f64 / MICROS;
    Spread {
        count: histogram.len(),
        p50: at(0.5),
        p90: at(0.9),
        p99: at(0.99),
        max: histogram.max() as f64 / MICROS,
    }
}

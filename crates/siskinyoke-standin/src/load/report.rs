//! Aggregates outcomes by phase and caller.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::sender::Outcome;
use super::sender::Verdict;

/// Significant decimal digits of histogram values.
const HISTOGRAM_DIGITS: u8 = 3;

/// Upper bound of recorded latencies, one hour; longer ones are recorded as this value.
const MAX_LATENCY_MICROS: u64 = 3_600_000_000;

/// Microseconds per millisecond.
const MICROS_PER_MILLI: f64 = 1000.0;

/// The aggregated outcomes of a run.
#[derive(Debug, Default)]
pub struct Report {
    rows: BTreeMap<(usize, usize), RowStats>,
}

#[derive(Debug)]
struct RowStats {
    unsent: u64,
    verdicts: BTreeMap<Verdict, u64>,
    codes: BTreeMap<String, u64>,
    first_token: Histogram<u64>,
    token_gap: Histogram<u64>,
    total: Histogram<u64>,
}

/// One line of the report, for a phase and caller.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ReportLine {
    /// Name of the phase.
    pub phase: String,
    /// Name of the caller profile.
    pub caller: String,
    /// Requests sent.
    pub sent: u64,
    /// Requests due but not sent, because too many were in flight.
    #[serde(rename = "held")]
    pub unsent: u64,
    /// Complete responses with the expected completion.
    #[serde(rename = "whole")]
    pub correct: u64,
    /// Responses with an error status or an explicit error event.
    pub refused: u64,
    /// Requests without a response, or with an incomplete one.
    pub failed: u64,
    /// Responses that look complete but lack the expected completion or a part of it.
    pub wrong: u64,
    /// Number of responses by result code and kind.
    pub codes: BTreeMap<String, u64>,
    /// Time to the first token of correct streams.
    #[serde(rename = "first")]
    pub first_token: LatencySummary,
    /// Time between later tokens of correct streams.
    #[serde(rename = "gap")]
    pub token_gap: LatencySummary,
    /// Time to the end of correct responses.
    pub total: LatencySummary,
}

/// Count and percentiles of a latency, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct LatencySummary {
    /// Number of samples.
    pub count: u64,
    /// The median.
    pub p50: f64,
    /// The 90th percentile.
    pub p90: f64,
    /// The 99th percentile.
    pub p99: f64,
    /// The maximum.
    pub max: f64,
}

impl Report {
    /// Counts a request that was not sent.
    pub fn add_unsent(&mut self, phase: usize, caller: usize) {
        self.row(phase, caller).unsent += 1;
    }

    /// Adds the outcome of a sent request; latencies only of correct responses.
    pub fn add_outcome(&mut self, phase: usize, caller: usize, outcome: &Outcome) {
        let row = self.row(phase, caller);
        *row.verdicts.entry(outcome.verdict).or_default() += 1;
        *row.codes.entry(outcome.code.clone()).or_default() += 1;
        if outcome.verdict != Verdict::Correct {
            return;
        }
        record(&mut row.total, outcome.total);
        if let Some(first) = outcome.first_token {
            record(&mut row.first_token, first);
        }
        for gap in &outcome.token_gaps {
            record(&mut row.token_gap, *gap);
        }
    }

    /// Returns one line for each phase and caller.
    pub fn lines(&self, phases: &[&str], callers: &[&str]) -> Vec<ReportLine> {
        let lines = self.rows.iter().map(|((phase, caller), row)| ReportLine {
            phase: phases[*phase].to_owned(),
            caller: callers[*caller].to_owned(),
            ..row.line()
        });
        lines.collect()
    }

    fn row(&mut self, phase: usize, caller: usize) -> &mut RowStats {
        self.rows
            .entry((phase, caller))
            .or_insert_with(RowStats::new)
    }
}

impl RowStats {
    fn new() -> Self {
        Self {
            unsent: 0,
            verdicts: BTreeMap::new(),
            codes: BTreeMap::new(),
            first_token: new_histogram(),
            token_gap: new_histogram(),
            total: new_histogram(),
        }
    }

    fn line(&self) -> ReportLine {
        let count = |verdict| self.verdicts.get(&verdict).copied().unwrap_or_default();
        ReportLine {
            phase: String::new(),
            caller: String::new(),
            sent: self.verdicts.values().sum(),
            unsent: self.unsent,
            correct: count(Verdict::Correct),
            refused: count(Verdict::Refused),
            failed: count(Verdict::Failed),
            wrong: count(Verdict::Wrong),
            codes: self.codes.clone(),
            first_token: summarize(&self.first_token),
            token_gap: summarize(&self.token_gap),
            total: summarize(&self.total),
        }
    }
}

/// Formats lines as a table, followed by the result codes.
pub fn table(lines: &[ReportLine]) -> String {
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
            line.unsent,
            line.correct,
            line.refused,
            line.failed,
            line.wrong,
            line.first_token.percentiles(),
            line.token_gap.percentiles(),
            line.total.percentiles()
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

impl LatencySummary {
    fn percentiles(&self) -> String {
        if self.count == 0 {
            return "-".to_owned();
        }
        format!("{:.1}/{:.1}/{:.1}", self.p50, self.p90, self.p99)
    }
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_MICROS, HISTOGRAM_DIGITS)
        .expect("the bounds are constant and valid")
}

fn record(histogram: &mut Histogram<u64>, latency: Duration) {
    let micros = u64::try_from(latency.as_micros()).unwrap_or(MAX_LATENCY_MICROS);
    histogram.saturating_record(micros.clamp(1, MAX_LATENCY_MICROS));
}

#[expect(clippy::cast_precision_loss, reason = "an hour is far below 2^52 us")]
fn summarize(histogram: &Histogram<u64>) -> LatencySummary {
    let millis_at = |quantile| histogram.value_at_quantile(quantile) as f64 / MICROS_PER_MILLI;
    LatencySummary {
        count: histogram.len(),
        p50: millis_at(0.5),
        p90: millis_at(0.9),
        p99: millis_at(0.99),
        max: histogram.max() as f64 / MICROS_PER_MILLI,
    }
}

//! The command `burn`.

use std::collections::BTreeMap;
use std::fs;
use std::io::Write;
use std::path::PathBuf;

use clap::Args;
use serde::Serialize;

use super::ReportError;
use super::page::Page;
use super::plot;
use super::plot::Curve;
use super::requests;
use super::requests::FinishedRequest;
use super::requests::RequestOutcome;
use super::table;
use crate::logs::read_all;

/// Column headings of the table.
const COLUMN_HEADINGS: [&str; 8] = [
    "TIER",
    "ORGANISATION",
    "STATE",
    "ANSWERS",
    "WITHIN",
    "BURN 10 MIN",
    "BURN 1 H",
    "REFUSED/LATE/BROKEN",
];

/// The short window, which shows whether the burn continues.
const SHORT_WINDOW_MS: u64 = 10 * 60 * 1_000;

/// The long window, which shows whether the burn is significant.
const LONG_WINDOW_MS: u64 = 60 * 60 * 1_000;

/// The burn rate at which an error budget for 30 days is used up in two days.
const FAST_BURN_RATE: f64 = 14.4;

/// The time span of one point of the plots.
const PLOT_STEP_MS: u64 = 60 * 1_000;

/// Reports which tiers and organisations miss their objective, at which burn rate, and why.
#[derive(Debug, Args)]
pub struct BurnArgs {
    /// The ratio of requests to be answered within the latency target of their route.
    #[arg(long, default_value_t = 0.99)]
    pub objective: f64,
    /// Write an HTML page with plots to this file.
    #[arg(long, value_name = "FILE")]
    pub html: Option<PathBuf>,
    /// Log files, one per instance; standard input if none are given.
    pub logs: Vec<PathBuf>,
}

/// Counts of requests in a window by outcome.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
struct Tally {
    within: u64,
    late: u64,
    refused: u64,
    broken: u64,
}

impl Tally {
    fn add(&mut self, outcome: RequestOutcome) {
        let count = match outcome {
            RequestOutcome::Within => &mut self.within,
            RequestOutcome::Late => &mut self.late,
            RequestOutcome::Refused => &mut self.refused,
            RequestOutcome::Broken => &mut self.broken,
        };
        *count += 1;
    }

    fn total(&self) -> u64 {
        self.within + self.late + self.refused + self.broken
    }

    // Returns the ratio of requests answered within the latency target, or 1 if there are none.
    fn within_ratio(&self) -> f64 {
        if self.total() == 0 {
            return 1.0;
        }
        u64_to_f64(self.within) / u64_to_f64(self.total())
    }

    // Returns the burn rate; a rate of 1 uses up the error budget exactly.
    fn burn_rate(&self, objective: f64) -> f64 {
        (1.0 - self.within_ratio()) / (1.0 - objective)
    }
}

#[derive(Debug, Default, Serialize)]
struct BurnRow {
    tier: u64,
    organisation: String,
    short: Tally,
    long: Tally,
}

impl BurnRow {
    // `fast` and `slow` require that both windows exceed the burn rate: the long one alone would
    // raise the alarm for an hour after the end of an incident, the short one alone at every brief
    // burst of refusals. `over` means that only the long one exceeds a rate of 1.
    fn state(&self, objective: f64) -> &'static str {
        let (short, long) = (
            self.short.burn_rate(objective),
            self.long.burn_rate(objective),
        );
        if short >= FAST_BURN_RATE && long >= FAST_BURN_RATE {
            "fast"
        } else if short > 1.0 && long > 1.0 {
            "slow"
        } else if long > 1.0 {
            "over"
        } else {
            "met"
        }
    }

    // Returns the cells of the row in the table.
    fn cells(&self, objective: f64) -> Vec<String> {
        let long = &self.long;
        vec![
            self.tier.to_string(),
            self.organisation.clone(),
            self.state(objective).to_owned(),
            long.total().to_string(),
            format!("{:.2}%", long.within_ratio() * 100.0),
            format!("{:.1}", self.short.burn_rate(objective)),
            format!("{:.1}", long.burn_rate(objective)),
            format!("{}/{}/{}", long.refused, long.late, long.broken),
        ]
    }
}

impl BurnArgs {
    /// Reads the logs of all instances and writes the report.
    ///
    /// # Errors
    ///
    /// [`ReportError`] if the objective is out of range, a log cannot be read, no log line records
    /// the end of a request, or the report cannot be written.
    pub fn run(&self, json: bool, out: &mut dyn Write) -> Result<(), ReportError> {
        if !(0.0..1.0).contains(&self.objective) {
            return Err(ReportError::Objective);
        }
        let logs = read_all(&self.logs)?;
        let (requests, missing) = requests::read_requests(&logs)?;
        let rows = count_outcomes(&requests);
        if let Some(path) = &self.html {
            fs::write(path, self.html_page(&requests, &rows, missing)?)?;
        }
        if json {
            let report = serde_json::json!({
                "objective": self.objective, "missing": missing, "lines": rows,
            });
            writeln!(out, "{report}")?;
            return Ok(());
        }
        if let Some(notice) = incomplete_notice(missing) {
            writeln!(out, "{notice}")?;
        }
        let cells: Vec<_> = rows.iter().map(|row| row.cells(self.objective)).collect();
        write!(out, "{}", table::format_table(&COLUMN_HEADINGS, &cells))?;
        Ok(())
    }

    fn html_page(
        &self,
        requests: &[FinishedRequest<'_>],
        rows: &[BurnRow],
        missing: u64,
    ) -> Result<String, ReportError> {
        let mut page = Page::new("Error budget burn");
        if let Some(notice) = incomplete_notice(missing) {
            page.paragraph(&notice);
        }
        page.heading("By tier and organisation over the last hour");
        let cells = |row: &BurnRow| (row.state(self.objective), row.cells(self.objective));
        let cells: Vec<_> = rows.iter().map(cells).collect();
        page.table(&COLUMN_HEADINGS, &cells);
        page.heading("By tier");
        let percentage = |tally: &Tally| tally.within_ratio() * 100.0;
        let caption = "answered within the latency target, %";
        page.svg(&plot::draw_curves(
            caption,
            &tier_curves(requests, percentage),
            self.objective * 100.0,
        )?);
        let burn_rate = |tally: &Tally| tally.burn_rate(self.objective);
        let caption = "burn rate; 1 uses up the error budget exactly";
        page.svg(&plot::draw_curves(
            caption,
            &tier_curves(requests, burn_rate),
            1.0,
        )?);
        Ok(page.finish())
    }
}

/// Returns a notice that the logs are incomplete, if any lines are missing.
pub fn incomplete_notice(missing: u64) -> Option<String> {
    (missing > 0).then(|| format!("INCOMPLETE: {missing} log lines were dropped or are malformed"))
}

// Counts the outcomes in each window by tier and organisation.
fn count_outcomes(requests: &[FinishedRequest<'_>]) -> Vec<BurnRow> {
    let mut rows: BTreeMap<(u64, &str), BurnRow> = BTreeMap::new();
    for request in requests
        .iter()
        .filter(|request| request.age_ms <= LONG_WINDOW_MS)
    {
        let row = rows
            .entry((request.tier, request.organisation))
            .or_default();
        row.tier = request.tier;
        request.organisation.clone_into(&mut row.organisation);
        row.long.add(request.outcome);
        if request.age_ms <= SHORT_WINDOW_MS {
            row.short.add(request.outcome);
        }
    }
    rows.into_values().collect()
}

// Returns one curve per tier, with a value computed from the counts of each plot step.
fn tier_curves(requests: &[FinishedRequest<'_>], value: impl Fn(&Tally) -> f64) -> Vec<Curve> {
    let mut tiers: BTreeMap<u64, BTreeMap<u64, Tally>> = BTreeMap::new();
    for request in requests
        .iter()
        .filter(|request| request.age_ms <= LONG_WINDOW_MS)
    {
        let steps = tiers.entry(request.tier).or_default();
        steps
            .entry(request.age_ms / PLOT_STEP_MS)
            .or_default()
            .add(request.outcome);
    }
    let curve = |(tier, steps): (u64, BTreeMap<u64, Tally>)| {
        let points = steps.iter().rev();
        Curve {
            name: format!("tier {tier}"),
            points: points
                .map(|(step, tally)| (-u64_to_f64(*step), value(tally)))
                .collect(),
        }
    };
    tiers.into_iter().map(curve).collect()
}

#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
fn u64_to_f64(count: u64) -> f64 {
    count as f64
}

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

/// Heads of the columns.
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

/// The short window, which tells whether it goes on, in ms.
const SHORT_WINDOW_MS: u64 = 10 * 60 * 1_000;

/// The long window, which tells whether it matters, in ms.
const LONG_WINDOW_MS: u64 = 60 * 60 * 1_000;

/// The burn rate at which a budget for 30 days is gone in two.
const FAST_BURN_RATE: f64 = 14.4;

/// The width of one point of the plots, in ms.
const PLOT_STEP_MS: u64 = 60 * 1_000;

/// Shows which tiers and organisations miss their objective, how fast, and why.
#[derive(Debug, Args)]
pub struct BurnArgs {
    /// The part of requests that is to be answered within its route's objective.
    #[arg(long, default_value_t = 0.99)]
    pub objective: f64,
    /// Write a page with plots to this file.
    #[arg(long, value_name = "FILE")]
    pub html: Option<PathBuf>,
    /// Log files, one an instance; standard input if there are none.
    pub logs: Vec<PathBuf>,
}

/// Counts of a window.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
struct OutcomeCounts {
    within: u64,
    late: u64,
    refused: u64,
    broken: u64,
}

impl OutcomeCounts {
    fn add(&mut self, fate: RequestOutcome) {
        let count = match fate {
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

    // The part that was answered within its objective; all of it if nothing was asked.
    fn within_ratio(&self) -> f64 {
        if self.total() == 0 {
            return 1.0;
        }
        u64_to_f64(self.within) / u64_to_f64(self.total())
    }

    // 1 just uses up the error budget.
    fn burn_rate(&self, objective: f64) -> f64 {
        (1.0 - self.within_ratio()) / (1.0 - objective)
    }
}

#[derive(Debug, Default, Serialize)]
struct BurnRow {
    tier: u64,
    organisation: String,
    short: OutcomeCounts,
    long: OutcomeCounts,
}

impl BurnRow {
    // Both windows have to agree: a long one alone rings on for an hour after the end, a short one
    // at each moment of refusals.
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
    /// Makes the report from the logs of all instances.
    ///
    /// # Errors
    ///
    /// [`ReportError`] if a log cannot be read, tells of no answer, or the report cannot be written.
    pub fn run(&self, json: bool, out: &mut dyn Write) -> Result<(), ReportError> {
        if !(0.0..1.0).contains(&self.objective) {
            return Err(ReportError::Objective);
        }
        let logs = read_all(&self.logs)?;
        let (answers, missing) = requests::read_requests(&logs)?;
        let lines = count_outcomes(&answers);
        if let Some(path) = &self.html {
            fs::write(path, self.page(&answers, &lines, missing)?)?;
        }
        if json {
            let report = serde_json::json!({
                "objective": self.objective, "missing": missing, "lines": lines,
            });
            writeln!(out, "{report}")?;
            return Ok(());
        }
        if let Some(note) = incomplete_notice(missing) {
            writeln!(out, "{note}")?;
        }
        let rows: Vec<_> = lines
            .iter()
            .map(|line| line.cells(self.objective))
            .collect();
        write!(out, "{}", table::format_table(&COLUMN_HEADINGS, &rows))?;
        Ok(())
    }

    fn page(
        &self,
        answers: &[FinishedRequest<'_>],
        lines: &[BurnRow],
        missing: u64,
    ) -> Result<String, ReportError> {
        let mut page = Page::new("Service-level burn");
        if let Some(incomplete_notice) = incomplete_notice(missing) {
            page.paragraph(&incomplete_notice);
        }
        page.heading("By tier and organisation over the last hour");
        let row = |line: &BurnRow| (line.state(self.objective), line.cells(self.objective));
        let rows: Vec<_> = lines.iter().map(row).collect();
        page.table(&COLUMN_HEADINGS, &rows);
        page.heading("By tier");
        let share = |tally: &OutcomeCounts| tally.within_ratio() * 100.0;
        let caption = "answered within the objective, %";
        page.svg(&plot::curves(
            caption,
            &tier_curves(answers, share),
            self.objective * 100.0,
        )?);
        let burn = |tally: &OutcomeCounts| tally.burn_rate(self.objective);
        let caption = "burn rate; 1 just uses up the budget";
        page.svg(&plot::curves(caption, &tier_curves(answers, burn), 1.0)?);
        Ok(page.finish())
    }
}

/// Says how much the logs lack, if anything.
pub fn incomplete_notice(missing: u64) -> Option<String> {
    (missing > 0).then(|| format!("INCOMPLETE: {missing} lines are left out or damaged"))
}

fn count_outcomes(answers: &[FinishedRequest<'_>]) -> Vec<BurnRow> {
    let mut lines: BTreeMap<(u64, &str), BurnRow> = BTreeMap::new();
    for answer in answers.iter().filter(|it| it.age <= LONG_WINDOW_MS) {
        let line = lines.entry((answer.tier, answer.organisation)).or_default();
        line.tier = answer.tier;
        answer.organisation.clone_into(&mut line.organisation);
        line.long.add(answer.outcome);
        if answer.age <= SHORT_WINDOW_MS {
            line.short.add(answer.outcome);
        }
    }
    lines.into_values().collect()
}

fn tier_curves(
    answers: &[FinishedRequest<'_>],
    value: impl Fn(&OutcomeCounts) -> f64,
) -> Vec<Curve> {
    let mut tiers: BTreeMap<u64, BTreeMap<u64, OutcomeCounts>> = BTreeMap::new();
    for answer in answers.iter().filter(|it| it.age <= LONG_WINDOW_MS) {
        let steps = tiers.entry(answer.tier).or_default();
        steps
            .entry(answer.age / PLOT_STEP_MS)
            .or_default()
            .add(answer.outcome);
    }
    let curve = |(tier, steps): (u64, BTreeMap<u64, OutcomeCounts>)| {
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

//! The command `usage`.

use std::collections::BTreeMap;
use std::fs;
use std::io::Write;
use std::path::PathBuf;

use clap::Args;
use serde::Serialize;

use super::ReportError;
use super::burn;
use super::page::Page;
use super::plot;
use super::plot::Bar;
use super::requests;
use super::requests::FinishedRequest;
use super::requests::RequestOutcome;
use super::table;
use crate::logs::read_all;

/// Heads of the columns.
const COLUMN_HEADINGS: [&str; 4] = [
    "ORGANISATION",
    "ANSWERS",
    "UNITS",
    "UNITS WITHOUT AN ANSWER",
];

/// The most organisations in the plot, those with the most units.
const MAX_BARS: usize = 20;

/// Shows what each organisation used.
#[derive(Debug, Args)]
pub struct UsageArgs {
    /// Write a page with a plot to this file.
    #[arg(long, value_name = "FILE")]
    pub html: Option<PathBuf>,
    /// Log files, one an instance; standard input if there are none.
    pub logs: Vec<PathBuf>,
}

#[derive(Debug, Default, Serialize)]
struct UsageRow {
    organisation: String,
    answers: u64,
    units: f64,
    wasted: f64,
}

impl UsageArgs {
    /// Makes the report from the logs of all instances.
    ///
    /// # Errors
    ///
    /// [`ReportError`] if a log cannot be read, tells of no answer, or the report cannot be written.
    pub fn run(&self, json: bool, out: &mut dyn Write) -> Result<(), ReportError> {
        let logs = read_all(&self.logs)?;
        let (answers, missing) = requests::read_requests(&logs)?;
        let lines = sum_usage(&answers);
        if let Some(path) = &self.html {
            fs::write(path, html_page(&lines, missing)?)?;
        }
        if json {
            let report = serde_json::json!({ "missing": missing, "lines": lines });
            writeln!(out, "{report}")?;
            return Ok(());
        }
        if let Some(note) = burn::incomplete_notice(missing) {
            writeln!(out, "{note}")?;
        }
        let rows: Vec<_> = lines.iter().map(UsageRow::cells).collect();
        write!(out, "{}", table::format_table(&COLUMN_HEADINGS, &rows))?;
        Ok(())
    }
}

impl UsageRow {
    fn cells(&self) -> Vec<String> {
        vec![
            self.organisation.clone(),
            self.answers.to_string(),
            format!("{:.0}", self.units),
            format!("{:.0}", self.wasted),
        ]
    }
}

// A whole answer is charged, late ones too; what was refused has used nothing.
fn sum_usage(answers: &[FinishedRequest<'_>]) -> Vec<UsageRow> {
    let mut lines: BTreeMap<&str, UsageRow> = BTreeMap::new();
    for answer in answers {
        let line = lines.entry(answer.organisation).or_default();
        answer.organisation.clone_into(&mut line.organisation);
        match answer.outcome {
            RequestOutcome::Within | RequestOutcome::Late => {
                line.answers += 1;
                line.units += answer.units;
            }
            RequestOutcome::Broken => line.wasted += answer.units,
            RequestOutcome::Refused => {}
        }
    }
    let mut lines: Vec<UsageRow> = lines.into_values().collect();
    lines.sort_by(|one, other| other.units.total_cmp(&one.units));
    lines
}

fn html_page(lines: &[UsageRow], missing: u64) -> Result<String, ReportError> {
    let mut page = Page::new("Use by organisation");
    if let Some(incomplete_notice) = burn::incomplete_notice(missing) {
        page.paragraph(&incomplete_notice);
    }
    let rows: Vec<_> = lines.iter().map(|line| ("", line.cells())).collect();
    page.table(&COLUMN_HEADINGS, &rows);
    let bar = |line: &UsageRow| Bar {
        name: line.organisation.clone(),
        segments: vec![line.units, line.wasted],
    };
    let bars: Vec<_> = lines.iter().take(MAX_BARS).map(bar).collect();
    page.svg(&plot::bars(
        "units with (red) and without (green) a whole answer",
        &bars,
    )?);
    Ok(page.finish())
}

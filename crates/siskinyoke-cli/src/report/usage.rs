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

/// Column headings of the table.
const COLUMN_HEADINGS: [&str; 4] = [
    "ORGANISATION",
    "ANSWERS",
    "UNITS",
    "UNITS WITHOUT AN ANSWER",
];

/// The maximum number of organisations in the plot; those with the highest usage are shown.
const MAX_BARS: usize = 20;

/// Reports the usage of each organisation.
#[derive(Debug, Args)]
pub struct UsageArgs {
    /// Write an HTML page with a plot to this file.
    #[arg(long, value_name = "FILE")]
    pub html: Option<PathBuf>,
    /// Log files, one per instance; standard input if none are given.
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
    /// Reads the logs of all instances and writes the report.
    ///
    /// # Errors
    ///
    /// [`ReportError`] if a log cannot be read, no log line records the end of a request, or the
    /// report cannot be written.
    pub fn run(&self, json: bool, out: &mut dyn Write) -> Result<(), ReportError> {
        let logs = read_all(&self.logs)?;
        let (requests, missing) = requests::read_requests(&logs)?;
        let rows = sum_usage(&requests);
        if let Some(path) = &self.html {
            fs::write(path, html_page(&rows, missing)?)?;
        }
        if json {
            let report = serde_json::json!({ "missing": missing, "lines": rows });
            writeln!(out, "{report}")?;
            return Ok(());
        }
        if let Some(notice) = burn::incomplete_notice(missing) {
            writeln!(out, "{notice}")?;
        }
        let cells: Vec<_> = rows.iter().map(UsageRow::cells).collect();
        write!(out, "{}", table::format_table(&COLUMN_HEADINGS, &cells))?;
        Ok(())
    }
}

impl UsageRow {
    // Returns the cells of the row in the table.
    fn cells(&self) -> Vec<String> {
        vec![
            self.organisation.clone(),
            self.answers.to_string(),
            format!("{:.0}", self.units),
            format!("{:.0}", self.wasted),
        ]
    }
}

// Sums the usage by organisation. Units of complete responses, also late ones, count as used, and
// those of incomplete ones as wasted; refused requests use no quota.
fn sum_usage(requests: &[FinishedRequest<'_>]) -> Vec<UsageRow> {
    let mut rows: BTreeMap<&str, UsageRow> = BTreeMap::new();
    for request in requests {
        let row = rows.entry(request.organisation).or_default();
        request.organisation.clone_into(&mut row.organisation);
        match request.outcome {
            RequestOutcome::Within | RequestOutcome::Late => {
                row.answers += 1;
                row.units += request.units;
            }
            RequestOutcome::Broken => row.wasted += request.units,
            RequestOutcome::Refused => {}
        }
    }
    let mut rows: Vec<UsageRow> = rows.into_values().collect();
    rows.sort_by(|one, other| other.units.total_cmp(&one.units));
    rows
}

fn html_page(rows: &[UsageRow], missing: u64) -> Result<String, ReportError> {
    let mut page = Page::new("Usage by organisation");
    if let Some(notice) = burn::incomplete_notice(missing) {
        page.paragraph(&notice);
    }
    let cells: Vec<_> = rows.iter().map(|row| ("", row.cells())).collect();
    page.table(&COLUMN_HEADINGS, &cells);
    let bar = |row: &UsageRow| Bar {
        name: row.organisation.clone(),
        segments: vec![row.units, row.wasted],
    };
    let bars: Vec<_> = rows.iter().take(MAX_BARS).map(bar).collect();
    page.svg(&plot::draw_bars(
        "units with (red) and without (green) a complete response",
        &bars,
    )?);
    Ok(page.finish())
}

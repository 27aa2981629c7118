//! The command `usage`.

use std::collections::BTreeMap;
use std::fs;
use std::io::Write;
use std::path::PathBuf;

use clap::Args;
use serde::Deserialize;
use serde::Serialize;

use super::Daemons;
use super::ReportError;
use super::daemons;
use super::page::Page;
use super::plot;
use super::plot::Bar;
use super::table;
use siskinyoke_control::usage::Cause;
use siskinyoke_control::usage::Charged;
use siskinyoke_control::usage::Day;
use siskinyoke_control::usage::Line;
use siskinyoke_control::usage::LineKey;

/// Heads of the columns; prompt and output are tokens.
const HEAD: [&str; 8] = [
    "DAY",
    "ORGANISATION",
    "TIER",
    "MODEL",
    "ANSWERS",
    "PROMPT",
    "OUTPUT",
    "NOT CHARGED (WASTED PREFILL)",
];

/// Heads of the columns of single requests.
const REQUEST_HEAD: [&str; 5] = ["REQUEST", "TIER", "MODEL", "PROMPT", "OUTPUT"];

/// The most organisations in the plot, those with the most tokens.
const MOST_BARS: usize = 20;

/// Shows what was charged on a day, and which requests lately.
#[derive(Debug, Args)]
pub struct UsageArgs {
    /// The organisation; all of them if left out, for operators.
    pub organisation: Option<String>,
    /// The day, as 2026-12-31; today if left out.
    #[arg(long)]
    pub day: Option<String>,
    /// Write a page with plots to this file.
    #[arg(long, value_name = "FILE")]
    pub html: Option<PathBuf>,
}

/// A bill as a daemon answers it.
#[derive(Debug, Serialize, Deserialize)]
struct Bill {
    lines: Vec<BillLine>,
    damaged: usize,
    /// Requests that the daemons asked have charged lately.
    #[serde(default, rename = "recent_here")]
    recent: Vec<Charged>,
}

/// One line of a bill.
#[derive(Debug, Serialize, Deserialize)]
struct BillLine {
    day: Day,
    line: LineKey,
    counters: Line,
}

impl UsageArgs {
    /// Prints the bill, as the first daemon that answers reads it.
    ///
    /// # Errors
    ///
    /// [`ReportError`] if no daemon answers or the bill cannot be written.
    pub fn run(
        &self,
        daemons: &dyn Daemons,
        addresses: &[String],
        json: bool,
        out: &mut dyn Write,
    ) -> Result<(), ReportError> {
        let bill: Bill = daemons::first(daemons, addresses, &self.path()?)?;
        if let Some(path) = &self.html {
            fs::write(path, page(&bill)?)?;
        }
        if json {
            let text = serde_json::to_string_pretty(&bill);
            let text = text.map_err(|err| ReportError::Unreadable(err.to_string()))?;
            writeln!(out, "{text}")?;
            return Ok(());
        }
        if let Some(note) = note(&bill) {
            writeln!(out, "{note}")?;
        }
        let rows: Vec<_> = bill.lines.iter().map(BillLine::row).collect();
        write!(out, "{}", table::text(&HEAD, &rows))?;
        if !bill.recent.is_empty() {
            let rows: Vec<_> = bill.recent.iter().map(request_row).collect();
            writeln!(out, "\ncharged lately by the daemon asked:")?;
            write!(out, "{}", table::text(&REQUEST_HEAD, &rows))?;
        }
        Ok(())
    }

    fn path(&self) -> Result<String, ReportError> {
        let mut path = "/admin/v1/usage".to_owned();
        if let Some(organisation) = &self.organisation {
            path = format!("{path}/{organisation}");
        }
        if let Some(date) = &self.day {
            let day = Day::parse(date)?;
            path = format!("{path}?day={}", day.0);
        }
        Ok(path)
    }
}

impl BillLine {
    fn row(&self) -> Vec<String> {
        let wasted = Cause::ALL.map(|cause| (cause.as_str(), self.counters.wasted(cause)));
        let wasted = wasted.iter().filter(|(_, tokens)| *tokens > 0);
        let wasted = wasted.map(|(cause, tokens)| format!("{cause} {tokens}"));
        vec![
            self.day.date(),
            self.line.organisation.to_string(),
            self.line.tier.to_string(),
            self.line.model.to_string(),
            self.counters.requests.to_string(),
            self.counters.prompt.to_string(),
            self.counters.output.to_string(),
            wasted.collect::<Vec<_>>().join(", "),
        ]
    }
}

fn request_row(charged: &Charged) -> Vec<String> {
    vec![
        charged.identity.key.clone(),
        charged.line.tier.to_string(),
        charged.line.model.to_string(),
        charged.prompt.to_string(),
        charged.output.to_string(),
    ]
}

fn note(bill: &Bill) -> Option<String> {
    let damaged = bill.damaged;
    (damaged > 0).then(|| format!("INCOMPLETE: {damaged} values could not be read"))
}

fn page(bill: &Bill) -> Result<String, ReportError> {
    let mut page = Page::new("Usage");
    if let Some(note) = note(bill) {
        page.text(&note);
    }
    let rows: Vec<_> = bill.lines.iter().map(|line| ("", line.row())).collect();
    page.table(&HEAD, &rows);
    let caption = "tokens: prompt (red), output (green), wasted prefill (yellow, not charged)";
    page.drawing(&plot::bars(caption, &bars(bill))?);
    if !bill.recent.is_empty() {
        page.heading("Charged lately by the daemon asked");
        let rows: Vec<_> = bill.recent.iter().map(|at| ("", request_row(at))).collect();
        page.table(&REQUEST_HEAD, &rows);
    }
    Ok(page.finish())
}

fn bars(bill: &Bill) -> Vec<Bar> {
    let mut sums: BTreeMap<&str, Line> = BTreeMap::new();
    for line in &bill.lines {
        let sum = sums.entry(line.line.organisation.as_str()).or_default();
        sum.add(&line.counters);
    }
    let mut sums: Vec<_> = sums.into_iter().collect();
    sums.sort_by_key(|(name, line)| (u64::MAX - line.prompt - line.output, *name));
    let bar = |(name, line): (&str, Line)| {
        let wasted = Cause::ALL.iter().map(|cause| line.wasted(*cause)).sum();
        Bar {
            name: name.to_owned(),
            parts: [line.prompt, line.output, wasted].map(tokens).to_vec(),
        }
    };
    sums.into_iter().take(MOST_BARS).map(bar).collect()
}

#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
fn tokens(count: u64) -> f64 {
    count as f64
}

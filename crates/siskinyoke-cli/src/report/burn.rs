//! The command `burn`.

use std::fs;
use std::io::Write;
use std::path::PathBuf;

use clap::Args;

use super::Daemons;
use super::ReportError;
use super::burn_page;
use super::daemons;
use super::table;
use siskinyoke_base::InstanceId;
use siskinyoke_control::burn::BurnLine;
use siskinyoke_control::burn::BurnState;
use siskinyoke_control::burn::Report;
use siskinyoke_control::burn::Tally;

/// Heads of the columns.
pub const HEAD: [&str; 11] = [
    "TIER",
    "ORGANISATION",
    "STATE",
    "OBJECTIVE",
    "MET",
    "BURN 10 MIN",
    "BURN 1 H",
    "REFUSED/LATE/BROKEN",
    "WASTED PREFILL",
    "ENDPOINTS",
    "INSTANCES",
];

/// How many endpoints or instances a cell names.
const NAMED: usize = 3;

/// Shows which tiers and organisations miss their objective, how fast, and why.
#[derive(Debug, Args)]
pub struct BurnArgs {
    /// Show one tier only.
    #[arg(long)]
    pub tier: Option<String>,
    /// Show one organisation only.
    #[arg(long)]
    pub organisation: Option<String>,
    /// Write a page with plots to this file.
    #[arg(long, value_name = "FILE")]
    pub html: Option<PathBuf>,
}

impl BurnArgs {
    /// Makes the report from all daemons that can be reached.
    ///
    /// # Errors
    ///
    /// [`ReportError`] if no daemon answers or the report cannot be written.
    pub fn run(
        &self,
        daemons: &dyn Daemons,
        addresses: &[String],
        json: bool,
        out: &mut dyn Write,
    ) -> Result<(), ReportError> {
        let mut report = daemons::burn(daemons, addresses)?;
        self.select(&mut report);
        if let Some(path) = &self.html {
            fs::write(path, burn_page::page(&report)?)?;
        }
        if json {
            let text = serde_json::to_string_pretty(&report);
            let text = text.map_err(|err| ReportError::Unreadable(err.to_string()))?;
            writeln!(out, "{text}")?;
            return Ok(());
        }
        for line in notes(&report) {
            writeln!(out, "{line}")?;
        }
        let rows: Vec<Vec<String>> = report.lines.iter().map(row).collect();
        write!(out, "{}", table::text(&HEAD, &rows))?;
        Ok(())
    }

    fn select(&self, report: &mut Report) {
        let fits = |wanted: &Option<String>, name: &str| {
            wanted.as_ref().is_none_or(|wanted| wanted == name)
        };
        report.lines.retain(|line| {
            fits(&self.tier, line.tier.as_str())
                && fits(&self.organisation, line.organisation.as_str())
        });
        report
            .series
            .retain(|point| fits(&self.tier, point.tier.as_str()));
    }
}

/// Says what the report covers, and what it does not.
pub fn notes(report: &Report) -> Vec<String> {
    let names = |names: Vec<&str>| names.join(", ");
    let mut notes = vec![format!(
        "preset {}; {} daemons answered",
        report.preset,
        report.reached.len()
    )];
    if !report.unreached.is_empty() {
        let unreached = names(report.unreached.iter().map(InstanceId::as_str).collect());
        notes.push(format!("NOT REACHED: {unreached}"));
    }
    if !report.kept.is_empty() {
        let kept = names(report.kept.iter().map(InstanceId::as_str).collect());
        notes.push(format!(
            "from copies in the platform's service, up to five minutes old: {kept}"
        ));
    }
    if !report.complete {
        let note = "the platform's service did not answer: daemons that are gone are left out";
        notes.push(note.to_owned());
    }
    notes
}

/// Returns the cells of a line.
pub fn row(line: &BurnLine) -> Vec<String> {
    let Tally {
        late,
        refused,
        broken,
        wasted,
        ..
    } = line.long.tally;
    vec![
        line.tier.to_string(),
        line.organisation.to_string(),
        state(line.state).to_owned(),
        percent(Some(line.objective)),
        percent(line.long.share),
        format!("{:.1}", line.short.burn),
        format!("{:.1}", line.long.burn),
        format!("{refused}/{late}/{broken}"),
        wasted.to_string(),
        worst(
            line.endpoints
                .iter()
                .map(|(id, tally)| (id.as_str(), tally)),
        ),
        worst(
            line.instances
                .iter()
                .map(|(id, tally)| (id.as_str(), tally)),
        ),
    ]
}

/// Returns a state's name.
pub fn state(state: BurnState) -> &'static str {
    match state {
        BurnState::Fast => "fast",
        BurnState::Slow => "slow",
        BurnState::Over => "over",
        BurnState::Met => "met",
    }
}

fn percent(share: Option<f64>) -> String {
    share.map_or_else(|| "-".to_owned(), |share| format!("{:.2}%", share * 100.0))
}

/// Names the endpoints or instances with the most misses, or else the most waste.
fn worst<'a>(places: impl Iterator<Item = (&'a str, &'a Tally)>) -> String {
    let mut places: Vec<_> = places.collect();
    places.sort_by_key(|(name, tally)| (u64::MAX - tally.bad(), u64::MAX - tally.wasted, *name));
    let named = places.iter().take(NAMED);
    let cell = |(name, tally): &(&str, &Tally)| format!("{name} {}", tally.bad());
    named.map(cell).collect::<Vec<_>>().join(", ")
}

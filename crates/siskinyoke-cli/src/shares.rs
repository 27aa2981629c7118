//! The command `shares`.

use std::io;
use std::io::Write;

use clap::Args;
use serde::Deserialize;
use serde::Serialize;

use crate::context::Context;
use crate::report::table::format_table;
use siskinyoke_base::OutcomeKind;

/// Prints how many slots organisations use against their shares, from instances' pages.
#[derive(Debug, Args)]
pub struct Shares {
    /// Addresses of the metrics pages.
    #[arg(value_name = "HOST:PORT", required = true)]
    pages: Vec<String>,
}

/// One organisation at one service, as listed by an instance.
#[derive(Debug, Deserialize, Serialize)]
struct Row {
    #[serde(default)]
    instance: String,
    service: String,
    tier: u8,
    organisation: Option<String>,
    used_slots: f64,
    // None if all organisations of the tier are served.
    share_slots: Option<f64>,
    above_share: bool,
}

impl Shares {
    /// Prints one line per instance, service and organisation; none for services with enough slots.
    ///
    /// # Errors
    ///
    /// A message if no instance responds.
    pub fn run(&self, context: &Context, out: &mut impl Write) -> Result<OutcomeKind, String> {
        let mut rows = Vec::new();
        let mut failures = Vec::new();
        for address in &self.pages {
            match fetch(context, address) {
                Ok(listed) => rows.extend(listed),
                Err(err) => failures.push(format!("{address}: {err}")),
            }
        }
        if failures.len() == self.pages.len() {
            return Err(format!(
                "{}; hint: pass the addresses of metrics pages",
                failures.join("; ")
            ));
        }
        let text = if context.json {
            serde_json::to_string(&rows).map_err(|err| err.to_string())?
        } else {
            format(&rows)
        };
        write_text(out, &text).map_err(|err| err.to_string())?;
        // Not in the output, which may be JSON.
        for failure in failures {
            eprintln!("{failure}");
        }
        Ok(OutcomeKind::Done)
    }
}

fn fetch(context: &Context, address: &str) -> Result<Vec<Row>, String> {
    let page = context.fetch_page(address, "/shares")?;
    let mut rows: Vec<Row> = serde_json::from_str(&page)
        .map_err(|err| format!("not a page of shares: {err} (is the instance up to date?)"))?;
    for row in &mut rows {
        address.clone_into(&mut row.instance);
    }
    Ok(rows)
}

fn format(rows: &[Row]) -> String {
    let headings = [
        "instance",
        "service",
        "tier",
        "organisation",
        "used slots",
        "share",
        "above",
    ];
    let cells = rows.iter().map(|row| {
        vec![
            row.instance.clone(),
            row.service.clone(),
            row.tier.to_string(),
            row.organisation.clone().unwrap_or_else(|| "?".to_owned()),
            format!("{:.1}", row.used_slots),
            row.share_slots
                .map_or_else(|| "all".to_owned(), |it| format!("{it:.1}")),
            if row.above_share { "yes" } else { "no" }.to_owned(),
        ]
    });
    format_table(&headings, &cells.collect::<Vec<_>>())
}

// A closed pipe is not an error: its reader needs no further output.
fn write_text(out: &mut impl Write, text: &str) -> io::Result<()> {
    match out.write_all(text.as_bytes()) {
        Err(err) if err.kind() == io::ErrorKind::BrokenPipe => Ok(()),
        result => result,
    }
}

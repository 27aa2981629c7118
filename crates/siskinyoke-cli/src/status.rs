//! The command `status`.

use std::fmt::Write as _;
use std::io;
use std::io::Write;

use clap::Args;
use prometheus_parse::Scrape;
use prometheus_parse::Value;

use crate::context::Context;
use siskinyoke_base::OutcomeKind;

/// Prints the state of instances from their metrics pages.
#[derive(Debug, Args)]
pub struct Status {
    /// Addresses of the metrics pages.
    #[arg(value_name = "HOST:PORT", required = true)]
    pages: Vec<String>,
}

impl Status {
    /// Prints one line per instance.
    ///
    /// # Errors
    ///
    /// A message if no instance responds.
    pub fn run(&self, context: &Context) -> Result<OutcomeKind, String> {
        let mut responding = 0;
        let mut text = String::new();
        for address in &self.pages {
            let scrape = context.fetch_page(address, "/metrics").and_then(|page| {
                let lines = page.lines().map(|line| Ok(line.to_owned()));
                Scrape::parse(lines).map_err(|err| err.to_string())
            });
            let state = match scrape {
                Ok(scrape) => {
                    responding += 1;
                    format_metrics(&scrape)
                }
                Err(err) => err,
            };
            // Writing to a string never fails.
            let _ = writeln!(text, "{address}: {state}");
        }
        // A closed pipe is not an error: its reader needs no further output.
        let _ = io::stdout().write_all(text.as_bytes());
        if responding == 0 {
            return Err(
                "no instance responds; hint: pass the addresses of metrics pages".to_owned(),
            );
        }
        Ok(OutcomeKind::Done)
    }
}

// Lists the gauges by their label `what`, followed by the number of responses.
fn format_metrics(scrape: &Scrape) -> String {
    let mut parts = Vec::new();
    for sample in &scrape.samples {
        let (Some(what), Value::Gauge(value)) = (sample.labels.get("what"), &sample.value) else {
            continue;
        };
        parts.push(format!("{what} {value}"));
    }
    parts.sort();
    let answers = sum_samples(scrape, "siskinyoke_answers_total");
    parts.push(format!("answers {answers}"));
    parts.join(", ")
}

fn sum_samples(scrape: &Scrape, name: &str) -> f64 {
    let samples = scrape.samples.iter().filter(|sample| sample.metric == name);
    samples
        .filter_map(|sample| match sample.value {
            Value::Counter(value) | Value::Untyped(value) => Some(value),
            _ => None,
        })
        .fold(0.0, |sum, value| sum + value)
}

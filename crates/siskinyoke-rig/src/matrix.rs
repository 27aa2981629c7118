//! One figure of all policies side by side, as a table in Markdown.

use clap::ValueEnum;

use crate::figures::Figures;
use crate::figures::TierFigures;
use crate::rival::Rival;

/// A figure to compare.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Figure {
    /// Goodput by tier, in % of what could be reached.
    Goodput,
    /// Wasted prefill, in % of all prompt tokens computed.
    Wasted,
    /// The least that an organisation got, in % of its fair share.
    Least,
    /// Refusals by tier in % of requests, with the 95th percentile of their time in % of the need.
    Refused,
    /// 50th, 95th and 99th percentile of the top tier's first token, in milliseconds.
    First,
    /// Useful calls of the plain service, in % of all.
    Service,
}

/// Writes the table: a line for each load, a column for each policy.
pub fn matrix(figures: &[Figures], figure: Figure) -> String {
    let names = Rival::ALL.map(Rival::name);
    let mut text = format!("| load | reach by tier | {} |\n", names.join(" | "));
    text.push_str(&"|---".repeat(names.len() + 2));
    text.push_str("|\n");
    let mut rows: Vec<(&str, &str)> = Vec::new();
    for run in figures {
        if !rows.contains(&(run.site, run.load)) {
            rows.push((run.site, run.load));
        }
    }
    for (site, load) in rows {
        let of_load: Vec<&Figures> = figures
            .iter()
            .filter(|run| run.site == site && run.load == load)
            .collect();
        let reach = by_tier(of_load[0], |tier| percent(tier.reachable));
        let cells = names.map(|name| {
            let run = of_load.iter().find(|run| run.policy == name);
            run.map_or_else(String::new, |run| cell(run, figure))
        });
        let row = [format!("| {site} {load} | {reach} |"), cells.join(" | ")];
        text.push_str(&row.join(" "));
        text.push_str(" |\n");
    }
    text
}

fn cell(run: &Figures, figure: Figure) -> String {
    match figure {
        Figure::Goodput => by_tier(run, |tier| percent(tier.goodput)),
        Figure::Wasted => percent(run.wasted),
        Figure::Least => percent(run.least),
        Figure::Refused => by_tier(run, |tier| {
            format!("{} ({})", percent(tier.refused), percent(tier.refusal[1]))
        }),
        Figure::First => run.tiers[0].first.map(|ms| ms.to_string()).join(", "),
        Figure::Service => percent(run.service),
    }
}

fn by_tier(run: &Figures, text: impl Fn(&TierFigures) -> String) -> String {
    run.tiers.iter().map(text).collect::<Vec<_>>().join(" / ")
}

fn percent(part: f64) -> String {
    format!("{:.1}", part * 100.0)
}

//! Figures as a table in Markdown.

use crate::figures::Figures;

/// Heading of the table.
pub const HEADING: &str = "\
| load | policy | reach % | goodput % of reach, by tier | service % | wasted prefill % | \
refused % by tier | refusal 50/95 % of need, by tier | first token ms 50/95/99, by tier | \
least share % | doubled | unjust |\n|---|---|---|---|---|---|---|---|---|---|---|---|";

/// Writes one line of the table.
pub fn line(figures: &Figures) -> String {
    let tiers = &figures.tiers;
    let join = |texts: Vec<String>| texts.join(" / ");
    let reach = join(tiers.iter().map(|tier| percent(tier.reachable)).collect());
    let goodput = join(tiers.iter().map(|tier| percent(tier.goodput)).collect());
    let refused = join(tiers.iter().map(|tier| percent(tier.refused)).collect());
    let soon = tiers
        .iter()
        .map(|tier| tier.refusal.map(percent).join(", "));
    let first = tiers
        .iter()
        .map(|tier| tier.first.map(|ms| ms.to_string()).join(", "));
    format!(
        "| {} {} | {} | {reach} | {goodput} | {} | {} | {refused} | {} | {} | {} | {} | {} |",
        figures.site,
        figures.load,
        figures.policy,
        percent(figures.service),
        percent(figures.wasted),
        join(soon.collect()),
        join(first.collect()),
        percent(figures.least),
        figures.doubled,
        figures.unjust,
    )
}

fn percent(part: f64) -> String {
    format!("{:.1}", part * 100.0)
}

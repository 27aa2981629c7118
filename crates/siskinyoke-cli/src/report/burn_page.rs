//! The burn report as a page with plots.

use std::collections::BTreeMap;

use super::ReportError;
use super::burn;
use super::page::Page;
use super::plot;
use super::plot::Curve;
use siskinyoke_control::burn::BurnLine;
use siskinyoke_control::burn::Point;
use siskinyoke_control::burn::Report;
use siskinyoke_control::burn::SLOT_SECS;

/// Returns the whole page.
///
/// # Errors
///
/// [`ReportError::Plot`] if the plots cannot be drawn.
pub fn page(report: &Report) -> Result<String, ReportError> {
    let mut page = Page::new("Service-level burn");
    for note in burn::notes(report) {
        page.text(&note);
    }
    page.heading("By tier and organisation");
    let row = |line: &BurnLine| (burn::state(line.state), burn::row(line));
    let rows: Vec<_> = report.lines.iter().map(row).collect();
    page.table(&burn::HEAD, &rows);
    page.heading("By tier over the last hour");
    let share = |point: &Point| point.tally.share().map(|share| share * 100.0);
    page.drawing(&plot::curves(
        "answered within need, %",
        &curves(report, share),
        100.0,
    )?);
    let rate = |point: &Point| Some(point.tally.burn(point.objective));
    page.drawing(&plot::curves(
        "burn rate; 1 just uses up the budget",
        &curves(report, rate),
        1.0,
    )?);
    let wasted = |point: &Point| Some(count(point.tally.wasted));
    page.drawing(&plot::curves(
        "prompt tokens thrown away in 5 minutes",
        &curves(report, wasted),
        0.0,
    )?);
    Ok(page.finish())
}

fn curves(report: &Report, value: impl Fn(&Point) -> Option<f64>) -> Vec<Curve> {
    let mut tiers: BTreeMap<&str, Vec<(f64, f64)>> = BTreeMap::new();
    for point in &report.series {
        let age = report.slot.0.saturating_sub(point.slot.0) * SLOT_SECS / 60;
        if let Some(value) = value(point) {
            let points = tiers.entry(point.tier.as_str()).or_default();
            points.push((-count(age), value));
        }
    }
    let curve = |(name, points): (&str, Vec<(f64, f64)>)| Curve {
        name: name.to_owned(),
        points,
    };
    tiers.into_iter().map(curve).collect()
}

#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
fn count(number: u64) -> f64 {
    number as f64
}

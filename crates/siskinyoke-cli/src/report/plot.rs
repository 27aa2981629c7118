//! Plots as SVG.

use std::fmt::Display;

use plotters::prelude::*;

use super::ReportError;

/// Width and height of a plot in pixels.
const PLOT_SIZE_PX: (u32, u32) = (860, 280);

/// Font of labels; the library's own size shrinks with the plot until it cannot be read.
const LABEL_FONT: (&str, u32) = ("sans-serif", 15);

/// One line of a plot.
#[derive(Debug)]
pub struct Curve {
    /// Its name.
    pub name: String,
    /// Its points.
    pub points: Vec<(f64, f64)>,
}

/// One bar of a plot.
#[derive(Debug)]
pub struct Bar {
    /// Its name.
    pub name: String,
    /// Its parts, from the left, each of its own colour.
    pub segments: Vec<f64>,
}

/// Draws curves over time, and a level to compare them with.
///
/// # Errors
///
/// [`ReportError::Plot`] if the library cannot draw them.
pub fn curves(caption: &str, curves: &[Curve], level: f64) -> Result<String, ReportError> {
    let mut svg = String::new();
    let points = || curves.iter().flat_map(|curve| &curve.points);
    let first = points().map(|point| point.0).fold(-1.0, f64::min);
    let top = points().map(|point| point.1).fold(level, f64::max) * 1.1;
    {
        let area = SVGBackend::with_string(&mut svg, PLOT_SIZE_PX).into_drawing_area();
        area.fill(&WHITE).map_err(plot_error)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(caption, ("sans-serif", 18))
            .margin(12)
            .x_label_area_size(34)
            .y_label_area_size(56)
            .build_cartesian_2d(first..0.0, 0.0..top.max(0.01))
            .map_err(plot_error)?;
        let mut mesh = chart.configure_mesh();
        mesh.x_desc("minutes before now").label_style(LABEL_FONT);
        mesh.axis_desc_style(LABEL_FONT)
            .draw()
            .map_err(plot_error)?;
        let limit = [(first, level), (0.0, level)];
        chart
            .draw_series(LineSeries::new(limit, &RED))
            .map_err(plot_error)?;
        for (number, curve) in curves.iter().enumerate() {
            let colour = Palette99::pick(number).stroke_width(2);
            let series = LineSeries::new(curve.points.iter().copied(), colour);
            let drawn = chart
                .draw_series(series.point_size(3))
                .map_err(plot_error)?;
            let key = move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour);
            drawn.label(&curve.name).legend(key);
        }
        let mut labels = chart.configure_series_labels();
        let labels = labels
            .label_font(LABEL_FONT)
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK);
        labels.draw().map_err(plot_error)?;
        area.present().map_err(plot_error)?;
    }
    Ok(svg)
}

/// Draws bars, the first on top.
///
/// # Errors
///
/// [`ReportError::Plot`] if the library cannot draw them.
pub fn bars(caption: &str, bars: &[Bar]) -> Result<String, ReportError> {
    let mut svg = String::new();
    let sum = |bar: &Bar| bar.segments.iter().sum::<f64>();
    let top = bars.iter().map(sum).fold(1.0, f64::max) * 1.05;
    let count = bars.len();
    let height = 90 + 26 * u32::try_from(count).unwrap_or(1);
    {
        let area = SVGBackend::with_string(&mut svg, (PLOT_SIZE_PX.0, height)).into_drawing_area();
        area.fill(&WHITE).map_err(plot_error)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(caption, ("sans-serif", 18))
            .margin(12)
            .x_label_area_size(34)
            .y_label_area_size(180)
            .build_cartesian_2d(0.0..top, (0..count).into_segmented())
            .map_err(plot_error)?;
        let name = |at: &SegmentValue<usize>| match at {
            SegmentValue::CenterOf(number) => {
                let bar = bars
                    .len()
                    .checked_sub(number + 1)
                    .and_then(|at| bars.get(at));
                bar.map(|bar| bar.name.clone()).unwrap_or_default()
            }
            _ => String::new(),
        };
        let mut mesh = chart.configure_mesh();
        mesh.disable_y_mesh()
            .y_label_formatter(&name)
            .y_labels(count)
            .label_style(LABEL_FONT);
        mesh.draw().map_err(plot_error)?;
        for (number, bar) in bars.iter().rev().enumerate() {
            chart
                .draw_series(bar_segments(number, bar))
                .map_err(plot_error)?;
        }
        area.present().map_err(plot_error)?;
    }
    Ok(svg)
}

fn bar_segments(number: usize, bar: &Bar) -> Vec<Rectangle<(f64, SegmentValue<usize>)>> {
    let mut from = 0.0;
    let mut drawn = Vec::new();
    for (colour, part) in bar.segments.iter().enumerate() {
        let ends = [
            (from, SegmentValue::Exact(number)),
            (from + part, SegmentValue::Exact(number + 1)),
        ];
        let mut rectangle = Rectangle::new(ends, Palette99::pick(colour).filled());
        rectangle.set_margin(4, 4, 0, 0);
        drawn.push(rectangle);
        from += part;
    }
    drawn
}

fn plot_error(err: impl Display) -> ReportError {
    ReportError::Plot(err.to_string())
}

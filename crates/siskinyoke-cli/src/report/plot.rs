//! Draws plots as SVG.

use std::fmt::Display;

use plotters::prelude::*;

use super::ReportError;

/// Width and height of a plot in pixels.
const PLOT_SIZE_PX: (u32, u32) = (860, 280);

/// Font of labels. The library's default size shrinks with the plot and becomes unreadable.
const LABEL_FONT: (&str, u32) = ("sans-serif", 15);

/// A curve of a plot.
#[derive(Debug)]
pub struct Curve {
    /// The name shown in the legend.
    pub name: String,
    /// The points from left to right.
    pub points: Vec<(f64, f64)>,
}

/// A stacked bar of a plot.
#[derive(Debug)]
pub struct Bar {
    /// The name shown beside the bar.
    pub name: String,
    /// The lengths of its segments from left to right, each drawn in its own colour.
    pub segments: Vec<f64>,
}

/// Draws curves over time and a horizontal reference line at `reference`.
///
/// # Errors
///
/// [`ReportError::Plot`] if the library cannot draw them.
pub fn draw_curves(caption: &str, curves: &[Curve], reference: f64) -> Result<String, ReportError> {
    let mut svg = String::new();
    let points = || curves.iter().flat_map(|curve| &curve.points);
    let min_x = points().map(|point| point.0).fold(-1.0, f64::min);
    let max_y = points().map(|point| point.1).fold(reference, f64::max) * 1.1;
    {
        let area = SVGBackend::with_string(&mut svg, PLOT_SIZE_PX).into_drawing_area();
        area.fill(&WHITE).map_err(plot_error)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(caption, ("sans-serif", 18))
            .margin(12)
            .x_label_area_size(34)
            .y_label_area_size(56)
            .build_cartesian_2d(min_x..0.0, 0.0..max_y.max(0.01))
            .map_err(plot_error)?;
        let mut mesh = chart.configure_mesh();
        mesh.x_desc("minutes before now").label_style(LABEL_FONT);
        mesh.axis_desc_style(LABEL_FONT)
            .draw()
            .map_err(plot_error)?;
        let reference_line = [(min_x, reference), (0.0, reference)];
        chart
            .draw_series(LineSeries::new(reference_line, &RED))
            .map_err(plot_error)?;
        for (index, curve) in curves.iter().enumerate() {
            let colour = Palette99::pick(index).stroke_width(2);
            let series = LineSeries::new(curve.points.iter().copied(), colour);
            let drawn = chart
                .draw_series(series.point_size(3))
                .map_err(plot_error)?;
            let legend = move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour);
            drawn.label(&curve.name).legend(legend);
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

/// Draws horizontal bars from top to bottom.
///
/// # Errors
///
/// [`ReportError::Plot`] if the library cannot draw them.
pub fn draw_bars(caption: &str, bars: &[Bar]) -> Result<String, ReportError> {
    let mut svg = String::new();
    let length = |bar: &Bar| bar.segments.iter().sum::<f64>();
    let max_x = bars.iter().map(length).fold(1.0, f64::max) * 1.05;
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
            .build_cartesian_2d(0.0..max_x, (0..count).into_segmented())
            .map_err(plot_error)?;
        let bar_name = |row: &SegmentValue<usize>| match row {
            SegmentValue::CenterOf(index) => {
                let bar = bars
                    .len()
                    .checked_sub(index + 1)
                    .and_then(|index| bars.get(index));
                bar.map(|bar| bar.name.clone()).unwrap_or_default()
            }
            _ => String::new(),
        };
        let mut mesh = chart.configure_mesh();
        mesh.disable_y_mesh()
            .y_label_formatter(&bar_name)
            .y_labels(count)
            .label_style(LABEL_FONT);
        mesh.draw().map_err(plot_error)?;
        for (index, bar) in bars.iter().rev().enumerate() {
            chart
                .draw_series(bar_segments(index, bar))
                .map_err(plot_error)?;
        }
        area.present().map_err(plot_error)?;
    }
    Ok(svg)
}

// Returns the rectangles of a bar in the given row.
fn bar_segments(row: usize, bar: &Bar) -> Vec<Rectangle<(f64, SegmentValue<usize>)>> {
    let mut start = 0.0;
    let mut rectangles = Vec::new();
    for (colour_index, length) in bar.segments.iter().enumerate() {
        let corners = [
            (start, SegmentValue::Exact(row)),
            (start + length, SegmentValue::Exact(row + 1)),
        ];
        let mut rectangle = Rectangle::new(corners, Palette99::pick(colour_index).filled());
        rectangle.set_margin(4, 4, 0, 0);
        rectangles.push(rectangle);
        start += length;
    }
    rectangles
}

fn plot_error(err: impl Display) -> ReportError {
    ReportError::Plot(err.to_string())
}
